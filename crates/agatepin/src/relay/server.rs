//! HTTP servers of an entry: for callers' requests, the directory (callers query it for addresses of
//! entries), the readiness check, metrics and the state dump.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::part_evidence::{PartEvidence, PartKey};
use agatepin_core::relay::speed::SpeedFactor;
use agatepin_core::relay::stated_limit::RequestRate;
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::relay::admit::{self, EntryIdentity};
use crate::relay::body::ReplyBody;
use crate::relay::caller_body::{CallerBody, UnreadInput};
use crate::relay::connection_limit::{ConnectionEntry, ConnectionLimit};
use crate::relay::connection_timer::{ConnectionTimer, GuardedBody, TimedStream, TimeoutSource};
use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::metrics::RelayMetrics;
use crate::relay::part_watch::state_name;
use crate::relay::ports::WireDialect;
use crate::relay::refusal::{self, RefusalReason};

/// Time for which callers may cache the addresses of entries in an answer of the directory.
const ADDRESSES_TTL: Duration = Duration::from_secs(2);
/// Read buffer of a connection, in bytes, which bounds the size of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest time for which a connection with unread input stays open for reading after its close.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed accept of a connection, mostly for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// HTTP/1.1 server of one listener, with the two steps of a graceful shutdown.
pub struct HttpServer<Timeouts> {
    /// Socket that connections are accepted from.
    pub listener: TcpListener,
    /// Cancelled when no new connections are accepted any more, and idle ones are closed.
    pub closing: CancellationToken,
    /// Cancelled when connections are to be closed after their next answer.
    pub leaving: CancellationToken,
    /// Tracks the open connections.
    pub connections: TaskTracker,
    /// Source of the connections' time limits.
    pub timeouts: Timeouts,
    /// Limit on the number of connections.
    pub limit: ConnectionLimit,
}

impl<Timeouts> HttpServer<Timeouts>
where
    Timeouts: TimeoutSource,
{
    /// Accepts connections and answers their requests by `answer`, until `closing` is cancelled. The
    /// connections that wait to be accepted then are still served.
    pub async fn run<Answer, Answering>(self, answer: Answer)
    where
        Answer: Fn(Request<CallerBody>) -> Answering + Clone + 'static,
        Answering: Future<Output = Response<ReplyBody>> + 'static,
    {
        let Self {
            listener,
            closing,
            leaving,
            connections,
            timeouts,
            limit,
        } = self;
        let spawn_serve = |stream| {
            let timer = ConnectionTimer::start();
            let Some(entry) = limit.admit(&timer) else {
                return;
            };
            let connection = serve(
                stream,
                timer,
                entry,
                timeouts.clone(),
                leaving.clone(),
                closing.clone(),
                answer.clone(),
            );
            actix_rt::spawn(connections.track_future(connection));
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = closing.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let was_full = limit.is_full();
                    spawn_serve(stream);
                    if was_full {
                        // The connection that is closed for this one ends first.
                        tokio::task::yield_now().await;
                    }
                }
                Err(err) => {
                    log::warn!(err:%; "accept of an HTTP connection failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        waiting_connections(listener).for_each(spawn_serve);
    }
}

/// Accepts the connections that wait at `listener`, which would be reset when it is closed.
fn waiting_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || listener.as_ref()?.accept().ok()).filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

/// Serves one connection until it ends. Once `leaving` is cancelled, its next answer is the last one;
/// once `closing` is, it is closed if no request is in progress or has arrived.
async fn serve<Timeouts, Answer, Answering>(
    stream: TcpStream,
    timer: Rc<ConnectionTimer>,
    entry: ConnectionEntry,
    timeouts: Timeouts,
    leaving: CancellationToken,
    closing: CancellationToken,
    answer: Answer,
) where
    Timeouts: TimeoutSource,
    Answer: Fn(Request<CallerBody>) -> Answering,
    Answering: Future<Output = Response<ReplyBody>>,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY cannot be set on an HTTP connection: {err}");
    }
    let (unread, discarder) = UnreadInput::channel(entry.limit().discards());
    let service = service_fn(|request| {
        let guard = timer.begin_request();
        let answering = answer(unread.watch(request, guard.clone()));
        let (unread, leaving, timer) = (unread.clone(), leaving.clone(), timer.clone());
        async move {
            let answered = AssertUnwindSafe(answering).catch_unwind().await;
            let mut response = answered.unwrap_or_else(|_| {
                // The panic hook has logged where. Without an answer, the caller would not know that the
                // request may have run.
                log::error!("handler of a request panicked");
                refusal::reply(RefusalReason::Broken, None)
            });
            if unread.must_close() || leaving.is_cancelled() || timer.is_last() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard }))
        }
    });
    // A connection that is accepted during the shutdown still has its first request answered.
    let is_last = leaving.is_cancelled();
    let io = TimedStream {
        stream,
        timer: timer.clone(),
    };
    let mut connection = http1::Builder::new()
        .keep_alive(!is_last)
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let mut serving = Box::pin(async {
        tokio::select! {
            // A request that has arrived is read before its connection counts as idle.
            biased;
            ended = &mut connection => ended,
            () = closing.cancelled(), if !is_last => {
                let polled = timer.poll_with_arrived_input(&mut connection).await;
                if let Poll::Ready(ended) = polled {
                    return ended;
                }
                // Hyper takes a connection with a part of a head for idle. The answer to that request is the
                // last one, as `leaving` is cancelled first.
                if !timer.has_partial_head() {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
                (&mut connection).await
            }
        }
    });
    let mut discarding = std::pin::pin!(discarder.run());
    let ended = loop {
        tokio::select! {
            biased;
            ended = &mut serving => break ended,
            never = &mut discarding => match never {},
            () = timer.expired(&timeouts) => {}
        }
        // A request that has arrived counts before the timer.
        let polled = timer.poll_with_arrived_input(&mut serving).await;
        if let Poll::Ready(ended) = polled {
            break ended;
        }
        if timer.serves_request() {
            timer.end_after_answer();
        } else if timer.is_expired(timeouts.timeouts()) {
            return;
        }
    };
    drop(serving);
    // Hyper refuses a head that it cannot parse by itself, and reads no further.
    let refused_head = ended.as_ref().is_err_and(hyper::Error::is_parse);
    if let Err(err) = ended {
        log::debug!("HTTP connection from a client failed: {err}");
    }
    let stream = connection.into_parts().io.into_inner().stream;
    if refused_head || unread.must_close() {
        linger(stream).await;
    }
}

