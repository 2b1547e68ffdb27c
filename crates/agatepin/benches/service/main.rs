//! Availability, latency and fairness of whole clusters while their load and configuration change.
//!
//! `cargo bench --bench service -- [--quick]` runs a deployment of the size of each user in one
//! program (only Quillmark's with `--quick`) and prints a line for each phase: steady load; a
//! burst of five times that load; a data centre taken out of service at short notice and brought
//! back with cold engines, once while the table is up and once while it is down; and small
//! customers beside a large one that sends ten times its share.

mod cluster;
mod load;

use std::time::{Duration, Instant};

use eyre::Result;

use cluster::{AGENCE, COLD_LIMIT, CUSTOMERS, Deployment, QUILLMARK, ServiceCluster};
use load::{LoadGenerator, LoadPlan, LoadReport};

/// Steady load of each customer, in calls per second.
const STEADY_RATE: f64 = 15.0;
/// Load of the burst, as a multiple of the steady load.
const BURST_FACTOR: f64 = 5.0;
/// Fair share of each customer, in chats per second that take a warm engine one second each: an
/// equal share of the chats that all warm engines together can answer.
const CUSTOMER_SHARE: f64 = 24.0;
/// Load of a small customer, as a multiple of its fair share.
const SMALL_LOAD: f64 = 1.0 / 3.0;
/// Load of the large customer, as a multiple of its fair share.
const LARGE_LOAD: f64 = 10.0;
/// Index of the data centre that is taken out of service.
const OUT_CENTRE: usize = 1;
/// Interval at which the number of calls received in the data centre is read after it was taken out
/// of service.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which the load of each phase is sent.
#[derive(Clone, Copy)]
struct PhaseTimes {
    steady: Duration,
    burst: Duration,
    /// Phase in which the data centre is taken out of service, after a quarter of this time.
    out: Duration,
    /// Phase in which the data centre is brought back.
    back: Duration,
    /// Each of the three rounds of the fairness phase.
    fair: Duration,
}

const QUICK_TIMES: PhaseTimes = PhaseTimes {
    steady: Duration::from_secs(3),
    burst: Duration::from_secs(2),
    out: Duration::from_secs(4),
    back: Duration::from_secs(3),
    fair: Duration::from_secs(4),
};
const FULL_TIMES: PhaseTimes = PhaseTimes {
    steady: Duration::from_secs(10),
    burst: Duration::from_secs(5),
    out: Duration::from_secs(10),
    back: Duration::from_secs(10),
    fair: Duration::from_secs(10),
};

fn main() -> Result<()> {
    let quick = std::env::args().any(|arg| arg == "--quick");
    let (times, deployments): (_, &[Deployment]) = if quick {
        (QUICK_TIMES, &[QUILLMARK])
    } else {
        (FULL_TIMES, &[AGENCE, QUILLMARK])
    };
    for deployment in deployments {
        actix_rt::System::new().block_on(bench(*deployment, times))?;
    }
    Ok(())
}

async fn bench(deployment: Deployment, times: PhaseTimes) -> Result<()> {
    let cluster = ServiceCluster::start(deployment).await?;
    println!(
        "{}: {} entries, 15 engines, 3 services",
        deployment.name, deployment.entries
    );
    let entries = cluster.entries.iter().map(|entry| entry.http.to_string());
    let load = LoadGenerator::new(entries.collect());
    let steady = mixed_load([STEADY_RATE; CUSTOMERS]);
    let burst = mixed_load([STEADY_RATE * BURST_FACTOR; CUSTOMERS]);
    print_phase("steady", &load.run(&steady, times.steady).await);
    print_phase("burst", &load.run(&burst, times.burst).await);
    for table_down in [false, true] {
        measure_outage(&cluster, &load, &steady, times, table_down).await?;
    }
    measure_fairness(&load, times.fair).await;
    let (max_cold_calls, overloads) = cluster.cold_counts();
    println!(
        "  cold engines: at most {max_cold_calls} calls at once, limit {COLD_LIMIT}; overloads \
         {overloads}; orders executed more than once {}",
        cluster.repeated_order_count()
    );
    Ok(())
}

