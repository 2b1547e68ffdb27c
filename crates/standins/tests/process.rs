//! Tests of the program `agatepin-standin`.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use rstest::rstest;

/// Kills the process when dropped, also if the test panics.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

#[rstest]
#[case(&["table"])]
#[case(&["instances", "--lag-ms", "5"])]
#[case(&["origin", "--bytes-per-second", "1000"])]
#[case(&["engine", "--ignore-fences", "--cold-limit", "3"])]
#[case(&["service", "--delay-ms", "5"])]
#[actix_web::test]
async fn ready_line_contains_the_url(#[case] args: &[&str]) {
    let child = Command::new(env!("CARGO_BIN_EXE_agatepin-standin"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut child = ChildGuard(child);
    let mut line = String::new();
    let stdout = child.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let url = line.trim_end().strip_prefix("ready ").unwrap();
    let request = awc::Client::default().get(format!("{url}/control/state"));
    assert_eq!(request.send().await.unwrap().status(), 200);
}
