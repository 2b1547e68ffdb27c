//! Binary of the operators' command line.

use std::env;
use std::process::ExitCode;
use std::time::Duration;

use agatepin::client::{ClientConfig, CommandError};
use agatepin::cmd::{
    CommandContext, CommandOutput, OutputFormat, completions, config, data_centre, dump, model,
    status, tls,
};
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command};

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  failure, or the outcome is not known
  2  wrong usage or input
  3  conflict: another operator's change came first
  4  unavailable: nothing changed";

fn main() -> ExitCode {
    let matches = command().get_matches();
    match actix::System::new().block_on(dispatch(&matches)) {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn command() -> Command {
    Command::new("agatepin")
        .about("Operators' client of agatepin")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection_args())
        .args(tls::args())
        .args(output_args())
        .subcommand(config::command())
        .subcommand(data_centre::command())
        .subcommand(model::command())
        .subcommand(status::command())
        .subcommand(dump::command())
        .subcommand(completions::command())
}

fn connection_args() -> [Arg; 3] {
    [
        flag("entry", "ADDRESS").action(ArgAction::Append).help(
            "Entry to ask; may be repeated, tried in order [env: AGATEPIN_ENTRY, comma separated]",
        ),
        flag("token", "TOKEN").help("Operators' token [env: AGATEPIN_TOKEN]"),
        flag("timeout", "TIME")
            .default_value("10s")
            .value_parser(|text: &str| humantime::parse_duration(text))
            .help("Longest wait for each entry"),
    ]
}

fn output_args() -> [Arg; 3] {
    [
        flag("operator", "NAME")
            .help("Name that changes are recorded under [default: $USER, or unnamed]"),
        flag("action-id", "ID")
            .help("Id of the change, which takes effect once [default: a random one]"),
        flag("format", "FORMAT")
            .default_value("table")
            .value_parser(PossibleValuesParser::new(["table", "json"]))
            .help("Form of the output"),
    ]
}

fn flag(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).global(true)
}

async fn dispatch(matches: &ArgMatches) -> CommandOutput {
    let timeout = read_timeout(matches);
    let context = CommandContext {
        config: read_config(matches, timeout)?,
        format: read_format(matches),
    };
    match matches.subcommand() {
        Some(("config", args)) => config::run(&context, args).await,
        Some(("data-centre", args)) => data_centre::run(&context, args).await,
        Some(("model", args)) => model::run(&context, args).await,
        Some(("status", _)) => status::run(&context).await,
        Some(("dump", args)) => dump::run(timeout, args).await,
        Some(("completions", args)) => completions::run(&mut command(), args),
        _ => Err(CommandError::Input("no such command".to_owned())),
    }
}

fn read_config(matches: &ArgMatches, timeout: Duration) -> Result<ClientConfig, CommandError> {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let operator =
        text("operator").or_else(|| env::var("USER").ok().filter(|name| !name.is_empty()));
    let config = ClientConfig::new(read_entries(matches))
        .token(text("token").or_else(|| env::var("AGATEPIN_TOKEN").ok()))
        .tls(tls::read(matches)?)
        .operator(operator.unwrap_or_else(|| "unnamed".to_owned()))
        .action_id(text("action-id"))
        .timeout(timeout);
    Ok(config)
}

/// Addresses of the entries to call: the flag `--entry`, or else the variable `AGATEPIN_ENTRY`.
fn read_entries(matches: &ArgMatches) -> Vec<String> {
    if let Some(entries) = matches.get_many::<String>("entry") {
        return entries.cloned().collect();
    }
    let entries = env::var("AGATEPIN_ENTRY").unwrap_or_default();
    entries
        .split(',')
        .filter(|entry| !entry.is_empty())
        .map(ToOwned::to_owned)
        .collect()
}

fn read_timeout(matches: &ArgMatches) -> Duration {
    let timeout = matches.get_one::<Duration>("timeout");
    timeout.copied().unwrap_or(Duration::from_secs(10))
}

fn read_format(matches: &ArgMatches) -> OutputFormat {
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Table,
    }
}
