//! Binary of the entry daemon.

use std::process::ExitCode;

use agatepin::cmd::daemon;
use agatepin::entry::EntryDaemon;

fn main() -> ExitCode {
    let about = "Takes callers' requests and operators' calls";
    let command = daemon::command("agatepin-entry", about);
    daemon::run(command, std::env::args_os(), EntryDaemon::start)
}
