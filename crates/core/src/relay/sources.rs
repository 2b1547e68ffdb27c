//! Choice of the sources from which an agent gets each piece of the weights. A few agents of the
//! fleet, the fetchers, request pieces from the origin, so that a version leaves the origin about
//! once and the origin's connections do not grow with the fleet. Each other region has one importer
//! for a piece. Within a region a piece is distributed along a tree of agents, so that no agent
//! uploads much more than it downloads.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::RegionId;
use crate::rank;
use crate::relay::catalog::WeightsVersion;

value_type! {
    /// An agent that may hold or fetch pieces.
    pub struct PieceAgent {
        /// Address of the agent for pull requests.
        pub overlay: SocketAddr,
        /// Region in which the agent runs.
        pub region: RegionId,
        /// Version of which the agent is known to hold all pieces, if any.
        pub holds: Option<WeightsVersion>,
    }

    /// Where an agent requests a piece.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum PieceSource {
        /// Another agent, by its overlay address.
        Agent(SocketAddr),
        /// The weight origin.
        Origin,
    }

    /// Pieces and number of the agents that may ask the origin.
    #[derive(Copy)]
    pub struct SourceLimits {
        /// Number of pieces of a version.
        pub pieces: u32,
        /// Number of agents of the fleet that request pieces from the origin. Where there are more
        /// regions, one agent of each region does.
        pub fetchers: usize,
    }
}

key_type! {
    /// Role of an agent for a piece. In the order of the variants, roles on which other agents
    /// depend come first.
    pub enum PieceRole {
        /// The agent fetches the piece from the origin for all regions.
        Fetch,
        /// The agent imports the piece into its region.
        Import,
        /// The agent receives the piece from another agent of its region.
        Receive,
    }
}

/// Maximum number of agents to which one agent uploads a piece, its children in the piece's
/// distribution tree. A higher number would make the tree flatter, but the upload queues longer.
const TREE_FANOUT: usize = 3;
/// Maximum number of agents of the same region holding the complete version that are tried before
/// any other source.
const MAX_LOCAL_HOLDERS: usize = 2;
/// Number of agents that may fetch one piece from the origin, one after the other.
const MAX_ORIGIN_TURNS: usize = 3;
/// Turns at the origin by which an agent is set back while another agent is known to hold the
/// complete version.
const HELD_TURNS: usize = 2;
/// Number of further agents of the same region that are asked for a piece in the end.
const MAX_OTHER_SOURCES: usize = 5;
/// Ranks of the distribution tree whose agents import a piece if the importer fails, besides the
/// importer (rank 0).
const SUBSTITUTE_RANKS: std::ops::RangeInclusive<usize> = 1..=2;

/// Agents of one region.
#[derive(Debug)]
struct RegionAgents {
    /// All agents, in an order that depends on the version. The first are the region's fetchers.
    /// Agents whose views differ in a few agents agree on most of the order.
    agents: Vec<SocketAddr>,
    /// Number of fetchers.
    fetchers: usize,
    /// Agents that hold the complete version, without the agent that plans.
    holders: Vec<SocketAddr>,
}

/// Plans the sources of the pieces of one version for one agent.
#[derive(Debug)]
pub struct SourcePlanner {
    /// Overlay address of this agent.
    own: SocketAddr,
    /// Rotation of the regions, so that different versions start at different regions.
    version_offset: usize,
    regions: Vec<RegionAgents>,
    /// Fetchers of all regions, each with the seed of its rank.
    fetchers: Vec<(u64, SocketAddr)>,
    /// Index of this agent's region in `regions`.
    region: usize,
    /// Index of this agent in its region's agents.
    position: usize,
    /// Distribution tree of each piece, and of the digests, in this agent's region: indices of the
    /// region's agents by rank. The agent of rank 0 gets the piece from outside the region.
    trees: Vec<Vec<usize>>,
    /// Number that stands for the digests of all pieces.
    digests_item: u32,
}

