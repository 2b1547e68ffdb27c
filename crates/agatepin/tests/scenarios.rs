//! Runs the scenario files, one test a file, in the language that `harness::directives` describes.

mod harness;

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use actix_web::rt::time::timeout;
use agatepin_standins::ServiceStandin;
use agatepin_standins::service::ServiceOptions;
use rstest::rstest;
use rustix::process::Signal;

use harness::calls;
use harness::network::{LinkRelay, RelayMode};
use harness::process::DaemonProcess;

/// A call without an answer after this time counts as not answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit from the signal to the exit of the child.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    harness::run_file(&path);
}

#[rstest]
#[case::pass(RelayMode::Pass, Some(true))]
#[case::blackhole(RelayMode::Blackhole, None)]
#[case::blackhole_open(RelayMode::BlackholeOpen, Some(true))]
#[case::cut(RelayMode::Cut, Some(false))]
#[actix_web::test]
async fn relay_mode_decides_whether_calls_are_answered(
    #[case] mode: RelayMode,
    #[case] answered: Option<bool>,
) {
    let service = ServiceStandin::start(ServiceOptions::default())
        .await
        .unwrap();
    let relay = LinkRelay::start(service.address(), RelayMode::Pass)
        .await
        .unwrap();
    let url = format!("http://{}/x", relay.address);
    relay.set(mode);
    let result = timeout(ANSWER_TIMEOUT, calls::get_text(url.clone())).await;
    assert_eq!(result.ok().map(|answer| answer.is_ok()), answered);
    relay.set(RelayMode::Pass);
    assert!(calls::get_text(url).await.is_ok());
}

#[test]
fn child_is_started_and_terminated() {
    let work = tempfile::TempDir::new().unwrap();
    let program = work.path().join("daemon");
    let ready = r#"{"ready":{"instance":"e1","wire":"127.0.0.1:1","http":"127.0.0.1:2"}}"#;
    fs::write(
        &program,
        format!("#!/bin/sh\necho '{ready}'\nexec sleep 60\n"),
    )
    .unwrap();
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
    let settings = work.path().join("e1.toml");
    let mut daemon = DaemonProcess::start(program.to_str().unwrap(), &settings).unwrap();
    assert_eq!(daemon.ready.http, "127.0.0.1:2");
    assert_eq!(daemon.exit_code(), None);
    daemon.signal(Signal::TERM).unwrap();
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while daemon.exit_code().is_none() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(daemon.exit_code(), Some(-1));
}
