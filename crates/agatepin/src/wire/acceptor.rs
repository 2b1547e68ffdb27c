//! Accepts links from other processes and routes each by its purpose to a component of the daemon.

use prometheus::IntCounterVec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::admission::LinkAdmission;
use super::frames::LinkPurpose;
use super::link::{self, LinkPolicy, PeerLink, ProcessIdentity};

/// Queue of accepted links, from the acceptor to a component.
pub type LinkQueue = mpsc::UnboundedSender<PeerLink>;

/// Queues for accepted links by purpose, and a counter of refused links. Links of a purpose without
/// a queue are closed.
#[derive(Clone, Debug, Default)]
pub struct LinkRoutes {
    /// Receives links that carry calls.
    pub calls: Option<LinkQueue>,
    /// Receives links that carry chunks.
    pub chunks: Option<LinkQueue>,
    /// Receives links that spread configuration and membership.
    pub spread: Option<LinkQueue>,
    /// Counts refused links by [`LinkError::reason`](super::link::LinkError::reason).
    pub refusals: Option<IntCounterVec>,
}

/// Receiving ends of the queues for calls and chunks.
#[derive(Debug)]
pub struct AcceptedLinks {
    /// Accepted links that carry calls.
    pub calls: mpsc::UnboundedReceiver<PeerLink>,
    /// Accepted links that carry chunks.
    pub chunks: mpsc::UnboundedReceiver<PeerLink>,
}

/// Creates a queue for each purpose. Returns the routes and the receiving ends; the last one is for
/// links that spread configuration and membership. Links are closed once the receiving end of their
/// queue is dropped.
#[must_use]
pub fn route_all() -> (LinkRoutes, AcceptedLinks, mpsc::UnboundedReceiver<PeerLink>) {
    let (calls, call_links) = mpsc::unbounded_channel();
    let (chunks, chunk_links) = mpsc::unbounded_channel();
    let (spread, spread_links) = mpsc::unbounded_channel();
    let routes = LinkRoutes {
        calls: Some(calls),
        chunks: Some(chunks),
        spread: Some(spread),
        refusals: None,
    };
    let links = AcceptedLinks {
        calls: call_links,
        chunks: chunk_links,
    };
    (routes, links, spread_links)
}

/// Identity and policy with which a daemon accepts links.
#[derive(Clone, Debug)]
pub struct AcceptorIdentity {
    /// Identity that is sent to connecting peers.
    pub process: ProcessIdentity,
    /// Limits, timeouts and security of accepted links.
    pub policy: LinkPolicy,
}

/// Accepts links until `stopped` is cancelled. Connections wait in the listener's backlog while
/// [`LinkPolicy::max_introductions`] introductions (`Hello`/`Welcome` handshakes) are in progress.
pub async fn run(
    listener: TcpListener,
    identity: AcceptorIdentity,
    routes: LinkRoutes,
    stopped: CancellationToken,
) {
    let admission = LinkAdmission::new(&identity.policy);
    loop {
        let permit = tokio::select! {
            () = stopped.cancelled() => return,
            permit = admission.acquire_introduction() => permit,
        };
        let accepted = tokio::select! {
            () = stopped.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process has run out of file descriptors: pauses until some may have
            // been closed, then accepts again.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let (identity, routes, admission) = (identity.clone(), routes.clone(), admission.clone());
        tokio::spawn(async move {
            route(stream, identity, routes, admission).await;
            drop(permit);
        });
    }
}

/// Answers the introduction of the peer on `stream` and passes the link to the queue for its
/// purpose.
async fn route(
    stream: TcpStream,
    identity: AcceptorIdentity,
    routes: LinkRoutes,
    admission: LinkAdmission,
) {
    let (process, policy) = (&identity.process, &identity.policy);
    let link = match link::accept_admitted(stream, process, policy, &admission).await {
        Ok(link) => link,
        Err(err) => {
            log::debug!("refused a link from another process: {err}");
            if let Some(refusals) = &routes.refusals {
                refusals.with_label_values(&[err.reason()]).inc();
            }
            return;
        }
    };
    let queue = match link.purpose {
        LinkPurpose::Calls => routes.calls,
        LinkPurpose::Chunks => routes.chunks,
        LinkPurpose::Spread => routes.spread,
        LinkPurpose::Unspecified => None,
    };
    if let Some(queue) = queue {
        // Sending fails if the component that reads the queue has stopped; the link is then dropped
        // and closes.
        let _ = queue.send(link);
    }
}
