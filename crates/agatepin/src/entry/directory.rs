//! The latest state of each agent that an entry is linked to.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agatepin_core::ids::InstanceId;
use tokio::sync::watch;

use crate::wire::frames::AgentState;

/// Agent states by instance name.
pub type AgentStates = BTreeMap<InstanceId, AgentState>;

/// Holds the latest state of each linked agent; clones share it.
#[derive(Clone, Debug)]
pub struct AgentDirectory {
    states: Arc<Mutex<AgentStates>>,
    /// Number of changes of `states` so far; tasks subscribe to it to wait for a change.
    changes: watch::Sender<u64>,
}

impl Default for AgentDirectory {
    fn default() -> Self {
        Self {
            states: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl AgentDirectory {
    /// Stores a state, unless one of the same incarnation with the same or a higher sequence number
    /// is stored already.
    pub fn update(&self, state: AgentState) {
        let mut states = self.lock();
        let known = states.get(&state.instance);
        let outdated = known.is_some_and(|known| {
            known.incarnation == state.incarnation && known.number >= state.number
        });
        if outdated {
            return;
        }
        states.insert(state.instance.clone(), state);
        drop(states);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Removes the state of an agent whose link was lost, unless the stored state is of another
    /// incarnation.
    pub fn remove(&self, instance: &str, incarnation: u64) {
        let mut states = self.lock();
        let same = states
            .get(instance)
            .is_some_and(|state| state.incarnation == incarnation);
        if !same {
            return;
        }
        states.remove(instance);
        drop(states);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Calls `read` with all states and returns its result. The directory is locked meanwhile.
    pub fn read<Output, Read>(&self, read: Read) -> Output
    where
        Read: FnOnce(&AgentStates) -> Output,
    {
        read(&self.lock())
    }

    /// Returns a receiver that is notified after each change; the value counts the changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, AgentStates> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