/// Closes a connection whose caller may still be sending: ends the answer, then reads and discards
/// until the caller closes. A close with unread input would reset the connection, and the caller
/// may then lose the answer.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut nowhere = tokio::io::sink();
    let discarding = tokio::io::copy(&mut stream, &mut nowhere);
    // The connection is closed whether or not the caller has closed it.
    let _ = timeout(LINGER_TIME, discarding).await;
}

/// Answers queries of callers for addresses of entries, the platform's readiness check, and
/// requests for metrics and the state dump.
pub struct DirectoryHandler<Dialect> {
    /// Decodes queries and encodes answers.
    pub dialect: Dialect,
    /// State of the fleet as this entry knows it.
    pub fleet: FleetHandle,
    /// Name and location of this entry.
    pub identity: Rc<EntryIdentity>,
    /// This entry's own listing, with its address for callers.
    pub own: EntryListing,
    /// Metrics that are served at `/metrics`.
    pub metrics: RelayMetrics,
}

impl<Dialect> DirectoryHandler<Dialect>
where
    Dialect: WireDialect,
{
    /// Answers one request: a readiness check, a directory query, or an operator's request.
    pub fn answer<Content>(&self, request: &Request<Content>) -> Response<ReplyBody> {
        let uri = request.uri();
        if self.dialect.is_readiness_check(uri) {
            let ready = self.fleet.is_ready();
            return empty_answer(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        let Some(query) = self.dialect.read_directory_query(uri) else {
            return self.serve_operator_path(uri.path());
        };
        let ready = self.fleet.is_ready();
        let own = Some(&self.own).filter(|_| ready);
        let addresses: Vec<SocketAddr> = self.fleet.with(|fleet| {
            let (dc, region) = (&query.data_centre, &query.region);
            let now = Instant::now();
            fleet
                .entries
                .addresses(&self.identity.name, own, dc, region, now)
        });
        if addresses.is_empty() {
            return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = self.dialect.write_addresses(&addresses, ADDRESSES_TTL);
        let mut response = Response::new(ReplyBody::from(body));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

impl<Dialect> DirectoryHandler<Dialect> {
    /// Serves metrics and the state dump; 404 for other paths.
    fn serve_operator_path(&self, path: &str) -> Response<ReplyBody> {
        let body = match path {
            "/metrics" => {
                let now = Instant::now();
                self.fleet.with(|fleet| {
                    for (service, level) in &fleet.levels {
                        self.metrics.record_level(service, level.level());
                        let places = admit::place_snapshot(fleet, service, now);
                        self.metrics.record_places(service, &places);
                    }
                });
                self.metrics.encode().map_err(|err| err.to_string())
            }
            "/dump" => Ok(self
                .fleet
                .with(|fleet| dump_state(fleet, &self.identity.name))),
            _ => return empty_answer(StatusCode::NOT_FOUND),
        };
        match body {
            Ok(body) => Response::new(ReplyBody::from(Bytes::from(body))),
            Err(err) => {
                log::warn!(path, err; "metrics of the entry cannot be encoded");
                empty_answer(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

/// Encodes the fleet as the entry `own` knows it as JSON, with the load of each upstream.
fn dump_state(fleet: &FleetState, own: &str) -> String {
    let now = Instant::now();
    let upstreams = fleet.upstreams.iter().map(|(id, state)| {
        json!({
            "id": id, "service": state.listing.service, "address": state.listing.address,
            "data_centre": state.listing.data_centre, "draining": state.listing.draining,
            "usable": state.is_usable(now), "cold": state.is_cold(now),
            "weights": state.weights(now), "load": state.load(now), "unread": state.unread(now),
            "own_in_flight": state.own.in_flight, "lapsed": state.is_lapsed(),
            "leaving": state.is_leaving(),
            "held_ms": state.hold().left(now).map(|left| left.as_millis()),
            "speed": state.speed_factor(now).ratio(),
            "memory_used": state.memory(now).map(|memory| memory.used),
            "memory_max": state.memory(now).map(|memory| memory.max),
            "stated_speed": state.stated_speed(now).map(SpeedFactor::ratio),
            "limit_per_s": state.limit().rate().map(RequestRate::per_second),
        })
    });
    let weights = fleet.weights.iter().map(|(model, schedule)| {
        let announced = schedule
            .announced(now)
            .map(|(version, age)| json!({ "version": version, "age_s": age.map(|age| age.as_secs_f64()) }));
        json!({
            "model": model, "required": schedule.required(now),
            "named": announced.collect::<Vec<_>>(),
        })
    });
    let suspects = fleet.parts.suspects(now).into_iter();
    let parts = suspects.map(|(key, evidence)| dump_part(key, evidence, now));
    let state = json!({
        "entry": own,
        "leaving": fleet.shutdown.is_some(),
        "catalog": fleet.catalog.as_ref().map(|catalog| catalog.version()),
        "evacuated": fleet.upstreams.evacuated().collect::<Vec<_>>(),
        "entries_alive": fleet.entries.alive_names(own, now).collect::<Vec<_>>(),
        "agents": fleet.agents.len(),
        "weights": weights.collect::<Vec<_>>(),
        "upstreams": upstreams.collect::<Vec<_>>(),
        "suspect_parts": parts.collect::<Vec<_>>(),
    });
    state.to_string()
}

/// Encodes what is known of a part of prompts whose requests crashed upstreams.
fn dump_part(key: &PartKey, evidence: &PartEvidence, now: Instant) -> Value {
    let age = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
    let crashes = evidence.crashes().iter().map(|(id, crash)| {
        json!({
            "upstream": id.upstream, "born": id.born, "sole": crash.sole,
            "sent_age_s": age(crash.sent), "age_s": age(crash.noticed),
        })
    });
    json!({
        "service": key.service, "part": key.part, "state": state_name(evidence.state(now)),
        "waves": evidence.waves(now), "on_trial": evidence.is_on_trial(now),
        "crashes": crashes.collect::<Vec<_>>(),
        "first_event_age_s": evidence.first_event().map(age),
    })
}

/// Builds an answer with this status and no body.
fn empty_answer(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
