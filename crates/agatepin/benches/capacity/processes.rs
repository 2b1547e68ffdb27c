//! Resident memory and processor time of the real daemons, run as processes.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::service::ServiceOptions;
use agatepin_standins::table::TableOptions;
use agatepin_standins::{InstanceListStandin, ServiceStandin, TableStandin};
use serde_json::Value;
use tempfile::TempDir;

use crate::fleet::DATA_CENTRES;
use crate::usage;

/// Mean memory and processor use of the processes of one role.
pub struct ProcessUsage {
    pub role: &'static str,
    /// Resident memory in KiB.
    pub resident_kib: f64,
    /// Processor time as a fraction of one core.
    pub cpu: f64,
}

/// A daemon process; dropping it kills the process.
struct BenchProcess {
    child: Child,
    role: &'static str,
}

impl Drop for BenchProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Starts `agents` agents and two entries, lets them settle for `settle_time`, and measures them
/// over `window` while they are idle. Returns the use of the entries, then that of the agents.
///
/// # Panics
///
/// If a stand-in or daemon does not start.
pub async fn measure(agents: usize, settle_time: Duration, window: Duration) -> Vec<ProcessUsage> {
    let table = TableStandin::start(TableOptions::default())
        .await
        .expect("table");
    let list = InstanceListStandin::start(InstanceListOptions::default()).await;
    let list = list.expect("list");
    let service = ServiceStandin::start(ServiceOptions::default()).await;
    let service = service.expect("service");
    let work = TempDir::new().expect("work directory");
    let mut processes = Vec::new();
    for number in 0..agents + 2 {
        let role = if number < 2 { "entry" } else { "agent" };
        let name = format!("{role}-{number:04}");
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let (section, program) = match role {
            "entry" => (
                "[operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n".to_owned(),
                env!("CARGO_BIN_EXE_agatepin-entry"),
            ),
            _ => (
                format!(
                    "[upstream]\nname = \"s{number}\"\nurl = \"{}\"\n",
                    service.url()
                ),
                env!("CARGO_BIN_EXE_agatepin-agent"),
            ),
        };
        let text = format!(
            "[process]\ninstance = \"{name}\"\ndata_centre = \"{data_centre}\"\n\
             wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
             [platform]\ntable = \"{}\"\ninstances = \"{}\"\norigin = \"{}\"\n\
             [link]\nallow_plain = true\n{section}",
            table.url(),
            list.url(),
            service.url(),
        );
        let path = work.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("settings");
        let mut child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .arg("--log-level")
            .arg("off")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("daemon");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        processes.push(BenchProcess { child, role });
        BufReader::new(stdout).read_line(&mut line).expect("ready");
        let ready: Value = serde_json::from_str(&line).expect("ready line");
        let text = |field: &str| ready["ready"][field].as_str().unwrap_or("").to_owned();
        let listed = ListedInstance {
            id: name,
            role: role.to_owned(),
            data_centre: data_centre.to_owned(),
            wire: text("wire"),
            http: text("http"),
            leaving: false,
        };
        list.control(InstanceListControl::Add(listed))
            .expect("listed");
    }
    tokio::time::sleep(settle_time).await;
    let cpu = |process: &BenchProcess| usage::process_cpu(process.child.id());
    let before: Vec<Duration> = processes.iter().map(cpu).collect();
    let start = Instant::now();
    tokio::time::sleep(window).await;
    let elapsed = start.elapsed();
    let after = processes.iter().map(cpu);
    let spent: Vec<f64> = after
        .zip(before)
        .map(|(after, before)| (after.saturating_sub(before)).div_duration_f64(elapsed))
        .collect();
    ["entry", "agent"]
        .map(|role| average(role, &processes, &spent))
        .into()
}

/// Mean use of the processes with `role`. `spent` holds the processor time of each of `processes`
/// as a fraction of one core.
fn average(role: &'static str, processes: &[BenchProcess], spent: &[f64]) -> ProcessUsage {
    let mut usage = ProcessUsage {
        role,
        resident_kib: 0.0,
        cpu: 0.0,
    };
    let mut count = 0.0;
    for (process, cpu) in processes.iter().zip(spent) {
        if process.role != role {
            continue;
        }
        count += 1.0;
        usage.resident_kib += usage::resident_kib(process.child.id());
        usage.cpu += cpu;
    }
    usage.resident_kib /= count;
    usage.cpu /= count;
    usage
}
