//! Retry budget and backoff, which keep retries from multiplying the load during an outage.

use std::time::Duration;

/// Number of first attempts that earn one retry.
pub const CALLS_PER_RETRY: u64 = 10;
/// Maximum number of retries that a budget holds; it starts with this number.
pub const RETRY_RESERVE: u64 = 10;

/// Maximum number of doublings of the base in [`BackoffPolicy::wait`], whose shift would overflow
/// for high attempt numbers.
const MAX_DOUBLINGS: u32 = 10;

/// Allows one retry for every [`CALLS_PER_RETRY`] (ten) calls, on top of a reserve of
/// [`RETRY_RESERVE`] retries.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries left, in tenths of a retry.
    tenths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tenths: RETRY_RESERVE * CALLS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Counts the first attempt of a call, which earns a tenth of a retry.
    pub fn record_call(&mut self) {
        self.tenths = (self.tenths + 1).min(RETRY_RESERVE * CALLS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns `false` if less than one is left.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.tenths.checked_sub(CALLS_PER_RETRY) else {
            return false;
        };
        self.tenths = left;
        true
    }
}

value_type! {
    /// Exponential backoff with jitter: the wait doubles with each attempt.
    #[derive(Copy)]
    pub struct BackoffPolicy {
        /// Maximum wait before attempt 0.
        pub base: Duration,
        /// Maximum wait before any attempt.
        pub max: Duration,
    }
}

impl BackoffPolicy {
    /// Returns the wait before attempt `attempt`, counted from 0. The wait lies between half and
    /// all of the doubled base, which is capped at `max`; `random` (0 to `u32::MAX`) selects the
    /// point in this range.
    #[must_use]
    pub fn wait(&self, attempt: u32, random: u32) -> Duration {
        let doubled = self.base.saturating_mul(1 << attempt.min(MAX_DOUBLINGS));
        let half = doubled.min(self.max) / 2;
        half + half.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }
}
