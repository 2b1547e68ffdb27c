//! Splits an event stream into complete events, so that another upstream can resume it after a
//! failure.

use bytes::{Bytes, BytesMut};

/// Id of an event; consecutive events of a stream have consecutive ids.
pub type EventId = u64;

/// Maximum size of one event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

value_type! {
    /// Complete events to forward to the caller.
    pub struct EventBatch {
        /// The events as received, concatenated.
        pub bytes: Bytes,
        /// Number of events in `bytes`.
        pub events: usize,
    }

    /// Why a stream cannot be continued.
    pub enum EventError {
        /// An incomplete event is longer than [`MAX_EVENT_BYTES`].
        TooLong,
        /// One or more events are missing between two received ones.
        Gap {
            /// Id of the last event before the gap.
            after: EventId,
            /// Id of the event that was received instead of the next one.
            got: EventId,
        },
    }
}

/// Splits a byte stream into events, and skips the events that were forwarded before.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the event that is not complete yet.
    buffer: BytesMut,
    /// Id of the last event that was forwarded to the caller; `None` if none had an id.
    last_forwarded: Option<EventId>,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose caller has received all events up to `last`.
    #[must_use]
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_forwarded: last,
        }
    }

    /// Id of the last event that was forwarded to the caller, by this splitter or before this
    /// splitter was created; `None` if none had an id.
    #[must_use]
    pub fn last(&self) -> Option<EventId> {
        self.last_forwarded
    }

    /// Whether no incomplete event is buffered.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards the incomplete event that a failed upstream left in the buffer.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }

    /// Appends received bytes and returns the events that are now complete. Events up to the last
    /// forwarded one are skipped, and an event without an id is always returned.
    ///
    /// # Errors
    /// Returns [`EventError::Gap`] if an event id shows that events are missing, and
    /// [`EventError::TooLong`] if an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, data: &[u8]) -> Result<EventBatch, EventError> {
        self.buffer.extend_from_slice(data);
        let mut out = BytesMut::new();
        let mut events = 0;
        while let Some(length) = event_length(&self.buffer) {
            let event = self.buffer.split_to(length);
            let id = event_id(&event);
            if let (Some(got), Some(after)) = (id, self.last_forwarded) {
                if got <= after {
                    continue;
                }
                if got != after + 1 {
                    return Err(EventError::Gap { after, got });
                }
            }
            self.last_forwarded = id.or(self.last_forwarded);
            out.extend_from_slice(&event);
            events += 1;
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(EventBatch {
            bytes: out.freeze(),
            events,
        })
    }
}

/// Length of the first complete event, including the empty line that ends it.
fn event_length(data: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in data.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &data[line_start..index];
        if index > 0 && (text.is_empty() || text == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Value of the event's `id` field, if it is a number.
fn event_id(event: &[u8]) -> Option<EventId> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
