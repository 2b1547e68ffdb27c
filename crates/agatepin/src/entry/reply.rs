//! HTTP replies to callers: errors, and answers whose bodies are streamed from agents.

use std::time::{Duration, Instant};

use actix_web::http::header::RETRY_AFTER;
use actix_web::http::{ConnectionType, StatusCode};
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use futures_util::stream;
use serde_json::json;

use super::answer::AnswerStream;
use super::calls::{EntryShared, OpenAnswer};
use super::http::RequestGuard;
use crate::wire::frames::Header;

/// Outcome of a call that has an answer, as written to the outcome header and to metrics.
pub const ANSWERED: &str = "answered";

const OUTCOME_HEADER: &str = "x-agatepin-outcome";
const VERSION_HEADER: &str = "x-agatepin-version";
const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
const IN_PROGRESS: &str = "in-progress";
/// Time after which the caller of a body that found no memory may come back: bodies that stand still are
/// refused as soon as others need their memory.
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Headers that belong to the connection to the upstream; they are not forwarded to callers.
const CONNECTION_HEADERS: [&str; 4] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
];

/// An error reply to a caller.
#[derive(Clone, Debug)]
pub struct ErrorReply {
    status: StatusCode,
    /// Error code in the JSON body, for programs.
    code: &'static str,
    /// Error message in the JSON body, for people.
    message: String,
    /// Outcome of the call, in the outcome header and in metrics.
    pub outcome: &'static str,
    /// Time after which the caller may come back, if it is told one.
    retry_after: Option<Duration>,
}

impl ErrorReply {
    fn new(status: StatusCode, code: &'static str, outcome: &'static str, message: String) -> Self {
        Self {
            status,
            code,
            message,
            outcome,
            retry_after: None,
        }
    }

    /// The call has not been executed.
    #[must_use]
    pub fn not_run(message: String) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "not_run", NOT_RUN, message)
    }

    /// The claim table is unavailable: this call has not been executed. Whether an earlier call
    /// with the same idempotency key was executed is unknown.
    #[must_use]
    pub fn table_unavailable() -> Self {
        let message = "the table is not available: this call was not run, \
                       an earlier one with the same key may have run; ask again with the same key";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self::new(status, "table_unavailable", NOT_RUN, message.to_owned())
    }

    /// The call may have been executed.
    #[must_use]
    pub fn unknown(message: String) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "unknown", UNKNOWN, message)
    }

    /// A call with the same idempotency key is being executed.
    #[must_use]
    pub fn in_progress() -> Self {
        let message = "the call with this key is in progress".to_owned();
        Self::new(StatusCode::CONFLICT, "in_progress", IN_PROGRESS, message)
    }

    /// The idempotency key was used before for a call with another target, method, path or body.
    #[must_use]
    pub fn key_reused() -> Self {
        let message = "the key was used with another body; this call was not run".to_owned();
        Self::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            NOT_RUN,
            message,
        )
    }

    /// The request has crashed upstreams and is refused.
    #[must_use]
    pub fn crashes_upstreams() -> Self {
        let message = "this request crashed upstreams and is refused for now".to_owned();
        Self::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "crashes_upstreams",
            NOT_RUN,
            message,
        )
    }

    /// The request is malformed.
    #[must_use]
    pub fn bad_request(message: String) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", NOT_RUN, message)
    }

    /// The body did not arrive in time.
    #[must_use]
    pub fn slow_body() -> Self {
        let message = "the body did not arrive in time".to_owned();
        Self::new(StatusCode::REQUEST_TIMEOUT, "slow_body", NOT_RUN, message)
    }

    /// The memory for bodies is used up.
    #[must_use]
    pub fn no_memory() -> Self {
        let message = "the memory for bodies is used up; the call was not run".to_owned();
        let reply = Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_memory",
            NOT_RUN,
            message,
        );
        Self {
            retry_after: Some(MEMORY_WAIT),
            ..reply
        }
    }

    /// The body has more than `limit` bytes.
    #[must_use]
    pub fn long_body(limit: usize) -> Self {
        let message = format!("the body has more than {limit} bytes");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "long_body", NOT_RUN, message)
    }

    /// The model or service that the request is addressed to does not exist.
    #[must_use]
    pub fn not_found(message: String) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", NOT_RUN, message)
    }

    /// The request does not identify a customer, or identifies one that does not exist.
    #[must_use]
    pub fn unauthorized(message: String) -> Self {
        Self::new(StatusCode::UNAUTHORIZED, "unauthorized", NOT_RUN, message)
    }

    /// Converts the error into an HTTP response with the outcome header and a JSON body.
    #[must_use]
    pub fn into_response(self) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status);
        builder.insert_header((OUTCOME_HEADER, self.outcome));
        if let Some(delay) = self.retry_after {
            builder.insert_header((RETRY_AFTER, delay.as_secs()));
        }
        builder.json(json!({"error": {"code": self.code, "message": self.message}}))
    }

    /// Converts the error into the last HTTP response on its connection, which says so.
    #[must_use]
    pub fn into_last_response(self) -> HttpResponse {
        let mut response = self.into_response();
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        response
    }
}

