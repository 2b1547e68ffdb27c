//! Where an agent gets a piece of weights: each piece has one importer a region and one fetcher
//! at the origin, so that a version leaves the origin about once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::RegionId;
use crate::relay::catalog::WeightsNumber;

value_type! {
    /// An agent that may hold or bring pieces.
    pub struct PieceAgent {
        /// Address for pulls.
        pub overlay: SocketAddr,
        /// Region.
        pub region: RegionId,
        /// Version whose pieces it is known to hold completely.
        pub holds: Option<WeightsNumber>,
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
    pub enum PieceDuty {
        /// It fetches the piece from the origin for the fleet.
        Fetch,
        /// It imports the piece for its region.
        Import,
        /// It only needs the piece itself.
        Take,
    }
}

/// What the agent `own` does for a piece, and its sources, best first; the origin comes last.
///
/// Agents of the same region that hold the version come first, then the importer of the region,
/// then a holder elsewhere and the fetcher of the fleet. Behind the first of each role stands the
/// next in rank, for where it fails. Roles go round the agents in the order of their addresses,
/// so that each has an equal part.
#[must_use]
pub fn sources(
    agents: &[PieceAgent],
    own: &PieceAgent,
    version: WeightsNumber,
    piece: u32,
) -> (PieceDuty, Vec<PieceSource>) {
    let mut regions: BTreeMap<&RegionId, Vec<&PieceAgent>> = BTreeMap::new();
    let others = agents.iter().filter(|agent| agent.overlay != own.overlay);
    for agent in others.chain(std::iter::once(own)) {
        regions.entry(&agent.region).or_default().push(agent);
    }
    for agents in regions.values_mut() {
        agents.sort_unstable_by_key(|agent| agent.overlay);
    }
    let (piece, turn) = (piece as usize, usize::try_from(version).unwrap_or(0));
    let round = piece / regions.len() + turn;
    let home = (piece + turn) % regions.len();
    let ranked = |agents: &[&PieceAgent]| -> Vec<SocketAddr> {
        let order = agents.iter().cycle().skip(round % agents.len());
        order
            .take(agents.len())
            .map(|agent| agent.overlay)
            .collect()
    };
    let importers = ranked(&regions[&own.region]);
    let fetchers = regions.values().nth(home).map(|agents| ranked(agents));
    let fetchers = fetchers.unwrap_or_default();
    let holders = |near: bool| -> Vec<SocketAddr> {
        let all = agents.iter().filter(|agent| agent.holds == Some(version));
        let wanted = all.filter(|agent| (agent.region == own.region) == near);
        let mut found: Vec<SocketAddr> = wanted.map(|agent| agent.overlay).collect();
        found.sort_unstable();
        let skip = round % found.len().max(1);
        found.rotate_left(skip);
        found
    };
    let is_importer = importers.first() == Some(&own.overlay);
    let is_fetcher = fetchers.first() == Some(&own.overlay);
    let held = agents.iter().any(|agent| agent.holds == Some(version));
    let duty = match (is_fetcher && !held, is_importer) {
        (true, _) => PieceDuty::Fetch,
        (false, true) => PieceDuty::Import,
        (false, false) => PieceDuty::Take,
    };
    let mut order: Vec<SocketAddr> = holders(true).into_iter().take(2).collect();
    if is_importer {
        order.extend(holders(false).into_iter().take(1));
        order.extend(
            fetchers
                .into_iter()
                .take_while(|agent| *agent != own.overlay)
                .take(2),
        );
    } else {
        order.extend(
            importers
                .into_iter()
                .take_while(|agent| *agent != own.overlay)
                .take(2),
        );
    }
    let mut found: Vec<PieceSource> = Vec::new();
    for agent in order {
        let source = PieceSource::Agent(agent);
        if agent != own.overlay && !found.contains(&source) {
            found.push(source);
        }
    }
    found.push(PieceSource::Origin);
    (duty, found)
}
