//! Rate limits that apply to all entries together: for retries, and for requests to upstreams that are
//! cold or state a limit. Each entry uses an equal share of each limit without coordination.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;
use crate::rank;
use crate::relay::stated_limit::RequestRate;

/// Fraction of the retry limit, and of a cold upstream's rate where there are many entries, that the
/// entries use together. The remaining 0.4 is a margin for entries that do not know of each other yet.
const USED_FRACTION: f64 = 0.6;
/// Number of requests that one entry may send to a cold upstream at once.
const COLD_BURST: f64 = 1.0;
/// Number of requests that all entries together may send to a cold upstream at once, per request a
/// second that it can handle. Where there are more entries, a token expires.
const COLD_BURST_SHARE: f64 = 0.5;
/// Time for which a token for a cold upstream that expires is valid.
const COLD_TOKEN_TIME: Duration = Duration::from_millis(200);
/// Number of requests that all entries together may send at once to an upstream that states a limit:
/// so many per request a second, and so many more.
const STATED_BURST_SHARE: f64 = 0.5;
const STATED_BURST: f64 = 2.0;
/// Lowest rate of requests to an upstream that states a limit. Their answers tell when the limit ends.
const MIN_STATED_RATE: f64 = 0.1;

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

/// Rate of requests to one upstream that all entries together keep to.
#[derive(Clone, Copy, Debug)]
pub struct SharedRate {
    /// Requests a second.
    per_second: f64,
    /// Number of requests that all entries together may send at once.
    burst: f64,
    /// Fraction of the rate that is used where there are more entries than `burst`.
    crowded_fraction: f64,
    /// Time for which a token is valid where there are more entries than `burst`.
    token_time: Duration,
    /// Time from which the rate applies.
    since: Instant,
    /// Whether this is the rate of a cold upstream.
    is_cold: bool,
}

impl SharedRate {
    /// Rate of an upstream that turned cold at `since` and can handle `per_second` requests a second.
    #[must_use]
    pub fn cold(per_second: u32, since: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            burst: per_second * COLD_BURST_SHARE,
            crowded_fraction: USED_FRACTION,
            token_time: COLD_TOKEN_TIME,
            since,
            is_cold: true,
        }
    }

    /// Rate of an upstream that states the limit `rate`, which is known from `since` on.
    #[must_use]
    pub fn stated(rate: RequestRate, since: Instant) -> Self {
        let per_second = rate.per_second().max(MIN_STATED_RATE);
        let burst = per_second * STATED_BURST_SHARE + STATED_BURST;
        Self {
            per_second,
            burst,
            crowded_fraction: 1.0,
            token_time: Duration::from_secs_f64(burst / per_second),
            since,
            is_cold: false,
        }
    }

    /// Requests a second that each of `entries` entries may send.
    fn entry_rate(&self, entries: f64) -> f64 {
        let fraction = if self.is_crowded(entries) {
            self.crowded_fraction
        } else {
            1.0
        };
        self.per_second * fraction / entries
    }

    /// Number of requests that each of `entries` entries may send at once where these are few.
    fn entry_burst(&self, entries: f64) -> f64 {
        if self.is_cold {
            return COLD_BURST;
        }
        (self.burst / entries).max(1.0)
    }

    /// Whether there are so many entries that a token of each would exceed the burst.
    fn is_crowded(&self, entries: f64) -> bool {
        entries > self.burst
    }
}

/// An entry's share of the rates of requests to upstreams that all entries together keep to.
///
/// Many entries with a token each could send them all at the same moment, for example right after the
/// rate has begun to apply. So where there are many, the first token of each comes at a random time,
/// and a token that is not used soon expires: at any moment only the tokens of a few entries are valid.
#[derive(Debug, Default)]
pub struct RateShare {
    /// Number of tokens in the bucket, one per request, and the time at which it was computed, by
    /// upstream.
    buckets: HashMap<UpstreamId, (f64, Instant)>,
    /// Number that differs between entries.
    seed: u64,
}

impl RateShare {
    /// A share of the entry with the number `seed`, which differs between entries.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            buckets: HashMap::new(),
            seed,
        }
    }

    /// Time until one of `entries` live entries may send a request to the upstream `id`; zero if it
    /// may now.
    #[must_use]
    pub fn wait(&self, id: &str, rate: &SharedRate, entries: usize, now: Instant) -> Duration {
        let level = self.level(id, rate, entries, now);
        if level >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((1.0 - level) / rate.entry_rate(as_number(entries)))
    }

    /// Counts a request to the upstream `id`; the parameters are those of [`Self::wait`].
    pub fn take(&mut self, id: &UpstreamId, rate: &SharedRate, entries: usize, now: Instant) {
        let level = self.level(id, rate, entries, now);
        self.buckets.insert(id.clone(), (level - 1.0, now));
    }

    /// Returns the token of a request to the upstream `id` that was counted and is not sent.
    pub fn give_back(&mut self, id: &str) {
        if let Some((level, _)) = self.buckets.get_mut(id) {
            *level += 1.0;
        }
    }

    /// Number of requests that this entry may send to the upstream `id` now.
    fn level(&self, id: &str, rate: &SharedRate, entries: usize, now: Instant) -> f64 {
        let entries = as_number(entries);
        let per_second = rate.entry_rate(entries);
        let bucket = self.buckets.get(id).filter(|(_, at)| *at >= rate.since);
        if !rate.is_crowded(entries) {
            let Some((level, at)) = bucket else {
                return 1.0;
            };
            let elapsed = now.saturating_duration_since(*at).as_secs_f64();
            return (level + per_second * elapsed).min(rate.entry_burst(entries));
        }
        let (level, at) = bucket
            .copied()
            .unwrap_or_else(|| (self.first_level(id), rate.since));
        let level = level + per_second * now.saturating_duration_since(at).as_secs_f64();
        let fraction = level - level.floor();
        if level >= 1.0 && fraction <= per_second * rate.token_time.as_secs_f64() {
            return 1.0 + fraction;
        }
        if level >= 1.0 { fraction } else { level }
    }

    /// Level of the bucket of `id` when its rate begins to apply, from 0 to 1 and different for each
    /// entry.
    fn first_level(&self, id: &str) -> f64 {
        let draw = rank::score_seeds(self.seed, rank::seed(id.as_bytes()));
        f64::from(u32::try_from(draw >> 32).unwrap_or_default()) / f64::from(u32::MAX)
    }
}

/// Number of entries, at least one.
#[allow(clippy::cast_precision_loss)]
fn as_number(entries: usize) -> f64 {
    entries.max(1) as f64
}
