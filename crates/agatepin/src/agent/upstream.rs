//! HTTP client of the upstream beside an agent.
//!
//! It uses hyper, the closest alternative to awc, because awc reports a truncated chunked answer as
//! complete, and reports "not connected" for a connection that closes after the call was sent.
//!
//! A call that is not idempotent is sent on a new connection: if a reused connection fails, it is
//! unknown whether the upstream has received the call, and the call cannot be sent again.

use std::ops::RangeInclusive;
use std::time::Duration;

use agatepin_core::ids::ContentDigest;
use agatepin_core::value_type;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot};

use super::connections::{ConnectionPool, UpstreamBody, UpstreamConnection};
use crate::wire::frames::{CallKind, CallStart, Header};

/// Answer header in which an engine gives the digest of the weights that it answered from.
pub const ENGINE_DIGEST_HEADER: &str = "x-engine-digest";

/// Request header that tells the upstream which customer the call belongs to.
const CUSTOMER_HEADER: &str = "x-customer";
/// Time limit for one read of the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a body accepted as an engine's state, in bytes.
const MAX_STATE_BYTES: usize = 64 * 1024;
/// Status codes of final answers (RFC 9110, section 15); the HTTP client's parser takes any number from
/// 100 to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of headers of an answer that are forwarded; further ones are dropped.
const MAX_HEADERS: usize = 64;
/// Headers that are not forwarded: they concern a single connection, or are set anew on the next
/// connection.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
];

value_type! {
    /// Failure of a call to the upstream.
    pub enum UpstreamError {
        /// The upstream has not received the call.
        NotSent(String),
        /// The upstream may have executed the call.
        Unknown(String),
    }

    /// State that an engine reports, as JSON.
    #[derive(Deserialize)]
    pub struct EngineReport {
        /// Digest of the weights that the engine serves, as 64 hexadecimal digits; `None` if it
        /// serves none.
        pub digest: Option<String>,
        /// Whether the engine is in a cold start.
        #[serde(default)]
        pub cold: bool,
    }
}

/// Head of an upstream's answer, with its body as a stream.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded: those that do not concern the connection, at most 64.
    pub headers: Vec<Header>,
    /// Digest of the weights that the engine answered from; `None` if the answer has no valid one.
    pub weights: Option<ContentDigest>,
    /// Body as it arrives; a truncated body ends with an error.
    pub body: UpstreamBody,
}

/// HTTP client of one upstream; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    authority: String,
    pool: ConnectionPool,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `url`. Only host and port of `url` are used.
    #[must_use]
    pub fn new(url: &str) -> Self {
        let uri = url.parse::<Uri>().unwrap_or_default();
        let host = uri.host().unwrap_or_default();
        let authority = format!("{host}:{}", uri.port_u16().unwrap_or(80));
        Self {
            pool: ConnectionPool::new(authority.clone()),
            authority,
        }
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    /// The call cannot be sent or is not answered; the variant of the error says whether the
    /// upstream may have executed the call.
    pub async fn send(&self, call: &CallStart) -> Result<UpstreamAnswer, UpstreamError> {
        let request = self.build_request(call)?;
        let (response, connection) = if call.idempotent {
            self.exchange(request).await?
        } else {
            exchange_on(self.pool.open().await?, request).await?
        };
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let message = format!("answer with the invalid status {status}");
            return Err(UpstreamError::Unknown(message));
        }
        let headers = response.headers();
        let weights = headers
            .get(ENGINE_DIGEST_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(ContentDigest::from_hex);
        Ok(UpstreamAnswer {
            status,
            headers: end_to_end_headers(headers),
            weights,
            body: self.pool.body(response.into_body(), connection),
        })
    }

    /// Reads the state of the engine.
    ///
    /// # Errors
    /// The engine cannot be reached, does not answer within 2 seconds, or answers something that
    /// is not a state.
    pub async fn engine_state(&self) -> Result<EngineReport, UpstreamError> {
        tokio::time::timeout(STATE_TIMEOUT, self.read_state())
            .await
            .unwrap_or_else(|_| {
                Err(UpstreamError::Unknown(
                    "engine did not report its state in time".into(),
                ))
            })
    }

    /// Returns whether the upstream accepts connections.
    pub async fn is_listening(&self) -> bool {
        self.pool.open().await.is_ok()
    }

    async fn read_state(&self) -> Result<EngineReport, UpstreamError> {
        let request = Request::get("/engine/state")
            .header(HOST, self.authority.as_str())
            .body(Full::default())
            .map_err(|err| not_sent("request for the engine state", &err))?;
        let (response, connection) = self.exchange(request).await?;
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES)
            .collect()
            .await
            .map_err(|err| UpstreamError::Unknown(err.to_string()))?;
        self.pool.put_idle(connection);
        serde_json::from_slice(&body.to_bytes())
            .map_err(|err| UpstreamError::Unknown(format!("engine state is malformed: {err}")))
    }

    /// Sends a request that may be executed twice, on an idle connection if there is one.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<hyper::body::Incoming>, UpstreamConnection), UpstreamError> {
        if let Some(mut connection) = self.pool.take_idle()
            && connection.sender.ready().await.is_ok()
            && let Ok(exchanged) = exchange_on(connection, request.clone()).await
        {
            return Ok(exchanged);
        }
        // No connection was idle, or the exchange on it failed, as when the upstream closed it at
        // the same time: the request is sent on a new connection.
        exchange_on(self.pool.open().await?, request).await
    }

    fn build_request(&self, call: &CallStart) -> Result<Request<Full<Bytes>>, UpstreamError> {
        let (method, path) = request_target(call)?;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = method;
        *request.uri_mut() = path
            .parse::<Uri>()
            .map_err(|err| not_sent(&format!("path \"{path}\""), &err))?;
        for header in &call.headers {
            if is_hop_by_hop(&header.name) {
                continue;
            }
            let name = HeaderName::from_bytes(header.name.as_bytes())
                .map_err(|err| not_sent(&format!("header \"{}\"", header.name), &err))?;
            let value = HeaderValue::from_maybe_shared(header.value.clone())
                .map_err(|err| not_sent(&format!("header \"{}\"", header.name), &err))?;
            request.headers_mut().append(name, value);
        }
        let customer = HeaderValue::from_str(&call.customer)
            .map_err(|err| not_sent(&format!("customer \"{}\"", call.customer), &err))?;
        request.headers_mut().insert(CUSTOMER_HEADER, customer);
        let host = HeaderValue::from_str(&self.authority)
            .map_err(|err| not_sent(&format!("host \"{}\"", self.authority), &err))?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }
}

