//! Latency and processor time that one entry and one agent add to a call.
//!
//! Compares calls through an entry and an agent with direct calls of the same engine stand-in in
//! the same run. The daemons are processes of their own; the engine runs in this program.
//!
//! `cargo bench -p agatepin --bench hop --locked`

#[path = "../../tests/harness/process.rs"]
#[expect(dead_code, reason = "only the scenario tests use all of it")]
mod process;
mod setup;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use comfy_table::Table;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use process::DaemonProcess;
use setup::HopSetup;

/// Message of an error that ends the bench.
type Failure = String;

/// Number of calls in each measured round, over all callers.
const CALLS: u64 = 4000;
/// Number of calls over each path (direct, and through entry and agent) before the first measured
/// round.
const WARM_UP_CALLS: u64 = 400;
/// Number of callers in each round; each caller has one call in flight.
const CONCURRENCIES: [u64; 3] = [1, 8, 32];
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Highest latency that the histogram records, in microseconds; a longer latency counts as this
/// one.
const MAX_MICROS: u64 = 10_000_000;

/// Result of one round.
struct RoundResult {
    /// Microseconds until the end of each answer, failed calls included.
    latencies: Histogram<u64>,
    /// Time from the start of the round to its last answer.
    elapsed: Duration,
    /// Number of calls without a complete answer of a success status.
    failed: u64,
}

fn main() -> Result<(), Failure> {
    actix::System::new().block_on(run())
}

async fn run() -> Result<(), Failure> {
    let setup = HopSetup::start().await?;
    let direct = setup.engine_url();
    let routed = setup.entry_url();
    measure(&direct, 8, WARM_UP_CALLS).await;
    measure(&routed, 8, WARM_UP_CALLS).await;
    let mut table = Table::new();
    table.set_header([
        "in flight",
        "path",
        "p50 us",
        "p99 us",
        "calls/s",
        "failed",
        "entry us/call",
        "agent us/call",
    ]);
    for concurrency in CONCURRENCIES {
        let result = measure(&direct, concurrency, CALLS).await;
        table.add_row(table_row(
            concurrency,
            "direct",
            &result,
            ["-".into(), "-".into()],
        ));
        let before = cpu_times(&setup)?;
        let result = measure(&routed, concurrency, CALLS).await;
        let after = cpu_times(&setup)?;
        let cost = [per_call(before[0], after[0]), per_call(before[1], after[1])];
        table.add_row(table_row(concurrency, "entry+agent", &result, cost));
    }
    println!("{table}");
    Ok(())
}

fn table_row(concurrency: u64, path: &str, result: &RoundResult, cost: [String; 2]) -> [String; 8] {
    let [entry, agent] = cost;
    let rate = f64::from(u32::try_from(CALLS).unwrap_or_default()) / result.elapsed.as_secs_f64();
    [
        concurrency.to_string(),
        path.to_owned(),
        result.latencies.value_at_quantile(0.5).to_string(),
        result.latencies.value_at_quantile(0.99).to_string(),
        format!("{rate:.0}"),
        result.failed.to_string(),
        entry,
        agent,
    ]
}

/// Processor time so far of the entry and of the agent.
fn cpu_times(setup: &HopSetup) -> Result<[Duration; 2], Failure> {
    Ok([cpu_time(&setup.entry)?, cpu_time(&setup.agent)?])
}

/// Processor time so far of all running threads of a process, from `/proc`.
fn cpu_time(process: &DaemonProcess) -> Result<Duration, Failure> {
    let path = format!("/proc/{}/schedstat", process.id());
    let main_thread = std::fs::read_to_string(&path).map_err(|err| format!("{path}: {err}"))?;
    let mut total = 0;
    let tasks = format!("/proc/{}/task", process.id());
    for task in std::fs::read_dir(&tasks).map_err(|err| format!("{tasks}: {err}"))? {
        let path = task
            .map_err(|err| err.to_string())?
            .path()
            .join("schedstat");
        let text = std::fs::read_to_string(path).unwrap_or_else(|_| main_thread.clone());
        let nanos = text
            .split(' ')
            .next()
            .and_then(|word| word.parse::<u64>().ok());
        total += nanos.unwrap_or_default();
    }
    Ok(Duration::from_nanos(total))
}

/// Mean processor time per call of a round, in whole microseconds, from the times before and after
/// the round.
fn per_call(before: Duration, after: Duration) -> String {
    let spent = after.saturating_sub(before).as_micros();
    format!("{}", spent / u128::from(CALLS))
}

/// Sends `calls` calls to `url`, distributed over `concurrency` callers.
async fn measure(url: &str, concurrency: u64, calls: u64) -> RoundResult {
    let latencies = Histogram::new_with_max(MAX_MICROS, 3).map_err(|err| err.to_string());
    let Ok(latencies) = latencies else {
        unreachable!("the bounds of the histogram are constants");
    };
    let result = Rc::new(RefCell::new(RoundResult {
        latencies,
        elapsed: Duration::ZERO,
        failed: 0,
    }));
    let start = Instant::now();
    let mut callers = Vec::new();
    for _ in 0..concurrency {
        callers.push(actix_rt::spawn(run_caller(
            url.to_owned(),
            calls / concurrency,
            result.clone(),
        )));
    }
    for caller in callers {
        // The calls that a caller did not send because it panicked are missing from the histogram.
        drop(caller.await);
    }
    result.borrow_mut().elapsed = start.elapsed();
    Rc::try_unwrap(result).map_or_else(
        |_| unreachable!("all callers have ended"),
        RefCell::into_inner,
    )
}

async fn run_caller(url: String, calls: u64, result: Rc<RefCell<RoundResult>>) {
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let body = chat_body();
    for _ in 0..calls {
        let start = Instant::now();
        let answered = send(&client, &url, &body).await;
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(MAX_MICROS);
        let mut result = result.borrow_mut();
        result.latencies.saturating_record(micros);
        result.failed += u64::from(!answered);
    }
}

/// Sends one chat; returns whether a complete answer with a success status came.
async fn send(client: &Client, url: &str, body: &Value) -> bool {
    let request = client
        .post(format!("{url}/v1/chat/completions"))
        .insert_header(("x-customer", "dispatch"))
        .send_json(body);
    let Ok(mut answer) = request.await else {
        return false;
    };
    answer.status().is_success() && answer.body().await.is_ok()
}

fn chat_body() -> Value {
    json!({"model": "press", "messages": [{"role": "user", "content": "roller 7 smears"}]})
}
