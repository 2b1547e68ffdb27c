//! Stand-ins of the platform: its store, the workers of a service that run a model, and the origin of
//! weights.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::codec::{base64, parse_json, sha256};
use crate::http::{Reply, Request, serve};

pub const MODEL: &str = "m0";
pub const PIECES: u32 = 8;
pub const PIECE_BYTES: usize = 4_096;
/// Events of each stream, and the time between two of them.
pub const EVENTS: u64 = 6;
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Requests that a worker runs at once, and those that wait at it.
pub const SLOTS: usize = 4;
const QUEUE: usize = 8;
/// Time for which a worker loads weights.
const WARMUP: Duration = Duration::from_millis(300);

pub fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Notes with times, for the record of the run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!(
            "{:9.3} {}",
            self.started.elapsed().as_secs_f64(),
            line.as_ref()
        );
        lock(&self.lines).push(line);
    }

    pub fn text(&self) -> String {
        lock(&self.lines).join("\n") + "\n"
    }
}

/// The platform's metadata store.
#[derive(Default)]
pub struct Store {
    state: Mutex<Rows>,
    changed: Condvar,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value of each row by table and key; no value once it was dropped.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

impl Store {
    /// Starts the store; returns it with its address.
    pub fn start(address: SocketAddr) -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let (served, started) = (store.clone(), Instant::now());
        let bound = serve(address, move |request, reply| {
            let _ = served.answer(request, reply, started);
        })?;
        Ok((store, bound))
    }

    /// Writes a row as the operator or a worker does; none drops it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = lock(&self.state);
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| base64(value.as_bytes()));
        rows.rows
            .insert((table.into(), key.into()), (version, value));
        drop(rows);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, reply: &mut Reply, started: Instant) -> io::Result<()> {
        let time = || started.elapsed().as_millis();
        let table = request.query.get("table").cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/rows-get") => {
                let from = request.query.get("from").cloned().unwrap_or_default();
                let rows = lock(&self.state);
                let found = rows
                    .rows
                    .iter()
                    .filter(|((t, key), _)| *t == table && *key >= from);
                let found: Vec<String> = found
                    .filter_map(|((t, k), (v, value))| row_json(t, k, *v, Some(value.as_ref()?)))
                    .collect();
                let body = format!(
                    r#"{{"rows":[{}],"has_more":false,"row_version":{},"server_time_ms":{}}}"#,
                    found.join(","),
                    rows.version,
                    time()
                );
                drop(rows);
                reply.json(200, &body)
            }
            ("GET", "/rows-feed") => {
                let after = request.number("after").unwrap_or(0);
                let wait =
                    Duration::from_millis(request.number("wait_ms").unwrap_or(0).min(30_000));
                let until = Instant::now() + wait;
                let mut rows = lock(&self.state);
                loop {
                    let mut found: Vec<(u64, String)> = rows
                        .rows
                        .iter()
                        .filter(|((t, _), (version, _))| *t == table && *version > after)
                        .filter_map(|((t, k), (v, value))| {
                            Some((*v, row_json(t, k, *v, value.as_ref())?))
                        })
                        .collect();
                    found.sort();
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let found: Vec<String> = found.into_iter().map(|(_, row)| row).collect();
                        let body = format!(
                            r#"{{"rows":[{}],"row_version":{},"server_time_ms":{}}}"#,
                            found.join(","),
                            rows.version,
                            time()
                        );
                        drop(rows);
                        return reply.json(200, &body);
                    }
                    rows = self
                        .changed
                        .wait_timeout(rows, left)
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .0;
                }
            }
            ("POST", "/rows-tx") => {
                let text = String::from_utf8_lossy(&request.body);
                let Some(body) = parse_json(&text) else {
                    return reply.json(400, "{}");
                };
                let key = |row: &crate::codec::Json| {
                    (
                        row.get("table").text().to_owned(),
                        row.get("key").text().to_owned(),
                    )
                };
                let mut rows = lock(&self.state);
                let holds = body.get("expected").list().iter().all(|row| {
                    let known = rows
                        .rows
                        .get(&key(row))
                        .filter(|(_, value)| value.is_some());
                    known.map_or(0, |(version, _)| *version)
                        == row.get("row_version").number().unwrap_or(0)
                });
                if !holds {
                    drop(rows);
                    return reply.json(412, r#"{"rows":[]}"#);
                }
                rows.version += 1;
                let version = rows.version;
                for row in body.get("put").list() {
                    rows.rows.insert(
                        key(row),
                        (version, Some(row.get("value").text().to_owned())),
                    );
                }
                for row in body.get("remove").list() {
                    rows.rows.insert(key(row), (version, None));
                }
                drop(rows);
                self.changed.notify_all();
                reply.json(
                    200,
                    &format!(r#"{{"row_version":{version},"server_time_ms":{}}}"#, time()),
                )
            }
            _ => reply.json(404, "{}"),
        }
    }
}

