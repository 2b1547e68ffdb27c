//! The entry daemon: starts and stops the HTTP server for callers and the operator API.

use eyre::Result;
use serde_json::{Value, json};

use super::call_server::{CallServer, CallServerParts};
use super::calls::EntryShared;
use super::claim_rows::ClaimRows;
use crate::daemon::{Daemon, ReadyReport};
use crate::http_admin::DumpSource;
use crate::net;
use crate::operator::{self, EntryReporter, OperatorDependencies};
use crate::rpc::RefusalCount;
use crate::settings::EntrySettings;
use crate::spread::SpreadHandle;
use crate::startup::{self, StartedProcess};
use crate::store::ConfigStore;
use crate::wire::frames::ProcessRole;

/// A running entry.
#[derive(Debug)]
pub struct EntryDaemon {
    server: CallServer,
    ready: ReadyReport,
}

impl EntryDaemon {
    /// Starts an entry on the current actix system.
    ///
    /// # Errors
    /// An address cannot be bound (the error contains it), or a server or task fails to start.
    #[expect(clippy::unused_async, reason = "`daemon::run` takes an async function")]
    pub async fn start(settings: EntrySettings) -> Result<Self> {
        let operator = net::bind(settings.operator.address, "the operator API")?;
        let StartedProcess {
            context,
            platform,
            spread,
            http,
            mut ready,
            ..
        } = startup::start_process(
            ProcessRole::Entry,
            None,
            &settings.process,
            &settings.platform,
            &settings.link,
        )?;
        ready.operator = Some(operator.local_addr()?);
        let stopped = context.stopped.clone();
        let parts = CallServerParts {
            context,
            settings: settings.calls,
            http,
            table: ClaimRows::start(platform.table.clone()),
            spread: spread.clone(),
        };
        let server = CallServer::start_with(parts, &settings.http)?;
        let reporter = StateReporter {
            shared: server.shared.clone(),
            spread: spread.clone(),
        };
        let parts = OperatorDependencies {
            store: ConfigStore::new(platform.table),
            spread,
            directory: server.directory.clone(),
            settings: settings.operator,
            reporter,
            stopped,
        };
        let listener = tokio::net::TcpListener::from_std(operator)?;
        tokio::spawn(serve_operator_api(listener, parts));
        log::info!(instance = ready.instance.as_str(); "entry has started");
        Ok(Self { server, ready })
    }

    /// Stops immediately, as a crash would; for tests and benchmarks.
    pub async fn stop_now(&self) {
        self.server.stop_now().await;
    }
}

impl Daemon for EntryDaemon {
    fn ready(&self) -> ReadyReport {
        self.ready.clone()
    }

    async fn leave(&self) {
        log::info!(instance = self.ready.instance.as_str(); "graceful shutdown of the entry has started");
        self.server.leave().await;
    }
}

async fn serve_operator_api<Store, Reporter>(
    listener: tokio::net::TcpListener,
    parts: OperatorDependencies<Store, Reporter>,
) where
    Store: crate::platform::table::TableStore,
    Reporter: EntryReporter,
{
    if let Err(err) = operator::serve(listener, parts).await {
        log::error!("operator API stopped: {err}");
    }
}

/// Reports the state of an entry to the operator API and to `/dump`.
#[derive(Clone, Debug)]
pub struct StateReporter {
    /// State of the HTTP server and its tasks.
    pub shared: EntryShared,
    /// Source of the configuration and membership state.
    pub spread: SpreadHandle,
}

impl EntryReporter for StateReporter {
    fn refusals(&self) -> Vec<RefusalCount> {
        self.shared.metrics.refusal_counts()
    }

    fn dump(&self) -> Value {
        let mut state = self.shared.dump();
        if let Some(fields) = state.as_object_mut() {
            fields.insert("role".to_owned(), json!("entry"));
            fields.insert("spread".to_owned(), self.spread.dump());
        }
        state
    }
}

impl DumpSource for StateReporter {
    fn dump(&self) -> Value {
        EntryReporter::dump(self)
    }
}
