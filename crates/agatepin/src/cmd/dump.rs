//! `agatepin dump`: prints the internal state of one process, from its `/dump` endpoint.

use std::time::Duration;

use awc::http::StatusCode;
use clap::{Arg, ArgMatches, Command};

use super::{CommandOutput, text_arg};
use crate::client::CommandError;

/// Maximum size of the response, in bytes.
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

/// Definition of the subcommand for clap.
#[must_use]
pub fn command() -> Command {
    Command::new("dump")
        .about("Print the state of one process as JSON")
        .after_help(
            "The process may ask for its http.admin_token, which --token or AGATEPIN_ADMIN_TOKEN \
             gives.\n\nExample: agatepin dump 127.0.0.1:4001",
        )
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .required(true)
                .help("HTTP address of the process"),
        )
}

/// Executes the subcommand and returns its output. `timeout` limits the wait for the response.
///
/// # Errors
/// The process does not respond or rejects the token.
pub async fn run(timeout: Duration, matches: &ArgMatches) -> CommandOutput {
    let address = text_arg(matches, "address");
    let unavailable =
        |message: String| CommandError::Unavailable(format!("process {address}: {message}"));
    let client = awc::Client::builder().timeout(timeout).finish();
    let mut request = client.get(format!("http://{address}/dump"));
    // AGATEPIN_TOKEN is for the operator RPC service of the entries and must not be sent to another
    // process.
    let token = matches.get_one::<String>("token").cloned();
    if let Some(token) = token.or_else(|| std::env::var("AGATEPIN_ADMIN_TOKEN").ok()) {
        request = request.bearer_auth(token);
    }
    let mut response = request
        .send()
        .await
        .map_err(|err| unavailable(err.to_string()))?;
    if response.status() == StatusCode::UNAUTHORIZED {
        let message = format!("process {address}: the token is missing or wrong: use --token");
        return Err(CommandError::Input(message));
    }
    if !response.status().is_success() {
        return Err(unavailable(response.status().to_string()));
    }
    let body = response
        .body()
        .limit(MAX_DUMP_BYTES)
        .await
        .map_err(|err| unavailable(err.to_string()))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
