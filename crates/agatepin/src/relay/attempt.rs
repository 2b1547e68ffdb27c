//! One attempt of a request: sends it to one upstream and checks the head of the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::chooser;
use agatepin_core::relay::notices::MAX_HOLD;
use agatepin_core::relay::stated_limit::{LimitChange, LimitNotice, RequestRate};
use agatepin_core::relay::upstreams::{SendOutcome, UpstreamState};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::{HeaderMap, Method, Uri};
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::http_client::{self, ConnectionGuard, ExchangeError};
use crate::relay::metrics::RelayMetrics;
use crate::relay::part_watch::AttemptWitness;
use crate::relay::ports::{AnswerHead, ForwardHead, StatedLoad, UpstreamNotices, WireDialect};
use crate::relay::refusal::{self, RefusalReason};

/// Timeout of the connection to an upstream: covers the longest round trip and a slow handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Status codes of final answers (RFC 9110, section 15). The HTTP client skips interim answers but for
/// 101, and its parser takes any number from 100 to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A caller's request as it is forwarded.
pub struct ForwardedRequest {
    /// Attempt id from the caller's request; upstreams repeat it in the answer.
    pub id: String,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub target: Uri,
    /// The caller's headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Customer of the caller; none if anonymous.
    pub customer: Option<String>,
    /// Priority from 0, the highest, to 9.
    pub priority: u32,
    /// End of the caller's timeout or of the route's timeout, whichever is first.
    pub deadline: Instant,
}

/// Answer of an upstream whose head has been checked and whose body has not been read.
pub struct OpenAnswer {
    /// Status, headers and unread body.
    pub response: Response<Incoming>,
    /// Data that was decoded from the head.
    pub head: AnswerHead,
    /// Keeps the connection to the upstream open until this guard is dropped.
    pub connection: ConnectionGuard,
    /// Counts the request as in flight at the upstream until this guard is dropped.
    pub slot: SlotGuard,
}

/// Reason why an attempt gave no answer that can be forwarded.
pub enum AttemptFailure {
    /// The upstream stated that it did not run the request. The guard still holds its slot there.
    NotRun(SlotGuard),
    /// No connection was established; nothing was sent.
    Unreachable,
    /// The request may have run; the text gives the cause.
    MayHaveRun(&'static str),
    /// The status of the answer promises that the request has not run, but the upstream does not state
    /// so. The request may have run.
    UnclearRefusal,
    /// The upstream answered with a server error, and a retry was taken from the shared limit.
    ServerError,
    /// The upstream was silent, and the request may have run. The guard holds a slot at the upstream
    /// that replaces it.
    Replaced(SlotGuard),
    /// The deadline of the request passed before its answer arrived.
    TimeUp,
}

impl AttemptFailure {
    /// Reason that the caller is given if this attempt may have run; none if it has not, or if the
    /// caller's time has passed.
    #[must_use]
    pub fn unknown_outcome(&self) -> Option<RefusalReason> {
        match self {
            Self::MayHaveRun(_) | Self::ServerError | Self::Replaced(_) => {
                Some(RefusalReason::Broken)
            }
            Self::UnclearRefusal => Some(RefusalReason::UnclearRefusal),
            Self::NotRun(_) | Self::Unreachable | Self::TimeUp => None,
        }
    }
}

/// Times of one attempt for the log. The line is written on drop if no head of an answer arrived,
/// so that attempts which end because their caller disconnected are logged too.
struct AttemptTrace<'call> {
    /// Attempt id from the caller's request.
    request: &'call str,
    fleet: &'call FleetHandle,
    /// Upstream that the request was sent to.
    upstream: UpstreamId,
    /// Start of the attempt.
    started: Instant,
    /// When the connection to the upstream was established, if it was.
    connected: Cell<Option<Instant>>,
    /// Whether the head of an answer arrived.
    answered: bool,
}

impl Drop for AttemptTrace<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let connected = self.connected.get();
        let connect_ms = connected.map(|at| millis(at.saturating_duration_since(self.started)));
        // `listed`: what the entry now knows of the upstream from the platform's list.
        let listed = self
            .fleet
            .with(|fleet| match fleet.upstreams.get(&self.upstream) {
                Some(state) if state.listing.draining => "draining",
                Some(_) => "ready",
                None => "gone",
            });
        let (request, upstream) = (self.request, &self.upstream);
        let wait_ms = millis(self.started.elapsed());
        log::info!(request, upstream, connect_ms, wait_ms, listed; "no answer from upstream");
    }
}

