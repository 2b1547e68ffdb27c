//! The operators' calls.

mod check;
mod incoming;
mod service;
mod status;
mod tls;
mod watch;

use std::time::Duration;

use agatepin_core::value_type;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::entry::directory::AgentDirectory;
use crate::platform::table::TableStore;
use crate::rpc::RefusalCount;
use crate::rpc::operator_server::OperatorServer;
use crate::settings::OperatorSettings;
use crate::spread::SpreadHandle;
use crate::store::ConfigStore;

/// Longest message of an operator, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Calls that one operator's connection may have open at once.
const MAX_STREAMS: u32 = 64;
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

value_type! {
    /// Why operators' calls cannot be served.
    pub enum OperatorError {
        /// No token is set, and the settings do not allow plain calls.
        NoToken,
        /// The server failed.
        Serve(String),
    }
}

impl std::fmt::Display for OperatorError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoToken => {
                f.write_str("operator.token is not set and operator.allow_plain is false")
            }
            Self::Serve(reason) => write!(f, "operators' calls cannot be served: {reason}"),
        }
    }
}

impl std::error::Error for OperatorError {}

/// What the rest of the entry tells operators.
pub trait EntryReporter: Clone + Send + Sync + 'static {
    /// Refused calls by reason and customer.
    fn refusals(&self) -> Vec<RefusalCount>;

    /// State of the entry.
    fn dump(&self) -> Value;
}

/// What the operators' calls need.
#[derive(Clone, Debug)]
pub struct OperatorDependencies<Store, Reporter> {
    /// The configuration row.
    pub store: ConfigStore<Store>,
    /// Configuration and members.
    pub spread: SpreadHandle,
    /// States of the agents.
    pub directory: AgentDirectory,
    /// Settings.
    pub settings: OperatorSettings,
    /// The rest of the entry.
    pub reporter: Reporter,
    /// Cancelled when the process stops for good.
    pub stopped: CancellationToken,
}

/// Serves operators' calls on `listener` until the process stops.
///
/// # Errors
/// No token is set where one is needed, or the server failed.
pub async fn serve<Store, Reporter>(
    listener: TcpListener,
    parts: OperatorDependencies<Store, Reporter>,
) -> Result<(), OperatorError>
where
    Store: TableStore,
    Reporter: EntryReporter,
{
    let token = parts.settings.token.clone();
    if token.is_none() && !parts.settings.allow_plain {
        return Err(OperatorError::NoToken);
    }
    let stopped = parts.stopped.clone();
    let limit = parts.settings.max_connections;
    let connections = incoming::accept(listener, limit, stopped.clone());
    let mut builder = tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT));
    if let Some(tls) = &parts.settings.tls {
        let config = tls::server_config(tls).map_err(OperatorError::Serve)?;
        let configured = builder.tls_config(config);
        builder = configured.map_err(|err| OperatorError::Serve(err.to_string()))?;
    }
    let server = OperatorServer::new(service::OperatorService::new(parts))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let guarded = tonic::service::interceptor::InterceptedService::new(
        server,
        check::TokenCheck::new(token.as_deref()),
    );
    builder
        .add_service(guarded)
        .serve_with_incoming_shutdown(connections, stopped.cancelled_owned())
        .await
        .map_err(|err| OperatorError::Serve(err.to_string()))
}
