//! Handlers of the orders to load and unload weights.

use std::sync::Mutex;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::web::{Data, Json};
use blake3::Hasher;
use serde::Deserialize;
use serde_json::json;

use super::status::{EngineStatus, LoadedWeights};
use super::{EngineRole, wait_for_failure};
use crate::server::drop_connection;
use crate::sync::lock;

/// Fencing token of an order; an order with a lower number than an earlier one is stale.
type FenceNumber = u64;

/// Body of `POST /engine/load`.
#[derive(Deserialize)]
pub struct LoadOrder {
    model: String,
    version: String,
    /// Expected digest of all chunks in hexadecimal digits.
    digest: String,
    fence: FenceNumber,
    chunks: Vec<ChunkSpec>,
    /// Base URL of the agent that serves the chunks.
    source: String,
}

#[derive(Deserialize)]
struct ChunkSpec {
    digest: String,
    bytes: u64,
}

/// Body of `POST /engine/unload`.
#[derive(Deserialize)]
pub struct UnloadOrder {
    fence: FenceNumber,
}

/// Unloads the weights and counts a load as in progress until it is dropped.
struct LoadingGuard<'a> {
    status: &'a Mutex<EngineStatus>,
}

impl<'a> LoadingGuard<'a> {
    fn new(status: &'a Mutex<EngineStatus>) -> Self {
        let mut locked = lock(status);
        locked.loading += 1;
        locked.weights = None;
        drop(locked);
        Self { status }
    }
}

impl Drop for LoadingGuard<'_> {
    fn drop(&mut self) {
        lock(self.status).loading -= 1;
    }
}

pub async fn load_weights(role: Data<EngineRole>, order: Json<LoadOrder>) -> HttpResponse {
    if role.is_restarting() {
        return drop_connection();
    }
    if let Err(highest) = role.advance_fence(order.fence) {
        return stale_fence(highest);
    }
    let guard = LoadingGuard::new(&role.status);
    let outcome = tokio::select! {
        outcome = fetch_weights(&order) => outcome,
        () = wait_for_failure(role.failures.subscribe()) => return drop_connection(),
    };
    drop(guard);
    match outcome {
        Ok(digest) if digest == order.digest => role.finish_load(&order),
        Ok(digest) => role.reject_weights(&format!(
            "weights have digest \"{digest}\", expected \"{}\"",
            order.digest
        )),
        Err(message) => role.reject_weights(&message),
    }
}

pub async fn unload_weights(role: Data<EngineRole>, order: Json<UnloadOrder>) -> HttpResponse {
    if role.is_restarting() {
        return drop_connection();
    }
    if let Err(highest) = role.advance_fence(order.fence) {
        return stale_fence(highest);
    }
    lock(&role.status).weights = None;
    HttpResponse::Ok().json(json!({}))
}

impl EngineRole {
    /// Raises the fence number to that of an order, or returns the highest number seen if the
    /// order is stale and fence numbers are checked.
    fn advance_fence(&self, fence: FenceNumber) -> Result<(), FenceNumber> {
        let checks = lock(&self.options).checks_fences;
        let mut status = lock(&self.status);
        if checks && fence < status.fence {
            status.counters.stale_fences += 1;
            return Err(status.fence);
        }
        status.fence = status.fence.max(fence);
        Ok(())
    }

    /// Installs the fetched weights, unless an order with a higher fence number came meanwhile.
    fn finish_load(&self, order: &LoadOrder) -> HttpResponse {
        if let Err(highest) = self.advance_fence(order.fence) {
            return stale_fence(highest);
        }
        let cold_start = lock(&self.options).cold_start;
        let mut status = lock(&self.status);
        status.weights = Some(LoadedWeights {
            model: order.model.clone(),
            version: order.version.clone(),
            digest: order.digest.clone(),
        });
        status.counters.loads += 1;
        status.turn_cold(Instant::now() + cold_start, false);
        HttpResponse::Ok().json(json!({}))
    }

    fn reject_weights(&self, message: &str) -> HttpResponse {
        lock(&self.status).counters.wrong_digests += 1;
        HttpResponse::UnprocessableEntity().json(json!({ "error": message }))
    }
}

/// Fetches all chunks in order and returns the digest of the concatenated bytes, or a message if
/// a fetch fails.
async fn fetch_weights(order: &LoadOrder) -> Result<String, String> {
    let client = awc::Client::default();
    let mut hasher = Hasher::new();
    for chunk in &order.chunks {
        let url = format!("{}/weights/chunks/{}", order.source, chunk.digest);
        let failure =
            |reason: &str| format!("fetch of chunk \"{}\" failed: {reason}", chunk.digest);
        let request = client.get(&url).send();
        let mut response = request.await.map_err(|err| failure(&err.to_string()))?;
        if !response.status().is_success() {
            return Err(failure(response.status().as_str()));
        }
        let limit = usize::try_from(chunk.bytes).unwrap_or(usize::MAX);
        let body = response.body().limit(limit).await;
        hasher.update(&body.map_err(|err| failure(&err.to_string()))?);
    }
    Ok(hasher.finalize().to_hex().to_string())
}

fn stale_fence(fence: FenceNumber) -> HttpResponse {
    HttpResponse::Conflict().json(json!({ "error": "stale fence", "fence": fence }))
}
