//! Time that single decisions of the core take: to plan the request of a chunk, to choose an
//! upstream and to admit a call. `cargo bench -p agatepin --bench decisions` runs it.

use std::hint::black_box;
use std::time::{Duration, Instant};

use agatepin_core::config::{ClusterConfig, DataCentreSpec};
use agatepin_core::gate::{CallEnd, GatePolicy, ServedWeights, UpstreamGate};
use agatepin_core::ids::ContentDigest;
use agatepin_core::manifest::{ChunkSpec, WeightManifest};
use agatepin_core::planner::{ChunkPlanner, PlannerPeer, PlannerPolicy};
use agatepin_core::router::{AgentCandidate, AgentRouter, RouteTarget};
use criterion::{Criterion, criterion_group, criterion_main};

/// Number of agents that the planner knows, including its own.
const PEERS: usize = 1600;
/// Number of chunks of the version to fetch.
const CHUNKS: usize = 4096;
/// Number of candidates that the router chooses among.
const UPSTREAMS: usize = 600;

fn centre(index: usize) -> String {
    format!("d{}", index % 3)
}

fn planner_peer(index: usize) -> PlannerPeer {
    PlannerPeer {
        instance: format!("agent-{index:04}"),
        data_centre: centre(index),
        region: format!("r{}", index % 3 / 2),
    }
}

/// A planner with links to all other agents, each of which holds a third of the chunks.
fn linked_planner(now: Instant) -> ChunkPlanner {
    let chunk = |index: usize| ChunkSpec {
        digest: ContentDigest::of(&index.to_le_bytes()),
        bytes: 1,
    };
    let manifest = WeightManifest {
        model: "press".into(),
        version: "v1".into(),
        base: None,
        tensor_parallel: 1,
        chunk_bytes: 1,
        total_digest: ContentDigest::of(b"whole"),
        chunks: (0..CHUNKS).map(chunk).collect(),
    };
    let policy = PlannerPolicy {
        max_open_requests: 8,
        takeover: Duration::from_secs(2),
        max_request_timeout: Duration::from_secs(10),
    };
    let agents: Vec<PlannerPeer> = (0..PEERS).map(planner_peer).collect();
    let mut planner = ChunkPlanner::new(&manifest, agents[0].clone(), policy, now);
    planner.set_agents(&agents);
    for (index, agent) in agents.iter().enumerate().skip(1) {
        let held: Vec<bool> = (0..CHUNKS)
            .map(|chunk| (chunk + index / 3) % 3 == 0)
            .collect();
        planner.add_peer(agent, now);
        planner.set_inventory(&agent.instance, &held, now);
    }
    planner
}

fn plan_chunks(bench: &mut Criterion) {
    let now = Instant::now();
    let mut planner = linked_planner(now);
    bench.bench_function("plan a chunk, 1600 peers, 4096 chunks", |bencher| {
        // Measures the planning only, not the recording of the chunk or the construction of a new
        // planner once all chunks are held.
        bencher.iter_custom(|count| {
            let mut spent = Duration::ZERO;
            for _ in 0..count {
                let start = Instant::now();
                let request = black_box(planner.next(now));
                spent += start.elapsed();
                let chunk = request.expect("a chunk is missing").chunk;
                planner.chunk_held(chunk, now);
                if planner.missing() == 0 {
                    planner = linked_planner(now);
                }
            }
            spent
        });
    });
}

fn choose_upstreams(bench: &mut Criterion) {
    let mut config = ClusterConfig::default();
    for index in 0..3 {
        let (region, out) = (String::new(), false);
        config
            .data_centres
            .insert(centre(index), DataCentreSpec { region, out });
    }
    let target = RouteTarget::Model("press".into());
    let candidates = (0..UPSTREAMS).map(|index| AgentCandidate {
        instance: format!("agent-{index:03}"),
        incarnation: 1,
        data_centre: centre(index),
        target: target.clone(),
        in_flight: u32::try_from(index % 7).unwrap_or(0),
        limit: 8,
    });
    let mut router = AgentRouter::new("e1".into(), centre(0));
    router.rebuild(candidates, &config);
    let mut random = 0_u64;
    for (name, affinity) in [("load", None), ("affinity", Some(7))] {
        bench.bench_function(
            &format!("choose among 600 upstreams by {name}"),
            |bencher| {
                bencher.iter(|| {
                    random = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    router.choose(&target, affinity, &[], random)
                });
            },
        );
    }
}

fn admit_calls(bench: &mut Criterion) {
    let mut gate = UpstreamGate::new(GatePolicy {
        cold_limit: 2,
        warm_limit: 16,
        slow_after: Duration::from_secs(1),
    });
    gate.serve(Some(ServedWeights {
        model: "press".into(),
        version: "v1".into(),
        digest: ContentDigest::of(b"whole"),
    }));
    bench.bench_function("admit and release a call", |bencher| {
        bencher.iter(|| {
            let admitted = gate.try_admit(black_box(Some("press")), false);
            gate.release(CallEnd::Answered, Some(Duration::from_millis(1)));
            admitted
        });
    });
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = plan_chunks, choose_upstreams, admit_calls
}
criterion_main!(decisions);
