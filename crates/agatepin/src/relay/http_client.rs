//! HTTP/1.1 client for upstreams and for the platform's services.
//!
//! Requests to upstreams use one connection each, which a guard closes. Bytes that an upstream
//! sends after its answer therefore never reach another request, and no library retries a request
//! by itself. Calls to the platform that may safely be sent twice can share a [`PersistentConnection`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::relay::ports::StoreError;
use crate::relay::withdrawable::{AnswerStart, ReadAllowance, WithdrawableStream};

/// Largest answer that [`fetch`] and [`PersistentConnection`] accept, in bytes; the store sends at
/// most 1 MB in one answer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Longest pause within the body of an answer to [`fetch`].
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for the body of an answer to [`fetch`].
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head of an answer, in bytes; also the size of the read buffer.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes that may arrive until the head of an answer is complete: interim answers, the head, and what
/// is read of the body with it.
const HEAD_PHASE_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// HTTP/1.1 connection to an upstream or to a service of the platform.
type UpstreamConnection = http1::Connection<TokioIo<WithdrawableStream>, Full<Bytes>>;

/// Closes the connection when dropped, by aborting the task that drives it.
#[derive(Debug)]
pub struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reason why a request got no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection was refused or failed before the request; nothing was sent.
    Connect(std::io::Error),
    /// The connection was not established in time; nothing was sent.
    ConnectTimeout,
    /// The request was sent at least in part, and no answer arrived.
    Exchange(hyper::Error),
    /// The upstream sent bytes that are no answer.
    Malformed {
        /// First line of what it sent, shortened and escaped.
        status_line: String,
        /// What the parser refused.
        err: hyper::Error,
    },
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "cannot connect: {err}"),
            Self::ConnectTimeout => f.write_str("no connection in time"),
            Self::Exchange(err) => write!(f, "broken exchange: {err}"),
            Self::Malformed { status_line, err } => {
                write!(f, "malformed answer \"{status_line}\": {err}")
            }
        }
    }
}

/// Connects to `address` within `time_limit`.
///
/// # Errors
/// The connection was not established.
pub async fn connect(
    address: SocketAddr,
    time_limit: Duration,
) -> Result<TcpStream, ExchangeError> {
    let stream = match timeout(time_limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(ExchangeError::Connect(err)),
        Err(_) => return Err(ExchangeError::ConnectTimeout),
    };
    stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
    Ok(stream)
}

/// Sends `request` over a new connection, which serves no other request, and waits for the head of
/// the answer.
///
/// # Errors
/// The connection broke before the head of an answer arrived, or the upstream sent no valid one.
pub async fn send_on(
    stream: TcpStream,
    mut request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ConnectionGuard), ExchangeError> {
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
    let allowance = ReadAllowance::new(HEAD_PHASE_BYTES);
    let start = AnswerStart::default();
    let (mut sender, connection) = handshake(stream, allowance.clone(), start.clone())
        .await
        .map_err(ExchangeError::Exchange)?;
    let guard = spawn_connection(connection);
    let response = sender.send_request(request).await;
    allowance.lift();
    let response = response.map_err(|err| {
        if !err.is_parse() {
            return ExchangeError::Exchange(err);
        }
        let status_line = start.first_line();
        ExchangeError::Malformed { status_line, err }
    })?;
    Ok((response, guard))
}

/// Starts HTTP/1.1 on `stream`.
async fn handshake(
    stream: TcpStream,
    allowance: ReadAllowance,
    start: AnswerStart,
) -> hyper::Result<(http1::SendRequest<Full<Bytes>>, UpstreamConnection)> {
    let stream = TokioIo::new(WithdrawableStream::new(stream, allowance, start));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    builder.handshake(stream).await
}

/// A connection that serves one call after the other; only for calls that may safely be sent twice.
#[derive(Debug, Default)]
pub struct PersistentConnection {
    /// Sender and guard of the open connection; none before the first call and after a failed one.
    open_connection: Option<(http1::SendRequest<Full<Bytes>>, ConnectionGuard)>,
}

