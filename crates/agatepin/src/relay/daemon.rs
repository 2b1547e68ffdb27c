//! The entry on the direct path: its sockets, tasks and its graceful shutdown.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::ContentDigest;
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::book::{EngineReport, EntryLoad};
use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::share::RetryAllowance;
use eyre::{Result, WrapErr};
use prost::Message;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::relay::admit::EntryPlace;
use crate::relay::call::CallRelay;
use crate::relay::fleet::{AgentState, FleetHandle};
use crate::relay::metrics::RelayMetrics;
use crate::relay::mirror::{self, SharedRows, TableMirror};
use crate::relay::overlay::{
    self, Datagram, DatagramBody, EngineLoad, EntryHello, EntryRequests, EntryRow, KnownAgent,
    NamedWeights, PullAnswer, PullWish, SuspectNews, UpstreamRequests,
};
use crate::relay::ports::{MirrorTable, TableStore, WireDialect};
use crate::relay::server::{DirectoryDesk, HttpServer};

/// Time between two signs of life.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which changes of an entry's requests are gathered before others are told.
const TELL_INTERVAL: Duration = Duration::from_millis(15);
/// Time after which they are told again without a change.
const TELL_AGAIN: Duration = Duration::from_millis(300);
/// Silence after which an agent is forgotten.
const AGENT_SILENCE: Duration = Duration::from_millis(1_500);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Most suspects told in one datagram.
const MAX_SUSPECTS_TOLD: usize = 32;
/// Pause before the entries' row is written again after a failure.
const ROW_RETRY: Duration = Duration::from_millis(400);
/// Time for which a leaving entry takes new connections: callers keep the directory's answer.
const LEAVE_LISTENING: Duration = Duration::from_millis(2_500);
/// Part of the grace period that is kept for the end of the process.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// Time for the removal of the entry's row at the end.
const UNLIST_TIMEOUT: Duration = Duration::from_millis(400);

agatepin_core::value_type! {
    /// What an entry is started with.
    pub struct EntryOptions {
        /// Where it is.
        pub place: EntryPlace,
        /// Address for callers.
        pub front: SocketAddr,
        /// Address for the readiness check.
        pub ready: SocketAddr,
        /// Address for the directory.
        pub directory: SocketAddr,
        /// Address for other daemons.
        pub overlay: SocketAddr,
        /// Allowance of all entries for repeats.
        pub retries: RetryAllowance,
        /// Time from SIGTERM in which the process must end.
        pub grace: Duration,
    }
}

/// An entry that runs.
pub struct RelayEntry<Store> {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for the directory.
    pub directory: SocketAddr,
    fleet: FleetHandle,
    store: Store,
    name: String,
    grace: Duration,
    closing: CancellationToken,
    leaving: CancellationToken,
    open: TaskTracker,
    speaker: Speaker,
}

