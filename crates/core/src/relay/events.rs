//! Splits a stream into whole events, so that it can go on at another upstream.

use bytes::{Bytes, BytesMut};

/// Number of an event within its stream.
pub type EventId = u64;

/// Most bytes of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

value_type! {
    /// Whole events that may be passed on.
    pub struct EventBatch {
        /// Their bytes.
        pub bytes: Bytes,
        /// Events in it.
        pub events: usize,
    }

    /// Why a stream cannot go on.
    pub enum EventError {
        /// An event is longer than [`MAX_EVENT_BYTES`].
        TooLong,
        /// An event is missing.
        Gap {
            /// Number of the event before.
            after: EventId,
            /// Number of the event that came.
            got: EventId,
        },
    }
}

/// Cuts a stream of bytes into events, and leaves out events that were passed on before.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last: Option<EventId>,
}

impl EventSplitter {
    /// A splitter for a stream whose caller has all events up to `last`.
    #[must_use]
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            pending: BytesMut::new(),
            last,
        }
    }

    /// Number of the last event that was passed on.
    #[must_use]
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Whether no part of an event is held back.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forgets the part of an event that a broken upstream left.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes, and gives the whole events among them.
    ///
    /// # Errors
    /// An event is too long, or its number shows that one is missing.
    pub fn push(&mut self, data: &[u8]) -> Result<EventBatch, EventError> {
        self.pending.extend_from_slice(data);
        let mut out = BytesMut::new();
        let mut events = 0;
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            let number = event_number(&event);
            if let (Some(got), Some(after)) = (number, self.last) {
                if got <= after {
                    continue;
                }
                if got != after + 1 {
                    return Err(EventError::Gap { after, got });
                }
            }
            self.last = number.or(self.last);
            out.extend_from_slice(&event);
            events += 1;
        }
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(EventBatch {
            bytes: out.freeze(),
            events,
        })
    }
}

/// Length of the first event with the empty line that ends it.
fn event_end(data: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (index, byte) in data.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &data[line..index];
        if index > 0 && (text.is_empty() || text == b"\r") {
            return Some(index + 1);
        }
        line = index + 1;
    }
    None
}

fn event_number(event: &[u8]) -> Option<EventId> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
