//! Many concurrent callers in the background.
//!
//! `workload id= entry=(A,B) workers= [calls= for_ms= pause_ms= customer=]` starts `workers`
//! callers, spread evenly over the entries. Each sends `calls` calls one after another (1 by
//! default), or as many as it can within `for_ms` milliseconds, with a pause of `pause_ms` after
//! each. The calls are chat requests with `[model= stream= tokens=]`, or, where
//! `[service=]` is given, calls of that service. Checks read the counts:
//! `workload ID answered|not_run|failed|running|failure OPERATION VALUE`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::rt;
use datadriven::TestCase;
use serde::Serialize;
use serde_json::{Value, json};

use super::Failure;
use super::calls::{self, CallAnswer, CallRequest};
use super::cluster::TestCluster;
use super::directives::{optional, required};

/// Results of a workload so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorkloadCounts {
    /// Calls with status 200, outcome `answered` and a complete body.
    pub answered: u32,
    /// Calls with the outcome `not-run`.
    pub not_run: u32,
    /// Calls with any other outcome or without an answer.
    pub failed: u32,
    /// Callers that have not completed all of their calls.
    pub running: u32,
    /// Answer or error of the last failed call; empty where none failed.
    pub failure: String,
}

pub type SharedCounts = Rc<RefCell<WorkloadCounts>>;

/// One caller of a workload.
struct WorkloadCaller {
    request: CallRequest,
    /// Number of the caller, which makes its request bodies unique.
    number: u32,
    /// Whether the caller sends chat requests; otherwise it calls a plain service.
    sends_chats: bool,
    model: String,
    /// Text of the calls, to which caller and call number are added.
    content: String,
    stream: bool,
    /// Maximum length of a completion in tokens; the engine's default where absent.
    max_tokens: Option<u32>,
    /// Calls to send; ignored where `until` is given.
    calls: u32,
    /// Instant after which no further call is sent; absent where `calls` is the limit.
    until: Option<Instant>,
    /// Pause after each call.
    pause: Duration,
    counts: SharedCounts,
}

/// Starts the callers and returns at once.
pub fn start(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let id: String = required(case, "id")?;
    let entries: Vec<String> = case.take_args("entry").map_err(|err| err.to_string())?;
    let workers: u32 = required(case, "workers")?;
    let for_ms: Option<u64> = optional(case, "for_ms")?;
    let until = for_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
    let calls = optional(case, "calls")?.unwrap_or(1);
    let pause = Duration::from_millis(optional(case, "pause_ms")?.unwrap_or(0));
    let service: Option<String> = optional(case, "service")?;
    let route = match &service {
        Some(service) => format!("/v1/services/{service}/draft"),
        None => "/v1/chat/completions".to_owned(),
    };
    let stream = optional(case, "stream")?.unwrap_or(false);
    let max_tokens = optional(case, "tokens")?;
    let model: String = optional(case, "model")?.unwrap_or_else(|| "press".to_owned());
    let customer: Option<String> = optional(case, "customer")?;
    let counts = SharedCounts::default();
    counts.borrow_mut().running = workers;
    for (number, entry) in (0..workers).zip(entries.iter().cycle()) {
        let address = &cluster.entry(Some(entry))?.ready.http;
        let caller = WorkloadCaller {
            request: CallRequest {
                url: format!("http://{address}{route}"),
                method: "POST".to_owned(),
                customer: customer.clone(),
                ..CallRequest::default()
            },
            number,
            sends_chats: service.is_none(),
            model: model.clone(),
            content: case.input.trim_end().to_owned(),
            stream,
            max_tokens,
            calls,
            until,
            pause,
            counts: counts.clone(),
        };
        rt::spawn(caller.run());
    }
    cluster.workloads.insert(id, counts);
    Ok(())
}

/// Counts of the workload `id`.
pub fn observe(cluster: &TestCluster, id: &str) -> Result<Value, Failure> {
    let counts = cluster.workloads.get(id);
    let counts = counts.ok_or_else(|| format!("workload \"{id}\" does not exist"))?;
    Ok(json!(*counts.borrow()))
}

impl WorkloadCaller {
    async fn run(self) {
        let mut sent = 0;
        while self.has_next(sent) {
            let answer = calls::send(self.request(sent)).await;
            self.count(answer);
            sent += 1;
            rt::time::sleep(self.pause).await;
        }
        self.counts.borrow_mut().running -= 1;
    }

    /// Whether the caller sends another call after `sent` calls.
    fn has_next(&self, sent: u32) -> bool {
        match self.until {
            Some(until) => Instant::now() < until,
            None => sent < self.calls,
        }
    }

    fn request(&self, sent: u32) -> CallRequest {
        let content = format!("{} {}/{sent}", self.content, self.number);
        let body = if self.sends_chats {
            calls::chat_body_with_limit(&self.model, &content, self.stream, self.max_tokens)
        } else {
            content
        };
        CallRequest {
            body,
            ..self.request.clone()
        }
    }

    fn count(&self, answer: Result<CallAnswer, Failure>) {
        let mut counts = self.counts.borrow_mut();
        let failure = match answer {
            Ok(answer) if self.is_complete(&answer) => {
                counts.answered += 1;
                return;
            }
            Ok(answer) if answer.outcome == "not-run" => {
                counts.not_run += 1;
                return;
            }
            Ok(answer) => answer.to_string(),
            Err(failure) => failure,
        };
        counts.failed += 1;
        counts.failure = failure;
    }

    /// Whether the call succeeded and its body is complete.
    fn is_complete(&self, answer: &CallAnswer) -> bool {
        let ended = !self.stream || answer.body.ends_with("data: [DONE]\n\n");
        answer.status == 200 && answer.outcome == "answered" && ended
    }
}
