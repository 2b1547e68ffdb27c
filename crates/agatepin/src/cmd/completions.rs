//! `agatepin completions`: prints a shell completion script.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use super::CommandOutput;

/// Definition of the subcommand for clap.
#[must_use]
pub fn command() -> Command {
    Command::new("completions")
        .about("Print a completion script")
        .after_help("Example: agatepin completions bash > agatepin.bash")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell that the script is for"),
        )
}

/// Generates the completion script; `root` is the definition of the whole command line.
///
/// # Errors
/// Never fails.
pub fn run(root: &mut Command, matches: &ArgMatches) -> CommandOutput {
    let shell = matches.get_one("shell").copied().unwrap_or(Shell::Bash);
    let mut script = Vec::new();
    clap_complete::generate(shell, root, "agatepin", &mut script);
    Ok(String::from_utf8_lossy(&script).into_owned())
}
