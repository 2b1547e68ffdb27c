//! Detection of connections that have gone silent.

use std::time::{Duration, Instant};

value_type! {
    /// How often heartbeats go out, and how many may stay unanswered.
    #[derive(Copy)]
    pub struct HeartbeatPolicy {
        /// Time between two heartbeats.
        pub interval: Duration,
        /// Heartbeats without any frame from the peer after which the connection is dead.
        pub misses: u32,
    }

    /// What to do at a tick.
    #[derive(Copy)]
    pub enum HeartbeatAction {
        /// Send a heartbeat with this number.
        Send(u64),
        /// Close the connection: the peer has gone silent.
        Close,
    }
}

/// Watches one connection.
#[derive(Debug)]
pub struct HeartbeatMonitor {
    policy: HeartbeatPolicy,
    last_heard: Instant,
    sent: u64,
}

impl HeartbeatMonitor {
    /// A monitor of a connection that was opened at `now`.
    #[must_use]
    pub fn new(policy: HeartbeatPolicy, now: Instant) -> Self {
        Self {
            policy,
            last_heard: now,
            sent: 0,
        }
    }

    /// Notes that any frame arrived.
    pub fn record_frame(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Decides at a tick, which comes every [`HeartbeatPolicy::interval`].
    pub fn tick(&mut self, now: Instant) -> HeartbeatAction {
        let silence = now.saturating_duration_since(self.last_heard);
        if silence >= self.policy.interval * (self.policy.misses + 1) {
            return HeartbeatAction::Close;
        }
        self.sent += 1;
        HeartbeatAction::Send(self.sent)
    }
}
