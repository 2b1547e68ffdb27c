use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;

use agatepin_core::relay::sources::{PieceAgent, PieceRole, PieceSource, SourcePlanner};

const PIECES: u32 = 48;

fn fleet() -> Vec<PieceAgent> {
    let regions = ["dakar", "louga", "thies"];
    let agents = (0..27_u8).map(|number| PieceAgent {
        overlay: ([10, 0, number % 3, number], 7_000).into(),
        region: regions[usize::from(number % 3)].to_owned(),
        holds: None,
    });
    agents.collect()
}

/// `each` agents in each of `regions` regions.
fn large_fleet(regions: u8, each: u8) -> Vec<PieceAgent> {
    let places = (0..regions).flat_map(|region| (0..each).map(move |at| (region, at)));
    let agents = places.map(|(region, at)| PieceAgent {
        overlay: ([10, 0, region, at], 7_000).into(),
        region: format!("region-{region}"),
        holds: None,
    });
    agents.collect()
}

fn sources(
    agents: &[PieceAgent],
    own: &PieceAgent,
    version: u64,
    piece: u32,
) -> (PieceRole, Vec<PieceSource>) {
    let planner = SourcePlanner::new(agents, own, version);
    (planner.role(piece), planner.sources(piece))
}

#[test]
fn each_piece_leaves_the_origin_once_and_enters_each_region_once() {
    let agents = fleet();
    for piece in 0..PIECES {
        let mut fetchers = 0;
        let mut importers: BTreeMap<&str, usize> = BTreeMap::new();
        for own in &agents {
            let (role, found) = sources(&agents, own, 2, piece);
            assert_eq!(found.last(), Some(&PieceSource::Origin));
            fetchers += usize::from(role == PieceRole::Fetch);
            if role != PieceRole::Take {
                *importers.entry(&own.region).or_default() += 1;
            }
        }
        assert_eq!(fetchers, 1, "piece {piece}");
        assert_eq!(importers.values().copied().collect::<Vec<_>>(), [1, 1, 1]);
    }
}

#[test]
fn work_is_spread_evenly() {
    let agents = fleet();
    for own in &agents {
        let imported =
            (0..PIECES).filter(|piece| sources(&agents, own, 2, *piece).0 != PieceRole::Take);
        let imported = imported.count();
        assert!(
            (3..=6).contains(&imported),
            "{} imports {imported}",
            own.overlay
        );
    }
}

/// On a larger fleet some agents were importers of three pieces or more and others of none, and gave
/// twice what their links carry within a version's term.
#[rstest]
#[case::of_today(3, 9)]
#[case::eight_in_a_region(3, 8)]
#[case::grown_in_three_regions(3, 33)]
#[case::grown_in_four_regions(4, 22)]
#[case::two_regions(2, 100)]
fn no_agent_gives_much_more_than_a_whole_version(#[case] regions: u8, #[case] each: u8) {
    let agents = large_fleet(regions, each);
    for version in 1..4 {
        let mut given: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        for own in &agents {
            let planner = SourcePlanner::new(&agents, own, version);
            for piece in 0..PIECES {
                if let PieceSource::Agent(giver) = planner.sources(piece)[0] {
                    *given.entry(giver).or_default() += 1;
                }
            }
        }
        let most = given.values().max().unwrap();
        assert!(
            *most <= PIECES + PIECES / 3,
            "{most} pieces are given by one agent"
        );
    }
}

/// Following the first source of each agent ends at the origin, so that no two wait for each other.
#[test]
fn chains_of_sources_end_at_the_origin() {
    let agents = fleet();
    for piece in 0..PIECES {
        for start in &agents {
            let mut own = start;
            let mut hops = 0;
            while let PieceSource::Agent(next) = first(&agents, own, piece) {
                own = agents.iter().find(|agent| agent.overlay == next).unwrap();
                hops += 1;
                // Two levels of the tree of nine agents, and the way to the fetcher's region.
                assert!(hops <= 3);
            }
        }
    }
}

#[test]
fn agents_of_the_region_that_hold_the_version_are_asked_first() {
    let mut agents = fleet();
    agents[4].holds = Some(2);
    let own = agents[1].clone();
    assert_eq!(own.region, agents[4].region);
    for piece in 0..PIECES {
        let expected = PieceSource::Agent(agents[4].overlay);
        assert_eq!(first(&agents, &own, piece), expected);
    }
}

#[test]
fn the_next_in_rank_stands_behind_each_source() {
    let agents = fleet();
    let takers = agents
        .iter()
        .filter(|own| sources(&agents, own, 2, 0).0 == PieceRole::Take);
    for own in takers {
        let (_, found) = sources(&agents, own, 2, 0);
        let addresses: Vec<SocketAddr> = found
            .iter()
            .filter_map(|source| match source {
                PieceSource::Agent(address) => Some(*address),
                PieceSource::Origin => None,
            })
            .collect();
        assert!(!addresses.is_empty() && !addresses.contains(&own.overlay));
    }
}

fn first(agents: &[PieceAgent], own: &PieceAgent, piece: u32) -> PieceSource {
    sources(agents, own, 2, piece).1[0].clone()
}
