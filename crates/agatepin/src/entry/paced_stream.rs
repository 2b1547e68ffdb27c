//! A caller's stream that is read a little at a time.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_web::rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may be read before the reader is told to wait for its next turn.
const TURN_BYTES: usize = 8 * 1024;

/// Stream of which each turn of its connection reads 8 KiB at most. Actix reads until there is no more
/// input, up to 128 KiB, and queues an item for each chunk before it polls the handler: a body in chunks
/// of one byte took 32 times its size.
#[derive(Debug)]
pub struct PacedStream {
    stream: TcpStream,
    /// Bytes that this turn may still read.
    left: usize,
}

impl PacedStream {
    /// Paces `stream`.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            left: TURN_BYTES,
        }
    }

    /// The stream that is paced.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.left == 0 {
            self.left = TURN_BYTES;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let most = buf.remaining().min(self.left);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        if read.is_pending() {
            self.left = TURN_BYTES;
        }
        ready!(read)?;
        let length = part.filled().len();
        buf.advance(length);
        self.left -= length;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
