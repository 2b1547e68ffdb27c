//! Parts of requests and answers that are passed on, and what identifies a request.

use std::time::Duration;

use agatepin_core::ids::ContentDigest;
use agatepin_core::poison::SuspectKey;
use agatepin_core::rank;
use agatepin_core::relay::catalog::RouteCatalog;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use hyper::http::HeaderMap;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::relay::refusal::RefusalReason;

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Bytes of a request's head.
#[must_use]
pub fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    let target = parts.uri.path_and_query();
    headers.sum::<usize>() + target.map_or(0, |target| target.as_str().len())
}

/// Host that a request names; empty where it names none.
#[must_use]
pub fn host_of(parts: &Parts) -> String {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(header);
    host.unwrap_or_default().to_owned()
}

/// Hash of a request's caller and content.
#[must_use]
pub fn fingerprint(key: &SuspectKey) -> u64 {
    rank::score(key.body_digest.as_bytes(), &key.customer)
}

/// Digest of a request's path and body.
#[must_use]
pub fn digest(path: &str, body: &[u8]) -> ContentDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(path.len() as u64).to_le_bytes());
    hasher.update(path.as_bytes());
    hasher.update(body);
    ContentDigest::from(hasher.finalize())
}

/// Reads a body whole.
///
/// # Errors
/// It is too long, breaks off or takes too long.
pub async fn read_body(
    body: Incoming,
    headers: &HeaderMap,
    catalog: &RouteCatalog,
    patience: Duration,
) -> Result<Bytes, RefusalReason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = catalog.limits().body_bytes;
    let declared = headers.get(CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(RefusalReason::TooLarge);
    }
    match timeout(patience, Limited::new(body, limit).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(RefusalReason::TooLarge),
        Ok(Err(_)) => Err(RefusalReason::Malformed),
        Err(_) => Err(RefusalReason::Slow),
    }
}

/// The caller's headers without those of its connection.
#[must_use]
pub fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    remove_named(&mut passed);
    for name in HOP_HEADERS {
        passed.remove(name);
    }
    passed.remove(CONTENT_LENGTH);
    passed.remove(EXPECT);
    passed
}

/// The upstream's headers without those of its connection.
#[must_use]
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    remove_named(&mut passed);
    for name in HOP_HEADERS {
        passed.remove(name);
    }
    passed.remove(TRANSFER_ENCODING);
    passed
}

/// Removes the headers that `Connection` names.
fn remove_named(headers: &mut HeaderMap) {
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
