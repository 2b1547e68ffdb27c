//! Binary of the agent daemon.

use std::process::ExitCode;

use agatepin::agent::AgentDaemon;
use agatepin::cmd::daemon;

fn main() -> ExitCode {
    let about = "Guards one upstream: weights, admission and at-most-once calls";
    let command = daemon::command("agatepin-agent", about);
    daemon::run(command, std::env::args_os(), AgentDaemon::start)
}
