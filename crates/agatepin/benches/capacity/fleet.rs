//! Many daemons in one program, reduced to the part that distributes configuration and membership
//! (spread), on threads apart from the stand-ins. A failure of the setup panics.

use std::net::SocketAddr;
use std::sync::mpsc as std_mpsc;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use agatepin::platform::http::HttpClient;
use agatepin::platform::instances::InstanceReader;
use agatepin::platform::table::DynamoTable;
use agatepin::spread::{self, SpreadHandle, SpreadOptions};
use agatepin::store::ConfigStore;
use agatepin::wire::acceptor::{self, AcceptorIdentity, LinkRoutes};
use agatepin::wire::frames::ProcessRole;
use agatepin::wire::link::{
    DEFAULT_MAX_INTRODUCTIONS, DEFAULT_MAX_LINKS, LinkPolicy, ProcessIdentity,
};
use agatepin_core::config::{
    ChangeRequest, ClusterConfig, ConfigChange, DataCentreSpec, UpstreamKind, UpstreamSpec,
};
use agatepin_core::heartbeat::HeartbeatPolicy;
use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::table::TableOptions;
use agatepin_standins::{InstanceListStandin, TableStandin};
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::usage;

/// Data centres; the region of each is the first letter of its name.
pub const DATA_CENTRES: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];
/// Number of upstreams in the configuration.
pub const UPSTREAMS: usize = 600;

/// Number of threads that the members are distributed over.
const THREADS: usize = 4;
/// Time limit of a request to the table or the instance list.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a member reads the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a member reads the configuration from the table.
const TABLE_INTERVAL: Duration = Duration::from_secs(30);

/// The spread part of one daemon.
pub struct SpreadMember {
    pub handle: SpreadHandle,
    /// Metrics of this member only.
    registry: Registry,
}

/// The daemons, and stand-ins for the platform that they read.
pub struct SpreadFleet {
    pub members: Vec<SpreadMember>,
    /// Table that all members read; its counters cover the reads of the whole fleet.
    pub table: TableStandin,
    list: InstanceListStandin,
    store: ConfigStore<DynamoTable>,
    arbiters: Vec<Arbiter>,
    /// Directory under `/proc` of each arbiter's thread.
    threads: Vec<String>,
    stopped: CancellationToken,
}

/// The first configuration: all data centres and upstreams, no model.
pub fn document() -> ClusterConfig {
    let mut config = ClusterConfig::default();
    for name in DATA_CENTRES {
        let spec = DataCentreSpec {
            region: name[..1].to_owned(),
            out: false,
        };
        config.data_centres.insert(name.to_owned(), spec);
    }
    for number in 0..UPSTREAMS {
        let spec = UpstreamSpec {
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
            kind: UpstreamKind::Engine,
            checks_order_numbers: true,
            reports_load: true,
            may_repeat_calls: true,
            cold_limit: 2,
            warm_limit: 16,
            memory_bytes: 1 << 36,
        };
        config.upstreams.insert(format!("engine-{number:04}"), spec);
    }
    config
}

impl SpreadFleet {
    /// Commits the first configuration and starts `size` daemons.
    pub async fn start(size: usize) -> Self {
        let table = TableStandin::start(TableOptions::default()).await;
        let list = InstanceListStandin::start(InstanceListOptions::default()).await;
        let (table, list) = (table.expect("table"), list.expect("list"));
        let client = HttpClient::start(PLATFORM_TIMEOUT, CancellationToken::new());
        let rows = DynamoTable::new(client, table.url(), None, PLATFORM_TIMEOUT);
        let mut fleet = Self {
            members: Vec::new(),
            store: ConfigStore::new(rows),
            arbiters: (0..THREADS).map(|_| Arbiter::new()).collect(),
            threads: Vec::new(),
            stopped: CancellationToken::new(),
            table,
            list,
        };
        fleet.record_threads();
        fleet
            .commit(ConfigChange::Replace(Box::new(document())), "first")
            .await;
        for number in 0..size {
            let member = fleet.start_member(number).await;
            fleet.members.push(member);
        }
        fleet
    }

    /// Records the directory under `/proc` of each arbiter's thread.
    fn record_threads(&mut self) {
        for arbiter in &self.arbiters {
            let (sender, receiver) = std_mpsc::channel();
            arbiter.spawn_fn(move || drop(sender.send(usage::current_thread())));
            self.threads.push(receiver.recv().expect("thread"));
        }
    }

