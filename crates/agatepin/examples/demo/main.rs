//! Daemons and stand-ins in one program on loopback: distributes two versions of a model to 8
//! replicas, the second while it serves requests, takes a data centre out of service and back, and
//! prints a table of the results.
//!
//! Run it with `cargo run --release --locked --example demo`.

mod cluster;
mod load;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use comfy_table::Table;
use eyre::{Result, ensure};

use cluster::DemoCluster;
use load::{CallCounts, LoadGenerator};

/// Number of replicas of the model.
const REPLICAS: u32 = 8;
/// Time limit of the wait until all replicas hold a version, and of the wait until the data centre
/// that was out of service receives requests again.
const DEPLOY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of the wait until the data centre that is taken out of service receives no more new
/// requests.
const OUT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the data centre stays out of service once it receives no more new requests; any
/// request in this time is counted as an error.
const OUT_TIME: Duration = Duration::from_secs(2);
/// Data centre that is taken out of service.
const OUT_CENTRE: &str = "hartford-a";

/// Results of the demo.
struct DemoReport {
    /// Seconds until all replicas hold the first version.
    first_seconds: f64,
    /// Seconds until all replicas hold the second version, under load.
    second_seconds: f64,
    /// Bytes that the origin sent for the first version, as a multiple of its size.
    first_copies: f64,
    /// Bytes that the origin sent for the second version, as a multiple of its size.
    second_copies: f64,
    /// Seconds until the data centre taken out of service received no more new requests, including
    /// the time without requests that shows this.
    out_seconds: f64,
    /// New requests that the data centre then received while it was out of service.
    requests_while_out: u64,
    /// Replicas that hold the second version at the end.
    replicas: u32,
    /// Number of requests of the load generator by result.
    counts: CallCounts,
    /// Highest number of executions of any one order; more than 1 is an error.
    most_executions: u64,
    /// Number of times that an engine failed under more requests than it can handle.
    overloads: u64,
}

fn main() -> ExitCode {
    let outcome = actix::System::new().block_on(run());
    match outcome {
        Ok(report) => {
            print_report(&report);
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<DemoReport> {
    let cluster = DemoCluster::start().await?;
    let start = Instant::now();
    cluster.apply("v1", REPLICAS).await?;
    cluster.wait_serving("v1", REPLICAS, DEPLOY_TIMEOUT).await?;
    let first_seconds = start.elapsed().as_secs_f64();
    let first_copies = cluster.origin_copies();

    let generator = LoadGenerator::start(&cluster.entry_urls());
    let start = Instant::now();
    cluster.deploy("v2").await?;
    cluster.wait_serving("v2", REPLICAS, DEPLOY_TIMEOUT).await?;
    let second_seconds = start.elapsed().as_secs_f64();
    let second_copies = cluster.origin_copies() - first_copies;

    let start = Instant::now();
    cluster.set_data_centre(OUT_CENTRE, true).await?;
    cluster.wait_quiet(OUT_CENTRE, OUT_TIMEOUT).await?;
    let out_seconds = start.elapsed().as_secs_f64();
    let before = cluster.request_count(OUT_CENTRE);
    actix_rt::time::sleep(OUT_TIME).await;
    let requests_while_out = cluster.request_count(OUT_CENTRE) - before;
    cluster.set_data_centre(OUT_CENTRE, false).await?;
    cluster
        .wait_for_requests(OUT_CENTRE, DEPLOY_TIMEOUT)
        .await?;

    let counts = generator.stop().await;
    let report = DemoReport {
        first_seconds,
        second_seconds,
        first_copies,
        second_copies,
        out_seconds,
        requests_while_out,
        replicas: cluster.serving_count("v2"),
        counts,
        most_executions: cluster.most_executions(),
        overloads: cluster.overloads(),
    };
    cluster.stop().await;
    check_report(&report)?;
    Ok(report)
}

/// Fails unless all replicas serve, chats, streams and orders were answered, no request failed, no
/// order ran twice, no engine was overloaded, and the data centre got no new requests while it was
/// out.
fn check_report(report: &DemoReport) -> Result<()> {
    let counts = &report.counts;
    ensure!(
        report.replicas == REPLICAS,
        "{} of {REPLICAS} replicas serve the second version",
        report.replicas
    );
    ensure!(
        counts.failed == 0,
        "{} requests failed: {:?}",
        counts.failed,
        counts.first_failure
    );
    ensure!(counts.answered > 0, "no request was answered");
    ensure!(counts.streams > 0, "no stream was answered");
    ensure!(counts.orders > 0, "no order was answered");
    ensure!(
        report.most_executions <= 1,
        "an order was executed {} times",
        report.most_executions
    );
    ensure!(
        report.overloads == 0,
        "engines were overloaded {} times",
        report.overloads
    );
    ensure!(
        report.requests_while_out == 0,
        "the data centre got {} new requests while it was out",
        report.requests_while_out
    );
    Ok(())
}

fn print_report(report: &DemoReport) {
    let counts = &report.counts;
    let mut table = Table::new();
    table.set_header(["what", "figure"]);
    let replicas = report.replicas;
    let rows = [
        ("replicas", format!("{replicas}/{REPLICAS}")),
        (
            "seconds to all replicas, first version",
            format!("{:.2}", report.first_seconds),
        ),
        (
            "seconds to all replicas, second version under load",
            format!("{:.2}", report.second_seconds),
        ),
        (
            "origin copies, first version",
            format!("{:.2}", report.first_copies),
        ),
        (
            "origin copies, second version",
            format!("{:.2}", report.second_copies),
        ),
        (
            "seconds until the data centre that is out is quiet",
            format!("{:.2}", report.out_seconds),
        ),
        (
            "new requests there while it is out",
            report.requests_while_out.to_string(),
        ),
        ("requests sent", counts.sent.to_string()),
        ("answered", counts.answered.to_string()),
        ("of them streams", counts.streams.to_string()),
        (
            "of them orders that run at most once",
            counts.orders.to_string(),
        ),
        ("refused, not run", counts.refused.to_string()),
        ("failed", counts.failed.to_string()),
    ];
    for (what, figure) in rows {
        table.add_row([what.to_owned(), figure]);
    }
    println!("{table}");
}
