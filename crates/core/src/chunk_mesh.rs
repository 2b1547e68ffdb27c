//! Which agents link to each other to exchange chunks.
//!
//! The agents that want a manifest form a ring by the seed of their names, in each data centre, in
//! each region and in the whole system. An agent links to neighbours at a few distances on each
//! ring, so the number of links does not grow with the cluster, and both ends choose alike.

use std::collections::BTreeSet;

use crate::ids::InstanceId;
use crate::planner::PlannerPeer;
use crate::rank;

/// Agents up to which everyone links to everyone.
const FULL_MESH: usize = 12;
const CENTRE_DISTANCES: [usize; 4] = [1, 2, 4, 8];
const REGION_DISTANCES: [usize; 2] = [1, 5];
const SYSTEM_DISTANCES: [usize; 2] = [1, 7];

/// Names of the agents that `own` links to.
#[must_use]
pub fn neighbours(own: &PlannerPeer, agents: &[PlannerPeer]) -> BTreeSet<InstanceId> {
    let mut chosen = BTreeSet::new();
    if agents.len() <= FULL_MESH {
        chosen.extend(agents.iter().map(|agent| agent.instance.clone()));
    } else {
        let in_centre = |agent: &&PlannerPeer| agent.data_centre == own.data_centre;
        let in_region = |agent: &&PlannerPeer| agent.region == own.region;
        add_ring(
            own,
            agents.iter().filter(in_centre),
            &CENTRE_DISTANCES,
            &mut chosen,
        );
        add_ring(
            own,
            agents.iter().filter(in_region),
            &REGION_DISTANCES,
            &mut chosen,
        );
        add_ring(own, agents.iter(), &SYSTEM_DISTANCES, &mut chosen);
    }
    chosen.remove(&own.instance);
    chosen
}

fn add_ring<'a, Agents>(
    own: &PlannerPeer,
    agents: Agents,
    distances: &[usize],
    chosen: &mut BTreeSet<InstanceId>,
) where
    Agents: Iterator<Item = &'a PlannerPeer>,
{
    let mut ring: Vec<_> = agents.map(|agent| agent.instance.as_str()).collect();
    ring.sort_by_cached_key(|name| (rank::seed(name.as_bytes()), *name));
    let Some(place) = ring.iter().position(|name| *name == own.instance) else {
        return;
    };
    for distance in distances {
        let step = distance % ring.len();
        chosen.insert(ring[(place + step) % ring.len()].to_owned());
        chosen.insert(ring[(place + ring.len() - step) % ring.len()].to_owned());
    }
}