/// Binds the sockets and starts the tasks of an entry.
///
/// # Errors
/// An address cannot be bound.
pub async fn start<Store, Dialect>(
    options: EntryOptions,
    store: Store,
    dialect: Dialect,
) -> Result<RelayEntry<Store>>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    let fleet = FleetHandle::new(options.retries.clone());
    let place = Rc::new(options.place.clone());
    let front = listen(options.front).await?;
    let pulls = listen(options.overlay).await?;
    let own = EntryListing {
        incarnation: rand::random(),
        front: front.local_addr()?,
        overlay: pulls.local_addr()?,
        data_centre: place.data_centre.clone(),
        region: place.region.clone(),
    };
    let closing = CancellationToken::new();
    let leaving = CancellationToken::new();
    let open = TaskTracker::new();
    let bound = |listener| HttpServer {
        listener,
        closing: closing.clone(),
        leaving: leaving.clone(),
        open: open.clone(),
    };
    let metrics = RelayMetrics::register()?;
    let relay: CallRelay<Store, Dialect> = CallRelay::new(
        dialect.clone(),
        fleet.clone(),
        place.clone(),
        metrics.clone(),
    );
    actix_rt::spawn(bound(front).run(move |request| relay.clone().answer(request)));
    let desk = Rc::new(DirectoryDesk {
        dialect: dialect.clone(),
        fleet: fleet.clone(),
        place: place.clone(),
        own: own.clone(),
        metrics,
    });
    let mut directory = options.directory;
    for address in BTreeSet::from([options.ready, options.directory]) {
        let listener = listen(address).await?;
        if address == options.directory {
            directory = listener.local_addr()?;
        }
        let server = HttpServer {
            listener,
            closing: CancellationToken::new(),
            leaving: CancellationToken::new(),
            open: TaskTracker::new(),
        };
        let desk = desk.clone();
        actix_rt::spawn(server.run(move |request| {
            let response = desk.answer(&request);
            async move { response }
        }));
    }
    let mirror = TableMirror::new(store.clone(), dialect, fleet.clone(), place.name.clone());
    for table in [
        MirrorTable::Operator,
        MirrorTable::Upstreams,
        MirrorTable::Entries,
    ] {
        actix_rt::spawn(mirror.clone().run(table));
    }
    actix_rt::spawn(serve_rows(pulls, mirror.rows()));
    let socket = UdpSocket::bind(own.overlay).await;
    let socket = Rc::new(socket.wrap_err_with(|| format!("cannot bind {}", own.overlay))?);
    actix_rt::spawn(hear(socket.clone(), fleet.clone()));
    let speaker = Speaker {
        socket,
        fleet: fleet.clone(),
        name: place.name.clone(),
        own: own.clone(),
    };
    actix_rt::spawn(speaker.clone().tell_requests());
    actix_rt::spawn(speaker.clone().run());
    actix_rt::spawn(list_entry(store.clone(), place.name.clone(), own.clone()));
    log::info!(entry = place.name, front:% = own.front; "entry started");
    Ok(RelayEntry {
        front: own.front,
        directory,
        fleet,
        store,
        name: options.place.name,
        grace: options.grace,
        closing,
        leaving,
        open,
        speaker,
    })
}

impl<Store> RelayEntry<Store>
where
    Store: TableStore,
{
    /// Leaves: out of the directory at once, connections end with their last answer, and new ones
    /// are taken as long as callers may still know the address.
    pub async fn leave(self) {
        let started = Instant::now();
        self.fleet.with(|fleet| fleet.leaving = true);
        self.speaker.speak();
        log::info!(entry = self.name; "graceful shutdown begins");
        self.leaving.cancel();
        let removal = self.store.write_entry(&self.name, None);
        match timeout(UNLIST_TIMEOUT, removal).await {
            Ok(Ok(())) => {}
            failed => log::warn!(failed:?; "entry's row not removed"),
        }
        sleep(LEAVE_LISTENING.saturating_sub(started.elapsed())).await;
        self.closing.cancel();
        self.open.close();
        let left = self.grace.saturating_sub(started.elapsed() + LEAVE_MARGIN);
        let whole = timeout(left, self.open.wait()).await.is_ok();
        log::info!(entry = self.name, whole; "entry stopped");
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("cannot bind {address}"))
}

/// Writes the entry's row until the store has taken it.
async fn list_entry<Store>(store: Store, name: String, own: EntryListing)
where
    Store: TableStore,
{
    let row = match EntryRow::write(&own) {
        Ok(row) => row,
        Err(err) => return log::error!(err:%; "entry's row cannot be written"),
    };
    loop {
        match store.write_entry(&name, Some(row.clone())).await {
            Ok(()) => return log::info!(entry = name; "entry listed"),
            Err(err) => log::warn!(err:?; "entry not listed yet"),
        }
        sleep(ROW_RETRY).await;
    }
}

