//! TCP stream that withdraws its request when the exchange is given up.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that is reset when dropped before it was shut down. An ordinary close would leave the
/// rest of the send buffer to the kernel, which could deliver a request long after its sender gave
/// it up.
#[derive(Debug)]
pub struct WithdrawableStream {
    stream: TcpStream,
    /// Whether the write side was shut down, which the HTTP client does at the end of an exchange.
    finished: bool,
}

impl WithdrawableStream {
    /// Wraps a connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            finished: false,
        }
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WithdrawableStream {
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
        self.finished = true;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
