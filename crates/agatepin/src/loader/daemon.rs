//! Starts an agent on the direct request path (see the parent module): binds its sockets and spawns
//! its tasks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RegionId;
use agatepin_core::relay::schedule::VersionDeadlines;
use agatepin_core::relay::sources::PieceAgent;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use crate::loader::cache::PieceCache;
use crate::loader::monitor::{EngineMonitor, LoadReporter};
use crate::loader::pieces::PieceFetcher;
use crate::loader::stage::StageWriter;
use crate::loader::swap::{SwapFlag, UnverifiedVersion, WeightSwapper};
use crate::loader::uploads::PieceServer;
use crate::loader::view::{self, FleetView, SharedView};
use crate::relay::datagram::{self, DatagramBody};
use crate::relay::ports::{EnginePort, MirrorTable, TableStore, WireDialect};

/// Pause after a failed accept of a connection and between reads of the store; also the interval at
/// which the agent checks whether rosters (an entry's list of live entries and agents) still
/// arrive.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Time without a roster from any entry after which the agent reads the store instead, and the
/// least time between two such reads.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Least time for which an agent that knows entries of its region waits for one of them to have the
/// catalog, before it reads the store. The entries have it soon after they have started.
const CATALOG_WAIT: Duration = Duration::from_millis(1_500);
/// Longest random time in addition, so that many agents do not read the store at once.
const CATALOG_WAIT_SPREAD: Duration = Duration::from_secs(3);

const ALL_TABLES: [MirrorTable; 3] = [
    MirrorTable::Operator,
    MirrorTable::Upstreams,
    MirrorTable::Entries,
];

agatepin_core::value_type! {
    /// Settings of an agent.
    pub struct AgentOptions {
        /// Name of the instance, for logs.
        pub name: String,
        /// Region of the instance's data centre.
        pub region: String,
        /// Service of the engine, which decides the model that it loads.
        pub service: String,
        /// Address of the engine that this agent loads weights into, on the same machine.
        pub engine: SocketAddr,
        /// Address at which other daemons reach this agent: TCP for pulls (requests for pieces of
        /// weights), UDP for datagrams. Port 0 selects any free TCP port, and UDP takes the same.
        pub overlay: SocketAddr,
        /// Whether the whole system starts for the first time, with weights already staged at the
        /// engines.
        pub first_start: bool,
        /// Maximum rate of the machine's network link, in bytes a second; 0 for no limit.
        pub link_bytes_per_second: u64,
        /// Maximum number of agents of the fleet that request pieces from the origin, one at a time
        /// each. Where there are more regions, one agent of each region does.
        pub origin_fetchers: usize,
        /// When older versions of weights stop serving after an announcement.
        pub deadlines: VersionDeadlines,
    }
}

/// Binds the sockets and spawns the tasks of an agent. Returns its address for other daemons.
///
/// # Errors
/// An address cannot be bound.
pub async fn start<Store, Dialect, Engine>(
    options: AgentOptions,
    store: Store,
    dialect: Dialect,
    engine: Engine,
) -> Result<SocketAddr>
where
    Store: TableStore,
    Dialect: WireDialect,
    Engine: EnginePort,
{
    let view: SharedView = Rc::new(RefCell::new(FleetView::new(options.deadlines)));
    let cache = PieceCache::default();
    let monitor = EngineMonitor::default();
    let swapping = SwapFlag::default();
    let unverified = UnverifiedVersion::default();
    let bind = || format!("cannot bind {}", options.overlay);
    let listener = TcpListener::bind(options.overlay)
        .await
        .wrap_err_with(bind)?;
    let overlay = listener.local_addr()?;
    let socket = UdpSocket::bind(overlay).await.wrap_err_with(bind)?;
    let socket = Rc::new(socket);
    actix_rt::spawn(serve_pieces(
        listener,
        PieceServer::new(cache.clone(), view.clone(), options.link_bytes_per_second),
    ));
    let receiving_view = view.clone();
    actix_rt::spawn(datagram::receive(socket.clone(), move |_, body| {
        if let DatagramBody::Roster(roster) = body {
            receiving_view
                .borrow_mut()
                .apply_roster(roster, Instant::now());
        }
    }));
    let first_start = options.first_start;
    actix_rt::spawn(watch_store(
        view.clone(),
        store,
        dialect,
        options.region.clone(),
        overlay.port(),
        first_start,
    ));
    let reporter = LoadReporter {
        engine: engine.clone(),
        monitor: monitor.clone(),
        address: options.engine,
        overlay,
        region: options.region.clone(),
        service: options.service.clone(),
        cache: cache.clone(),
        view: view.clone(),
        swapping: swapping.clone(),
        unverified: unverified.clone(),
        socket,
    };
    actix_rt::spawn(reporter.run());
    let fetcher = PieceFetcher {
        writer: StageWriter::new(engine.clone()),
        engine,
        cache,
        view,
        monitor: monitor.clone(),
        own: PieceAgent {
            overlay,
            region: options.region,
            holds: None,
        },
        first_start: options.first_start,
        origin_fetchers: options.origin_fetchers,
        link_bytes_per_second: options.link_bytes_per_second,
        in_flight: Rc::default(),
        at_origin: Rc::default(),
        fetches: Rc::default(),
    };
    actix_rt::spawn(fetcher.clone().run(options.service.clone()));
    let swapper = WeightSwapper {
        fetcher,
        monitor,
        service: options.service,
        swapping,
        unverified,
        doubtful: Cell::default(),
        waiting: Cell::default(),
    };
    actix_rt::spawn(swapper.run());
    log::info!(agent = options.name, engine:% = options.engine; "agent started");
    Ok(overlay)
}

