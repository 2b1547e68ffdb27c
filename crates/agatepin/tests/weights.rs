//! Tests of the weight distribution between agents on loopback, with stand-ins for the origin and
//! the engines.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::{Duration, Instant};

use actix_web::{App, HttpServer};
use agatepin::agent::gate::SharedGate;
use agatepin::agent::shared::AgentShared;
use agatepin::agent::weights::fencing::{FenceError, FenceStore};
use agatepin::agent::weights::store::ChunkStore;
use agatepin::agent::weights::{self, WeightDependencies};
use agatepin::context::ProcessContext;
use agatepin::settings::AgentSettings;
use agatepin::wire::acceptor::{self, AcceptorIdentity, LinkRoutes};
use agatepin::wire::frames::ProcessRole;
use agatepin::wire::link::ProcessIdentity;
use agatepin_core::config::{ClusterConfig, DataCentreSpec, ModelSpec, UpstreamKind, UpstreamSpec};
use agatepin_core::fence::FenceRaise;
use agatepin_core::gate::{GatePolicy, GateStage, UpstreamGate};
use agatepin_core::ids::FenceNumber;
use agatepin_core::member::{ClusterMember, MemberHealth, MemberRole, MemberView};
use agatepin_standins::engine::{EngineControl, EngineOptions, LoadedWeights};
use agatepin_standins::origin::{OriginControl, OriginOptions, SharedChunks, VersionSpec};
use agatepin_standins::{EngineStandin, OriginStandin};
use prometheus::Registry;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Time limit of each wait for the agents.
const DEADLINE: Duration = Duration::from_secs(30);
/// Length of each chunk in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;
/// Number of chunks of a version.
const CHUNKS: u64 = 24;

/// Store of the fence number (the fencing token of orders to the engine) that no other agent
/// raises: the number is always 1.
struct FixedFence;

impl FenceStore for FixedFence {
    async fn raise(&self, _: &str) -> Result<FenceRaise, FenceError> {
        Ok(FenceRaise {
            number: 1,
            predecessor: false,
        })
    }

    async fn read(&self, _: &str) -> Result<FenceNumber, FenceError> {
        Ok(1)
    }
}

/// The tasks of one agent that distribute weights, with its engine; dropping it stops the tasks.
struct TestAgent {
    shared: Arc<AgentShared>,
    engine: EngineStandin,
    /// Cancelled to stop all tasks of the agent.
    stopped: CancellationToken,
}

/// The origin and the agents of one test.
struct TestCluster {
    origin: OriginStandin,
    /// Configuration in force at all agents.
    config: watch::Sender<Arc<ClusterConfig>>,
    /// Cluster members that all agents know.
    members: watch::Sender<Arc<MemberView>>,
    agents: Vec<TestAgent>,
}

impl TestCluster {
    async fn start(count: usize) -> Self {
        let origin = OriginStandin::start(OriginOptions::default())
            .await
            .unwrap();
        let spec = VersionSpec::new("press", "v1", CHUNKS * CHUNK_BYTES, CHUNK_BYTES);
        origin.control(OriginControl::Declare(spec)).unwrap();
        let mut cluster = Self {
            origin,
            config: watch::Sender::new(Arc::new(cluster_config(count))),
            members: watch::Sender::new(Arc::default()),
            agents: Vec::new(),
        };
        for index in 0..count {
            cluster.add_agent(index).await;
        }
        cluster
    }

    /// Starts an agent with an engine of its own and adds it to the members.
    async fn add_agent(&mut self, index: usize) {
        let engine = EngineStandin::start(EngineOptions::default())
            .await
            .unwrap();
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let wire = listener.local_addr().unwrap();
        let stopped = CancellationToken::new();
        let settings = settings(index, &self.origin.url(), &engine.url());
        let store = ChunkStore::new(settings.weights.memory_bytes);
        let http = serve_chunks(store.clone());
        let shared = self.create_shared(settings, stopped.clone());
        let (links_tx, links_rx) = mpsc::unbounded_channel();
        let identity = AcceptorIdentity {
            process: shared.context.identity.clone(),
            policy: shared.context.policy.clone(),
        };
        let routes = LinkRoutes {
            chunks: Some(links_tx),
            ..LinkRoutes::default()
        };
        tokio::spawn(acceptor::run(listener, identity, routes, stopped.clone()));
        let fence = FixedFence;
        let parts = WeightDependencies { store, fence, http };
        weights::start(shared.clone(), parts, links_rx).unwrap();
        self.members.send_modify(|view| {
            Arc::make_mut(view).members.push(ClusterMember {
                instance: format!("agent-{index}"),
                role: MemberRole::Agent,
                data_centre: data_centre(index),
                wire,
                http,
                upstream: Some(upstream_name(index)),
                leaving: false,
                health: MemberHealth::Alive,
            });
        });
        self.agents.push(TestAgent {
            shared,
            engine,
            stopped,
        });
    }

