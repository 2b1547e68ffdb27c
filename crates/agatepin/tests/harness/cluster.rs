//! The daemons, stand-ins and relays of one scenario.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use actix_web::rt::task::JoinHandle;
use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::origin::OriginOptions;
use agatepin_standins::table::TableOptions;
use agatepin_standins::{
    EngineStandin, InstanceListStandin, OriginStandin, ServiceStandin, TableStandin,
};
use tempfile::TempDir;

use super::Failure;
use super::calls::CallAnswer;
use super::certificates::TestAuthority;
use super::network::{LinkRelay, RelayMode};
use super::process::DaemonProcess;
use super::workload::SharedCounts;

/// Time limit of the wait for all daemons to read their instance lists; a frozen daemon never does.
const LIST_READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which the wait for daemons to read their instance lists checks the read counts.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The program of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonRole {
    Entry,
    /// An agent; the text is the name of its upstream.
    Agent(String),
}

/// Name, role and settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    pub name: String,
    pub role: DaemonRole,
    pub data_centre: String,
    /// TOML lines appended to the settings that the harness writes.
    pub extra_settings: String,
}

/// Stand-ins of the platform's services.
pub struct Platform {
    pub table: TableStandin,
    pub origin: OriginStandin,
}

/// Everything that runs in one scenario.
pub struct TestCluster {
    work_dir: TempDir,
    pub platform: Option<Platform>,
    pub engines: BTreeMap<String, EngineStandin>,
    pub services: BTreeMap<String, ServiceStandin>,
    pub daemons: BTreeMap<String, DaemonProcess>,
    /// Calls sent in the background and not joined yet, by the `id=` of their directive.
    pub pending_calls: BTreeMap<String, JoinHandle<Result<CallAnswer, Failure>>>,
    /// Counts of the workloads, by the `id=` of their directive.
    pub workloads: BTreeMap<String, SharedCounts>,
    /// Issuer of the scenario's certificates.
    authority: Option<TestAuthority>,
    /// Number of configuration documents applied so far, for default action ids.
    pub applied_documents: u32,
    /// Specification of each daemon started so far, by name.
    specs: BTreeMap<String, DaemonSpec>,
    /// Instance list of each daemon, with the addresses of its own relays to the others.
    lists: BTreeMap<String, InstanceListStandin>,
    /// Relays by the daemon that reads the list and the daemon that the relay leads to.
    relays: BTreeMap<(String, String), LinkRelay>,
    /// Relay modes set by the scenario, by the same key as `relays`; they also apply to the new
    /// relays after a restart of a daemon.
    modes: BTreeMap<(String, String), RelayMode>,
}

impl DaemonSpec {
    fn program(&self) -> &'static str {
        match self.role {
            DaemonRole::Entry => env!("CARGO_BIN_EXE_agatepin-entry"),
            DaemonRole::Agent(_) => env!("CARGO_BIN_EXE_agatepin-agent"),
        }
    }

    fn role_name(&self) -> &'static str {
        match self.role {
            DaemonRole::Entry => "entry",
            DaemonRole::Agent(_) => "agent",
        }
    }
}

impl TestCluster {
    pub fn new() -> Self {
        Self {
            work_dir: TempDir::new().expect("the work directory can be created"),
            platform: None,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            daemons: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            workloads: BTreeMap::new(),
            authority: None,
            applied_documents: 0,
            specs: BTreeMap::new(),
            lists: BTreeMap::new(),
            relays: BTreeMap::new(),
            modes: BTreeMap::new(),
        }
    }

    pub fn work_dir(&self) -> &Path {
        self.work_dir.path()
    }

    pub fn platform(&self) -> Result<&Platform, Failure> {
        self.platform
            .as_ref()
            .ok_or_else(|| "the platform is not started".to_owned())
    }

    pub async fn start_platform(&mut self) -> Result<(), Failure> {
        let table = TableStandin::start(TableOptions::default()).await;
        let origin = OriginStandin::start(OriginOptions::default()).await;
        self.platform = Some(Platform {
            table: table.map_err(|err| err.to_string())?,
            origin: origin.map_err(|err| err.to_string())?,
        });
        Ok(())
    }

