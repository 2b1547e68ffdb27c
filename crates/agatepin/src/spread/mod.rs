//! Spreads configuration and membership between processes by gossip along a sparse overlay.
//!
//! Each process keeps links to a few neighbours. It offers them its configuration in force, which
//! they pull if their revision is lower, and passes changed member records on to them. At a low
//! rate it also reads the configuration row and the instance list of the platform.

mod configuration;
mod convert;
mod links;
mod neighbours;
mod outputs;
mod platform;
mod runtime;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatepin_core::config::ClusterConfig;
use agatepin_core::ids::{InstanceId, RevisionId, UpstreamId};
use agatepin_core::member::MemberView;
use agatepin_core::spread::ConfigCounts;
use agatepin_core::tracker::MemberRecord;
use agatepin_core::value_type;
use prometheus::Registry;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::platform::instances::InstanceReader;
use crate::platform::table::TableStore;
use crate::store::ConfigStore;
use crate::wire::link::{LinkPolicy, PeerLink, ProcessIdentity};

/// Identity, settings and platform clients for the spread of one process.
#[derive(Clone, Debug)]
pub struct SpreadOptions<Store> {
    /// Identity of this process.
    pub identity: ProcessIdentity,
    /// Timeouts, limits and security of the process's links.
    pub policy: LinkPolicy,
    /// Address at which this process accepts links.
    pub wire: SocketAddr,
    /// Address at which this process serves HTTP.
    pub http: SocketAddr,
    /// Upstream that this process is the agent of; `None` for an entry.
    pub upstream: Option<UpstreamId>,
    /// Reads the configuration row: the row of the table service that contains the configuration.
    pub store: ConfigStore<Store>,
    /// Mean time between two reads of the configuration row; longer if the row is large.
    pub table_interval: Duration,
    /// Reads the platform's list of the cluster's instances.
    pub instances: InstanceReader,
    /// Mean time between two reads of the instance list; longer if the list is large.
    pub list_interval: Duration,
    /// Registry for the metrics of the spread.
    pub registry: Registry,
    /// Cancelled when the graceful shutdown begins.
    pub leaving: CancellationToken,
    /// Cancelled when the process stops; ends all tasks of the spread.
    pub stopped: CancellationToken,
}

value_type! {
    /// State of the spread, for [`SpreadHandle::dump`] and the status call.
    #[derive(Default)]
    pub struct SpreadState {
        /// Revision of the configuration in force; 0 if there is none.
        pub revision: RevisionId,
        /// Peers of the open links, one for each link.
        pub linked: Vec<InstanceId>,
        /// Number of configurations received since the process started, by outcome.
        pub counts: ConfigCounts,
        /// Records of the members that announced themselves or are not alive, this process first.
        pub records: Vec<MemberRecord>,
    }
}

/// Access of the rest of the process to the spread.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    /// The configuration in force; revision 0 until one is received.
    pub config: watch::Receiver<Arc<ClusterConfig>>,
    /// All cluster members (entries and agents) that this process knows, itself included.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Whether a configuration has been received, or the configuration row was read and does not
    /// exist.
    pub config_known: watch::Receiver<bool>,
    /// State for [`SpreadHandle::dump`] and the status call, updated after each batch of changes.
    pub state: watch::Receiver<Arc<SpreadState>>,
    /// Queue of the spread task, for configurations that this process commits.
    events: mpsc::Sender<runtime::SpreadEvent>,
}

impl SpreadHandle {
    /// Makes this process act on `config`, which it has just committed, unless it already acts on a
    /// higher revision.
    pub async fn put_in_force(&self, config: ClusterConfig) {
        let event = runtime::SpreadEvent::Committed(Box::new(config));
        // Sending fails only while the process stops.
        let _ = self.events.send(event).await;
    }

    /// Returns revision, links, counts and members as JSON.
    #[must_use]
    pub fn dump(&self) -> Value {
        let state = self.state.borrow().clone();
        let members = self.members.borrow().clone();
        let members: Vec<Value> = members
            .members
            .iter()
            .map(|member| {
                json!({
                    "instance": member.instance,
                    "data_centre": member.data_centre,
                    "upstream": member.upstream,
                    "health": format!("{:?}", member.health),
                    "leaving": member.leaving,
                })
            })
            .collect();
        json!({
            "revision": state.revision,
            "linked": state.linked,
            "in_force": state.counts.in_force,
            "stale": state.counts.stale,
            "anomalies": state.counts.anomalies,
            "refused": state.counts.refused,
            "members": members,
        })
    }
}

/// Starts the tasks of the spread. `accepted` receives the links that other processes open. Call it
/// within a Tokio runtime.
///
/// # Errors
/// A metric cannot be registered, usually because a metric of the same name is registered in
/// `options.registry` already.
pub fn start<Store>(
    options: SpreadOptions<Store>,
    accepted: mpsc::UnboundedReceiver<PeerLink>,
) -> Result<SpreadHandle, prometheus::Error>
where
    Store: TableStore,
{
    runtime::start(options, accepted)
}
