//! Start and graceful shutdown of an entry's HTTP server and of the tasks behind it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpService};
use actix_server::{Server, ServerHandle};
use actix_service::{IntoServiceFactory, ServiceFactoryExt, fn_service, map_config};
use actix_web::dev::AppConfig;
use actix_web::rt::net::TcpStream;
use actix_web::{App, web};
use agatepin_core::poison::SuspectTracker;
use eyre::Result;

use super::body::ReadCloser;
use super::calls::EntryShared;
use super::claims::ClaimTable;
use super::directory::AgentDirectory;
use super::http::{self, EntryHttp, RequestCounter};
use super::links::AgentLinks;
use super::metrics::EntryMetrics;
use super::open_calls::OpenCalls;
use super::paced_stream::PacedStream;
use super::placement::CallPlacement;
use super::process::StateReporter;
use super::settlement::SettlementNotifier;
use crate::bearer::BearerCheck;
use crate::context::ProcessContext;
use crate::http_admin;
use crate::relay::body_budget::BodyBudget;
use crate::settings::{CallSettings, HttpSettings};
use crate::spread::SpreadHandle;
use crate::suspects::SUSPECT_RETENTION;

/// Number of threads of the HTTP server, which share the connection limit equally.
const HTTP_WORKERS: usize = 2;
/// Time in which a caller closes its connection after the last answer.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which all other entries are assumed to know that this entry is shutting down, and to
/// no longer list its address to callers.
const LEAVE_PROPAGATION: Duration = Duration::from_secs(1);
/// Interval at which a graceful shutdown checks whether it is complete.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a [`CallServer`] needs.
#[derive(Debug)]
pub struct CallServerParts<Table> {
    /// Identity of the process, configuration in force, and cluster members that the process knows.
    pub context: ProcessContext,
    /// Time and size limits of calls.
    pub settings: CallSettings,
    /// Listening socket for callers.
    pub http: TcpListener,
    /// Table that holds the claims of idempotency keys.
    pub table: Table,
    /// Source of the configuration and membership state in `/dump`.
    pub spread: SpreadHandle,
}

/// The HTTP server of a running entry, with the tasks that route calls and maintain links.
#[derive(Debug)]
pub struct CallServer {
    /// State shared by the HTTP handlers and tasks.
    pub shared: EntryShared,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Latest states of the linked agents.
    pub directory: AgentDirectory,
    requests: RequestCounter,
    server: ServerHandle,
}

impl CallServer {
    /// Starts the server and its tasks on the current actix system, with the default
    /// [`HttpSettings`].
    ///
    /// # Errors
    /// The HTTP server cannot start, or the metrics are registered already.
    pub fn start<Table>(parts: CallServerParts<Table>) -> Result<Self>
    where
        Table: ClaimTable,
    {
        Self::start_with(parts, &HttpSettings::default())
    }

    /// Starts the server and its tasks on the current actix system, with the HTTP limits `limits`.
    ///
    /// # Errors
    /// The HTTP server cannot start, or the metrics are registered already.
    pub fn start_with<Table>(parts: CallServerParts<Table>, limits: &HttpSettings) -> Result<Self>
    where
        Table: ClaimTable,
    {
        let address = parts.http.local_addr()?;
        let check = BearerCheck::new(limits.admin_token.as_deref());
        let directory = AgentDirectory::default();
        let shared = start_shared(parts.context, parts.settings, directory.clone())?;
        let reporter = StateReporter {
            shared: shared.clone(),
            spread: parts.spread,
        };
        let requests = RequestCounter::default();
        let entry = web::Data::new(EntryHttp {
            shared: shared.clone(),
            table: parts.table,
            address,
            requests: requests.clone(),
        });
        let head_timeout = limits.head_timeout;
        let server = Server::build()
            .workers(HTTP_WORKERS)
            .max_concurrent_connections(limits.max_connections / HTTP_WORKERS)
            .disable_signals();
        let shutdown = server.graceful_shutdown_signal();
        let service = move || {
            let reporter = reporter.clone();
            let registry = reporter.shared.context.registry.clone();
            let check = check.clone();
            let entry = entry.clone();
            let app = App::new()
                .app_data(entry)
                .configure(|config| http_admin::configure(config, reporter, registry, check))
                .configure(http::configure::<Table>)
                .into_factory()
                .map_err(|err| err.error_response());
            let shutdown = shutdown.clone();
            let service = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let shutdown = shutdown.clone();
                    async move { shutdown.notified().await }
                })
                .client_request_timeout(head_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1_allow_half_closed(true)
                .local_addr(address)
                .on_connect_ext(|stream: &PacedStream, data: &mut Extensions| {
                    if let Some(closer) = ReadCloser::new(stream.stream()) {
                        data.insert(closer);
                    }
                })
                .h1(map_config(app, |()| AppConfig::default()));
            fn_service(|stream: TcpStream| async move {
                let peer = stream.peer_addr().ok();
                Ok::<_, DispatchError>((PacedStream::new(stream), peer))
            })
            .and_then(service)
        };
        let server = server.listen("callers", parts.http, service)?.run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Ok(Self {
            shared,
            address,
            directory,
            requests,
            server: handle,
        })
    }

    /// Shuts down gracefully: no longer lists its own address to callers, and serves requests until
    /// no caller can still use the address and no request is in flight, or until the shutdown
    /// timeout.
    pub async fn leave(&self) {
        let settings = &self.shared.settings;
        let started = Instant::now();
        self.shared.context.leaving.cancel();
        // Callers keep an address for `keep_addresses` after an entry last listed it.
        let address_lifetime = settings.keep_addresses + LEAVE_PROPAGATION;
        while started.elapsed() < settings.shutdown_timeout {
            let expired = started.elapsed() >= address_lifetime;
            if expired && self.requests.count() == 0 {
                break;
            }
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
        }
        self.server.stop(true).await;
        self.shared.context.stopped.cancel();
    }

    /// Stops immediately; requests in flight fail.
    pub async fn stop_now(&self) {
        self.shared.context.stopped.cancel();
        self.server.stop(false).await;
    }
}

fn start_shared(
    context: ProcessContext,
    settings: CallSettings,
    directory: AgentDirectory,
) -> Result<EntryShared> {
    let metrics = EntryMetrics::new(&context.registry)?;
    let bodies = BodyBudget::new(settings.body_memory_bytes, metrics.limited.clone());
    let calls = OpenCalls::new(context.identity.incarnation, metrics.clone());
    let suspects = Arc::new(Mutex::new(SuspectTracker::new(SUSPECT_RETENTION)));
    let links = AgentLinks::new(
        context.clone(),
        directory.clone(),
        calls.clone(),
        suspects.clone(),
    );
    let placement = CallPlacement::new(&context, metrics.clone(), settings.queue_length);
    let settlements = SettlementNotifier::start(links.clone(), context.stopped.clone());
    tokio::spawn(links.clone().run());
    tokio::spawn(placement.clone().follow(context.clone(), directory));
    Ok(EntryShared {
        context,
        settings,
        metrics,
        calls,
        links,
        placement,
        settlements,
        suspects,
        bodies,
    })
}