    /// Issues one certificate, which all processes share.
    pub fn issue_certificates(&mut self) {
        let authority = TestAuthority::new();
        authority.issue("agatepin");
        self.authority = Some(authority);
    }

    /// Replaces `{certificates}` in `text` by the directory of the certificates, once they are
    /// issued.
    pub fn expand_certificates(&self, text: &str) -> String {
        let Some(authority) = &self.authority else {
            return text.to_owned();
        };
        let directory = authority.directory().display().to_string();
        text.replace("{certificates}", &directory)
    }

    /// Starts or restarts a daemon and adds it to the instance lists of all daemons.
    pub async fn start_daemon(&mut self, spec: DaemonSpec) -> Result<(), Failure> {
        let name = spec.name.clone();
        self.unlist(&name)?;
        self.daemons.remove(&name);
        let list = InstanceListStandin::start(InstanceListOptions::default()).await;
        let list = list.map_err(|err| err.to_string())?;
        let settings = self.write_settings(&spec, &list.url())?;
        let program = spec.program();
        let started =
            actix_web::rt::task::spawn_blocking(move || DaemonProcess::start(program, &settings));
        let daemon = started.await.map_err(|err| err.to_string())??;
        self.lists.insert(name.clone(), list);
        self.daemons.insert(name.clone(), daemon);
        self.specs.insert(name.clone(), spec);
        let mut pairs = Vec::new();
        for other in self.specs.keys().filter(|other| **other != name) {
            pairs.push((other.clone(), name.clone()));
            pairs.push((name.clone(), other.clone()));
        }
        self.add_to_list(&name, &name).await?;
        for (reader, target) in &pairs {
            self.add_to_list(reader, target).await?;
        }
        self.await_list_reads().await;
        for pair in pairs {
            let mode = self.modes.get(&pair).copied().unwrap_or(RelayMode::Pass);
            if let Some(relay) = self.relays.get(&pair) {
                relay.set(mode);
            }
        }
        Ok(())
    }

    /// Waits until each daemon has read its instance list twice after this call: a daemon that
    /// learns of another daemon from a peer first would dial it without a relay. Frozen and dead
    /// daemons never read their lists, so the wait is limited.
    async fn await_list_reads(&self) {
        let reads = |list: &InstanceListStandin| list.state().reads;
        let targets: Vec<u64> = self.lists.values().map(|list| reads(list) + 2).collect();
        let deadline = Instant::now() + LIST_READ_TIMEOUT;
        while Instant::now() < deadline {
            let mut readers = self.lists.values().zip(&targets);
            if readers.all(|(list, target)| reads(list) >= *target) {
                return;
            }
            actix_web::rt::time::sleep(LIST_POLL_INTERVAL).await;
        }
    }

    /// Kills a daemon if it still runs and starts it with the same settings.
    pub async fn restart(&mut self, name: &str) -> Result<(), Failure> {
        let spec = self.specs.get(name).cloned();
        let spec = spec.ok_or_else(|| format!("process \"{name}\" does not exist"))?;
        self.start_daemon(spec).await
    }

    /// Removes a daemon from all instance lists.
    pub fn unlist(&mut self, name: &str) -> Result<(), Failure> {
        for list in self.lists.values() {
            let id = name.to_owned();
            list.control(InstanceListControl::Remove { id })?;
        }
        Ok(())
    }

