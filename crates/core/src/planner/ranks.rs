//! Ranking of the agents for each chunk: which of them fetches it first in each scope, that is, in
//! its data centre, in its region and in the whole system.

use crate::rank;

/// Number of fetchers in each scope: agents that rank before all others of the scope, for every
/// chunk.
const FETCHERS_PER_SCOPE: usize = 4;

key_type! {
    /// Distance of a source, nearest first.
    pub(super) enum HolderDistance {
        /// A peer in the own data centre.
        DataCentre,
        /// A peer in another data centre of the own region.
        Region,
        /// A peer in another region.
        OtherRegion,
        /// The origin, which stores the weights of all models.
        Origin,
    }
}

/// Rank of this agent for one chunk. The indices refer to the list of the other agents that was
/// passed to [`own_rank`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnRank {
    /// Number of agents of the data centre that rank before this one.
    pub(super) centre: u32,
    /// Number of agents of the region that rank before this one.
    pub(super) region: u32,
    /// Number of agents of the whole system that rank before this one.
    pub(super) system: u32,
    /// Index of the region's first agent among the other agents; 0 if this agent is the first.
    pub(super) region_first: usize,
    /// Index of the system's first agent among the other agents; 0 if this agent is the first.
    pub(super) system_first: usize,
}

/// An agent in the ranking.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedAgent {
    /// Hash of the agent's name.
    pub(super) seed: u64,
    /// Distance from the agent that computes the ranking.
    pub(super) distance: HolderDistance,
    /// Scopes in which the agent is a fetcher.
    pub(super) fetches: FetcherScopes,
}

/// Scopes in which an agent is one of the fetchers, which rank before all others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FetcherScopes {
    /// Whether the agent is a fetcher in its data centre.
    pub(super) centre: bool,
    /// Whether the agent is a fetcher in its region.
    pub(super) region: bool,
    /// Whether the agent is a fetcher in the whole system.
    pub(super) system: bool,
}

/// Chooses the fetchers of each scope. They are the same for all chunks of a manifest. So the
/// origin and the links between regions serve few requests at a time and complete chunks one after
/// another, instead of sending many in parallel.
pub(super) fn choose_fetchers(
    manifest_seed: u64,
    own: &mut RankedAgent,
    others: &mut [RankedAgent],
) {
    let mut ranked: Vec<&mut RankedAgent> = others.iter_mut().chain([own]).collect();
    ranked.sort_by_cached_key(|agent| {
        std::cmp::Reverse(rank::score_seeds(manifest_seed, agent.seed))
    });
    let (mut centre, mut region) = (0, 0);
    for (system, agent) in ranked.into_iter().enumerate() {
        agent.fetches.system = system < FETCHERS_PER_SCOPE;
        if agent.distance == HolderDistance::OtherRegion {
            continue;
        }
        agent.fetches.region = region < FETCHERS_PER_SCOPE;
        region += 1;
        if agent.distance == HolderDistance::DataCentre {
            agent.fetches.centre = centre < FETCHERS_PER_SCOPE;
            centre += 1;
        }
    }
}

/// Ranks `own` among `others` for a chunk: by being a fetcher of the scope first, then by score.
pub(super) fn own_rank(chunk_seed: u64, own: RankedAgent, others: &[RankedAgent]) -> OwnRank {
    let mut result = OwnRank::default();
    let score = rank::score_seeds(chunk_seed, own.seed);
    let mut region_best = (own.fetches.region, score);
    let mut system_best = (own.fetches.system, score);
    for (index, agent) in others.iter().enumerate() {
        let other = rank::score_seeds(chunk_seed, agent.seed);
        let in_system = (agent.fetches.system, other);
        if in_system > (own.fetches.system, score) {
            result.system += 1;
        }
        if in_system > system_best {
            system_best = in_system;
            result.system_first = index;
        }
        if agent.distance == HolderDistance::OtherRegion {
            continue;
        }
        let in_region = (agent.fetches.region, other);
        if in_region > (own.fetches.region, score) {
            result.region += 1;
        }
        if in_region > region_best {
            region_best = in_region;
            result.region_first = index;
        }
        let in_centre = (agent.fetches.centre, other);
        if agent.distance == HolderDistance::DataCentre && in_centre > (own.fetches.centre, score) {
            result.centre += 1;
        }
    }
    result
}
