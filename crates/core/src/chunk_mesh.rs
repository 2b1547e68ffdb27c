//! Topology of the links over which agents exchange chunks.
//!
//! The agents that want a manifest are ordered on rings by a hash of their names: one ring for each
//! data centre, one for each region and one for the whole system. An agent links to the agents at a
//! few fixed distances in both directions on each of its rings. So the number of links per agent
//! does not grow with the cluster, and the agents at both ends of a link choose each other.

use std::collections::BTreeSet;

use crate::ids::InstanceId;
use crate::planner::PlannerPeer;
use crate::rank;

/// Maximum number of agents for which each agent links to all others; above it the rings are used.
const MAX_FULL_MESH: usize = 12;
/// Distances to the neighbours on the ring of the data centre, in ring positions.
const CENTRE_DISTANCES: [usize; 4] = [1, 2, 4, 8];
/// Distances to the neighbours on the ring of the region, in ring positions.
const REGION_DISTANCES: [usize; 2] = [1, 5];
/// Distances to the neighbours on the ring of all agents, in ring positions.
const SYSTEM_DISTANCES: [usize; 2] = [1, 7];

/// Returns the names of the agents that `own` links to. `agents` are all that want the manifest,
/// `own` included.
#[must_use]
pub fn neighbours(own: &PlannerPeer, agents: &[PlannerPeer]) -> BTreeSet<InstanceId> {
    let mut chosen = BTreeSet::new();
    if agents.len() <= MAX_FULL_MESH {
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

/// Adds the agents at `distances` before and after `own` on the ring of `agents`.
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
    let Some(position) = ring.iter().position(|name| *name == own.instance) else {
        return;
    };
    for distance in distances {
        let step = distance % ring.len();
        chosen.insert(ring[(position + step) % ring.len()].to_owned());
        chosen.insert(ring[(position + ring.len() - step) % ring.len()].to_owned());
    }
}
