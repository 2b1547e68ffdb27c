//! Tasks that open, accept and read links and report to the spread task by [`SpreadEvent`]s.

use agatepin_core::ids::{InstanceId, SessionId};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::platform::{jitter, sleep};
use super::runtime::{LinkId, SpreadEvent};
use crate::wire::frames::LinkPurpose;
use crate::wire::link::{self, LinkPolicy, LinkReceiver, PeerLink, ProcessIdentity};

/// Number of attempts to connect to a member before the failure is reported.
const CONNECT_ATTEMPTS: usize = 2;

/// A link to open.
#[derive(Clone, Debug)]
pub(super) struct LinkPlan {
    /// Name of the peer.
    pub instance: InstanceId,
    /// Address at which the peer accepts links.
    pub address: std::net::SocketAddr,
    /// Identity of this process, which it states to the peer.
    pub identity: ProcessIdentity,
    /// Timeouts, limits and security of the link.
    pub policy: LinkPolicy,
    /// Session number of the link.
    pub session: SessionId,
}

/// Opens the link `plan` and reports it, or the failure of all [`CONNECT_ATTEMPTS`], to the spread
/// task. Reports nothing if `stopped` is cancelled between two attempts.
pub(super) async fn open(
    plan: LinkPlan,
    events: mpsc::Sender<SpreadEvent>,
    stopped: CancellationToken,
) {
    for _ in 0..CONNECT_ATTEMPTS {
        let opened = link::connect(
            plan.address,
            &plan.identity,
            LinkPurpose::Spread,
            plan.session,
            &plan.policy,
        );
        if let Ok(link) = opened.await {
            let event = SpreadEvent::Opened(plan.instance, Box::new(link));
            // Sending fails only while the process stops.
            let _ = events.send(event).await;
            return;
        }
        if !sleep(jitter(plan.policy.heartbeat.interval), &stopped).await {
            return;
        }
    }
    let _ = events.send(SpreadEvent::OpenFailed(plan.instance)).await;
}

/// Reports each link that another process opened to the spread task, until `accepted` is closed.
pub(super) async fn forward_accepted(
    mut accepted: mpsc::UnboundedReceiver<PeerLink>,
    events: mpsc::Sender<SpreadEvent>,
) {
    while let Some(link) = accepted.recv().await {
        let event = SpreadEvent::Accepted(Box::new(link));
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Reports each frame of the link `id` to the spread task, and finally that the link has closed.
pub(super) async fn forward_frames(
    id: LinkId,
    mut receiver: LinkReceiver,
    events: mpsc::Sender<SpreadEvent>,
) {
    while let Some(body) = receiver.recv().await {
        let event = SpreadEvent::Frame(id, Box::new(body));
        if events.send(event).await.is_err() {
            return;
        }
    }
    let _ = events.send(SpreadEvent::Closed(id)).await;
}
