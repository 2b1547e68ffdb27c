//! Weighted fair queueing of calls that wait for an upstream.
//!
//! Within a priority, calls leave the queue in the order of their virtual finish times. A call's
//! virtual finish time is its cost added to that of the customer's previous call, or to the current
//! virtual time if that is later. The greater the customer's weight, the lower the cost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::ids::CustomerId;

/// Cost of one call of a customer with weight 1, in units of virtual time.
const CALL_COST: u64 = 1 << 20;

key_type! {
    /// Position in the queue; the lowest leaves first.
    pub struct QueuePosition {
        /// Priority of the call, highest first.
        priority: Reverse<u32>,
        /// Virtual finish time.
        finish_time: u64,
        /// Sequence number of the call's arrival, which decides between equal finish times.
        arrival: u64,
    }
}

value_type! {
    /// Parameters that decide when a waiting call leaves the queue.
    pub struct QueueParams {
        /// Customer that made the call.
        pub customer: CustomerId,
        /// Share of the queue's service that the customer gets, relative to customers with calls of
        /// the same priority; 0 counts as 1.
        pub weight: u32,
        /// Calls of a higher priority leave first, whatever their share.
        pub priority: u32,
        /// Time from which the call is removed from the queue without being run.
        pub deadline: Instant,
    }
}

/// Priority and customer. Calls with the same key share one sequence of virtual finish times.
type ShareKey = (u32, CustomerId);

#[derive(Debug)]
struct WaitingCall<Item> {
    /// Time from which the call is removed without being run.
    deadline: Instant,
    /// Priority and customer of the call.
    key: ShareKey,
    /// Cost of the call in units of virtual time; lower for a customer with a greater weight.
    cost: u64,
    /// What the caller of the queue passed for the call and gets back.
    item: Item,
}

/// Bounded queue that serves customers in proportion to their weights, within each priority.
#[derive(Debug)]
pub struct FairQueue<Item> {
    /// Maximum number of waiting calls.
    capacity: usize,
    waiting_calls: BTreeMap<QueuePosition, WaitingCall<Item>>,
    /// Virtual finish time of each customer's last call of each priority.
    finish_times: HashMap<ShareKey, u64>,
    /// Current virtual time by priority: the finish time of the call popped last.
    virtual_times: HashMap<u32, u64>,
    /// Arrival sequence number of the call that was pushed last; 0 before the first call.
    last_arrival: u64,
}

impl<Item> FairQueue<Item> {
    /// Returns an empty queue for at most `capacity` calls.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            waiting_calls: BTreeMap::new(),
            finish_times: HashMap::new(),
            virtual_times: HashMap::new(),
            last_arrival: 0,
        }
    }

    /// Adds a call. A full queue removes the call that would leave last, possibly the new one, and
    /// returns its item; that call has not run.
    pub fn push(&mut self, params: &QueueParams, item: Item) -> Option<Item> {
        let call = WaitingCall {
            deadline: params.deadline,
            key: (params.priority, params.customer.clone()),
            cost: CALL_COST / u64::from(params.weight.max(1)),
            item,
        };
        let position = self.assign_position(&call);
        self.waiting_calls.insert(position, call);
        if self.waiting_calls.len() <= self.capacity {
            return None;
        }
        let (_, call) = self.waiting_calls.pop_last()?;
        Some(self.refund(call))
    }

    /// Removes the call that leaves the queue first and returns its item; `None` if the queue is
    /// empty.
    pub fn pop(&mut self) -> Option<Item> {
        let (position, call) = self.waiting_calls.pop_first()?;
        self.virtual_times
            .insert(position.priority.0, position.finish_time);
        if self.waiting_calls.is_empty() {
            self.finish_times.clear();
        }
        Some(call.item)
    }

    /// Removes the calls whose deadline has passed and returns their items; these calls have not
    /// run.
    pub fn expire(&mut self, now: Instant) -> Vec<Item> {
        let expired = self
            .waiting_calls
            .extract_if(.., |_, call| call.deadline <= now);
        let calls: Vec<WaitingCall<Item>> = expired.map(|(_, call)| call).collect();
        let mut items = Vec::new();
        for call in calls {
            items.push(self.refund(call));
        }
        items
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting_calls.len()
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting_calls.is_empty()
    }

    fn assign_position(&mut self, call: &WaitingCall<Item>) -> QueuePosition {
        let priority = call.key.0;
        let virtual_time = self.virtual_times.get(&priority).copied().unwrap_or(0);
        let last_finish = self.finish_times.get(&call.key).copied().unwrap_or(0);
        let finish_time = last_finish.max(virtual_time) + call.cost;
        self.finish_times.insert(call.key.clone(), finish_time);
        self.last_arrival += 1;
        QueuePosition {
            priority: Reverse(priority),
            finish_time,
            arrival: self.last_arrival,
        }
    }

    /// Subtracts the cost of a call that has not run from its customer's finish time, which stays that of
    /// the customer's last waiting call at least, so that later calls do not overtake it.
    fn refund(&mut self, call: WaitingCall<Item>) -> Item {
        let others = self.waiting_calls.iter();
        let others = others.filter(|(_, other)| other.key == call.key);
        let last = others.map(|(position, _)| position.finish_time).max();
        if let Some(finish_time) = self.finish_times.get_mut(&call.key) {
            let refunded = finish_time.saturating_sub(call.cost);
            *finish_time = refunded.max(last.unwrap_or(0));
        }
        call.item
    }
}
