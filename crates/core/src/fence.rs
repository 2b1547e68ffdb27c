//! Order numbers for upstreams, and the lease for engines that do not check them.
//!
//! An agent raises its upstream's row in the table service when it starts. An engine that checks
//! numbers then refuses the predecessor's orders. For one that does not, orders are allowed only
//! within a lease, and a successor waits until the predecessor's lease and the bound on its pause
//! have passed.

use std::time::{Duration, Instant};

use crate::ids::FenceNumber;

value_type! {
    /// Times of a lease.
    #[derive(Copy)]
    pub struct LeasePolicy {
        /// How long orders are allowed after the row was last seen to hold the own number.
        pub lease: Duration,
        /// Longest time between the check and the end of an order.
        pub bound: Duration,
    }

    /// Result of raising the row by compare-and-set.
    #[derive(Copy)]
    pub struct FenceRaise {
        /// Number that the row now holds.
        pub number: FenceNumber,
        /// Another holder may still believe in its lease.
        pub predecessor: bool,
    }

    /// Why no order may be given now.
    #[derive(Copy)]
    pub enum FenceRefusal {
        /// The predecessor's lease may still run for this long.
        Waiting(Duration),
        /// The own lease has lapsed; the row has to be read again.
        Lapsed,
        /// The row holds a higher number: another agent has the upstream.
        Lost(FenceNumber),
    }

    /// Whether an order that has ended was within its lease.
    #[derive(Copy)]
    pub enum OrderOutcome {
        /// It was.
        InLease,
        /// It ended too late: another holder may have given orders meanwhile.
        Overrun,
    }

    /// Permission for one order.
    #[derive(Copy)]
    pub struct OrderPermit {
        /// Number that the order carries.
        pub number: FenceNumber,
        /// The order must have ended by then; none where the engine checks numbers.
        pub deadline: Option<Instant>,
    }
}

/// Lease of one agent on its upstream.
#[derive(Debug)]
pub struct FenceLease {
    policy: LeasePolicy,
    engine_checks: bool,
    number: FenceNumber,
    first_order: Instant,
    valid_until: Instant,
    lost_to: Option<FenceNumber>,
}

impl FenceLease {
    /// A lease on the row that was raised by a request sent at `asked` and answered at `now`.
    #[must_use]
    pub fn new(
        policy: LeasePolicy,
        engine_checks: bool,
        raise: FenceRaise,
        asked: Instant,
        now: Instant,
    ) -> Self {
        let mut first_order = now;
        if raise.predecessor {
            first_order += policy.lease + policy.bound;
        }
        Self {
            policy,
            engine_checks,
            number: raise.number,
            first_order,
            valid_until: asked + policy.lease,
            lost_to: None,
        }
    }

    /// The own number.
    #[must_use]
    pub fn number(&self) -> FenceNumber {
        self.number
    }

    /// Takes what the row held, in the answer to a read that was sent at `asked`.
    pub fn observe(&mut self, row: FenceNumber, asked: Instant) {
        if row > self.number {
            self.lost_to = Some(row);
            return;
        }
        if row == self.number {
            self.valid_until = self.valid_until.max(asked + self.policy.lease);
        }
    }

    /// Permits one order at `now`.
    ///
    /// # Errors
    /// Why no order may be given.
    pub fn permit(&self, now: Instant) -> Result<OrderPermit, FenceRefusal> {
        if let Some(number) = self.lost_to {
            return Err(FenceRefusal::Lost(number));
        }
        if self.engine_checks {
            return Ok(OrderPermit {
                number: self.number,
                deadline: None,
            });
        }
        let wait = self.first_order.saturating_duration_since(now);
        if !wait.is_zero() {
            return Err(FenceRefusal::Waiting(wait));
        }
        if now >= self.valid_until {
            return Err(FenceRefusal::Lapsed);
        }
        Ok(OrderPermit {
            number: self.number,
            deadline: Some(now + self.policy.bound),
        })
    }
}

impl OrderPermit {
    /// Judges an order that has ended at `now`, before its effect is relied on.
    #[must_use]
    pub fn outcome_at(&self, now: Instant) -> OrderOutcome {
        match self.deadline {
            Some(deadline) if now > deadline => OrderOutcome::Overrun,
            _ => OrderOutcome::InLease,
        }
    }
}
