//! Status of the non-idempotent calls that one agent has received.
//!
//! The ledger guarantees two things. A call that it reports as running or done has been passed to
//! the upstream. A call that it reports as refused has not been and never will be: a query about
//! an unknown attempt leaves a tombstone, which refuses the attempt if it arrives later.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::ids::{AttemptId, IncarnationId, SessionId};

value_type! {
    /// An answer that is retained for a repeated call.
    pub struct RetainedAnswer {
        /// HTTP status code.
        pub status: u16,
        /// Header names and values.
        pub headers: Vec<(String, Bytes)>,
        /// Complete body.
        pub body: Bytes,
    }

    /// Status of an attempt.
    pub enum AttemptStatus {
        /// The attempt has not been executed and will not be.
        Refused,
        /// The attempt was passed to the upstream, which has not answered yet.
        Running,
        /// The upstream answered the attempt, and the answer is retained.
        Done(RetainedAnswer),
        /// The attempt may have been executed: it failed without an answer, the answer is not
        /// retained, or the attempt was sent to another incarnation of the agent.
        Unknown,
    }

    /// The connection from an entry (a session) on which a call or query arrived.
    #[derive(Copy)]
    pub struct SessionRef {
        /// Incarnation of the entry that opened the connection.
        pub entry: IncarnationId,
        /// Sequence number of the connection among those of that incarnation.
        pub session: SessionId,
    }

    /// Whether a call may proceed to admission control.
    pub enum StartDecision {
        /// The call may proceed.
        Proceed,
        /// The call is addressed to another incarnation of this agent.
        OtherIncarnation,
        /// The connection is not the newest one of its entry.
        OldSession,
        /// The attempt was refused before, by a query that overtook it or by this agent.
        AttemptRefused,
        /// The attempt was received before.
        Repeated(AttemptStatus),
    }

    /// How much the ledger retains, and for how long.
    #[derive(Copy)]
    pub struct LedgerPolicy {
        /// Time for which answers are retained, and refusals unless [`CallLedger::expire`] must
        /// keep them.
        pub retention: Duration,
        /// Maximum size of all retained answer bodies, in bytes.
        pub max_answer_bytes: usize,
    }
}

#[derive(Debug)]
struct LedgerEntry {
    status: AttemptStatus,
    /// When the status was set.
    status_set_at: Instant,
    /// Whether the attempt was refused by a query of an entry other than the one that made it.
    refused_for_other_entry: bool,
}

/// Records the attempts that one agent incarnation has received, and their status.
#[derive(Debug)]
pub struct CallLedger {
    /// Incarnation of this agent.
    incarnation: IncarnationId,
    policy: LedgerPolicy,
    /// Recorded attempts of non-idempotent calls.
    attempts: HashMap<AttemptId, LedgerEntry>,
    /// Newest session of each connected entry.
    sessions: HashMap<IncarnationId, SessionId>,
    /// Size of all retained answer bodies, in bytes.
    answer_bytes: usize,
}

