//! The cluster of the bench: one engine stand-in, one agent and one entry, with stand-ins for the
//! platform.

use std::time::{Duration, Instant};

use agatepin::rpc::operator_client::OperatorClient;
use agatepin::rpc::{
    ApplyRequest, ClusterConfig, CustomerSpec, DataCentreSpec, ModelSpec, UpstreamKind,
    UpstreamSpec,
};
use agatepin_standins::engine::EngineOptions;
use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::origin::{OriginControl, OriginOptions, VersionSpec};
use agatepin_standins::table::TableOptions;
use agatepin_standins::{EngineStandin, InstanceListStandin, OriginStandin, TableStandin};
use tonic::transport::Endpoint;

use super::Failure;
use super::process::{DaemonProcess, ReadyAddresses};

/// Time limit until the engine serves through the entry.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between the calls that test whether the engine serves through the entry.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Cold and warm limit of the engine in the configuration, in calls at once: above the concurrency
/// of all rounds, so that no call waits for a slot.
const CALL_LIMIT: u32 = 64;

/// The running daemons and stand-ins.
pub struct HopSetup {
    table: TableStandin,
    instances: InstanceListStandin,
    origin: OriginStandin,
    engine: EngineStandin,
    /// The process of the entry.
    pub entry: DaemonProcess,
    /// The process of the agent.
    pub agent: DaemonProcess,
}

impl HopSetup {
    /// Starts everything and waits until the engine serves through the entry.
    ///
    /// # Errors
    ///
    /// If a stand-in or daemon does not start, the configuration is refused, or the engine does not
    /// serve within `READY_TIMEOUT`.
    pub async fn start() -> Result<Self, Failure> {
        let table = TableStandin::start(TableOptions::default()).await;
        let table = table.map_err(|err| err.to_string())?;
        let instances = InstanceListStandin::start(InstanceListOptions::default()).await;
        let instances = instances.map_err(|err| err.to_string())?;
        let origin = OriginStandin::start(OriginOptions::default()).await;
        let origin = origin.map_err(|err| err.to_string())?;
        origin.control(OriginControl::Declare(VersionSpec::new(
            "press", "v1", 65536, 65536,
        )))?;
        let engine = EngineStandin::start(EngineOptions {
            token_interval: Duration::ZERO,
            ..EngineOptions::default()
        })
        .await
        .map_err(|err| err.to_string())?;
        let directory = tempfile::tempdir().map_err(|err| err.to_string())?;
        let common = |name: &str| {
            format!(
                "[process]\ninstance = \"{name}\"\ndata_centre = \"boston-a\"\n\
                 wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
                 [platform]\ntable = \"{}\"\ninstances = \"{}\"\norigin = \"{}\"\n\
                 list_interval = \"100ms\"\n[link]\nallow_plain = true\n",
                table.url(),
                instances.url(),
                origin.url()
            )
        };
        let start = |program: &str, name: &str, rest: &str| {
            let path = directory.path().join(format!("{name}.toml"));
            let text = format!("{}{rest}", common(name));
            std::fs::write(&path, text).map_err(|err| err.to_string())?;
            DaemonProcess::start(program, &path)
        };
        let operator = "[operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n";
        let upstream = format!("[upstream]\nname = \"m1\"\nurl = \"{}\"\n", engine.url());
        let entry = start(env!("CARGO_BIN_EXE_agatepin-entry"), "e1", operator)?;
        let agent = start(env!("CARGO_BIN_EXE_agatepin-agent"), "m1", &upstream)?;
        let setup = Self {
            table,
            instances,
            origin,
            engine,
            entry,
            agent,
        };
        setup.list("e1", "entry", &setup.entry.ready)?;
        setup.list("m1", "agent", &setup.agent.ready)?;
        setup.apply().await?;
        setup.wait_serving().await?;
        Ok(setup)
    }

    /// Base URL of the engine, for direct calls.
    pub fn engine_url(&self) -> String {
        self.engine.url()
    }

    /// Base URL of the entry's API for callers.
    pub fn entry_url(&self) -> String {
        format!("http://{}", self.entry.ready.http)
    }

    /// Adds a daemon to the instance list.
    fn list(&self, id: &str, role: &str, ready: &ReadyAddresses) -> Result<(), Failure> {
        self.instances
            .control(InstanceListControl::Add(ListedInstance {
                id: id.to_owned(),
                role: role.to_owned(),
                data_centre: "boston-a".to_owned(),
                wire: ready.wire.clone(),
                http: ready.http.clone(),
                leaving: false,
            }))
    }

    async fn apply(&self) -> Result<(), Failure> {
        let address = self.entry.ready.operator.clone().unwrap_or_default();
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let channel = endpoint.map_err(|err| err.to_string())?.connect().await;
        let mut client = OperatorClient::new(channel.map_err(|err| err.to_string())?);
        let request = ApplyRequest {
            action_id: "bench".into(),
            operator: "bench".into(),
            config: Some(document()),
            expected_revision: 0,
        };
        let reply = client.apply(request).await;
        reply.map(|_| ()).map_err(|err| err.to_string())
    }

    /// Waits until a chat through the entry is answered; fails after `READY_TIMEOUT`.
    async fn wait_serving(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let client = awc::Client::default();
        let url = self.entry_url();
        while !super::send(&client, &url, &super::chat_body()).await {
            if Instant::now() > deadline {
                let states = (self.table.state().counters, self.origin.state().counters);
                return Err(format!(
                    "the model is not served after {READY_TIMEOUT:?}; counters of table and \
                     origin: {states:?}"
                ));
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

fn document() -> ClusterConfig {
    ClusterConfig {
        data_centres: vec![DataCentreSpec {
            name: "boston-a".into(),
            region: "new-england".into(),
            out: false,
        }],
        models: vec![ModelSpec {
            name: "press".into(),
            version: "v1".into(),
            replicas: 1,
            ..ModelSpec::default()
        }],
        upstreams: vec![UpstreamSpec {
            name: "m1".into(),
            data_centre: "boston-a".into(),
            kind: UpstreamKind::Engine.into(),
            checks_order_numbers: true,
            reports_load: true,
            may_repeat_calls: true,
            cold_limit: CALL_LIMIT,
            warm_limit: CALL_LIMIT,
            ..UpstreamSpec::default()
        }],
        customers: vec![CustomerSpec {
            name: "dispatch".into(),
            weight: 1,
            ..CustomerSpec::default()
        }],
        ..ClusterConfig::default()
    }
}
