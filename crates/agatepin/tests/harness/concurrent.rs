//! Directives that run several commands or calls at the same time.
//!
//! - `document name=`: writes the lines below to a configuration file; `@NAME` in arguments stands
//!   for its path.
//! - `cli-concurrent`: runs the lines `ENTRY ARGUMENTS` below at the same time. Prints exit code
//!   and output of each, sorted, with `ENTRY` for addresses and `ACTION` for the action ids given.
//! - `burst entry= service= calls= [at=]`: sends idempotent calls at the same time. Prints how many
//!   were answered with 200 and how many calls the service stand-in `at` received meanwhile; any
//!   other status is an error.

use std::process::Command;

use actix_web::rt;
use datadriven::TestCase;
use serde_json::json;

use super::Failure;
use super::calls::{self, CallRequest};
use super::cluster::TestCluster;

/// Writes a configuration document to the file that `@NAME` in arguments stands for.
pub fn write_document(cluster: &TestCluster, name: &str, text: &str) -> Result<(), Failure> {
    let path = cluster.work_dir().join(format!("{name}.toml"));
    std::fs::write(path, text).map_err(|err| err.to_string())
}

/// Runs all lines of `case` at the same time; returns their outputs, sorted.
pub async fn run_all(cluster: &TestCluster, case: &TestCase) -> Result<String, Failure> {
    let mut running = Vec::new();
    let mut masks = Vec::new();
    for line in case.input.lines() {
        let command = prepare(cluster, line, &mut masks)?;
        running.push(rt::task::spawn_blocking(move || run_one(command)));
    }
    let mut printed = Vec::new();
    for command in running {
        let text = command.await.map_err(|err| err.to_string())??;
        printed.push(mask(text, &masks));
    }
    printed.sort();
    Ok(printed.concat())
}

/// A text that differs in each run, and what replaces it in the output.
type TextMask = (String, &'static str);

/// Builds the command of one line and adds the texts to mask in its output.
fn prepare(
    cluster: &TestCluster,
    line: &str,
    masks: &mut Vec<TextMask>,
) -> Result<Command, Failure> {
    let (entry, words) = line
        .split_once(' ')
        .ok_or_else(|| format!("\"{line}\" is not ENTRY ARGUMENTS"))?;
    let address = cluster.entry(Some(entry))?.ready.operator.clone();
    let address = address.ok_or("the entry has no operator address")?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    masks.push((address.clone(), "ENTRY"));
    let mut words = words.split_whitespace().peekable();
    while let Some(word) = words.next() {
        if let Some(name) = word.strip_prefix('@') {
            command.arg(cluster.work_dir().join(format!("{name}.toml")));
            continue;
        }
        command.arg(word);
        if let ("--action-id", Some(id)) = (word, words.peek()) {
            masks.push(((*id).to_owned(), "ACTION"));
        }
    }
    command.arg("--entry").arg(address);
    Ok(command)
}

/// Runs `command`; returns its exit code and output.
fn run_one(mut command: Command) -> Result<String, Failure> {
    let output = command.output().map_err(|err| err.to_string())?;
    let mut text = format!("exit {}: ", output.status.code().unwrap_or(-1));
    text.push_str(&String::from_utf8_lossy(&output.stdout));
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok(text)
}

fn mask(text: String, masks: &[TextMask]) -> String {
    masks
        .iter()
        .fold(text, |text, (value, mask)| text.replace(value, mask))
}

/// Sends `count` idempotent calls at the same time; returns a line with the number of calls
/// answered and, where `at` names a service stand-in, the number of calls that it received.
///
/// # Errors
///
/// A call fails or is answered with another status than 200.
pub async fn burst(
    cluster: &TestCluster,
    entry: &str,
    service: &str,
    count: u32,
    at: Option<&str>,
) -> Result<String, Failure> {
    let before = received(cluster, at)?;
    let address = &cluster.entry(Some(entry))?.ready.http;
    let mut running = Vec::new();
    for number in 0..count {
        let request = CallRequest {
            url: format!("http://{address}/v1/services/{service}/item-{number}"),
            method: "GET".to_owned(),
            customer: Some("probe".to_owned()),
            ..CallRequest::default()
        };
        running.push(rt::spawn(calls::send(request)));
    }
    let mut answered = 0;
    for call in running {
        let answer = call.await.map_err(|err| err.to_string())??;
        if answer.status == 200 {
            answered += 1;
            continue;
        }
        return Err(format!("a call of the burst was answered with {answer}"));
    }
    let Some(at) = at else {
        return Ok(format!("{answered} answered\n"));
    };
    let arrived = received(cluster, Some(at))? - before;
    Ok(format!("{answered} answered, {arrived} at {at}\n"))
}

/// Calls that the service `at` has received so far; 0 where no service is given.
fn received(cluster: &TestCluster, at: Option<&str>) -> Result<u64, Failure> {
    let Some(name) = at else {
        return Ok(0);
    };
    let service = cluster.services.get(name);
    let service = service.ok_or_else(|| format!("service \"{name}\" does not exist"))?;
    Ok(json!(service.state())["calls"].as_u64().unwrap_or(0))
}
