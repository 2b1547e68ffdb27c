//! The cluster of one run: agents of the library on a few threads, and stand-ins for their engines
//! and the platform, over loopback.

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use agatepin::agent::AgentDaemon;
use agatepin::daemon::{Daemon, ReadyReport};
use agatepin::platform::PlatformClients;
use agatepin::settings::AgentSettings;
use agatepin::settings::reader::SectionReader;
use agatepin::store::ConfigStore;
use agatepin_core::config::{
    ChangeRequest, ClusterConfig, ConfigChange, DataCentreSpec, ModelSpec, UpstreamKind,
    UpstreamSpec,
};
use agatepin_standins::engine::EngineOptions;
use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::origin::{OriginControl, OriginOptions, SharedChunks, VersionSpec};
use agatepin_standins::table::TableOptions;
use agatepin_standins::{EngineStandin, InstanceListStandin, OriginStandin, TableStandin};
use eyre::{Result, bail, eyre};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::scale::{CHUNK_BYTES, LinkScale, MODEL_BYTES};

/// Number of threads that the agents are distributed over; each runs an actix system of its own.
const THREADS: usize = 8;
/// Number of data centres.
const CENTRES: usize = 3;
/// Interval at which the state of the agents is read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit of the wait until all agents know each other.
const SETUP_TIMEOUT: Duration = Duration::from_secs(30);
const MODEL: &str = "press";

/// An agent and its engine, both owned by one thread.
pub struct BenchAgent {
    pub engine: EngineStandin,
    pub daemon: AgentDaemon,
}

/// Work for a thread, which is given the agents that the thread owns, by index.
type AgentJob = Box<dyn FnOnce(&mut BTreeMap<usize, BenchAgent>) + Send>;

/// A thread that owns some of the agents and runs jobs on them one after the other. It stops its
/// agents and ends once the sender of jobs is dropped.
struct AgentThread {
    jobs: tokio::sync::mpsc::UnboundedSender<AgentJob>,
    thread: Option<JoinHandle<()>>,
}

/// The running agents and stand-ins.
pub struct BenchCluster {
    /// Origin of the weights, which sends at the rate that [`LinkScale`] gives.
    pub origin: OriginStandin,
    table: TableStandin,
    list: InstanceListStandin,
    threads: Vec<AgentThread>,
    /// Addresses of the agents that were not killed, by index.
    ready: BTreeMap<usize, ReadyReport>,
    stopped: CancellationToken,
    store: ConfigStore<agatepin::platform::table::DynamoTable>,
    /// Number of changes committed so far, from which the action ids are made.
    changes: u32,
}

impl BenchCluster {
    /// Starts `count` agents without weights and waits until all know each other.
    ///
    /// # Errors
    ///
    /// If a stand-in or agent does not start, the table refuses the configuration, or the agents do
    /// not know each other within `SETUP_TIMEOUT`.
    pub async fn start(count: usize, scale: &LinkScale) -> Result<Self> {
        let options = OriginOptions {
            bytes_per_second: scale.origin_bytes,
            ..OriginOptions::default()
        };
        let origin = OriginStandin::start(options).await?;
        let table = TableStandin::start(TableOptions::default()).await?;
        let list = InstanceListStandin::start(InstanceListOptions::default()).await?;
        let spec = VersionSpec::new(MODEL, "v1", MODEL_BYTES, CHUNK_BYTES);
        origin
            .control(OriginControl::Declare(spec))
            .map_err(|err| eyre!(err))?;
        let stopped = CancellationToken::new();
        let urls = [table.url(), list.url(), origin.url()];
        let settings = settings(0, "http://127.0.0.1:1", &urls, scale)?;
        let clients = PlatformClients::start(&settings.platform, stopped.clone());
        let mut cluster = Self {
            origin,
            table,
            list,
            threads: (0..THREADS).map(|_| AgentThread::start()).collect(),
            ready: BTreeMap::new(),
            stopped,
            store: ConfigStore::new(clients.table),
            changes: 0,
        };
        cluster
            .commit(ConfigChange::Replace(Box::new(document(count))))
            .await?;
        for index in 0..count {
            let scale = scale.clone();
            let urls = urls.clone();
            cluster.start_agent(index, urls, scale).await?;
        }
        cluster.wait_for_members(count).await?;
        Ok(cluster)
    }

