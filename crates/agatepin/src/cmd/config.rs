//! `agatepin config`: shows and replaces the configuration, and lists its changes.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::{Value, json};

use super::{CommandContext, CommandOutput, OutputFormat, describe_change, format_table};
use crate::client::{CommandError, EntryClient};
use crate::document::{self, ConfigDocument};
use crate::rpc;

/// Definition of the subcommand for clap.
#[must_use]
pub fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Document in TOML");
    let expected = Arg::new("expected-revision")
        .long("expected-revision")
        .value_name("REVISION")
        .default_value("0")
        .value_parser(value_parser!(u64))
        .help("Revision that was edited; 0 applies to whichever is current");
    Command::new("config")
        .about("Show or replace the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("apply")
                .about("Replace all that is declared by a document")
                .after_help("Example: agatepin config apply cluster.toml --expected-revision 7")
                .arg(file)
                .arg(expected),
        )
        .subcommand(
            Command::new("show")
                .about("Print the configuration as a document")
                .after_help("Example: agatepin config show > cluster.toml"),
        )
        .subcommand(
            Command::new("status")
                .about("Print the revision in force in each process")
                .after_help("Example: agatepin config status"),
        )
        .subcommand(
            Command::new("history")
                .about("Print the latest changes, oldest first")
                .after_help("Example: agatepin config history --format json"),
        )
}

/// Executes the subcommand and returns its output.
///
/// # Errors
/// See [`CommandError`].
pub async fn run(context: &CommandContext, matches: &ArgMatches) -> CommandOutput {
    match matches.subcommand() {
        Some(("apply", args)) => apply(context, args).await,
        Some(("status", _)) => status(context).await,
        Some(("history", _)) => history(context).await,
        _ => show(context).await,
    }
}

async fn apply(context: &CommandContext, args: &ArgMatches) -> CommandOutput {
    let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let text = std::fs::read_to_string(&path)
        .map_err(|err| CommandError::Input(format!("document \"{}\": {err}", path.display())))?;
    let config = document::parse(&text).map_err(|errors| {
        let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
        CommandError::Input(format!(
            "document \"{}\":\n{}",
            path.display(),
            lines.join("\n")
        ))
    })?;
    let request = rpc::ApplyRequest {
        action_id: context.config.get_action_id(),
        operator: context.config.get_operator(),
        config: Some(config),
        expected_revision: args.get_one("expected-revision").copied().unwrap_or(0),
    };
    let call = async |mut client: EntryClient| client.apply(request.clone()).await;
    Ok(describe_change(context, context.config.call(call).await?))
}

async fn show(context: &CommandContext) -> CommandOutput {
    let call = async |mut client: EntryClient| client.show(rpc::ShowRequest {}).await;
    let config = context.config.call(call).await?.config.unwrap_or_default();
    let revision = config.revision;
    let document = ConfigDocument::from(config);
    if context.format == OutputFormat::Json {
        return Ok(json!({ "revision": revision, "document": document }).to_string());
    }
    let text = toml::to_string(&document)
        .map_err(|err| CommandError::Failure(format!("cannot print the document: {err}")))?;
    Ok(format!("# revision {revision}\n{}", text.trim_end()))
}

async fn status(context: &CommandContext) -> CommandOutput {
    let call = async |mut client: EntryClient| client.status(rpc::StatusRequest {}).await;
    let reply = context.config.call(call).await?;
    if context.format == OutputFormat::Json {
        let processes: Vec<Value> = reply
            .processes
            .iter()
            .map(|process| json!({ "instance": process.instance, "revision": process.config_revision }))
            .collect();
        return Ok(json!({ "revision": reply.revision, "processes": processes }).to_string());
    }
    let rows = reply
        .processes
        .into_iter()
        .map(|process| {
            let in_force = process.config_revision == reply.revision;
            [
                process.instance,
                process.config_revision.to_string(),
                if in_force { "in force" } else { "behind" }.to_owned(),
            ]
        })
        .collect();
    let table = format_table(["INSTANCE", "REVISION", "STATE"], rows);
    Ok(format!("revision {}\n{table}", reply.revision))
}

async fn history(context: &CommandContext) -> CommandOutput {
    let call = async |mut client: EntryClient| client.history(rpc::HistoryRequest {}).await;
    let changes = context.config.call(call).await?.changes;
    if context.format == OutputFormat::Json {
        let values: Vec<Value> = changes
            .iter()
            .map(|record| {
                json!({
                    "revision": record.revision,
                    "action_id": record.action_id,
                    "operator": record.operator,
                    "summary": record.summary,
                    "unix_millis": record.unix_millis,
                })
            })
            .collect();
        return Ok(Value::from(values).to_string());
    }
    let rows = changes
        .into_iter()
        .map(|record| {
            [
                record.revision.to_string(),
                record.operator,
                record.summary,
                record.action_id,
            ]
        })
        .collect();
    Ok(format_table(
        ["REVISION", "OPERATOR", "CHANGE", "ACTION"],
        rows,
    ))
}
