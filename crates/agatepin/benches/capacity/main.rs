//! Growth of control traffic, processor time and memory with the size of the cluster.
//!
//! `cargo bench --bench capacity`, with `-- --quick` for small sizes only. For each size this
//! program runs the spread part of that many agents; the processor time is that of their threads,
//! without the stand-ins. The resident memory of a daemon is measured on real processes.

mod fleet;
mod processes;
mod usage;

use std::time::{Duration, Instant};

use agatepin_core::config::ConfigChange;

use fleet::SpreadFleet;

/// Assumed number of configuration changes per day, by which the traffic of one change is converted
/// to bytes per second in the output.
const CHANGES_A_DAY: f64 = 990.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Budget for the control traffic of a daemon, in bytes a second.
const BUDGET_BYTES: f64 = 3072.0;
/// Budget for the processor time of an idle daemon, as a fraction of one core.
const BUDGET_CPU: f64 = 0.01;
/// Budget for the resident memory of a daemon, in KiB.
const BUDGET_KIB: f64 = 32.0 * 1024.0;
/// Budget for the time until a configuration change is in force at every daemon.
const BUDGET_CHANGE: Duration = Duration::from_secs(10);
/// Time limit of the wait until all daemons know each other, and of the wait until a change has
/// reached all of them.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the measurement goes on after a change is in force everywhere, so that the
/// traffic that follows the change is counted as well.
const CHANGE_WINDOW: Duration = Duration::from_secs(3);

/// Cluster sizes and times of one run of the bench.
struct BenchPlan {
    /// Numbers of daemons in this program; each size is measured by itself, one after the other.
    sizes: &'static [usize],
    /// Time over which idle daemons are measured.
    window: Duration,
    /// Numbers of agents that are run as real processes; each number is measured by itself.
    processes: &'static [usize],
}

/// Counters of the whole fleet at one moment.
#[derive(Clone, Copy)]
struct Sample {
    /// Payload bytes of the links, in both directions.
    link_bytes: f64,
    /// Frames on the links, in both directions.
    link_frames: f64,
    /// Payload bytes read from the table and the instance list.
    platform_bytes: f64,
    /// Processor time of the threads of all members.
    cpu: Duration,
    /// Reads that the table has received.
    reads: u64,
    /// Instant at which the counters were read.
    at: Instant,
}

/// Mean rates of one daemon between two samples, except for `reads`.
struct Rates {
    /// Payload bytes per second on the links, in both directions.
    link_bytes: f64,
    /// Frames per second on the links.
    link_frames: f64,
    /// Payload bytes per second read from the table and the instance list.
    platform_bytes: f64,
    /// Processor time as a fraction of one core.
    cpu: f64,
    /// Table reads per second of the whole fleet.
    reads: f64,
}

impl Sample {
    fn take(fleet: &SpreadFleet) -> Self {
        Self {
            link_bytes: fleet.counter_sum("agatepin_spread_link_bytes"),
            link_frames: fleet.counter_sum("agatepin_spread_link_frames"),
            platform_bytes: fleet.counter_sum("agatepin_platform_read_bytes"),
            cpu: fleet.cpu(),
            reads: fleet.table.state().counters.reads,
            at: Instant::now(),
        }
    }

    /// Rates since `before` in a fleet of `size` daemons.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    fn since(&self, before: &Self, size: usize) -> Rates {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let daemon_seconds = size as f64 * seconds;
        Rates {
            link_bytes: (self.link_bytes - before.link_bytes) / daemon_seconds,
            link_frames: (self.link_frames - before.link_frames) / daemon_seconds,
            platform_bytes: (self.platform_bytes - before.platform_bytes) / daemon_seconds,
            cpu: (self.cpu.saturating_sub(before.cpu)).as_secs_f64() / daemon_seconds,
            reads: (self.reads - before.reads) as f64 / seconds,
        }
    }
}

fn main() {
    let quick = std::env::args().any(|arg| arg == "--quick");
    let plan = if quick {
        BenchPlan {
            sizes: &[10, 50],
            window: Duration::from_secs(3),
            processes: &[4],
        }
    } else {
        BenchPlan {
            sizes: &[10, 50, 100, 200, 400],
            window: Duration::from_secs(6),
            processes: &[8, 48],
        }
    };
    actix::System::new().block_on(run(plan));
}

