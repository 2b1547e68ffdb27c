//! Time limits of callers' connections: for the time without a request, and for the time in which
//! the head of a request arrives.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, IoSlice, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::CallerTimeouts;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Time for which a connection is kept beyond its limit, for a request that is on its way.
const TRANSIT_TIME: Duration = Duration::from_secs(1);

/// Largest read from a connection, in bytes. The HTTP library sizes the read buffer that a connection keeps by
/// its largest reads.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Source of the time limits of callers' connections that are in force.
pub trait TimeoutSource: Clone + 'static {
    /// Time limits in force.
    fn timeouts(&self) -> CallerTimeouts;
}

/// Limits that stay the same.
impl TimeoutSource for CallerTimeouts {
    fn timeouts(&self) -> CallerTimeouts {
        *self
    }
}

/// What a connection waits for.
#[derive(Clone, Copy)]
enum TimerPhase {
    /// The end of a request: its body and its answer have limits of their own.
    Request,
    /// The first byte of a request's head.
    Idle,
    /// The rest of a request's head.
    Head,
}

/// Timer of one connection.
pub struct ConnectionTimer {
    phase: Cell<TimerPhase>,
    /// Number of requests that have begun.
    requests: Cell<u64>,
    /// Start of the phase, or the last progress of an answer that is still sent in it.
    since: Cell<Instant>,
    phase_changed: Notify,
    /// When the last part of a request's body arrived that is not complete.
    body_since: Cell<Option<Instant>>,
    /// Set if the connection is to be closed for another one.
    must_close: Cell<bool>,
    /// Set if the connection is to be closed after its next answer.
    is_last: Cell<bool>,
    /// Set while input is read that the runtime has not announced yet.
    reads_unannounced: Cell<bool>,
}

impl ConnectionTimer {
    /// Starts the timer of a new connection.
    #[must_use]
    pub fn start() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(TimerPhase::Idle),
            requests: Cell::new(0),
            since: Cell::new(Instant::now()),
            phase_changed: Notify::new(),
            body_since: Cell::new(None),
            must_close: Cell::new(false),
            is_last: Cell::new(false),
            reads_unannounced: Cell::new(false),
        })
    }

    /// Stops the timer while the guard, shared by a request's body and its answer, exists.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> Rc<RequestGuard> {
        let number = self.requests.get() + 1;
        self.requests.set(number);
        self.enter(TimerPhase::Request);
        Rc::new(RequestGuard {
            timer: self.clone(),
            number,
        })
    }

    /// Since when the connection waits for its client: for a request, the rest of a head or the next part
    /// of a body. None while a complete request is served.
    #[must_use]
    pub fn waits_since(&self) -> Option<Instant> {
        if self.must_close.get() {
            return None;
        }
        match self.phase.get() {
            TimerPhase::Request => self.body_since.get(),
            TimerPhase::Idle | TimerPhase::Head => Some(self.since.get()),
        }
    }

    /// Whether the connection waits for the first byte of a request, as far as input has been read.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.phase.get(), TimerPhase::Idle)
    }

    /// Whether a part of a request's head has arrived, and not all of it.
    #[must_use]
    pub fn has_partial_head(&self) -> bool {
        matches!(self.phase.get(), TimerPhase::Head)
    }

    /// Polls `serving`, which serves the timer's connection, once, and lets it read all input that has
    /// arrived. The runtime announces input only when it turns to the sockets, which may be long after its
    /// arrival where the process gets little processor time; without this, a connection with a request
    /// that waits to be read looks idle.
    pub async fn poll_with_arrived_input<Serving>(
        &self,
        serving: &mut Serving,
    ) -> Poll<Serving::Output>
    where
        Serving: Future + Unpin,
    {
        let was_idle = self.is_idle();
        let requests = self.requests.get();
        self.reads_unannounced.set(true);
        let polled = poll_fn(|cx| Poll::Ready(Pin::new(&mut *serving).poll(cx))).await;
        self.reads_unannounced.set(false);
        if was_idle && (!self.is_idle() || self.requests.get() > requests) {
            log::info!("request read at the close of its connection");
        }
        polled
    }

    /// Whether a request has arrived whole and is being answered.
    #[must_use]
    pub fn serves_request(&self) -> bool {
        matches!(self.phase.get(), TimerPhase::Request) && self.body_since.get().is_none()
    }

    /// Lets the connection answer the request that has arrived, and closes it after that answer.
    pub fn end_after_answer(&self) {
        self.must_close.set(false);
        self.is_last.set(true);
    }

    /// Whether the next answer is the last one.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.is_last.get()
    }

    /// Ends the connection, unless it turns out that a request has arrived.
    pub fn close(&self) {
        self.must_close.set(true);
        self.phase_changed.notify_one();
    }

    /// Records that a part of a body arrived that is not complete, or that its end did.
    pub fn record_body(&self, is_complete: bool) {
        let since = (!is_complete).then(Instant::now);
        self.body_since.set(since);
    }

    /// Whether the connection has exceeded one of `limits`, or is to be closed for another one.
    #[must_use]
    pub fn is_expired(&self, limits: CallerTimeouts) -> bool {
        let deadline = self.deadline(limits);
        self.must_close.get() || deadline.is_some_and(|deadline| deadline <= Instant::now())
    }

    /// Waits until the connection has exceeded a limit of `source`. Limits are read when a phase
    /// begins and when it would end: a limit that is lowered meanwhile does not shorten the phase,
    /// since the caller may not know the lower one yet.
    pub async fn expired<Source>(&self, source: &Source)
    where
        Source: TimeoutSource,
    {
        loop {
            let limits = source.timeouts();
            if self.is_expired(limits) {
                return;
            }
            let deadline = self.deadline(limits);
            let until_deadline = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.phase_changed.notified() => {}
                () = until_deadline => {}
            }
        }
    }

    /// Time at which the phase ends, if it is limited.
    fn deadline(&self, limits: CallerTimeouts) -> Option<Instant> {
        let limit = match self.phase.get() {
            TimerPhase::Request => return None,
            TimerPhase::Idle => limits.idle,
            TimerPhase::Head => limits.head,
        };
        Some(self.since.get() + limit + TRANSIT_TIME)
    }

    fn enter(&self, phase: TimerPhase) {
        self.phase.set(phase);
        self.body_since.set(None);
        self.since.set(Instant::now());
        self.phase_changed.notify_one();
    }
}

