//! Notifies agents of the attempts whose answers are stored in claim rows, so that the agents can
//! remove these attempts from their ledgers. Notifications are sent in batches.

use std::collections::HashMap;
use std::time::Duration;

use agatepin_core::claim::ClaimTarget;
use agatepin_core::ids::AttemptId;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::calls::QUERY_TIMEOUT;
use super::links::AgentLinks;
use crate::wire::frames::{CallSettled, frame::Body};

/// Time for which attempts are collected into a batch.
const BATCH_WINDOW: Duration = Duration::from_millis(100);
/// Maximum number of attempts in a batch.
const MAX_BATCH: usize = 1024;
/// Maximum number of attempts queued for the next batches; [`SettlementNotifier::notify`] waits
/// while the queue is full.
const QUEUE_LENGTH: usize = 4096;

type SettledAttempt = (ClaimTarget, AttemptId);

/// Queues settled attempts (those whose answers are stored in claim rows) for notification; clones
/// share the queue.
#[derive(Clone, Debug)]
pub struct SettlementNotifier {
    attempts: mpsc::Sender<SettledAttempt>,
}

impl SettlementNotifier {
    /// Starts the task that sends the notifications, on the current runtime.
    #[must_use]
    pub fn start(links: AgentLinks, stopped: CancellationToken) -> Self {
        let (attempts, queue) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(send_batches(links, queue, stopped));
        Self { attempts }
    }

    /// Queues the notification that the answer of `attempt`, which ran at `target`, is stored.
    pub async fn notify(&self, target: ClaimTarget, attempt: AttemptId) {
        // Sending fails only while the process stops.
        let _ = self.attempts.send((target, attempt)).await;
    }
}

async fn send_batches(
    links: AgentLinks,
    mut queue: mpsc::Receiver<SettledAttempt>,
    stopped: CancellationToken,
) {
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            () = stopped.cancelled() => return,
            () = tokio::time::sleep(BATCH_WINDOW) => (),
        }
        if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        let mut by_target: HashMap<ClaimTarget, Vec<AttemptId>> = HashMap::new();
        for (target, attempt) in batch.drain(..) {
            by_target.entry(target).or_default().push(attempt);
        }
        for (target, attempts) in by_target {
            tokio::spawn(notify_agent(links.clone(), target, attempts));
        }
    }
}

/// Notifies one agent, unless another incarnation has replaced it or no link to it opens within
/// [`QUERY_TIMEOUT`].
async fn notify_agent(links: AgentLinks, target: ClaimTarget, attempts: Vec<AttemptId>) {
    let Some(link) = links.wait_for_link(&target.instance, QUERY_TIMEOUT).await else {
        return;
    };
    if link.incarnation == target.incarnation {
        // An agent that misses the notification drops the answers after their retention time, but
        // keeps the attempts in its ledger.
        let _ = link
            .sender
            .send(Body::CallSettled(CallSettled { attempts }))
            .await;
    }
}
