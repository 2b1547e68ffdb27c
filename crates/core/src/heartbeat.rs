//! Detection of connections whose peer no longer responds.

use std::time::{Duration, Instant};

value_type! {
    /// How often heartbeats are sent, and for how long a connection may be silent.
    #[derive(Copy)]
    pub struct HeartbeatPolicy {
        /// Time between two heartbeats that are sent.
        pub interval: Duration,
        /// Number of consecutive intervals without a frame that are tolerated. The connection is
        /// closed once no frame has arrived for `misses + 1` intervals.
        pub misses: u32,
    }

    /// What the owner of the connection does after [`HeartbeatMonitor::tick`].
    #[derive(Copy)]
    pub enum HeartbeatAction {
        /// Send a heartbeat with this sequence number; the first is 1.
        Send(u64),
        /// Close the connection: the peer no longer responds.
        Close,
    }
}

/// Decides when to send heartbeats on one connection, and when to close it.
#[derive(Debug)]
pub struct HeartbeatMonitor {
    policy: HeartbeatPolicy,
    /// When the latest frame of any kind arrived; before the first frame, when the connection was
    /// opened.
    last_received: Instant,
    /// Number of heartbeats sent on the connection.
    heartbeats_sent: u64,
}

impl HeartbeatMonitor {
    /// Creates a monitor for a connection opened at `now`.
    #[must_use]
    pub fn new(policy: HeartbeatPolicy, now: Instant) -> Self {
        Self {
            policy,
            last_received: now,
            heartbeats_sent: 0,
        }
    }

    /// Records that a frame of any kind arrived at `now`.
    pub fn record_frame(&mut self, now: Instant) {
        self.last_received = now;
    }

    /// Decides what to do now; call it once every [`HeartbeatPolicy::interval`].
    pub fn tick(&mut self, now: Instant) -> HeartbeatAction {
        let silence = now.saturating_duration_since(self.last_received);
        if silence >= self.policy.interval * (self.policy.misses + 1) {
            return HeartbeatAction::Close;
        }
        self.heartbeats_sent += 1;
        HeartbeatAction::Send(self.heartbeats_sent)
    }
}
