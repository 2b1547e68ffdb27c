//! Interface of a running daemon to the code that starts and stops it.

use std::net::SocketAddr;

use agatepin_core::ids::InstanceId;
use serde::Serialize;

agatepin_core::value_type! {
    /// Addresses of a daemon, printed once it is ready.
    #[derive(Serialize)]
    pub struct ReadyReport {
        /// Name of the instance.
        pub instance: InstanceId,
        /// Address for links from other processes of the cluster.
        pub wire: SocketAddr,
        /// Address for HTTP.
        pub http: SocketAddr,
        /// Address of the operator RPC service; `None` for agents.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub operator: Option<SocketAddr>,
    }
}

/// A daemon that has started.
pub trait Daemon {
    /// Name and addresses of the daemon.
    fn ready(&self) -> ReadyReport;

    /// Performs the graceful shutdown and completes when it is finished.
    fn leave(&self) -> impl Future<Output = ()>;
}
