//! TCP stream that withdraws its request when the exchange is given up.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes of an answer that are kept for the log.
const MAX_START_BYTES: usize = 48;

/// A stream that is reset when dropped before it was shut down. An ordinary close would leave the
/// rest of the send buffer to the kernel, which could deliver a request long after its sender gave
/// it up.
///
/// An upstream may answer and close before it has read the whole request, and its answer is still
/// received then. Writes to a connection that the upstream has reset are therefore discarded without
/// an error, which would end the exchange, and the reset is reported once all of the answer is read.
#[derive(Debug)]
pub struct WithdrawableStream {
    stream: TcpStream,
    /// Bytes that may still be read, shared with the sender of the request.
    allowance: ReadAllowance,
    start: AnswerStart,
    /// Whether the write side was shut down, which the HTTP client does at the end of an exchange.
    finished: bool,
    /// Whether a write showed that the upstream has reset the connection.
    reset: bool,
}

/// Limit on the bytes that are read from a [`WithdrawableStream`]; clones share it.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Rc<Cell<usize>>);

impl ReadAllowance {
    /// Allows `bytes` to be read.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Removes the limit.
    pub fn lift(&self) {
        self.0.set(usize::MAX);
    }

    /// Takes `bytes` from the allowance.
    ///
    /// # Errors
    /// The allowance is smaller.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.get().checked_sub(bytes);
        self.0.set(left.unwrap_or(0));
        match left {
            Some(_) => Ok(()),
            None => Err(io::Error::other(
                "more bytes than an answer's head may have",
            )),
        }
    }
}

/// First bytes that were read from a [`WithdrawableStream`], for the log; clones share them.
#[derive(Clone, Debug, Default)]
pub struct AnswerStart(Rc<RefCell<Vec<u8>>>);

impl AnswerStart {
    fn record(&self, bytes: &[u8]) {
        let mut start = self.0.borrow_mut();
        let left = MAX_START_BYTES - start.len();
        start.extend_from_slice(&bytes[..left.min(bytes.len())]);
    }

    /// The first line of what was read, or as much of it as is kept, with control characters escaped.
    #[must_use]
    pub fn first_line(&self) -> String {
        let start = self.0.borrow();
        let mut lines = start.split(|byte| matches!(byte, b'\r' | b'\n'));
        lines.next().unwrap_or_default().escape_ascii().to_string()
    }
}

impl WithdrawableStream {
    /// Wraps a connected stream, from which `allowance` may be read. `start` gets the first bytes.
    #[must_use]
    pub fn new(stream: TcpStream, allowance: ReadAllowance, start: AnswerStart) -> Self {
        Self {
            stream,
            allowance,
            start,
            finished: false,
            reset: false,
        }
    }

    /// Takes `length` bytes as written if the write failed because the connection was reset.
    fn accept_reset(&mut self, written: io::Result<usize>, length: usize) -> io::Result<usize> {
        let Err(err) = &written else {
            return written;
        };
        if !matches!(
            err.kind(),
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
        ) {
            return written;
        }
        self.reset = true;
        Ok(length)
    }
}

impl Drop for WithdrawableStream {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        // With a linger time of zero, closing discards unsent data and resets the connection.
        if let Err(err) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!(err:%; "connection of an abandoned request cannot be reset");
        }
    }
}

impl AsyncRead for WithdrawableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        // The write that met the reset took the error from the socket, whose end looks orderly now.
        if read == 0 && self.reset && buf.remaining() > 0 {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        self.start.record(&buf.filled()[before..]);
        Poll::Ready(self.allowance.take(read))
    }
}

impl AsyncWrite for WithdrawableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        Poll::Ready(self.accept_reset(written, buf.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        let length = bufs.iter().map(|buf| buf.len()).sum();
        Poll::Ready(self.accept_reset(written, length))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.finished = true;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
