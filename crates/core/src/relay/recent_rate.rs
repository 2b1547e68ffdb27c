//! Rate of recent events, with exponentially decaying weights.

use std::time::{Duration, Instant};

/// Rate of events of which earlier ones count less: one that is a period old counts 1/e.
#[derive(Clone, Debug)]
pub struct RecentRate {
    period: Duration,
    count: f64,
    updated: Option<Instant>,
}

impl RecentRate {
    /// Creates the rate without events.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            count: 0.0,
            updated: None,
        }
    }

    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.updated = Some(now);
    }

    /// Weighted number of events.
    #[must_use]
    pub fn count(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(updated).as_secs_f64();
        self.count * (-passed / self.period.as_secs_f64()).exp()
    }

    /// Events in a second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f64 {
        self.count(now) / self.period.as_secs_f64()
    }
}
