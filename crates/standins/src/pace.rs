//! Limit on the bytes per second that the origin sends to all clients together.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::sync::lock;

/// Paces writes to a rate: each write reserves the time for its bytes after earlier writes.
pub struct SendPacer {
    schedule: Mutex<SendSchedule>,
}

struct SendSchedule {
    /// Rate for new reservations; 0 means unlimited.
    bytes_per_second: u64,
    /// End of the last reservation.
    reserved_until: Instant,
}

impl SendPacer {
    /// Creates a pacer with the given rate; 0 means unlimited.
    pub fn new(bytes_per_second: u64) -> Self {
        let schedule = SendSchedule {
            bytes_per_second,
            reserved_until: Instant::now(),
        };
        Self {
            schedule: Mutex::new(schedule),
        }
    }

    /// Changes the rate for later writes; 0 means unlimited. Writes that already wait
    /// are not rescheduled.
    pub fn set_rate(&self, bytes_per_second: u64) {
        let mut schedule = lock(&self.schedule);
        schedule.bytes_per_second = bytes_per_second;
        schedule.reserved_until = Instant::now();
    }

    /// Waits until the rate allows `bytes` more bytes.
    pub async fn wait(&self, bytes: usize) {
        let due = lock(&self.schedule).reserve(bytes as u64);
        if let Some(due) = due {
            tokio::time::sleep_until(due.into()).await;
        }
    }
}

impl SendSchedule {
    /// Reserves time for `bytes` and returns its end, or `None` if the rate is unlimited.
    fn reserve(&mut self, bytes: u64) -> Option<Instant> {
        if self.bytes_per_second == 0 {
            return None;
        }
        let nanos = bytes.saturating_mul(1_000_000_000) / self.bytes_per_second;
        self.reserved_until = self.reserved_until.max(Instant::now()) + Duration::from_nanos(nanos);
        Some(self.reserved_until)
    }
}
