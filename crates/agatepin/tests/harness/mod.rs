//! Runs scenario files against the built daemons, with stand-ins for the services that they use.

pub mod calls;
#[path = "../support/certificates.rs"]
mod certificates;
mod checks;
mod cli;
mod cluster;
mod concurrent;
mod directives;
pub mod network;
pub mod process;
mod setups;
mod workload;

use std::fmt::Write as _;
use std::path::Path;

use actix_web::rt::System;
use datadriven::TestCase;

use cluster::TestCluster;

/// The error text of a failed directive or check.
type Failure = String;

/// Runs the directives of the scenario file `path` in order.
///
/// # Panics
///
/// A directive fails or its output differs from the expected one.
pub fn run_file(path: &Path) {
    let system = System::new();
    let mut cluster = TestCluster::new();
    let name = path.display().to_string();
    datadriven::walk(&name, |file| {
        file.run(|case| {
            let directive = describe(case);
            let outcome = system.block_on(directives::run(&mut cluster, case));
            outcome.unwrap_or_else(|err| panic!("{name}: {directive}: {err}"))
        });
    });
}

/// The directive with its arguments, for failure messages.
fn describe(case: &TestCase) -> String {
    let mut args: Vec<_> = case.args.iter().collect();
    args.sort();
    let mut text = case.directive.clone();
    for (name, values) in args {
        let _ = write!(text, " {name}={}", values.join(","));
    }
    text
}
