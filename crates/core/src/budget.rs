//! Token bucket that limits the bytes a sender puts on a link.

use std::time::{Duration, Instant};

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Limits the bytes that may be sent on one link.
///
/// The bytes granted in any interval add up to at most the burst (the capacity of the bucket), plus
/// one grant larger than the burst, plus the rate times the interval.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Rate at which the bucket is refilled; 0 for no limit.
    bytes_per_second: u64,
    /// Capacity of the bucket: the most that may be sent at once after an idle time.
    burst_bytes: u64,
    /// Time at which the bucket will be full if nothing more is taken; in the past if it is full
    /// now.
    full_at: Instant,
}

impl LinkBudget {
    /// Creates a full bucket; a rate of 0 means no limit.
    #[must_use]
    pub fn new(bytes_per_second: u64, burst_bytes: u64, now: Instant) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            full_at: now,
        }
    }

    /// Takes `bytes` from the bucket. A request larger than the burst is granted once the bucket is
    /// full, and delays the next grants accordingly.
    ///
    /// # Errors
    /// The time to wait until the bucket holds enough.
    pub fn try_take(&mut self, bytes: u64, now: Instant) -> Result<(), Duration> {
        if self.bytes_per_second == 0 {
            return Ok(());
        }
        let needed = bytes.min(self.burst_bytes);
        let allowed_deficit = self.refill_time(self.burst_bytes - needed);
        let deficit = self.full_at.saturating_duration_since(now);
        let wait = deficit.saturating_sub(allowed_deficit);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.full_at = self.full_at.max(now) + self.refill_time(bytes);
        Ok(())
    }

    /// Time in which the bucket gains `bytes`, rounded up.
    fn refill_time(&self, bytes: u64) -> Duration {
        let nanos = u128::from(bytes) * NANOS_PER_SECOND;
        let nanos = nanos.div_ceil(u128::from(self.bytes_per_second));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
