//! A caller's request from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{RegionId, ServiceId, UpstreamId};
use agatepin_core::poison::{SuspectAdmission, SuspectKey};
use agatepin_core::relay::catalog::{LookupError, RouteSpec};
use agatepin_core::relay::upstreams::SendOutcome;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::HeaderMap;
use hyper::{Request, Response};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::relay::admit::{AdmissionWish, EntryIdentity, admit};
use crate::relay::body::{BODY_QUEUE, ReplyBody};
use crate::relay::fleet::FleetHandle;
use crate::relay::log_line::RequestLine;
use crate::relay::message::{
    answer_headers, digest, fingerprint, head_bytes, host_of, passed_headers, read_body,
};
use crate::relay::metrics::RelayMetrics;
use crate::relay::ports::{TableStore, WireDialect};
use crate::relay::refusal::{self, RefusalReason};
use crate::relay::send::{OpenAnswer, PassedRequest, PlaceGuard, SendFailure, send_once};
use crate::relay::stream::{self, OpenStream, StreamResume};

/// Largest answer that is held back until it is whole, in bytes.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;
/// Time after which an upstream that sends no first event is given up: callers leave after 2 s.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1_600);
/// Upstreams that a request may fail to reach before it is refused.
const MAX_UNREACHABLE: usize = 3;
/// Least time for which another send is worth while.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Patience for requests whose caller states none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);
/// A request on its way.
pub struct CallState {
    /// The request as it is passed on.
    pub request: PassedRequest,
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// Service that was drawn for it.
    pub service: ServiceId,
    /// Regions of its customer.
    pub allowed_regions: Vec<RegionId>,
    /// When it came.
    pub started: Instant,
    /// Last event that its caller has.
    pub last_event: Option<u64>,
    /// Prompt tokens.
    pub tokens: u32,
    /// Its caller was refused before, and cannot be answered within the objective any more.
    pub came_back: bool,
    /// Hash of its caller and content.
    fingerprint: u64,
    suspect: SuspectKey,
}

/// Relays requests.
pub struct CallRelay<Store, Dialect> {
    dialect: Dialect,
    fleet: FleetHandle,
    place: Rc<EntryIdentity>,
    metrics: RelayMetrics,
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
            place: self.place.clone(),
            metrics: self.metrics.clone(),
            store: std::marker::PhantomData,
        }
    }
}

/// What may follow a send that gave no answer.
enum AfterSend {
    Again,
    Refuse(RefusalReason),
}

