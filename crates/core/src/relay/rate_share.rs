//! Rate limits that apply to all entries together, for retries and for requests to cold upstreams.
//! Each entry uses an equal share of each limit without coordination.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;

/// Fraction of the retry limit that the entries use together. The remaining 0.4 is a margin for
/// entries that do not know of each other yet.
const USED_FRACTION: f64 = 0.6;
/// Capacity of the token bucket of each cold upstream: the maximum number of requests that an entry
/// may send to it at once.
const COLD_BURST: f64 = 1.0;

value_type! {
    /// Limit on the retries of all entries together, in any window of time.
    #[derive(PartialOrd)]
    pub struct RetryLimit {
        /// Number of retries allowed per thousand requests.
        pub per_thousand: u32,
        /// Number of retries allowed in one window in addition to those per thousand requests.
        pub extra: u32,
        /// Length of the window.
        pub window: Duration,
    }
}

/// An entry's share of the retry limit, as a token bucket in which each retry takes one token.
#[derive(Debug)]
pub struct RetryShare {
    retry_limit: RetryLimit,
    /// Number of retries that may be taken now; may include a fraction.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Instant,
}

impl RetryShare {
    /// Creates a share that allows one retry at first.
    #[must_use]
    pub fn new(retry_limit: RetryLimit, now: Instant) -> Self {
        Self {
            retry_limit,
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Counts the first attempt of a request, which adds a fraction of a retry to the share.
    pub fn record_request(&mut self) {
        let ratio = f64::from(self.retry_limit.per_thousand) / 1000.0;
        self.tokens += ratio * USED_FRACTION;
    }

    /// Takes a retry from the share of one of `entries` live entries. Returns whether the share
    /// allows it.
    #[must_use]
    pub fn try_retry(&mut self, entries: usize, now: Instant) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let entries = entries.max(1) as f64;
        let extra = f64::from(self.retry_limit.extra) * USED_FRACTION / entries;
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens += extra * elapsed.as_secs_f64() / self.retry_limit.window.as_secs_f64();
        self.tokens = self.tokens.min(extra.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// An entry's share of the request rate that each cold upstream can handle.
#[derive(Debug, Default)]
pub struct ColdRateShare {
    /// Number of tokens in the bucket, one per request, and the time at which it was computed, by
    /// upstream.
    buckets: HashMap<UpstreamId, (f64, Instant)>,
}

impl ColdRateShare {
    /// Whether a request may be sent to the cold upstream `id`, which can handle `per_second`
    /// requests a second from `entries` live entries together.
    #[must_use]
    pub fn allows(&self, id: &str, per_second: u32, entries: usize, now: Instant) -> bool {
        self.level(id, per_second, entries, now) >= 1.0
    }

    /// Counts a request to the cold upstream `id`; the parameters are those of [`Self::allows`].
    pub fn take(&mut self, id: &UpstreamId, per_second: u32, entries: usize, now: Instant) {
        let level = self.level(id, per_second, entries, now);
        self.buckets.insert(id.clone(), (level - 1.0, now));
    }

    /// Number of requests that this entry may send to the cold upstream `id` now.
    fn level(&self, id: &str, per_second: u32, entries: usize, now: Instant) -> f64 {
        let Some((level, at)) = self.buckets.get(id) else {
            return COLD_BURST;
        };
        #[allow(clippy::cast_precision_loss)]
        let rate = f64::from(per_second) / entries.max(1) as f64;
        let elapsed = now.saturating_duration_since(*at).as_secs_f64();
        (level + rate * elapsed).min(COLD_BURST)
    }
}
