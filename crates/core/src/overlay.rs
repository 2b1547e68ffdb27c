//! Chooses the few neighbours to which a process connects to spread configuration and membership.

use std::collections::BTreeMap;

use crate::config::DataCentreSpec;
use crate::ids::{DataCentreId, InstanceId};
use crate::member::{ClusterMember, MemberHealth, MemberView};
use crate::rank;

/// Maximum number of neighbours that a process connects to.
pub const MAX_NEIGHBOURS: usize = 6;

/// Key under which member names are hashed to get their order on the overlay ring.
const RING_KEY: &[u8] = b"overlay";
/// Maximum number of chords per process. A chord is a link to the member at a given distance on
/// the ring.
const CHORDS: u32 = 4;

/// Returns the neighbours that `own` connects to: the ends of its chords on a ring of all live
/// members, one member of its own data centre and one of another region. The shortest chord leads
/// to the successor, so the ring stays connected even if all other links fail.
#[must_use]
pub fn neighbours(
    own: &str,
    view: &MemberView,
    data_centres: &BTreeMap<DataCentreId, DataCentreSpec>,
) -> Vec<InstanceId> {
    let ring = ring_after(own, view);
    let mut chosen = Vec::with_capacity(MAX_NEIGHBOURS);
    for distance in chord_distances(ring.len()) {
        add_member(&mut chosen, ring.get(distance - 1));
    }
    let Some(home) = view.find(own) else {
        return chosen;
    };
    let in_centre = |member: &&&ClusterMember| member.data_centre == home.data_centre;
    add_member(&mut chosen, ring.iter().find(in_centre));
    let region = |name: &str| data_centres.get(name).map(|spec| &spec.region);
    let home_region = region(&home.data_centre);
    let in_other_region = |member: &&&ClusterMember| region(&member.data_centre) != home_region;
    add_member(&mut chosen, ring.iter().find(in_other_region));
    chosen
}

/// Returns the other live members in ring order, the successor of `own` first. Leaving members
/// don't count as live.
fn ring_after<'view>(own: &str, view: &'view MemberView) -> Vec<&'view ClusterMember> {
    let position = |name: &str| (rank::score(RING_KEY, name), name.to_owned());
    let own_position = position(own);
    let mut ring: Vec<&ClusterMember> = view
        .members
        .iter()
        .filter(|member| member.instance != own)
        .filter(|member| member.health != MemberHealth::Dead && !member.leaving)
        .collect();
    ring.sort_by_cached_key(|member| {
        let position = position(&member.instance);
        (position < own_position, position)
    });
    ring
}

/// Returns the lengths of the chords on a ring of n = `others` + 1 members: 1, r, r^2 and
/// r^3 without those that exceed `others`, where r is n^(1/4) rounded down, but at least 2.
fn chord_distances(others: usize) -> Vec<usize> {
    let mut distances = Vec::new();
    if others == 0 {
        return distances;
    }
    let root = (others + 1).isqrt().isqrt().max(2);
    for power in 0..CHORDS {
        let distance = root.saturating_pow(power);
        if distance <= others {
            distances.push(distance);
        }
    }
    distances
}

fn add_member(chosen: &mut Vec<InstanceId>, member: Option<&&ClusterMember>) {
    let Some(member) = member else {
        return;
    };
    if !chosen.contains(&member.instance) {
        chosen.push(member.instance.clone());
    }
}
