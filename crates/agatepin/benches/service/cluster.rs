//! A cluster in one program: each daemon of the library on a thread of its own, and stand-ins for
//! the engines, services and platform.

use std::fmt::Write as _;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use agatepin::agent::AgentDaemon;
use agatepin::client::{ClientConfig, EntryClient};
use agatepin::daemon::{Daemon, ReadyReport};
use agatepin::entry::EntryDaemon;
use agatepin::settings::reader::{SectionReader, SettingsFile};
use agatepin::{document, rpc};
use agatepin_standins::engine::{EngineControl, EngineOptions};
use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::origin::{OriginControl, OriginOptions, VersionSpec};
use agatepin_standins::service::ServiceOptions;
use agatepin_standins::table::{TableControl, TableMode, TableOptions};
use agatepin_standins::{
    EngineStandin, InstanceListStandin, OriginStandin, ServiceStandin, TableStandin,
};
use eyre::{Result, WrapErr, eyre};

/// Calls that an upstream can handle at once while it is cold, for a time after its start.
pub const COLD_LIMIT: usize = 2;
/// Calls that an upstream can handle at once when warm.
pub const WARM_LIMIT: usize = 16;
/// Number of customers in the configuration: `c0` and so on, all of the same weight.
pub const CUSTOMERS: usize = 10;

/// Number of engines.
const ENGINES: usize = 15;
/// Number of upstreams of the plain service `orders`.
const SERVICES: usize = 3;
/// Time for which an engine is cold after a load, or after [`ServiceCluster::turn_cold`].
const COLD_START: Duration = Duration::from_secs(3);
/// Time that a warm engine takes for each token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a service takes for an order.
const ORDER_DELAY: Duration = Duration::from_millis(10);
/// Time limit of the start of one daemon, and of the wait until all engines serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and data centres of a user's deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    /// Data centres; the first two are in one region.
    pub centres: [&'static str; 3],
    /// Number of entries, spread evenly over the data centres.
    pub entries: usize,
}

/// A deployment of the size of Agence's.
pub const AGENCE: Deployment = Deployment {
    name: "agence",
    centres: ["thies-mekhe", "dakar-plateau", "louga-centre"],
    entries: 6,
};
/// A deployment of the size of Quillmark's.
pub const QUILLMARK: Deployment = Deployment {
    name: "quillmark",
    centres: ["boston-a", "hartford-a", "portland-a"],
    entries: 9,
};

/// The running daemons and stand-ins.
pub struct ServiceCluster {
    pub deployment: Deployment,
    /// Addresses of the entries.
    pub entries: Vec<ReadyReport>,
    /// Engine stand-ins, each with the index of its data centre in [`Deployment::centres`].
    engines: Vec<(usize, EngineStandin)>,
    /// Service stand-ins, each with the index of its data centre in [`Deployment::centres`].
    services: Vec<(usize, ServiceStandin)>,
    table: TableStandin,
    origin: OriginStandin,
    instances: InstanceListStandin,
    daemons: Vec<DaemonThread>,
}

/// A daemon on a thread of its own; dropping it stops the daemon and waits for the thread.
struct DaemonThread {
    /// Dropped to stop the daemon.
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for DaemonThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed the panic of a daemon.
            let _ = thread.join();
        }
    }
}

impl ServiceCluster {
    /// Starts the deployment, commits its configuration and waits until all engines are loaded and
    /// warm.
    ///
    /// # Errors
    ///
    /// If a stand-in or daemon does not start, the configuration is refused, or an engine does not
    /// serve within `START_TIMEOUT`.
    pub async fn start(deployment: Deployment) -> Result<Self> {
        let instances = InstanceListStandin::start(InstanceListOptions::default()).await?;
        let table = TableStandin::start(TableOptions::default()).await?;
        let origin = OriginStandin::start(OriginOptions::default()).await?;
        let spec = VersionSpec::new("press", "v1", 1 << 20, 1 << 16);
        origin
            .control(OriginControl::Declare(spec))
            .map_err(|err| eyre!(err))?;
        let mut cluster = Self {
            deployment,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            table,
            origin,
            instances,
            daemons: Vec::new(),
        };
        cluster.start_upstreams().await?;
        cluster.start_daemons()?;
        cluster.configure().await?;
        cluster.wait_serving().await?;
        Ok(cluster)
    }