fn row_json(table: &str, key: &str, version: u64, value: Option<&String>) -> Option<String> {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""deleted":true"#.to_owned(),
    };
    Some(format!(
        r#"{{"table":"{table}","part":"","key":"{key}","row_version":{version},{value}}}"#
    ))
}

/// Bytes of a piece of a version.
pub fn piece(version: u64, number: u32) -> Vec<u8> {
    let mut state = version * 1_000 + u64::from(number) + 1;
    let next = |_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    };
    (0..PIECE_BYTES).map(next).collect()
}

/// Starts the origin of weights; `newest` is the newest named version.
pub fn start_origin(address: SocketAddr, newest: Arc<AtomicU64>) -> io::Result<SocketAddr> {
    serve(address, move |request, reply| {
        let named = newest.load(Ordering::SeqCst);
        let version = request.number("version").unwrap_or(named);
        if version == 0 || version > named {
            let _ = reply.json(404, "{}");
        } else if version + 2 <= named {
            let _ = reply.json(410, "{}");
        } else if request.path.starts_with("/manifest/") {
            let hashes: Vec<String> = (0..PIECES)
                .map(|number| format!("\"{}\"", sha256(&piece(version, number))))
                .collect();
            let _ = reply.json(200, &format!(
                r#"{{"model":"{MODEL}","version":{version},"chunk_size_bytes":{PIECE_BYTES},"layers":16,"hashes":[{}]}}"#,
                hashes.join(",")
            ));
        } else if let Some(number) = request
            .number("num")
            .filter(|_| request.path.starts_with("/piece/"))
        {
            let _ = reply.send(200, &[], &piece(version, number as u32));
        } else {
            let _ = reply.json(404, "{}");
        }
    })
}

/// A worker that runs the model, with all layers on one machine.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    state: Mutex<WorkerState>,
    freed: Condvar,
    store: Arc<Store>,
    record: Record,
}

#[derive(Default)]
struct WorkerState {
    /// Version of the loaded layers; 0 for none.
    version: u64,
    /// Whether each staged piece was that of the loaded version when it was taken.
    whole: bool,
    /// End of the load in progress, with the version and whether its pieces were right.
    load: Option<(Instant, u64, bool)>,
    seq: u64,
    staged: BTreeMap<u32, Vec<u8>>,
    active: usize,
    queued: usize,
    /// Number of loads that began; running requests of before are cut off.
    epoch: u64,
}

impl WorkerState {
    /// Ends a load whose time is over.
    fn advance(&mut self) {
        if let Some((end, version, whole)) = self.load
            && Instant::now() >= end
        {
            self.load = None;
            (self.version, self.whole) = (version, whole);
        }
    }
}

