//! All processes are killed while new weights are being loaded, and newer versions are named soon after
//! they are back. RECOVER: of the requests sent later than `recovery_s` after the machines are back, at
//! least a quarter is served.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::Deployment;
use crate::platform::{PIECES, Record};

const WORKERS: usize = 12;
const ENTRIES: usize = 2;
const REQUESTS_PER_SECOND: u32 = 140;
const RECOVERY: Duration = Duration::from_secs(12);
/// Time from the start of the processes to the naming of version 4, and from there to that of version 5.
const FIRST_PAUSE: Duration = Duration::from_millis(600);
const SECOND_PAUSE: Duration = Duration::from_millis(300);

pub fn run(trouble: bool, record: &Record) -> Outcome {
    let mut deployment = Deployment::start(ENTRIES, WORKERS, 0, record)?;
    let clients = deployment.start_clients(REQUESTS_PER_SECOND);
    let traffic = Instant::now();
    thread::sleep(Duration::from_secs(8));
    deployment.name_version(2);
    // Until each agent has staged most pieces of version 2, which it has not loaded yet.
    let until = Instant::now() + Duration::from_secs(4);
    while deployment
        .workers
        .iter()
        .any(|worker| 2 * worker.staged(2) <= PIECES)
        && Instant::now() < until
    {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(200));
    let staged: Vec<u32> = deployment
        .workers
        .iter()
        .map(|worker| worker.staged(2))
        .collect();
    record.add(format!(
        "pieces of version 2 that are staged, of {PIECES}: {staged:?}"
    ));
    record.add(format!("versions held: {:?}", deployment.versions()));
    deployment.name_version(3);
    let fault = Instant::now();
    if trouble {
        deployment.kill_all(Duration::from_millis(600))?;
    }
    let back = Instant::now();
    thread::sleep(FIRST_PAUSE);
    deployment.name_version(4);
    thread::sleep(SECOND_PAUSE);
    deployment.name_version(5);
    for _ in 0..4 {
        thread::sleep(Duration::from_secs(6));
        record.add(format!("versions held: {:?}", deployment.versions()));
    }
    let until = Instant::now();
    clients.stop();
    let (before, served_before) = clients.between(traffic + Duration::from_secs(2), fault);
    record.add(format!(
        "before the fault: {before} requests sent, {served_before:?}"
    ));
    let (after, served_after) = clients.between(back + RECOVERY, until);
    record.add(format!(
        "later than 12 s after the return: {after} requests sent, {served_after:?}"
    ));
    deployment.note_logs("not cached any more");
    let share = |served: &std::collections::BTreeMap<String, usize>, all: usize| {
        served.get("served").copied().unwrap_or(0) as f64 / all.max(1) as f64
    };
    let (share_before, share_after) = (share(&served_before, before), share(&served_after, after));
    record.add(format!(
        "share served: {share_before:.3} before, {share_after:.3} after"
    ));
    if before < 100 || after < 100 || share_before < 0.25 {
        return Err("too few requests were sent or served before the fault".to_owned());
    }
    Ok(share_after >= 0.25)
}