/// Starts a response with the status and headers of an upstream's answer, without the headers that
/// belong to the connection to the upstream. A status that is not valid in HTTP becomes 502.
#[must_use]
pub fn response_builder(status: u32, headers: &[Header]) -> HttpResponseBuilder {
    let status = u16::try_from(status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for header in headers {
        if CONNECTION_HEADERS.contains(&header.name.to_ascii_lowercase().as_str()) {
            continue;
        }
        builder.append_header((header.name.as_str(), header.value.as_ref()));
    }
    builder.insert_header((OUTCOME_HEADER, ANSWERED));
    builder
}

/// Converts an answer into a response. If the body is not complete yet, the rest is streamed as it
/// arrives, until `deadline`; `request` counts as in flight until the stream ends.
#[must_use]
pub fn answer_response(
    shared: &EntryShared,
    answer: OpenAnswer,
    deadline: Instant,
    request: RequestGuard,
) -> HttpResponse {
    let head = &answer.head;
    let mut builder = response_builder(head.status, &head.headers);
    if !head.model.is_empty() {
        let version = format!("{}/{}", head.model, head.version);
        builder.insert_header((VERSION_HEADER, version));
    }
    let Some(rest) = answer.rest else {
        return builder.body(answer.first_part);
    };
    let forwarder = AnswerForwarder {
        shared: shared.clone(),
        first_part: Some(answer.first_part),
        rest,
        complete: false,
        deadline,
        _request: request,
    };
    builder.streaming(stream::try_unfold(forwarder, AnswerForwarder::next_part))
}

/// Streams an answer from an agent to a caller. If dropped before the end of the answer, as when
/// the caller disconnects, it cancels the call at the agent.
struct AnswerForwarder {
    shared: EntryShared,
    first_part: Option<Bytes>,
    rest: AnswerStream,
    /// Whether the end of the answer has arrived.
    complete: bool,
    /// Time at which the stream ends with an error.
    deadline: Instant,
    /// Counts the request as in flight until the stream is dropped.
    _request: RequestGuard,
}

impl AnswerForwarder {
    /// Returns the next part of the body. An error aborts the chunked body, so that the caller sees
    /// that the answer is incomplete.
    async fn next_part(mut self) -> Result<Option<(Bytes, Self)>, std::io::Error> {
        if let Some(first_part) = self.first_part.take() {
            return Ok(Some((first_part, self)));
        }
        let deadline = tokio::time::Instant::from_std(self.deadline);
        let next = tokio::time::timeout_at(deadline, self.rest.next())
            .await
            .map_err(std::io::Error::other)?
            .map_err(|_| std::io::Error::other("the answer is incomplete"))?;
        if let Some(data) = next {
            return Ok(Some((data, self)));
        }
        self.complete = true;
        Ok(None)
    }
}

impl Drop for AnswerForwarder {
    fn drop(&mut self) {
        if !self.complete {
            self.shared.cancel(&self.rest);
        }
    }
}