    /// Starts the agent `index` and its engine on one of the threads and adds the agent to the
    /// instance list. `urls` are those of the table, the instance list and the origin.
    async fn start_agent(
        &mut self,
        index: usize,
        urls: [String; 3],
        scale: LinkScale,
    ) -> Result<()> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let thread = &self.threads[index % THREADS];
        let job: AgentJob = Box::new(move |agents| {
            let started = start_pair(index, &urls, &scale);
            let ready = started.map(|agent| {
                let ready = agent.daemon.ready();
                agents.insert(index, agent);
                ready
            });
            let _ = sender.send(ready);
        });
        let _ = thread.jobs.send(job);
        let ready = receiver.await??;
        let instance = ListedInstance {
            id: ready.instance.clone(),
            role: "agent".to_owned(),
            data_centre: centre(index),
            wire: ready.wire.to_string(),
            http: ready.http.to_string(),
            leaving: false,
        };
        self.list
            .control(InstanceListControl::Add(instance))
            .map_err(|err| eyre!(err))?;
        self.ready.insert(index, ready);
        Ok(())
    }

    /// Waits until every agent knows `count` members with their upstreams.
    async fn wait_for_members(&self, count: usize) -> Result<()> {
        let deadline = Instant::now() + SETUP_TIMEOUT;
        for ready in self.ready.values() {
            while self.known_members(ready).await != count {
                if Instant::now() > deadline {
                    bail!("agents do not know all {count} members after {SETUP_TIMEOUT:?}");
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Number of members whose upstream the agent knows; 0 if its dump cannot be read.
    async fn known_members(&self, ready: &ReadyReport) -> usize {
        let Ok(text) = get(&format!("http://{}/dump", ready.http)).await else {
            return 0;
        };
        let dump: Value = serde_json::from_str(&text).unwrap_or_default();
        let members = dump["spread"]["members"].as_array();
        let has_upstream = |member: &&Value| member["upstream"].is_string();
        members.map_or(0, |members| members.iter().filter(has_upstream).count())
    }

    /// Declares version `v2`, which shares half of its chunks with `v1`, at the origin.
    ///
    /// # Errors
    ///
    /// If the origin stand-in refuses the version.
    pub fn declare_next(&self) -> Result<()> {
        let mut spec = VersionSpec::new(MODEL, "v2", MODEL_BYTES, CHUNK_BYTES);
        spec.shares = Some(SharedChunks {
            version: "v1".into(),
            fraction: 0.5,
        });
        self.control(OriginControl::Declare(spec))
    }

    /// Changes how the origin stand-in behaves.
    ///
    /// # Errors
    ///
    /// If the stand-in refuses the command.
    pub fn control(&self, control: OriginControl) -> Result<()> {
        self.origin.control(control).map_err(|err| eyre!(err))
    }

    /// Deploys `version` to every engine.
    ///
    /// # Errors
    ///
    /// If the table refuses the configuration.
    pub async fn deploy(&mut self, version: &str) -> Result<()> {
        let replicas = self.ready.len();
        let mut config = document(replicas);
        let spec = ModelSpec {
            version: version.to_owned(),
            replicas: u32::try_from(replicas)?,
            data_centres: Vec::new(),
            base: None,
        };
        config.models.insert(MODEL.to_owned(), spec);
        self.commit(ConfigChange::Replace(Box::new(config))).await
    }

    async fn commit(&mut self, change: ConfigChange) -> Result<()> {
        self.changes += 1;
        let request = ChangeRequest {
            action_id: format!("change-{}", self.changes),
            operator: "bench".to_owned(),
            unix_millis: 0,
            change,
        };
        self.store
            .commit(&request, 0)
            .await
            .map_err(|err| eyre!("{err}"))?;
        Ok(())
    }

    /// Stops an agent as a crash would, and removes it from the instance list. Does nothing if it
    /// was killed before.
    ///
    /// # Errors
    ///
    /// If the list stand-in refuses the command.
    pub fn kill(&mut self, index: usize) -> Result<()> {
        let Some(ready) = self.ready.remove(&index) else {
            return Ok(());
        };
        let id = ready.instance;
        self.list
            .control(InstanceListControl::Remove { id })
            .map_err(|err| eyre!(err))?;
        let job: AgentJob = Box::new(move |agents| {
            if let Some(agent) = agents.remove(&index) {
                actix_rt::spawn(async move { agent.daemon.stop_now().await });
            }
        });
        let _ = self.threads[index % THREADS].jobs.send(job);
        Ok(())
    }

    /// Number of engines that serve the weights with `digest`.
    pub async fn serving_count(&self, digest: &str) -> usize {
        let mut count = 0;
        for thread in &self.threads {
            let (sender, receiver) = tokio::sync::oneshot::channel();
            let digest = digest.to_owned();
            let job: AgentJob = Box::new(move |agents| {
                let serves = |agent: &&BenchAgent| {
                    agent.engine.state().digest.as_deref() == Some(digest.as_str())
                };
                let _ = sender.send(agents.values().filter(serves).count());
            });
            let _ = thread.jobs.send(job);
            count += receiver.await.unwrap_or(0);
        }
        count
    }

    /// Number of agents that were not killed.
    pub fn live_agents(&self) -> usize {
        self.ready.len()
    }

    /// Digest of a declared version; empty if it is not declared.
    pub fn digest(&self, version: &str) -> String {
        let name = format!("{MODEL}/{version}");
        self.origin
            .state()
            .digests
            .get(&name)
            .cloned()
            .unwrap_or_default()
    }

    /// Sum of one series, with its labels as `/metrics` writes them, over the live agents. Agents
    /// whose metrics cannot be read are skipped.
    pub async fn metric(&self, series: &str) -> f64 {
        let mut sum = 0.0;
        for ready in self.ready.values() {
            let Ok(text) = get(&format!("http://{}/metrics", ready.http)).await else {
                continue;
            };
            for line in text.lines() {
                if let Some((name, value)) = line.rsplit_once(' ')
                    && name == series
                {
                    sum += value.parse().unwrap_or(0.0);
                }
            }
        }
        sum
    }
}

impl Drop for BenchCluster {
    fn drop(&mut self) {
        self.stopped.cancel();
        for thread in &mut self.threads {
            // Replaces the sender of jobs, which ends the thread.
            let (jobs, _) = tokio::sync::mpsc::unbounded_channel();
            thread.jobs = jobs;
            if let Some(thread) = thread.thread.take() {
                let _ = thread.join();
            }
        }
        // The table is held only to keep it running; this use avoids a warning about an unread
        // field.
        let _ = &self.table;
    }
}

impl AgentThread {
    fn start() -> Self {
        let (jobs, mut queue) = tokio::sync::mpsc::unbounded_channel::<AgentJob>();
        let (started, is_started) = mpsc::channel();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let _ = started.send(());
                let mut agents = BTreeMap::new();
                while let Some(job) = queue.recv().await {
                    job(&mut agents);
                }
                for agent in agents.values() {
                    agent.daemon.stop_now().await;
                }
            });
        });
        let _ = is_started.recv();
        Self {
            jobs,
            thread: Some(thread),
        }
    }
}