async fn serve_rows(listener: TcpListener, rows: SharedRows) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(err:%; "pull not taken");
                sleep(ROW_RETRY).await;
                continue;
            }
        };
        let rows = rows.clone();
        actix_rt::spawn(async move {
            if let Err(err) = give_rows(stream, &rows).await {
                log::debug!("pull of rows ended: {err}");
            }
        });
    }
}

async fn give_rows(stream: TcpStream, rows: &SharedRows) -> Result<()> {
    let mut connection = overlay::frames(stream);
    let wish = overlay::read_wish(&mut connection).await?;
    overlay::write_answer(&mut connection, &rows_for(rows, &wish)).await
}

fn rows_for(rows: &SharedRows, wish: &PullWish) -> PullAnswer {
    let PullWish::Rows(wish) = wish else {
        return PullAnswer::default();
    };
    let table = wish.mirror_table();
    let read = table.and_then(|table| mirror::newer_rows(rows, table, wish.after));
    read.map(PullAnswer::from).unwrap_or_default()
}

async fn hear(socket: Rc<UdpSocket>, fleet: FleetHandle) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!(err:%; "datagram not received");
                sleep(ROW_RETRY).await;
                continue;
            }
        };
        let body = match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => datagram.body,
            Err(err) => {
                log::debug!("datagram from {from} left out: {err}");
                continue;
            }
        };
        match body {
            Some(DatagramBody::Hello(hello)) => take_hello(&fleet, from, hello),
            Some(DatagramBody::Load(load)) => take_load(&fleet, from, load),
            Some(DatagramBody::Requests(requests)) => take_requests(&fleet, requests),
            None => {}
        }
    }
}

fn take_hello(fleet: &FleetHandle, from: SocketAddr, hello: EntryHello) {
    let now = Instant::now();
    let listing = match hello.listing(from) {
        Ok(listing) => listing,
        Err(err) => return log::debug!("sign of life from {from} left out: {err}"),
    };
    fleet.with(|fleet| {
        fleet.entries.heard(&hello.name, listing, hello.ready, now);
        for named in hello.weights {
            let age = Duration::from_millis(named.age_ms);
            fleet.learn_weights(&named.model, named.version, age, now);
        }
        for news in hello.suspects {
            let Some(digest) = ContentDigest::from_slice(&news.digest) else {
                continue;
            };
            let key = SuspectKey {
                customer: news.customer,
                body_digest: digest,
            };
            fleet.suspects.learn(key, news.witnesses, now);
        }
    });
}

fn take_requests(fleet: &FleetHandle, requests: EntryRequests) {
    let loads = requests.loads.into_iter().map(|load| {
        let entry_load = EntryLoad {
            in_flight: load.in_flight,
            unread: load.unread,
        };
        (load.upstream, entry_load)
    });
    let loads: HashMap<_, _> = loads.collect();
    fleet.with(|fleet| fleet.book.peer(&requests.name, &loads, Instant::now()));
    fleet.freed.notify_one();
}

fn take_load(fleet: &FleetHandle, from: SocketAddr, load: EngineLoad) {
    let now = Instant::now();
    let Ok(engine) = load.engine.parse::<SocketAddr>() else {
        return log::debug!("report from {from} names no engine");
    };
    let report = EngineReport {
        up: load.up,
        weights: Some(load.weights).filter(|version| *version > 0),
        busy: load.busy,
        active: load.active,
        queued: load.queued,
    };
    let agent = AgentState {
        region: load.region,
        holds: Some(load.holds).filter(|version| *version > 0),
        heard: now,
    };
    fleet.with(|fleet| {
        fleet.book.report(engine, report, now);
        fleet.agents.insert(from, agent);
    });
    fleet.freed.notify_one();
}

/// Tells the other daemons that this entry lives, and what it knows.
#[derive(Clone)]
struct Speaker {
    socket: Rc<UdpSocket>,
    fleet: FleetHandle,
    name: String,
    own: EntryListing,
}

