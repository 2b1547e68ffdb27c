//! Where an agent gets a piece of weights: each piece has one importer a region and one fetcher
//! at the origin, so that a version leaves the origin about once.

use std::net::SocketAddr;

use crate::ids::RegionId;
use crate::rank;
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

/// Sources of a piece for the agent at `own`, best first; the origin comes last.
///
/// Agents of the same region that hold the version come first, then the importer of the region,
/// then holders elsewhere and the fetcher of the fleet.
#[must_use]
pub fn sources(
    agents: &[PieceAgent],
    own: &PieceAgent,
    version: WeightsNumber,
    piece: u32,
) -> Vec<PieceSource> {
    let key = rank::seed(format!("{version}/{piece}").as_bytes());
    let mut ranked: Vec<(u64, &PieceAgent)> = agents
        .iter()
        .filter(|agent| agent.overlay != own.overlay)
        .chain(std::iter::once(own))
        .map(|agent| (score(key, agent), agent))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    let own_score = score(key, own);
    let mut found = Vec::new();
    let mut add = |agent: &PieceAgent| {
        let source = PieceSource::Agent(agent.overlay);
        if agent.overlay != own.overlay && !found.contains(&source) {
            found.push(source);
        }
    };
    let near = |agent: &&PieceAgent| agent.region == own.region;
    let holds = |agent: &&PieceAgent| agent.holds == Some(version);
    let all = || ranked.iter().map(|(_, agent)| *agent);
    let holders_near = all().filter(near).filter(holds).take(2);
    holders_near.for_each(&mut add);
    let importer = all().find(near);
    if let Some(importer) = importer
        && score(key, importer) > own_score
    {
        add(importer);
    } else {
        all().filter(holds).take(1).for_each(&mut add);
        let fetcher = all().next();
        if let Some(fetcher) = fetcher
            && score(key, fetcher) > own_score
        {
            add(fetcher);
        }
    }
    found.push(PieceSource::Origin);
    found
}

fn score(key: u64, agent: &PieceAgent) -> u64 {
    rank::mix(key, rank::seed(agent.overlay.to_string().as_bytes()))
}
