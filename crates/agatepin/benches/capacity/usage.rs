//! Processor time and memory of threads and processes, as Linux reports them under `/proc`. A value
//! that cannot be read counts as 0.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Directory of the calling thread under `/proc`.
pub fn current_thread() -> String {
    let thread = fs::read_link("/proc/thread-self").unwrap_or_default();
    format!("/proc/{}", thread.display())
}

/// Processor time so far of the thread whose directory under `/proc` is `path`.
pub fn thread_cpu(path: &str) -> Duration {
    let text = fs::read_to_string(format!("{path}/schedstat")).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Processor time so far of all running threads of process `id`.
pub fn process_cpu(id: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return Duration::ZERO;
    };
    let path = |thread: fs::DirEntry| thread.path().display().to_string();
    threads
        .flatten()
        .map(path)
        .map(|path| thread_cpu(&path))
        .sum()
}

/// Resident memory of process `id` in KiB.
pub fn resident_kib(id: u32) -> f64 {
    let path = format!("/proc/{id}/status");
    let text = fs::read_to_string(Path::new(&path)).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let words = line.unwrap_or_default().split_whitespace().next();
    words.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}
