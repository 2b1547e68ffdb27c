//! Start and graceful shutdown of an entry.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};
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
use super::placement::CallPlacement;
use super::process::EntryReport;
use super::settled::SettledNotes;
use crate::bearer::BearerCheck;
use crate::context::ProcessContext;
use crate::http_admin;
use crate::settings::{CallSettings, HttpSettings};
use crate::spread::SpreadHandle;
use crate::suspects::SUSPECT_RETENTION;

const HTTP_WORKERS: usize = 2;
/// Time until other entries have learned that this one leaves.
const LEAVE_NEWS: Duration = Duration::from_secs(1);
const LEAVE_POLL: Duration = Duration::from_millis(20);

/// What the callers' side of an entry is made of.
#[derive(Debug)]
pub struct CallServerParts<Table> {
    /// The process.
    pub context: ProcessContext,
    /// Settings of calls.
    pub settings: CallSettings,
    /// Listens for callers.
    pub http: TcpListener,
    /// Claims.
    pub table: Table,
    /// Configuration and membership, for the dump.
    pub spread: SpreadHandle,
}

/// The callers' side of an entry that runs.
#[derive(Debug)]
pub struct CallServer {
    /// What its parts share.
    pub shared: EntryShared,
    /// Address for callers.
    pub address: SocketAddr,
    /// States of the agents.
    pub directory: AgentDirectory,
    requests: RequestCounter,
    server: ServerHandle,
}

impl CallServer {
    /// Starts the parts on the current actix system, with the default limits of HTTP.
    ///
    /// # Errors
    /// The HTTP server cannot start, or the metrics are registered already.
    pub fn start<Table>(parts: CallServerParts<Table>) -> Result<Self>
    where
        Table: ClaimTable,
    {
        Self::start_with(parts, &HttpSettings::default())
    }

    /// Starts the parts on the current actix system.
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
        let shared = share(parts.context, parts.settings, directory.clone())?;
        let report = EntryReport {
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
        let server = HttpServer::new(move || {
            let report = report.clone();
            let registry = report.shared.context.registry.clone();
            let check = check.clone();
            App::new()
                .app_data(entry.clone())
                .configure(|config| http_admin::configure(config, report, registry, check))
                .configure(http::configure::<Table>)
        })
        .on_connect(|io, data| {
            if let Some(closer) = io.downcast_ref().and_then(ReadCloser::new) {
                data.insert(closer);
            }
        })
        .workers(HTTP_WORKERS)
        .max_connections(limits.max_connections / HTTP_WORKERS)
        .client_request_timeout(limits.head_timeout)
        .disable_signals()
        .listen(parts.http)?
        .run();
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

    /// Leaves: callers are told other addresses, requests are served until no caller can still
    /// hold this address and none is in flight, or until the shutdown timeout.
    pub async fn leave(&self) {
        let settings = &self.shared.settings;
        let began = Instant::now();
        self.shared.context.leaving.cancel();
        let known = settings.keep_addresses + LEAVE_NEWS;
        while began.elapsed() < settings.shutdown_timeout {
            let forgotten = began.elapsed() >= known;
            if forgotten && self.requests.count() == 0 {
                break;
            }
            tokio::time::sleep(LEAVE_POLL).await;
        }
        self.server.stop(true).await;
        self.shared.context.stopped.cancel();
    }

    /// Stops at once.
    pub async fn stop_now(&self) {
        self.shared.context.stopped.cancel();
        self.server.stop(false).await;
    }
}

fn share(
    context: ProcessContext,
    settings: CallSettings,
    directory: AgentDirectory,
) -> Result<EntryShared> {
    let metrics = EntryMetrics::new(&context.registry)?;
    let calls = OpenCalls::new(context.identity.incarnation, metrics.clone());
    let suspects = Arc::new(Mutex::new(SuspectTracker::new(SUSPECT_RETENTION)));
    let links = AgentLinks::new(
        context.clone(),
        directory.clone(),
        calls.clone(),
        suspects.clone(),
    );
    let placement = CallPlacement::new(&context, metrics.clone(), settings.queue_length);
    let settled = SettledNotes::start(links.clone(), context.stopped.clone());
    tokio::spawn(links.clone().run());
    tokio::spawn(placement.clone().follow(context.clone(), directory));
    Ok(EntryShared {
        context,
        settings,
        metrics,
        calls,
        links,
        placement,
        settled,
        suspects,
    })
}