/// Starts an engine and its agent on the current thread.
fn start_pair(index: usize, urls: &[String; 3], scale: &LinkScale) -> Result<BenchAgent> {
    use futures_util::FutureExt;
    // Both starts end without waiting, so that polling each once is enough; a job is synchronous.
    let engine = EngineStandin::start(EngineOptions::default()).now_or_never();
    let engine = engine.ok_or_else(|| eyre!("the engine did not start at the first poll"))??;
    let settings = settings(index, &engine.url(), urls, scale)?;
    let daemon = AgentDaemon::start(settings).now_or_never();
    let daemon = daemon.ok_or_else(|| eyre!("the agent did not start at the first poll"))??;
    Ok(BenchAgent { engine, daemon })
}

fn settings(
    index: usize,
    engine: &str,
    urls: &[String; 3],
    scale: &LinkScale,
) -> Result<AgentSettings> {
    let [table, list, origin] = urls;
    let (centre, upstream) = (centre(index), upstream(index));
    let (uplink, region, takeover) = (
        scale.uplink_bytes,
        scale.region_share(),
        scale.takeover.as_millis(),
    );
    let text = format!(
        r#"
        [process]
        instance = "agent-{index}"
        data_centre = "{centre}"
        wire = "127.0.0.1:0"
        http = "127.0.0.1:0"
        [platform]
        table = "{table}"
        instances = "{list}"
        origin = "{origin}"
        list_interval = "500ms"
        table_interval = "1s"
        [link]
        allow_plain = true
        heartbeat = "1s"
        heartbeat_misses = 5
        [upstream]
        name = "{upstream}"
        url = "{engine}"
        state_interval = "100ms"
        [weights]
        takeover = "{takeover}ms"
        uplink_bytes = {uplink}
        region_bytes = {region}
        memory_bytes = 67108864
        "#
    );
    SectionReader::parse(&text).map_err(|err| eyre!("{err}"))
}

fn centre(index: usize) -> String {
    format!("d{}", index % CENTRES)
}

fn upstream(index: usize) -> String {
    format!("m{index}")
}

/// A configuration of three data centres, the first two of them in one region, and `count` engines;
/// no model yet.
fn document(count: usize) -> ClusterConfig {
    let mut config = ClusterConfig::default();
    for index in 0..CENTRES {
        let spec = DataCentreSpec {
            region: format!("r{}", index / 2),
            out: false,
        };
        config.data_centres.insert(centre(index), spec);
    }
    for index in 0..count {
        let spec = UpstreamSpec {
            data_centre: centre(index),
            kind: UpstreamKind::Engine,
            checks_order_numbers: true,
            reports_load: true,
            may_repeat_calls: true,
            cold_limit: 1,
            warm_limit: 4,
            memory_bytes: 0,
        };
        config.upstreams.insert(upstream(index), spec);
    }
    config
}

async fn get(url: &str) -> Result<String> {
    let client = awc::Client::default();
    let sent = client.get(url).send().await;
    let mut response = sent.map_err(|err| eyre!("{err}"))?;
    let body = response.body().limit(16 * 1024 * 1024).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
