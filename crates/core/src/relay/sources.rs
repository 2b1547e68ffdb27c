//! Choice of the sources from which an agent gets each piece of the weights. A piece has one
//! importer in each region, and one of the importers fetches it from the origin, so that a version
//! leaves the origin about once. Within a region a piece is distributed along a tree of agents, so
//! that no agent uploads much more than it downloads.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::RegionId;
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
    pub enum PieceSource {
        /// Another agent, by its overlay address.
        Agent(SocketAddr),
        /// The weight origin.
        Origin,
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
const TREE_FANOUT: usize = 4;
/// Maximum number of agents of the same region holding the complete version that are tried before
/// any other source.
const MAX_LOCAL_HOLDERS: usize = 2;

/// Overlay addresses of the agents of one region, in ascending order. For each piece the ring is
/// rotated by another offset.
#[derive(Debug)]
struct RegionRing {
    agents: Vec<SocketAddr>,
    /// Agents of the region that hold the complete version, without the agent that plans.
    holders: Vec<SocketAddr>,
}

/// Plans the sources of the pieces of one version for one agent.
#[derive(Debug)]
pub struct SourcePlanner {
    /// Overlay address of this agent.
    own: SocketAddr,
    /// Rotation of the regions and agents, so that different versions start at different regions
    /// and agents.
    version_offset: usize,
    regions: Vec<RegionRing>,
    /// Index of this agent's region in `regions`.
    region: usize,
    /// Index of this agent in the ring of its region (its agents ordered by address).
    position: usize,
    /// Distance in the region's ring from one rank to the next.
    stride: usize,
    /// Rank of an agent in a piece's distribution tree, by the agent's distance in the ring from
    /// the piece's importer.
    ranks: Vec<usize>,
}

impl SourcePlanner {
    /// Creates a planner for the agent `own` and the pieces of `version`. `agents` are the known
    /// agents; it does not matter whether `own` is among them.
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
            version_offset: usize::try_from(version).unwrap_or(0),
            position: ring.binary_search(&own.overlay).unwrap_or(0),
            region,
            regions,
        }
    }

    /// Role of this agent for a piece.
    #[must_use]
    pub fn role(&self, piece: u32) -> PieceRole {
        let piece = piece as usize;
        let held = self.regions.iter().any(|ring| !ring.holders.is_empty());
        match (
            self.rank(piece),
            self.origin_region(piece) == self.region && !held,
        ) {
            (0, true) => PieceRole::Fetch,
            (0, false) => PieceRole::Import,
            _ => PieceRole::Receive,
        }
    }

    /// Sources of a piece, best first; the origin comes last.
    ///
    /// Holders of the version in the same region come first, then this agent's ancestors in the
    /// piece's distribution tree. The importer requests the piece from a holder in another region,
    /// then from the importer of the region that fetches it, then from the next agent in that
    /// region's ring, in case that importer fails.
    #[must_use]
    pub fn sources(&self, piece: u32) -> Vec<PieceSource> {
        let piece = piece as usize;
        let own_ring = &self.regions[self.region];
        let mut order = rotated(&own_ring.holders, piece + self.position, MAX_LOCAL_HOLDERS);
        let mut rank = self.rank(piece);
        if rank == 0 {
            let other_regions = self.regions.iter().enumerate();
            let other_regions = other_regions.filter(|(at, _)| *at != self.region);
            let remote_holders: Vec<SocketAddr> = other_regions
                .flat_map(|(_, ring)| ring.holders.iter().copied())
                .collect();
            order.extend(rotated(&remote_holders, piece, 1));
            let origin_region = self.origin_region(piece);
            if origin_region != self.region {
                let importer = self.importer(origin_region, piece);
                order.extend(rotated(&self.regions[origin_region].agents, importer, 2));
            }
        }
        let importer = self.importer(self.region, piece);
        while rank > 0 {
            rank = (rank - 1) / TREE_FANOUT;
            order.push(own_ring.agents[(importer + rank * self.stride) % own_ring.agents.len()]);
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

    /// Index of the region whose importer fetches a piece from the origin.
    fn origin_region(&self, piece: usize) -> usize {
        (piece + self.version_offset) % self.regions.len()
    }

    /// Rank of this agent in its region's distribution tree for a piece; the importer has rank 0.
    fn rank(&self, piece: usize) -> usize {
        let count = self.regions[self.region].agents.len();
        self.ranks[(self.position + count - self.importer(self.region, piece)) % count]
    }

    /// Index of a piece's importer in a region's ring. Pieces that the region fetches from the
    /// origin are assigned to its agents in ascending order, and those that it imports in
    /// descending order, so that each agent gets an equal share of both.
    fn importer(&self, region: usize, piece: usize) -> usize {
        let regions = self.regions.len();
        let count = self.regions[region].agents.len();
        let first = (region + regions - self.version_offset % regions) % regions;
        let version_offset = self.version_offset % count;
        if piece % regions == first {
            return (piece / regions + version_offset) % count;
        }
        let fetched = (piece + regions - 1 - first) / regions;
        (count - 1 - (piece - fetched) % count + version_offset) % count
    }
}

/// Distance in a ring of `count` agents from one rank to the next; coprime to `count`, so that the
/// ranks cover the ring. Agents that upload a piece are about this far apart, so that other agents
/// upload the next pieces.
fn stride(count: usize) -> usize {
    let coprime = |stride: &usize| gcd(*stride, count) == 1;
    (TREE_FANOUT..TREE_FANOUT + count)
        .find(coprime)
        .unwrap_or(1)
}

/// Greatest common divisor.
fn gcd(left: usize, right: usize) -> usize {
    if right == 0 {
        return left;
    }
    gcd(right, left % right)
}

/// Up to `count` of `agents`, starting at index `from` and wrapping around.
fn rotated(agents: &[SocketAddr], from: usize, count: usize) -> Vec<SocketAddr> {
    let order = agents.iter().cycle().skip(from % agents.len().max(1));
    order.take(count.min(agents.len())).copied().collect()
}
