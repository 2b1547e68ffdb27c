//! Sources of the pieces of the weights.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rstest::rstest;

use agatepin_core::relay::sources::{PieceAgent, PieceRole, SourceLimits, SourcePlanner};

/// Number of pieces of a version.
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

/// `per_region` agents in each of `regions` regions.
fn large_fleet(regions: u8, per_region: u8) -> Vec<PieceAgent> {
    let positions = (0..regions).flat_map(|region| (0..per_region).map(move |at| (region, at)));
    let agents = positions.map(|(region, at)| PieceAgent {
        overlay: ([10, 0, region, at], 7_000).into(),
        region: format!("region-{region}"),
        holds: None,
    });
    agents.collect()
}

/// Limits of a version with 48 pieces.
const LIMITS: SourceLimits = SourceLimits {
    pieces: PIECES,
    fetchers: 16,
};

fn sources(
    agents: &[PieceAgent],
    own: &PieceAgent,
    version: u64,
    piece: u32,
) -> (PieceRole, Vec<SocketAddr>) {
    let planner = SourcePlanner::new(agents, own, version, LIMITS);
    (planner.role(piece), planner.sources(piece))
}

#[test]
fn each_piece_leaves_the_origin_once_and_enters_each_region_once() {
    let agents = fleet();
    for piece in 0..PIECES {
        let mut fetchers = 0;
        let mut importers: BTreeMap<&str, usize> = BTreeMap::new();
        for own in &agents {
            let (role, _) = sources(&agents, own, 2, piece);
            fetchers += usize::from(role == PieceRole::Fetch);
            if role != PieceRole::Receive {
                *importers.entry(&own.region).or_default() += 1;
            }
        }
        assert_eq!(fetchers, 1, "piece {piece}");
        assert_eq!(importers.values().copied().collect::<Vec<_>>(), [1, 1, 1]);
    }
}

#[test]
fn imports_are_distributed_evenly() {
    let agents = fleet();
    for own in &agents {
        let imported =
            (0..PIECES).filter(|piece| sources(&agents, own, 2, *piece).0 != PieceRole::Receive);
        let imported = imported.count();
        assert!(
            (3..=6).contains(&imported),
            "{} imports {imported}",
            own.overlay
        );
    }
}

/// In a larger fleet some agents once imported three or more pieces and others none. The former had
/// to upload twice what their links can transfer before a version's deadline.
#[rstest]
#[case::three_regions_of_nine(3, 9)]
#[case::three_regions_of_eight(3, 8)]
#[case::three_regions_of_33(3, 33)]
#[case::four_regions_of_22(4, 22)]
#[case::two_regions_of_100(2, 100)]
fn no_agent_uploads_much_more_than_one_version(#[case] regions: u8, #[case] per_region: u8) {
    let agents = large_fleet(regions, per_region);
    for version in 1..4 {
        let mut uploads: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        for own in &agents {
            let planner = SourcePlanner::new(&agents, own, version, LIMITS);
            for piece in 0..PIECES {
                if planner.role(piece) != PieceRole::Fetch {
                    *uploads.entry(planner.sources(piece)[0]).or_default() += 1;
                }
            }
        }
        let most = uploads.values().max().unwrap();
        assert!(
            *most <= PIECES + PIECES / 3,
            "one agent uploads {most} pieces"
        );
    }
}

/// Following the first source of each agent ends at the origin, so that no two agents wait for each
/// other.
#[test]
fn chains_of_sources_end_at_the_origin() {
    let agents = fleet();
    for piece in 0..PIECES {
        for start in &agents {
            let mut own = start;
            let mut hops = 0;
            while sources(&agents, own, 2, piece).0 != PieceRole::Fetch {
                let next = first(&agents, own, piece);
                own = agents.iter().find(|agent| agent.overlay == next).unwrap();
                hops += 1;
                // At most three hops among a region's nine agents, which pass a piece on along a tree
                // with the importer at its root: the one that fetches the piece from the origin has
                // a single child. Elsewhere two, and one to the region of the origin's fetcher.
                assert!(hops <= 3);
            }
        }
    }
}

#[test]
fn holders_of_the_version_in_the_same_region_come_first() {
    let mut agents = fleet();
    agents[4].holds = Some(2);
    let own = agents[1].clone();
    assert_eq!(own.region, agents[4].region);
    for piece in 0..PIECES {
        assert_eq!(first(&agents, &own, piece), agents[4].overlay);
    }
}

#[test]
fn each_receiver_has_another_agent_as_a_source() {
    let agents = fleet();
    let receivers = agents
        .iter()
        .filter(|own| sources(&agents, own, 2, 0).0 == PieceRole::Receive);
    for own in receivers {
        let (_, found) = sources(&agents, own, 2, 0);
        assert!(!found.is_empty() && !found.contains(&own.overlay));
    }
}

/// The agents that may ask the origin for any piece are so few that the origin bears a connection of
/// each, whatever the number of agents.
#[rstest]
#[case::three_regions_of_seven(3, 7)]
#[case::five_regions_of_31(5, 31)]
#[case::six_regions_of_100(6, 100)]
#[case::twenty_regions_of_three(20, 3)]
fn few_agents_ask_the_origin(#[case] regions: u8, #[case] per_region: u8) {
    let agents = large_fleet(regions, per_region);
    let may_ask = |own: &&PieceAgent| {
        let planner = SourcePlanner::new(&agents, own, 2, LIMITS);
        (0..=PIECES).any(|piece| planner.origin_turn(piece, |_| false).is_some())
    };
    let fetchers = agents.iter().filter(may_ask).count();
    assert!(
        fetchers <= LIMITS.fetchers.max(usize::from(regions)),
        "{fetchers}"
    );
}

/// The preferred source of `own` for a piece of version 2.
fn first(agents: &[PieceAgent], own: &PieceAgent, piece: u32) -> SocketAddr {
    sources(agents, own, 2, piece).1[0]
}