/// `duration` in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Slot of a request at an upstream: counts it as in flight there until dropped, and then records
/// its outcome.
pub struct SlotGuard {
    fleet: FleetHandle,
    /// Upstream whose slot the request takes.
    upstream: UpstreamId,
    /// Number of prompt tokens of the request that are not yet prefilled: all of them until the
    /// answer begins, then 0.
    unread: u32,
    /// Expected number of output tokens, as it was counted at the upstream.
    output: u32,
    /// Outcome that is recorded on drop.
    outcome: OutcomeCell,
    /// When the request took the slot.
    taken: Instant,
    /// Whether the request has been sent, so that it counts in the upstream's request rate.
    is_sent: bool,
    /// When the first event is expected; none if its time tells nothing of the upstream's speed.
    first_event: Option<ExpectedEvent>,
    /// Reports what the attempt shows of the parts of the request's prompt; none if nothing is to be
    /// reported.
    witness: Option<AttemptWitness>,
}

/// Expected first event of an answer.
#[derive(Clone, Copy)]
struct ExpectedEvent {
    /// Life of the upstream to which the request was sent.
    born: u64,
    /// When the request was sent.
    sent: Instant,
    /// Expected time from then to the event, at the upstream's usual speed.
    time: Duration,
}

/// Outcome of an attempt so far, shared between the attempt and the task that waits for it.
pub type OutcomeCell = Rc<Cell<SendOutcome>>;

impl SlotGuard {
    /// Creates the guard of a request of `prompt_tokens` tokens and `output` expected output tokens
    /// that admission counted at `upstream`.
    #[must_use]
    pub fn new(fleet: FleetHandle, upstream: UpstreamId, prompt_tokens: u32, output: u32) -> Self {
        Self {
            fleet,
            upstream,
            unread: prompt_tokens,
            output,
            taken: Instant::now(),
            outcome: Rc::new(Cell::new(SendOutcome::Abandoned)),
            is_sent: false,
            first_event: None,
            witness: None,
        }
    }

    /// Lets `witness` report what the attempt shows of the parts of the request's prompt.
    #[must_use]
    pub fn with_witness(mut self, witness: AttemptWitness) -> Self {
        self.witness = Some(witness);
        self
    }

    /// The outcome that is recorded on drop, for whoever gives up the attempt that holds this guard.
    #[must_use]
    pub fn outcome(&self) -> OutcomeCell {
        self.outcome.clone()
    }

    /// Records that the answer began, so that the request's prompt has been prefilled.
    pub fn answer_started(&mut self) {
        if let Some(witness) = &self.witness {
            witness.record_answer();
        }
        let unread = std::mem::take(&mut self.unread);
        self.fleet
            .with(|fleet| fleet.upstreams.answer_started(&self.upstream, unread));
        self.fleet.notify_requests_changed();
    }

    /// Records that the request is sent at `now` to the life `born` of the upstream, so that the time of
    /// its first event tells the upstream's speed.
    fn expect_first_event(&mut self, born: u64, now: Instant) {
        let time = self.fleet.with(|fleet| {
            let state = fleet.upstreams.get(&self.upstream)?;
            expected_first_event(fleet, state, self.unread, now)
        });
        self.first_event = time.map(|time| ExpectedEvent {
            born,
            sent: now,
            time,
        });
    }

    /// Records that the first event of a stream arrived, for the upstream's speed.
    pub fn record_first_event(&mut self) {
        let Some(ExpectedEvent { born, sent, time }) = self.first_event.take() else {
            return;
        };
        let now = Instant::now();
        let measured = now.saturating_duration_since(sent);
        self.fleet.with(|fleet| {
            let (upstreams, id) = (&mut fleet.upstreams, &self.upstream);
            upstreams.record_first_event(id, born, measured, time, now);
        });
    }

    /// Records that the connection to the upstream broke before the answer began, as it does when the
    /// upstream crashes.
    pub fn record_break(&mut self) {
        self.outcome.set(SendOutcome::Failed);
        if let Some(witness) = &self.witness {
            witness.record_crash(&self.upstream);
        }
    }

    /// Records that the connection to the upstream broke after the answer began.
    pub fn record_late_break(&self) {
        if let Some(witness) = &self.witness {
            witness.record_break(&self.upstream, true);
        }
    }