impl SourcePlanner {
    /// Creates a planner for the agent `own` and the pieces of `version`. `agents` are the known
    /// agents; it does not matter whether `own` is among them.
    #[must_use]
    pub fn new(
        agents: &[PieceAgent],
        own: &PieceAgent,
        version: WeightsVersion,
        limits: SourceLimits,
    ) -> Self {
        let mut regions: BTreeMap<&RegionId, Vec<&PieceAgent>> = BTreeMap::new();
        let others = agents.iter().filter(|agent| agent.overlay != own.overlay);
        for agent in others.chain(std::iter::once(own)) {
            regions.entry(&agent.region).or_default().push(agent);
        }
        let region = regions.keys().position(|region| **region == own.region);
        let region = region.unwrap_or(0);
        let fetchers = (limits.fetchers / regions.len()).max(1);
        let regions: Vec<RegionAgents> = regions
            .into_values()
            .map(|mut agents| {
                agents.sort_by_cached_key(|agent| {
                    let score = rank::score_seeds(version, seed(agent.overlay));
                    (Reverse(score), agent.overlay)
                });
                let others = agents.iter().filter(|agent| agent.overlay != own.overlay);
                let holders = others.filter(|agent| agent.holds == Some(version));
                RegionAgents {
                    holders: holders.map(|agent| agent.overlay).collect(),
                    fetchers: fetchers.min(agents.len()),
                    agents: agents.iter().map(|agent| agent.overlay).collect(),
                }
            })
            .collect();
        let all_fetchers = regions.iter();
        let all_fetchers =
            all_fetchers.flat_map(|region| region.agents.iter().take(region.fetchers));
        let position = regions[region].agents.iter();
        let position = position.clone().position(|agent| *agent == own.overlay);
        let mut planner = Self {
            own: own.overlay,
            version_offset: usize::try_from(version).unwrap_or(0),
            position: position.unwrap_or(0),
            fetchers: all_fetchers.map(|agent| (seed(*agent), *agent)).collect(),
            trees: Vec::new(),
            digests_item: limits.pieces,
            region,
            regions,
        };
        planner.trees = planner.trees();
        planner
    }

    /// Role of this agent for a piece.
    #[must_use]
    pub fn role(&self, piece: u32) -> PieceRole {
        if self.origin_turn(piece, |_| false) == Some(0) {
            return PieceRole::Fetch;
        }
        match self.rank(piece as usize) {
            0 => PieceRole::Import,
            _ => PieceRole::Receive,
        }
    }

    /// Turn of this agent at the origin for a piece: 0 if it is the one to fetch the piece, 1 if it
    /// is the next should that agent fail, and so on, without the agents for which `is_lost` holds.
    /// `None` if it must not ask the origin.
    #[must_use]
    pub fn origin_turn<Lost>(&self, piece: u32, is_lost: Lost) -> Option<usize>
    where
        Lost: Fn(&SocketAddr) -> bool,
    {
        let own_region = &self.regions[self.region];
        if self.position >= own_region.fetchers {
            return None;
        }
        let mut fetchers = self.piece_fetchers(piece);
        fetchers.retain(|agent| *agent == self.own || !is_lost(agent));
        let turn = fetchers.iter().position(|agent| *agent == self.own);
        let turn = turn.unwrap_or(MAX_ORIGIN_TURNS);
        let held = self.regions.iter().any(|region| !region.holders.is_empty());
        Some(if held { turn + HELD_TURNS } else { turn })
    }

    /// Agents that this agent requests a piece from, best first.
    ///
    /// Holders of the version in the same region come first, then this agent's ancestors in the
    /// piece's distribution tree. The importer, and if it fails its substitutes, request the piece
    /// from a holder in another region and from the agents that fetch it from the origin.
    #[must_use]
    pub fn sources(&self, piece: u32) -> Vec<SocketAddr> {
        let index = piece as usize;
        let own_region = &self.regions[self.region];
        let mut order = rotated(
            &own_region.holders,
            index + self.position,
            MAX_LOCAL_HOLDERS,
        );
        let tree = self.tree(index);
        let own_rank = self.rank(index);
        let mut rank = own_rank;
        while rank > 0 {
            rank = self.parent(index, rank);
            order.push(own_region.agents[tree[rank]]);
        }
        if own_rank == 0 || SUBSTITUTE_RANKS.contains(&own_rank) {
            let regions = self.regions.iter().enumerate();
            let other_regions = regions.filter(|(region, _)| *region != self.region);
            let remote_holders: Vec<SocketAddr> = other_regions
                .flat_map(|(_, region)| region.holders.iter().copied())
                .collect();
            order.extend(rotated(&remote_holders, index, 1));
        }
        let fetchers = self.piece_fetchers(piece);
        if own_rank == 0 || SUBSTITUTE_RANKS.contains(&own_rank) || fetchers.contains(&self.own) {
            order.extend(fetchers);
        }
        for rank in SUBSTITUTE_RANKS.filter(|rank| *rank < tree.len() && *rank < own_rank) {
            order.push(own_region.agents[tree[rank]]);
        }
        // Agents whose views differ can each take the other for the one to wait for.
        let any = index + self.position;
        order.extend(rotated(&own_region.agents, any, MAX_OTHER_SOURCES));
        let next_region = &self.regions[(self.region + 1) % self.regions.len()];
        order.extend(rotated(&next_region.agents, any, 1));
        let mut found: Vec<SocketAddr> = Vec::new();
        for agent in order {
            if agent != self.own && !found.contains(&agent) {
                found.push(agent);
            }
        }
        found
    }