async fn run(plan: BenchPlan) {
    println!("budgets a daemon: 1% of a core, 32 MiB, 3072 B/s; a change everywhere in 10 s");
    println!("bytes are payloads of both directions, without TCP and HTTP headers");
    for size in plan.sizes {
        measure(*size, plan.window).await;
    }
    for agents in plan.processes {
        let window = plan.window;
        for usage in processes::measure(*agents, window, window).await {
            println!(
                "{agents} agents and 2 entries as processes: {} resident {:.0} KiB ({}), CPU {:.2}% ({})",
                usage.role,
                usage.resident_kib,
                budget_label(usage.resident_kib, BUDGET_KIB),
                usage.cpu * 100.0,
                budget_label(usage.cpu, BUDGET_CPU),
            );
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
/// Measures a fleet of `size` daemons while idle and during a change, and prints the results.
async fn measure(size: usize, window: Duration) {
    let resident = usage::resident_kib(std::process::id());
    let fleet = SpreadFleet::start(size).await;
    let joined = fleet
        .wait_all(START_TIMEOUT, |member| {
            let members = member.handle.members.borrow().members.len();
            let records = member.handle.state.borrow().records.len();
            let revision = member.handle.config.borrow().revision;
            members == size && records == size && revision == 1
        })
        .await;
    println!(
        "\n{size} daemons: all know all others after {}",
        format_seconds(joined)
    );
    tokio::time::sleep(window / 2).await;
    let before = Sample::take(&fleet);
    tokio::time::sleep(window).await;
    let idle_end = Sample::take(&fleet);
    let idle = idle_end.since(&before, size);
    print_idle(&idle);
    let change = ConfigChange::SetDataCentre {
        name: "a1".to_owned(),
        out: true,
    };
    let before = Sample::take(&fleet);
    let committed = fleet.commit(change, "second").await;
    fleet.members[0].handle.put_in_force(committed).await;
    let spread = fleet
        .wait_all(START_TIMEOUT, |member| {
            member.handle.config.borrow().revision == 2
        })
        .await;
    tokio::time::sleep(CHANGE_WINDOW).await;
    let after = Sample::take(&fleet);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let changed = after.since(&before, size);
    let bytes = (changed.link_bytes - idle.link_bytes) * seconds;
    let cpu = (changed.cpu - idle.cpu) * seconds;
    let reported = fleet
        .wait_all(START_TIMEOUT, |member| {
            let state = member.handle.state.borrow();
            state
                .records
                .iter()
                .all(|record| record.config_revision == 2)
        })
        .await;
    let changes_per_second = CHANGES_A_DAY / SECONDS_A_DAY;
    println!(
        "  a change: in force everywhere after {} ({}), every daemon knows \
         this of every other {} after that plus {:?};\n    \
         {bytes:.0} B and {:.1} ms CPU a daemon; {:.0} B/s at 990 a day",
        format_seconds(spread),
        spread.map_or("ABOVE BUDGET", |time| if time <= BUDGET_CHANGE {
            "within"
        } else {
            "ABOVE BUDGET"
        }),
        format_seconds(reported),
        CHANGE_WINDOW,
        cpu * 1000.0,
        bytes * changes_per_second,
    );
    let control_bytes = idle.link_bytes + idle.platform_bytes + bytes * changes_per_second;
    println!(
        "  control traffic in all: {control_bytes:.0} B/s ({})",
        budget_label(control_bytes, BUDGET_BYTES)
    );
    let growth = usage::resident_kib(std::process::id()) - resident;
    println!(
        "  resident memory of the program: {:.0} KiB more a daemon, stand-ins included",
        growth / size as f64
    );
    fleet.stop().await;
}

fn print_idle(idle: &Rates) {
    println!(
        "  idle: links {:.0} B/s in {:.1} frames/s, platform reads {:.0} B/s, CPU {:.3}% ({}); table reads {:.1}/s of all",
        idle.link_bytes,
        idle.link_frames,
        idle.platform_bytes,
        idle.cpu * 100.0,
        budget_label(idle.cpu, BUDGET_CPU),
        idle.reads,
    );
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| {
        format!("{:.2} s", time.as_secs_f64())
    })
}

fn budget_label(value: f64, budget: f64) -> &'static str {
    if value <= budget {
        "within"
    } else {
        "ABOVE BUDGET"
    }
}