impl CallLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(incarnation: IncarnationId, policy: LedgerPolicy) -> Self {
        Self {
            incarnation,
            policy,
            attempts: HashMap::new(),
            sessions: HashMap::new(),
            answer_bytes: 0,
        }
    }

    /// Records a connection. Calls that arrive on older connections of the same entry are refused
    /// from now on.
    pub fn open_session(&mut self, from: SessionRef) {
        let newest = self.sessions.entry(from.entry).or_insert(from.session);
        *newest = (*newest).max(from.session);
    }

    /// Removes an entry whose newest connection has closed, since no more frames can arrive from
    /// it.
    pub fn close_session(&mut self, from: SessionRef) {
        if self.sessions.get(&from.entry) == Some(&from.session) {
            self.sessions.remove(&from.entry);
        }
    }

    /// Decides whether a call that arrived on the connection `from` may proceed, and records its
    /// attempt as running if so. `incarnation` is the agent incarnation that the call is addressed
    /// to. `attempt` is empty for an idempotent call, which is not recorded.
    pub fn start(
        &mut self,
        from: SessionRef,
        incarnation: IncarnationId,
        attempt: &str,
        now: Instant,
    ) -> StartDecision {
        if incarnation != self.incarnation {
            return StartDecision::OtherIncarnation;
        }
        if self.sessions.get(&from.entry) != Some(&from.session) {
            return StartDecision::OldSession;
        }
        if attempt.is_empty() {
            return StartDecision::Proceed;
        }
        match self.attempts.get(attempt).map(|entry| &entry.status) {
            Some(AttemptStatus::Refused) => StartDecision::AttemptRefused,
            Some(status) => StartDecision::Repeated(status.clone()),
            None => {
                self.set(attempt, AttemptStatus::Running, false, now);
                StartDecision::Proceed
            }
        }
    }

    /// Marks the attempt of a call as refused, since it was not passed to the upstream.
    pub fn refuse(&mut self, attempt: &str, now: Instant) {
        if !attempt.is_empty() {
            self.set(attempt, AttemptStatus::Refused, false, now);
        }
    }

    /// Records the upstream's answer to `attempt`, or `None` if the call may have been executed but
    /// has no answer. An answer that exceeds [`LedgerPolicy::max_answer_bytes`] is not retained.
    pub fn finish(&mut self, attempt: &str, answer: Option<RetainedAnswer>, now: Instant) {
        if attempt.is_empty() {
            return;
        }
        let fits = |answer: &RetainedAnswer| {
            self.answer_bytes + answer.body.len() <= self.policy.max_answer_bytes
        };
        let status = match answer {
            Some(answer) if fits(&answer) => AttemptStatus::Done(answer),
            _ => AttemptStatus::Unknown,
        };
        self.set(attempt, status, false, now);
    }

    /// Returns the status of `attempt`. An attempt that was never received is refused from now on.
    ///
    /// `requester` is the connection that the query came from; `owner` is the entry incarnation
    /// that made the attempt; `incarnation` is the agent incarnation that the attempt was sent to,
    /// and the result is [`AttemptStatus::Unknown`] if it is not this one.
    pub fn query(
        &mut self,
        requester: SessionRef,
        owner: IncarnationId,
        incarnation: IncarnationId,
        attempt: &str,
        now: Instant,
    ) -> AttemptStatus {
        self.open_session(requester);
        if incarnation != self.incarnation {
            return AttemptStatus::Unknown;
        }
        if let Some(entry) = self.attempts.get(attempt) {
            return entry.status.clone();
        }
        let refused_for_other_entry = requester.entry != owner;
        self.set(
            attempt,
            AttemptStatus::Refused,
            refused_for_other_entry,
            now,
        );
        AttemptStatus::Refused
    }

    /// Removes an attempt whose outcome is stored in the claim table, unless it is still running.
    pub fn settle(&mut self, attempt: &str) {
        let ended = self
            .attempts
            .get(attempt)
            .is_some_and(|entry| !matches!(entry.status, AttemptStatus::Running));
        if ended {
            self.remove(attempt);
        }
    }

    /// Drops answers and refusals that are older than the retention time.
    ///
    /// An attempt whose answer is dropped becomes [`Unknown`], so that it cannot be taken for one
    /// that never arrived. A refusal that the attempt's owner asked for is removed: the owner's
    /// older connections are closed, so that the attempt cannot arrive any more. A refusal that
    /// another entry asked for stays, since the owner may still send the attempt.
    ///
    /// [`Unknown`]: AttemptStatus::Unknown
    pub fn expire(&mut self, now: Instant) {
        let retention = self.policy.retention;
        let mut freed = 0;
        self.attempts.retain(|_, entry| {
            if now.saturating_duration_since(entry.status_set_at) < retention {
                return true;
            }
            if let AttemptStatus::Done(answer) = &entry.status {
                freed += answer.body.len();
                entry.status = AttemptStatus::Unknown;
            }
            entry.refused_for_other_entry || !matches!(entry.status, AttemptStatus::Refused)
        });
        self.answer_bytes -= freed;
    }

    /// Returns the number of recorded attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the size of all retained answer bodies, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn set(
        &mut self,
        attempt: &str,
        status: AttemptStatus,
        refused_for_other_entry: bool,
        now: Instant,
    ) {
        self.remove(attempt);
        if let AttemptStatus::Done(answer) = &status {
            self.answer_bytes += answer.body.len();
        }
        let entry = LedgerEntry {
            status,
            status_set_at: now,
            refused_for_other_entry,
        };
        self.attempts.insert(attempt.to_owned(), entry);
    }

    fn remove(&mut self, attempt: &str) {
        let Some(entry) = self.attempts.remove(attempt) else {
            return;
        };
        if let AttemptStatus::Done(answer) = entry.status {
            self.answer_bytes -= answer.body.len();
        }
    }
}
