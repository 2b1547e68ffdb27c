//! Rate limits that apply to all entries together, for retries and for requests to cold upstreams.
//! Each entry uses an equal share of each limit without coordination.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;
use crate::rank;

/// Fraction of the retry limit, and of a cold upstream's rate where there are many entries, that the
/// entries use together. The remaining 0.4 is a margin for entries that do not know of each other yet.
const USED_FRACTION: f64 = 0.6;
/// Capacity of the token bucket of each cold upstream: the maximum number of requests that an entry
/// may send to it at once.
const COLD_BURST: f64 = 1.0;
/// Number of requests that all entries together may send to a cold upstream at once, per request a
/// second that it can handle. Where there are more entries, a token expires.
const COLD_BURST_SHARE: f64 = 0.5;
/// Time for which a token that expires is valid.
const COLD_TOKEN_TIME: Duration = Duration::from_millis(200);

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
///
/// Many entries with a token each could send them all at the same moment, for example right after the
/// upstream has turned cold. So where there are many, the first token of each comes at a random time,
/// and a token that is not used soon expires: at any moment only the tokens of a few entries are valid.
#[derive(Debug, Default)]
pub struct ColdRateShare {
    /// Number of tokens in the bucket, one per request, and the time at which it was computed, by
    /// upstream.
    buckets: HashMap<UpstreamId, (f64, Instant)>,
    /// Number that differs between entries.
    seed: u64,
}

impl ColdRateShare {
    /// A share of the entry with the number `seed`, which differs between entries.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            buckets: HashMap::new(),
            seed,
        }
    }

    /// Whether a request may be sent to the cold upstream `id`, which can handle `per_second`
    /// requests a second from `entries` live entries together. `since` is the time at which it
    /// turned cold.
    #[must_use]
    pub fn allows(
        &self,
        id: &str,
        per_second: u32,
        entries: usize,
        since: Instant,
        now: Instant,
    ) -> bool {
        self.level(id, per_second, entries, since, now) >= 1.0
    }

    /// Counts a request to the cold upstream `id`; the parameters are those of [`Self::allows`].
    pub fn take(
        &mut self,
        id: &UpstreamId,
        per_second: u32,
        entries: usize,
        since: Instant,
        now: Instant,
    ) {
        let level = self.level(id, per_second, entries, since, now);
        self.buckets.insert(id.clone(), (level - 1.0, now));
    }

    /// Number of requests that this entry may send to the cold upstream `id` now.
    fn level(
        &self,
        id: &str,
        per_second: u32,
        entries: usize,
        since: Instant,
        now: Instant,
    ) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let entries = entries.max(1) as f64;
        let bucket = self.buckets.get(id).filter(|(_, at)| *at >= since);
        if entries <= f64::from(per_second) * COLD_BURST_SHARE {
            let rate = f64::from(per_second) / entries;
            let Some((level, at)) = bucket else {
                return COLD_BURST;
            };
            let elapsed = now.saturating_duration_since(*at).as_secs_f64();
            return (level + rate * elapsed).min(COLD_BURST);
        }
        let rate = f64::from(per_second) * USED_FRACTION / entries;
        let (level, at) = bucket
            .copied()
            .unwrap_or_else(|| (self.first_level(id), since));
        let level = level + rate * now.saturating_duration_since(at).as_secs_f64();
        let fraction = level - level.floor();
        if level >= 1.0 && fraction <= rate * COLD_TOKEN_TIME.as_secs_f64() {
            return 1.0 + fraction;
        }
        if level >= 1.0 { fraction } else { level }
    }

    /// Level of the bucket of `id` when it turns cold, from 0 to 1 and different for each entry.
    fn first_level(&self, id: &str) -> f64 {
        let draw = rank::score_seeds(self.seed, rank::seed(id.as_bytes()));
        f64::from(u32::try_from(draw >> 32).unwrap_or_default()) / f64::from(u32::MAX)
    }
}
