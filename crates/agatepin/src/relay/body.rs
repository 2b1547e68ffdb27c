//! Response bodies for callers: either complete or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Maximum number of parts of a streamed body that are queued for a slow caller; while the queue is
/// full, the upstream is not read.
pub const BODY_QUEUE_PARTS: usize = 16;

/// Error of a streamed body whose upstream's answer broke off. The caller's connection is closed, so that the answer does not
/// look complete.
#[derive(Debug)]
pub struct BrokenBody;

impl std::fmt::Display for BrokenBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the upstream's answer broke off")
    }
}

impl std::error::Error for BrokenBody {}

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// A complete body; `None` if the body is empty or has been sent.
    Whole(Option<Bytes>),
    /// A streamed body, whose parts come from the task that reads the upstream.
    Parts(mpsc::Receiver<Result<Bytes, BrokenBody>>),
}

impl From<Bytes> for ReplyBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => {
                let part = std::task::ready!(parts.poll_recv(cx));
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
