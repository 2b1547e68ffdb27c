//! State that all components of a daemon share.

use std::sync::Arc;

use agatepin_core::config::ClusterConfig;
use agatepin_core::member::MemberView;
use prometheus::Registry;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::wire::link::{LinkPolicy, ProcessIdentity};

/// Identity, configuration and shutdown signals of one daemon.
///
/// A program, such as a test, may run several daemons, each with its own context.
#[derive(Clone, Debug)]
pub struct ProcessContext {
    /// Role, name, incarnation and data centre of this process.
    pub identity: ProcessIdentity,
    /// Timeouts, limits and encryption of links.
    pub policy: LinkPolicy,
    /// The configuration in force in this process; its revision is 0 until the process has read
    /// or received one.
    pub config: watch::Receiver<Arc<ClusterConfig>>,
    /// The cluster members (entries and agents) that this process knows.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Registry of this process's metrics.
    pub registry: Registry,
    /// Cancelled when the graceful shutdown begins.
    pub leaving: CancellationToken,
    /// Cancelled when the process stops and all its tasks have to end.
    pub stopped: CancellationToken,
}
