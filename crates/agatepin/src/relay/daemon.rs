//! The entry on the direct path: its sockets, tasks and its graceful shutdown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::rate_share::RetryLimit;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::relay::admit::EntryIdentity;
use crate::relay::call::CallRelay;
use crate::relay::datagram;
use crate::relay::entry_rows::EntryRow;
use crate::relay::fleet::FleetHandle;
use crate::relay::listener;
use crate::relay::metrics::RelayMetrics;
use crate::relay::mirror::TableMirror;
use crate::relay::overlay::{self, PullAnswer, PullQuery};
use crate::relay::ports::{MirrorTable, TableStore, WireDialect};
use crate::relay::server::{DirectoryDesk, HttpServer};
use crate::relay::speaker::Speaker;

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
        pub identity: EntryIdentity,
        /// Address for callers.
        pub front: SocketAddr,
        /// Address for the readiness check.
        pub ready: SocketAddr,
        /// Address for the directory.
        pub directory: SocketAddr,
        /// Address for other daemons.
        pub overlay: SocketAddr,
        /// Allowance of all entries for repeats.
        pub retries: RetryLimit,
        /// Time from SIGTERM in which the process must end.
        pub grace: Duration,
    }
}

/// An entry that runs.
pub struct RelayEntry<Store, Dialect> {
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
    speaker: Speaker<Store, Dialect>,
}

/// Binds the sockets and starts the tasks of an entry.
///
/// # Errors
/// An address cannot be bound.
pub async fn start<Store, Dialect>(
    options: EntryOptions,
    store: Store,
    dialect: Dialect,
) -> Result<RelayEntry<Store, Dialect>>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    let fleet = FleetHandle::new(options.retries.clone());
    let identity = Rc::new(options.identity.clone());
    let front = listen(options.front).await?;
    let pulls = listen(options.overlay).await?;
    let own = EntryListing {
        incarnation: rand::random(),
        front: front.local_addr()?,
        overlay: pulls.local_addr()?,
        data_centre: identity.data_centre.clone(),
        region: identity.region.clone(),
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
        identity.clone(),
        metrics.clone(),
    );
    actix_rt::spawn(bound(front).run(move |request| relay.clone().answer(request)));
    let desk = Rc::new(DirectoryDesk {
        dialect: dialect.clone(),
        fleet: fleet.clone(),
        identity: identity.clone(),
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
    let mirror = TableMirror::new(store.clone(), dialect, fleet.clone(), &identity);
    for table in [
        MirrorTable::Operator,
        MirrorTable::Upstreams,
        MirrorTable::Entries,
    ] {
        actix_rt::spawn(mirror.clone().run(table));
    }
    actix_rt::spawn(serve_rows(pulls, mirror.clone()));
    let socket = UdpSocket::bind(own.overlay).await;
    let socket = Rc::new(socket.wrap_err_with(|| format!("cannot bind {}", own.overlay))?);
    let (heard, region) = (fleet.clone(), identity.region.clone());
    actix_rt::spawn(datagram::receive(socket.clone(), move |from, body| {
        listener::hear(&heard, &region, from, body);
    }));
    let speaker = Speaker {
        socket,
        fleet: fleet.clone(),
        name: identity.name.clone(),
        own: own.clone(),
        mirror,
    };
    actix_rt::spawn(speaker.clone().tell_requests());
    actix_rt::spawn(speaker.clone().tell_engines());
    actix_rt::spawn(speaker.clone().run());
    actix_rt::spawn(list_entry(
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
        open,
        speaker,
    })
}

impl<Store, Dialect> RelayEntry<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Leaves: out of the directory at once, connections end with their last answer, and new ones
    /// are taken as long as callers may still know the address.
    pub async fn leave(self) {
        let started = Instant::now();
        self.fleet.with(|fleet| fleet.leaving = true);
        self.speaker.speak();
        log::info!(entry = self.name; "graceful shutdown begins");
        self.leaving.cancel();
        let removal = self.store.write_entry_row(&self.name, None);
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
        match store.write_entry_row(&name, Some(row.clone())).await {
            Ok(()) => return log::info!(entry = name; "entry listed"),
            Err(err) => log::warn!(err:?; "entry not listed yet"),
        }
        sleep(ROW_RETRY).await;
    }
}

async fn serve_rows<Store, Dialect>(listener: TcpListener, mirror: TableMirror<Store, Dialect>)
where
    Store: TableStore,
    Dialect: WireDialect,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(err:%; "pull not taken");
                sleep(ROW_RETRY).await;
                continue;
            }
        };
        let mirror = mirror.clone();
        actix_rt::spawn(async move {
            if let Err(err) = give_rows(stream, &mirror).await {
                log::debug!("pull of rows ended: {err}");
            }
        });
    }
}

async fn give_rows<Store, Dialect>(
    stream: TcpStream,
    mirror: &TableMirror<Store, Dialect>,
) -> Result<()>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    let mut connection = overlay::pull_connection(stream);
    let copy = match overlay::read_query(&mut connection).await? {
        PullQuery::Rows(wish) => MirrorTable::from_number(wish.table)
            .and_then(|table| mirror.newer_rows(table, wish.after)),
        PullQuery::Piece(_) | PullQuery::Digests(_) => None,
    };
    let answer = copy.map(PullAnswer::from).unwrap_or_default();
    overlay::write_answer(&mut connection, &answer).await
}
