//! Subcommands of `agatepin`, one module each, and the main function of the daemons.

use agatepin_core::key_type;
use clap::ArgMatches;

use crate::client::{ClientConfig, CommandError};

pub mod completions;
pub mod config;
pub mod daemon;
pub mod data_centre;
pub mod dump;
pub mod model;
pub mod status;
pub mod tls;

/// Result of a command: the text to print on standard output.
pub type CommandOutput = Result<String, CommandError>;

key_type! {
    /// Format of the output.
    pub enum OutputFormat {
        /// Aligned columns and plain text.
        Table,
        /// One JSON value.
        Json,
    }
}

/// Options that all commands share.
#[derive(Clone, Debug)]
pub struct CommandContext {
    /// Addresses of the entries to call, and the options of these calls.
    pub config: ClientConfig,
    /// Format of the output.
    pub format: OutputFormat,
}

/// Formats a table with `header` and `rows`; an empty cell shows a dash.
fn format_table<const COLUMNS: usize>(
    header: [&str; COLUMNS],
    mut rows: Vec<[String; COLUMNS]>,
) -> String {
    for cell in rows.iter_mut().flatten() {
        if cell.is_empty() {
            cell.push('-');
        }
    }
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(header);
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// Value of the argument `name`, which is required or has a default.
fn text_arg(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Describes a committed change: its revision, and the action id with which it can be repeated.
fn describe_change(context: &CommandContext, reply: crate::rpc::ChangeReply) -> String {
    let action_id = context.config.get_action_id();
    if context.format == OutputFormat::Json {
        let value = serde_json::json!({
            "revision": reply.revision,
            "repeated": reply.repeated,
            "action_id": action_id,
        });
        return value.to_string();
    }
    let note = if reply.repeated {
        " (committed before)"
    } else {
        ""
    };
    format!("revision {}, action {action_id}{note}", reply.revision)
}
