//! What an entry may hold for its callers, derived from the memory and the descriptors of its machine,
//! and which connection is closed when there are too many.

use std::time::Instant;

/// Memory of the machine where the settings do not state it, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;
/// Descriptors of the process where the settings do not state them.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Part of the memory for bodies and answers; the other parts are for connections, for the fleet's
/// state and code, and for what the allocator cannot reuse.
const BODY_SHARE_DIVISOR: usize = 4;
/// Part of the memory for callers' connections.
const CONNECTION_SHARE_DIVISOR: usize = 4;
/// Memory of one connection in bytes: a head of 15 KiB was measured to take 45 KiB with its task.
const CONNECTION_BYTES: usize = 48 * 1024;
/// Descriptors that are kept for files, the store, the overlay and the listeners.
const RESERVED_DESCRIPTORS: usize = 200;
/// Smallest number of descriptors for connections, where the settings leave fewer.
const MIN_DESCRIPTORS: usize = 64;
/// Part of the memory that the refused bodies may still send together while they are discarded. They are
/// not kept; each takes the entry's time and its link.
const DISCARD_SHARE_DIVISOR: usize = 2;

value_type! {
    /// What an entry may hold for its callers.
    #[derive(Copy)]
    pub struct EntryLimits {
        /// Bytes of bodies and answers.
        pub body_bytes: usize,
        /// Connections of callers.
        pub connections: usize,
        /// Connections to each of the other listeners: readiness, directory and metrics.
        pub queries: usize,
        /// Bytes that all refused bodies in progress may still send.
        pub discard_bytes: usize,
    }
}

impl EntryLimits {
    /// Limits for a machine with `memory_bytes` and a process with `descriptors`; 0 where the settings do
    /// not state the number.
    #[must_use]
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let or_default = |stated: usize, default: usize| match stated {
            0 => default,
            stated => stated,
        };
        let memory_bytes = or_default(memory_bytes, DEFAULT_MEMORY_BYTES);
        let descriptors = or_default(descriptors, DEFAULT_DESCRIPTORS);
        let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let usable = usable.max(MIN_DESCRIPTORS);
        let in_memory = memory_bytes / CONNECTION_SHARE_DIVISOR / CONNECTION_BYTES;
        Self {
            body_bytes: memory_bytes / BODY_SHARE_DIVISOR,
            // A fourth is left for connections to upstreams, of which each request in progress has one.
            connections: (usable / 8 * 5).min(in_memory).max(1),
            queries: usable / 16,
            discard_bytes: memory_bytes / DISCARD_SHARE_DIVISOR,
        }
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self::new(0, 0)
    }
}

/// The connection to close for a new one: the one that has waited longest. `waiting` has each
/// connection that waits for its client, and since when; connections that are being served are left out.
#[must_use]
pub fn longest_waiting<Id>(waiting: impl Iterator<Item = (Id, Instant)>) -> Option<Id> {
    let longest = waiting.min_by_key(|(_, since)| *since);
    longest.map(|(id, _)| id)
}
