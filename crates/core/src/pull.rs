//! Pulls of configuration bodies: one neighbour is asked at a time, though several offer.

use std::time::{Duration, Instant};

use crate::ids::RevisionId;

/// Time after which the next neighbour is asked.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PendingPull<Peer> {
    revision: RevisionId,
    since: Instant,
    /// Others that offered the same revision.
    others: Vec<Peer>,
}

/// The pull that is under way.
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
    /// Takes an offer of a revision that is not held; says whether to pull it from `peer` now.
    pub fn on_offer(&mut self, peer: Peer, revision: RevisionId, now: Instant) -> bool {
        if let Some(pending) = &mut self.pending
            && pending.revision >= revision
            && now.saturating_duration_since(pending.since) < PULL_TIMEOUT
        {
            if pending.revision == revision {
                pending.others.push(peer);
            }
            return false;
        }
        self.pending = Some(PendingPull {
            revision,
            since: now,
            others: Vec::new(),
        });
        true
    }

    /// Notes the revision that is in force now.
    pub fn in_force(&mut self, revision: RevisionId) {
        self.pending.take_if(|pending| pending.revision <= revision);
    }

    /// The neighbour to ask next, where the one asked last has not answered in time.
    pub fn next_after_timeout(&mut self, now: Instant) -> Option<Peer> {
        let pending = self.pending.as_mut()?;
        if now.saturating_duration_since(pending.since) < PULL_TIMEOUT {
            return None;
        }
        let next = pending.others.pop();
        if next.is_none() {
            self.pending = None;
        } else {
            pending.since = now;
        }
        next
    }
}
