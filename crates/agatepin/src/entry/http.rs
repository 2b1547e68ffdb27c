//! HTTP API for callers: addresses of entries, chat completions and calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use actix_web::http::Method;
use actix_web::http::header::AUTHORIZATION;
use actix_web::{HttpRequest, HttpResponse, web};
use agatepin_core::claim::{BufferedAnswer, ClaimKey, ClaimOutcome};
use agatepin_core::config::{ClusterConfig, CustomerSpec, UpstreamKind};
use agatepin_core::ids::{ContentDigest, CustomerId};
use agatepin_core::member::MemberRole;
use agatepin_core::rank;
use agatepin_core::router::RouteTarget;
use bytes::Bytes;
use serde_json::{Value, json};

use super::body;
use super::calls::{CallError, CallSpec, EntryShared};
use super::claims::{self, ClaimTable};
use super::reply::{self, ErrorReply};
use crate::wire::frames::Header;

const CUSTOMER_HEADER: &str = "x-customer";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Headers of requests that are not forwarded to upstreams.
const UNFORWARDED_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "transfer-encoding",
    "upgrade",
    CUSTOMER_HEADER,
];

/// State shared by the HTTP handlers.
#[derive(Clone, Debug)]
pub struct EntryHttp<Table> {
    /// State shared with the tasks of the entry.
    pub shared: EntryShared,
    /// Table that holds the claims of idempotency keys.
    pub table: Table,
    /// Address of this entry for callers.
    pub address: SocketAddr,
    /// Counts the requests in flight.
    pub requests: RequestCounter,
}

/// Counts the requests in flight, so that a graceful shutdown can wait for them; clones share the
/// count.
#[derive(Clone, Debug, Default)]
pub struct RequestCounter(Arc<AtomicUsize>);

/// A counted request in flight; dropping it ends the request.
#[derive(Debug)]
pub struct RequestGuard(RequestCounter);

