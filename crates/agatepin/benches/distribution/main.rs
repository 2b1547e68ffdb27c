//! Time to distribute a model to N replicas: `cargo bench -p agatepin --bench distribution
//! [-- --quick]`.
//!
//! Runs the library's agents over loopback, with stand-ins for the engines and the platform, and
//! prints one line for each number of agents and each fault. Where arguments are numbers, only
//! these numbers of agents are run.
//!
//! Columns, with times from the first request to the origin: `origin-s` until the origin has sent
//! the bytes of one copy, `first-s` until the first engine serves, `seconds` until all engines
//! serve or the time limit is reached, `bound` the lower bound of that time and `ratio` the
//! quotient of both; `origin` and `abroad` the bytes that the origin sent and that agents fetched
//! from another region, as multiples of the model; `done` the engines that serve, of those whose
//! agent lives; `cpu-s/N` and `MiB/N` the processor time and resident memory of this program for
//! each agent.

mod cluster;
mod scale;

use std::time::{Duration, Instant};

use agatepin_standins::origin::OriginControl;
use eyre::Result;

use cluster::BenchCluster;
use scale::{LinkScale, MODEL_BYTES};

/// Time in which the links carry the number of copies given in [`scale`].
const WINDOW_SECONDS: u64 = 6;
/// Value of [`WINDOW_SECONDS`] with `--quick`.
const QUICK_WINDOW_SECONDS: u64 = 4;
/// Time limit of a run, in windows.
const MAX_WINDOWS: u64 = 4;
/// Interval at which the state of the engines is read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks per second of the times in `/proc/self/stat` (`USER_HZ`, which is 100 on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

/// Disturbance of a run; its name is printed. "Halfway" is half of the lower bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No disturbance.
    None,
    /// Every tenth agent is killed halfway.
    Killed,
    /// The origin corrupts a tenth of the chunks that it sends, from the start.
    Corrupt,
    /// The origin is down from halfway until the lower bound.
    OriginDown,
    /// A second version, which shares half of its chunks with the first, is deployed halfway.
    NewVersion,
}

const FAULTS: [Fault; 4] = [
    Fault::Killed,
    Fault::Corrupt,
    Fault::OriginDown,
    Fault::NewVersion,
];

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let quick = args.iter().any(|arg| arg == "--quick");
    let counts: Vec<usize> = args.iter().filter_map(|arg| arg.parse().ok()).collect();
    let window = if quick {
        QUICK_WINDOW_SECONDS
    } else {
        WINDOW_SECONDS
    };
    let (undisturbed, faulty) = match (counts.is_empty(), quick) {
        (false, _) => (counts.clone(), counts),
        (true, true) => (vec![8, 32], vec![]),
        (true, false) => (vec![8, 32, 100, 200], vec![32, 100]),
    };
    println!(
        "model {MODEL_BYTES} bytes, window {window} s: origin 4 copies, machine 2, region link 2"
    );
    println!(
        "{:<11} {:>4} {:>8} {:>8} {:>8} {:>6} {:>6} {:>7} {:>7} {:>6} {:>8} {:>8}",
        "fault",
        "N",
        "origin-s",
        "first-s",
        "seconds",
        "bound",
        "ratio",
        "origin",
        "abroad",
        "done",
        "cpu-s/N",
        "MiB/N"
    );
    for count in undisturbed {
        run(count, Fault::None, window)?;
    }
    for count in faulty {
        for fault in FAULTS {
            run(count, fault, window)?;
        }
    }
    Ok(())
}

fn run(count: usize, fault: Fault, window: u64) -> Result<()> {
    actix_rt::System::new().block_on(measure(count, fault, window))
}

#[allow(clippy::cast_precision_loss)]
/// Measures one run with `count` agents and prints its line. `window` is in seconds.
async fn measure(count: usize, fault: Fault, window: u64) -> Result<()> {
    let scale = LinkScale::new(window);
    let mut cluster = BenchCluster::start(count, &scale).await?;
    let cpu = cpu_seconds();
    let deadline = Duration::from_secs(window * MAX_WINDOWS);
    let halfway = Duration::from_secs_f64(scale.lower_bound(count) / 2.0);
    if fault == Fault::Corrupt {
        cluster.control(OriginControl::Corrupt {
            fraction: 0.1,
            seed: Some(7),
        })?;
    }
    let version = if fault == Fault::NewVersion {
        "v2"
    } else {
        "v1"
    };
    if fault == Fault::NewVersion {
        cluster.declare_next()?;
    }
    cluster.deploy("v1").await?;
    while cluster.origin.state().counters.manifest_requests == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let start = Instant::now();
    let digest = cluster.digest(version);
    let mut injected = false;
    let mut serving = 0;
    let mut origin_seconds = None;
    let mut first_seconds = None;
    while serving < cluster.live_agents() && start.elapsed() < deadline {
        if !injected && start.elapsed() >= halfway {
            injected = true;
            inject(&mut cluster, count, fault).await?;
        }
        if fault == Fault::OriginDown && injected && start.elapsed() >= halfway * 2 {
            cluster.control(OriginControl::Down { down: false })?;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        serving = cluster.serving_count(&digest).await;
        let elapsed = start.elapsed().as_secs_f64();
        if cluster.origin.state().counters.bytes_sent >= MODEL_BYTES {
            origin_seconds.get_or_insert(elapsed);
        }
        if serving > 0 {
            first_seconds.get_or_insert(elapsed);
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu = cpu_seconds() - cpu;
    let bound = scale.lower_bound(count);
    let model = MODEL_BYTES as f64;
    let abroad = cluster
        .metric("agatepin_chunk_bytes{source=\"abroad\"}")
        .await;
    println!(
        "{:<11} {count:>4} {:>8.2} {:>8.2} {seconds:>8.2} {bound:>6.2} {:>6.2} {:>7.2} {:>7.2} {:>6} {:>8.3} {:>8.1}",
        format!("{fault:?}"),
        origin_seconds.unwrap_or(f64::NAN),
        first_seconds.unwrap_or(f64::NAN),
        seconds / bound,
        cluster.origin.state().counters.bytes_sent as f64 / model,
        abroad / model,
        format!("{serving}/{}", cluster.live_agents()),
        cpu / count as f64,
        resident_mib() / count as f64,
    );
    Ok(())
}

/// Starts the disturbance `fault` halfway through a run; `Fault::Corrupt` was started before.
async fn inject(cluster: &mut BenchCluster, count: usize, fault: Fault) -> Result<()> {
    match fault {
        Fault::None | Fault::Corrupt => Ok(()),
        Fault::Killed => {
            for index in (0..count).step_by(10) {
                cluster.kill(index)?;
            }
            Ok(())
        }
        Fault::OriginDown => cluster.control(OriginControl::Down { down: true }),
        Fault::NewVersion => cluster.deploy("v2").await,
    }
}

/// Processor time of this program so far in seconds, stand-ins included.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS_PER_SECOND
}

/// Resident memory of this program in MiB, stand-ins included; 0 if it cannot be read.
fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines() {
        if let Some(rest) = line.strip_prefix("VmRSS:") {
            let kib = rest.trim().trim_end_matches(" kB").parse::<f64>();
            return kib.unwrap_or(0.0) / 1024.0;
        }
    }
    0.0
}
