//! Weighted fair queueing of calls that wait for an upstream.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::ids::CustomerId;

/// Virtual time that one call of a customer of weight 1 takes.
const CALL_COST: u64 = 1 << 20;

key_type! {
    /// Place in the queue; the lowest goes first.
    pub struct QueuePlace {
        priority: Reverse<u32>,
        finish: u64,
        number: u64,
    }
}

value_type! {
    /// Whose call waits, and how long it may.
    pub struct QueueParams {
        /// Customer.
        pub customer: CustomerId,
        /// Share relative to other customers; 0 counts as 1.
        pub weight: u32,
        /// Higher goes first.
        pub priority: u32,
        /// When the call is shed.
        pub deadline: Instant,
    }
}

/// Whose share a call takes: priority and customer.
type ShareKey = (u32, CustomerId);

#[derive(Debug)]
struct WaitingCall<Item> {
    deadline: Instant,
    key: ShareKey,
    cost: u64,
    item: Item,
}

/// Bounded queue that shares by customer weight within each priority.
#[derive(Debug)]
pub struct FairQueue<Item> {
    capacity: usize,
    waiting: BTreeMap<QueuePlace, WaitingCall<Item>>,
    finishes: HashMap<ShareKey, u64>,
    /// Virtual time by priority.
    clocks: HashMap<u32, u64>,
    numbers: u64,
}

impl<Item> FairQueue<Item> {
    /// A queue for at most `capacity` calls.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            waiting: BTreeMap::new(),
            finishes: HashMap::new(),
            clocks: HashMap::new(),
            numbers: 0,
        }
    }

    /// Adds a call. A full queue sheds the call that would go last, which is returned; it has not
    /// run.
    pub fn push(&mut self, params: &QueueParams, item: Item) -> Option<Item> {
        let call = WaitingCall {
            deadline: params.deadline,
            key: (params.priority, params.customer.clone()),
            cost: CALL_COST / u64::from(params.weight.max(1)),
            item,
        };
        let place = self.place(&call);
        self.waiting.insert(place, call);
        if self.waiting.len() <= self.capacity {
            return None;
        }
        let (_, call) = self.waiting.pop_last()?;
        Some(self.give_back(call))
    }

    /// Takes the call that goes first.
    pub fn pop(&mut self) -> Option<Item> {
        let (place, call) = self.waiting.pop_first()?;
        self.clocks.insert(place.priority.0, place.finish);
        if self.waiting.is_empty() {
            self.finishes.clear();
        }
        Some(call.item)
    }

    /// Sheds the calls whose deadline has passed; they have not run.
    pub fn expire(&mut self, now: Instant) -> Vec<Item> {
        let expired = self.waiting.extract_if(.., |_, call| call.deadline <= now);
        let calls: Vec<WaitingCall<Item>> = expired.map(|(_, call)| call).collect();
        let mut items = Vec::new();
        for call in calls {
            items.push(self.give_back(call));
        }
        items
    }

    /// Calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn place(&mut self, call: &WaitingCall<Item>) -> QueuePlace {
        let priority = call.key.0;
        let clock = self.clocks.get(&priority).copied().unwrap_or(0);
        let last = self.finishes.get(&call.key).copied().unwrap_or(0);
        let finish = last.max(clock) + call.cost;
        self.finishes.insert(call.key.clone(), finish);
        self.numbers += 1;
        QueuePlace {
            priority: Reverse(priority),
            finish,
            number: self.numbers,
        }
    }

    /// Takes a call that has not run off its customer's share.
    fn give_back(&mut self, call: WaitingCall<Item>) -> Item {
        if let Some(finish) = self.finishes.get_mut(&call.key) {
            *finish = finish.saturating_sub(call.cost);
        }
        call.item
    }
}
