//! One send of a request to one upstream.

use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::upstreams::{SendOutcome, UpstreamState};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::{HeaderMap, Method, Uri};
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::http_client::{self, ConnectionGuard, ExchangeError};
use crate::relay::ports::{AnswerHead, ForwardHead, WireDialect};

/// Time for a connection to an upstream: the longest way twice, and a slow handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's request as it is passed on.
pub struct PassedRequest {
    /// Name of the caller's attempt.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Customer.
    pub customer: Option<String>,
    /// Urgency.
    pub priority: u32,
    /// Time at which the caller's patience or the route's timeout ends.
    pub deadline: Instant,
}

/// The answer of an upstream whose body has yet to come.
pub struct OpenAnswer {
    /// Status and headers, and the body.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: AnswerHead,
    /// Keeps the connection open.
    pub connection: ConnectionGuard,
    /// Counts the request at the upstream.
    pub place: PlaceGuard,
}

/// How a send ended without an answer to pass on.
pub enum SendFailure {
    /// The request did not run there.
    NotRun(PlaceGuard),
    /// Nothing was sent.
    Unreachable,
    /// It may have run.
    MayHaveRun(&'static str),
    /// The time was up.
    TimeUp,
}

/// Counts a request at an upstream until it is dropped.
pub struct PlaceGuard {
    fleet: FleetHandle,
    upstream: UpstreamId,
    unread: u32,
    outcome: SendOutcome,
}

impl PlaceGuard {
    /// A guard for a request of `tokens` prompt tokens that admission counted at `upstream`.
    #[must_use]
    pub fn new(fleet: FleetHandle, upstream: UpstreamId, tokens: u32) -> Self {
        Self {
            fleet,
            upstream,
            unread: tokens,
            outcome: SendOutcome::Abandoned,
        }
    }

    /// Notes that the answer began.
    pub fn answer_started(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.fleet
            .with(|fleet| fleet.upstreams.answer_started(&self.upstream, unread));
        self.fleet.changed();
    }

    /// Notes how the send ended.
    pub fn settle(&mut self, outcome: SendOutcome) {
        self.outcome = outcome;
    }

    /// The upstream.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let (upstream, outcome, unread) = (&self.upstream, self.outcome, self.unread);
        self.fleet
            .with(|fleet| fleet.upstreams.end(upstream, outcome, unread, now));
        self.fleet.changed();
    }
}

/// Sends `request` and waits up to `patience` for the head of the answer.
///
/// # Errors
/// There is no answer that may be passed on.
pub async fn send_once<Dialect>(
    dialect: &Dialect,
    fleet: &FleetHandle,
    request: &PassedRequest,
    last_event: Option<u64>,
    patience: Duration,
    mut place: PlaceGuard,
) -> Result<OpenAnswer, SendFailure>
where
    Dialect: WireDialect,
{
    let now = Instant::now();
    let time_left = request.deadline.saturating_duration_since(now);
    let upstream = place.upstream.clone();
    let found = fleet.with(|fleet| {
        let state = fleet.upstreams.get(&upstream)?;
        Some((state.listing.address, wanted_weights(fleet, state, now)))
    });
    let Some((address, weights)) = found else {
        return Err(SendFailure::Unreachable);
    };
    let mut headers = request.headers.clone();
    let head = ForwardHead {
        time_left,
        upstream: &upstream,
        weights,
        customer: request.customer.as_ref(),
        priority: request.priority,
        last_event,
    };
    dialect.write_forward_head(&mut headers, &head);
    let mut passed = Request::new(Full::new(request.body.clone()));
    *passed.method_mut() = request.method.clone();
    *passed.uri_mut() = request.target.clone();
    *passed.headers_mut() = headers;
    let sent = http_client::send(address, passed, CONNECT_TIMEOUT.min(time_left));
    let (response, connection) = match timeout(patience.min(time_left), sent).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => return Err(failed(&mut place, &request.id, &err)),
        Err(_) if patience < time_left => {
            place.settle(SendOutcome::Failed);
            return Err(SendFailure::MayHaveRun("silent"));
        }
        Err(_) => return Err(SendFailure::TimeUp),
    };
    let head = dialect.read_answer(response.status(), response.headers());
    if let Some(left) = head.cold_left {
        fleet.with(|fleet| fleet.upstreams.cold(&upstream, left, Instant::now()));
    }
    let foreign = head.id.as_ref().is_some_and(|id| *id != request.id);
    if head.not_run && !foreign {
        place.settle(SendOutcome::NotRun);
        log::info!(
            request = request.id, upstream, status = response.status().as_u16();
            "upstream did not run the request"
        );
        return Err(SendFailure::NotRun(place));
    }
    let unsigned = response.status().is_success() && !head.sealed;
    if foreign || head.encoded || unsigned {
        place.settle(SendOutcome::Failed);
        log::warn!(request = request.id, upstream, foreign, unsigned; "answer not passed on");
        return Err(SendFailure::MayHaveRun("foreign answer"));
    }
    let failed = response.status() >= StatusCode::INTERNAL_SERVER_ERROR;
    place.settle(if failed {
        SendOutcome::Failed
    } else {
        SendOutcome::Answered
    });
    Ok(OpenAnswer {
        response,
        head,
        connection,
        place,
    })
}

fn failed(place: &mut PlaceGuard, request: &str, err: &ExchangeError) -> SendFailure {
    log::info!(request, upstream = place.upstream, err:%; "send failed");
    if let ExchangeError::Exchange(_) = err {
        place.settle(SendOutcome::Failed);
        return SendFailure::MayHaveRun("broken exchange");
    }
    place.settle(SendOutcome::Unreachable);
    SendFailure::Unreachable
}

/// Weights that an upstream is to confirm: those that it is believed to hold, once older ones may
/// no longer serve.
fn wanted_weights(
    fleet: &FleetState,
    state: &UpstreamState,
    now: Instant,
) -> Option<WeightsVersion> {
    let catalog = fleet.catalog.as_ref()?;
    let engine = catalog.service(&state.listing.service)?.engine.as_ref()?;
    fleet.weights.get(&engine.model)?.required(now)?;
    state.weights(now)
}
