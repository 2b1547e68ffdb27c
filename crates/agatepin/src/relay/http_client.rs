//! HTTP/1.1 to upstreams and the platform: one connection a request, closed by a guard.
//!
//! No connection is used twice. Bytes that an upstream sends after its answer therefore never
//! meet another request, and no library repeats a request on its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::relay::ports::StoreError;

/// Largest answer that [`fetch`] takes, in bytes: above the 1 MB that the store sends at once.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Closes the connection when dropped.
#[derive(Debug)]
pub struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// No connection: nothing was sent.
    Connect(std::io::Error),
    /// No connection in time: nothing was sent.
    ConnectTimeout,
    /// The request was sent, or part of it, and no answer came.
    Exchange(hyper::Error),
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "cannot connect: {err}"),
            Self::ConnectTimeout => f.write_str("no connection in time"),
            Self::Exchange(err) => write!(f, "broken exchange: {err}"),
        }
    }
}

/// Connects, sends `request` and waits for the head of the answer.
///
/// # Errors
/// There is no connection, or it broke before the head of an answer.
pub async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    connect: Duration,
) -> Result<(Response<Incoming>, ConnectionGuard), ExchangeError> {
    let stream = match timeout(connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(ExchangeError::Connect(err)),
        Err(_) => return Err(ExchangeError::ConnectTimeout),
    };
    stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ExchangeError::Exchange)?;
    let guard = ConnectionGuard(actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address} ended: {err}");
        }
    }));
    let response = sender.send_request(request).await;
    Ok((response.map_err(ExchangeError::Exchange)?, guard))
}

/// Calls the platform at `address` and reads the whole answer within `total`.
///
/// # Errors
/// There is no answer in time, or it is broken.
pub async fn fetch(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    connect: Duration,
    total: Duration,
) -> Result<(StatusCode, Bytes), StoreError> {
    let host = HeaderValue::from_str(&address.to_string());
    let host = host.map_err(|err| StoreError::Broken(err.to_string()))?;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let sent = send(address, request, connect).await;
        let (response, guard) = sent.map_err(|err| StoreError::Broken(err.to_string()))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let whole = body.collect().await;
        drop(guard);
        let whole = whole.map_err(|err| StoreError::Broken(err.to_string()))?;
        Ok((status, whole.to_bytes()))
    };
    match timeout(total, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(StoreError::Broken(format!("no answer within {total:?}"))),
    }
}
