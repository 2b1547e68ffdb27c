//! Runs the review's cases: starts the project's programs with the commands of the deploy file, and
//! stand-ins of clients, workers, origin and store, all on loopback addresses.
//!
//! Use: `review-standins CASE FOLDER`; `record.txt` is written to the folder. With `TROUBLE=0` in the
//! environment there is no disruption. The exit code is 0 if the rule held, 1 if it was broken, and 2 if
//! the case could not run.

mod codec;
mod deployment;
mod desk;
mod false_promise;
mod http;
mod platform;
mod stuck_agents;

use std::path::Path;
use std::process::ExitCode;

use crate::platform::Record;

/// Result of a case: whether the rule held, or why it could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("use: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.add(format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let outcome = match case.as_str() {
        "stuck-agents" => stuck_agents::run(trouble, &record),
        "false-promise" => false_promise::run(trouble, &record),
        other => Err(format!("no case {other}")),
    };
    let (text, code) = match &outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.add(&text);
    println!("{text}");
    if let Err(err) = std::fs::write(Path::new(folder).join("record.txt"), record.text()) {
        eprintln!("record.txt cannot be written: {err}");
    }
    ExitCode::from(code)
}
