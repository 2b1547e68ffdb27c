//! Tests of the daemon runner with a fake daemon: readiness line, signals and exit codes.

use std::ffi::OsString;
use std::future::{Ready, ready};
use std::io::Write;
use std::process::ExitCode;

use agatepin::cmd::daemon::{RunOutcome, command, run, serve};
use agatepin::daemon::{Daemon, ReadyReport};
use agatepin::settings::LinkSettings;
use agatepin::settings::reader::{SectionReader, SettingsFile};
use eyre::{Result, eyre};
use rstest::rstest;
use tokio::sync::mpsc;

/// Settings file with the section `[link]` alone.
struct LinkOnlySettings;

impl SettingsFile for LinkOnlySettings {
    fn read(reader: &mut SectionReader) -> Option<Self> {
        reader.required::<LinkSettings>("link").map(|_| Self)
    }
}

/// A daemon without any function except its shutdown.
struct FakeDaemon {
    /// Whether the graceful shutdown never completes.
    shutdown_hangs: bool,
}

impl Daemon for FakeDaemon {
    fn ready(&self) -> ReadyReport {
        ReadyReport {
            instance: "e1".into(),
            wire: ([127, 0, 0, 1], 4000).into(),
            http: ([127, 0, 0, 1], 4001).into(),
            operator: None,
        }
    }

    async fn leave(&self) {
        if self.shutdown_hangs {
            std::future::pending::<()>().await;
        }
    }
}

fn start(shutdown_hangs: bool) -> Ready<Result<FakeDaemon>> {
    ready(Ok(FakeDaemon { shutdown_hangs }))
}

#[rstest]
#[case::graceful_shutdown(false, 1, RunOutcome::ShutDown)]
#[case::second_signal(true, 2, RunOutcome::Interrupted)]
#[actix::test]
async fn the_first_signal_shuts_down_and_the_second_interrupts(
    #[case] shutdown_hangs: bool,
    #[case] signals: usize,
    #[case] expected: RunOutcome,
) {
    let (sender, receiver) = mpsc::channel(4);
    for _ in 0..signals {
        sender.send(()).await.unwrap();
    }
    let mut out = Vec::new();
    assert_eq!(
        serve(start(shutdown_hangs), &mut out, receiver)
            .await
            .unwrap(),
        expected
    );
    let line: serde_json::Value = serde_json::from_slice(&out).unwrap();
    assert_eq!(line["ready"]["http"], "127.0.0.1:4001");
}

#[actix::test]
async fn a_start_error_is_returned() {
    let (_sender, receiver) = mpsc::channel(4);
    let starting = async { Err::<FakeDaemon, _>(eyre!("cannot listen on 127.0.0.1:80")) };
    let err = serve(starting, &mut Vec::new(), receiver)
        .await
        .unwrap_err();
    assert!(err.to_string().contains("127.0.0.1:80"));
}

#[rstest]
#[case::valid_settings(&["--check"], "[link]\nallow_plain = true", 0)]
#[case::unknown_field(&["--check"], "[link]\nheartbeats = 1", 2)]
#[case::start_fails(&["--log-format", "json"], "[link]\nallow_plain = true", 2)]
fn invalid_settings_and_a_failed_start_exit_with_code_2(
    #[case] flags: &[&str],
    #[case] settings: &str,
    #[case] expected: u8,
) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(settings.as_bytes()).unwrap();
    let mut arguments = vec![OsString::from("fake"), OsString::from("--settings")];
    arguments.push(file.path().into());
    arguments.extend(flags.iter().map(OsString::from));
    let start = |_: LinkOnlySettings| ready(Err::<FakeDaemon, _>(eyre!("cannot listen")));
    let code = run(command("fake", "A fake daemon"), arguments, start);
    assert_eq!(code, ExitCode::from(expected));
}