impl RequestCounter {
    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> RequestGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        RequestGuard(self.clone())
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Adds the routes for callers to an application.
pub fn configure<Table>(config: &mut web::ServiceConfig)
where
    Table: ClaimTable,
{
    config
        .route("/v1/addresses", web::get().to(addresses::<Table>))
        .route("/v1/chat/completions", web::post().to(chat::<Table>))
        .route(
            "/v1/services/{service}/{path:.*}",
            web::route().to(service::<Table>),
        );
}

async fn addresses<Table>(entry: web::Data<EntryHttp<Table>>) -> HttpResponse
where
    Table: ClaimTable,
{
    let context = &entry.shared.context;
    let own = &context.identity;
    let members = context.members.borrow().clone();
    let others = members
        .live(MemberRole::Entry)
        .filter(|member| member.instance != own.instance);
    let mut addresses: Vec<Value> = others
        .map(|member| address(member.http, &member.data_centre))
        .collect();
    if !context.leaving.is_cancelled() {
        addresses.push(address(entry.address, &own.data_centre));
    }
    let keep = entry.shared.settings.keep_addresses.as_secs();
    HttpResponse::Ok().json(json!({"addresses": addresses, "keep_seconds": keep}))
}

fn address(http: SocketAddr, data_centre: &str) -> Value {
    json!({"url": format!("http://{http}"), "data_centre": data_centre})
}

async fn chat<Table>(
    request: HttpRequest,
    payload: web::Payload,
    entry: web::Data<EntryHttp<Table>>,
) -> HttpResponse
where
    Table: ClaimTable,
{
    let guard = entry.requests.begin();
    let body = match body::read(&request, payload, &entry.shared).await {
        Ok(body) => body,
        Err(error) => return error.into_last_response(),
    };
    let spec = match chat_spec(&request, body, &entry.shared) {
        Ok(spec) => spec,
        Err(error) => return error.into_response(),
    };
    answer_idempotent(&entry.shared, spec, guard).await
}

async fn service<Table>(
    request: HttpRequest,
    path: web::Path<(String, String)>,
    payload: web::Payload,
    entry: web::Data<EntryHttp<Table>>,
) -> HttpResponse
where
    Table: ClaimTable,
{
    let guard = entry.requests.begin();
    let body = match body::read(&request, payload, &entry.shared).await {
        Ok(body) => body,
        Err(error) => return error.into_last_response(),
    };
    let (service, path) = path.into_inner();
    let spec = match service_spec(&request, &service, &path, body, &entry.shared) {
        Ok(spec) => spec,
        Err(error) => return error.into_response(),
    };
    if spec.idempotent {
        return answer_idempotent(&entry.shared, spec, guard).await;
    }
    let Some(key) = claim_key(&request, &spec.customer) else {
        let message =
            format!("header \"{IDEMPOTENCY_KEY_HEADER}\" of 1 to {MAX_KEY_BYTES} bytes is missing");
        return ErrorReply::bad_request(message).into_response();
    };
    let claimed = claims::run(&entry.shared, &entry.table, &spec, key).await;
    let (outcome, response) = match claimed {
        Ok(outcome) => claim_response(outcome),
        Err(error) => error_response(error),
    };
    entry.shared.metrics.count_call(outcome, &spec.customer);
    response
}

async fn answer_idempotent(
    shared: &EntryShared,
    spec: CallSpec,
    guard: RequestGuard,
) -> HttpResponse {
    let (outcome, response) = match shared.run_idempotent(&spec).await {
        Ok(answer) => {
            let response = reply::answer_response(shared, answer, spec.deadline, guard);
            (reply::ANSWERED, response)
        }
        Err(error) => error_response(error),
    };
    shared.metrics.count_call(outcome, &spec.customer);
    response
}

fn error_response(error: CallError) -> (&'static str, HttpResponse) {
    let reply = match error {
        CallError::NotRun(message) => ErrorReply::not_run(message),
        CallError::Unknown(message) => ErrorReply::unknown(message),
        CallError::Poison => ErrorReply::crashes_upstreams(),
    };
    (reply.outcome, reply.into_response())
}

fn claim_response(outcome: ClaimOutcome) -> (&'static str, HttpResponse) {
    let reply = match outcome {
        ClaimOutcome::Answered(answer) => return (reply::ANSWERED, buffered_response(answer)),
        ClaimOutcome::NotRun => ErrorReply::not_run("the call was not dispatched".to_owned()),
        ClaimOutcome::TableUnavailable => ErrorReply::table_unavailable(),
        ClaimOutcome::InProgress => ErrorReply::in_progress(),
        ClaimOutcome::Unknown => {
            let message = "the call may have run; ask again with the same key".to_owned();
            ErrorReply::unknown(message)
        }
        ClaimOutcome::OtherBody => ErrorReply::key_reused(),
    };
    (reply.outcome, reply.into_response())
}

fn buffered_response(answer: BufferedAnswer) -> HttpResponse {
    let headers: Vec<Header> = answer
        .headers
        .into_iter()
        .map(|header| Header {
            name: header.name,
            value: header.value.into(),
        })
        .collect();
    reply::response_builder(u32::from(answer.status), &headers).body(answer.body)
}

fn chat_spec(
    request: &HttpRequest,
    body: Bytes,
    shared: &EntryShared,
) -> Result<CallSpec, ErrorReply> {
    let config = shared.context.config.borrow().clone();
    let (customer, limits) = authenticate(request, &config)?;
    let content: Value = serde_json::from_slice(&body)
        .map_err(|err| ErrorReply::bad_request(format!("body is not JSON: {err}")))?;
    let model = content["model"]
        .as_str()
        .ok_or_else(|| ErrorReply::bad_request("field \"model\" is missing".to_owned()))?;
    if !config.models.contains_key(model) {
        return Err(ErrorReply::not_found(format!(
            "model \"{model}\" does not exist"
        )));
    }
    // The first message stands for the prompt prefix that an engine may have cached.
    let prefix = content["messages"][0].to_string();
    Ok(CallSpec {
        customer,
        weight: limits.weight,
        priority: limits.priority,
        target: RouteTarget::Model(model.to_owned()),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: forwarded_headers(request),
        digest: ContentDigest::of(&body),
        body,
        idempotent: true,
        streamed: content["stream"] == true,
        affinity: Some(rank::score(b"prefix", &prefix)),
        deadline: Instant::now() + shared.settings.timeout,
    })
}

fn service_spec(
    request: &HttpRequest,
    service: &str,
    path: &str,
    body: Bytes,
    shared: &EntryShared,
) -> Result<CallSpec, ErrorReply> {
    let config = shared.context.config.borrow().clone();
    let (customer, limits) = authenticate(request, &config)?;
    let mut exists = false;
    let mut declared_idempotent = true;
    for upstream in config.upstreams.values() {
        if matches!(&upstream.kind, UpstreamKind::Service(name) if name == service) {
            exists = true;
            declared_idempotent &= upstream.may_repeat_calls;
        }
    }
    if !exists {
        return Err(ErrorReply::not_found(format!(
            "service \"{service}\" does not exist"
        )));
    }
    let safe = [Method::GET, Method::HEAD].contains(request.method());
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    Ok(CallSpec {
        customer,
        weight: limits.weight,
        priority: limits.priority,
        target: RouteTarget::Service(service.to_owned()),
        method: request.method().to_string(),
        path: format!("/{path}{separator}{query}"),
        headers: forwarded_headers(request),
        digest: ContentDigest::of(&body),
        body,
        idempotent: safe || declared_idempotent,
        streamed: false,
        affinity: None,
        deadline: Instant::now() + shared.settings.timeout,
    })
}

/// Identifies the customer: by the API key (bearer token) if the request has one, otherwise by the
/// name in the header `x-customer`, which only customers without an API key may use.
fn authenticate<'config>(
    request: &HttpRequest,
    config: &'config ClusterConfig,
) -> Result<(CustomerId, &'config CustomerSpec), ErrorReply> {
    if let Some(key) = text_header(request, AUTHORIZATION.as_str())
        && let Some(key) = key.strip_prefix("Bearer ")
    {
        let digest = Some(ContentDigest::of(key.as_bytes()));
        let found = config
            .customers
            .iter()
            .find(|(_, spec)| spec.key_digest == digest);
        return found
            .map(|(name, spec)| (name.clone(), spec))
            .ok_or_else(|| ErrorReply::unauthorized("the key is not known".to_owned()));
    }
    let name = text_header(request, CUSTOMER_HEADER)
        .ok_or_else(|| ErrorReply::unauthorized("no customer is named".to_owned()))?;
    match config.customers.get(name) {
        Some(spec) if spec.key_digest.is_none() => Ok((name.to_owned(), spec)),
        Some(_) => Err(ErrorReply::unauthorized(format!(
            "customer \"{name}\" has a key"
        ))),
        None => Err(ErrorReply::unauthorized(format!(
            "customer \"{name}\" does not exist"
        ))),
    }
}

fn claim_key(request: &HttpRequest, customer: &str) -> Option<ClaimKey> {
    let key = text_header(request, IDEMPOTENCY_KEY_HEADER)?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return None;
    }
    Some(ClaimKey {
        customer: customer.to_owned(),
        key: key.to_owned(),
    })
}

fn text_header<'request>(request: &'request HttpRequest, name: &str) -> Option<&'request str> {
    request.headers().get(name)?.to_str().ok()
}

fn forwarded_headers(request: &HttpRequest) -> Vec<Header> {
    let headers = request.headers().iter();
    headers
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
