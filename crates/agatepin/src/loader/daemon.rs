//! The agent on the direct path: its sockets and tasks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::relay::sources::PieceAgent;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use crate::loader::beat::{BeatTeller, EngineBeat};
use crate::loader::pieces::{PieceFetcher, PieceGiver};
use crate::loader::stage::StageDesk;
use crate::loader::swap::{SwapFlag, WeightSwapper};
use crate::loader::vault::PieceVault;
use crate::loader::view::{self, SharedView};
use crate::relay::datagram::{self, DatagramBody};
use crate::relay::ports::{EnginePort, MirrorTable, TableStore, WireDialect};

/// Pause after a failure of a socket or the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Silence of all entries after which the store is read again.
const ENTRY_SILENCE: Duration = Duration::from_secs(3);

const ALL_TABLES: [MirrorTable; 3] = [
    MirrorTable::Operator,
    MirrorTable::Upstreams,
    MirrorTable::Entries,
];

agatepin_core::value_type! {
    /// What an agent is started with.
    pub struct AgentOptions {
        /// Name.
        pub name: String,
        /// Region.
        pub region: String,
        /// Service of the engine.
        pub service: String,
        /// Address of the engine.
        pub engine: SocketAddr,
        /// Address for other daemons.
        pub overlay: SocketAddr,
        /// The whole system starts for the first time.
        pub first_start: bool,
        /// Speed of the machine's link; 0 where it is not limited.
        pub link_bytes_per_second: u64,
    }
}

/// Binds the sockets and starts the tasks of an agent. Returns its address for other daemons.
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
    let view = SharedView::default();
    let vault = PieceVault::default();
    let beat = EngineBeat::default();
    let swapping = SwapFlag::default();
    let bind = || format!("cannot bind {}", options.overlay);
    let listener = TcpListener::bind(options.overlay)
        .await
        .wrap_err_with(bind)?;
    let overlay = listener.local_addr()?;
    let socket = UdpSocket::bind(overlay).await.wrap_err_with(bind)?;
    let socket = Rc::new(socket);
    actix_rt::spawn(serve_pieces(
        listener,
        PieceGiver::new(vault.clone(), view.clone(), options.link_bytes_per_second),
    ));
    let heard = view.clone();
    actix_rt::spawn(datagram::receive(socket.clone(), move |_, body| {
        if let DatagramBody::Roster(roster) = body {
            heard.borrow_mut().hear(roster, Instant::now());
        }
    }));
    let port = overlay.port();
    let first_start = options.first_start;
    actix_rt::spawn(watch_store(view.clone(), store, dialect, port, first_start));
    let teller = BeatTeller {
        engine: engine.clone(),
        beat: beat.clone(),
        address: options.engine,
        overlay,
        region: options.region.clone(),
        vault: vault.clone(),
        view: view.clone(),
        swapping: swapping.clone(),
        socket,
    };
    actix_rt::spawn(teller.run());
    let fetcher = PieceFetcher {
        stage: StageDesk::new(engine.clone()),
        engine,
        vault,
        view,
        beat: beat.clone(),
        own: PieceAgent {
            overlay,
            region: options.region,
            holds: None,
        },
        first_start: options.first_start,
    };
    actix_rt::spawn(fetcher.clone().run(options.service.clone()));
    let swapper = WeightSwapper {
        fetcher,
        beat,
        service: options.service,
        swapping,
    };
    actix_rt::spawn(swapper.run());
    log::info!(agent = options.name, engine:% = options.engine; "agent started");
    Ok(overlay)
}

async fn serve_pieces(listener: TcpListener, giver: PieceGiver) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!(err:%; "pull not taken");
                sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        let giver = giver.clone();
        actix_rt::spawn(async move {
            if let Err(err) = giver.serve(stream).await {
                log::debug!("pull of a piece ended: {err}");
            }
        });
    }
}

/// Reads the store at the start, and again while no entry is heard.
async fn watch_store<Store, Dialect>(
    view: SharedView,
    store: Store,
    dialect: Dialect,
    port: u16,
    first_start: bool,
) where
    Store: TableStore,
    Dialect: WireDialect,
{
    // Where all start at once, entries come to the agents beside listed engines, and tell the rest.
    let peers: &[MirrorTable] = if first_start {
        &[MirrorTable::Entries]
    } else {
        &[MirrorTable::Entries, MirrorTable::Upstreams]
    };
    for tables in [&[MirrorTable::Operator], peers] {
        loop {
            let read = view::read_store(&view, &store, &dialect, port, tables).await;
            match read {
                Ok(()) if view.borrow().is_known() => break,
                Ok(()) => {}
                Err(err) => log::warn!(err:?; "store not read"),
            }
            sleep(FAILURE_PAUSE).await;
        }
    }
    log::info!("catalog and entries read");
    let mut read_at = Instant::now();
    loop {
        sleep(FAILURE_PAUSE).await;
        let heard = view.borrow().heard();
        if heard.unwrap_or(read_at).max(read_at).elapsed() <= ENTRY_SILENCE {
            continue;
        }
        read_at = Instant::now();
        log::info!("no entry is heard; reading the store");
        if let Err(err) = view::read_store(&view, &store, &dialect, port, &ALL_TABLES).await {
            log::warn!(err:?; "store not read");
        }
    }
}
