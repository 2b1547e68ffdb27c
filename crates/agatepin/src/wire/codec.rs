//! Codec of length-delimited protobuf frames, with traffic counters.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use agatepin_core::value_type;
use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::frames::{Frame, frame::Body};

/// Longest frame in bytes, without the length prefix. Large enough for a chunk, or a call with its
/// body, and the other fields of the frame.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// Longest frame in bytes, without the length prefix, until the introduction (the `Hello`/`Welcome`
/// handshake) has ended.
pub const MAX_INTRODUCTION_BYTES: usize = 64 * 1024;

/// Size of the length prefix of a frame in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

value_type! {
    /// Bytes and frames sent and received on a link, heartbeats and introduction included.
    #[derive(Copy, Default)]
    pub struct TrafficCounts {
        /// Bytes sent, length prefixes included; without TLS overhead.
        pub sent_bytes: u64,
        /// Number of frames that were encoded for sending.
        pub sent_frames: u64,
        /// Bytes received, length prefixes included; without TLS overhead.
        pub received_bytes: u64,
        /// Number of frames received, those that cannot be decoded included.
        pub received_frames: u64,
    }
}

/// Counts the traffic of a link; clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter {
    /// Counters of the frames that this process sends.
    sent: Arc<DirectionMeter>,
    /// Counters of the frames that this process receives.
    received: Arc<DirectionMeter>,
}

/// Counts the bytes, length prefixes included, and the frames of a link in one direction.
#[derive(Debug, Default)]
struct DirectionMeter {
    bytes: AtomicU64,
    frames: AtomicU64,
}

impl DirectionMeter {
    fn count(&self, payload_bytes: usize) {
        let bytes = (payload_bytes + LENGTH_PREFIX_BYTES) as u64;
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
    }
}

impl TrafficMeter {
    /// Returns the traffic since the link was opened.
    #[must_use]
    pub fn counts(&self) -> TrafficCounts {
        let load = |value: &AtomicU64| value.load(Ordering::Relaxed);
        TrafficCounts {
            sent_bytes: load(&self.sent.bytes),
            sent_frames: load(&self.sent.frames),
            received_bytes: load(&self.received.bytes),
            received_frames: load(&self.received.frames),
        }
    }
}

impl std::ops::AddAssign for TrafficCounts {
    fn add_assign(&mut self, other: Self) {
        self.sent_bytes += other.sent_bytes;
        self.sent_frames += other.sent_frames;
        self.received_bytes += other.received_bytes;
        self.received_frames += other.received_frames;
    }
}

/// Encodes and decodes the bodies of frames.
///
/// Byte fields of a received frame are slices of the receive buffer and are not copied.
#[derive(Debug)]
pub struct FrameCodec {
    /// Splits the byte stream into frames by their length prefixes; enforces the maximum length.
    lengths: LengthDelimitedCodec,
    /// Counts the frames of both directions.
    meter: TrafficMeter,
}

impl FrameCodec {
    /// Returns the meter that counts all frames of this codec.
    #[must_use]
    pub fn meter(&self) -> &TrafficMeter {
        &self.meter
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::with_limit(MAX_FRAME_BYTES)
    }
}

impl FrameCodec {
    /// Creates a codec for the introduction: frames above [`MAX_INTRODUCTION_BYTES`] are errors.
    #[must_use]
    pub fn introduction() -> Self {
        Self::with_limit(MAX_INTRODUCTION_BYTES)
    }

    /// Ends the introduction: allows frames up to [`MAX_FRAME_BYTES`].
    pub fn end_introduction(&mut self) {
        self.lengths.set_max_frame_length(MAX_FRAME_BYTES);
    }

    fn with_limit(limit: usize) -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(limit)
            .new_codec();
        Self {
            lengths,
            meter: TrafficMeter::default(),
        }
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = std::io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Body>, Self::Error> {
        let Some(bytes) = self.lengths.decode(src)? else {
            return Ok(None);
        };
        self.meter.received.count(bytes.len());
        let frame = Frame::decode(bytes.freeze()).map_err(std::io::Error::other)?;
        let body = frame
            .body
            .ok_or_else(|| std::io::Error::other("frame has no body, or one of an unknown type"))?;
        Ok(Some(body))
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = std::io::Error;

    fn encode(&mut self, body: Body, dst: &mut BytesMut) -> Result<(), Self::Error> {
        let frame = Frame { body: Some(body) };
        let bytes = Bytes::from(frame.encode_to_vec());
        self.meter.sent.count(bytes.len());
        self.lengths.encode(bytes, dst)
    }
}
