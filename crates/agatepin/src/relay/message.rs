//! HTTP messages that an entry forwards: filters their headers, reads request bodies and hashes
//! requests.

use std::time::{Duration, Instant};

use agatepin_core::ids::ContentDigest;
use agatepin_core::relay::byte_budget::{BodyProgress, grown_capacity};
use agatepin_core::relay::catalog::RouteCatalog;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use hyper::http::HeaderMap;
use hyper::http::request::Parts;
use tokio::time::{timeout, timeout_at};

use crate::relay::body_budget::{BodyBudget, BytePermit};
use crate::relay::caller_body::CallerBody;
use crate::relay::refusal::RefusalReason;

/// Hop-by-hop headers (RFC 9110, section 7.6.1): they apply to one connection and are not
/// forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Size of a request's head in bytes: path, query, and the names and values of its headers.
#[must_use]
pub fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    let target = parts.uri.path_and_query();
    headers.sum::<usize>() + target.map_or(0, |target| target.as_str().len())
}

/// Host of a request, from its target or else its `Host` header; empty if neither names a host.
#[must_use]
pub fn request_host(parts: &Parts) -> String {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(header);
    host.unwrap_or_default().to_owned()
}

/// BLAKE3 digest of a request's path and body. The length of the path goes first, so that
/// bytes cannot move between the two without changing the digest.
#[must_use]
pub fn request_digest(path: &str, body: &[u8]) -> ContentDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(path.len() as u64).to_le_bytes());
    hasher.update(path.as_bytes());
    hasher.update(body);
    ContentDigest::from(hasher.finalize())
}

/// Reads a request body to its end. Its bytes are counted in `budget` until they are dropped.
///
/// # Errors
/// [`RefusalReason::TooLarge`] if the body exceeds the catalog's limit on request bodies,
/// [`RefusalReason::Malformed`] if it breaks off, [`RefusalReason::Slow`] if it takes longer than
/// `wait_limit` or makes too little progress, [`RefusalReason::NoMemory`] if the budget is used up.
pub async fn read_body(
    body: CallerBody,
    headers: &HeaderMap,
    catalog: &RouteCatalog,
    wait_limit: Duration,
    budget: &BodyBudget,
) -> Result<Bytes, RefusalReason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limits = catalog.limits();
    let declared = headers.get(CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limits.body_bytes) {
        return Err(RefusalReason::TooLarge);
    }
    let most = declared.unwrap_or(limits.body_bytes);
    let permit = budget.open();
    let reading = collect_body(body, most, limits.timeouts.idle, &permit);
    let collected = tokio::select! {
        biased;
        () = permit.refused() => Err(RefusalReason::NoMemory),
        collected = timeout(wait_limit, reading) => collected.unwrap_or(Err(RefusalReason::Slow)),
    };
    let bytes = collected?;
    permit.keep();
    Ok(permit.attach(bytes))
}

/// Copies a body of at most `most` bytes into one buffer: the frames of tiny chunks would hold many times
/// their bytes. Each `window` must bring some progress.
async fn collect_body(
    mut body: CallerBody,
    most: usize,
    window: Duration,
    permit: &BytePermit,
) -> Result<Vec<u8>, RefusalReason> {
    let mut data = Vec::new();
    let mut progress = BodyProgress::new(window, Instant::now());
    loop {
        let Ok(frame) = timeout_at(progress.deadline().into(), body.frame()).await else {
            permit.count_slow();
            return Err(RefusalReason::Slow);
        };
        let Some(frame) = frame else {
            return Ok(data);
        };
        let frame = frame.map_err(|_| RefusalReason::Malformed)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let length = data.len() + part.len();
        if length > most {
            return Err(RefusalReason::TooLarge);
        }
        if length > data.capacity() {
            let capacity = grown_capacity(data.capacity(), length, most);
            let reserved = permit.reserve(capacity).await;
            reserved.map_err(|_| RefusalReason::NoMemory)?;
            data.reserve_exact(capacity - data.len());
        }
        data.extend_from_slice(&part);
        permit.record_arrival(part.len());
        progress.record(part.len(), Instant::now());
    }
}

/// Request headers to forward: without hop-by-hop headers, and without `Content-Length` and
/// `Expect`, since the body has already been read.
#[must_use]
pub fn forwarded_request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    remove_connection_headers(&mut forwarded);
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(CONTENT_LENGTH);
    forwarded.remove(EXPECT);
    forwarded
}

/// Response headers to forward: without hop-by-hop headers.
#[must_use]
pub fn forwarded_response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    remove_connection_headers(&mut forwarded);
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(TRANSFER_ENCODING);
    forwarded
}

/// Removes the headers that are listed in `Connection`.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed = headers.get_all(CONNECTION).iter();
    let names: Vec<String> = listed
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in names {
        headers.remove(name.as_str());
    }
}
