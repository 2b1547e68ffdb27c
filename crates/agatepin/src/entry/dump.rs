//! The state of an entry as shown in `/dump`.

use serde_json::{Value, json};

use super::calls::EntryShared;

impl EntryShared {
    /// Returns the open calls, late replies, number of queued calls and states of the linked agents
    /// as JSON.
    #[must_use]
    pub fn dump(&self) -> Value {
        let identity = &self.context.identity;
        json!({
            "instance": identity.instance,
            "incarnation": identity.incarnation,
            "config_revision": self.context.config.borrow().revision,
            "leaving": self.context.leaving.is_cancelled(),
            "open_calls": self.calls.dump(),
            "late_replies": self.calls.late_replies(),
            "waiting": self.placement.waiting(),
            "agents": self.links.dump(),
        })
    }
}
