//! A small deployment: the project's processes, with settings as the platform writes them, and clients.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::codec::parse_json;
use crate::desk::DeskWorker;
use crate::http::call;
use crate::platform::{
    EVENTS, MODEL, PIECE_BYTES, PIECES, Record, SLOTS, Store, Worker, lock, start_origin,
};

/// Program of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/agatepin-platform";
pub const HOST: &str = "shop.example";
const CHAT_PATH: &str = "/chat/";
/// Path of requests that may run once at most, of the service `desk`.
pub const ORDER_PATH: &str = "/order/";
const CLIENT_TIME_MS: u64 = 6_000;

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    overlay: u16,
    app: u16,
    front: u16,
    ready: u16,
    directory: u16,
}

/// A process of the project.
pub struct Daemon {
    name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    fn start(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.map_err(|err| err.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("AGATEPIN_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|err| err.to_string())?)
            .stderr(log)
            .spawn();
        self.child = Some(child.map_err(|err| format!("{PROGRAM} cannot be started: {err}"))?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment with its stand-ins. Dropping it ends its processes.
pub struct Deployment {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub desk: Vec<Arc<DeskWorker>>,
    pub daemons: Vec<Daemon>,
    newest: Arc<AtomicU64>,
    store_address: SocketAddr,
    ports: Ports,
    entries: usize,
    folder: PathBuf,
    record: Record,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_port() -> Result<u16, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|err| err.to_string())?;
    Ok(listener.local_addr().map_err(|err| err.to_string())?.port())
}

/// Loopback address of a machine: the third byte tells its class.
fn machine(class: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        127,
        77,
        class,
        u8::try_from(number + 1).unwrap_or(u8::MAX),
    ))
}

impl Deployment {
    /// Starts the store, the origin, `workers` model workers with an agent each, `desk` workers of the plain
    /// service, and `entries` entries, in one region, and waits until the entries are ready.
    pub fn start(
        entries: usize,
        workers: usize,
        desk: usize,
        record: &Record,
    ) -> Result<Self, String> {
        if !PathBuf::from(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is not built"));
        }
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let text = |err: std::io::Error| err.to_string();
        let any = SocketAddr::new(machine(9, 0), 0);
        let (store, store_address) = Store::start(any).map_err(text)?;
        let newest = Arc::new(AtomicU64::new(1));
        let origin = start_origin(any, newest.clone()).map_err(text)?;
        let ports = Ports {
            overlay: free_port()?,
            app: free_port()?,
            front: free_port()?,
            ready: free_port()?,
            directory: free_port()?,
        };
        store.write("op", "config", Some(&config(origin)));
        store.write(
            "op",
            &format!("version/{MODEL}"),
            Some(&format!(r#"{{"model":"{MODEL}","version":1}}"#)),
        );
        let mut deployment = Self {
            store: store.clone(),
            workers: Vec::new(),
            desk: Vec::new(),
            daemons: Vec::new(),
            newest,
            store_address,
            ports,
            entries,
            folder,
            record: record.clone(),
        };
        for number in 0..workers {
            let address = SocketAddr::new(machine(1, number), ports.app);
            let worker = Worker::start(
                &format!("i-{number:02}"),
                address,
                store.clone(),
                record.clone(),
            );
            deployment.workers.push(worker.map_err(text)?);
        }
        for number in 0..desk {
            let address = SocketAddr::new(machine(3, number), ports.app);
            let worker =
                DeskWorker::start(&format!("d-{number}"), address, &store).map_err(text)?;
            deployment.desk.push(worker);
        }
        for number in 0..entries {
            deployment.add(format!("front-{number}"), "entry", machine(2, number))?;
        }
        for number in 0..workers {
            deployment.add(format!("side-{number:02}"), "agent", machine(1, number))?;
        }
        deployment.start_all(true)?;
        deployment.await_ready(Duration::from_secs(15))?;
        record.add(format!("{entries} entries are ready; {workers} model workers with an agent each, {desk} workers of the desk"));
        Ok(deployment)
    }

    fn add(&mut self, name: String, role: &'static str, ip: IpAddr) -> Result<(), String> {
        let settings = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        fs::write(&settings, self.settings(&name, role, ip, true))
            .map_err(|err| err.to_string())?;
        self.daemons.push(Daemon {
            name,
            role,
            settings,
            log,
            child: None,
        });
        Ok(())
    }

    /// Settings as the platform writes them.
    fn settings(&self, name: &str, role: &str, ip: IpAddr, bootstrap: bool) -> String {
        let Ports {
            overlay,
            app,
            front,
            ready,
            directory,
        } = self.ports;
        let class = if role == "entry" { "front" } else { "side" };
        let mut text = format!(
            "node = \"{name}\"\nrole = \"{role}\"\nclass = \"{class}\"\nip = \"{ip}\"\nzone = \"z1\"\nregion = \"r1\"\n\
             port_range = [{overlay},{overlay}]\nseeds = []\nbootstrap = {bootstrap}\ndiscovery = \"platform\"\n\
             entry = \"directory\"\nheartbeat_ms = 1200\n"
        );
        if role == "agent" {
            text += &format!("app = \"{ip}:{app}\"\nservice = \"svc\"\n");
        }
        text += "[zones]\nz1 = \"r1\"\n[listen]\n";
        if role == "entry" {
            text += &format!(
                "front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ndirectory = \"{ip}:{directory}\"\n"
            );
        }
        let (memory, link) = if role == "entry" {
            (260, "1000.0")
        } else {
            (128, "9.4")
        };
        text += &format!(
            "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4100\nlink_mbps = {link}\n\
             [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\n\
             retry_extra = 106\nrecovery_s = 12\nversion_ms = 8000\nttl_max_s = 5\n\
             [provider]\naddress = \"{}\"\nform = \"table\"\n",
            self.store_address
        );
        text
    }

    fn start_all(&mut self, bootstrap: bool) -> Result<(), String> {
        for index in 0..self.daemons.len() {
            let (name, role) = (self.daemons[index].name.clone(), self.daemons[index].role);
            let entries = self.entries;
            let ip = if role == "entry" {
                machine(2, index)
            } else {
                machine(1, index - entries)
            };
            let text = self.settings(&name, role, ip, bootstrap);
            fs::write(&self.daemons[index].settings, text).map_err(|err| err.to_string())?;
            self.daemons[index].start()?;
        }
        Ok(())
    }

    /// Kills all processes and starts them again after `down`, as no first start.
    pub fn kill_all(&mut self, down: Duration) -> Result<(), String> {
        for daemon in &mut self.daemons {
            if let Some(child) = &mut daemon.child {
                let _ = child.kill();
            }
        }
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        self.record
            .add("all processes of the system have been killed");
        thread::sleep(down);
        self.start_all(false)?;
        self.record
            .add("all processes of the system are started again");
        Ok(())
    }

    fn is_ready(&self, number: usize) -> bool {
        let address = SocketAddr::new(machine(2, number), self.ports.ready);
        let answer = call(
            address,
            "GET",
            "/ready",
            &[("Host", "x".into())],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn await_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !(0..self.entries).all(|number| self.is_ready(number)) {
            if Instant::now() > until {
                return Err("the entries are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Names new weights as the operator does; the store's acknowledgement is immediate.
    pub fn name_version(&self, version: u64) {
        self.newest.store(version, Ordering::SeqCst);
        self.store.write(
            "op",
            &format!("version/{MODEL}"),
            Some(&format!(r#"{{"model":"{MODEL}","version":{version}}}"#)),
        );
        self.record
            .add(format!("version {version} is named and acknowledged"));
    }

    /// How many workers hold each version.
    pub fn versions(&self) -> BTreeMap<u64, usize> {
        let mut versions = BTreeMap::new();
        for worker in &self.workers {
            *versions.entry(worker.loaded().0).or_default() += 1;
        }
        versions
    }

    /// Adds to the record how often the agents' logs have lines that contain `text`, and a first one.
    pub fn note_logs(&self, text: &str) {
        let (mut agents, mut lines, mut first) = (0, 0, String::new());
        for daemon in self.daemons.iter().filter(|daemon| daemon.role == "agent") {
            let log = fs::read_to_string(&daemon.log).unwrap_or_default();
            let found: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
            agents += usize::from(!found.is_empty());
            lines += found.len();
            if first.is_empty() && !found.is_empty() {
                first = format!("{}: {}", daemon.name, found[0]);
            }
        }
        self.record.add(format!(
            "logs of {agents} agents have {lines} lines with \"{text}\"; the first: {first}"
        ));
    }

    /// Addresses of the entries for clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        (0..self.entries)
            .map(|number| SocketAddr::new(machine(2, number), self.ports.front))
            .collect()
    }

    /// Starts clients that send `per_second` requests for streams until `Clients::stop`.
    pub fn start_clients(&self, per_second: u32) -> Clients {
        let clients = Clients {
            results: Arc::default(),
            stop: Arc::default(),
        };
        let (results, stop) = (clients.results.clone(), clients.stop.clone());
        let directories: Vec<SocketAddr> = (0..self.entries)
            .map(|n| SocketAddr::new(machine(2, n), self.ports.directory))
            .collect();
        thread::spawn(move || {
            let started = Instant::now();
            let known: Arc<Mutex<(Vec<SocketAddr>, Option<Instant>)>> = Arc::default();
            for number in 0u64.. {
                let due = started
                    + Duration::from_secs(1) * u32::try_from(number).unwrap_or(u32::MAX)
                        / per_second;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if stop.load(Ordering::SeqCst) > 0 {
                    return;
                }
                let (results, known, directories) =
                    (results.clone(), known.clone(), directories.clone());
                thread::spawn(move || {
                    let sent = Instant::now();
                    let served = send(number, &known, &directories);
                    lock(&results).push((sent, served));
                });
            }
        });
        clients
    }
}

/// Results of the clients' requests.
pub struct Clients {
    results: Arc<Mutex<Vec<(Instant, String)>>>,
    stop: Arc<AtomicU64>,
}

impl Clients {
    /// Sends no more requests, and waits for the answers to those in progress.
    pub fn stop(&self) {
        self.stop.store(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(CLIENT_TIME_MS + 500));
    }

    /// Number of requests that were sent between two times, and how they ended.
    pub fn between(&self, from: Instant, until: Instant) -> (usize, BTreeMap<String, usize>) {
        let results = lock(&self.results);
        let sent = results
            .iter()
            .filter(|(sent, _)| *sent >= from && *sent < until);
        let mut ends = BTreeMap::new();
        let mut number = 0;
        for (_, end) in sent {
            number += 1;
            *ends.entry(end.clone()).or_default() += 1;
        }
        (number, ends)
    }
}

/// Addresses that the directory named, kept for two seconds.
fn addresses(
    known: &Mutex<(Vec<SocketAddr>, Option<Instant>)>,
    directories: &[SocketAddr],
) -> Vec<SocketAddr> {
    let (kept, at) = lock(known).clone();
    if at.is_some_and(|at| at.elapsed() < Duration::from_secs(2)) && !kept.is_empty() {
        return kept;
    }
    for directory in directories {
        let target = format!("/resolve?name={HOST}&region=r1&zone=z1");
        let answer = call(
            *directory,
            "GET",
            &target,
            &[("Host", HOST.into())],
            b"",
            Duration::from_secs(1),
        );
        let Ok(answer) = answer else { continue };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let Some(body) = parse_json(&text).filter(|_| answer.status == 200) else {
            continue;
        };
        let named: Vec<SocketAddr> = body
            .get("addresses")
            .list()
            .iter()
            .filter_map(|address| address.text().parse().ok())
            .collect();
        if !named.is_empty() {
            *lock(known) = (named.clone(), Some(Instant::now()));
            return named;
        }
    }
    kept
}

/// Sends one request for a stream; returns "served" or how it ended.
fn send(
    number: u64,
    known: &Mutex<(Vec<SocketAddr>, Option<Instant>)>,
    directories: &[SocketAddr],
) -> String {
    let named = addresses(known, directories);
    if named.is_empty() {
        return "no address".to_owned();
    }
    let address = named[number as usize % named.len()];
    let headers = [
        ("Host", HOST.to_owned()),
        ("Agatepin-Attempt-Id", format!("{number:016x}")),
        ("Agatepin-Model", MODEL.to_owned()),
        ("Agatepin-Token-Counts", "100,36".to_owned()),
        ("Agatepin-Prompt-Prefix", format!("{number:x}:100")),
        ("Agatepin-Deadline-Ms", CLIENT_TIME_MS.to_string()),
    ];
    let limit = Duration::from_millis(CLIENT_TIME_MS);
    match call(
        address,
        "POST",
        &format!("{CHAT_PATH}{number}"),
        &headers,
        b"prompt",
        limit,
    ) {
        Err(err) => format!("no whole answer ({:?})", err.kind()),
        Ok(answer) if answer.status != 200 => format!("status {}", answer.status),
        Ok(answer) => {
            let wanted: String = (1..=EVENTS)
                .map(|event| format!("id: {event}\ndata: {event}\n\n"))
                .collect();
            let own = answer.headers.get("agatepin-attempt-id") == Some(&format!("{number:016x}"));
            let sealed = answer.headers.contains_key("agatepin-response-seal");
            if own && sealed && answer.body == wanted.as_bytes() {
                "served"
            } else {
                "wrong answer"
            }
            .to_owned()
        }
    }
}

/// The operator's configuration.
fn config(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"chat","host":"{HOST}","prefix":"{CHAT_PATH}","kind":"streaming","timeout_ms":6000,"goal_ms":400,"priority":1,"service":"svc","max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_target_ms":300,"home_regions":[]}},{{"name":"order","host":"{HOST}","prefix":"{ORDER_PATH}","kind":"non_idempotent","timeout_ms":2000,"goal_ms":300,"priority":2,"service":"desk","max_attempts":1,"anonymous":false,"home_regions":[]}}],"services":[{{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}},{{"name":"svc","health_path":"/health","max_conns":434,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{{"slots":{SLOTS},"kv_capacity":1000000,"stride":6,"models":[{{"name":"{MODEL}","pace":1.0,"load_time_s":0.3,"warmup_s":0.3}}],"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,"pairs_per_m":0.647,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":100,"answer":36}},"layers":16,"layer_mb":1.0,"chunks":{PIECES},"chunk_size_bytes":{PIECE_BYTES}}}}},{{"name":"org","origin":"{origin}","zone":"z1","link_mbps":15.0,"max_conns":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#
    )
}
