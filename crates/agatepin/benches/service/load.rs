//! Load generator: sends chats, streams and orders at a fixed rate, whether or not earlier calls
//! have ended (an open loop), and counts their results.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::cluster::CUSTOMERS;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit of the wait for running calls to end once no more calls are sent; calls that still
/// run after it count as failed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Highest latency that the histograms record, in milliseconds; a longer latency counts as this
/// one.
const MAX_MILLIS: u64 = 60_000;

/// Rates and kinds of the calls to send.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Rate of each customer, in calls per second.
    pub rates: [f64; CUSTOMERS],
    /// Length in tokens of the completion that each chat or stream requests.
    pub tokens: u32,
    /// Number of streamed chats in every ten calls.
    pub streams: u64,
    /// Number of orders in every ten calls.
    pub orders: u64,
}

/// Counts and latencies of the calls of one run.
#[derive(Debug)]
pub struct LoadReport {
    /// Calls with a complete answer.
    pub answered: u64,
    /// Calls that were refused with the outcome "not-run".
    pub not_run: u64,
    /// Orders among the calls counted in `not_run`.
    pub orders_not_run: u64,
    /// Calls with any other result, or with none within `DRAIN_TIMEOUT`.
    pub failed: u64,
    /// Cause of the last failure; empty if there was none.
    pub failure: String,
    /// Latency of the answered calls in milliseconds: until the end of the answer, or until its
    /// first byte for streams.
    pub latency: Histogram<u64>,
    /// Like `latency`, without the calls of the first customer, the large one.
    pub small_latency: Histogram<u64>,
    /// Longest time from the start of the run or an answer to the next answer to any call.
    pub longest_gap: Duration,
    /// Instant of the last answer, or of the start of the run.
    last_answer: Instant,
    /// Number of calls that have not ended.
    running: u64,
}

