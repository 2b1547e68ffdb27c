//! A load order whose outcome may be unknown: its answer can be lost or late, and an engine that does
//! not respond may still accept it.

use std::time::Duration;

/// Reading of a clock that also counts the time in which the machine was suspended.
pub type BootTime = Duration;

crate::value_type! {
    /// What an engine's state tells of a load order.
    pub enum OrderStatus {
        /// The engine may still accept the order.
        Pending,
        /// The engine has accepted the order.
        Accepted,
        /// The engine was started again and does not get the order any more.
        Void,
    }
}

/// A load order that was given at least once.
#[derive(Clone, Debug)]
pub struct LoadOrder {
    /// Number of orders that the engine had accepted before.
    orders: u64,
    /// Start of the engine, in Unix milliseconds.
    born: u64,
}

impl LoadOrder {
    /// An order that is given to an engine which was started at `born` and has accepted `orders`
    /// orders.
    #[must_use]
    pub fn new(orders: u64, born: u64) -> Self {
        Self { orders, born }
    }

    /// Number of orders that the engine had accepted before this one. With it, all attempts of the
    /// order together are accepted at most once.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// What the state of the engine tells of the order.
    #[must_use]
    pub fn status(&self, orders: u64, born: u64) -> OrderStatus {
        if born != self.born {
            return OrderStatus::Void;
        }
        if orders > self.orders {
            return OrderStatus::Accepted;
        }
        OrderStatus::Pending
    }
}
