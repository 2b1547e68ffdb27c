//! The daemons and stand-ins of the demo.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatepin::agent::AgentDaemon;
use agatepin::daemon::{Daemon, ReadyReport};
use agatepin::entry::EntryDaemon;
use agatepin::rpc::operator_client::OperatorClient;
use agatepin::rpc::{
    ApplyRequest, ClusterConfig, CustomerSpec, DataCentreSpec, DeployModelRequest, ModelSpec,
    SetDataCentreRequest, UpstreamKind, UpstreamSpec,
};
use agatepin_standins::engine::EngineOptions;
use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::origin::{OriginControl, OriginOptions, VersionSpec};
use agatepin_standins::service::ServiceOptions;
use agatepin_standins::table::TableOptions;
use agatepin_standins::{
    EngineStandin, InstanceListStandin, OriginStandin, ServiceStandin, TableStandin,
};
use eyre::{Result, bail};
use tonic::transport::{Channel, Endpoint};

const MODEL: &str = "press";
/// Size of each version in bytes.
const MODEL_BYTES: u64 = 16 * 1024 * 1024;
/// Size of a chunk in bytes.
const CHUNK_BYTES: u64 = 256 * 1024;
/// Rate at which the origin sends to all agents together, in bytes per second.
const ORIGIN_RATE: u64 = 32 * 1024 * 1024;
/// Time for which an engine is cold after it has loaded weights.
const COLD_START: Duration = Duration::from_millis(300);
/// Data centres of the cluster; each has one entry.
const CENTRES: [&str; 3] = ["boston-a", "hartford-a", "portland-a"];
/// Number of engines, one more than the replicas of the model that the demo deploys.
const ENGINES: usize = 9;
/// Interval at which a wait reads the state of the stand-ins.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without new requests after which a data centre counts as quiet.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// An engine stand-in and the data centre of its agent.
struct DemoEngine {
    data_centre: &'static str,
    standin: EngineStandin,
}

/// The running daemons and stand-ins.
pub struct DemoCluster {
    table: TableStandin,
    instances: InstanceListStandin,
    origin: OriginStandin,
    service: ServiceStandin,
    engines: Vec<DemoEngine>,
    agents: Vec<AgentDaemon>,
    entries: Vec<EntryDaemon>,
}

impl DemoCluster {
    /// Starts all stand-ins and daemons.
    ///
    /// # Errors
    ///
    /// If one of them does not start.
    pub async fn start() -> Result<Self> {
        let mut cluster = Self {
            table: TableStandin::start(TableOptions::default()).await?,
            instances: InstanceListStandin::start(InstanceListOptions::default()).await?,
            origin: OriginStandin::start(OriginOptions {
                bytes_per_second: ORIGIN_RATE,
                ..OriginOptions::default()
            })
            .await?,
            service: ServiceStandin::start(ServiceOptions::default()).await?,
            engines: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
        };
        for version in ["v1", "v2"] {
            let spec = VersionSpec::new(MODEL, version, MODEL_BYTES, CHUNK_BYTES);
            control(cluster.origin.control(OriginControl::Declare(spec)))?;
        }
        for (index, data_centre) in CENTRES.into_iter().enumerate() {
            cluster
                .start_entry(&format!("entry-{index}"), data_centre)
                .await?;
        }
        for index in 0..ENGINES {
            cluster
                .start_engine(index, CENTRES[index % CENTRES.len()])
                .await?;
        }
        let url = cluster.service.url();
        cluster.start_agent("desk-0", CENTRES[0], &url).await?;
        Ok(cluster)
    }

    async fn start_entry(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let settings = format!(
            "{}\n[operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n\
             [calls]\nkeep_addresses = \"200ms\"\nshutdown_timeout = \"5s\"\n",
            self.common_settings(name, data_centre)
        );
        let entry = EntryDaemon::start(toml::from_str(&settings)?).await?;
        self.add_to_list(&entry.ready(), "entry", data_centre)?;
        self.entries.push(entry);
        Ok(())
    }