/// Takes a data centre out of service under `steady` load, with the table down meanwhile if
/// `table_down`, then brings it back with cold engines under twice the load. Prints a line for each
/// of the two phases, and how long the data centre still received new calls after it was taken out.
async fn measure_outage(
    cluster: &ServiceCluster,
    load: &LoadGenerator,
    steady: &LoadPlan,
    times: PhaseTimes,
    table_down: bool,
) -> Result<()> {
    let table = if table_down { "table down" } else { "table up" };
    let leaving = async {
        tokio::time::sleep(times.out / 4).await;
        cluster.set_data_centre(OUT_CENTRE, true).await?;
        let accepted = Instant::now();
        cluster.set_table_down(table_down)?;
        let mut received = cluster.received_calls(OUT_CENTRE);
        let mut last = Duration::ZERO;
        while accepted.elapsed() < times.out / 2 {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = cluster.received_calls(OUT_CENTRE);
            if now != received {
                received = now;
                last = accepted.elapsed();
            }
        }
        cluster.set_table_down(false)?;
        Ok::<_, eyre::Report>(last)
    };
    let (report, last) = tokio::join!(load.run(steady, times.out), leaving);
    print_phase(&format!("leaving, {table}"), &report);
    println!("    last new call in it after {:.3} s", last?.as_secs_f64());
    let returning = async {
        cluster.turn_cold(OUT_CENTRE)?;
        cluster.set_data_centre(OUT_CENTRE, false).await
    };
    let double = mixed_load([STEADY_RATE * 2.0; CUSTOMERS]);
    let (report, returned) = tokio::join!(load.run(&double, times.back), returning);
    returned?;
    print_phase("back cold, twice the load", &report);
    Ok(())
}

/// Measures small customers alone, then beside a large one that sends ten times its share. A first
/// round, which is not compared, warms up the cluster.
async fn measure_fairness(load: &LoadGenerator, time: Duration) {
    let mut rates = [CUSTOMER_SHARE * SMALL_LOAD; CUSTOMERS];
    rates[0] = CUSTOMER_SHARE * LARGE_LOAD;
    print_phase("warm up", &load.run(&long_chat_load(rates), time).await);
    rates[0] = 0.0;
    let alone = load.run(&long_chat_load(rates), time).await;
    rates[0] = CUSTOMER_SHARE * LARGE_LOAD;
    let beside = load.run(&long_chat_load(rates), time).await;
    print_phase("small customers alone", &alone);
    print_phase("beside a large one", &beside);
    for quantile in [0.5, 0.99] {
        let (alone_millis, beside_millis) = (
            alone.small_latency.value_at_quantile(quantile),
            beside.small_latency.value_at_quantile(quantile),
        );
        println!(
            "    small ones' p{}: {alone_millis} ms, then {beside_millis} ms",
            quantile * 100.0
        );
    }
}

/// Short chats at `rates` (calls per second of each customer); two of every ten calls are streams
/// and one is an order.
fn mixed_load(rates: [f64; CUSTOMERS]) -> LoadPlan {
    LoadPlan {
        rates,
        tokens: 8,
        streams: 2,
        orders: 1,
    }
}

/// Chats of 100 tokens, which take a warm engine one second each, at `rates` (calls per second of
/// each customer).
fn long_chat_load(rates: [f64; CUSTOMERS]) -> LoadPlan {
    LoadPlan {
        rates,
        tokens: 100,
        streams: 0,
        orders: 0,
    }
}

fn print_phase(phase: &str, report: &LoadReport) {
    println!(
        "  {phase}: answered {}, not run {} (orders {}), failed {}; p50 {} ms, p99 {} ms, \
         longest gap {} ms",
        report.answered,
        report.not_run,
        report.orders_not_run,
        report.failed,
        report.latency.value_at_quantile(0.5),
        report.latency.value_at_quantile(0.99),
        report.longest_gap.as_millis(),
    );
    if report.failed > 0 {
        println!("    last failure: {}", report.failure);
    }
}
