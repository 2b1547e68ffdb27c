//! Main function of the daemons: reads the settings, starts the daemon, waits for a signal and
//! shuts the daemon down.
//!
//! Exit codes: 0 after a graceful shutdown, 1 if a second signal interrupted it, 2 if the settings
//! are invalid or the daemon cannot start.

use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use log::LevelFilter;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::daemon::Daemon;
use crate::logs::{self, LogFormat};
use crate::settings::{self, reader::SettingsFile};

/// Maximum number of received signals that are queued.
const SIGNAL_QUEUE_CAPACITY: usize = 4;
/// Exit code if a second signal interrupted the graceful shutdown.
const EXIT_INTERRUPTED: u8 = 1;
/// Exit code if the settings are invalid or the daemon cannot start.
const EXIT_START_FAILED: u8 = 2;

agatepin_core::value_type! {
    /// Parsed command line of a daemon.
    pub struct DaemonArgs {
        /// Path of the settings file.
        pub settings: PathBuf,
        /// Whether to check the settings and exit.
        pub check: bool,
        /// Format of the log lines.
        pub log_format: LogFormat,
        /// Least severe level that is logged.
        pub log_level: LevelFilter,
    }

    /// How the run of a daemon ended.
    #[derive(Copy)]
    pub enum RunOutcome {
        /// The graceful shutdown was completed.
        ShutDown,
        /// A second signal interrupted the graceful shutdown.
        Interrupted,
    }
}

impl From<&ArgMatches> for DaemonArgs {
    fn from(matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
        let settings = matches.get_one::<PathBuf>("settings").cloned();
        let log_format = match text("log-format").as_str() {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        };
        Self {
            settings: settings.unwrap_or_default(),
            check: matches.get_flag("check"),
            log_format,
            log_level: text("log-level").parse().unwrap_or(LevelFilter::Info),
        }
    }
}

/// Definition of the command line of the daemon `name` for clap.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Exit codes: 0 after a graceful shutdown, 1 where a second signal cut it short, \
             2 where the settings are wrong or the daemon cannot start.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file in TOML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_name("FORMAT")
                .default_value("text")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .help("Form of the log lines on standard error"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .default_value("info")
                .value_parser(PossibleValuesParser::new([
                    "off", "error", "warn", "info", "debug", "trace",
                ]))
                .help("Least severe level that is logged"),
        )
}

/// Runs a daemon with the command line `arguments`, the first of which is the name of the binary,
/// and returns the exit code of the process.
pub fn run<Settings, Process, Start, Starting, Arguments>(
    command: Command,
    arguments: Arguments,
    start: Start,
) -> ExitCode
where
    Settings: SettingsFile,
    Process: Daemon,
    Start: FnOnce(Settings) -> Starting,
    Starting: Future<Output = Result<Process>>,
    Arguments: IntoIterator<Item = OsString>,
{
    let args = DaemonArgs::from(&command.get_matches_from(arguments));
    let settings = match settings::load::<Settings>(&args.settings) {
        Ok(settings) => settings,
        Err(err) => return fail(&err),
    };
    if args.check {
        println!("settings are correct");
        return ExitCode::SUCCESS;
    }
    if let Err(err) = logs::start(args.log_format, args.log_level) {
        return fail(&err);
    }
    let outcome = actix::System::new().block_on(async {
        let signals = watch_signals()?;
        serve(start(settings), &mut std::io::stdout(), signals).await
    });
    match outcome {
        Ok(RunOutcome::ShutDown) => ExitCode::SUCCESS,
        Ok(RunOutcome::Interrupted) => ExitCode::from(EXIT_INTERRUPTED),
        Err(err) => fail(&err),
    }
}

/// Waits until `starting` has started a daemon, writes its addresses to `wtr` as one line of JSON,
/// and shuts it down gracefully at the first signal, which is a message in `signals`.
/// A second signal ends the run at once.
///
/// # Errors
/// The daemon cannot start, or the line cannot be written.
pub async fn serve<Process, Starting, Wtr>(
    starting: Starting,
    wtr: &mut Wtr,
    mut signals: mpsc::Receiver<()>,
) -> Result<RunOutcome>
where
    Process: Daemon,
    Starting: Future<Output = Result<Process>>,
    Wtr: Write,
{
    let process = starting.await?;
    writeln!(wtr, "{}", json!({ "ready": process.ready() }))?;
    wtr.flush()?;
    signals.recv().await;
    log::info!("graceful shutdown begins");
    tokio::select! {
        () = process.leave() => Ok(RunOutcome::ShutDown),
        Some(()) = signals.recv() => Ok(RunOutcome::Interrupted),
    }
}

/// Returns a queue that receives a message for each SIGTERM or SIGINT.
fn watch_signals() -> Result<mpsc::Receiver<()>> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot watch SIGINT")?;
    let (sender, receiver) = mpsc::channel(SIGNAL_QUEUE_CAPACITY);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if sender.send(()).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn fail(err: &eyre::Report) -> ExitCode {
    eprintln!("error: {err:#}");
    ExitCode::from(EXIT_START_FAILED)
}
