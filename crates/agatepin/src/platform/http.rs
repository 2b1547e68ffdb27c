//! HTTP client that all clients of the platform share.
//!
//! `awc::Client` cannot leave the thread that created it; a task on that thread sends the requests.
//! Handles may be used from any thread. Each request is sent once and never retried.

use std::fmt;
use std::time::Duration;

use agatepin_core::value_type;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of requests; senders wait while it is full.
const REQUEST_QUEUE_CAPACITY: usize = 256;

value_type! {
    /// HTTP request.
    pub struct HttpRequest {
        /// HTTP method.
        pub method: Method,
        /// Absolute URL.
        pub url: String,
        /// Headers as pairs of name and value.
        pub headers: Vec<(String, String)>,
        /// Request body.
        pub body: Bytes,
        /// Time limit from sending the request to the end of the response.
        pub timeout: Duration,
        /// Maximum size of the response body, in bytes.
        pub max_reply_bytes: usize,
    }

    /// Complete HTTP response.
    pub struct HttpReply {
        /// Status code.
        pub status: u16,
        /// Headers as pairs of name and value.
        pub headers: Vec<(String, Bytes)>,
        /// Response body.
        pub body: Bytes,
    }

    /// Why a request has no complete and usable response.
    pub enum HttpError {
        /// The request was not sent.
        Connect(String),
        /// The request was sent, but the response is missing or incomplete; the server may have
        /// executed the request.
        Lost(String),
        /// The request cannot be sent, for instance because of a malformed URL, or its response is
        /// not usable.
        Invalid(String),
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "request not sent: {reason}"),
            Self::Lost(reason) => write!(f, "answer lost: {reason}"),
            Self::Invalid(reason) => write!(f, "request is invalid: {reason}"),
        }
    }
}

impl std::error::Error for HttpError {}

type HttpResult = Result<HttpReply, HttpError>;

/// Queued request, and where its result is sent.
#[derive(Debug)]
struct HttpJob {
    request: HttpRequest,
    /// Channel of the caller that waits for the result.
    reply: oneshot::Sender<HttpResult>,
}

/// Handle of the HTTP client; clones share the client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    /// Queue of the task that sends the requests.
    jobs: mpsc::Sender<HttpJob>,
}

impl HttpClient {
    /// Starts the client on the current actix arbiter; it stops when `stopped` is cancelled.
    /// `connect_timeout` limits the time for opening a connection.
    #[must_use]
    pub fn start(connect_timeout: Duration, stopped: CancellationToken) -> Self {
        let (jobs, queue) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let connector = awc::Connector::new().timeout(connect_timeout);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .finish();
        actix_rt::spawn(run(client, queue, stopped));
        Self { jobs }
    }

    /// Sends `request` once.
    ///
    /// # Errors
    /// There is no complete response; the variant tells whether the server may have executed the
    /// request.
    pub async fn request(&self, request: HttpRequest) -> Result<HttpReply, HttpError> {
        let (reply, answer) = oneshot::channel();
        let job = HttpJob { request, reply };
        if self.jobs.send(job).await.is_err() {
            return Err(HttpError::Connect("the HTTP client has stopped".to_owned()));
        }
        answer.await.unwrap_or_else(|_| {
            let reason = "the HTTP client stopped during the request".to_owned();
            Err(HttpError::Lost(reason))
        })
    }
}

async fn run(client: awc::Client, mut queue: mpsc::Receiver<HttpJob>, stopped: CancellationToken) {
    loop {
        let job = tokio::select! {
            () = stopped.cancelled() => return,
            job = queue.recv() => job,
        };
        let Some(job) = job else {
            return;
        };
        let client = client.clone();
        actix_rt::spawn(async move {
            let result = send(&client, job.request).await;
            // Sending fails if the caller no longer waits.
            let _ = job.reply.send(result);
        });
    }
}

async fn send(client: &awc::Client, request: HttpRequest) -> HttpResult {
    let timeout = request.timeout;
    let timeout_error = Err(HttpError::Lost(format!("no answer within {timeout:?}")));
    tokio::time::timeout(timeout, exchange(client, request))
        .await
        .unwrap_or(timeout_error)
}

async fn exchange(client: &awc::Client, request: HttpRequest) -> HttpResult {
    let mut client_request = client
        .request(request.method, request.url)
        .timeout(request.timeout);
    for (name, value) in request.headers {
        client_request = client_request.insert_header((name, value));
    }
    let mut response = client_request
        .send_body(request.body)
        .await
        .map_err(|err| send_error(&err))?;
    let body = response
        .body()
        .limit(request.max_reply_bytes)
        .await
        .map_err(|err| HttpError::Lost(err.to_string()))?;
    check_length(response.headers(), body.len())?;
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect();
    Ok(HttpReply {
        status: response.status().as_u16(),
        headers,
        body,
    })
}

/// Compares the size of the body with `Content-Length`: awc reports no error for a body that is cut
/// off.
fn check_length(headers: &HeaderMap, received_bytes: usize) -> Result<(), HttpError> {
    let declared_bytes = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    match declared_bytes {
        Some(declared_bytes) if declared_bytes != received_bytes => {
            let reason = format!("body has {received_bytes} bytes, {declared_bytes} were stated");
            Err(HttpError::Lost(reason))
        }
        _ => Ok(()),
    }
}

fn send_error(err: &SendRequestError) -> HttpError {
    let reason = err.to_string();
    match err {
        // awc reports `Disconnected` also if the server closes the connection after the request was
        // sent and before it responds: the request may have been executed.
        SendRequestError::Connect(ConnectError::Disconnected) => HttpError::Lost(reason),
        SendRequestError::Connect(_) => HttpError::Connect(reason),
        SendRequestError::Url(_) | SendRequestError::Http(_) => HttpError::Invalid(reason),
        _ => HttpError::Lost(reason),
    }
}