impl PersistentConnection {
    /// Calls `address`, over a new connection if none is open, and returns the status and the
    /// complete body.
    ///
    /// # Errors
    /// The answer was incomplete after `time_limit`, or the exchange failed. The connection is then
    /// closed.
    pub async fn fetch(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let answer = timeout(time_limit, self.exchange(address, request)).await;
        let answer = answer.unwrap_or_else(|_| {
            let text = format!("no answer within {time_limit:?}");
            Err(StoreError::Broken(text))
        });
        if answer.is_err() {
            self.open_connection = None;
        }
        answer
    }

    /// Sends `request` over the open connection, or a new one, and reads the complete answer.
    async fn exchange(
        &mut self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let broken = |err: hyper::Error| StoreError::Broken(err.to_string());
        request.headers_mut().insert(HOST, host_header(address)?);
        if self
            .open_connection
            .as_ref()
            .is_none_or(|(sender, _)| sender.is_closed())
        {
            let stream = TcpStream::connect(address).await;
            let stream = stream.map_err(|err| StoreError::Broken(err.to_string()))?;
            let unlimited = ReadAllowance::new(usize::MAX);
            let handshake = handshake(stream, unlimited, AnswerStart::default()).await;
            let (sender, connection) = handshake.map_err(broken)?;
            self.open_connection = Some((sender, spawn_connection(connection)));
        }
        let Some((sender, _)) = &mut self.open_connection else {
            return Err(StoreError::Broken("no connection".to_owned()));
        };
        sender.ready().await.map_err(broken)?;
        let response = sender.send_request(request).await.map_err(broken)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = body.collect().await;
        let collected = collected.map_err(|err| StoreError::Broken(err.to_string()))?;
        Ok((status, collected.to_bytes()))
    }
}

/// Value of the `Host` header for requests to `address`.
fn host_header(address: SocketAddr) -> Result<HeaderValue, StoreError> {
    let host = HeaderValue::from_str(&address.to_string());
    host.map_err(|err| StoreError::Broken(err.to_string()))
}

/// Starts the task that drives `connection`; dropping the guard aborts the task.
fn spawn_connection(connection: UpstreamConnection) -> ConnectionGuard {
    ConnectionGuard(actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("HTTP connection failed: {err}");
        }
    }))
}

/// Calls the platform at `address` over a connection of its own and returns the head of the answer and
/// the complete body.
///
/// # Errors
/// The connection was not established within `connect_timeout`, the answer did not begin within
/// `time_limit`, its body paused for [`BODY_IDLE_TIMEOUT`] or was incomplete after [`BODY_TIMEOUT`],
/// or the exchange failed.
pub async fn fetch(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    connect_timeout: Duration,
    time_limit: Duration,
) -> Result<(response::Parts, Bytes), StoreError> {
    request.headers_mut().insert(HOST, host_header(address)?);
    let broken = |err: ExchangeError| StoreError::Broken(err.to_string());
    let exchange = async {
        let stream = connect(address, connect_timeout).await.map_err(broken)?;
        send_on(stream, request).await.map_err(broken)
    };
    let late = || StoreError::Broken(format!("no answer within {time_limit:?}"));
    let (response, guard) = timeout(time_limit, exchange).await.map_err(|_| late())??;
    let (head, body) = response.into_parts();
    let body = timeout(BODY_TIMEOUT, collect_steady(body)).await;
    drop(guard);
    let late = || StoreError::Broken(format!("answer not complete within {BODY_TIMEOUT:?}"));
    Ok((head, body.map_err(|_| late())??))
}

/// Reads a body to its end, of which some part must arrive every [`BODY_IDLE_TIMEOUT`]: a large answer
/// over a busy link takes long, and a connection that went silent is noticed soon.
async fn collect_steady(mut body: Incoming) -> Result<Bytes, StoreError> {
    let mut data = BytesMut::new();
    loop {
        let frame = timeout(BODY_IDLE_TIMEOUT, body.frame()).await;
        let frame = frame.map_err(|_| {
            StoreError::Broken(format!("no part of the answer for {BODY_IDLE_TIMEOUT:?}"))
        })?;
        let Some(frame) = frame else {
            return Ok(data.freeze());
        };
        let frame = frame.map_err(|err| StoreError::Broken(err.to_string()))?;
        let part = frame.into_data().unwrap_or_default();
        if data.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(StoreError::Broken("answer is too large".to_owned()));
        }
        data.extend_from_slice(&part);
    }
}
