//! `agatepin model`: deploys a version of a model and shows how many replicas serve it.

use std::io::IsTerminal;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use tonic::Streaming;

use super::{CommandContext, CommandOutput, OutputFormat, describe_change, text_arg};
use crate::client::{CommandError, EntryClient};
use crate::rpc;

/// Definition of the subcommand for clap.
#[must_use]
pub fn command() -> Command {
    let name = Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("Name of the model");
    let watch = Arg::new("watch")
        .long("watch")
        .action(ArgAction::SetTrue)
        .help("Follow until all replicas serve");
    let version = Arg::new("version")
        .long("version")
        .value_name("V")
        .required(true)
        .help("Version to serve");
    let replicas = Arg::new("replicas")
        .long("replicas")
        .value_name("N")
        .default_value("0")
        .value_parser(value_parser!(u32))
        .help("Number of replicas; 0 keeps the declared number");
    Command::new("model")
        .about("Deploy a model or show its replicas")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("deploy")
                .about("Set the version of a model")
                .after_help("Example: agatepin model deploy press --version v2 --watch")
                .arg(name.clone())
                .arg(version)
                .arg(replicas)
                .arg(watch.clone()),
        )
        .subcommand(
            Command::new("status")
                .about("Show the replicas of a model")
                .after_help("Example: agatepin model status press")
                .arg(name)
                .arg(watch),
        )
}

/// Executes the subcommand and returns its output.
///
/// # Errors
/// See [`CommandError`].
pub async fn run(context: &CommandContext, matches: &ArgMatches) -> CommandOutput {
    let Some((subcommand, args)) = matches.subcommand() else {
        return Ok(String::new());
    };
    let watch = args.get_flag("watch");
    if subcommand == "status" {
        return follow_model(context, &text_arg(args, "name"), None, watch).await;
    }
    let request = rpc::DeployModelRequest {
        action_id: context.config.get_action_id(),
        operator: context.config.get_operator(),
        model: text_arg(args, "name"),
        version: text_arg(args, "version"),
        replicas: args.get_one("replicas").copied().unwrap_or(0),
    };
    let call = async |mut client: EntryClient| client.deploy_model(request.clone()).await;
    let line = describe_change(context, context.config.call(call).await?);
    if !watch {
        return Ok(line);
    }
    println!("{line}");
    follow_model(context, &request.model, Some(&request.version), true).await
}

/// Reads the model's state. With `watch`, prints each state until all replicas serve `version`
/// (`None`: the version that the configuration declares); otherwise reads one state.
async fn follow_model(
    context: &CommandContext,
    model: &str,
    version: Option<&str>,
    watch: bool,
) -> CommandOutput {
    let request = rpc::WatchModelRequest {
        model: model.to_owned(),
    };
    let call = async |mut client: EntryClient| client.watch_model(request.clone()).await;
    let mut states = context.config.call(call).await?;
    let bar = watch.then(progress_bar).flatten();
    loop {
        let state = next_state(&mut states).await?;
        let version_matches = version.is_none_or(|version| version == state.version);
        if !watch || (version_matches && state.serving >= state.wanted) {
            return Ok(format_state(context, &state));
        }
        match &bar {
            Some(bar) => {
                bar.set_length(u64::from(state.wanted));
                bar.set_position(u64::from(state.serving));
                bar.set_message(format!("{}/{}", state.model, state.version));
            }
            None => println!("{}", format_state(context, &state)),
        }
    }
}

async fn next_state(
    states: &mut Streaming<rpc::ModelStatus>,
) -> Result<rpc::ModelStatus, CommandError> {
    let stream_ended = || CommandError::Failure("the entry stopped reporting".to_owned());
    states.message().await?.ok_or_else(stream_ended)
}

fn progress_bar() -> Option<ProgressBar> {
    if !std::io::stderr().is_terminal() {
        return None;
    }
    let style = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} replicas").ok()?;
    Some(ProgressBar::new(0).with_style(style))
}

fn format_state(context: &CommandContext, state: &rpc::ModelStatus) -> String {
    if context.format == OutputFormat::Json {
        let value = json!({
            "model": state.model,
            "version": state.version,
            "wanted": state.wanted,
            "serving": state.serving,
            "chunks_held": state.chunks_held,
            "chunks_wanted": state.chunks_wanted,
        });
        return value.to_string();
    }
    format!(
        "model \"{}\" version \"{}\": {} of {} replicas serve, {} of {} chunks held",
        state.model,
        state.version,
        state.serving,
        state.wanted,
        state.chunks_held,
        state.chunks_wanted
    )
}
