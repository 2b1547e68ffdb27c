//! Relays a caller's request, from its head to its answer: route lookup, admission, attempts at
//! upstreams with retries, and refusals.

mod retries;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{RegionId, ServiceId, UpstreamId};
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::caller_time::CallerTime;
use agatepin_core::relay::catalog::{LookupError, RouteSpec};
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::upstreams::SendOutcome;
use hyper::header::CONTENT_LENGTH;
use hyper::http::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use self::retries::{PastAttempts, RetryDecision};
use crate::relay::access_log::{AccessRecord, FullRecord};
use crate::relay::admit::{self, AdmissionCriteria, EntryIdentity, admit};
use crate::relay::answer_buffer::{AnswerBuffers, BufferError};
use crate::relay::attempt::{AttemptFailure, ForwardedRequest, OpenAnswer, SlotGuard, send_once};
use crate::relay::body::{BODY_QUEUE_PARTS, ReplyBody};
use crate::relay::body_budget::BodyBudget;
use crate::relay::caller_body::CallerBody;
use crate::relay::fleet::FleetHandle;
use crate::relay::message::{
    forwarded_request_headers, forwarded_response_headers, head_bytes, read_body, request_digest,
    request_host,
};
use crate::relay::metrics::RelayMetrics;
use crate::relay::part_watch::PartWatch;
use crate::relay::ports::{TableStore, WireDialect};
use crate::relay::refusal::{self, RefusalReason, ReturnTime};
use crate::relay::stream::{self, EmptyAnswer, OpenStream, StreamResume};

/// Minimum time left until the request's deadline for an attempt to be started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Client timeout (time that the caller waits for its answer) of requests that state none.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// State of a request while it is relayed.
pub struct CallState {
    /// Request as it is forwarded to upstreams.
    pub request: ForwardedRequest,
    /// Route of the request.
    pub route: Arc<RouteSpec>,
    /// Service that serves the request, drawn at random from those of the route.
    pub service: ServiceId,
    /// Regions that the customer allows; all if empty.
    pub allowed_regions: Vec<RegionId>,
    /// Time of the request's caller.
    pub time: CallerTime,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of output tokens, as the request states it.
    pub output: StatedOutput,
    /// Customer and digest of path and body: the key under which upstreams' crashes that this request
    /// may have caused are counted.
    suspect: SuspectKey,
    /// Parts of the prompt, whose requests may crash upstreams.
    parts: PartWatch,
}

impl CallState {
    /// Time until the deadline.
    fn time_left(&self) -> Duration {
        let deadline = self.request.deadline;
        deadline.saturating_duration_since(Instant::now())
    }

    /// Number of attempts that the route allows after `sent` ones.
    pub fn further_attempts(&self, sent: usize) -> u32 {
        let sent = u32::try_from(sent).unwrap_or(u32::MAX);
        self.route.max_attempts.saturating_sub(sent)
    }
}

/// Relays callers' requests to upstreams.
pub struct CallRelay<Store, Dialect> {
    /// Translates between the platform's formats and the types of this module.
    dialect: Dialect,
    fleet: FleetHandle,
    /// Name and location of this entry.
    identity: Rc<EntryIdentity>,
    metrics: RelayMetrics,
    buffers: AnswerBuffers,
    /// Memory for bodies and answers.
    budget: BodyBudget,
    /// The relay only names the type of the store and does not use one.
    store: std::marker::PhantomData<Store>,
}

impl<Store, Dialect> Clone for CallRelay<Store, Dialect>
where
    Dialect: Clone,
{
    fn clone(&self) -> Self {
        Self {
            dialect: self.dialect.clone(),
            fleet: self.fleet.clone(),
            identity: self.identity.clone(),
            metrics: self.metrics.clone(),
            buffers: self.buffers.clone(),
            budget: self.budget.clone(),
            store: std::marker::PhantomData,
        }
    }
}

/// Answer of an upstream that can be forwarded.
enum ForwardedAnswer {
    /// A stream that has begun, and the headers of its answer.
    Stream(Box<OpenStream>, HeaderMap),
    /// An answer that was read completely.
    Whole(Response<ReplyBody>),
}

