//! Accepts operators' connections, up to a maximum number.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Maximum time from accepting a connection to its first byte. The connection is then closed, so
/// that idle connections do not use up the permits (one per connection).
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait after a failed `accept` before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connection that has sent its first byte. Dropping it releases its permit.
#[derive(Debug)]
pub(super) struct OperatorStream {
    stream: TcpStream,
    /// Permit for one of the connections that are open at a time.
    _permit: OwnedSemaphorePermit,
}

/// Accepts at most `limit` concurrent connections, until `stopped` is cancelled. Further
/// connections wait in the backlog of the socket.
pub(super) fn accept(
    listener: TcpListener,
    limit: usize,
    stopped: CancellationToken,
) -> ReceiverStream<io::Result<OperatorStream>> {
    let (sender, receiver) = mpsc::channel(limit);
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => (),
            () = run(listener, limit, sender) => (),
        }
    });
    ReceiverStream::new(receiver)
}

async fn run(
    listener: TcpListener,
    limit: usize,
    sender: mpsc::Sender<io::Result<OperatorStream>>,
) {
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            let mut byte = [0];
            let first_byte = tokio::time::timeout(FIRST_BYTE_TIMEOUT, stream.peek(&mut byte));
            if !matches!(first_byte.await, Ok(Ok(1..))) {
                return;
            }
            let operator_stream = OperatorStream {
                stream,
                _permit: permit,
            };
            // Sending fails only if the server has stopped.
            let _ = sender.send(Ok(operator_stream)).await;
        });
    }
}

impl Connected for OperatorStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for OperatorStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for OperatorStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
