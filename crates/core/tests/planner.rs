//! The planner over seeded orders of events, with loss, corruption and deaths.

use std::time::{Duration, Instant};

use agatepin_core::chunk_mesh;
use agatepin_core::ids::ContentDigest;
use agatepin_core::manifest::{ChunkSpec, WeightManifest};
use agatepin_core::planner::{
    ChunkPlanner, ChunkSource, PlannedRequest, PlannerPeer, PlannerPolicy,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const POLICY: PlannerPolicy = PlannerPolicy {
    max_open_requests: 4,
    takeover: Duration::from_millis(100),
    max_request_timeout: Duration::from_millis(400),
};
const MAX_LINKS: usize = 32;
const MAX_ROUNDS: usize = 20_000;

fn manifest(chunks: usize) -> WeightManifest {
    let spec = |index: usize| ChunkSpec {
        digest: ContentDigest::of(&index.to_le_bytes()),
        bytes: 1,
    };
    WeightManifest {
        model: "press".into(),
        version: "v1".into(),
        base: None,
        tensor_parallel: 1,
        chunk_bytes: 1,
        total_digest: ContentDigest::of(b"whole"),
        chunks: (0..chunks).map(spec).collect(),
    }
}

fn agents(count: usize) -> Vec<PlannerPeer> {
    let peer = |index: usize| PlannerPeer {
        instance: format!("a{index:04}"),
        data_centre: format!("d{}", index % 3),
        region: format!("r{}", (index % 3) / 2),
    };
    (0..count).map(peer).collect()
}

#[derive(Clone, Copy)]
struct Faults {
    corrupt: f64,
    lost: f64,
    kills: usize,
}

/// What a run cost.
#[derive(Debug)]
struct RunCost {
    origin: usize,
    abroad: usize,
    finished: bool,
}

/// Runs all planners against each other: requests of one round are answered in the next.
fn run(count: usize, chunks: usize, faults: Faults, seed: u64) -> RunCost {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut all = agents(count);
    let manifest = manifest(chunks);
    let mut planners: Vec<ChunkPlanner> = Vec::new();
    for own in &all {
        let mut planner = ChunkPlanner::new(&manifest, own.clone(), POLICY, now);
        planner.set_agents(&all);
        planners.push(planner);
    }
    let mut cost = RunCost {
        origin: 0,
        abroad: 0,
        finished: false,
    };
    let mut kills = faults.kills;
    for round in 0..MAX_ROUNDS {
        now += STEP;
        if kills > 0 && round % 7 == 6 {
            kills -= 1;
            let dead = rng.random_range(0..all.len());
            let dead_name = all.remove(dead).instance;
            planners.remove(dead);
            for planner in &mut planners {
                planner.remove_peer(&dead_name);
                planner.set_agents(&all);
            }
        }
        exchange(&all, &mut planners, now);
        for (index, planner) in planners.iter_mut().enumerate() {
            planner.expire(now);
            let mut requests = Vec::new();
            while let Some(request) = planner.next(now) {
                requests.push(request);
            }
            for request in requests {
                cost.count(&all, index, &request);
                if rng.random_bool(faults.lost) && request.source != ChunkSource::Origin {
                    continue;
                }
                if rng.random_bool(faults.corrupt) {
                    planner.chunk_failed(request.chunk, now);
                    continue;
                }
                planner.chunk_held(request.chunk, now);
            }
        }
        if planners.iter().all(|planner| planner.missing() == 0) {
            cost.finished = true;
            break;
        }
    }
    cost
}

impl RunCost {
    fn count(&mut self, all: &[PlannerPeer], own: usize, request: &PlannedRequest) {
        match &request.source {
            ChunkSource::Origin => self.origin += 1,
            ChunkSource::Peer(instance) => {
                let sender = all.iter().find(|peer| peer.instance == *instance).unwrap();
                self.abroad += usize::from(sender.region != all[own].region);
            }
        }
    }
}

/// Links as the agents open them: each open link shows both ends what the other holds.
fn exchange(all: &[PlannerPeer], planners: &mut [ChunkPlanner], now: Instant) {
    let held: Vec<Vec<bool>> = planners.iter().map(ChunkPlanner::held).collect();
    let mut wanted = Vec::new();
    for (own, planner) in all.iter().zip(planners.iter()) {
        let mut links = chunk_mesh::neighbours(own, all);
        links.extend(planner.required_peers(MAX_LINKS));
        wanted.push(links);
    }
    for (index, planner) in planners.iter_mut().enumerate() {
        for (other, peer) in all.iter().enumerate() {
            let linked = wanted[index].contains(&peer.instance);
            if linked || wanted[other].contains(&all[index].instance) {
                planner.add_peer(peer, now);
                planner.set_inventory(&peer.instance, &held[other], now);
            }
        }
    }
}

#[rstest]
#[case::one(1)]
#[case::few(3)]
#[case::full_mesh(12)]
#[case::rings(40)]
#[case::many(100)]
fn without_faults_the_origin_gives_each_chunk_once(#[case] count: usize) {
    let none = Faults {
        corrupt: 0.0,
        lost: 0.0,
        kills: 0,
    };
    let cost = run(count, 32, none, 1);
    assert!(cost.finished, "{cost:?}");
    assert_eq!(cost.origin, 32);
    assert!(cost.abroad <= 32, "{cost:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn every_chunk_ends_up_everywhere(
        seed in any::<u64>(),
        count in 2usize..20,
        corrupt in 0.0..0.3f64,
        lost in 0.0..0.3f64,
        kills in 0usize..3,
    ) {
        let kills = kills.min(count - 1);
        let cost = run(count, 16, Faults { corrupt, lost, kills }, seed);
        prop_assert!(cost.finished, "{:?}", cost);
    }
}

#[test]
fn the_next_in_rank_takes_over_from_a_silent_fetcher() {
    let start = Instant::now();
    let all = agents(2);
    let manifest = manifest(16);
    let mut planner = ChunkPlanner::new(&manifest, all[0].clone(), POLICY, start);
    planner.set_agents(&all);
    let mut own = 0;
    while let Some(request) = planner.next(start) {
        planner.chunk_held(request.chunk, start);
        own += 1;
    }
    assert!(own > 0 && own < 16, "the two share the chunks, not {own}");
    assert_eq!(planner.next(start + POLICY.takeover / 2), None);
    let late = planner.next(start + POLICY.takeover);
    assert_eq!(
        late.map(|request| request.source),
        Some(ChunkSource::Origin)
    );
}

#[test]
fn a_corrupt_chunk_is_asked_for_elsewhere() {
    let now = Instant::now();
    let all: Vec<_> = agents(9).into_iter().step_by(3).collect();
    let mut planner = ChunkPlanner::new(&manifest(1), all[0].clone(), POLICY, now);
    planner.set_agents(&all);
    for peer in &all[1..] {
        planner.add_peer(peer, now);
        planner.set_inventory(&peer.instance, &[true], now);
    }
    let first = planner.next(now).unwrap();
    planner.chunk_failed(0, now);
    let second = planner.next(now).unwrap();
    assert_ne!(first.source, second.source);
    assert_ne!(second.source, ChunkSource::Origin);
}

#[test]
fn a_request_is_lost_after_a_few_times_what_peers_took() {
    let start = Instant::now();
    let all = agents(4);
    let near = &all[3];
    let mut planner = ChunkPlanner::new(&manifest(8), all[0].clone(), POLICY, start);
    planner.set_agents(&all);
    planner.add_peer(near, start);
    planner.set_inventory(&near.instance, &[true; 8], start);
    let first = planner.next(start).unwrap();
    let wait = Duration::from_millis(40);
    planner.chunk_held(first.chunk, start + wait);
    let second = planner.next(start + wait).unwrap();
    planner.expire(start + wait * 4);
    assert!(planner.source_of(second.chunk).is_some());
    planner.expire(start + wait * 5);
    assert!(planner.source_of(second.chunk).is_none());
}
