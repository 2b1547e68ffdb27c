//! Answers that an entry gives by itself, without an upstream's: refusals and failures.

use std::time::Duration;

use agatepin_core::relay::full_cause::FullCause;
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
        /// The request's body was incomplete at the end of the client timeout, or too little of it arrived
        /// within the idle limit of connections.
        Slow,
        /// The memory for bodies is used up.
        NoMemory,
        /// Upstreams could serve the request, but it gets no place for this cause.
        Full(FullCause),
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
        /// The status of the upstream's answer promises that the request has not run, but the upstream
        /// does not state so; the request may have run.
        UnclearRefusal,
        /// The deadline passed after the request had been sent.
        TimeUp,
        /// The deadline passed before the request was sent.
        TimeUpUnsent,
        /// The entry is shutting down and would exit before the request is answered.
        Leaving,
    }
}

agatepin_core::value_type! {
    /// When the caller of a refused request may come back.
    pub enum ReturnTime {
        /// Never: it would be refused again, or the request may have run.
        Never,
        /// At once: another entry can serve the request.
        AtOnce,
        /// Once a place is likely, and not before this time has passed.
        WithPlace(Duration),
        /// After this time.
        After(Duration),
        /// As late as its own time allows, as nothing tells when it can be served.
        AsLateAsPossible,
    }
}

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
            Self::NoMemory => "no_memory",
            Self::Full(_) => "full",
            Self::NoUpstream => "no_upstream",
            Self::HeldOff(_) => "held_off",
            Self::RateLimited(_) => "rate_limited",
            Self::Suspect => "suspect",
            Self::SuspectPart => "suspect_part",
            Self::CrashingPart => "crashing_part",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::UnclearRefusal => "unclear_refusal",
            Self::TimeUp => "time_up",
            Self::TimeUpUnsent => "time_up_unsent",
            Self::Leaving => "leaving",
        }
    }

    /// Why the request got no place at an upstream, if it is refused for that.
    #[must_use]
    pub fn full_cause(self) -> Option<FullCause> {
        match self {
            Self::Full(cause) => Some(cause),
            _ => None,
        }
    }

    /// Status of the answer; see [`promises_not_run`].
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken | Self::UnclearRefusal => StatusCode::BAD_GATEWAY,
            Self::TimeUp => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfig
            | Self::NoMemory
            | Self::Full(_)
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

    /// The reason to state if an earlier attempt may have run, for the reason `unknown`: that one where
    /// this one would promise that the request has not run.
    #[must_use]
    pub fn or_unknown(self, unknown: Option<Self>) -> Self {
        let unknown = unknown.filter(|_| promises_not_run(self.status()));
        unknown.unwrap_or(self)
    }

    /// When the caller may come back.
    #[must_use]
    pub fn return_time(self) -> ReturnTime {
        match self {
            Self::NoConfig | Self::Leaving => ReturnTime::AtOnce,
            Self::Full(_) | Self::NotRun => ReturnTime::WithPlace(Duration::ZERO),
            // Other requests wait for the same upstreams.
            Self::RateLimited(wait) => ReturnTime::WithPlace(wait),
            Self::HeldOff(left) => ReturnTime::After(left),
            Self::NoUpstream
            | Self::NoMemory
            | Self::TimeUpUnsent
            | Self::Suspect
            | Self::SuspectPart
            | Self::CrashingPart => ReturnTime::AsLateAsPossible,
            _ => ReturnTime::Never,
        }
    }
}

/// Whether an answer with `status` promises its caller that the request has not run and never will, so
/// that the caller may send it again.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Builds the answer to a request that is refused or has failed. The caller is told to come back after
/// `retry_after`, if there is such a time.
#[must_use]
pub fn reply(reason: RefusalReason, retry_after: Option<Duration>) -> Response<ReplyBody> {
    let body = json!({ "error": { "code": reason.code() } }).to_string();
    let mut response = Response::new(ReplyBody::from(Bytes::from(body)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = retry_after {
        let seconds = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
