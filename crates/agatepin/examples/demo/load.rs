//! Load generator: callers that send chats, streams and orders until they are stopped, and count
//! the results.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::Client;
use awc::error::PayloadError;
use bytes::Bytes;
use serde_json::json;
use tokio_util::sync::CancellationToken;

/// Number of callers, each with one request at a time.
const CALLERS: usize = 6;
/// Time from the response of a caller's request to its next request.
const PAUSE: Duration = Duration::from_millis(10);
/// Value of [`OUTCOME_HEADER`] for a request that was refused and not executed.
const NOT_RUN: &str = "not-run";
/// Response header with the outcome of the request.
const OUTCOME_HEADER: &str = "x-agatepin-outcome";

/// Number of requests by result.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    /// All requests sent.
    pub sent: u64,
    /// Complete answers that hold the text of their own request.
    pub answered: u64,
    /// Streams among the answered requests.
    pub streams: u64,
    /// Orders among the answered requests.
    pub orders: u64,
    /// Refusals with the outcome "not-run".
    pub refused: u64,
    /// Requests with any other result.
    pub failed: u64,
    /// Error or answer of the first request that failed.
    pub first_failure: Option<String>,
}

enum CallResult {
    Answered,
    Refused,
    Failed(String),
}

/// Running callers, all on the current thread.
pub struct LoadGenerator {
    counts: Rc<RefCell<CallCounts>>,
    stop: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts the callers. Each uses one of the entries at the base URLs `urls`, which are assigned
    /// to the callers in turn.
    pub fn start(urls: &[String]) -> Self {
        let counts = Rc::new(RefCell::new(CallCounts::default()));
        let stop = CancellationToken::new();
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
            let url = urls[caller % urls.len()].clone();
            callers.push(actix_rt::spawn(run_caller(
                caller,
                url,
                counts.clone(),
                stop.clone(),
            )));
        }
        Self {
            counts,
            stop,
            callers,
        }
    }

    /// Stops the callers after their current request and returns the counts.
    pub async fn stop(self) -> CallCounts {
        self.stop.cancel();
        for caller in self.callers {
            // A panic of a caller is ignored: its last request then counts as sent, without a
            // result.
            let _ = caller.await;
        }
        self.counts.borrow().clone()
    }
}

/// Sends requests to one entry until `stop` is cancelled. Of each four requests, one is an order,
/// one a streamed chat and two are chats without streaming.
async fn run_caller(
    caller: usize,
    url: String,
    counts: Rc<RefCell<CallCounts>>,
    stop: CancellationToken,
) {
    let client = Client::builder().timeout(Duration::from_secs(20)).finish();
    let mut number = 0_u64;
    while !stop.is_cancelled() {
        number += 1;
        let text = format!("caller {caller} request {number}");
        counts.borrow_mut().sent += 1;
        let kind = number % 4;
        let result = match kind {
            0 => order(&client, &url, &text).await,
            1 => chat(&client, &url, &text, true).await,
            _ => chat(&client, &url, &text, false).await,
        };
        record(&mut counts.borrow_mut(), kind, result);
        actix_rt::time::sleep(PAUSE).await;
    }
}

fn record(counts: &mut CallCounts, kind: u64, result: CallResult) {
    match result {
        CallResult::Answered => {
            counts.answered += 1;
            counts.orders += u64::from(kind == 0);
            counts.streams += u64::from(kind == 1);
        }
        CallResult::Refused => counts.refused += 1,
        CallResult::Failed(message) => {
            counts.failed += 1;
            counts.first_failure.get_or_insert(message);
        }
    }
}

async fn chat(client: &Client, url: &str, text: &str, stream: bool) -> CallResult {
    let body = json!({
        "model": "press",
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
    });
    let request = client
        .post(format!("{url}/v1/chat/completions"))
        .insert_header(("x-customer", "dispatch"))
        .send_json(&body);
    let words: Vec<&str> = text.split(' ').collect();
    match request.await {
        Ok(mut answer) => {
            let refused = is_refused(answer.headers());
            let ok = answer.status().is_success();
            classify(ok, refused, answer.body().limit(1 << 20).await, |body| {
                let complete = !stream || body.contains("[DONE]");
                complete && words.iter().all(|word| body.contains(word))
            })
        }
        Err(err) => CallResult::Failed(err.to_string()),
    }
}

async fn order(client: &Client, url: &str, text: &str) -> CallResult {
    let request = client
        .post(format!("{url}/v1/services/desk/orders"))
        .insert_header(("x-customer", "dispatch"))
        .insert_header(("idempotency-key", text.replace(' ', "-")))
        .send_body(text.to_owned());
    match request.await {
        Ok(mut answer) => {
            let refused = is_refused(answer.headers());
            let ok = answer.status().is_success();
            classify(ok, refused, answer.body().await, |body| body.contains(text))
        }
        Err(err) => CallResult::Failed(err.to_string()),
    }
}

fn is_refused(headers: &awc::http::header::HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME_HEADER);
    outcome.is_some_and(|value| value == NOT_RUN)
}

/// Result of a request whose response has been read: answered if `ok` (the status is a success) and
/// the body passes `check`, else refused if `refused`, else failed.
fn classify<Check>(
    ok: bool,
    refused: bool,
    body: Result<Bytes, PayloadError>,
    check: Check,
) -> CallResult
where
    Check: Fn(&str) -> bool,
{
    let body = match body {
        Ok(body) => body,
        Err(err) => return CallResult::Failed(err.to_string()),
    };
    let body = String::from_utf8_lossy(&body);
    if ok && check(&body) {
        return CallResult::Answered;
    }
    if refused {
        return CallResult::Refused;
    }
    CallResult::Failed(body.into_owned())
}