    fn create_shared(
        &self,
        settings: AgentSettings,
        stopped: CancellationToken,
    ) -> Arc<AgentShared> {
        let context = ProcessContext {
            identity: ProcessIdentity {
                role: ProcessRole::Agent,
                instance: settings.process.instance.clone(),
                incarnation: 1,
                data_centre: settings.process.data_centre.clone(),
            },
            policy: settings.link.policy().unwrap(),
            config: self.config.subscribe(),
            members: self.members.subscribe(),
            registry: Registry::new(),
            leaving: CancellationToken::new(),
            stopped,
        };
        let policy = GatePolicy {
            cold_limit: 1,
            warm_limit: 4,
            slow_after: Duration::from_secs(1),
        };
        Arc::new(AgentShared {
            context,
            settings,
            gate: SharedGate::new(UpstreamGate::new(policy)),
            chunks_held: AtomicU32::new(0),
            chunks_wanted: AtomicU32::new(0),
        })
    }

    /// Waits until all agents serve `version`; panics after [`DEADLINE`].
    async fn wait_until_all_serve(&self, version: &str) {
        for agent in &self.agents {
            wait_until(&format!("{} serves {version}", agent.name()), || {
                agent.serving_version().as_deref() == Some(version)
            })
            .await;
        }
    }

    /// Sum over the agents of the counter `agatepin_NAME` whose first label has the value `label`.
    fn counter(&self, name: &str, label: &str) -> u64 {
        let mut sum = 0.0;
        for agent in &self.agents {
            for family in agent.shared.context.registry.gather() {
                if family.name() != format!("agatepin_{name}") {
                    continue;
                }
                for metric in family.get_metric() {
                    if metric.get_label()[0].value() == label {
                        sum += metric.get_counter().get_value();
                    }
                }
            }
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let sum = sum as u64;
        sum
    }

    /// Puts a configuration in force that deploys `version`.
    fn deploy(&self, version: &str) {
        self.config.send_modify(|config| {
            let config = Arc::make_mut(config);
            config.revision += 1;
            config.models.get_mut("press").unwrap().version = version.into();
        });
    }
}

impl TestAgent {
    fn name(&self) -> &str {
        &self.shared.context.identity.instance
    }

