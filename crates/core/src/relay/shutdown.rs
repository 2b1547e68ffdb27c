//! Which requests an entry still takes after its graceful shutdown has begun.

use std::time::Instant;

use crate::relay::catalog::RequestKind;

value_type! {
    /// Times of an entry's graceful shutdown.
    pub struct ShutdownTimes {
        /// Time until which callers may send requests because they have the entry's address cached.
        pub cached_until: Instant,
        /// Time at which the requests still in progress are ended, each with an answer.
        pub stop_at: Instant,
    }
}

impl ShutdownTimes {
    /// Whether a request that arrives at `now` is taken: its `deadline` lies before the end of the
    /// shutdown, or its caller may repeat it elsewhere if it is ended then.
    #[must_use]
    pub fn admits(&self, kind: RequestKind, deadline: Instant, now: Instant) -> bool {
        deadline <= self.stop_at || (kind.is_retryable() && now < self.cached_until)
    }
}
