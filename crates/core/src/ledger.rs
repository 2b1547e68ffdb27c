//! What became of the non-idempotent calls that one agent received.
//!
//! The ledger makes two statements true. "Running" and "done" are said of a call that was handed
//! to the upstream. "Refused" is said of a call that was not and will not be: a query about an
//! attempt that was never seen leaves a mark that refuses the attempt if it arrives later.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::ids::{AttemptId, IncarnationId, SessionId};

value_type! {
    /// An answer that is kept for a repeated call.
    pub struct RetainedAnswer {
        /// HTTP status.
        pub status: u16,
        /// Header names and values.
        pub headers: Vec<(String, Bytes)>,
        /// Body.
        pub body: Bytes,
    }

    /// What became of an attempt.
    pub enum AttemptStatus {
        /// It has not run and will not run.
        Refused,
        /// The upstream has it.
        Running,
        /// The upstream answered.
        Done(RetainedAnswer),
        /// It may have run; no more is known.
        Unknown,
    }

    /// Where a call or query came from.
    #[derive(Copy)]
    pub struct SessionRef {
        /// Incarnation of the entry.
        pub entry: IncarnationId,
        /// Number of its link.
        pub session: SessionId,
    }

    /// Whether a call may go on to the gate.
    pub enum StartDecision {
        /// It may.
        Proceed,
        /// It names another incarnation of this agent.
        OtherIncarnation,
        /// Its entry has opened a newer link since.
        OldSession,
        /// A query refused the attempt before it arrived.
        AttemptRefused,
        /// The attempt was received before.
        Repeated(AttemptStatus),
    }

    /// How much the ledger keeps.
    #[derive(Copy)]
    pub struct LedgerPolicy {
        /// Time for which answers and refusals are kept.
        pub retention: Duration,
        /// Bytes of answers that are kept.
        pub max_answer_bytes: usize,
    }
}

#[derive(Debug)]
struct LedgerEntry {
    fate: AttemptStatus,
    /// Since when it is as it is.
    since: Instant,
    /// Refused by an entry other than the one whose attempt it is.
    takeover: bool,
}

/// Ledger of one agent incarnation.
#[derive(Debug)]
pub struct CallLedger {
    incarnation: IncarnationId,
    policy: LedgerPolicy,
    attempts: HashMap<AttemptId, LedgerEntry>,
    sessions: HashMap<IncarnationId, SessionId>,
    answer_bytes: usize,
}

impl CallLedger {
    /// An empty ledger.
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

    /// Notes a link; calls that arrive on older links of the same entry are refused from now on.
    pub fn open_session(&mut self, from: SessionRef) {
        let newest = self.sessions.entry(from.entry).or_insert(from.session);
        *newest = (*newest).max(from.session);
    }

    /// Forgets an entry whose newest link has closed: no frame of it can arrive any more.
    pub fn close_session(&mut self, from: SessionRef) {
        if self.sessions.get(&from.entry) == Some(&from.session) {
            self.sessions.remove(&from.entry);
        }
    }

    /// Decides on a call. `attempt` is empty for an idempotent one, which leaves no trace here.
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
        match self.attempts.get(attempt).map(|entry| &entry.fate) {
            Some(AttemptStatus::Refused) => StartDecision::AttemptRefused,
            Some(fate) => StartDecision::Repeated(fate.clone()),
            None => {
                self.set(attempt, AttemptStatus::Running, false, now);
                StartDecision::Proceed
            }
        }
    }

    /// Notes that a call that was started never reached the upstream.
    pub fn refuse(&mut self, attempt: &str, now: Instant) {
        if !attempt.is_empty() {
            self.set(attempt, AttemptStatus::Refused, false, now);
        }
    }

    /// Notes the upstream's answer, or `None` where it may have run without one.
    pub fn finish(&mut self, attempt: &str, answer: Option<RetainedAnswer>, now: Instant) {
        if attempt.is_empty() {
            return;
        }
        let fits = |answer: &RetainedAnswer| {
            self.answer_bytes + answer.body.len() <= self.policy.max_answer_bytes
        };
        let fate = match answer {
            Some(answer) if fits(&answer) => AttemptStatus::Done(answer),
            _ => AttemptStatus::Unknown,
        };
        self.set(attempt, fate, false, now);
    }

    /// Says what became of `attempt`, and refuses it from now on if it was never seen.
    ///
    /// `asker` made the query; `owner` is the entry incarnation whose attempt it is.
    pub fn query(
        &mut self,
        asker: SessionRef,
        owner: IncarnationId,
        incarnation: IncarnationId,
        attempt: &str,
        now: Instant,
    ) -> AttemptStatus {
        self.open_session(asker);
        if incarnation != self.incarnation {
            return AttemptStatus::Unknown;
        }
        if let Some(entry) = self.attempts.get(attempt) {
            return entry.fate.clone();
        }
        let takeover = asker.entry != owner;
        self.set(attempt, AttemptStatus::Refused, takeover, now);
        AttemptStatus::Refused
    }

    /// Forgets an attempt whose outcome has been committed elsewhere.
    pub fn settle(&mut self, attempt: &str) {
        let settled = self
            .attempts
            .get(attempt)
            .is_some_and(|entry| !matches!(entry.fate, AttemptStatus::Running));
        if settled {
            self.remove(attempt);
        }
    }

    /// Drops what has been kept long enough.
    ///
    /// An answer becomes "unknown", never "not seen"; a refusal of the owner's own is forgotten,
    /// since its older links are closed; a refusal by a takeover stays.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.policy.retention;
        let mut freed = 0;
        self.attempts.retain(|_, entry| {
            if now.saturating_duration_since(entry.since) < retention {
                return true;
            }
            if let AttemptStatus::Done(answer) = &entry.fate {
                freed += answer.body.len();
                entry.fate = AttemptStatus::Unknown;
            }
            entry.takeover || !matches!(entry.fate, AttemptStatus::Refused)
        });
        self.answer_bytes -= freed;
    }

    /// Number of attempts that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Bytes of answers that are kept.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn set(&mut self, attempt: &str, fate: AttemptStatus, takeover: bool, now: Instant) {
        self.remove(attempt);
        if let AttemptStatus::Done(answer) = &fate {
            self.answer_bytes += answer.body.len();
        }
        let entry = LedgerEntry {
            fate,
            since: now,
            takeover,
        };
        self.attempts.insert(attempt.to_owned(), entry);
    }

    fn remove(&mut self, attempt: &str) {
        let Some(entry) = self.attempts.remove(attempt) else {
            return;
        };
        if let AttemptStatus::Done(answer) = entry.fate {
            self.answer_bytes -= answer.body.len();
        }
    }
}
