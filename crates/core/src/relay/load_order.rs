//! A load order whose outcome may be unknown, and the evidence that the engine loaded valid pieces.
//!
//! An engine loads the pieces that are staged at the moment at which it accepts the order. The answer
//! to an order can be lost or late, so that moment may lie anywhere between the first attempt and the
//! moment at which the engine is seen to have accepted an order.

use std::time::Duration;

/// Reading of a clock that also counts the time in which the machine was suspended.
pub type BootTime = Duration;

/// Longest time between the oldest read of a check of the stage and the acceptance of the order: a
/// piece that turns bad within this time before the acceptance is not the agent's fault.
pub const MAX_CHECK_AGE: Duration = Duration::from_secs(3);

crate::value_type! {
    /// Check that the stage has the pieces of a load, with repairs where it has not.
    #[derive(Copy)]
    pub struct StageCheck {
        /// Start of the check.
        pub started: BootTime,
        /// Some pieces were missing or bad and have been written again.
        pub repaired: bool,
    }

    /// Life of an engine and the number of orders that it had accepted in it, at one moment.
    #[derive(Copy)]
    pub struct OrderCount {
        /// Number of accepted orders.
        pub orders: u64,
        /// Start of the engine, in Unix milliseconds.
        pub born: u64,
    }

    /// What an engine's state tells of a load order.
    pub enum OrderStatus {
        /// The engine may still accept the order.
        Pending,
        /// The engine has accepted the order.
        Accepted,
        /// The engine was started again and does not get the order any more.
        Void,
    }

    /// Whether a load had valid pieces.
    pub enum LoadEvidence {
        /// All pieces were valid within [`MAX_CHECK_AGE`] before the acceptance.
        Valid,
        /// All pieces were valid if all are valid now.
        ValidIfStillStaged,
        /// Some pieces may have been bad for longer than [`MAX_CHECK_AGE`].
        Doubtful,
    }
}

impl OrderCount {
    /// What the engine's later count `now` tells of an order that was given for this one. Orders state the
    /// count that they were given for, and the engine accepts none that was given for another.
    #[must_use]
    pub fn status(self, now: Self) -> OrderStatus {
        if now.born != self.born {
            return OrderStatus::Void;
        }
        if now.orders > self.orders {
            return OrderStatus::Accepted;
        }
        OrderStatus::Pending
    }
}

impl StageCheck {
    /// Whether the engine will probably accept an order that it is given at `now` before the check is
    /// too old.
    #[must_use]
    pub fn is_recent(&self, now: BootTime) -> bool {
        now.saturating_sub(self.started) < MAX_CHECK_AGE / 2
    }
}

/// A load order that was given at least once.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    /// Count of the engine's orders before this one.
    count: OrderCount,
    /// Latest check of the stage that ended before the acceptance.
    check: StageCheck,
    /// Latest check that may have ended after the acceptance.
    later_check: Option<StageCheck>,
    /// Whether a check that may have ended after the acceptance repaired pieces.
    later_repair: bool,
}

impl LoadOrder {
    /// An order that is given to an engine with this `count` of orders, after `check` of its stage.
    #[must_use]
    pub fn new(count: OrderCount, check: StageCheck) -> Self {
        Self {
            count,
            check,
            later_check: None,
            later_repair: false,
        }
    }

    /// Number of orders that the engine had accepted before this one. With it, all attempts of the
    /// order together are accepted at most once.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.count.orders
    }

    /// Start of the engine, in Unix milliseconds.
    #[must_use]
    pub fn born(&self) -> u64 {
        self.count.born
    }

    /// Records a check of the stage that was made after the first attempt.
    pub fn record_check(&mut self, check: StageCheck) {
        self.later_check = Some(check);
        self.later_repair |= check.repaired;
    }

    /// Records a check of the stage that failed after it may have repaired pieces.
    pub fn record_repair(&mut self) {
        self.later_repair = true;
    }

    /// Records the engine's count of orders, read after the checks recorded so far.
    pub fn record_count(&mut self, now: OrderCount) -> OrderStatus {
        let status = self.count.status(now);
        if status == OrderStatus::Pending {
            self.record_not_accepted();
        }
        status
    }

    /// Records that the engine accepted the order only after the checks recorded so far.
    pub fn record_not_accepted(&mut self) {
        self.later_repair = false;
        if let Some(check) = self.later_check.take() {
            self.check = check;
        }
    }

    /// Evidence on the load if the order was accepted before `now`. With `unconfirmed_writes`, the
    /// pieces may have been replaced after their check.
    #[must_use]
    pub fn evidence(&self, now: BootTime, unconfirmed_writes: bool) -> LoadEvidence {
        let age = now.saturating_sub(self.check.started);
        if age <= MAX_CHECK_AGE && !unconfirmed_writes {
            return LoadEvidence::Valid;
        }
        if self.later_repair {
            return LoadEvidence::Doubtful;
        }
        LoadEvidence::ValidIfStillStaged
    }
}
