//! Splits an event stream into complete events, so that another upstream can resume it after a
//! failure.

use bytes::{Bytes, BytesMut};

/// Id of an event; consecutive events of a stream have consecutive ids.
pub type EventId = u64;

/// Maximum size of one event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of consecutive events without an id, in bytes.
pub const MAX_UNNUMBERED_BYTES: usize = 64 * 1024;

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
        /// The events since the last one with an id are longer than [`MAX_UNNUMBERED_BYTES`].
        Unnumbered,
        /// What was received between two events has a line that is no field of an event.
        Malformed,
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
    /// Start of the first line of `buffer` that is not complete.
    line_start: usize,
    /// Length of the part of `buffer` that was searched for the end of an event.
    searched: usize,
    /// Size of the events since the last one with an id, in bytes.
    unnumbered: usize,
    /// Id of the last event that was forwarded to the caller; `None` if none had an id.
    last_forwarded: Option<EventId>,
    /// The stream goes on after `last_forwarded`, and its next event has not been received yet.
    awaits_next: bool,
    /// Error that follows the events returned last; no more bytes are taken.
    error: Option<EventError>,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose caller has received all events up to `last`.
    #[must_use]
    pub fn after(last: Option<EventId>) -> Self {
        Self {
            last_forwarded: last,
            awaits_next: last.is_some(),
            ..Self::default()
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
        self.buffer.is_empty() && self.error.is_none()
    }

    /// Error that the next call of [`Self::push`] returns.
    #[must_use]
    pub fn error(&self) -> Option<&EventError> {
        self.error.as_ref()
    }

    /// Discards the incomplete event that a failed upstream left in the buffer.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.reset_search();
    }

    /// Appends received bytes and returns the events that are now complete. Events up to the last
    /// forwarded one are skipped, and so are events without an id before the first event after it:
    /// nothing shows that they belong to the same stream.
    ///
    /// # Errors
    /// Returns [`EventError::Gap`] if an event id shows that events are missing,
    /// [`EventError::Malformed`] if an event without an id is none, and [`EventError::TooLong`] or
    /// [`EventError::Unnumbered`] if the stream does not look as if another numbered event would
    /// come. Complete events before the error are returned first.
    pub fn push(&mut self, data: &[u8]) -> Result<EventBatch, EventError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        self.buffer.extend_from_slice(data);
        let mut batch = EventBatch {
            bytes: Bytes::new(),
            events: 0,
        };
        let mut out = BytesMut::new();
        self.error = self.split(&mut out, &mut batch.events).err();
        batch.bytes = out.freeze();
        match &self.error {
            Some(error) if batch.events == 0 => Err(error.clone()),
            _ => Ok(batch),
        }
    }

    /// Appends the complete events of the buffer to `out`, and adds their number to `events`.
    fn split(&mut self, out: &mut BytesMut, events: &mut usize) -> Result<(), EventError> {
        while let Some(length) = self.event_length() {
            let event = self.buffer.split_to(length);
            self.reset_search();
            let id = event_id(&event);
            self.unnumbered = match id {
                Some(_) => 0,
                None => self.unnumbered + length,
            };
            if self.unnumbered > MAX_UNNUMBERED_BYTES {
                return Err(EventError::Unnumbered);
            }
            if let (Some(got), Some(after)) = (id, self.last_forwarded) {
                if got <= after {
                    continue;
                }
                if got != after + 1 {
                    return Err(EventError::Gap { after, got });
                }
                self.awaits_next = false;
            }
            if self.awaits_next {
                continue;
            }
            if id.is_none() && !has_only_fields(&event) {
                return Err(EventError::Malformed);
            }
            self.last_forwarded = id.or(self.last_forwarded);
            out.extend_from_slice(&event);
            *events += 1;
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(())
    }

    /// Length of the first complete event, including the empty line that ends it. Bytes that were
    /// searched before are not searched again, as a long event may arrive in many small parts.
    fn event_length(&mut self) -> Option<usize> {
        let is_feed = |byte: &u8| *byte == b'\n';
        while let Some(offset) = self.buffer[self.searched..].iter().position(is_feed) {
            let line_end = self.searched + offset + 1;
            let line = &self.buffer[self.line_start..line_end];
            let is_empty = line == b"\n" || line == b"\r\n";
            self.line_start = line_end;
            self.searched = line_end;
            if is_empty && line_end > 1 {
                return Some(line_end);
            }
        }
        self.searched = self.buffer.len();
        None
    }

    /// Forgets the positions in the buffer after its start was removed.
    fn reset_search(&mut self) {
        self.line_start = 0;
        self.searched = 0;
    }
}

/// Whether each line of an event is empty, a comment, or a field with a name in lower case: the text or
/// the head of another answer is not.
fn has_only_fields(event: &[u8]) -> bool {
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
    event.split(|byte| *byte == b'\n').all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let name = parts.next().unwrap_or_default();
        line.is_empty() || (parts.next().is_some() && name.iter().all(is_name))
    })
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
