//! Answers that an entry gives by itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::relay::body::ReplyBody;

agatepin_core::key_type! {
    /// Why an entry answers by itself.
    pub enum RefusalReason {
        /// No configuration is known yet.
        NoConfig,
        /// No route matches.
        NoRoute,
        /// The key is missing or unknown.
        UnknownKey,
        /// The request is malformed.
        Malformed,
        /// The head is too long.
        HeadTooLarge,
        /// The body is too long.
        TooLarge,
        /// The request did not come in whole in time.
        Slow,
        /// Upstreams that could serve it are full.
        Full,
        /// No upstream can serve it now.
        NoUpstream,
        /// It crashed upstreams before.
        Suspect,
        /// The upstream says that it did not run.
        NotRun,
        /// The upstream broke off; it may have run.
        Broken,
        /// The time was up after it had been sent.
        TimeUp,
        /// The time was up before it was sent.
        TimeUpUnsent,
    }
}

/// Wait before a refused caller of a full service comes back: about one answer of an engine.
const FULL_WAIT: Duration = Duration::from_secs(1);
/// Wait before a caller comes back where something else stood in the way.
const SHORT_WAIT: Duration = Duration::from_millis(150);

impl RefusalReason {
    /// Word for logs, metrics and the answer's body.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::TooLarge => "too_large",
            Self::Slow => "slow_request",
            Self::Full => "full",
            Self::NoUpstream => "no_upstream",
            Self::Suspect => "suspect",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::TimeUp => "time_up",
            Self::TimeUpUnsent => "time_up_unsent",
        }
    }

    /// Status of the answer. 408 and 503 promise that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::TimeUp => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfig
            | Self::Full
            | Self::NoUpstream
            | Self::Suspect
            | Self::NotRun
            | Self::TimeUpUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn wait(self) -> Option<Duration> {
        match self {
            Self::Full | Self::Suspect => Some(FULL_WAIT),
            Self::NoConfig | Self::NoUpstream | Self::NotRun | Self::TimeUpUnsent => {
                Some(SHORT_WAIT)
            }
            _ => None,
        }
    }
}

/// The answer to a request that is refused or failed.
#[must_use]
pub fn reply(reason: RefusalReason) -> Response<ReplyBody> {
    let body = json!({ "error": { "code": reason.code() } }).to_string();
    let mut response = Response::new(ReplyBody::from(Bytes::from(body)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = reason.wait() {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