impl<Store, Dialect> CallRelay<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// A relay for the entry at `place`.
    pub fn new(
        dialect: Dialect,
        fleet: FleetHandle,
        place: Rc<EntryIdentity>,
        metrics: RelayMetrics,
    ) -> Self {
        Self {
            dialect,
            fleet,
            place,
            metrics,
            store: std::marker::PhantomData,
        }
    }

    /// Answers a request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<ReplyBody> {
        let started = Instant::now();
        let (parts, body) = request.into_parts();
        let head = self.dialect.read_request(&parts);
        let mut line = RequestLine::new(head.id.clone(), started, self.metrics.clone());
        let Some(catalog) = self.fleet.with(|fleet| fleet.catalog.clone()) else {
            return refuse(line, RefusalReason::NoConfig);
        };
        line.catalog = catalog.version();
        if head_bytes(&parts) > catalog.limits().header_bytes {
            return refuse(line, RefusalReason::HeadTooLarge);
        }
        let host = host_of(&parts);
        let found = catalog.route(&host, parts.uri.path()).cloned();
        let found = found.and_then(|route| {
            let customer = catalog.customer(&route, head.key.as_deref())?;
            Ok((route, customer))
        });
        let (route, customer) = match found {
            Ok(found) => found,
            Err(LookupError::NoRoute) => return refuse(line, RefusalReason::NoRoute),
            Err(LookupError::UnknownKey) => return refuse(line, RefusalReason::UnknownKey),
        };
        line.route.clone_from(&route.name);
        if let Some(customer) = &customer {
            line.customer.clone_from(&customer.name);
        }
        if head.id.is_empty() {
            return refuse(line, RefusalReason::Malformed);
        }
        let client_timeout = head
            .client_timeout
            .unwrap_or(DEFAULT_PATIENCE)
            .min(route.timeout);
        let deadline = started + client_timeout;
        let body = match read_body(body, &parts.headers, &catalog, client_timeout).await {
            Ok(body) => body,
            Err(reason) => return refuse(line, reason),
        };
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let customer_name = customer.as_ref().map(|customer| customer.name.clone());
        let suspect = SuspectKey {
            customer: customer_name.clone().unwrap_or_default(),
            body_digest: digest(path, &body),
        };
        let may_be_retry = head.client_timeout.is_some_and(|client_timeout| {
            let (name, objective) = (&route.name, route.objective);
            self.fleet.with(|fleet| {
                fleet
                    .client_timeout
                    .may_be_retry(name, client_timeout, objective)
            })
        });
        let fingerprint = fingerprint(&suspect);
        let came_back = may_be_retry
            && self
                .fleet
                .with(|fleet| fleet.refused.was_refused(fingerprint, started));
        line.came_back = came_back;
        let service = route.target(rand::random()).clone();
        let priority = customer.as_ref().and_then(|customer| customer.priority);
        let call = CallState {
            request: PassedRequest {
                id: head.id,
                method: parts.method.clone(),
                target: parts.uri.clone(),
                headers: passed_headers(&parts.headers),
                body,
                customer: customer_name,
                priority: priority.unwrap_or(route.priority).min(9),
                deadline,
            },
            allowed_regions: customer
                .map(|customer| customer.home_regions.clone())
                .unwrap_or_default(),
            service,
            route,
            started,
            last_event: head.last_event,
            tokens: head.prompt_tokens,
            came_back,
            fingerprint,
            suspect,
        };
        self.serve(call, line).await
    }

    async fn serve(&self, call: CallState, mut line: RequestLine) -> Response<ReplyBody> {
        let now = Instant::now();
        let admission = self.fleet.with(|fleet| {
            fleet.first_send(&call.service, now);
            fleet.suspects.admission(&call.suspect, now)
        });
        if admission == SuspectAdmission::Refuse {
            return refuse(line, RefusalReason::Suspect);
        }
        let mut tried = Vec::new();
        let mut unreachable = 0;
        // Once it may have run somewhere, no refusal may say that it has not.
        let mut may_have_run = false;
        loop {
            let place = match self.find_place(&call, &tried).await {
                Ok(place) => place,
                Err(_) if may_have_run => return refuse(line, RefusalReason::Broken),
                Err(reason) => return self.refuse_unsent(&call, line, reason),
            };
            let upstream = place.upstream().clone();
            line.sent_to.push(upstream.clone());
            let failure = match self.send(&call, place).await {
                Ok(answer)
                    if call.route.kind.is_stream() && answer.response.status().is_success() =>
                {
                    match self.begin_stream(&call, answer).await {
                        Ok((stream, head)) => {
                            tried.push(upstream);
                            return self.pass_stream(call, line, tried, stream, &head);
                        }
                        Err(failure) => failure,
                    }
                }
                Ok(answer) => match self.whole_answer(&call, answer, tried.is_empty()).await {
                    Ok(response) => {
                        line.head(response.status().as_u16(), "answered");
                        return response;
                    }
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if matches!(failure, SendFailure::Unreachable) {
                unreachable += 1;
            }
            tried.push(upstream);
            let sent = tried.len() - unreachable;
            may_have_run |= matches!(failure, SendFailure::MayHaveRun(_));
            match self.after(&call, &failure, sent, unreachable) {
                AfterSend::Again => {}
                AfterSend::Refuse(RefusalReason::TimeUp) => {
                    return refuse(line, RefusalReason::TimeUp);
                }
                AfterSend::Refuse(_) if may_have_run => {
                    return refuse(line, RefusalReason::Broken);
                }
                AfterSend::Refuse(reason) => return self.refuse_unsent(&call, line, reason),
            }
        }
    }

    /// Refuses a request that has not run, and remembers it for when its caller comes back.
    fn refuse_unsent(
        &self,
        call: &CallState,
        line: RequestLine,
        reason: RefusalReason,
    ) -> Response<ReplyBody> {
        let now = Instant::now();
        self.fleet
            .with(|fleet| fleet.refused.record_refusal(call.fingerprint, now));
        self.fleet.untold.set(true);
        refuse(line, reason)
    }

    async fn find_place(
        &self,
        call: &CallState,
        tried: &[UpstreamId],
    ) -> Result<PlaceGuard, RefusalReason> {
        let wish = AdmissionWish {
            route: &call.route,
            service: &call.service,
            allowed_regions: &call.allowed_regions,
            tried,
            tokens: call.tokens,
            came_back: call.came_back,
            started: if tried.is_empty() {
                call.started
            } else {
                Instant::now()
            },
        };
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        if left < LEAST_TIME {
            return Err(RefusalReason::TimeUpUnsent);
        }
        let upstream = admit(&self.fleet, &self.place, &wish).await?;
        self.metrics.send(&call.service);
        self.fleet.untold.set(true);
        Ok(PlaceGuard::new(self.fleet.clone(), upstream, call.tokens))
    }

    async fn send(&self, call: &CallState, place: PlaceGuard) -> Result<OpenAnswer, SendFailure> {
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let client_timeout = if call.route.kind.is_retryable() {
            self.first_event_patience(&place, left)
        } else {
            left
        };
        let (request, last) = (&call.request, call.last_event);
        send_once(
            &self.dialect,
            &self.fleet,
            request,
            last,
            client_timeout,
            place,
        )
        .await
    }

    /// Time for the first event of a request that may be repeated: until its upstream counts as
    /// silent, or until the weights that it holds may not serve any more.
    fn first_event_patience(&self, place: &PlaceGuard, left: Duration) -> Duration {
        let now = Instant::now();
        let term = self
            .fleet
            .with(|fleet| fleet.weights_term(place.upstream(), now));
        let term = term.map(|term| term.saturating_duration_since(now));
        left.min(FIRST_EVENT_SILENCE).min(term.unwrap_or(left))
    }

    fn after(
        &self,
        call: &CallState,
        failure: &SendFailure,
        sent: usize,
        unreachable: usize,
    ) -> AfterSend {
        let now = Instant::now();
        let time_left = call.request.deadline.saturating_duration_since(now) > LEAST_TIME;
        let reason = match failure {
            SendFailure::Unreachable if unreachable < MAX_UNREACHABLE && time_left => {
                return AfterSend::Again;
            }
            SendFailure::Unreachable => return AfterSend::Refuse(RefusalReason::NoUpstream),
            SendFailure::TimeUp => return AfterSend::Refuse(RefusalReason::TimeUp),
            SendFailure::NotRun(_) => RefusalReason::NotRun,
            SendFailure::MayHaveRun(_) if !call.route.kind.is_retryable() => {
                return AfterSend::Refuse(RefusalReason::Broken);
            }
            SendFailure::MayHaveRun(reason) => {
                self.suspect(call, reason, sent);
                RefusalReason::Broken
            }
        };
        let allowed = sent < call.route.max_attempts as usize && time_left;
        if allowed && self.take_repeat(call, now) {
            return AfterSend::Again;
        }
        AfterSend::Refuse(reason)
    }

    fn take_repeat(&self, call: &CallState, now: Instant) -> bool {
        self.fleet.with(|fleet| {
            let entries = fleet.entries.alive(&self.place.name, now).count() + 1;
            let refused = fleet.suspects.admission(&call.suspect, now) == SuspectAdmission::Refuse;
            !refused && fleet.try_retry(&call.service, entries, now)
        })
    }

    /// Notes that an upstream broke off while the request ran there.
    fn suspect(&self, call: &CallState, reason: &str, sent: usize) {
        if !matches!(reason, "broken exchange" | "connection broke") {
            return;
        }
        let witness = format!("{}#{sent}", call.request.id);
        let now = Instant::now();
        let key = call.suspect.clone();
        self.fleet
            .with(|fleet| fleet.suspects.record_crashes(key, [witness], now));
    }

    async fn begin_stream(
        &self,
        call: &CallState,
        answer: OpenAnswer,
    ) -> Result<(OpenStream, HeaderMap), SendFailure> {
        let headers = answer.response.headers().clone();
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let client_timeout = self.first_event_patience(&answer.place, left);
        match stream::open_stream(answer, call.last_event, client_timeout).await {
            Ok(stream) => Ok((stream, headers)),
            Err(reason) => Err(SendFailure::MayHaveRun(reason)),
        }
    }

    fn pass_stream(
        &self,
        call: CallState,
        mut line: RequestLine,
        tried: Vec<UpstreamId>,
        stream: OpenStream,
        headers: &HeaderMap,
    ) -> Response<ReplyBody> {
        let (sender, receiver) = mpsc::channel(BODY_QUEUE);
        line.head(200, "streaming");
        let resume = StreamResume {
            relay: self.clone(),
            call,
            tried,
            line,
        };
        actix_rt::spawn(stream::relay_stream(stream, resume, sender));
        let mut response = Response::new(ReplyBody::Parts(receiver));
        *response.headers_mut() = answer_headers(headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        response
    }

    /// Sends a stream that broke off to another upstream, to go on after the event `last`.
    pub async fn resume(
        &self,
        call: &CallState,
        tried: &mut Vec<UpstreamId>,
        last: Option<u64>,
    ) -> Option<OpenStream> {
        while tried.len() < call.route.max_attempts as usize {
            if !self.take_repeat(call, Instant::now()) {
                return None;
            }
            let place = self.find_place(call, tried).await.ok()?;
            tried.push(place.upstream().clone());
            let left = call
                .request
                .deadline
                .saturating_duration_since(Instant::now());
            let client_timeout = self.first_event_patience(&place, left);
            let (dialect, fleet) = (&self.dialect, &self.fleet);
            let after = last.or(call.last_event);
            let sent = send_once(dialect, fleet, &call.request, after, client_timeout, place).await;
            let Ok(answer) = sent else {
                continue;
            };
            if !answer.response.status().is_success() {
                continue;
            }
            if let Ok(stream) = stream::open_stream(answer, after, client_timeout).await {
                return Some(stream);
            }
        }
        None
    }

    /// Reads an answer whole before any of it is passed on.
    async fn whole_answer(
        &self,
        call: &CallState,
        answer: OpenAnswer,
        first: bool,
    ) -> Result<Response<ReplyBody>, SendFailure> {
        let OpenAnswer {
            response,
            connection,
            mut place,
            ..
        } = answer;
        let (parts, body) = response.into_parts();
        let left = call
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let whole = timeout(left, Limited::new(body, MAX_HELD_BYTES).collect()).await;
        drop(connection);
        let body = match whole {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(err)) => {
                place.settle(SendOutcome::Failed);
                let (request, upstream) = (&call.request.id, place.upstream());
                log::info!(request, upstream, err:%; "answer broke off");
                return Err(SendFailure::MayHaveRun("connection broke"));
            }
            Err(_) => return Err(SendFailure::TimeUp),
        };
        let worth_again = parts.status.is_server_error() && call.route.kind.is_retryable();
        if worth_again && first && call.route.max_attempts > 1 && self.may_repeat_error(call) {
            return Err(SendFailure::MayHaveRun("upstream failed"));
        }
        let mut reply = Response::new(ReplyBody::from(body));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = answer_headers(&parts.headers);
        Ok(reply)
    }

    /// Whether another upstream is there to repeat a request that the first answered with a
    /// failure.
    fn may_repeat_error(&self, call: &CallState) -> bool {
        let now = Instant::now();
        self.fleet.with(|fleet| {
            let listed = fleet.upstreams.iter();
            let usable = listed
                .filter(|(_, state)| state.listing.service == call.service && state.is_usable(now));
            usable.count() > 1
        })
    }
}

fn refuse(mut line: RequestLine, reason: RefusalReason) -> Response<ReplyBody> {
    line.head(reason.status().as_u16(), reason.code());
    refusal::reply(reason)
}
