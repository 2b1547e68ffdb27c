//! Retries that cannot multiply the load.

use std::time::Duration;

/// Calls that earn one retry.
pub const CALLS_PER_RETRY: u64 = 10;
/// Retries that a budget holds at most, and at its start.
pub const RETRY_RESERVE: u64 = 10;

const MAX_DOUBLINGS: u32 = 10;

/// Allows one retry for each ten calls, above a small reserve.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tenths of a retry.
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
    /// Counts a call that is no retry.
    pub fn record_call(&mut self) {
        self.tenths = (self.tenths + 1).min(RETRY_RESERVE * CALLS_PER_RETRY);
    }

    /// Takes a retry from the budget if there is one.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.tenths.checked_sub(CALLS_PER_RETRY) else {
            return false;
        };
        self.tenths = rest;
        true
    }
}

value_type! {
    /// Waits that double with each attempt.
    #[derive(Copy)]
    pub struct BackoffPolicy {
        /// Longest first wait.
        pub base: Duration,
        /// Longest wait.
        pub max: Duration,
    }
}

impl BackoffPolicy {
    /// Wait before attempt `attempt` (from 0): between half and all of the doubled base, as
    /// `random` says.
    #[must_use]
    pub fn wait(&self, attempt: u32, random: u32) -> Duration {
        let doubled = self.base.saturating_mul(1 << attempt.min(MAX_DOUBLINGS));
        let half = doubled.min(self.max) / 2;
        half + half.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }
}
