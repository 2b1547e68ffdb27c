//! A worker books part of its orders and then fails with a status that the entry passes on, although it
//! promises the client that the order has not run. REFUSED: a request that isn't idempotent is answered
//! 429 or 503 (or 408, 421) and has run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::deployment::{Deployment, HOST, ORDER_PATH};
use crate::http::call;
use crate::platform::Record;

const ENTRIES: usize = 2;
const WORKERS: usize = 3;
const ORDERS: u64 = 120;
/// Pause between two orders: 20 a second.
const ORDER_PAUSE: Duration = Duration::from_millis(50);
/// Part of the orders of one worker that fail, in percent.
const FAILING: u64 = 40;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// An attempt of a client, with the status of its answer; none without one.
struct Attempt {
    id: String,
    order: String,
    status: Option<u16>,
}

pub fn run(trouble: bool, record: &Record) -> Outcome {
    let deployment = Deployment::start(ENTRIES, 0, WORKERS, record)?;
    if trouble {
        deployment.desk[0].fail(FAILING);
        record.add(format!(
            "{} fails {FAILING} of 100 orders after it has run them",
            deployment.desk[0].id
        ));
    }
    let fronts = deployment.fronts();
    let clients: Vec<_> = (0..ORDERS)
        .map(|number| {
            thread::sleep(ORDER_PAUSE);
            let front = fronts[number as usize % fronts.len()];
            thread::spawn(move || place_order(number, front))
        })
        .collect();
    let mut attempts = Vec::new();
    for client in clients {
        attempts.extend(client.join().map_err(|_| "a client failed".to_owned())?);
    }
    let runs: BTreeMap<String, String> = deployment
        .desk
        .iter()
        .flat_map(|worker| worker.runs())
        .collect();
    let mut broken = 0;
    for Attempt { id, order, status } in &attempts {
        let has_run = runs.contains_key(id);
        let is_broken = has_run && status.is_some_and(|status| PROMISES.contains(&status));
        broken += usize::from(is_broken);
        let mark = if is_broken {
            "  <- promised not to have run, and has run"
        } else {
            ""
        };
        record.add(format!(
            "attempt {id}, order {order}: answered {status:?}, has run: {has_run}{mark}"
        ));
    }
    let mut booked: BTreeMap<&String, usize> = BTreeMap::new();
    for order in runs.values() {
        *booked.entry(order).or_default() += 1;
    }
    let twice = booked.values().filter(|times| **times > 1).count();
    record.add(format!(
        "{ORDERS} orders, {} attempts, {broken} of them answered with a promise although they ran; {twice} orders booked more than once",
        attempts.len()
    ));
    if runs.len() < 50 {
        return Err("too few orders ran".to_owned());
    }
    Ok(broken == 0)
}

/// Places an order as a client does: once more, as a new attempt, only after a promise that the first one
/// has not run.
fn place_order(number: u64, front: SocketAddr) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for attempt in 0..2 {
        let (id, order) = (
            format!("{:016x}", number * 2 + attempt),
            format!("order-{number}"),
        );
        let headers = [
            ("Host", HOST.to_owned()),
            ("Agatepin-Attempt-Id", id.clone()),
            ("Agatepin-Deadline-Ms", "4000".to_owned()),
        ];
        let target = format!("{ORDER_PATH}{number}");
        let answer = call(
            front,
            "POST",
            &target,
            &headers,
            order.as_bytes(),
            Duration::from_secs(4),
        );
        let status = answer.as_ref().ok().map(|answer| answer.status);
        attempts.push(Attempt { id, order, status });
        let Some(answer) = answer
            .ok()
            .filter(|answer| PROMISES.contains(&answer.status))
        else {
            return attempts;
        };
        let pause = answer
            .headers
            .get("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(f64::min(pause, 1.3)));
    }
    attempts
}