/// Guard of a request that is received or answered; its drop makes the connection idle.
pub struct RequestGuard {
    timer: Rc<ConnectionTimer>,
    /// Number of the request on its connection.
    number: u64,
}

impl RequestGuard {
    /// Records the progress of the request's body; see [`ConnectionTimer::record_body`].
    pub fn record_body(&self, is_complete: bool) {
        if self.timer.requests.get() == self.number {
            self.timer.record_body(is_complete);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // The next request may begin before the rest of this one's body is discarded.
        if self.timer.requests.get() == self.number {
            self.timer.enter(TimerPhase::Idle);
        }
    }
}

/// A caller's stream whose input and output drive the connection's timer.
pub struct TimedStream {
    /// Stream of the connection.
    pub stream: TcpStream,
    /// Timer of the connection.
    pub timer: Rc<ConnectionTimer>,
}

impl TimedStream {
    /// Postpones the end of an idle time while the end of an answer is still being sent.
    fn record_write(&self) {
        if self.timer.is_idle() {
            self.timer.since.set(Instant::now());
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let most = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
            Poll::Ready(read) => read?,
            Poll::Pending if self.timer.reads_unannounced.get() => {
                match (&*SockRef::from(&self.stream)).read(part.initialize_unfilled()) {
                    Ok(length) => part.advance(length),
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Poll::Pending,
                    Err(err) => return Poll::Ready(Err(err)),
                }
            }
            Poll::Pending => return Poll::Pending,
        }
        let length = part.filled().len();
        buf.advance(length);
        if self.timer.is_idle() && length > 0 {
            self.timer.enter(TimerPhase::Head);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.record_write();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.record_write();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A body that holds a guard until it is dropped.
pub struct GuardedBody<Content, Guard> {
    /// Body that is read.
    pub body: Content,
    /// Guard that is dropped with the body.
    pub guard: Guard,
}

impl<Content, Guard> Body for GuardedBody<Content, Guard>
where
    Content: Body + Unpin,
    Guard: Unpin,
{
    type Data = Content::Data;
    type Error = Content::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Content::Data>, Content::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