    /// Version that the agent serves; `None` while its gate is closed.
    fn serving_version(&self) -> Option<String> {
        self.shared.gate.read(|gate| {
            let serving = gate.stage() == GateStage::Serving;
            let weights = gate.weights().filter(|_| serving)?;
            Some(weights.version.clone())
        })
    }
}

impl Drop for TestAgent {
    fn drop(&mut self) {
        self.stopped.cancel();
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn upstream_name(index: usize) -> String {
    format!("u{index}")
}

fn data_centre(index: usize) -> String {
    format!("d{}", index % 3)
}

fn serve_chunks(store: ChunkStore) -> SocketAddr {
    let listener = StdListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    let server = HttpServer::new(move || {
        let store = store.clone();
        App::new().configure(move |cfg| weights::http::configure(cfg, store))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .listen(listener)
        .unwrap();
    actix_rt::spawn(server.run());
    address
}

/// Settings of an agent, read from a file as the daemon does.
fn settings(index: usize, origin: &str, engine: &str) -> AgentSettings {
    let dir = tempfile::tempdir().unwrap();
    let path: PathBuf = dir.path().join("agent.toml");
    let text = format!(
        r#"
        [process]
        instance = "agent-{index}"
        data_centre = "{}"
        wire = "127.0.0.1:0"
        http = "127.0.0.1:0"
        [platform]
        table = "{origin}"
        instances = "{origin}"
        origin = "{origin}"
        [link]
        allow_plain = true
        [upstream]
        name = "{}"
        url = "{engine}"
        state_interval = "50ms"
        [weights]
        takeover = "300ms"
        "#,
        data_centre(index),
        upstream_name(index),
    );
    std::fs::write(&path, text).unwrap();
    agatepin::settings::load(&path).unwrap()
}

/// Data centres `d0` and `d1` in one region and `d2` in another, `count` engines and one model with
/// a replica on each.
fn cluster_config(count: usize) -> ClusterConfig {
    let mut data_centres = BTreeMap::new();
    for index in 0..3 {
        let spec = DataCentreSpec {
            region: format!("r{}", index / 2),
            out: false,
        };
        data_centres.insert(data_centre(index), spec);
    }
    let mut upstreams = BTreeMap::new();
    for index in 0..count {
        let spec = UpstreamSpec {
            data_centre: data_centre(index),
            kind: UpstreamKind::Engine,
            checks_order_numbers: true,
            reports_load: true,
            may_repeat_calls: true,
            cold_limit: 1,
            warm_limit: 4,
            memory_bytes: 0,
        };
        upstreams.insert(upstream_name(index), spec);
    }
    let press = ModelSpec {
        version: "v1".into(),
        replicas: u32::try_from(count).unwrap(),
        data_centres: Vec::new(),
        base: None,
    };
    ClusterConfig {
        revision: 1,
        data_centres,
        models: BTreeMap::from([("press".into(), press)]),
        upstreams,
        ..ClusterConfig::default()
    }
}

/// Waits until `condition` holds; panics with `what` after [`DEADLINE`].
async fn wait_until<Predicate>(what: &str, condition: Predicate)
where
    Predicate: Fn() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < DEADLINE, "timed out waiting: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn all_agents_load_a_version_that_the_origin_sends_once() {
    let cluster = TestCluster::start(6).await;
    cluster.wait_until_all_serve("v1").await;
    let counters = cluster.origin.state().counters;
    assert_eq!(counters.chunk_requests, CHUNKS);
    assert_eq!(counters.bytes_sent, CHUNKS * CHUNK_BYTES);
    let copy = CHUNKS * CHUNK_BYTES;
    assert_eq!(cluster.counter("chunk_bytes", "origin"), copy);
    assert_eq!(cluster.counter("weight_loads", "loaded"), 6);
    let sources = ["data-centre", "region", "abroad"];
    let from_peers = sources.map(|source| cluster.counter("chunk_bytes", source));
    assert_eq!(from_peers.iter().sum::<u64>(), copy * 5);
}

#[rstest]
#[case::corrupt_origin(0.2)]
#[actix_rt::test]
async fn corrupt_chunks_are_fetched_again(#[case] fraction: f64) {
    let cluster = TestCluster::start(0).await;
    let corrupt = OriginControl::Corrupt {
        fraction,
        seed: Some(7),
    };
    cluster.origin.control(corrupt).unwrap();
    let mut cluster = cluster;
    cluster.config.send_replace(Arc::new(cluster_config(4)));
    for index in 0..4 {
        cluster.add_agent(index).await;
    }
    cluster.wait_until_all_serve("v1").await;
    let corrupted = cluster.origin.state().counters.corrupted;
    assert!(corrupted > 0);
    assert_eq!(cluster.counter("corrupt_chunks", "origin"), corrupted);
}

#[actix_rt::test]
async fn a_new_version_fetches_only_the_chunks_that_differ() {
    let cluster = TestCluster::start(4).await;
    cluster.wait_until_all_serve("v1").await;
    let mut spec = VersionSpec::new("press", "v2", CHUNKS * CHUNK_BYTES, CHUNK_BYTES);
    spec.shares = Some(SharedChunks {
        version: "v1".into(),
        fraction: 0.5,
    });
    cluster
        .origin
        .control(OriginControl::Declare(spec))
        .unwrap();
    cluster
        .origin
        .control(OriginControl::ResetCounters)
        .unwrap();
    cluster.deploy("v2");
    cluster.wait_until_all_serve("v2").await;
    assert_eq!(cluster.origin.state().counters.chunk_requests, CHUNKS / 2);
}

#[actix_rt::test]
async fn weights_swapped_in_the_engine_close_the_gate_and_are_reloaded() {
    let cluster = TestCluster::start(1).await;
    cluster.wait_until_all_serve("v1").await;
    let agent = &cluster.agents[0];
    // Subscribed before the swap, so that a short closure of the gate is not missed.
    let mut changes = agent.shared.gate.subscribe();
    changes.mark_unchanged();
    let other = LoadedWeights {
        model: "press".into(),
        version: "v0".into(),
        digest: "00".repeat(32),
    };
    agent
        .engine
        .control(EngineControl::SwapWeights(other))
        .unwrap();
    let closed = async {
        while agent.serving_version().is_some() {
            changes.changed().await.unwrap();
        }
    };
    tokio::time::timeout(DEADLINE, closed).await.unwrap();
    cluster.wait_until_all_serve("v1").await;
    assert_eq!(agent.engine.state().loads, 2);
}

#[actix_rt::test]
async fn a_replica_whose_agent_dies_is_replaced_by_a_spare_engine() {
    let mut cluster = TestCluster::start(0).await;
    let mut config = cluster_config(4);
    config.models.get_mut("press").unwrap().replicas = 3;
    cluster.config.send_replace(Arc::new(config));
    for index in 0..4 {
        cluster.add_agent(index).await;
    }
    let serving = || {
        cluster
            .agents
            .iter()
            .filter(|agent| agent.serving_version().is_some())
    };
    wait_until("three replicas serve", || serving().count() == 3).await;
    let dead_agent = serving().next().unwrap();
    dead_agent.stopped.cancel();
    cluster.members.send_modify(|view| {
        let mut members = Arc::make_mut(view).members.iter_mut();
        let member = members.find(|member| member.instance == dead_agent.name());
        member.unwrap().health = MemberHealth::Dead;
    });
    wait_until("the spare engine serves", || serving().count() == 4).await;
}