impl Speaker {
    async fn run(self) {
        let news = self.fleet.with(|fleet| fleet.news.clone());
        loop {
            self.speak();
            // Agents fetch new weights from the moment that they hear of them.
            let _ = timeout(HELLO_INTERVAL, news.notified()).await;
        }
    }

    /// Tells the entries of the region this entry's requests, soon after they change.
    async fn tell_requests(self) {
        let mut told = Instant::now();
        loop {
            sleep(TELL_INTERVAL).await;
            let now = Instant::now();
            let old = now.saturating_duration_since(told) >= TELL_AGAIN;
            if !self.fleet.untold.replace(false) && !old {
                continue;
            }
            told = now;
            let (data, peers) = self.fleet.with(|fleet| {
                let loads = fleet
                    .book
                    .own_loads()
                    .map(|(upstream, load)| UpstreamRequests {
                        upstream: upstream.clone(),
                        in_flight: load.in_flight,
                        unread: load.unread,
                    });
                let requests = EntryRequests {
                    name: self.name.clone(),
                    loads: loads.collect(),
                };
                let data = Datagram {
                    body: Some(DatagramBody::Requests(requests)),
                };
                let alive = fleet.entries.alive(&self.name, now);
                let near = alive.filter(|listing| listing.region == self.own.region);
                let peers: Vec<SocketAddr> = near.map(|listing| listing.overlay).collect();
                (data.encode_to_vec(), peers)
            });
            for peer in peers {
                if let Err(err) = self.socket.try_send_to(&data, peer) {
                    log::debug!("requests not told to {peer}: {err}");
                }
            }
        }
    }

    fn speak(&self) {
        let now = Instant::now();
        let hello = self.hello(now);
        let data = Datagram {
            body: Some(DatagramBody::Hello(hello)),
        };
        let data = data.encode_to_vec();
        for peer in self.peers() {
            if let Err(err) = self.socket.try_send_to(&data, peer) {
                log::debug!("sign of life to {peer} not sent: {err}");
            }
        }
    }

    fn hello(&self, now: Instant) -> EntryHello {
        let ready = self.fleet.is_ready();
        self.fleet.with(|fleet| {
            fleet
                .agents
                .retain(|_, agent| now.saturating_duration_since(agent.heard) < AGENT_SILENCE);
            let named = fleet.weights.iter().flat_map(|(model, schedule)| {
                schedule.named(now).map(|(version, age)| NamedWeights {
                    model: model.clone(),
                    version,
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                })
            });
            let agents = fleet.agents.iter().map(|(overlay, agent)| KnownAgent {
                overlay: overlay.to_string(),
                region: agent.region.clone(),
                holds: agent.holds.unwrap_or_default(),
            });
            let suspects = fleet.suspects.news().take(MAX_SUSPECTS_TOLD);
            let suspects = suspects.map(|(key, witnesses)| SuspectNews {
                customer: key.customer.clone(),
                digest: key.body_digest.as_bytes().to_vec(),
                witnesses: witnesses.iter().cloned().collect(),
            });
            EntryHello {
                name: self.name.clone(),
                incarnation: self.own.incarnation,
                ready,
                weights: named.collect(),
                agents: agents.collect(),
                suspects: suspects.collect(),
                front: self.own.front.to_string(),
                data_centre: self.own.data_centre.clone(),
                region: self.own.region.clone(),
            }
        })
    }

    /// Other entries, agents that were heard, and those beside listed engines.
    fn peers(&self) -> BTreeSet<SocketAddr> {
        self.fleet.with(|fleet| {
            let entries = fleet.entries.others(&self.name);
            let mut peers: BTreeSet<SocketAddr> =
                entries.map(|(_, listing)| listing.overlay).collect();
            peers.extend(fleet.agents.keys().copied());
            let engines = fleet.book.iter();
            let engines = engines.filter(|(_, state)| state.listing.weights.is_some());
            let port = self.own.overlay.port();
            peers.extend(
                engines.map(|(_, state)| SocketAddr::new(state.listing.address.ip(), port)),
            );
            peers
        })
    }
}
