//! The run of a daemon, shown with a small fake one.

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

struct LinkFile;

impl SettingsFile for LinkFile {
    fn read(reader: &mut SectionReader) -> Option<Self> {
        reader.required::<LinkSettings>("link").map(|_| Self)
    }
}

struct FakeDaemon {
    stuck: bool,
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
        if self.stuck {
            std::future::pending::<()>().await;
        }
    }
}

fn start(stuck: bool) -> Ready<Result<FakeDaemon>> {
    ready(Ok(FakeDaemon { stuck }))
}

#[rstest]
#[case::leaves(false, 1, RunOutcome::ShutDown)]
#[case::second_signal(true, 2, RunOutcome::Interrupted)]
#[actix::test]
async fn a_signal_ends_the_run(
    #[case] stuck: bool,
    #[case] signals: usize,
    #[case] end: RunOutcome,
) {
    let (sender, receiver) = mpsc::channel(4);
    for _ in 0..signals {
        sender.send(()).await.unwrap();
    }
    let mut out = Vec::new();
    assert_eq!(serve(start(stuck), &mut out, receiver).await.unwrap(), end);
    let line: serde_json::Value = serde_json::from_slice(&out).unwrap();
    assert_eq!(line["ready"]["http"], "127.0.0.1:4001");
}

#[actix::test]
async fn a_failed_start_is_reported() {
    let (_sender, receiver) = mpsc::channel(4);
    let starting = async { Err::<FakeDaemon, _>(eyre!("cannot listen on 127.0.0.1:80")) };
    let err = serve(starting, &mut Vec::new(), receiver)
        .await
        .unwrap_err();
    assert!(err.to_string().contains("127.0.0.1:80"));
}

#[rstest]
#[case::correct(&["--check"], "[link]\nallow_plain = true", 0)]
#[case::wrong(&["--check"], "[link]\nheartbeats = 1", 2)]
#[case::start_fails(&["--log-format", "json"], "[link]\nallow_plain = true", 2)]
fn the_exit_code_tells_what_happened(
    #[case] flags: &[&str],
    #[case] settings: &str,
    #[case] expected: u8,
) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(settings.as_bytes()).unwrap();
    let mut words = vec![OsString::from("fake"), OsString::from("--settings")];
    words.push(file.path().into());
    words.extend(flags.iter().map(OsString::from));
    let start = |_: LinkFile| ready(Err::<FakeDaemon, _>(eyre!("cannot listen")));
    let code = run(command("fake", "A fake daemon"), words, start);
    assert_eq!(code, ExitCode::from(expected));
}
