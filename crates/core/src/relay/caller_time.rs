//! The time that the caller of a request has.

use std::time::{Duration, Instant};

/// Callers honour `Retry-After` up to this part of the time that they have left.
pub const RETURN_DIVISOR: u32 = 3;

value_type! {
    /// Time of a request's caller. It runs from the request's arrival, whichever attempt of the entry
    /// is made with it.
    #[derive(Copy)]
    pub struct CallerTime {
        /// Time at which the caller stops waiting for the whole answer.
        deadline: Instant,
        /// Arrival of the request, or the time of the last event that its caller was sent.
        silent_since: Instant,
        /// Time without an event after which the caller leaves; none unless the answer is a stream.
        max_silence: Option<Duration>,
    }
}

impl CallerTime {
    /// Time of a caller whose request arrived at `arrived` and that waits until `deadline` for the
    /// whole answer, and for `max_silence` for each event of it.
    #[must_use]
    pub fn new(arrived: Instant, deadline: Instant, max_silence: Option<Duration>) -> Self {
        Self {
            deadline,
            silent_since: arrived,
            max_silence,
        }
    }

    /// Records that events were sent to the caller at `now`.
    pub fn record_event(&mut self, now: Instant) {
        self.silent_since = now;
    }

    /// Time until the caller leaves unless it is sent an answer, or the next event of a stream.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        // A silence too long for the clock does not end before the deadline.
        let silence = self.max_silence;
        let silence_end = silence.and_then(|silence| self.silent_since.checked_add(silence));
        let leaves = silence_end.map_or(self.deadline, |end| end.min(self.deadline));
        leaves.saturating_duration_since(now)
    }

    /// Time until the caller stops waiting for the whole answer.
    #[must_use]
    pub fn answer_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Longest time after which the caller can be told to come back if it is refused now.
    #[must_use]
    pub fn return_limit(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now) / RETURN_DIVISOR
    }

    /// Time without the first event, or the answer, after which an attempt that begins at `now` counts
    /// as silent: an equal share of the time left for it and for each of `further` attempts. Any
    /// upstream may be slower than expected, so half of the time is the least that one more would need.
    #[must_use]
    pub fn silence_limit(&self, further: u32, now: Instant) -> Duration {
        self.left(now) / further.max(1).saturating_add(1)
    }

    /// Time without an event after which a stream that has begun counts as silent, by the same shares.
    #[must_use]
    pub fn pause_limit(&self, further: u32, now: Instant) -> Duration {
        let silence = self.max_silence.unwrap_or_else(|| self.left(now));
        silence / further.max(1).saturating_add(1)
    }
}
