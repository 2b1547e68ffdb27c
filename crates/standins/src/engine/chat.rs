//! Handler of chat completions, buffered and streamed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data};
use actix_web::{Error, HttpResponse, error};
use futures_util::stream;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::status::LoadedWeights;
use super::{EngineRole, wait_for_failure};
use crate::server::drop_connection;
use crate::sync::lock;

/// Number of the next completion, used in its id.
static NEXT_COMPLETION: AtomicU64 = AtomicU64::new(1);

#[derive(Deserialize)]
struct ChatRequest {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<usize>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

/// Ends a request in flight when it is dropped, and counts how the request ended.
struct RequestGuard {
    role: Data<EngineRole>,
    /// Whether the response is streamed.
    streamed: bool,
    /// Whether the complete response was generated.
    finished: bool,
    failures: watch::Receiver<u64>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let failed = self.failures.has_changed().unwrap_or(true);
        let mut status = lock(&self.role.status);
        status.end_request(Instant::now());
        if self.finished {
            status.counters.answered += 1;
        } else if self.streamed && !failed {
            status.counters.streams_cut += 1;
        }
    }
}

/// A completion whose tokens are sent at the pace of the decode steps.
struct Generation {
    guard: RequestGuard,
    id: String,
    weights: LoadedWeights,
    tokens: Vec<String>,
    /// Duration of one decode step.
    token_interval: Duration,
    /// Index of the next token to stream.
    next_token: usize,
}

pub async fn complete_chat(role: Data<EngineRole>, body: Bytes) -> HttpResponse {
    if role.is_restarting() {
        return drop_connection();
    }
    if role.contains_crash_marker(&body) {
        let delay = lock(&role.options).restart_delay;
        role.crash(delay);
        return drop_connection();
    }
    let request: ChatRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(err) => return bad_request(&err.to_string()),
    };
    let Some(weights) = lock(&role.status).weights.clone() else {
        return HttpResponse::ServiceUnavailable().json(json!({ "error": "nothing is loaded" }));
    };
    let Some(generation) = Generation::start(&role, &request, weights) else {
        return HttpResponse::InternalServerError().json(json!({ "error": "overloaded" }));
    };
    if request.stream {
        return generation.stream();
    }
    generation.complete().await
}

impl EngineRole {
    fn contains_crash_marker(&self, body: &[u8]) -> bool {
        let marker = lock(&self.options).crash_marker.clone();
        String::from_utf8_lossy(body).contains(&marker)
    }
}

impl Generation {
    /// Starts a completion. Returns `None` if the request exceeds the limit of the engine, which
    /// then fails.
    fn start(
        role: &Data<EngineRole>,
        request: &ChatRequest,
        weights: LoadedWeights,
    ) -> Option<Self> {
        let options = lock(&role.options).clone();
        let now = Instant::now();
        let failures = role.failures.subscribe();
        let (in_flight, cold) = {
            let mut status = lock(&role.status);
            (status.start_request(now), status.is_cold(now))
        };
        let guard = RequestGuard {
            role: role.clone(),
            streamed: request.stream,
            finished: false,
            failures,
        };
        let limit = if cold {
            options.cold_limit
        } else {
            options.warm_limit
        };
        if in_flight > limit {
            lock(&role.status).counters.overloads += 1;
            role.fail(options.restart_delay);
            return None;
        }
        let slowdown = if cold { options.cold_slowdown } else { 1 };
        let number = NEXT_COMPLETION.fetch_add(1, Ordering::Relaxed);
        Some(Self {
            guard,
            id: format!("chatcmpl-{number}"),
            weights,
            tokens: completion_tokens(request, options.tokens),
            token_interval: options.token_interval * slowdown,
            next_token: 0,
        })
    }

    /// Responds with the complete message after the time for all its tokens.
    async fn complete(mut self) -> HttpResponse {
        let count = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        let failures = self.guard.failures.clone();
        tokio::select! {
            () = tokio::time::sleep(self.token_interval * count) => {}
            () = wait_for_failure(failures) => return drop_connection(),
        }
        self.guard.finished = true;
        if lock(&self.guard.role.options).withholds_answers {
            return HttpResponse::ServiceUnavailable().json(json!({ "error": "answer withheld" }));
        }
        HttpResponse::Ok()
            .insert_header(("x-engine-digest", self.weights.digest.clone()))
            .json(json!({
                "id": self.id,
                "object": "chat.completion",
                "model": self.weights.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": self.tokens.concat() },
                    "finish_reason": "stop",
                }],
                "usage": { "completion_tokens": count },
            }))
    }

    /// Responds with one server-sent event per token and an end marker.
    fn stream(self) -> HttpResponse {
        let digest = self.weights.digest.clone();
        let events = stream::unfold(Some(self), |generation| async move {
            let mut generation = generation?;
            match generation.next_event().await {
                Ok(event) if generation.guard.finished => Some((Ok(event), None)),
                Ok(event) => Some((Ok(event), Some(generation))),
                Err(err) => Some((Err(err), None)),
            }
        });
        HttpResponse::Ok()
            .insert_header(("x-engine-digest", digest))
            .content_type("text/event-stream")
            .streaming(Box::pin(events))
    }

    /// Waits for one decode step and returns its event, or an error if the engine fails meanwhile.
    async fn next_event(&mut self) -> Result<Bytes, Error> {
        let failures = self.guard.failures.clone();
        tokio::select! {
            () = tokio::time::sleep(self.token_interval) => {}
            () = wait_for_failure(failures) => {
                return Err(error::ErrorInternalServerError("engine failed during the stream"));
            }
        }
        let Some(token) = self.tokens.get(self.next_token) else {
            self.guard.finished = true;
            let last = sse_event(&self.chunk_object(&json!({}), Some("stop")));
            return Ok(Bytes::from(format!("{last}data: [DONE]\n\n")));
        };
        self.next_token += 1;
        let delta = json!({ "content": token });
        Ok(Bytes::from(sse_event(&self.chunk_object(&delta, None))))
    }

    fn chunk_object(&self, delta: &Value, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.weights.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }
}

/// Returns the tokens of a completion: an echo of the last message, then numbered tokens up to the
/// requested length. The echo is not truncated.
fn completion_tokens(request: &ChatRequest, default_count: usize) -> Vec<String> {
    let content = request
        .messages
        .last()
        .map_or("", |message| &message.content);
    let echo = format!("echo: {content}");
    let mut tokens: Vec<String> = echo.split_inclusive(' ').map(str::to_owned).collect();
    let count = request.max_tokens.unwrap_or(default_count);
    while tokens.len() < count {
        tokens.push(format!(" t{}", tokens.len()));
    }
    tokens
}

fn sse_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn bad_request(message: &str) -> HttpResponse {
    HttpResponse::BadRequest().json(json!({ "error": message }))
}
