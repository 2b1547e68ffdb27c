//! Limits on the connections of one listener, and on the refused bodies that are discarded. Where there
//! are too many connections, the one that has waited longest for its client is closed for the new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use agatepin_core::relay::entry_limits::longest_waiting;
use prometheus::IntCounterVec;

use crate::relay::connection_timer::ConnectionTimer;

/// Part of the allowed connections that there may be besides: those that were to be closed for newer ones,
/// and first answer a request that had arrived.
const EXCESS_DIVISOR: usize = 16;

/// Limits of one listener; clones refer to the same connections.
#[derive(Clone, Default)]
pub struct ConnectionLimit(Rc<LimitState>);

#[derive(Default)]
struct LimitState {
    /// Largest number of connections; none if it is not limited.
    most: Option<usize>,
    /// Open connections, by number.
    open: RefCell<BTreeMap<u64, Rc<ConnectionTimer>>>,
    /// Number of connections that there have been.
    accepted: Cell<u64>,
    /// Whether a connection was closed for a newer one since at most half of the allowed ones were open.
    is_exhausted: Cell<bool>,
    /// Number of connections closed since then.
    closed: Cell<u64>,
    discards: DiscardPool,
    /// Counts closed connections.
    limited: Option<IntCounterVec>,
}

/// Bytes that the refused bodies in progress may still send; clones share them.
#[derive(Clone, Default)]
pub struct DiscardPool(Rc<PoolState>);

#[derive(Default)]
struct PoolState {
    /// Bytes that are left; none if they are not limited.
    left: Option<Cell<usize>>,
    limited: Option<IntCounterVec>,
}

/// Permission to discard a body; dropping it returns the bytes.
pub struct DiscardPermit {
    pool: DiscardPool,
    bytes: usize,
}

impl DiscardPool {
    /// A pool of `bytes` that counts in `limited` how often it is empty.
    #[must_use]
    pub fn new(bytes: usize, limited: IntCounterVec) -> Self {
        Self(Rc::new(PoolState {
            left: Some(Cell::new(bytes)),
            limited: Some(limited),
        }))
    }

    /// Takes the bytes that a body may still send.
    #[must_use]
    pub fn take(&self, bytes: usize) -> Option<DiscardPermit> {
        if let Some(left) = &self.0.left {
            let Some(rest) = left.get().checked_sub(bytes) else {
                if let Some(limited) = &self.0.limited {
                    limited.with_label_values(&["discard"]).inc();
                }
                return None;
            };
            left.set(rest);
        }
        let pool = self.clone();
        Some(DiscardPermit { pool, bytes })
    }
}

impl Drop for DiscardPermit {
    fn drop(&mut self) {
        if let Some(left) = &self.pool.0.left {
            left.set(left.get() + self.bytes);
        }
    }
}

/// An open connection; dropping it ends its count.
pub struct ConnectionEntry {
    limit: ConnectionLimit,
    number: u64,
}

impl ConnectionLimit {
    /// Allows `most` connections.
    #[must_use]
    pub fn new(most: usize, discards: DiscardPool, limited: IntCounterVec) -> Self {
        Self(Rc::new(LimitState {
            most: Some(most),
            discards,
            limited: Some(limited),
            ..LimitState::default()
        }))
    }

    /// The pool of the bytes that refused bodies may still send.
    #[must_use]
    pub fn discards(&self) -> DiscardPool {
        self.0.discards.clone()
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.borrow().len()
    }

    /// Whether there are as many connections as allowed.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let state = &self.0;
        state
            .most
            .is_some_and(|most| state.open.borrow().len() >= most)
    }

    /// Whether there are as many connections beyond the allowed ones as there may be.
    fn is_exceeded(&self) -> bool {
        let most = self.0.most;
        most.is_some_and(|most| self.open() >= most + (most / EXCESS_DIVISOR).max(1))
    }

    /// Counts a connection with this timer. If there are too many, closes the one that has waited longest
    /// for its client. Returns none if all others are being served, or if too many of those that were to be
    /// closed for earlier connections still are.
    #[must_use]
    pub fn admit(&self, timer: &Rc<ConnectionTimer>) -> Option<ConnectionEntry> {
        let state = &self.0;
        if self.is_exceeded() {
            self.record_closed();
            return None;
        }
        if self.is_full() {
            let open = state.open.borrow();
            let waiting = open.iter();
            let waiting =
                waiting.filter_map(|(number, timer)| Some((*number, timer.waits_since()?)));
            let victim = longest_waiting(waiting);
            self.record_closed();
            let victim = victim.and_then(|number| open.get(&number));
            victim?.close();
        }
        let number = state.accepted.get() + 1;
        state.accepted.set(number);
        state.open.borrow_mut().insert(number, timer.clone());
        let limit = self.clone();
        Some(ConnectionEntry { limit, number })
    }

    /// Counts a connection that is closed, and logs the first one.
    fn record_closed(&self) {
        let state = &self.0;
        state.closed.set(state.closed.get() + 1);
        if let Some(limited) = &state.limited {
            limited.with_label_values(&["connections"]).inc();
        }
        if !state.is_exhausted.replace(true) {
            let open = state.open.borrow().len();
            log::warn!(open; "no more connections are allowed; those that wait longest are closed");
        }
    }
}

impl ConnectionEntry {
    /// Limit that counts the connection.
    #[must_use]
    pub fn limit(&self) -> &ConnectionLimit {
        &self.limit
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        let state = &self.limit.0;
        let mut open = state.open.borrow_mut();
        open.remove(&self.number);
        let is_calm = state.most.is_some_and(|most| open.len() <= most / 2);
        if is_calm && state.is_exhausted.replace(false) {
            let closed = state.closed.take();
            log::info!(open = open.len(), closed; "connections are allowed again");
        }
    }
}
