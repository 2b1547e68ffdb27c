//! Daemons as child processes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;

use super::Failure;

/// Time limit from the start of a daemon to its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of the end of a log that a failed test prints.
const LOG_TAIL_BYTES: usize = 4096;

/// Addresses on the line that a daemon prints once it is ready.
#[derive(Clone, Debug, Deserialize)]
pub struct ReadyAddresses {
    /// Address for links from other daemons.
    pub wire: String,
    /// Address of the HTTP server for calls, metrics and the state dump.
    pub http: String,
    /// Address of the operator API; only entries have one.
    pub operator: Option<String>,
}

#[derive(Deserialize)]
struct ReadyLine {
    ready: ReadyAddresses,
}

/// A daemon started as a child process; dropping it kills the process.
pub struct DaemonProcess {
    child: Child,
    /// Path of the file with the daemon's standard error.
    log: PathBuf,
    /// Addresses on which the daemon listens.
    pub ready: ReadyAddresses,
}

impl DaemonProcess {
    /// Starts `program` with the settings file `settings` and waits until it is ready.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or it is not ready within [`READY_TIMEOUT`].
    pub fn start(program: &str, settings: &Path) -> Result<Self, Failure> {
        let log = settings.with_extension("log");
        let stderr = File::create(&log).map_err(|err| err.to_string())?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .map_err(|err| format!("{program}: {err}"))?;
        let mut child = ChildGuard(Some(child));
        let ready = wait_ready(child.take_stdout()?)?;
        let child = child.0.take().ok_or("child was already taken")?;
        Ok(Self { child, log, ready })
    }

    /// Sends `signal` to the child.
    pub fn signal(&self, signal: Signal) -> Result<(), Failure> {
        let id = i32::try_from(self.id()).map_err(|err| err.to_string())?;
        let pid = Pid::from_raw(id).ok_or("child has process id 0")?;
        kill_process(pid, signal).map_err(|err| err.to_string())
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the child and waits until it has exited.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Exit code; -1 after a signal ended the process, `None` while it runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    /// The last [`LOG_TAIL_BYTES`] bytes of the log.
    pub fn log_tail(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        let start = bytes.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&bytes[start..]).into_owned()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Kills a child whose start fails before it is ready.
struct ChildGuard(Option<Child>);

impl ChildGuard {
    fn take_stdout(&mut self) -> Result<ChildStdout, Failure> {
        let child = self.0.as_mut().ok_or("child was already taken")?;
        child
            .stdout
            .take()
            .ok_or_else(|| "child has no stdout pipe".to_owned())
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        if let Some(child) = &mut self.0 {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Waits for the ready line. A thread reads all of the child's standard output, so that the child
/// never blocks on a full pipe.
fn wait_ready(stdout: ChildStdout) -> Result<ReadyAddresses, Failure> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines() {
            let Ok(line) = line else {
                return;
            };
            if let Ok(parsed) = serde_json::from_str::<ReadyLine>(&line) {
                drop(sender.send(parsed.ready));
            }
        }
    });
    let outcome = receiver.recv_timeout(READY_TIMEOUT);
    outcome.map_err(|err| format!("daemon did not print its ready line: {err}"))
}
