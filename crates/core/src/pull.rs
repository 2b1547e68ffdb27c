//! Pulls of configuration bodies: if several overlay neighbours offer a revision, they are asked
//! for its body one at a time.

use std::time::{Duration, Instant};

use crate::ids::RevisionId;

/// Time without an answer after which the next neighbour is asked.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PendingPull<Peer> {
    revision: RevisionId,
    /// When a neighbour was last asked for the body of the revision.
    asked_at: Instant,
    /// Neighbours that offered the same revision and have not been asked for its body.
    unasked_peers: Vec<Peer>,
}

/// Tracks the pull in progress, at most one at a time.
#[derive(Debug)]
pub struct PullTracker<Peer> {
    pending: Option<PendingPull<Peer>>,
}

impl<Peer> Default for PullTracker<Peer> {
    fn default() -> Self {
        Self { pending: None }
    }
}

impl<Peer> PullTracker<Peer> {
    /// Handles an offer of a revision above the one in force; returns whether to pull the revision
    /// from `peer` now. The result is `false` while a neighbour was asked for this or a higher
    /// revision less than [`PULL_TIMEOUT`] ago; a `peer` that offers that same revision is asked
    /// later.
    pub fn on_offer(&mut self, peer: Peer, revision: RevisionId, now: Instant) -> bool {
        if let Some(pending) = &mut self.pending
            && pending.revision >= revision
            && now.saturating_duration_since(pending.asked_at) < PULL_TIMEOUT
        {
            if pending.revision == revision {
                pending.unasked_peers.push(peer);
            }
            return false;
        }
        self.pending = Some(PendingPull {
            revision,
            asked_at: now,
            unasked_peers: Vec::new(),
        });
        true
    }

    /// Ends the pull in progress if it is for `revision`, which is in force now, or a lower one.
    pub fn end_pull_up_to(&mut self, revision: RevisionId) {
        self.pending.take_if(|pending| pending.revision <= revision);
    }

    /// Returns the neighbour to ask next if the one asked last has not answered in time. Gives up
    /// the pull if no other neighbour offered the revision.
    pub fn next_after_timeout(&mut self, now: Instant) -> Option<Peer> {
        let pending = self.pending.as_mut()?;
        if now.saturating_duration_since(pending.asked_at) < PULL_TIMEOUT {
            return None;
        }
        let next = pending.unasked_peers.pop();
        if next.is_none() {
            self.pending = None;
        } else {
            pending.asked_at = now;
        }
        next
    }
}