    async fn start_upstreams(&mut self) -> Result<()> {
        let options = EngineOptions {
            cold_limit: COLD_LIMIT,
            warm_limit: WARM_LIMIT,
            cold_start: COLD_START,
            cold_slowdown: 2,
            token_interval: TOKEN_INTERVAL,
            state_lag: Duration::from_millis(200),
            ..EngineOptions::default()
        };
        for number in 0..ENGINES {
            let engine = EngineStandin::start(options.clone()).await?;
            self.engines.push((number % 3, engine));
        }
        for number in 0..SERVICES {
            let options = ServiceOptions {
                delay: ORDER_DELAY,
                ..ServiceOptions::default()
            };
            let service = ServiceStandin::start(options).await?;
            self.services.push((number % 3, service));
        }
        Ok(())
    }

    fn start_daemons(&mut self) -> Result<()> {
        for number in 0..self.deployment.entries {
            let text = format!(
                "{}[operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n",
                self.settings(&format!("e{number}"), number % 3)
            );
            let ready = self.start_daemon(&text, EntryDaemon::start)?;
            self.add_to_list(&ready, "entry", number % 3)?;
            self.entries.push(ready);
        }
        let engines = self.engines.iter().enumerate();
        let engines = engines.map(|(n, (at, engine))| (format!("m{n}"), *at, engine.url()));
        let services = self.services.iter().enumerate();
        let services = services.map(|(n, (at, service))| (format!("s{n}"), *at, service.url()));
        let upstreams: Vec<_> = engines.chain(services).collect();
        for (name, centre, url) in upstreams {
            let text = format!(
                "{}[upstream]\nname = \"{name}\"\nurl = \"{url}\"\nstate_interval = \"100ms\"\n",
                self.settings(&name, centre)
            );
            let ready = self.start_daemon(&text, AgentDaemon::start)?;
            self.add_to_list(&ready, "agent", centre)?;
        }
        Ok(())
    }

    fn settings(&self, name: &str, centre: usize) -> String {
        format!(
            "[process]\ninstance = \"{name}\"\ndata_centre = \"{}\"\n\
             wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
             [platform]\ntable = \"{}\"\ninstances = \"{}\"\norigin = \"{}\"\n\
             list_interval = \"500ms\"\ntable_interval = \"2s\"\n\
             [link]\nallow_plain = true\n",
            self.deployment.centres[centre],
            self.table.url(),
            self.instances.url(),
            self.origin.url(),
        )
    }

    fn add_to_list(&self, ready: &ReadyReport, role: &str, centre: usize) -> Result<()> {
        let listed = ListedInstance {
            id: ready.instance.clone(),
            role: role.to_owned(),
            data_centre: self.deployment.centres[centre].to_owned(),
            wire: ready.wire.to_string(),
            http: ready.http.to_string(),
            leaving: false,
        };
        self.instances
            .control(InstanceListControl::Add(listed))
            .map_err(|err| eyre!(err))
    }

