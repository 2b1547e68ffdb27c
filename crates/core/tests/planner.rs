//! Chunk planners in seeded simulations with lost requests, corrupt chunks and agents that die.

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

/// Simulated time between two rounds.
const STEP: Duration = Duration::from_millis(10);
/// Policy of all planners; `takeover` is the time without progress after which the next agent in
/// rank fetches a chunk itself.
const POLICY: PlannerPolicy = PlannerPolicy {
    max_open_requests: 4,
    takeover: Duration::from_millis(100),
    max_request_timeout: Duration::from_millis(400),
};
/// Maximum number of links that an agent opens because of [`ChunkPlanner::required_peers`].
const MAX_LINKS: usize = 32;
/// Number of rounds after which a simulation ends although chunks are missing.
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
    /// Probability that a requested chunk arrives corrupt.
    corrupt: f64,
    /// Probability that a request to a peer is never answered.
    lost: f64,
    /// Number of agents that die during the simulation.
    deaths: usize,
}

/// Result of a simulation.
#[derive(Debug)]
struct SimulationResult {
    /// Number of requests to the origin.
    to_origin: usize,
    /// Number of requests to peers in another region.
    to_other_regions: usize,
    /// Whether every live agent holds all chunks.
    finished: bool,
}

/// Runs the planners of `count` agents in rounds of [`STEP`] until all chunks are held everywhere.
/// Requests are answered within their round, except for those that are lost; inventories are
/// exchanged at the start of each round.
fn simulate(count: usize, chunks: usize, faults: Faults, seed: u64) -> SimulationResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut live = agents(count);
    let manifest = manifest(chunks);
    let mut planners: Vec<ChunkPlanner> = Vec::new();
    for own in &live {
        let mut planner = ChunkPlanner::new(&manifest, own.clone(), POLICY, now);
        planner.set_agents(&live);
        planners.push(planner);
    }
    let mut result = SimulationResult {
        to_origin: 0,
        to_other_regions: 0,
        finished: false,
    };
    let mut deaths = faults.deaths;
    for round in 0..MAX_ROUNDS {
        now += STEP;
        if deaths > 0 && round % 7 == 6 {
            deaths -= 1;
            let dead = rng.random_range(0..live.len());
            let dead_name = live.remove(dead).instance;
            planners.remove(dead);
            for planner in &mut planners {
                planner.remove_peer(&dead_name);
                planner.set_agents(&live);
            }
        }
        exchange_inventories(&live, &mut planners, now);
        for (index, planner) in planners.iter_mut().enumerate() {
            planner.expire(now);
            let mut requests = Vec::new();
            while let Some(request) = planner.next(now) {
                requests.push(request);
            }
            for request in requests {
                result.count(&live, index, &request);
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
            result.finished = true;
            break;
        }
    }
    result
}

impl SimulationResult {
    /// Counts a request that the agent at index `own` sends.
    fn count(&mut self, live: &[PlannerPeer], own: usize, request: &PlannedRequest) {
        match &request.source {
            ChunkSource::Origin => self.to_origin += 1,
            ChunkSource::Peer(instance) => {
                let sender = live.iter().find(|peer| peer.instance == *instance).unwrap();
                self.to_other_regions += usize::from(sender.region != live[own].region);
            }
        }
    }
}

/// Links each agent to its neighbours in the chunk mesh and to the peers that its planner requires.
/// Both ends of each link get the other's inventory.
fn exchange_inventories(live: &[PlannerPeer], planners: &mut [ChunkPlanner], now: Instant) {
    let held: Vec<Vec<bool>> = planners.iter().map(ChunkPlanner::held).collect();
    let mut links_by_agent = Vec::new();
    for (own, planner) in live.iter().zip(planners.iter()) {
        let mut links = chunk_mesh::neighbours(own, live);
        links.extend(planner.required_peers(MAX_LINKS));
        links_by_agent.push(links);
    }
    for (index, planner) in planners.iter_mut().enumerate() {
        for (other, peer) in live.iter().enumerate() {
            let linked = links_by_agent[index].contains(&peer.instance);
            if linked || links_by_agent[other].contains(&live[index].instance) {
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
        deaths: 0,
    };
    let result = simulate(count, 32, none, 1);
    assert!(result.finished, "{result:?}");
    assert_eq!(result.to_origin, 32);
    assert!(result.to_other_regions <= 32, "{result:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn every_live_agent_gets_every_chunk_despite_faults(
        seed in any::<u64>(),
        count in 2usize..20,
        corrupt in 0.0..0.3f64,
        lost in 0.0..0.3f64,
        deaths in 0usize..3,
    ) {
        let deaths = deaths.min(count - 1);
        let result = simulate(count, 16, Faults { corrupt, lost, deaths }, seed);
        prop_assert!(result.finished, "{:?}", result);
    }
}

#[test]
fn next_agent_in_the_ranking_fetches_after_the_takeover_time() {
    let start = Instant::now();
    let all = agents(2);
    let manifest = manifest(16);
    let mut planner = ChunkPlanner::new(&manifest, all[0].clone(), POLICY, start);
    planner.set_agents(&all);
    let mut requested = 0;
    while let Some(request) = planner.next(start) {
        planner.chunk_held(request.chunk, start);
        requested += 1;
    }
    assert!(
        requested > 0 && requested < 16,
        "one of two agents requested {requested} of 16 chunks at once"
    );
    assert_eq!(planner.next(start + POLICY.takeover / 2), None);
    let late = planner.next(start + POLICY.takeover);
    assert_eq!(
        late.map(|request| request.source),
        Some(ChunkSource::Origin)
    );
}

#[test]
fn corrupt_chunk_is_requested_from_another_peer() {
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
fn request_times_out_after_a_multiple_of_the_longest_recent_wait() {
    let start = Instant::now();
    let all = agents(4);
    let peer = &all[3];
    let mut planner = ChunkPlanner::new(&manifest(8), all[0].clone(), POLICY, start);
    planner.set_agents(&all);
    planner.add_peer(peer, start);
    planner.set_inventory(&peer.instance, &[true; 8], start);
    let first = planner.next(start).unwrap();
    let wait = Duration::from_millis(40);
    planner.chunk_held(first.chunk, start + wait);
    let second = planner.next(start + wait).unwrap();
    planner.expire(start + wait * 4);
    assert!(planner.source_of(second.chunk).is_some());
    planner.expire(start + wait * 5);
    assert!(planner.source_of(second.chunk).is_none());
}