async fn exchange_on(
    mut connection: UpstreamConnection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<hyper::body::Incoming>, UpstreamConnection), UpstreamError> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut failed) => {
            // hyper returns the request if it has not sent any of it.
            let sent = failed.take_message().is_none();
            let message = failed.into_error().to_string();
            Err(if sent {
                UpstreamError::Unknown(message)
            } else {
                UpstreamError::NotSent(message)
            })
        }
    }
}

/// Reads the digest of the served weights for many calls at once. A caller gets the result of a
/// read that began after the caller's request; requests that arrive during a read share the next
/// one.
#[derive(Clone, Debug)]
pub struct ServedDigestReader {
    requests: mpsc::UnboundedSender<oneshot::Sender<Option<ContentDigest>>>,
}

impl ServedDigestReader {
    /// Starts the reading task on this thread.
    #[must_use]
    pub fn start(client: UpstreamClient) -> Self {
        let (requests, incoming) = mpsc::unbounded_channel();
        actix_rt::spawn(serve_digest_reads(client, incoming));
        Self { requests }
    }

    /// Returns the digest of the weights that the engine serves now; `None` if it serves none or
    /// its state cannot be read.
    pub async fn served_digest(&self) -> Option<ContentDigest> {
        let (reply, answer) = oneshot::channel();
        self.requests.send(reply).ok()?;
        answer.await.ok().flatten()
    }
}

async fn serve_digest_reads(
    client: UpstreamClient,
    mut incoming: mpsc::UnboundedReceiver<oneshot::Sender<Option<ContentDigest>>>,
) {
    let mut replies = Vec::new();
    while incoming.recv_many(&mut replies, usize::MAX).await > 0 {
        let state = client.engine_state().await.ok();
        let digest = state
            .and_then(|state| state.digest)
            .and_then(|text| ContentDigest::from_hex(&text));
        for reply in replies.drain(..) {
            // Sending fails if the call that asked for the digest was cancelled in the meantime.
            let _ = reply.send(digest);
        }
    }
}

fn request_target(call: &CallStart) -> Result<(Method, String), UpstreamError> {
    if call.kind() == CallKind::Chat {
        return Ok((Method::POST, "/v1/chat/completions".to_owned()));
    }
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|err| not_sent(&format!("method \"{}\"", call.method), &err))?;
    let path = call.path.trim_start_matches('/');
    Ok((method, format!("/{path}")))
}

fn not_sent<Cause>(what: &str, cause: &Cause) -> UpstreamError
where
    Cause: std::fmt::Display,
{
    UpstreamError::NotSent(format!("{what}: {cause}"))
}

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|listed| name.eq_ignore_ascii_case(listed))
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut selected = Vec::new();
    for (name, value) in headers {
        if is_hop_by_hop(name.as_str()) || selected.len() == MAX_HEADERS {
            continue;
        }
        selected.push(Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    selected
}
