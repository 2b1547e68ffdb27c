//! Fencing of the orders that agents give to engines, such as to load weights.
//!
//! Each upstream has a row in the table service with a fence number. An agent increments the fence
//! number before its first order, and sends the result with every order. An engine that checks
//! fence numbers then refuses the orders of the agent's predecessor. For an engine that does not
//! check them, orders are allowed only within a lease, and a successor waits until both the
//! predecessor's lease and the longest time that an order of the predecessor may take have passed.

use std::time::{Duration, Instant};

use crate::ids::FenceNumber;

value_type! {
    /// Durations of a lease and of the orders given under it.
    #[derive(Copy)]
    pub struct LeasePolicy {
        /// Time for which new orders are allowed after the agent sent a read that found its own
        /// fence number in the row.
        pub lease: Duration,
        /// Longest time from the permission of an order to its end, pauses of the process included.
        /// An order that takes longer may have overlapped with a successor's.
        pub max_order_duration: Duration,
    }

    /// Result of incrementing the fence number in the upstream's row by compare-and-set.
    #[derive(Copy)]
    pub struct FenceRaise {
        /// Fence number that the row holds now: the one of this agent.
        pub number: FenceNumber,
        /// Whether another agent held the row before, or may have; the lease of that agent may
        /// still run.
        pub predecessor: bool,
    }

    /// Why no order may be given now.
    #[derive(Copy)]
    pub enum FenceRefusal {
        /// The predecessor's lease may still run for this long.
        Waiting(Duration),
        /// This agent's lease has lapsed; the row has to be read again.
        Lapsed,
        /// The row holds this higher fence number: another agent controls the upstream.
        Lost(FenceNumber),
    }

    /// Whether an order ended before the deadline of its permit.
    #[derive(Copy)]
    pub enum OrderOutcome {
        /// The order ended by the deadline, or the engine checks fence numbers.
        InLease,
        /// The order ended after the deadline: another agent may have given orders in the meantime.
        Overrun,
    }

    /// Permission for one order.
    #[derive(Copy)]
    pub struct OrderPermit {
        /// Fence number that the order carries.
        pub number: FenceNumber,
        /// Time by which the order must have ended; `None` if the engine checks fence numbers.
        pub deadline: Option<Instant>,
    }
}

/// Permission of one agent to give orders to its upstream.
#[derive(Debug)]
pub struct FenceLease {
    policy: LeasePolicy,
    /// Whether the engine checks fence numbers, so that no lease is needed.
    engine_checks: bool,
    /// This agent's fence number.
    number: FenceNumber,
    /// Earliest time of the first order: no order of a predecessor can be in progress from then on.
    first_order_at: Instant,
    /// End of the lease: no order is permitted from then on unless another read extends it.
    valid_until: Instant,
    /// Higher fence number, of another agent, that the row was found to hold; `None` while this
    /// agent holds the row.
    lost_to: Option<FenceNumber>,
}

impl FenceLease {
    /// Creates a lease after the fence number in the row was incremented by a request that was sent
    /// at `requested_at` and answered at `now`. The lease runs from `requested_at`, since the row
    /// may have changed again at any time after that.
    #[must_use]
    pub fn new(
        policy: LeasePolicy,
        engine_checks: bool,
        raise: FenceRaise,
        requested_at: Instant,
        now: Instant,
    ) -> Self {
        let mut first_order_at = now;
        if raise.predecessor {
            first_order_at += policy.lease + policy.max_order_duration;
        }
        Self {
            policy,
            engine_checks,
            number: raise.number,
            first_order_at,
            valid_until: requested_at + policy.lease,
            lost_to: None,
        }
    }

    /// Returns this agent's fence number.
    #[must_use]
    pub fn number(&self) -> FenceNumber {
        self.number
    }

    /// Records the fence number `row` that a read of the row, sent at `requested_at`, returned.
    /// This agent's own number extends the lease; a higher number ends it permanently.
    pub fn observe(&mut self, row: FenceNumber, requested_at: Instant) {
        if row > self.number {
            self.lost_to = Some(row);
            return;
        }
        if row == self.number {
            self.valid_until = self.valid_until.max(requested_at + self.policy.lease);
        }
    }

    /// Permits one order at `now`.
    ///
    /// # Errors
    /// The reason why no order may be given now.
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
        let wait = self.first_order_at.saturating_duration_since(now);
        if !wait.is_zero() {
            return Err(FenceRefusal::Waiting(wait));
        }
        if now >= self.valid_until {
            return Err(FenceRefusal::Lapsed);
        }
        Ok(OrderPermit {
            number: self.number,
            deadline: Some(now + self.policy.max_order_duration),
        })
    }
}

impl OrderPermit {
    /// Returns whether an order that ended at `now` met its deadline; to be checked before the
    /// order's effect is relied on.
    #[must_use]
    pub fn outcome_at(&self, now: Instant) -> OrderOutcome {
        match self.deadline {
            Some(deadline) if now > deadline => OrderOutcome::Overrun,
            _ => OrderOutcome::InLease,
        }
    }
}