impl Default for LoadReport {
    fn default() -> Self {
        let histogram = || {
            let histogram = Histogram::new_with_bounds(1, MAX_MILLIS, 3);
            histogram.unwrap_or_else(|err| unreachable!("the bounds are valid: {err}"))
        };
        Self {
            answered: 0,
            not_run: 0,
            orders_not_run: 0,
            failed: 0,
            failure: String::new(),
            latency: histogram(),
            small_latency: histogram(),
            longest_gap: Duration::ZERO,
            last_answer: Instant::now(),
            running: 0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Chat,
    Stream,
    Order,
}

enum CallOutcome {
    /// Complete answer, with its latency.
    Answered(Duration),
    /// Refused and not executed.
    NotRun,
    /// Any other result, with the cause.
    Failed(String),
}

/// Sends calls to all entries in turn.
#[derive(Clone)]
pub struct LoadGenerator {
    client: Client,
    /// Addresses of the entries, each as `host:port`.
    entries: Vec<String>,
    /// Number of calls sent so far in all runs. Each call is numbered with it, so that idempotency
    /// keys are unique.
    sent: Rc<RefCell<u64>>,
}

impl LoadGenerator {
    /// A generator for the entries at the addresses `entries`, each as `host:port`.
    pub fn new(entries: Vec<String>) -> Self {
        let client = Client::builder()
            .connector(Connector::new().limit(0))
            .timeout(CALL_TIMEOUT)
            .finish();
        Self {
            client,
            entries,
            sent: Rc::default(),
        }
    }

    /// Sends the load of `plan` for `time`, then waits up to `DRAIN_TIMEOUT` for the running calls.
    pub async fn run(&self, plan: &LoadPlan, time: Duration) -> LoadReport {
        let report = Rc::new(RefCell::new(LoadReport::default()));
        let start = Instant::now();
        let mut started = [0_u64; CUSTOMERS];
        while start.elapsed() < time {
            let elapsed = start.elapsed().as_secs_f64();
            for (customer, rate) in plan.rates.iter().enumerate() {
                while count_as_float(started[customer]) < elapsed * rate {
                    started[customer] += 1;
                    self.spawn(customer, plan, &report);
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while report.borrow().running > 0 && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut report = report.take();
        report.failed += report.running;
        report
    }

    /// Sends one call in a task of its own and records its outcome in `report`.
    fn spawn(&self, customer: usize, plan: &LoadPlan, report: &Rc<RefCell<LoadReport>>) {
        let number = {
            let mut sent = self.sent.borrow_mut();
            *sent += 1;
            *sent
        };
        let kind = match number % 10 {
            digit if digit < plan.orders => CallKind::Order,
            digit if digit < plan.orders + plan.streams => CallKind::Stream,
            _ => CallKind::Chat,
        };
        report.borrow_mut().running += 1;
        let (load, report, tokens) = (self.clone(), report.clone(), plan.tokens);
        actix_rt::spawn(async move {
            let start = Instant::now();
            let outcome = load.call(customer, number, kind, tokens, start).await;
            report.borrow_mut().record(customer, kind, outcome);
        });
    }

    async fn call(
        &self,
        customer: usize,
        number: u64,
        kind: CallKind,
        tokens: u32,
        start: Instant,
    ) -> CallOutcome {
        let index = usize::try_from(number).unwrap_or_default();
        let entry = &self.entries[index % self.entries.len()];
        let path = match kind {
            CallKind::Order => "services/orders/parts",
            CallKind::Chat | CallKind::Stream => "chat/completions",
        };
        let body = match kind {
            CallKind::Order => format!("order {number}"),
            CallKind::Chat | CallKind::Stream => json!({
                "model": "press",
                "messages": [{ "role": "user", "content": format!("plate {number}") }],
                "stream": kind == CallKind::Stream,
                "max_tokens": tokens,
            })
            .to_string(),
        };
        let request = self
            .client
            .post(format!("http://{entry}/v1/{path}"))
            .insert_header(("x-customer", format!("c{customer}")))
            .insert_header(("idempotency-key", format!("k{number}")));
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(err) => return CallOutcome::Failed(err.to_string()),
        };
        let header = response.headers().get("x-agatepin-outcome");
        let outcome = header.and_then(|value| value.to_str().ok());
        let outcome = outcome.unwrap_or_default().to_owned();
        let mut first_byte = None;
        let mut bytes = Vec::new();
        while let Some(part) = response.next().await {
            first_byte.get_or_insert_with(|| start.elapsed());
            match part {
                Ok(part) => bytes.extend_from_slice(&part),
                Err(err) => return CallOutcome::Failed(err.to_string()),
            }
        }
        if outcome == "not-run" {
            return CallOutcome::NotRun;
        }
        let complete = kind != CallKind::Stream || bytes.ends_with(b"data: [DONE]\n\n");
        if outcome != "answered" || !complete {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return CallOutcome::Failed(format!("{outcome}: {text}"));
        }
        match (kind, first_byte) {
            (CallKind::Stream, Some(latency)) => CallOutcome::Answered(latency),
            _ => CallOutcome::Answered(start.elapsed()),
        }
    }
}

impl LoadReport {
    fn record(&mut self, customer: usize, kind: CallKind, outcome: CallOutcome) {
        self.running -= 1;
        match outcome {
            CallOutcome::Answered(time) => {
                self.answered += 1;
                let millis = u64::try_from(time.as_millis()).unwrap_or(MAX_MILLIS).max(1);
                self.latency.saturating_record(millis);
                if customer > 0 {
                    self.small_latency.saturating_record(millis);
                }
                self.longest_gap = self.longest_gap.max(self.last_answer.elapsed());
                self.last_answer = Instant::now();
            }
            CallOutcome::NotRun => {
                self.not_run += 1;
                self.orders_not_run += u64::from(kind == CallKind::Order);
            }
            CallOutcome::Failed(failure) => {
                self.failed += 1;
                self.failure = failure;
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn count_as_float(count: u64) -> f64 {
    count as f64
}