    /// Records that the answer, a success, is complete.
    pub fn record_complete(&self) {
        let time = self.taken.elapsed();
        self.fleet
            .with(|fleet| fleet.record_answer_time(&self.upstream, time));
        if let Some(witness) = &self.witness {
            witness.record_complete();
        }
    }

    /// Sets the outcome that is recorded on drop; [`SendOutcome::Abandoned`] if never set.
    pub fn set_outcome(&mut self, outcome: SendOutcome) {
        self.outcome.set(outcome);
    }

    /// Id of the upstream whose slot the request takes.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let (upstream, outcome, unread) = (&self.upstream, self.outcome.get(), self.unread);
        self.fleet.with(|fleet| {
            fleet.upstreams.remove_output(upstream, self.output);
            if !self.is_sent {
                fleet.rates.give_back(upstream);
            }
            fleet
                .upstreams
                .record_outcome(upstream, outcome, unread, now);
        });
        self.fleet.notify_requests_changed();
    }
}

/// Sends `request` to the upstream of `slot` and waits up to `wait_limit` for the head of the
/// answer. `last_event` is the id of the event after which a stream is to be resumed.
///
/// # Errors
/// The upstream gave no answer that can be forwarded; the failure states why.
pub async fn send_once<Dialect>(
    dialect: &Dialect,
    fleet: &FleetHandle,
    metrics: &RelayMetrics,
    request: &ForwardedRequest,
    last_event: Option<u64>,
    wait_limit: Duration,
    mut slot: SlotGuard,
) -> Result<OpenAnswer, AttemptFailure>
where
    Dialect: WireDialect,
{
    let now = Instant::now();
    let time_left = request.deadline.saturating_duration_since(now);
    let upstream = slot.upstream.clone();
    let target = find_target(fleet, &slot, now).ok_or(AttemptFailure::Unreachable)?;
    let (address, born, weights) = (target.address, target.born, target.weights);
    // The rest of a stream is not preceded by a prefill of the prompt alone.
    if last_event.is_none() {
        slot.expect_first_event(born, now);
    }
    slot.is_sent = true;
    if let Some(witness) = &mut slot.witness {
        witness.record_sent(born, now);
    }
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
    let mut forwarded = Request::new(Full::new(request.body.clone()));
    *forwarded.method_mut() = request.method.clone();
    *forwarded.uri_mut() = request.target.clone();
    *forwarded.headers_mut() = headers;
    let connect_timeout = CONNECT_TIMEOUT.min(time_left);
    let mut trace = AttemptTrace {
        request: &request.id,
        fleet,
        upstream: upstream.clone(),
        started: now,
        connected: Cell::new(None),
        answered: false,
    };
    let sent = async {
        let stream = http_client::connect(address, connect_timeout).await?;
        trace.connected.set(Some(Instant::now()));
        http_client::send_on(stream, forwarded).await
    };
    let (response, connection) = match timeout(wait_limit.min(time_left), sent).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => return Err(exchange_failure(&mut slot, &request.id, &err)),
        Err(_) if wait_limit < time_left => {
            slot.set_outcome(SendOutcome::Failed);
            return Err(AttemptFailure::MayHaveRun("silent"));
        }
        Err(_) => return Err(AttemptFailure::TimeUp),
    };
    trace.answered = true;
    let head = dialect.read_answer(response.status(), response.headers());
    if let Some(left) = head.cold_left {
        fleet.with(|fleet| {
            fleet
                .upstreams
                .record_cold_start(&upstream, left, Instant::now());
        });
    }
    // Only an answer to this attempt says something of this upstream.
    if head.id.as_ref() == Some(&request.id) {
        record_notices(fleet, metrics, &request.id, &upstream, born, &head.notices);
        record_limit(fleet, metrics, request, &upstream, born, &head, now);
        record_load(fleet, &mut slot, born, &head.load);
    }
    match classify_answer(&request.id, response.status(), &head) {
        AnswerKind::Forwardable => {}
        AnswerKind::NotRun => {
            slot.set_outcome(SendOutcome::NotRun);
            log::info!(
                request = request.id, upstream, status = response.status().as_u16();
                "upstream did not run the request"
            );
            return Err(AttemptFailure::NotRun(slot));
        }
        AnswerKind::UnclearRefusal => {
            discard_answer(&mut slot, &request.id, response.status(), &head);
            return Err(AttemptFailure::UnclearRefusal);
        }
        AnswerKind::Invalid => {
            discard_answer(&mut slot, &request.id, response.status(), &head);
            return Err(AttemptFailure::MayHaveRun("foreign answer"));
        }
    }
    let server_error = response.status() >= StatusCode::INTERNAL_SERVER_ERROR;
    slot.set_outcome(if server_error {
        SendOutcome::Failed
    } else {
        SendOutcome::Answered
    });
    Ok(OpenAnswer {
        response,
        head,
        connection,
        slot,
    })
}