impl Worker {
    /// Starts a worker that holds version 1, which is also staged.
    pub fn start(
        id: &str,
        address: SocketAddr,
        store: Arc<Store>,
        record: Record,
    ) -> io::Result<Arc<Self>> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            born: born.as_millis() as u64,
            state: Mutex::new(WorkerState {
                version: 1,
                whole: true,
                staged: (0..PIECES)
                    .map(|number| (number, piece(1, number)))
                    .collect(),
                ..WorkerState::default()
            }),
            freed: Condvar::new(),
            store,
            record,
        });
        let served = worker.clone();
        serve(address, move |request, reply| {
            let _ = served.answer(request, reply);
        })?;
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(worker)
    }

    /// Version of the loaded layers, and whether a load is in progress.
    pub fn loaded(&self) -> (u64, bool) {
        let mut state = lock(&self.state);
        state.advance();
        (state.version, state.load.is_some())
    }

    /// Number of staged pieces of `version`.
    pub fn staged(&self, version: u64) -> u32 {
        let state = lock(&self.state);
        let same = state
            .staged
            .iter()
            .filter(|(number, data)| **data == piece(version, **number));
        same.count() as u32
    }

    fn models(state: &WorkerState) -> String {
        if state.version == 0 {
            return r#""models":[]"#.to_owned();
        }
        let version = state.version;
        format!(
            r#""models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],"layers":{{"from":0,"target":16,"version":{version}}}"#
        )
    }

    /// Writes the worker's entry in the list.
    fn beat(&self) {
        let mut state = lock(&self.state);
        state.advance();
        let entry = format!(
            r#"{{"service":"svc","address":"{}","zone":"z1","version":"v1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"stage":"unified",{},"seq":{},"born":{}}}"#,
            self.address,
            Self::models(&state),
            state.seq,
            self.born
        );
        drop(state);
        self.store.write("servers", &self.id, Some(&entry));
    }

    fn answer(&self, request: &Request, reply: &mut Reply) -> io::Result<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => {
                let mut state = lock(&self.state);
                state.advance();
                let body = format!(
                    r#"{{"stage":"unified",{},"busy":{},"seq":{},"queued":{},"active":{},"kv_used":{},"kv_max":1000000,"handles":0,"pace":1.0,"born":{}}}"#,
                    Self::models(&state),
                    state.load.is_some(),
                    state.seq,
                    state.queued,
                    state.active,
                    state.active * 100,
                    self.born
                );
                drop(state);
                reply.json(200, &body)
            }
            ("GET", path) if path.starts_with("/stage-get/") => {
                let state = lock(&self.state);
                let Some(number) = request.number("num") else {
                    let held: Vec<String> = state.staged.keys().map(u32::to_string).collect();
                    drop(state);
                    return reply.json(200, &format!(r#"{{"held":[{}]}}"#, held.join(",")));
                };
                let data = state.staged.get(&(number as u32)).cloned();
                drop(state);
                match data {
                    Some(data) => reply.send(200, &[], &data),
                    None => reply.json(404, "{}"),
                }
            }
            ("PUT", path) if path.starts_with("/stage-put/") => {
                let number = request.number("num").unwrap_or(0) as u32;
                lock(&self.state)
                    .staged
                    .insert(number, request.body.clone());
                reply.json(200, "{}")
            }
            ("POST", "/order") => self.order(request, reply),
            ("GET", "/health") => {
                reply.send(200, &[("Agatepin-Instance-Id", self.id.clone())], b"")
            }
            _ => self.run(request, reply),
        }
    }

    fn order(&self, request: &Request, reply: &mut Reply) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body);
        let Some(order) = parse_json(&text) else {
            return reply.json(400, "{}");
        };
        let version = order.get("version").number().unwrap_or(0);
        let mut state = lock(&self.state);
        state.advance();
        let status = if order.get("operation").text() != "start" {
            400
        } else if order
            .get("expected")
            .number()
            .is_some_and(|expected| expected != state.seq)
        {
            409
        } else if state.version == version && state.load.is_none() {
            200
        } else if state.load.is_some() {
            409
        } else {
            let whole = (0..PIECES).all(|n| {
                state
                    .staged
                    .get(&n)
                    .is_some_and(|data| *data == piece(version, n))
            });
            state.seq += 1;
            state.epoch += 1;
            state.load = Some((Instant::now() + WARMUP, version, whole));
            202
        };
        drop(state);
        self.record.add(format!(
            "{} is ordered to load version {version}: {status}",
            self.id
        ));
        reply.json(status, "{}")
    }

    /// Runs a request: a stream of events.
    fn run(&self, request: &Request, reply: &mut Reply) -> io::Result<()> {
        let expected = request.header("agatepin-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return reply.send(421, &[("Agatepin-Instance-Id", self.id.clone())], b"");
        }
        let not_run = [("Agatepin-Not-Executed", "1".to_owned())];
        let deadline: u64 = request
            .header("agatepin-deadline-ms")
            .parse()
            .unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(deadline);
        let wanted: Option<u64> = request.header("agatepin-expect-version").parse().ok();
        let mut state = lock(&self.state);
        state.advance();
        if state.load.is_some()
            || state.version == 0
            || state.active + state.queued >= SLOTS + QUEUE
        {
            drop(state);
            return reply.send(503, &not_run, b"");
        }
        state.queued += 1;
        loop {
            state.advance();
            let stale = wanted.is_some_and(|wanted| wanted != state.version);
            let refused = match () {
                () if stale => Some(421),
                () if state.load.is_some() || Instant::now() >= deadline || reply.is_closed() => {
                    Some(503)
                }
                () => None,
            };
            if let Some(status) = refused {
                state.queued -= 1;
                drop(state);
                return reply.send(status, &not_run, b"");
            }
            if state.active < SLOTS {
                break;
            }
            state = self
                .freed
                .wait_timeout(state, Duration::from_millis(20))
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .0;
        }
        state.queued -= 1;
        state.active += 1;
        let (epoch, version) = (state.epoch, state.version);
        drop(state);
        let sent = self.stream(request, reply, epoch, version, deadline);
        lock(&self.state).active -= 1;
        self.freed.notify_all();
        sent
    }

    fn stream(
        &self,
        request: &Request,
        reply: &mut Reply,
        epoch: u64,
        version: u64,
        deadline: Instant,
    ) -> io::Result<()> {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for event in after + 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            if lock(&self.state).epoch != epoch || Instant::now() >= deadline {
                reply.keep = false;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if event == after + 1 {
                reply.begin(
                    200,
                    &[
                        ("Content-Type", "text/event-stream".into()),
                        (
                            "Agatepin-Attempt-Id",
                            request.header("agatepin-attempt-id").into(),
                        ),
                        ("Agatepin-Response-Seal", format!("{}.{version}", self.id)),
                        ("Agatepin-Weight-Versions", version.to_string()),
                    ],
                )?;
            }
            reply.chunk(format!("id: {event}\ndata: {event}\n\n").as_bytes())?;
        }
        reply.chunk(b"")
    }
}
