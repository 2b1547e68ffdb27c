//! `agatepin data-centre`: takes a data centre out of service or brings it back.

use clap::{Arg, ArgMatches, Command};

use super::{CommandContext, CommandOutput, describe_change, text_arg};
use crate::client::EntryClient;
use crate::rpc;

/// Definition of the subcommand for clap.
#[must_use]
pub fn command() -> Command {
    let name = Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("Name of the data centre");
    Command::new("data-centre")
        .about("Take a data centre out of service or bring it back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("out")
                .about("Take a data centre out of service")
                .after_help("Example: agatepin data-centre out boston-a")
                .arg(name.clone()),
        )
        .subcommand(
            Command::new("in")
                .about("Bring a data centre back into service")
                .after_help("Example: agatepin data-centre in boston-a")
                .arg(name),
        )
}

/// Executes the subcommand and returns its output.
///
/// # Errors
/// See [`crate::client::CommandError`].
pub async fn run(context: &CommandContext, matches: &ArgMatches) -> CommandOutput {
    let Some((subcommand, args)) = matches.subcommand() else {
        return Ok(String::new());
    };
    let request = rpc::SetDataCentreRequest {
        action_id: context.config.get_action_id(),
        operator: context.config.get_operator(),
        name: text_arg(args, "name"),
        out: subcommand == "out",
    };
    let call = async |mut client: EntryClient| client.set_data_centre(request.clone()).await;
    Ok(describe_change(context, context.config.call(call).await?))
}