/// What the head of an answer says of an attempt.
enum AnswerKind {
    /// The answer can be passed on.
    Forwardable,
    /// The upstream states that it did not run the request.
    NotRun,
    /// The status promises that the request has not run, but the upstream does not state so, or its
    /// statement names no attempt.
    UnclearRefusal,
    /// The answer belongs to another attempt, its body has a content encoding, it is a success without
    /// the upstream's signature, or its status is not that of a final answer.
    Invalid,
}

/// Classifies the answer with `status` and `head` to the attempt `attempt_id`.
fn classify_answer(attempt_id: &str, status: StatusCode, head: &AnswerHead) -> AnswerKind {
    let is_own = head.id.as_deref() == Some(attempt_id);
    // A statement without an id may be about any attempt.
    if head.not_run && is_own {
        return AnswerKind::NotRun;
    }
    let foreign = head.id.is_some() && !is_own;
    let unsigned = status.is_success() && !head.sealed;
    if foreign || head.encoded || unsigned || !FINAL_STATUSES.contains(&status.as_u16()) {
        return AnswerKind::Invalid;
    }
    if head.not_run || refusal::promises_not_run(status) {
        return AnswerKind::UnclearRefusal;
    }
    AnswerKind::Forwardable
}

/// Logs why the answer to `request` with `status` and `head` is not passed on, and records in `slot` that
/// the upstream failed.
fn discard_answer(slot: &mut SlotGuard, request: &str, status: StatusCode, head: &AnswerHead) {
    slot.set_outcome(SendOutcome::Failed);
    let upstream = &slot.upstream;
    let foreign = head.id.as_deref().is_some_and(|id| id != request);
    let unsigned = status.is_success() && !head.sealed;
    let status = status.as_u16();
    let invalid_status = !FINAL_STATUSES.contains(&status);
    let (no_id, states_not_run) = (head.id.is_none(), head.not_run);
    // `foreign`: the answer carries the id of another attempt; `no_id`: it carries none; `unsigned`: it is
    // a success without the upstream's signature; `states_not_run`: it states that the request did not
    // run. If none is set nor `invalid_status`, the body had a content encoding, or the status promises
    // that the request has not run.
    log::warn!(
        request, upstream, status, foreign, no_id, unsigned, invalid_status, states_not_run;
        "answer not passed on"
    );
}

/// Upstream of an attempt, as the entry knows it.
struct UpstreamTarget {
    /// Address to which the request is sent.
    address: SocketAddr,
    /// Life of the upstream.
    born: u64,
    /// Version of the weights that it must still hold when it runs the request.
    weights: Option<WeightsVersion>,
}

/// The upstream of `slot`; none if it is no longer known.
fn find_target(fleet: &FleetHandle, slot: &SlotGuard, now: Instant) -> Option<UpstreamTarget> {
    fleet.with(|fleet| {
        let state = fleet.upstreams.get(&slot.upstream)?;
        Some(UpstreamTarget {
            address: state.listing.address,
            born: state.listing.born,
            weights: expected_weights(fleet, state, now),
        })
    })
}

/// Whether an attempt that failed for this reason ended as one does whose upstream crashes.
#[must_use]
pub fn is_break(reason: &str) -> bool {
    matches!(
        reason,
        "broken exchange" | "connection broke" | "ended within an event"
    )
}

/// Records what the upstream says of itself in its answer to `request`; `born` is its life to which the
/// request was sent.
fn record_notices(
    fleet: &FleetHandle,
    metrics: &RelayMetrics,
    request: &str,
    upstream: &UpstreamId,
    born: u64,
    notices: &UpstreamNotices,
) {
    let now = Instant::now();
    let leaving = notices.leaving
        && fleet.with(|fleet| {
            let upstreams = &mut fleet.upstreams;
            upstreams.record_leaving(upstream, born, Duration::ZERO, now)
        });
    if leaving {
        log::info!(request, upstream, born; "upstream is leaving");
        metrics.record_notice("leaving");
    }
    let Some(time) = notices.hold else {
        return;
    };
    if fleet.with(|fleet| fleet.upstreams.record_hold(upstream, time, now)) {
        log::info!(request, upstream, hold_ms = millis(time.min(MAX_HOLD)); "hold begun");
        metrics.record_notice("hold");
    }
}

