//! Spreads configuration and membership between processes along a sparse overlay.

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

/// What the spread of one process needs.
#[derive(Clone, Debug)]
pub struct SpreadOptions<Store> {
    /// This process.
    pub identity: ProcessIdentity,
    /// How its links behave.
    pub policy: LinkPolicy,
    /// Its address for our own processes.
    pub wire: SocketAddr,
    /// Its address for HTTP.
    pub http: SocketAddr,
    /// Upstream beside it; agents only.
    pub upstream: Option<UpstreamId>,
    /// The configuration row.
    pub store: ConfigStore<Store>,
    /// Mean time between two reads of the row.
    pub table_interval: Duration,
    /// The instance list.
    pub instances: InstanceReader,
    /// Mean time between two reads of the list.
    pub list_interval: Duration,
    /// Metrics of this process.
    pub registry: Registry,
    /// Cancelled when the graceful shutdown begins.
    pub leaving: CancellationToken,
    /// Cancelled when the process stops for good.
    pub stopped: CancellationToken,
}

value_type! {
    /// State of the spread, for the dump.
    #[derive(Default)]
    pub struct SpreadState {
        /// Revision in force.
        pub revision: RevisionId,
        /// Instances that a link leads to.
        pub linked: Vec<InstanceId>,
        /// What was counted of configurations.
        pub counts: ConfigCounts,
        /// Records of all members that announced themselves, our own first.
        pub records: Vec<MemberRecord>,
    }
}

/// Handle of the spread of one process.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    /// The configuration in force; revision 0 until one is known.
    pub config: watch::Receiver<Arc<ClusterConfig>>,
    /// The members.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Whether a configuration is known, or the table says that there is none.
    pub config_known: watch::Receiver<bool>,
    /// State for the dump and the status call.
    pub state: watch::Receiver<Arc<SpreadState>>,
    events: mpsc::Sender<runtime::SpreadEvent>,
}

impl SpreadHandle {
    /// Puts a configuration in force that has just been committed.
    pub async fn put_in_force(&self, config: ClusterConfig) {
        let event = runtime::SpreadEvent::Committed(Box::new(config));
        // The process stops if this fails.
        let _ = self.events.send(event).await;
    }

    /// State as JSON.
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

/// Starts the spread of one process. `accepted` gives the links that others opened.
///
/// # Errors
/// The metrics are registered already.
pub fn start<Store>(
    options: SpreadOptions<Store>,
    accepted: mpsc::UnboundedReceiver<PeerLink>,
) -> Result<SpreadHandle, prometheus::Error>
where
    Store: TableStore,
{
    runtime::start(options, accepted)
}