    async fn start_engine(&mut self, index: usize, data_centre: &'static str) -> Result<()> {
        let options = EngineOptions {
            cold_start: COLD_START,
            warm_limit: 32,
            ..EngineOptions::default()
        };
        let standin = EngineStandin::start(options).await?;
        let name = format!("engine-{index}");
        self.start_agent(&name, data_centre, &standin.url()).await?;
        self.engines.push(DemoEngine {
            data_centre,
            standin,
        });
        Ok(())
    }

    async fn start_agent(&mut self, name: &str, data_centre: &str, url: &str) -> Result<()> {
        let settings = format!(
            "{}\n[upstream]\nname = \"{name}\"\nurl = \"{url}\"\nstate_interval = \"100ms\"\n",
            self.common_settings(name, data_centre)
        );
        let agent = AgentDaemon::start(toml::from_str(&settings)?).await?;
        self.add_to_list(&agent.ready(), "agent", data_centre)?;
        self.agents.push(agent);
        Ok(())
    }

    fn common_settings(&self, name: &str, data_centre: &str) -> String {
        format!(
            "[process]\ninstance = \"{name}\"\ndata_centre = \"{data_centre}\"\n\
             wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
             [platform]\ntable = \"{}\"\ninstances = \"{}\"\norigin = \"{}\"\n\
             list_interval = \"200ms\"\n\
             [link]\nshared_key = \"key-of-the-demo-cluster\"\n",
            self.table.url(),
            self.instances.url(),
            self.origin.url()
        )
    }

    fn add_to_list(&self, ready: &ReadyReport, role: &str, data_centre: &str) -> Result<()> {
        let listed = ListedInstance {
            id: ready.instance.clone(),
            role: role.to_owned(),
            data_centre: data_centre.to_owned(),
            wire: ready.wire.to_string(),
            http: ready.http.to_string(),
            leaving: false,
        };
        control(self.instances.control(InstanceListControl::Add(listed)))
    }

    /// Base URLs of the entries' API for callers.
    pub fn entry_urls(&self) -> Vec<String> {
        let mut urls = Vec::new();
        for entry in &self.entries {
            urls.push(format!("http://{}", entry.ready().http));
        }
        urls
    }

    async fn operator(&self) -> Result<OperatorClient<Channel>> {
        let address = self.entries.iter().find_map(|entry| entry.ready().operator);
        let Some(address) = address else {
            bail!("no entry serves the operator API");
        };
        let channel = Endpoint::from_shared(format!("http://{address}"))?;
        Ok(OperatorClient::new(channel.connect().await?))
    }

    /// Commits the first configuration, with `replicas` replicas of `version`.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or refuses the configuration.
    pub async fn apply(&self, version: &str, replicas: u32) -> Result<()> {
        let request = ApplyRequest {
            action_id: "demo-apply".into(),
            operator: "demo".into(),
            config: Some(self.document(version, replicas)),
            expected_revision: 0,
        };
        self.operator().await?.apply(request).await?;
        Ok(())
    }

    /// The complete configuration document of the demo.
    fn document(&self, version: &str, replicas: u32) -> ClusterConfig {
        let mut config = ClusterConfig::default();
        for name in CENTRES {
            config.data_centres.push(DataCentreSpec {
                name: name.into(),
                region: "new-england".into(),
                out: false,
            });
        }
        for (index, engine) in self.engines.iter().enumerate() {
            config.upstreams.push(UpstreamSpec {
                name: format!("engine-{index}"),
                data_centre: engine.data_centre.into(),
                kind: UpstreamKind::Engine.into(),
                checks_order_numbers: true,
                reports_load: true,
                may_repeat_calls: true,
                cold_limit: 2,
                warm_limit: 16,
                ..UpstreamSpec::default()
            });
        }
        config.upstreams.push(UpstreamSpec {
            name: "desk-0".into(),
            data_centre: CENTRES[0].into(),
            kind: UpstreamKind::Service.into(),
            service: "desk".into(),
            cold_limit: 8,
            warm_limit: 32,
            ..UpstreamSpec::default()
        });
        config.models.push(ModelSpec {
            name: MODEL.into(),
            version: version.into(),
            replicas,
            ..ModelSpec::default()
        });
        config.customers.push(CustomerSpec {
            name: "dispatch".into(),
            weight: 1,
            ..CustomerSpec::default()
        });
        config
    }