    /// Index of the region that fetches a piece from the origin.
    fn origin_region(&self, piece: usize) -> usize {
        (piece + self.version_offset) % self.regions.len()
    }

    /// Agents that may fetch a piece from the origin, in the order of their turns: one of the
    /// region that fetches it, then others of any region. The first are chosen such that all fetch
    /// the same number of pieces, the others by rank, on which agents agree also if their views
    /// differ.
    #[must_use]
    pub fn piece_fetchers(&self, piece: u32) -> Vec<SocketAddr> {
        let index = piece as usize;
        let first = &self.regions[self.origin_region(index)];
        let first = first.agents[index / self.regions.len() % first.fetchers];
        let mut others = self.fetchers.clone();
        others.retain(|(_, agent)| *agent != first);
        others.sort_unstable_by_key(|(seed, agent)| {
            (Reverse(rank::score_seeds(u64::from(piece), *seed)), *agent)
        });
        let others = others.into_iter().map(|(_, agent)| agent);
        let found = std::iter::once(first).chain(others);
        found.take(MAX_ORIGIN_TURNS).collect()
    }

    /// Number that stands for the digests of all pieces, which are distributed like a piece.
    #[must_use]
    pub fn digests_item(&self) -> u32 {
        self.digests_item
    }

    /// Address of the agent that plans.
    #[must_use]
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Whether no other agent is known.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.regions.len() == 1 && self.regions[0].agents.len() == 1
    }

    fn tree(&self, piece: usize) -> &[usize] {
        &self.trees[piece.min(self.trees.len() - 1)]
    }

    /// Rank of this agent in its region's distribution tree for a piece; the importer has rank 0.
    fn rank(&self, piece: usize) -> usize {
        let tree = self.tree(piece);
        let rank = tree.iter().position(|agent| *agent == self.position);
        rank.unwrap_or(0)
    }

    /// Rank of the parent of the agent of `rank`, which is above 0. The agent that fetches a piece
    /// from the origin uploads it to the importers of all other regions, and so has only one child.
    fn parent(&self, piece: usize, rank: usize) -> usize {
        let is_origin_region = self.origin_region(piece) == self.region;
        if is_origin_region && self.regions.len() > 1 {
            (rank + TREE_FANOUT - 2) / TREE_FANOUT
        } else {
            (rank - 1) / TREE_FANOUT
        }
    }

    /// The distribution tree of each piece, and of the digests, in this agent's region. Each tree
    /// has those agents at its inner ranks that upload the least in the trees before it, and at its
    /// root the one that imports the least, or the one that fetches the piece from the origin.
    fn trees(&self) -> Vec<Vec<usize>> {
        let region = &self.regions[self.region];
        let count = region.agents.len();
        let mut uploads = vec![0; count];
        let mut imports = vec![0; count];
        let items = 0..=self.digests_item as usize;
        let tree = |piece: usize| {
            let is_origin_region = self.origin_region(piece) == self.region;
            let fetcher = self.piece_fetchers(u32::try_from(piece).unwrap_or(u32::MAX))[0];
            let by_load = |agent: &usize| (uploads[*agent], (agent + piece) % count);
            let mut order: Vec<usize> = (0..count).collect();
            order.sort_by_key(by_load);
            let root = if is_origin_region {
                order
                    .iter()
                    .position(|agent| region.agents[*agent] == fetcher)
            } else {
                (0..count).min_by_key(|at| (imports[order[*at]], *at))
            };
            let root = order.remove(root.unwrap_or(0));
            order.insert(0, root);
            imports[root] += 1;
            if is_origin_region {
                uploads[root] += self.regions.len() - 1;
            }
            for rank in 1..count {
                uploads[order[self.parent(piece, rank)]] += 1;
            }
            order
        };
        items.map(tree).collect()
    }
}

/// Up to `count` of `agents`, starting at index `from` and wrapping around.
fn rotated(agents: &[SocketAddr], from: usize, count: usize) -> Vec<SocketAddr> {
    let order = agents.iter().cycle().skip(from % agents.len().max(1));
    order.take(count.min(agents.len())).copied().collect()
}

/// Seed of the ranks of an agent.
fn seed(agent: SocketAddr) -> u64 {
    rank::seed(agent.to_string().as_bytes())
}