impl<Store, Dialect> CallRelay<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Creates a relay for the entry `identity`, whose bodies and answers are counted in `budget`.
    pub fn new(
        dialect: Dialect,
        fleet: FleetHandle,
        identity: Rc<EntryIdentity>,
        metrics: RelayMetrics,
        budget: BodyBudget,
    ) -> Self {
        Self {
            dialect,
            fleet,
            identity,
            metrics,
            buffers: AnswerBuffers::new(budget.clone()),
            budget,
            store: std::marker::PhantomData,
        }
    }

    /// Relays a request and returns the answer for its caller, or a refusal.
    pub async fn answer(self, request: Request<CallerBody>) -> Response<ReplyBody> {
        let started = Instant::now();
        let (parts, body) = request.into_parts();
        let head = self.dialect.read_request(&parts);
        let mut record = AccessRecord::new(head.id.clone(), started, self.metrics.clone());
        let Some(catalog) = self.fleet.with(|fleet| fleet.catalog.clone()) else {
            return refuse(record, RefusalReason::NoConfig);
        };
        record.catalog = catalog.version();
        if head_bytes(&parts) > catalog.limits().header_bytes {
            return refuse(record, RefusalReason::HeadTooLarge);
        }
        let host = request_host(&parts);
        let found = catalog.route(&host, parts.uri.path()).cloned();
        let found = found.and_then(|route| {
            let customer = catalog.customer(&route, head.key.as_deref())?;
            Ok((route, customer))
        });
        let (route, customer) = match found {
            Ok(found) => found,
            Err(LookupError::NoRoute) => return refuse(record, RefusalReason::NoRoute),
            Err(LookupError::UnknownKey) => return refuse(record, RefusalReason::UnknownKey),
        };
        record.route.clone_from(&route.name);
        record.objective = route.objective;
        if let Some(customer) = &customer {
            record.customer.clone_from(&customer.name);
        }
        if head.id.is_empty() {
            return refuse(record, RefusalReason::Malformed);
        }
        let client_timeout = head
            .client_timeout
            .unwrap_or(DEFAULT_CLIENT_TIMEOUT)
            .min(route.timeout);
        let deadline = started + client_timeout;
        let shutdown = self.fleet.with(|fleet| fleet.shutdown.clone());
        let body = tokio::select! {
            biased;
            body = read_body(body, &parts.headers, &catalog, client_timeout, &self.budget) => body,
            () = self.fleet.stopping.cancelled() => Err(RefusalReason::Leaving),
        };
        let body = match body {
            Ok(body) => body,
            Err(reason) => {
                let time = CallerTime::new(started, deadline, None);
                let latest = time.return_limit(Instant::now());
                let is_late = reason.return_time() == ReturnTime::AsLateAsPossible;
                record.record_head(reason.status().as_u16(), reason.code());
                let at_once = reason.return_time() == ReturnTime::AtOnce;
                let delay = is_late.then_some(latest);
                return refusal::reply(reason, delay.or(at_once.then_some(Duration::ZERO)));
            }
        };
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let customer_name = customer.as_ref().map(|customer| customer.name.clone());
        let suspect = SuspectKey {
            customer: customer_name.clone().unwrap_or_default(),
            body_digest: request_digest(path, &body),
        };
        let service = route.target(rand::random()).clone();
        let priority = customer.as_ref().and_then(|customer| customer.priority);
        let end = shutdown
            .as_ref()
            .map_or(deadline, |times| deadline.min(times.stop_at));
        let call = CallState {
            request: ForwardedRequest {
                id: head.id,
                method: parts.method.clone(),
                target: parts.uri.clone(),
                headers: forwarded_request_headers(&parts.headers),
                body,
                customer: customer_name,
                priority: priority.unwrap_or(route.priority).min(9),
                deadline: end,
            },
            allowed_regions: customer
                .map(|customer| customer.home_regions.clone())
                .unwrap_or_default(),
            parts: PartWatch::new(self.fleet.clone(), &service, head.parts),
            service,
            time: CallerTime::new(started, end, route.max_silence),
            route,
            last_event: head.last_event,
            prompt_tokens: head.prompt_tokens,
            output: head.output,
            suspect,
        };
        let kind = call.route.kind;
        if shutdown.is_some_and(|times| !times.admits(kind, deadline, started)) {
            return self.refuse(&call, record, RefusalReason::Leaving);
        }
        self.run_attempts(call, record).await
    }

    /// Sends a request to one upstream after another until there is an answer or a reason to
    /// refuse.
    async fn run_attempts(&self, call: CallState, mut record: AccessRecord) -> Response<ReplyBody> {
        let now = Instant::now();
        let refused = self.fleet.with(|fleet| {
            fleet.count_request(&call.service, now);
            fleet.suspects.is_refused(&call.suspect, now)
        });
        if refused {
            return self.refuse(&call, record, RefusalReason::Suspect);
        }
        if let Err(reason) = call.parts.check() {
            return self.refuse(&call, record, reason);
        }
        // Upstreams of all attempts, and the number of attempts without a connection.
        let mut tried = Vec::new();
        let mut unreachable = 0;
        // Why the request may have run at an upstream; none while it has run nowhere. Once set, no answer
        // may promise that the request has not run.
        let mut unknown = None;
        // Slot for the next attempt, if the last upstream was replaced.
        let mut replacement = None;
        loop {
            let slot = if let Some(slot) = replacement.take() {
                Ok(slot)
            } else {
                tokio::select! {
                    biased;
                    slot = self.acquire_slot(&call, &tried) => slot,
                    () = self.fleet.stopping.cancelled() => Err(RefusalReason::Leaving),
                }
            };
            let slot = match slot {
                Ok(slot) => slot,
                Err(reason) => return self.refuse(&call, record, reason.or_unknown(unknown)),
            };
            record.sent_to.push(slot.upstream().clone());
            tried.push(slot.upstream().clone());
            let sent = tried.len() - unreachable;
            let attempts = PastAttempts::new(&call, &tried, sent);
            let answered = tokio::select! {
                biased;
                answered = self.attempt(&call, &attempts, slot) => answered,
                () = self.fleet.stopping.cancelled() => Err(AttemptFailure::TimeUp),
            };
            let failure = match answered {
                Ok(ForwardedAnswer::Stream(stream, head)) => {
                    call.parts.end_trial();
                    return self.forward_stream(call, record, tried, *stream, &head);
                }
                Ok(ForwardedAnswer::Whole(response)) => {
                    record.record_head(response.status().as_u16(), "answered");
                    return response;
                }
                Err(failure) => failure,
            };
            if matches!(failure, AttemptFailure::Unreachable) {
                unreachable += 1;
            }
            let sent = tried.len() - unreachable;
            unknown = failure.unknown_outcome().or(unknown);
            match self.retry_decision(&call, &failure, sent, unreachable) {
                RetryDecision::Retry => {}
                RetryDecision::Refuse(reason) => {
                    return self.refuse(&call, record, reason.or_unknown(unknown));
                }
            }
            if let AttemptFailure::Replaced(slot) = failure {
                replacement = Some(slot);
            }
        }
    }

    /// Sends a request to the upstream of `slot`, the last of `attempts`, and reads its answer:
    /// completely, or to the first event of a stream.
    async fn attempt(
        &self,
        call: &CallState,
        attempts: &PastAttempts<'_>,
        slot: SlotGuard,
    ) -> Result<ForwardedAnswer, AttemptFailure> {
        let after = call.last_event;
        let answer = self.send(call, after, attempts, slot).await?;
        if is_event_stream(call, &answer) {
            // A caller that has all events of a stream asks for a rest that is empty.
            let empty = if after.is_some() && stream::has_marked_end(&answer.response) {
                EmptyAnswer::Complete
            } else {
                EmptyAnswer::Broken
            };
            let opened = self.open_stream(call, after, attempts, answer, empty);
            let (stream, head) = opened.await?;
            return Ok(ForwardedAnswer::Stream(Box::new(stream), head));
        }
        let response = self.buffer_answer(call, answer, attempts).await?;
        Ok(ForwardedAnswer::Whole(response))
    }

    /// Memory for bodies and answers.
    pub fn budget(&self) -> BodyBudget {
        self.budget.clone()
    }

    /// Cancelled when the requests still in progress are ended, as the process is about to exit.
    pub fn stopping(&self) -> CancellationToken {
        self.fleet.stopping.clone()
    }

    /// Refuses a request and tells its caller when to come back, in the time that it has left.
    fn refuse(
        &self,
        call: &CallState,
        mut record: AccessRecord,
        reason: RefusalReason,
    ) -> Response<ReplyBody> {
        let now = Instant::now();
        let latest = call.time.return_limit(now);
        let place_time = |least: Duration| {
            let known = self.fleet.with(|state| {
                admit::return_delay(state, &self.identity, &call.service, latest, now)
            });
            known.unwrap_or(latest).max(least).min(latest)
        };
        let delay = match reason.return_time() {
            ReturnTime::Never => None,
            ReturnTime::AtOnce => Some(Duration::ZERO),
            ReturnTime::WithPlace(least) => Some(place_time(least)),
            ReturnTime::After(time) => Some(time.min(latest)),
            ReturnTime::AsLateAsPossible => Some(latest),
        };
        record.record_head(reason.status().as_u16(), reason.code());
        record.full = reason.full_cause().map(|cause| FullRecord {
            cause,
            service: call.service.clone(),
            places: self
                .fleet
                .with(|state| admit::place_snapshot(state, &call.service, now)),
        });
        refusal::reply(reason, delay)
    }

    /// Waits for a free slot at an upstream that is not in `tried` (the upstreams of earlier
    /// attempts), and counts the attempt.
    async fn acquire_slot(
        &self,
        call: &CallState,
        tried: &[UpstreamId],
    ) -> Result<SlotGuard, RefusalReason> {
        let criteria = AdmissionCriteria {
            route: call.route.clone(),
            service: call.service.clone(),
            allowed_regions: call.allowed_regions.clone(),
            tried: tried.to_vec(),
            customer: call.request.customer.clone().unwrap_or_default(),
            prompt_tokens: call.prompt_tokens,
            output: call.output,
            priority: call.request.priority,
            time: call.time,
        };
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        if left < MIN_ATTEMPT_TIME {
            return Err(RefusalReason::TimeUpUnsent);
        }
        let slot = admit(&self.fleet, &self.identity, &self.metrics, criteria).await?;
        // A part may have become a suspect while the request waited. A trial begins only once it can run.
        call.parts.admit()?;
        self.metrics.record_attempt(&call.service);
        self.fleet.unreported.set(true);
        Ok(slot.with_witness(call.parts.witness(&call.suspect)))
    }

    /// Sends the request to the upstream of `slot` and waits for the head of the answer. `after` is the
    /// id of the event after which a stream is to be resumed.
    async fn send(
        &self,
        call: &CallState,
        after: Option<u64>,
        attempts: &PastAttempts<'_>,
        slot: SlotGuard,
    ) -> Result<OpenAnswer, AttemptFailure> {
        let wait_limit = if call.route.kind.is_retryable() {
            self.wait_limit(call, &slot)
        } else {
            call.time_left()
        };
        let outcome = slot.outcome();
        let (dialect, fleet, metrics) = (&self.dialect, &self.fleet, &self.metrics);
        let sent = send_once(
            dialect,
            fleet,
            metrics,
            &call.request,
            after,
            wait_limit,
            slot,
        );
        self.wait_or_replace(call, attempts, &outcome, sent).await
    }

    /// Longest wait for an answer's head or first event: until the deadline, or until the weights that
    /// the upstream of `slot` holds may no longer serve.
    fn wait_limit(&self, call: &CallState, slot: &SlotGuard) -> Duration {
        let now = Instant::now();
        let weights_deadline = self
            .fleet
            .with(|fleet| fleet.weights_deadline(slot.upstream(), now));
        let weights_left = weights_deadline.map(|deadline| deadline.saturating_duration_since(now));
        let left = call.time_left();
        left.min(weights_left.unwrap_or(left))
    }

    /// Waits for the first event after `after` of an answer, which stands for `empty` if it ends without
    /// one. Returns the stream and the headers of the answer.
    async fn open_stream(
        &self,
        call: &CallState,
        after: Option<u64>,
        attempts: &PastAttempts<'_>,
        answer: OpenAnswer,
        empty: EmptyAnswer,
    ) -> Result<(OpenStream, HeaderMap), AttemptFailure> {
        let headers = answer.response.headers().clone();
        let wait_limit = self.wait_limit(call, &answer.slot);
        let outcome = answer.slot.outcome();
        let opened = async {
            let opened = stream::open_stream(answer, after, wait_limit, empty).await;
            opened.map_err(|reason| match call.time_left() {
                Duration::ZERO => AttemptFailure::TimeUp,
                _ => AttemptFailure::MayHaveRun(reason),
            })
        };
        let stream = self.wait_or_replace(call, attempts, &outcome, opened);
        Ok((stream.await?, headers))
    }

    /// Starts a task that forwards the events of a stream, and returns the answer for the caller,
    /// whose body that task writes.
    fn forward_stream(
        &self,
        call: CallState,
        mut record: AccessRecord,
        tried: Vec<UpstreamId>,
        stream: OpenStream,
        headers: &HeaderMap,
    ) -> Response<ReplyBody> {
        let (sender, receiver) = mpsc::channel(BODY_QUEUE_PARTS);
        record.record_head(200, "streaming");
        let resume = StreamResume {
            relay: self.clone(),
            call,
            tried,
            record,
        };
        actix_rt::spawn(stream::relay_stream(stream, resume, sender));
        let mut response = Response::new(ReplyBody::Parts(receiver));
        *response.headers_mut() = forwarded_response_headers(headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        response
    }

    /// Resumes a broken stream after the event `last` at an upstream that is not in `tried`, and adds
    /// the upstream of each further attempt to `tried`. Returns none if no further attempt is possible.
    pub async fn resume(
        &self,
        call: &CallState,
        tried: &mut Vec<UpstreamId>,
        last: u64,
    ) -> Option<OpenStream> {
        let after = Some(last);
        let mut replacement = None;
        loop {
            let slot = match replacement.take() {
                Some(slot) => slot,
                None if call.further_attempts(tried.len()) == 0 => return None,
                None if !call.parts.is_clear() => return None,
                None => {
                    let slot = self.acquire_slot(call, tried).await.ok()?;
                    if !self.try_take_retry(call, Instant::now()) {
                        return None;
                    }
                    slot
                }
            };
            tried.push(slot.upstream().clone());
            let attempts = PastAttempts::new(call, tried, tried.len());
            let opened = async {
                let answer = self.send(call, after, &attempts, slot).await?;
                if !answer.response.status().is_success() {
                    return Err(AttemptFailure::MayHaveRun("no stream"));
                }
                // Without an event, nothing shows that the caller has the whole stream.
                let empty = EmptyAnswer::Broken;
                self.open_stream(call, after, &attempts, answer, empty)
                    .await
            };
            match opened.await {
                Ok((stream, _)) => {
                    call.parts.end_trial();
                    return Some(stream);
                }
                Err(AttemptFailure::Replaced(slot)) => replacement = Some(slot),
                Err(_) => {}
            }
        }
    }

    /// Reads an answer completely before any of it is forwarded. A server error counts as a failure if
    /// the request may be retried at another upstream that is not among `attempts`.
    async fn buffer_answer(
        &self,
        call: &CallState,
        answer: OpenAnswer,
        attempts: &PastAttempts<'_>,
    ) -> Result<Response<ReplyBody>, AttemptFailure> {
        let OpenAnswer {
            response,
            connection,
            mut slot,
            ..
        } = answer;
        let (parts, body) = response.into_parts();
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let buffered = timeout(left, self.buffers.collect(body)).await;
        drop(connection);
        let body = match buffered {
            Ok(Ok(buffered)) => buffered,
            Ok(Err(err)) => {
                if matches!(err, BufferError::Broken(_)) {
                    slot.record_break();
                }
                slot.set_outcome(SendOutcome::Failed);
                let (request, upstream) = (&call.request.id, slot.upstream());
                log::info!(request, upstream, err:%; "answer broke off");
                return Err(AttemptFailure::MayHaveRun("connection broke"));
            }
            Err(_) => return Err(AttemptFailure::TimeUp),
        };
        if parts.status.is_success() {
            slot.record_complete();
            slot.answer_started();
        }
        let retryable = parts.status.is_server_error() && call.route.kind.is_retryable();
        if retryable && attempts.further > 0 && self.has_other_upstream(call, attempts.tried) {
            // The retry may be refused as the shared limit is used up; the upstream's answer is better
            // than a failure of the entry's own.
            if self.try_take_retry(call, Instant::now()) {
                return Err(AttemptFailure::ServerError);
            }
        }
        let mut reply = Response::new(ReplyBody::from(body));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = forwarded_response_headers(&parts.headers);
        Ok(reply)
    }

    /// Whether an upstream of the service that is not in `tried` is usable, so that a retry after a
    /// server error can go to it.
    fn has_other_upstream(&self, call: &CallState, tried: &[UpstreamId]) -> bool {
        let now = Instant::now();
        self.fleet.with(|fleet| {
            let listed = fleet.upstreams.iter();
            let mut others = listed
                .filter(|(id, state)| state.listing.service == call.service && !tried.contains(id));
            others.any(|(_, state)| state.is_usable(now))
        })
    }
}

/// Whether the answer is a stream of events; others are read completely before any of them is
/// forwarded.
fn is_event_stream(call: &CallState, answer: &OpenAnswer) -> bool {
    let status = answer.response.status();
    let has_body = call.request.method != Method::HEAD && status != StatusCode::NO_CONTENT;
    call.route.kind.is_stream() && status.is_success() && has_body
}

/// Records a refusal of a request whose caller's time is not known, or has passed, and builds the
/// answer.
fn refuse(mut record: AccessRecord, reason: RefusalReason) -> Response<ReplyBody> {
    record.record_head(reason.status().as_u16(), reason.code());
    let at_once = reason.return_time() == ReturnTime::AtOnce;
    refusal::reply(reason, at_once.then_some(Duration::ZERO))
}