    /// Sets the `leaving` mark (graceful shutdown) of a daemon in all instance lists.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) -> Result<(), Failure> {
        for list in self.lists.values() {
            let id = name.to_owned();
            list.control(InstanceListControl::Leaving { id, leaving })?;
        }
        Ok(())
    }

    /// Sets the mode of the relays between two daemons, in both directions.
    pub fn set_link(&mut self, one: &str, other: &str, mode: RelayMode) {
        for (from, to) in [(one, other), (other, one)] {
            let key = (from.to_owned(), to.to_owned());
            if let Some(relay) = self.relays.get(&key) {
                relay.set(mode);
            }
            self.modes.insert(key, mode);
        }
    }

    /// Lets all relays pass bytes again.
    pub fn heal(&mut self) {
        self.modes.clear();
        for relay in self.relays.values() {
            relay.set(RelayMode::Pass);
        }
    }

    pub fn daemon(&mut self, name: &str) -> Result<&mut DaemonProcess, Failure> {
        self.daemons
            .get_mut(name)
            .ok_or_else(|| format!("process \"{name}\" does not exist"))
    }

    /// The entry `name`, or the first running one where no name is given.
    pub fn entry(&self, name: Option<&str>) -> Result<&DaemonProcess, Failure> {
        for (id, spec) in &self.specs {
            if spec.role != DaemonRole::Entry || name.is_some_and(|name| name != id) {
                continue;
            }
            if let Some(daemon) = self.daemons.get(id) {
                return Ok(daemon);
            }
        }
        Err(format!("entry \"{}\" does not exist", name.unwrap_or("")))
    }

    /// Adds `target` to the instance list of `reader`, with the address of a new relay that passes
    /// nothing yet.
    async fn add_to_list(&mut self, reader: &str, target: &str) -> Result<(), Failure> {
        let (Some(list), Some(spec), Some(daemon)) = (
            self.lists.get(reader),
            self.specs.get(target),
            self.daemons.get(target),
        ) else {
            return Ok(());
        };
        let key = (reader.to_owned(), target.to_owned());
        let address: SocketAddr = parse_address(&daemon.ready.wire)?;
        let relay = LinkRelay::start(address, RelayMode::Blackhole).await?;
        let instance = ListedInstance {
            id: target.to_owned(),
            role: spec.role_name().to_owned(),
            data_centre: spec.data_centre.clone(),
            wire: relay.address.to_string(),
            http: daemon.ready.http.clone(),
            leaving: false,
        };
        list.control(InstanceListControl::Add(instance))?;
        self.relays.insert(key, relay);
        Ok(())
    }

    fn write_settings(&self, spec: &DaemonSpec, instances: &str) -> Result<PathBuf, Failure> {
        let platform = self.platform()?;
        let mut text = format!(
            "[process]\ninstance = \"{}\"\ndata_centre = \"{}\"\n\
             wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
             [platform]\ntable = \"{}\"\ninstances = \"{instances}\"\norigin = \"{}\"\n\
             list_interval = \"100ms\"\ntable_interval = \"500ms\"\n\
             [link]\nallow_plain = true\nheartbeat = \"200ms\"\n",
            spec.name,
            spec.data_centre,
            platform.table.url(),
            platform.origin.url(),
        );
        match &spec.role {
            DaemonRole::Entry => {
                text.push_str("[operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n");
            }
            DaemonRole::Agent(upstream) => {
                let url = self.upstream_url(upstream)?;
                let _ = write!(
                    text,
                    "[upstream]\nname = \"{upstream}\"\nurl = \"{url}\"\nstate_interval = \"50ms\"\n"
                );
            }
        }
        text.push_str(&self.expand_certificates(&spec.extra_settings));
        let path = self.work_dir.path().join(format!("{}.toml", spec.name));
        std::fs::write(&path, text).map_err(|err| err.to_string())?;
        Ok(path)
    }

    fn upstream_url(&self, name: &str) -> Result<String, Failure> {
        if let Some(engine) = self.engines.get(name) {
            return Ok(engine.url());
        }
        let service = self.services.get(name).map(ServiceStandin::url);
        service.ok_or_else(|| format!("upstream \"{name}\" does not exist"))
    }
}

impl Drop for TestCluster {
    /// Prints the end of each daemon's log after a failed scenario.
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for (name, daemon) in &self.daemons {
            eprintln!("--- {name}\n{}", daemon.log_tail());
        }
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, Failure> {
    text.parse()
        .map_err(|err| format!("address \"{text}\": {err}"))
}
