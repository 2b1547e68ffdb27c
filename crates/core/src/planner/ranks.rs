//! Ranks of the agents for each chunk: who fetches it first, at each distance.

use crate::rank;

/// Agents of a data centre, a region or the system that come before all others in its ranks.
const FETCHERS: usize = 4;

key_type! {
    /// How far the nearest known holder of a chunk is.
    pub(super) enum HolderDistance {
        DataCentre,
        Region,
        Abroad,
        Origin,
    }
}

/// Agents that come before the own one for a chunk, and who comes first; the position counts in
/// the agents that were given last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnRank {
    pub(super) centre: u32,
    pub(super) region: u32,
    pub(super) system: u32,
    pub(super) region_first: usize,
    pub(super) system_first: usize,
}

/// Another agent as the ranks see it: whether it is one of the fetchers of each scope.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedAgent {
    pub(super) seed: u64,
    pub(super) distance: HolderDistance,
    pub(super) fetches: FetcherScopes,
}

/// Scopes whose chunks an agent fetches before all others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FetcherScopes {
    pub(super) centre: bool,
    pub(super) region: bool,
    pub(super) system: bool,
}

/// Marks the few agents of each scope that fetch first. They are the same for all chunks, so that
/// the origin and the links between regions serve few requests at once and chunks come through one
/// after the other.
pub(super) fn choose_fetchers(manifest: u64, own: &mut RankedAgent, others: &mut [RankedAgent]) {
    let mut ranked: Vec<&mut RankedAgent> = others.iter_mut().chain([own]).collect();
    ranked.sort_by_cached_key(|agent| std::cmp::Reverse(rank::score_seeds(manifest, agent.seed)));
    let (mut centre, mut region) = (0, 0);
    for (system, agent) in ranked.into_iter().enumerate() {
        agent.fetches.system = system < FETCHERS;
        if agent.distance == HolderDistance::Abroad {
            continue;
        }
        agent.fetches.region = region < FETCHERS;
        region += 1;
        if agent.distance == HolderDistance::DataCentre {
            agent.fetches.centre = centre < FETCHERS;
            centre += 1;
        }
    }
}

/// Counts the agents that come before the own one for a chunk, and finds the first ones.
pub(super) fn own_rank(chunk: u64, own: RankedAgent, others: &[RankedAgent]) -> OwnRank {
    let mut ahead = OwnRank::default();
    let score = rank::score_seeds(chunk, own.seed);
    let mut region_best = (own.fetches.region, score);
    let mut system_best = (own.fetches.system, score);
    for (index, agent) in others.iter().enumerate() {
        let other = rank::score_seeds(chunk, agent.seed);
        let in_system = (agent.fetches.system, other);
        if in_system > (own.fetches.system, score) {
            ahead.system += 1;
        }
        if in_system > system_best {
            system_best = in_system;
            ahead.system_first = index;
        }
        if agent.distance == HolderDistance::Abroad {
            continue;
        }
        let in_region = (agent.fetches.region, other);
        if in_region > (own.fetches.region, score) {
            ahead.region += 1;
        }
        if in_region > region_best {
            region_best = in_region;
            ahead.region_first = index;
        }
        let in_centre = (agent.fetches.centre, other);
        if agent.distance == HolderDistance::DataCentre && in_centre > (own.fetches.centre, score) {
            ahead.centre += 1;
        }
    }
    ahead
}
