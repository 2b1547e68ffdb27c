//! Bodies of callers' requests. What a handler leaves of a body is read and discarded, so that the
//! connection stays in use: a close with unread input resets the connection, and the caller may then
//! lose the answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::EXPECT;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::relay::connection_limit::{DiscardPermit, DiscardPool};
use crate::relay::connection_timer::{GuardedBody, RequestGuard};

/// Largest part of a body that is discarded, in bytes; after it the connection is closed.
const DISCARD_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which a body is discarded; after it the connection is closed.
const DISCARD_TIME: Duration = Duration::from_secs(3);

/// Body of a caller's request. Dropping it before its end leaves the rest to [`BodyDiscarder`].
pub struct CallerBody {
    /// Body as hyper reads it; `None` once it is dropped.
    incoming: Option<Incoming>,
    /// The caller sends the body only after `100 Continue`, which reading the body sends.
    awaits_continue: bool,
    unread: UnreadInput,
    guard: Rc<RequestGuard>,
}

/// Unread rest of a body. The request lasts until it is discarded.
type UnreadBody = GuardedBody<Incoming, (Rc<RequestGuard>, DiscardPermit)>;

/// Handle by which the requests of one connection report the input that they leave unread.
#[derive(Clone)]
pub struct UnreadInput {
    bodies: mpsc::UnboundedSender<UnreadBody>,
    /// Set if unread input cannot be discarded.
    must_close: Rc<Cell<bool>>,
    /// Bytes that all connections may still discard.
    discards: DiscardPool,
}

/// Discards the bodies that the requests of one connection leave unread.
pub struct BodyDiscarder {
    bodies: mpsc::UnboundedReceiver<UnreadBody>,
    must_close: Rc<Cell<bool>>,
}

impl UnreadInput {
    /// Creates the handle and the discarder of a connection, which takes from `discards` what a body may
    /// still send.
    #[must_use]
    pub fn channel(discards: DiscardPool) -> (Self, BodyDiscarder) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let must_close = Rc::new(Cell::new(false));
        let discarder = BodyDiscarder {
            bodies: receiver,
            must_close: must_close.clone(),
        };
        let unread = Self {
            bodies: sender,
            must_close,
            discards,
        };
        (unread, discarder)
    }

    /// Whether the connection has unread input and cannot serve another request.
    #[must_use]
    pub fn must_close(&self) -> bool {
        self.must_close.get()
    }

    /// Wraps the body of a request of the connection.
    #[must_use]
    pub fn watch(
        &self,
        request: Request<Incoming>,
        guard: Rc<RequestGuard>,
    ) -> Request<CallerBody> {
        let awaits_continue = request.headers().contains_key(EXPECT);
        guard.record_body(request.body().is_end_stream());
        request.map(|incoming| CallerBody {
            incoming: Some(incoming),
            awaits_continue,
            unread: self.clone(),
            guard,
        })
    }
}

impl BodyDiscarder {
    /// Discards unread bodies, each within limits of size and time. Never returns.
    pub async fn run(mut self) -> Infallible {
        while let Some(body) = self.bodies.recv().await {
            if !matches!(timeout(DISCARD_TIME, discard(body)).await, Ok(true)) {
                self.must_close.set(true);
            }
        }
        std::future::pending().await
    }
}

/// Reads a body to its end. Returns false if it breaks off or is too large.
async fn discard(body: UnreadBody) -> bool {
    let mut body = Limited::new(body, DISCARD_BYTES);
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let body = self.get_mut();
        body.awaits_continue = false;
        let Some(incoming) = &mut body.incoming else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(&mut *incoming).poll_frame(cx));
        if matches!(frame, Some(Err(_))) {
            body.unread.must_close.set(true);
        }
        body.guard
            .record_body(frame.is_none() || incoming.is_end_stream());
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let incoming = self.incoming.as_ref();
        incoming.map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        if incoming.is_end_stream() {
            return;
        }
        if self.awaits_continue {
            self.unread.must_close.set(true);
            return;
        }
        let rest = usize::try_from(incoming.size_hint().lower()).unwrap_or(DISCARD_BYTES);
        let is_known = incoming.size_hint().exact().is_some();
        let rest = if is_known { rest } else { DISCARD_BYTES };
        let Some(permit) = self.unread.discards.take(rest.min(DISCARD_BYTES)) else {
            self.unread.must_close.set(true);
            return;
        };
        let guard = (self.guard.clone(), permit);
        let body = GuardedBody {
            body: incoming,
            guard,
        };
        // The connection has ended if its discarder is gone.
        let _ = self.unread.bodies.send(body);
    }
}
