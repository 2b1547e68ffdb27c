//! Daemon of an entry that forwards callers' requests straight to upstreams: its sockets, tasks and
//! graceful shutdown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::CallerTimeouts;
use agatepin_core::relay::entry_limits::EntryLimits;
use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::rate_share::RetryLimit;
use agatepin_core::relay::schedule::VersionDeadlines;
use agatepin_core::relay::shutdown::ShutdownTimes;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::relay::admit::EntryIdentity;
use crate::relay::body_budget::BodyBudget;
use crate::relay::broadcast::StateBroadcaster;
use crate::relay::call::CallRelay;
use crate::relay::connection_limit::{ConnectionLimit, DiscardPool};
use crate::relay::datagram;
use crate::relay::datagram_handler;
use crate::relay::entry_rows::EntryRow;
use crate::relay::fleet::FleetHandle;
use crate::relay::metrics::RelayMetrics;
use crate::relay::mirror::TableMirror;
use crate::relay::overlay::{self, PullAnswer, PullQuery};
use crate::relay::ports::{MirrorTable, TableStore, WireDialect};
use crate::relay::server::{DirectoryHandler, HttpServer};

/// Pause after a failed write of the entry's row, or a failed accept of a connection.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Time for which an entry still accepts connections after its shutdown began: callers may have
/// cached its address from an answer of the directory (the list of entries for callers).
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Part of the grace period (time from SIGTERM until the process must have exited) that is reserved
/// for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time for the answers to the requests that are still in progress when the entry stops.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);
/// Timeout of the removal of the entry's row from the platform's store during the shutdown.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(400);

agatepin_core::value_type! {
    /// Options of an entry's daemon.
    pub struct EntryOptions {
        /// Name and location of the entry.
        pub identity: EntryIdentity,
        /// Address on which callers' requests are accepted.
        pub front: SocketAddr,
        /// Address for the readiness check; may equal `directory`.
        pub ready: SocketAddr,
        /// Address for the directory (the list of entries for callers), metrics and the state dump.
        pub directory: SocketAddr,
        /// Address for other daemons: datagrams over UDP and pulls over TCP.
        pub overlay: SocketAddr,
        /// Limit of the retries that all entries together may send.
        pub retries: RetryLimit,
        /// Time from SIGTERM until the process must have exited.
        pub grace: Duration,
        /// When older versions of weights stop serving after an announcement.
        pub deadlines: VersionDeadlines,
        /// What the entry may hold for its callers.
        pub limits: EntryLimits,
    }
}

/// Running daemon of an entry.
pub struct RelayEntry<Store, Dialect> {
    /// Bound address on which callers' requests are accepted.
    pub front: SocketAddr,
    /// Bound address for the directory (the list of entries for callers), metrics and state dump.
    pub directory: SocketAddr,
    fleet: FleetHandle,
    /// Client of the platform's store, which holds the entry's row.
    store: Store,
    /// Name of the entry.
    name: String,
    /// Time from SIGTERM until the process must have exited.
    grace: Duration,
    /// Cancelled when no new connections of callers are accepted any more, and idle ones are closed.
    closing: CancellationToken,
    /// Cancelled when callers' connections are to be closed after their next answer.
    leaving: CancellationToken,
    /// Open connections of callers, and the task that accepts them.
    connections: TaskTracker,
    /// Sends a last heartbeat when the shutdown begins.
    broadcaster: StateBroadcaster<Store, Dialect>,
}

/// Binds the sockets and starts the tasks of an entry.
///
/// # Errors
/// An address cannot be bound, or the metrics cannot be registered.
pub async fn start<Store, Dialect>(
    options: EntryOptions,
    store: Store,
    dialect: Dialect,
) -> Result<RelayEntry<Store, Dialect>>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    let fleet = FleetHandle::new(options.retries.clone(), options.deadlines);
    let identity = Rc::new(options.identity.clone());
    let front = bind(options.front).await?;
    let pulls = bind(options.overlay).await?;
    let own = EntryListing {
        incarnation: rand::random(),
        front: front.local_addr()?,
        overlay: pulls.local_addr()?,
        data_centre: identity.data_centre.clone(),
        region: identity.region.clone(),
    };
    let closing = CancellationToken::new();
    let leaving = CancellationToken::new();
    let connections = TaskTracker::new();
    let metrics = RelayMetrics::register()?;
    let limits = options.limits;
    let discards = DiscardPool::new(limits.discard_bytes, metrics.limited());
    let limit = |most| ConnectionLimit::new(most, discards.clone(), metrics.limited());
    let caller_server = |listener| HttpServer {
        listener,
        closing: closing.clone(),
        leaving: leaving.clone(),
        connections: connections.clone(),
        timeouts: fleet.clone(),
        limit: limit(limits.connections),
    };
    let relay: CallRelay<Store, Dialect> = CallRelay::new(
        dialect.clone(),
        fleet.clone(),
        identity.clone(),
        metrics.clone(),
        BodyBudget::new(limits.body_bytes, metrics.limited()),
    );
    let serving = caller_server(front).run(move |request| relay.clone().answer(request));
    actix_rt::spawn(connections.track_future(serving));
    let handler = Rc::new(DirectoryHandler {
        dialect: dialect.clone(),
        fleet: fleet.clone(),
        identity: identity.clone(),
        own: own.clone(),
        metrics: metrics.clone(),
    });
    let mut directory = options.directory;
    for address in BTreeSet::from([options.ready, options.directory]) {
        let listener = bind(address).await?;
        if address == options.directory {
            directory = listener.local_addr()?;
        }
        let server = HttpServer {
            listener,
            closing: CancellationToken::new(),
            leaving: CancellationToken::new(),
            connections: TaskTracker::new(),
            timeouts: CallerTimeouts::default(),
            limit: limit(limits.queries),
        };
        let handler = handler.clone();
        actix_rt::spawn(server.run(move |request| {
            let response = handler.answer(&request);
            async move { response }
        }));
    }
    let mirror = TableMirror::new(store.clone(), dialect, fleet.clone(), &identity);
    spawn_mirror(&mirror);
    actix_rt::spawn(serve_pulls(pulls, mirror.clone()));
    let socket = UdpSocket::bind(own.overlay).await;
    let socket = Rc::new(socket.wrap_err_with(|| format!("cannot bind {}", own.overlay))?);
    let (state, region) = (fleet.clone(), identity.region.clone());
    actix_rt::spawn(datagram::receive(socket.clone(), move |from, body| {
        datagram_handler::handle_datagram(&state, &region, from, body);
    }));
    let broadcaster = StateBroadcaster {
        socket,
        fleet: fleet.clone(),
        name: identity.name.clone(),
        own: own.clone(),
        mirror,
    };
    broadcaster.clone().spawn_tasks();
    actix_rt::spawn(register_entry(
        store.clone(),
        identity.name.clone(),
        own.clone(),
    ));
    log::info!(entry = identity.name, front:% = own.front; "entry started");
    Ok(RelayEntry {
        front: own.front,
        directory,
        fleet,
        store,
        name: options.identity.name,
        grace: options.grace,
        closing,
        leaving,
        connections,
        broadcaster,
    })
}

