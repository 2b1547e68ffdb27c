//! Server of the operator RPC service, which every entry runs.

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

/// Maximum size of a request message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of concurrent requests (HTTP/2 streams) on one connection.
const MAX_STREAMS: u32 = 64;
/// Interval at which the server sends HTTP/2 pings, to detect clients that are gone.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time for a client to answer a ping. Without an answer, the connection is closed, which
/// frees one of the `max_connections` permits.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

value_type! {
    /// Why the operator RPC service cannot run.
    pub enum OperatorError {
        /// No token is set, and `operator.allow_plain` is false.
        NoToken,
        /// The TLS files are unusable, or the server failed.
        Serve(String),
    }
}

impl std::fmt::Display for OperatorError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoToken => {
                f.write_str("operator.token is not set and operator.allow_plain is false")
            }
            Self::Serve(reason) => write!(f, "operator RPC service failed: {reason}"),
        }
    }
}

impl std::error::Error for OperatorError {}

/// Source of the state of the entry's other components, which operators can read.
pub trait EntryReporter: Clone + Send + Sync + 'static {
    /// Number of callers' requests that this entry refused, by reason and customer.
    fn refusals(&self) -> Vec<RefusalCount>;

    /// Internal state of the entry's other components, as JSON.
    fn dump(&self) -> Value;
}

/// Components that the operator RPC service uses.
#[derive(Clone, Debug)]
pub struct OperatorDependencies<Store, Reporter> {
    /// Store of the configuration.
    pub store: ConfigStore<Store>,
    /// Handle of the task that distributes configuration and membership.
    pub spread: SpreadHandle,
    /// Latest state that each agent reported.
    pub directory: AgentDirectory,
    /// Token, TLS files and limits of the service.
    pub settings: OperatorSettings,
    /// Source of the refusal counts and the state of the entry's other components.
    pub reporter: Reporter,
    /// Cancelled when the process stops; ends the server and its open streams of model states.
    pub stopped: CancellationToken,
}

/// Serves the operator RPC service on `listener` until the process stops.
///
/// # Errors
/// See [`OperatorError`].
pub async fn serve<Store, Reporter>(
    listener: TcpListener,
    dependencies: OperatorDependencies<Store, Reporter>,
) -> Result<(), OperatorError>
where
    Store: TableStore,
    Reporter: EntryReporter,
{
    let token = dependencies.settings.token.clone();
    if token.is_none() && !dependencies.settings.allow_plain {
        return Err(OperatorError::NoToken);
    }
    let stopped = dependencies.stopped.clone();
    let limit = dependencies.settings.max_connections;
    let connections = incoming::accept(listener, limit, stopped.clone());
    let mut builder = tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT));
    if let Some(tls) = &dependencies.settings.tls {
        let config = tls::server_config(tls).map_err(OperatorError::Serve)?;
        let tls_result = builder.tls_config(config);
        builder = tls_result.map_err(|err| OperatorError::Serve(err.to_string()))?;
    }
    let server = OperatorServer::new(service::OperatorService::new(dependencies))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let authenticated_server = tonic::service::interceptor::InterceptedService::new(
        server,
        check::TokenCheck::new(token.as_deref()),
    );
    builder
        .add_service(authenticated_server)
        .serve_with_incoming_shutdown(connections, stopped.cancelled_owned())
        .await
        .map_err(|err| OperatorError::Serve(err.to_string()))
}