    /// Commits a change to the table and returns the resulting configuration.
    pub async fn commit(&self, change: ConfigChange, action_id: &str) -> ClusterConfig {
        let request = ChangeRequest {
            action_id: action_id.to_owned(),
            operator: "bench".to_owned(),
            unix_millis: 1,
            change,
        };
        self.store.commit(&request, 0).await.expect("commit").config
    }

    async fn start_member(&self, number: usize) -> SpreadMember {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let wire = listener.local_addr().expect("address");
        let name = format!("instance-{number:04}");
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let listed = ListedInstance {
            id: name.clone(),
            role: "agent".to_owned(),
            data_centre: data_centre.to_owned(),
            wire: wire.to_string(),
            http: wire.to_string(),
            leaving: false,
        };
        let added = self.list.control(InstanceListControl::Add(listed));
        added.expect("listed");
        let registry = Registry::new();
        let identity = ProcessIdentity {
            role: ProcessRole::Agent,
            instance: name,
            incarnation: 1 + number as u64,
            data_centre: data_centre.to_owned(),
        };
        let start = MemberStart {
            identity,
            wire,
            table: self.table.url(),
            list: self.list.url(),
            registry: registry.clone(),
            stopped: self.stopped.clone(),
        };
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let listener = listener.into_std().expect("socket");
        self.arbiters[number % THREADS].spawn_fn(move || {
            let listener = TcpListener::from_std(listener).expect("listener");
            drop(sender.send(start.run(listener)));
        });
        let handle = receiver.await.expect("started");
        SpreadMember { handle, registry }
    }

    /// Waits until `check` has held once for every member and returns the time that this took, or
    /// `None` after `timeout`.
    pub async fn wait_all<Check>(&self, timeout: Duration, check: Check) -> Option<Duration>
    where
        Check: Fn(&SpreadMember) -> bool,
    {
        let start = Instant::now();
        let mut checked = 0;
        while start.elapsed() < timeout {
            while checked < self.members.len() && check(&self.members[checked]) {
                checked += 1;
            }
            if checked == self.members.len() {
                return Some(start.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        None
    }

    /// Processor time of all members so far.
    pub fn cpu(&self) -> Duration {
        let threads = self.threads.iter();
        threads.map(|thread| usage::thread_cpu(thread)).sum()
    }

    /// Sum of the counter `name` over all members and labels.
    pub fn counter_sum(&self, name: &str) -> f64 {
        self.members.iter().map(|member| member.counter(name)).sum()
    }

    /// Stops all members and their threads.
    pub async fn stop(self) {
        self.stopped.cancel();
        tokio::time::sleep(Duration::from_millis(300)).await;
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

impl SpreadMember {
    /// Sum of the counter `name` over all labels; 0 if it is not registered.
    fn counter(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map_or(&[][..], |family| family.get_metric());
        metrics
            .iter()
            .map(|metric| metric.get_counter().get_value())
            .sum()
    }
}

/// What a member needs to start on its thread.
struct MemberStart {
    identity: ProcessIdentity,
    wire: SocketAddr,
    table: String,
    list: String,
    registry: Registry,
    stopped: CancellationToken,
}

impl MemberStart {
    /// Starts the spread tasks of the member, which accept links on `listener`.
    fn run(self, listener: TcpListener) -> SpreadHandle {
        let policy = LinkPolicy {
            connect_timeout: Duration::from_secs(5),
            heartbeat: HeartbeatPolicy {
                interval: Duration::from_millis(500),
                misses: 10,
            },
            shared_key: None,
            tls: None,
            max_links: DEFAULT_MAX_LINKS,
            max_introductions: DEFAULT_MAX_INTRODUCTIONS,
        };
        let (queue, accepted) = tokio::sync::mpsc::unbounded_channel();
        let routes = LinkRoutes {
            spread: Some(queue),
            ..LinkRoutes::default()
        };
        let own = AcceptorIdentity {
            process: self.identity.clone(),
            policy: policy.clone(),
        };
        tokio::spawn(acceptor::run(listener, own, routes, self.stopped.clone()));
        let client = HttpClient::start(PLATFORM_TIMEOUT, self.stopped.clone());
        let table = DynamoTable::new(client.clone(), self.table, None, PLATFORM_TIMEOUT);
        let options = SpreadOptions {
            identity: self.identity,
            policy,
            upstream: None,
            wire: self.wire,
            http: self.wire,
            store: ConfigStore::new(table),
            table_interval: TABLE_INTERVAL,
            instances: InstanceReader::new(client, &self.list, None, PLATFORM_TIMEOUT),
            list_interval: LIST_INTERVAL,
            registry: self.registry,
            leaving: CancellationToken::new(),
            stopped: self.stopped,
        };
        spread::start(options, accepted).expect("start")
    }
}