/// Records the limit that the answer with `head` states, or that it states none. `sent` is the start of
/// the attempt.
fn record_limit(
    fleet: &FleetHandle,
    metrics: &RelayMetrics,
    request: &ForwardedRequest,
    upstream: &UpstreamId,
    born: u64,
    head: &AnswerHead,
    sent: Instant,
) {
    let now = Instant::now();
    let (rate, at) = match head.notices.limit {
        LimitNotice::Limited(rate) => (Some(rate), now),
        // An answer without a signature may not be the worker's own.
        LimitNotice::Unlimited if head.sealed && !head.not_run => (None, sent),
        LimitNotice::Unlimited => return,
        LimitNotice::Unreadable => {
            metrics.record_notice("unreadable_limit");
            if fleet.with(|fleet| fleet.upstreams.record_unreadable_limit(upstream)) {
                log::warn!(request = request.id, upstream, born; "stated limit is malformed");
            }
            return;
        }
    };
    let change = fleet.with(|fleet| {
        let upstreams = &mut fleet.upstreams;
        let change = upstreams.record_limit(upstream, born, rate, at, true, now);
        if change != LimitChange::Unchanged {
            fleet.limits_changed.notify_one();
        }
        change
    });
    if change == LimitChange::Unchanged {
        return;
    }
    if change == LimitChange::Begun {
        metrics.record_notice("limit");
    }
    // None if the limit has ended.
    let per_second = rate.map(RequestRate::per_second);
    log::info!(request = request.id, upstream, born, per_second; "stated limit changed");
}

/// Records the load that an answer to the request of `slot` states; `born` is the life of the upstream to
/// which the request was sent.
fn record_load(fleet: &FleetHandle, slot: &mut SlotGuard, born: u64, load: &StatedLoad) {
    // The first event may have waited for requests that this entry did not know of.
    if load.waiting.is_some_and(|waiting| waiting > 0) {
        slot.first_event = None;
    }
    if let Some(speed) = load.speed {
        let now = Instant::now();
        fleet.with(|fleet| {
            fleet
                .upstreams
                .record_speed(&slot.upstream, born, speed, now);
        });
    }
}

/// Expected time until the upstream, an engine, sends the first event of a request with `tokens` prompt
/// tokens, at its usual speed; none if that cannot be compared with the measured time.
fn expected_first_event(
    fleet: &FleetState,
    state: &UpstreamState,
    tokens: u32,
    now: Instant,
) -> Option<Duration> {
    let catalog = fleet.catalog.as_ref()?;
    let engine = catalog.service(&state.listing.service)?.engine.as_ref()?;
    chooser::expected_first_event(state, engine, tokens, now)
}

/// Logs why an upstream gave no answer to `request`, and records the outcome in `slot`.
fn exchange_failure(slot: &mut SlotGuard, request: &str, err: &ExchangeError) -> AttemptFailure {
    // The request was not sent to the upstream, or the connection broke before the answer's head.
    log::info!(request, upstream = slot.upstream, err:%; "send failed");
    match err {
        ExchangeError::Exchange(_) => {
            slot.record_break();
            AttemptFailure::MayHaveRun("broken exchange")
        }
        // An upstream that sends what is no answer has not crashed.
        ExchangeError::Malformed { .. } => {
            slot.set_outcome(SendOutcome::Failed);
            AttemptFailure::MayHaveRun("malformed answer")
        }
        ExchangeError::Connect(_) | ExchangeError::ConnectTimeout => {
            slot.set_outcome(SendOutcome::Unreachable);
            AttemptFailure::Unreachable
        }
    }
}

/// Version of the weights that the upstream must still hold when it runs the request: the version
/// in its agent's last report, or else in the list of upstreams, once older versions of the model may
/// no longer serve. None while all versions may serve, and for upstreams without weights.
fn expected_weights(
    fleet: &FleetState,
    state: &UpstreamState,
    now: Instant,
) -> Option<WeightsVersion> {
    let catalog = fleet.catalog.as_ref()?;
    let engine = catalog.service(&state.listing.service)?.engine.as_ref()?;
    fleet.weights.get(&engine.model)?.required(now)?;
    state.weights(now)
}