    /// Starts a daemon on a thread of its own with the settings file `text`. Returns its addresses
    /// once it is ready.
    fn start_daemon<Settings, Process, Starting, Start>(
        &mut self,
        text: &str,
        start: Start,
    ) -> Result<ReadyReport>
    where
        Settings: SettingsFile + Send + 'static,
        Process: Daemon,
        Starting: Future<Output = Result<Process>>,
        Start: FnOnce(Settings) -> Starting + Send + 'static,
    {
        let settings: Settings = SectionReader::parse(text)?;
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let (sender, receiver) = mpsc::channel();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                match start(settings).await {
                    Ok(process) => {
                        drop(sender.send(Ok(process.ready())));
                        drop(stopped.await);
                    }
                    Err(err) => drop(sender.send(Err(err))),
                }
            });
        });
        self.daemons.push(DaemonThread {
            stop: Some(stop),
            thread: Some(thread),
        });
        receiver.recv_timeout(START_TIMEOUT)?
    }

    fn operator(&self) -> Result<ClientConfig> {
        let operators = self.entries.iter().filter_map(|entry| entry.operator);
        let operators: Vec<String> = operators.map(|address| address.to_string()).collect();
        if operators.is_empty() {
            return Err(eyre!("no entry serves the operator API"));
        }
        Ok(ClientConfig::new(operators))
    }

    async fn configure(&self) -> Result<()> {
        let config = document::parse(&self.document())
            .map_err(|errors| eyre!("invalid configuration: {errors:?}"))?;
        let operator = self.operator()?;
        let request = rpc::ApplyRequest {
            action_id: operator.get_action_id(),
            operator: "bench".to_owned(),
            config: Some(config),
            expected_revision: 0,
        };
        let call = async |mut client: EntryClient| client.apply(request.clone()).await;
        operator
            .call(call)
            .await
            .wrap_err("cannot apply the configuration")?;
        Ok(())
    }

    /// The configuration document of the deployment, in TOML.
    fn document(&self) -> String {
        let mut text = String::new();
        for (number, centre) in self.deployment.centres.iter().enumerate() {
            let region = number / 2;
            let _ = write!(text, "[data_centres.{centre}]\nregion = \"r{region}\"\n");
        }
        let _ = write!(
            text,
            "[models.press]\nversion = \"v1\"\nreplicas = {ENGINES}\n"
        );
        let limits = format!("cold_limit = {COLD_LIMIT}\nwarm_limit = {WARM_LIMIT}\n");
        for (number, (at, _)) in self.engines.iter().enumerate() {
            let centre = self.deployment.centres[*at];
            let _ = write!(
                text,
                "[upstreams.m{number}]\ndata_centre = \"{centre}\"\nkind = \"engine\"\n\
                 checks_order_numbers = true\nreports_load = true\n{limits}"
            );
        }
        for (number, (at, _)) in self.services.iter().enumerate() {
            let centre = self.deployment.centres[*at];
            let _ = write!(
                text,
                "[upstreams.s{number}]\ndata_centre = \"{centre}\"\nkind = \"service\"\n\
                 service = \"orders\"\n{limits}"
            );
        }
        for number in 0..CUSTOMERS {
            let _ = write!(text, "[customers.c{number}]\nweight = 1\n");
        }
        text
    }

    /// Waits until all engines are loaded and warm; fails after `START_TIMEOUT`.
    async fn wait_serving(&self) -> Result<()> {
        let deadline = std::time::Instant::now() + START_TIMEOUT;
        while std::time::Instant::now() < deadline {
            let cold = |engine: &EngineStandin| engine.state().cold;
            let loaded = |engine: &EngineStandin| engine.state().version.is_some();
            let mut engines = self.engines.iter().map(|(_, engine)| engine);
            if engines.all(|engine| loaded(engine) && !cold(engine)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(eyre!("not all engines serve after {START_TIMEOUT:?}"))
    }

    /// Takes a data centre out of service or brings it back; returns once the change is committed.
    ///
    /// # Errors
    ///
    /// If no entry accepts the change.
    pub async fn set_data_centre(&self, centre: usize, out: bool) -> Result<()> {
        let operator = self.operator()?;
        let request = rpc::SetDataCentreRequest {
            action_id: operator.get_action_id(),
            operator: "bench".to_owned(),
            name: self.deployment.centres[centre].to_owned(),
            out,
        };
        let call = async |mut client: EntryClient| client.set_data_centre(request.clone()).await;
        operator
            .call(call)
            .await
            .wrap_err("cannot change the data centre")?;
        Ok(())
    }

    /// Makes the engines of a data centre cold for `COLD_START`.
    ///
    /// # Errors
    ///
    /// If an engine stand-in refuses the command.
    pub fn turn_cold(&self, centre: usize) -> Result<()> {
        let cold_ms = u64::try_from(COLD_START.as_millis())?;
        for (at, engine) in &self.engines {
            if *at == centre {
                let control = EngineControl::TurnCold {
                    cold_ms,
                    hidden: false,
                };
                engine.control(control).map_err(|err| eyre!(err))?;
            }
        }
        Ok(())
    }

    /// Takes the table down, or up again.
    ///
    /// # Errors
    ///
    /// If the table stand-in refuses the command.
    pub fn set_table_down(&self, down: bool) -> Result<()> {
        let mode = if down { TableMode::Down } else { TableMode::Up };
        self.table
            .control(TableControl::Mode(mode))
            .map_err(|err| eyre!(err))
    }

    /// Calls that the engines and services of a data centre have received so far.
    pub fn received_calls(&self, centre: usize) -> u64 {
        let mut received = 0;
        for (at, engine) in &self.engines {
            if *at == centre {
                received += engine.state().counters.requests;
            }
        }
        for (at, service) in &self.services {
            if *at == centre {
                received += service.state().calls;
            }
        }
        received
    }

    /// Highest number of calls that one engine ran at once while cold, and number of overloads of
    /// all engines.
    pub fn cold_counts(&self) -> (usize, u64) {
        let mut max_cold_calls = 0;
        let mut overloads = 0;
        for (_, engine) in &self.engines {
            let counters = engine.state().counters;
            max_cold_calls = max_cold_calls.max(counters.max_cold_concurrency);
            overloads += counters.overloads;
        }
        (max_cold_calls, overloads)
    }

    /// Number of orders that the services executed more than once.
    pub fn repeated_order_count(&self) -> usize {
        let mut counts = std::collections::BTreeMap::new();
        for (_, service) in &self.services {
            for (key, count) in service.state().executions {
                *counts.entry(key).or_insert(0) += count;
            }
        }
        counts.values().filter(|count| **count > 1).count()
    }
}
