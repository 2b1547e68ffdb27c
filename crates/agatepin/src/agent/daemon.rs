//! Startup and shutdown of an agent.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer};
use agatepin_core::gate::UpstreamGate;
use eyre::Result;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::calls::{self, CallHandle};
use super::gate::SharedGate;
use super::limits;
use super::shared::AgentShared;
use super::state;
use super::weights::fence_row::FenceTable;
use super::weights::store::ChunkStore;
use super::weights::{self, WeightDependencies};
use crate::bearer::BearerCheck;
use crate::context::ProcessContext;
use crate::daemon::{Daemon, ReadyReport};
use crate::http_admin::{self, DumpSource};
use crate::settings::AgentSettings;
use crate::spread::SpreadHandle;
use crate::startup::{self, StartedProcess};
use crate::wire::frames::{AgentState, ProcessRole};

/// A running agent: the tasks for calls and weights, and the HTTP server.
pub struct AgentDaemon {
    shared: Arc<AgentShared>,
    calls: CallHandle,
    http: ServerHandle,
    ready: ReadyReport,
}

impl AgentDaemon {
    /// Starts an agent on the current actix system.
    ///
    /// # Errors
    /// An address cannot be bound, or a TLS file cannot be used; the error contains the address or
    /// the path of the file.
    #[expect(
        clippy::unused_async,
        reason = "all daemons have the same signature of `start`"
    )]
    pub async fn start(settings: AgentSettings) -> Result<Self> {
        let StartedProcess {
            context,
            platform,
            spread,
            http,
            ready,
            links,
        } = startup::start_process(
            ProcessRole::Agent,
            Some(settings.upstream.name.clone()),
            &settings.process,
            &settings.platform,
            &settings.link,
        )?;
        let fence = FenceTable::new(platform.table, &context.identity);
        let shared = Arc::new(build_shared(settings, context));
        actix_rt::spawn(limits::follow_config(shared.clone()));
        let store = ChunkStore::new(shared.settings.weights.memory_bytes);
        let dependencies = WeightDependencies {
            store: store.clone(),
            fence,
            http: ready.http,
        };
        weights::start(shared.clone(), dependencies, links.chunks)?;
        let states = state::start(shared.clone());
        let calls = calls::start(shared.clone(), states.clone(), links.calls)?;
        let dump = AgentDump {
            shared: shared.clone(),
            states,
            spread,
            store: store.clone(),
        };
        let http = serve_http(http, dump, store)?;
        log::info!(instance = ready.instance.as_str(); "agent has started");
        Ok(Self {
            shared,
            calls,
            http,
            ready,
        })
    }

    /// Stops immediately, without waiting for calls in flight, to simulate a crash in tests and
    /// benchmarks.
    pub async fn stop_now(&self) {
        self.shared.context.stopped.cancel();
        self.http.stop(false).await;
    }

    /// Waits until no call is in flight and the entries have received all frames sent to them.
    async fn drain(&self) {
        self.shared.gate.drained().await;
        self.calls.wait_delivered().await;
    }
}

impl Daemon for AgentDaemon {
    fn ready(&self) -> ReadyReport {
        self.ready.clone()
    }

    /// Stops admitting calls, waits until the calls in flight have ended and the entries have
    /// received their answers, and stops. The wait is limited by the setting `shutdown_timeout`.
    async fn leave(&self) {
        self.shared.gate.update(UpstreamGate::leave);
        self.shared.context.leaving.cancel();
        log::info!(instance = self.ready.instance.as_str(); "graceful shutdown of the agent has started");
        let timeout = self.shared.settings.upstream.shutdown_timeout;
        if tokio::time::timeout(timeout, self.drain()).await.is_err() {
            log::warn!("shutdown timeout elapsed before all calls had ended and been answered");
        }
        self.shared.context.stopped.cancel();
        self.http.stop(true).await;
    }
}

fn build_shared(settings: AgentSettings, context: ProcessContext) -> AgentShared {
    let policy = limits::gate_policy(&context.config.borrow(), &settings.upstream.name);
    AgentShared {
        context,
        settings,
        gate: SharedGate::new(UpstreamGate::new(policy)),
        chunks_held: AtomicU32::new(0),
        chunks_wanted: AtomicU32::new(0),
    }
}

fn serve_http(
    listener: TcpListener,
    dump: AgentDump,
    store: ChunkStore,
) -> std::io::Result<ServerHandle> {
    let registry = dump.shared.context.registry.clone();
    let limits = dump.shared.settings.http.clone();
    let check = BearerCheck::new(limits.admin_token.as_deref());
    let server = HttpServer::new(move || {
        let (dump, registry, store) = (dump.clone(), registry.clone(), store.clone());
        let check = check.clone();
        App::new()
            .configure(|cfg| http_admin::configure(cfg, dump, registry, check))
            .configure(|cfg| weights::http::configure(cfg, store))
    })
    .workers(1)
    .max_connections(limits.max_connections)
    .client_request_timeout(limits.head_timeout)
    .disable_signals()
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Source of the agent's state dump.
#[derive(Clone)]
struct AgentDump {
    shared: Arc<AgentShared>,
    states: watch::Receiver<AgentState>,
    spread: SpreadHandle,
    store: ChunkStore,
}

impl DumpSource for AgentDump {
    fn dump(&self) -> Value {
        let state = state::describe(&self.shared, self.states.borrow().number);
        json!({
            "instance": state.instance,
            "role": "agent",
            "incarnation": state.incarnation.to_string(),
            "data_centre": state.data_centre,
            "upstream": state.upstream,
            "gate": state.gate().as_str_name(),
            "model": state.model,
            "version": state.version,
            "weights_digest": state.weights_digest,
            "cold": state.cold,
            "leaving": state.leaving,
            "in_flight": state.in_flight,
            "limit": state.limit,
            "config_revision": state.config_revision,
            "chunks_held": state.chunks_held,
            "chunks_wanted": state.chunks_wanted,
            "chunk_bytes": self.store.bytes(),
            "spread": self.spread.dump(),
        })
    }
}
