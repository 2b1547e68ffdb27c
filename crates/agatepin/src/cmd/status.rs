//! `agatepin status`: shows data centres, processes and how many calls one entry refused.

use clap::Command;
use serde_json::{Value, json};

use super::{CommandContext, CommandOutput, OutputFormat, format_table};
use crate::client::EntryClient;
use crate::rpc;

/// Definition of the subcommand for clap.
#[must_use]
pub fn command() -> Command {
    Command::new("status")
        .about("Show data centres, upstreams, versions and refusals")
        .after_help("Example: agatepin status --format json")
}

/// Executes the subcommand and returns its output.
///
/// # Errors
/// See [`crate::client::CommandError`].
pub async fn run(context: &CommandContext) -> CommandOutput {
    let call = async |mut client: EntryClient| client.status(rpc::StatusRequest {}).await;
    let reply = context.config.call(call).await?;
    if context.format == OutputFormat::Json {
        return Ok(to_json(&reply).to_string());
    }
    Ok(to_text(&reply))
}

fn to_text(reply: &rpc::StatusReply) -> String {
    let in_force = reply
        .processes
        .iter()
        .filter(|process| process.config_revision == reply.revision)
        .count();
    let summary = format!(
        "revision {}, in force in {in_force} of {} processes",
        reply.revision,
        reply.processes.len()
    );
    let centres = reply.data_centres.iter().map(|centre| {
        let state = if centre.out { "out" } else { "in service" };
        [centre.name.clone(), centre.region.clone(), state.to_owned()]
    });
    let header = [
        "INSTANCE",
        "ROLE",
        "DATA CENTRE",
        "REVISION",
        "UPSTREAM",
        "VERSION",
        "STATE",
        "IN FLIGHT",
    ];
    let processes = reply.processes.iter().map(process_row);
    let refusals = reply.refusals.iter().map(|refusal| {
        [
            refusal.reason.clone(),
            refusal.customer.clone(),
            refusal.count.to_string(),
        ]
    });
    let refusals = if reply.refusals.is_empty() {
        "no refusals at this entry".to_owned()
    } else {
        format_table(["REFUSAL", "CUSTOMER", "COUNT"], refusals.collect())
    };
    let parts = [
        summary,
        format_table(["DATA CENTRE", "REGION", "STATE"], centres.collect()),
        format_table(header, processes.collect()),
        refusals,
    ];
    parts.join("\n\n")
}

fn process_row(process: &rpc::ProcessStatus) -> [String; 8] {
    let mut version = String::new();
    if !process.model.is_empty() {
        version = format!("{}/{}", process.model, process.version);
    }
    let mut load = String::new();
    if !process.upstream.is_empty() {
        load = format!("{}/{}", process.in_flight, process.limit);
    }
    [
        process.instance.clone(),
        process.role.clone(),
        process.data_centre.clone(),
        process.config_revision.to_string(),
        process.upstream.clone(),
        version,
        describe_state(process),
        load,
    ]
}

/// Text of the column `STATE`: state of the upstream's gate (admission control), cold or warm,
/// whether the process is leaving, its liveness, and the number of chunks while some are missing.
/// The liveness `leaving` is never repeated; `alive` is shown only if no other word is.
fn describe_state(process: &rpc::ProcessStatus) -> String {
    let warmth = if process.cold { "cold" } else { "warm" };
    let mut words = vec![process.state.as_str()];
    if !process.upstream.is_empty() {
        words.push(warmth);
    }
    if process.leaving {
        words.push("leaving");
    }
    let liveness = process.liveness.as_str();
    if liveness != "leaving" && (words == [""] || liveness != "alive") {
        words.push(liveness);
    }
    words.retain(|word| !word.is_empty());
    let mut text = words.join(", ");
    if process.chunks_held < process.chunks_wanted {
        let chunks = format!(
            ", {} of {} chunks",
            process.chunks_held, process.chunks_wanted
        );
        text.push_str(&chunks);
    }
    text
}

fn to_json(reply: &rpc::StatusReply) -> Value {
    let centres: Vec<Value> = reply
        .data_centres
        .iter()
        .map(|centre| json!({ "name": centre.name, "region": centre.region, "out": centre.out }))
        .collect();
    let processes: Vec<Value> = reply
        .processes
        .iter()
        .map(|process| {
            json!({
                "instance": process.instance,
                "role": process.role,
                "data_centre": process.data_centre,
                "revision": process.config_revision,
                "upstream": process.upstream,
                "state": process.state,
                "model": process.model,
                "version": process.version,
                "cold": process.cold,
                "leaving": process.leaving,
                "in_flight": process.in_flight,
                "limit": process.limit,
                "liveness": process.liveness,
            })
        })
        .collect();
    let refusals: Vec<Value> = reply
        .refusals
        .iter()
        .map(|refusal| {
            json!({
                "reason": refusal.reason,
                "customer": refusal.customer,
                "count": refusal.count,
            })
        })
        .collect();
    json!({
        "revision": reply.revision,
        "data_centres": centres,
        "processes": processes,
        "refusals": refusals,
    })
}
