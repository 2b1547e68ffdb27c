//! HTTP servers of an entry: callers, the directory and the readiness check.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::relay::liveness::EntryListing;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::relay::admit::EntryIdentity;
use crate::relay::body::ReplyBody;
use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::metrics::RelayMetrics;
use crate::relay::ports::WireDialect;

/// Time for which callers may keep an answer of the directory.
const ADDRESSES_TTL: Duration = Duration::from_secs(2);
/// Time for which a caller's connection may stay idle before a catalog says so.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be taken, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves connections of one listener until `closing`; each ends its last answer once `leaving`.
pub struct HttpServer {
    /// Sockets of callers.
    pub listener: TcpListener,
    /// New connections are no longer taken.
    pub closing: CancellationToken,
    /// Connections end with their last answer.
    pub leaving: CancellationToken,
    /// Connections that are open.
    pub open: TaskTracker,
}

impl HttpServer {
    /// Takes connections and answers their requests by `answer`.
    pub async fn run<Answer, Answering>(self, answer: Answer)
    where
        Answer: Fn(Request<Incoming>) -> Answering + Clone + 'static,
        Answering: Future<Output = Response<ReplyBody>> + 'static,
    {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.closing.cancelled() => return,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    log::warn!(err:%; "connection not taken");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let answer = answer.clone();
            let leaving = self.leaving.clone();
            let connection = self.open.track_future(serve(stream, leaving, answer));
            actix_rt::spawn(connection);
        }
    }
}

async fn serve<Answer, Answering>(stream: TcpStream, leaving: CancellationToken, answer: Answer)
where
    Answer: Fn(Request<Incoming>) -> Answering,
    Answering: Future<Output = Response<ReplyBody>>,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("no delay cannot be switched off: {err}");
    }
    let service = service_fn(|request| {
        let answering = answer(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    // A connection that comes while the entry leaves still has its first request answered.
    let is_last = leaving.is_cancelled();
    let connection = http1::Builder::new()
        .keep_alive(!is_last)
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = leaving.cancelled(), if !is_last => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("caller's connection ended: {err}");
    }
}

/// Answers callers that ask where to connect, and the platform's readiness check.
pub struct DirectoryDesk<Dialect> {
    /// Reads questions and writes answers.
    pub dialect: Dialect,
    /// State of the entry.
    pub fleet: FleetHandle,
    /// Where this entry is.
    pub identity: Rc<EntryIdentity>,
    /// This entry as callers see it.
    pub own: EntryListing,
    /// Metrics of the entry.
    pub metrics: RelayMetrics,
}

impl<Dialect> DirectoryDesk<Dialect>
where
    Dialect: WireDialect,
{
    /// Answers one request.
    pub fn answer(&self, request: &Request<Incoming>) -> Response<ReplyBody> {
        let uri = request.uri();
        if self.dialect.is_readiness_check(uri) {
            let ready = self.fleet.is_ready();
            return plain(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        let Some(question) = self.dialect.read_directory_query(uri) else {
            return self.answer_operator(uri.path());
        };
        let ready = self.fleet.is_ready();
        let own = Some(&self.own).filter(|_| ready);
        let addresses: Vec<SocketAddr> = self.fleet.with(|fleet| {
            let (dc, region) = (&question.data_centre, &question.region);
            let now = Instant::now();
            fleet
                .entries
                .addresses(&self.identity.name, own, dc, region, now)
        });
        if addresses.is_empty() {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = self.dialect.write_addresses(&addresses, ADDRESSES_TTL);
        let mut response = Response::new(ReplyBody::from(body));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

impl<Dialect> DirectoryDesk<Dialect> {
    /// Metrics and the state dump.
    fn answer_operator(&self, path: &str) -> Response<ReplyBody> {
        let body = match path {
            "/metrics" => self.metrics.encode().map_err(|err| err.to_string()),
            "/dump" => Ok(self.fleet.with(|fleet| dump(fleet, &self.identity.name))),
            _ => return plain(StatusCode::NOT_FOUND),
        };
        match body {
            Ok(body) => Response::new(ReplyBody::from(Bytes::from(body))),
            Err(err) => {
                log::warn!(path, err; "metrics not written");
                plain(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

/// State of an entry as JSON: what it believes, and how it counts its upstreams.
fn dump(fleet: &FleetState, own: &str) -> String {
    let now = Instant::now();
    let upstreams = fleet.upstreams.iter().map(|(id, state)| {
        json!({
            "id": id, "service": state.listing.service, "address": state.listing.address,
            "data_centre": state.listing.data_centre, "draining": state.listing.draining,
            "usable": state.is_usable(now), "cold": state.is_cold(now),
            "weights": state.weights(now), "load": state.load(now), "unread": state.unread(now),
            "own_in_flight": state.own.in_flight,
        })
    });
    let weights = fleet.weights.iter().map(|(model, schedule)| {
        let named = schedule
            .announced(now)
            .map(|(version, age)| json!({ "version": version, "age_s": age.as_secs_f64() }));
        json!({
            "model": model, "required": schedule.required(now),
            "named": named.collect::<Vec<_>>(),
        })
    });
    let state = json!({
        "entry": own,
        "leaving": fleet.leaving,
        "catalog": fleet.catalog.as_ref().map(|catalog| catalog.version()),
        "evacuated": fleet.upstreams.evacuated().collect::<Vec<_>>(),
        "entries_alive": fleet.entries.alive_names(own, now).collect::<Vec<_>>(),
        "agents": fleet.agents.len(),
        "weights": weights.collect::<Vec<_>>(),
        "upstreams": upstreams.collect::<Vec<_>>(),
    });
    state.to_string()
}

fn plain(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
