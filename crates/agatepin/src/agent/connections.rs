//! Pool of connections to the upstream. An answer that has been read completely returns its
//! connection to the pool.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::upstream::UpstreamError;

/// Time limit for opening a TCP connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that has been idle for this long is closed instead of reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Maximum number of idle connections in a pool; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// An HTTP/1.1 connection to the upstream.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Handle for sending requests on the connection.
    pub(super) sender: SendRequest<Full<Bytes>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    /// Time at which the connection became idle.
    idle_since: Instant,
}

/// Pool of idle connections to one upstream; clones share the pool.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    /// Address of the upstream, as `HOST:PORT`.
    authority: String,
    /// Idle connections; the one used last is at the end.
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool for the upstream at `authority`, as `HOST:PORT`.
    #[must_use]
    pub fn new(authority: String) -> Self {
        Self {
            authority,
            idle: Arc::default(),
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// [`UpstreamError::NotSent`] if the upstream does not accept the connection within 2 seconds.
    pub async fn open(&self) -> Result<UpstreamConnection, UpstreamError> {
        let connect_error = |reason: String| {
            UpstreamError::NotSent(format!("cannot connect to {}: {reason}", self.authority))
        };
        let connecting = TcpStream::connect(&self.authority);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| connect_error("timeout".into()))?
            .map_err(|err| connect_error(err.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|err| connect_error(err.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| connect_error(err.to_string()))?;
        tokio::spawn(async move {
            // A failure of the connection is reported by the request that uses it.
            let _ = connection.await;
        });
        Ok(UpstreamConnection { sender })
    }

    /// Takes an idle connection out of the pool; `None` if all have closed or have been idle for 4
    /// seconds or longer.
    #[must_use]
    pub fn take_idle(&self) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(candidate) = idle.pop() {
            let fresh = candidate.idle_since.elapsed() < MAX_IDLE_TIME;
            if fresh && !candidate.connection.sender.is_closed() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection whose last answer has been read completely to the pool. It is closed
    /// instead if the pool is full.
    pub fn put_idle(&self, connection: UpstreamConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if connection.sender.is_closed() || idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let idle_since = Instant::now();
        idle.push(IdleConnection {
            connection,
            idle_since,
        });
    }

    /// Wraps the body of an answer so that its end returns `connection` to the pool.
    #[must_use]
    pub(super) fn body(&self, body: Incoming, connection: UpstreamConnection) -> UpstreamBody {
        UpstreamBody {
            body,
            pool: self.clone(),
            connection: Some(connection),
        }
    }
}

/// Stream of an answer's body. Dropping it before its end closes the connection, which cancels the
/// call at the upstream.
#[derive(Debug)]
pub struct UpstreamBody {
    body: Incoming,
    pool: ConnectionPool,
    connection: Option<UpstreamConnection>,
}

impl Stream for UpstreamBody {
    type Item = Result<Bytes, UpstreamError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
            match frame {
                Some(Ok(frame)) => {
                    // HTTP trailers are not forwarded.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Some(Err(err)) => {
                    let message = format!("answer was cut off: {err}");
                    return Poll::Ready(Some(Err(UpstreamError::Unknown(message))));
                }
                None => {
                    if let Some(connection) = self.connection.take() {
                        self.pool.put_idle(connection);
                    }
                    return Poll::Ready(None);
                }
            }
        }
    }
}
