//! Shares of what all entries may do together: retries, and requests to cold upstreams.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;

/// Part of the fleet's allowance that entries spend; the rest covers entries that do not know of
/// each other yet.
const SPENT_PART: f64 = 0.6;
/// Requests that an entry may send to a cold upstream at once.
const COLD_BURST: f64 = 1.0;

value_type! {
    /// Allowance of all entries together for repeats.
    #[derive(PartialOrd)]
    pub struct RetryLimit {
        /// Repeats in thousandths of the requests.
        pub per_thousand: u32,
        /// Repeats allowed beyond those in one window.
        pub extra: u32,
        /// Length of the window.
        pub window: Duration,
    }
}

/// An entry's part of the fleet's allowance for repeats.
#[derive(Debug)]
pub struct RetryShare {
    retry_limit: RetryLimit,
    tokens: f64,
    refilled: Instant,
}

impl RetryShare {
    /// A share that holds a fraction of the extra at its start.
    #[must_use]
    pub fn new(retry_limit: RetryLimit, now: Instant) -> Self {
        Self {
            retry_limit,
            tokens: 1.0,
            refilled: now,
        }
    }

    /// Counts a first send.
    pub fn request(&mut self) {
        let ratio = f64::from(self.retry_limit.per_thousand) / 1000.0;
        self.tokens += ratio * SPENT_PART;
    }

    /// Takes a repeat if the share of one of `entries` allows it.
    #[must_use]
    pub fn try_retry(&mut self, entries: usize, now: Instant) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let entries = entries.max(1) as f64;
        let extra = f64::from(self.retry_limit.extra) * SPENT_PART / entries;
        let spent = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens += extra * spent.as_secs_f64() / self.retry_limit.window.as_secs_f64();
        self.tokens = self.tokens.min(extra.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// An entry's part of the rate that cold upstreams bear.
#[derive(Debug, Default)]
pub struct ColdRateShare {
    buckets: HashMap<UpstreamId, (f64, Instant)>,
}

impl ColdRateShare {
    /// Whether a request may go to the cold upstream `id`, which bears `per_second` requests from
    /// all of `entries`.
    #[must_use]
    pub fn allows(&self, id: &str, per_second: u32, entries: usize, now: Instant) -> bool {
        self.level(id, per_second, entries, now) >= 1.0
    }

    /// Counts a request to it.
    pub fn take(&mut self, id: &UpstreamId, per_second: u32, entries: usize, now: Instant) {
        let level = self.level(id, per_second, entries, now);
        self.buckets.insert(id.clone(), (level - 1.0, now));
    }

    fn level(&self, id: &str, per_second: u32, entries: usize, now: Instant) -> f64 {
        let Some((level, at)) = self.buckets.get(id) else {
            return COLD_BURST;
        };
        #[allow(clippy::cast_precision_loss)]
        let rate = f64::from(per_second) / entries.max(1) as f64;
        let passed = now.saturating_duration_since(*at).as_secs_f64();
        (level + rate * passed).min(COLD_BURST)
    }
}
