//! Answers that an entry gives by itself, without an upstream's: refusals and failures.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::relay::body::ReplyBody;

agatepin_core::key_type! {
    /// Reason why an entry refuses a request, or reports its failure to the caller.
    pub enum RefusalReason {
        /// The entry has no catalog (routes, services and customers) yet.
        NoConfig,
        /// No route matches the request's host and path.
        NoRoute,
        /// The caller's API key is missing or unknown.
        UnknownKey,
        /// The request has no attempt id, or its body broke off.
        Malformed,
        /// The request's head exceeds the catalog's limit.
        HeadTooLarge,
        /// The request's body exceeds the catalog's limit.
        TooLarge,
        /// The request's body was incomplete at the end of the client timeout.
        Slow,
        /// All upstreams that could serve the request are at capacity.
        Full,
        /// No upstream can serve the request now.
        NoUpstream,
        /// All upstreams that could serve the request hold off requests, the first for this time.
        HeldOff(Duration),
        /// All upstreams that have capacity state a limit on the rate of requests; this entry may send
        /// the next one after this time.
        RateLimited(Duration),
        /// The same request crashed upstreams before.
        Suspect,
        /// A part of the prompt is suspected to crash upstreams, and another request with it is running
        /// as a trial.
        SuspectPart,
        /// Requests with a part of the prompt crashed upstreams before.
        CrashingPart,
        /// The upstream reported that it did not run the request.
        NotRun,
        /// The upstream's answer broke off; the request may have run.
        Broken,
        /// The deadline passed after the request had been sent.
        TimeUp,
        /// The deadline passed before the request was sent.
        TimeUpUnsent,
        /// The entry is shutting down and would exit before the request is answered.
        Leaving,
    }
}

/// `Retry-After` of a request that was refused because its service is full, or because it or a part
/// of its prompt crashed upstreams: about the time that an engine needs for one answer.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of all other refusals that a caller may retry.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);

impl RefusalReason {
    /// Code of the reason in logs, metrics and the answer's body.
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
            Self::HeldOff(_) => "held_off",
            Self::RateLimited(_) => "rate_limited",
            Self::Suspect => "suspect",
            Self::SuspectPart => "suspect_part",
            Self::CrashingPart => "crashing_part",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::TimeUp => "time_up",
            Self::TimeUpUnsent => "time_up_unsent",
            Self::Leaving => "leaving",
        }
    }

    /// Status of the answer. 408 and 503 guarantee that the request has not run and never will.
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
            | Self::HeldOff(_)
            | Self::RateLimited(_)
            | Self::Suspect
            | Self::SuspectPart
            | Self::CrashingPart
            | Self::NotRun
            | Self::TimeUpUnsent
            | Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Time after which the caller may retry; none if a retry would not help.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Full | Self::Suspect | Self::SuspectPart | Self::CrashingPart => {
                Some(FULL_RETRY_AFTER)
            }
            Self::HeldOff(left) => Some(left.max(DEFAULT_RETRY_AFTER)),
            // Other requests wait for the same upstreams.
            Self::RateLimited(wait) => Some(wait.max(FULL_RETRY_AFTER)),
            Self::NoConfig
            | Self::NoUpstream
            | Self::NotRun
            | Self::TimeUpUnsent
            | Self::Leaving => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }
}

/// Builds the answer to a request that is refused or has failed.
#[must_use]
pub fn reply(reason: RefusalReason) -> Response<ReplyBody> {
    let body = json!({ "error": { "code": reason.code() } }).to_string();
    let mut response = Response::new(ReplyBody::from(Bytes::from(body)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = reason.retry_after() {
        let seconds = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