impl<Store, Dialect> RelayEntry<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Shuts down gracefully and returns when all connections have ended or the grace period is
    /// over. The entry leaves the directory at once, connections are closed after their next
    /// answer, and new ones are accepted as long as callers may still have the address cached.
    /// Requests that are in progress shortly before the end of the grace period are ended, each with
    /// an answer.
    pub async fn leave(self) {
        let started = Instant::now();
        let answering = self.grace.saturating_sub(EXIT_MARGIN + LAST_ANSWERS_TIME);
        let times = ShutdownTimes {
            cached_until: started + SHUTDOWN_ACCEPT_TIME.min(answering),
            stop_at: started + answering,
        };
        self.fleet
            .with(|fleet| fleet.shutdown = Some(times.clone()));
        self.broadcaster.broadcast();
        log::info!(entry = self.name; "graceful shutdown begins");
        self.leaving.cancel();
        let removal = self.store.write_entry_row(&self.name, None);
        match timeout(DEREGISTER_TIMEOUT, removal).await {
            Ok(Ok(())) => {}
            failed => log::warn!(failed:?; "removal of the entry's row from the store failed"),
        }
        sleep_until(times.cached_until.into()).await;
        self.closing.cancel();
        self.connections.close();
        let whole = timeout_at(times.stop_at.into(), self.connections.wait()).await;
        let whole = whole.is_ok();
        self.fleet.stopping.cancel();
        // Connections without a request stay open.
        let _ = timeout(LAST_ANSWERS_TIME, self.connections.wait()).await;
        // `whole`: all connections of callers ended before the entry stopped.
        log::info!(entry = self.name, whole; "entry stopped");
    }
}

/// Starts the tasks that follow the store's tables.
fn spawn_mirror<Store, Dialect>(mirror: &TableMirror<Store, Dialect>)
where
    Store: TableStore,
    Dialect: WireDialect,
{
    for table in [
        MirrorTable::Operator,
        MirrorTable::Upstreams,
        MirrorTable::Entries,
    ] {
        actix_rt::spawn(mirror.clone().run(table));
    }
}

/// Listens for TCP connections on `address`.
async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("cannot bind {address}"))
}

/// Writes the entry's row to the store; retries until that succeeds.
async fn register_entry<Store>(store: Store, name: String, own: EntryListing)
where
    Store: TableStore,
{
    let row = match EntryRow::write(&own) {
        Ok(row) => row,
        Err(err) => return log::error!(err:%; "entry's row for the store cannot be serialised"),
    };
    loop {
        match store.write_entry_row(&name, Some(row.clone())).await {
            Ok(()) => return log::info!(entry = name; "entry registered"),
            Err(err) => log::warn!(err:?; "write of the entry's row to the store failed; retrying"),
        }
        sleep(FAILURE_PAUSE).await;
    }
}

/// Accepts connections of other entries and answers their pulls of rows.
async fn serve_pulls<Store, Dialect>(listener: TcpListener, mirror: TableMirror<Store, Dialect>)
where
    Store: TableStore,
    Dialect: WireDialect,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(err:%; "accept of a connection for pulls failed");
                sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        let mirror = mirror.clone();
        actix_rt::spawn(async move {
            if let Err(err) = serve_pull(stream, &mirror).await {
                log::debug!("pull of rows by another entry failed: {err}");
            }
        });
    }
}

/// Answers the query of one connection. Only rows of tables can be found here: pieces of weights and
/// their digests are held by agents.
async fn serve_pull<Store, Dialect>(
    stream: TcpStream,
    mirror: &TableMirror<Store, Dialect>,
) -> Result<()>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    let mut connection = overlay::pull_connection(stream);
    let copy = match overlay::read_query(&mut connection).await? {
        PullQuery::Rows(query) => MirrorTable::from_number(query.table)
            .and_then(|table| mirror.newer_rows(table, query.after())),
        PullQuery::Piece(_) | PullQuery::Digests(_) | PullQuery::Ready(_) => None,
    };
    let answer = copy.map(PullAnswer::from).unwrap_or_default();
    overlay::write_answer(&mut connection, &answer).await
}
