//! Where an agent gets a piece of weights: each piece has one importer a region, and one of them
//! fetches it from the origin, so that a version leaves the origin about once. Within a region a
//! piece goes down a tree of its agents, so that no agent gives much more than it takes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::RegionId;
use crate::relay::catalog::WeightsVersion;

value_type! {
    /// An agent that may hold or bring pieces.
    pub struct PieceAgent {
        /// Address for pulls.
        pub overlay: SocketAddr,
        /// Region.
        pub region: RegionId,
        /// Version whose pieces it is known to hold completely.
        pub holds: Option<WeightsVersion>,
    }

    /// Where a piece is asked for.
    pub enum PieceSource {
        /// Another agent.
        Agent(SocketAddr),
        /// The origin.
        Origin,
    }
}

key_type! {
    /// What an agent does for a piece; those that others wait for come first.
    pub enum PieceRole {
        /// It fetches the piece from the origin for the fleet.
        Fetch,
        /// It imports the piece for its region.
        Import,
        /// It only needs the piece itself.
        Take,
    }
}

/// Agents that one agent gives a piece to: more make the tree flatter, but its queues longer.
const BRANCHES: usize = 4;
/// Holders of a version that are asked before anybody else.
const HOLDERS_ASKED: usize = 2;

/// Agents of one region by address; each piece turns them by an offset of its own.
#[derive(Debug)]
struct RegionRing {
    agents: Vec<SocketAddr>,
    holders: Vec<SocketAddr>,
}

/// Plans the sources of the pieces of one version for one agent.
#[derive(Debug)]
pub struct SourcePlanner {
    own: SocketAddr,
    turn: usize,
    regions: Vec<RegionRing>,
    /// Place of this agent's region.
    region: usize,
    /// Place of this agent in its region.
    place: usize,
    /// Places in the region's ring from one rank to the next.
    stride: usize,
    /// Rank for each distance in the ring from a piece's importer.
    ranks: Vec<usize>,
}

impl SourcePlanner {
    /// A planner for the agent `own` among `agents`.
    #[must_use]
    pub fn new(agents: &[PieceAgent], own: &PieceAgent, version: WeightsVersion) -> Self {
        let mut regions: BTreeMap<&RegionId, Vec<&PieceAgent>> = BTreeMap::new();
        let others = agents.iter().filter(|agent| agent.overlay != own.overlay);
        for agent in others.chain(std::iter::once(own)) {
            regions.entry(&agent.region).or_default().push(agent);
        }
        let region = regions.keys().position(|region| **region == own.region);
        let rings = regions.into_values().map(|mut agents| {
            agents.sort_unstable_by_key(|agent| agent.overlay);
            let others = agents.iter().filter(|agent| agent.overlay != own.overlay);
            let holders = others.filter(|agent| agent.holds == Some(version));
            RegionRing {
                holders: holders.map(|agent| agent.overlay).collect(),
                agents: agents.iter().map(|agent| agent.overlay).collect(),
            }
        });
        let regions: Vec<RegionRing> = rings.collect();
        let region = region.unwrap_or(0);
        let ring = &regions[region].agents;
        let count = ring.len();
        let stride = stride(count);
        let mut ranks = vec![0; count];
        for rank in 0..count {
            ranks[rank * stride % count] = rank;
        }
        Self {
            stride,
            ranks,
            own: own.overlay,
            turn: usize::try_from(version).unwrap_or(0),
            place: ring.binary_search(&own.overlay).unwrap_or(0),
            region,
            regions,
        }
    }

    /// What the agent does for a piece.
    #[must_use]
    pub fn role(&self, piece: u32) -> PieceRole {
        let piece = piece as usize;
        let held = self.regions.iter().any(|ring| !ring.holders.is_empty());
        match (self.rank(piece), self.home(piece) == self.region && !held) {
            (0, true) => PieceRole::Fetch,
            (0, false) => PieceRole::Import,
            _ => PieceRole::Take,
        }
    }

    /// Sources of a piece, best first; the origin comes last.
    ///
    /// Holders of the version in the same region come first, then those above this agent in the
    /// tree. The importer asks a holder elsewhere and the fetcher; the next in rank stands behind
    /// it, for where it fails.
    #[must_use]
    pub fn sources(&self, piece: u32) -> Vec<PieceSource> {
        let piece = piece as usize;
        let near = &self.regions[self.region];
        let mut order = turned(&near.holders, piece + self.place, HOLDERS_ASKED);
        let mut rank = self.rank(piece);
        if rank == 0 {
            let elsewhere = self.regions.iter().enumerate();
            let elsewhere = elsewhere.filter(|(at, _)| *at != self.region);
            let far: Vec<SocketAddr> = elsewhere
                .flat_map(|(_, ring)| ring.holders.iter().copied())
                .collect();
            order.extend(turned(&far, piece, 1));
            let home = self.home(piece);
            if home != self.region {
                let offset = self.offset(home, piece);
                order.extend(turned(&self.regions[home].agents, offset, 2));
            }
        }
        let offset = self.offset(self.region, piece);
        while rank > 0 {
            rank = (rank - 1) / BRANCHES;
            order.push(near.agents[(offset + rank * self.stride) % near.agents.len()]);
        }
        let mut found: Vec<PieceSource> = Vec::new();
        for agent in order {
            let source = PieceSource::Agent(agent);
            if agent != self.own && !found.contains(&source) {
                found.push(source);
            }
        }
        found.push(PieceSource::Origin);
        found
    }

    /// Region whose importer fetches a piece.
    fn home(&self, piece: usize) -> usize {
        (piece + self.turn) % self.regions.len()
    }

    /// Rank of this agent for a piece in its region; the importer has rank 0.
    fn rank(&self, piece: usize) -> usize {
        let count = self.regions[self.region].agents.len();
        self.ranks[(self.place + count - self.offset(self.region, piece)) % count]
    }

    /// Place of a piece's importer in a region. Pieces that the region fetches go round its agents
    /// one way and those that it imports the other way, so that each has an equal part of both.
    fn offset(&self, region: usize, piece: usize) -> usize {
        let regions = self.regions.len();
        let count = self.regions[region].agents.len();
        let first = (region + regions - self.turn % regions) % regions;
        let turn = self.turn % count;
        if piece % regions == first {
            return (piece / regions + turn) % count;
        }
        let fetched = (piece + regions - 1 - first) / regions;
        (count - 1 - (piece - fetched) % count + turn) % count
    }
}

/// Distance of two ranks in a ring of `count`: agents that give a piece on are about so far apart, so
/// that those of the next pieces are others.
fn stride(count: usize) -> usize {
    let coprime = |stride: &usize| gcd(*stride, count) == 1;
    (BRANCHES..BRANCHES + count).find(coprime).unwrap_or(1)
}

fn gcd(left: usize, right: usize) -> usize {
    if right == 0 {
        return left;
    }
    gcd(right, left % right)
}

/// Up to `count` of `agents`, beginning at a place.
fn turned(agents: &[SocketAddr], from: usize, count: usize) -> Vec<SocketAddr> {
    let order = agents.iter().cycle().skip(from % agents.len().max(1));
    order.take(count.min(agents.len())).copied().collect()
}
