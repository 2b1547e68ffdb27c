//! Requests that crash upstreams. Such a request crashes each upstream that begins to run it, and
//! comes again with the same customer, path and body.
//!
//! An upstream that crashes breaks all of its requests, and several upstreams may crash for one cause.
//! Attempts of a request that overlap in time therefore count as one crash. Requests that an upstream
//! has answered are sound.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::poison::SuspectKey;

/// Number of crashes, one after the other, after which a request is refused.
pub const CRASHES_TO_REFUSE: usize = 2;
/// The same if the answer had begun before one of them: a stream may go on at a third upstream.
pub const LATE_CRASHES_TO_REFUSE: usize = 3;
/// Time for which a request is refused, from its last crash. Each crash after that time doubles it.
pub const REFUSAL_TIME: Duration = Duration::from_mins(1);
/// Longest such time.
const MAX_REFUSAL_TIME: Duration = Duration::from_hours(1);
/// Time for which other processes are told of a suspect that is not refused: a crash makes suspects of all
/// requests beside it.
pub const NEWS_TIME: Duration = Duration::from_secs(3);
/// Maximum number of suspects that are tracked; crashes of further requests are ignored.
pub const MAX_SUSPECTS: usize = 4096;
/// Maximum number of crashes that are remembered of one request: with those of attempts that overlap.
const MAX_CRASHES: usize = 8;

crate::value_type! {
    /// Break of an attempt, as the upstream's crash causes it.
    pub struct RequestCrash {
        /// Life of the upstream that crashed.
        pub upstream_life: String,
        /// When the request was sent to the upstream.
        pub sent: Instant,
        /// When the break was noticed.
        pub seen: Instant,
        /// The answer had begun.
        pub is_late: bool,
    }

    /// What is known of a request that was in flight when an upstream crashed.
    pub struct SuspectRecord {
        /// Breaks of its attempts, each with another life of an upstream, in the order in which they
        /// were noticed.
        crashes: Vec<RequestCrash>,
        /// An upstream has answered the request.
        is_sound: bool,
        /// Number of crashes after the end of a refusal.
        relapses: u32,
        /// Time until which the request is refused, if it has crashed enough upstreams.
        refused_until: Instant,
    }
}

impl SuspectRecord {
    /// Breaks of the request's attempts.
    #[must_use]
    pub fn crashes(&self) -> &[RequestCrash] {
        &self.crashes
    }

    /// Whether an upstream has answered the request.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.is_sound
    }

    /// Largest number of crashes of attempts that did not overlap.
    fn count(&self) -> usize {
        let mut count = 0;
        let mut last_seen = None;
        for crash in &self.crashes {
            if last_seen.is_some_and(|seen| crash.sent < seen) {
                continue;
            }
            count += 1;
            last_seen = Some(crash.seen);
        }
        count
    }

    fn is_guilty(&self) -> bool {
        let needed = if self.crashes.iter().any(|crash| crash.is_late) {
            LATE_CRASHES_TO_REFUSE
        } else {
            CRASHES_TO_REFUSE
        };
        !self.is_sound && self.count() >= needed
    }

    /// Time for which a crash has the request refused.
    fn refusal_time(&self) -> Duration {
        let doubled = REFUSAL_TIME.saturating_mul(2_u32.saturating_pow(self.relapses));
        doubled.min(MAX_REFUSAL_TIME)
    }

    /// Time at which the record is dropped.
    fn forget_at(&self) -> Instant {
        if self.is_guilty() {
            // A crash in this time shows that the request has not changed.
            self.refused_until + self.refusal_time()
        } else {
            self.refused_until
        }
    }
}

/// Tracks the requests that were in flight when an upstream crashed.
#[derive(Debug, Default)]
pub struct RequestSuspects {
    records: HashMap<SuspectKey, SuspectRecord>,
}

impl RequestSuspects {
    /// Records the break of an attempt of the request `key`. Returns whether it is new.
    pub fn record_crash(&mut self, key: &SuspectKey, crash: RequestCrash, now: Instant) -> bool {
        self.forget(now);
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains_key(key) {
            return false;
        }
        let record = self.record(key, now);
        let known = &record.crashes;
        let is_known = known
            .iter()
            .any(|known| known.upstream_life == crash.upstream_life);
        if record.is_sound || is_known {
            return false;
        }
        if record.is_guilty() && crash.sent >= record.refused_until {
            record.relapses += 1;
        }
        let at = known.partition_point(|known| known.seen <= crash.seen);
        record.crashes.insert(at, crash);
        if record.crashes.len() > MAX_CRASHES {
            record.crashes.remove(1);
        }
        record.refused_until = now + record.refusal_time();
        true
    }

    /// Records that an upstream answered the request `key`, if that is a suspect. Returns whether this
    /// is news.
    pub fn record_answer(&mut self, key: &SuspectKey, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(key).filter(|record| !record.is_sound) else {
            return false;
        };
        record.is_sound = true;
        record.refused_until = now + REFUSAL_TIME;
        true
    }

    /// Records that another process knows of an answer to the request `key`.
    pub fn record_sound(&mut self, key: &SuspectKey, now: Instant) {
        if self.records.len() < MAX_SUSPECTS {
            self.record(key, now);
        }
        self.record_answer(key, now);
    }

    /// Whether the request `key` must not run now.
    #[must_use]
    pub fn is_refused(&self, key: &SuspectKey, now: Instant) -> bool {
        let record = self.records.get(key);
        record.is_some_and(|record| record.is_guilty() && now < record.refused_until)
    }

    /// The suspects that other processes are to be told of: those that are refused, then those with news
    /// since [`NEWS_TIME`]; of both, those with the latest news first.
    #[must_use]
    pub fn news(&self, now: Instant) -> Vec<(&SuspectKey, &SuspectRecord)> {
        let is_news = |record: &SuspectRecord| {
            record.is_guilty() || record.refused_until + NEWS_TIME > now + REFUSAL_TIME
        };
        let all = self.records.iter();
        let mut newest: Vec<_> = all.filter(|(_, record)| is_news(record)).collect();
        newest.sort_by_key(|(key, record)| {
            (
                Reverse(record.is_guilty()),
                Reverse(record.refused_until),
                *key,
            )
        });
        newest
    }

    fn record(&mut self, key: &SuspectKey, now: Instant) -> &mut SuspectRecord {
        let new_record = || SuspectRecord {
            crashes: Vec::new(),
            is_sound: false,
            relapses: 0,
            refused_until: now + REFUSAL_TIME,
        };
        self.records.entry(key.clone()).or_insert_with(new_record)
    }

    fn forget(&mut self, now: Instant) {
        self.records.retain(|_, record| now < record.forget_at());
    }
}