    /// Deploys `version` of the model with the number of replicas unchanged.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or refuses the change.
    pub async fn deploy(&self, version: &str) -> Result<()> {
        let request = DeployModelRequest {
            action_id: format!("demo-deploy-{version}"),
            operator: "demo".into(),
            model: MODEL.into(),
            version: version.into(),
            replicas: 0,
        };
        self.operator().await?.deploy_model(request).await?;
        Ok(())
    }

    /// Takes a data centre out of service or brings it back.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or refuses the change.
    pub async fn set_data_centre(&self, name: &str, out: bool) -> Result<()> {
        let request = SetDataCentreRequest {
            action_id: format!("demo-{name}-{out}"),
            operator: "demo".into(),
            name: name.into(),
            out,
        };
        self.operator().await?.set_data_centre(request).await?;
        Ok(())
    }

    /// Number of engines that hold `version`.
    pub fn serving_count(&self, version: &str) -> u32 {
        let mut count = 0;
        for engine in &self.engines {
            count += u32::from(engine.standin.state().version.as_deref() == Some(version));
        }
        count
    }

    /// Waits until `replicas` engines hold `version`.
    ///
    /// # Errors
    ///
    /// If fewer engines hold it after `timeout`.
    pub async fn wait_serving(
        &self,
        version: &str,
        replicas: u32,
        timeout: Duration,
    ) -> Result<()> {
        let deadline = Instant::now() + timeout;
        while self.serving_count(version) < replicas {
            if Instant::now() > deadline {
                bail!(
                    "{}/{replicas} replicas of {version} serve after {timeout:?}",
                    self.serving_count(version)
                );
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Number of requests that the engines of a data centre have received so far.
    pub fn request_count(&self, data_centre: &str) -> u64 {
        let mut requests = 0;
        for engine in &self.engines {
            if engine.data_centre == data_centre {
                requests += engine.standin.state().counters.requests;
            }
        }
        requests
    }

    /// Waits until a data centre has received no new request for `QUIET_TIME`.
    ///
    /// # Errors
    ///
    /// If the data centre still receives new requests after `timeout` plus `QUIET_TIME`.
    pub async fn wait_quiet(&self, data_centre: &str, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout + QUIET_TIME;
        let mut requests = self.request_count(data_centre);
        let mut since = Instant::now();
        while since.elapsed() < QUIET_TIME {
            if Instant::now() > deadline {
                bail!("data centre \"{data_centre}\" still receives new requests");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
            let now = self.request_count(data_centre);
            if now != requests {
                requests = now;
                since = Instant::now();
            }
        }
        Ok(())
    }

    /// Waits until a data centre receives a new request.
    ///
    /// # Errors
    ///
    /// If the data centre receives none within `timeout`.
    pub async fn wait_for_requests(&self, data_centre: &str, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        let before = self.request_count(data_centre);
        while self.request_count(data_centre) == before {
            if Instant::now() > deadline {
                bail!("data centre \"{data_centre}\" receives no requests");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Bytes that the origin has sent so far, as a multiple of the size of one version.
    #[expect(
        clippy::cast_precision_loss,
        reason = "the ratio is printed with two digits"
    )]
    pub fn origin_copies(&self) -> f64 {
        self.origin.state().counters.bytes_sent as f64 / MODEL_BYTES as f64
    }

    /// Highest number of executions of any one order.
    pub fn most_executions(&self) -> u64 {
        let executions: BTreeMap<String, u64> = self.service.state().executions;
        executions.into_values().max().unwrap_or_default()
    }

    /// Number of times that an engine failed under more requests than it can handle.
    pub fn overloads(&self) -> u64 {
        let mut overloads = 0;
        for engine in &self.engines {
            overloads += engine.standin.state().counters.overloads;
        }
        overloads
    }

    /// Shuts all daemons down gracefully, the entries first.
    pub async fn stop(&self) {
        for entry in &self.entries {
            entry.leave().await;
        }
        for agent in &self.agents {
            agent.leave().await;
        }
    }
}

fn control(outcome: Result<(), String>) -> Result<()> {
    outcome.map_err(|message| eyre::eyre!(message))
}