async fn serve_pieces(listener: TcpListener, server: PieceServer) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(err:%; "cannot accept a pull connection");
                sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        let server = server.clone();
        actix_rt::spawn(async move {
            if let Err(err) = server.serve(stream).await {
                log::debug!("cannot answer a pull of another agent: {err}");
            }
        });
    }
}

/// Time of the next read of the catalog from the store, if no entry gives it until then.
fn next_catalog_read() -> Instant {
    Instant::now() + CATALOG_WAIT + CATALOG_WAIT_SPREAD.mul_f64(rand::random())
}

/// Reads the peers of this agent (entries and other agents) from the store, and gets the catalog, each
/// until it succeeds. After that, reads all tables again whenever no roster was received for
/// [`ROSTER_TIMEOUT`]. Agents are expected at `overlay_port` of the machines of listed engines.
async fn watch_store<Store, Dialect>(
    view: SharedView,
    store: Store,
    dialect: Dialect,
    region: RegionId,
    overlay_port: u16,
    first_start: bool,
) where
    Store: TableStore,
    Dialect: WireDialect,
{
    // At a first start, entries send rosters with all peers to the agents beside listed engines, so
    // agents need not read the list of upstreams.
    let peers: &[MirrorTable] = if first_start {
        &[MirrorTable::Entries]
    } else {
        &[MirrorTable::Entries, MirrorTable::Upstreams]
    };
    while let Err(err) = view::read_store(&view, &store, &dialect, overlay_port, peers).await {
        log::warn!(err:?; "cannot read the store");
        sleep(FAILURE_PAUSE).await;
    }
    let mut store_at = Instant::now();
    if view.borrow_mut().knows_entries(&region, store_at) {
        store_at = next_catalog_read();
    }
    while !view.borrow().has_catalog() {
        if Instant::now() < store_at {
            if !view::pull_operator_rows(&view, &dialect, &region, overlay_port).await {
                sleep(FAILURE_PAUSE).await;
            }
            continue;
        }
        store_at = next_catalog_read();
        let tables = [MirrorTable::Operator];
        if let Err(err) = view::read_store(&view, &store, &dialect, overlay_port, &tables).await {
            log::warn!(err:?; "cannot read the store");
        }
        if !view.borrow().has_catalog() {
            sleep(FAILURE_PAUSE).await;
        }
    }
    log::info!("catalog and entries read");
    let mut read_at = Instant::now();
    loop {
        sleep(FAILURE_PAUSE).await;
        let roster_at = view.borrow().roster_at();
        if roster_at.unwrap_or(read_at).max(read_at).elapsed() <= ROSTER_TIMEOUT {
            continue;
        }
        read_at = Instant::now();
        log::info!("no roster from any entry; reading the store");
        if let Err(err) = view::read_store(&view, &store, &dialect, overlay_port, &ALL_TABLES).await
        {
            log::warn!(err:?; "cannot read the store");
        }
    }
}
