//! Checks of the observable state of a scenario.
//!
//! A check is a line `SUBJECT OPERATION VALUE`. The operations are `is`, `at-least`, `at-most` and
//! `contains`. `PATH` in a subject is a list of field names and array indices, separated by dots.
//! The subjects are:
//!
//! - `engine NAME PATH`, `service NAME PATH`, `table PATH`, `origin PATH`: state of a stand-in.
//! - `engines PATH`, `services PATH`: sum of a counter over all stand-ins of the kind.
//! - `executions SERVICE KEY`, `total-executions KEY`: number of executions with an idempotency key
//!   at one service or at all services.
//! - `process NAME running`, `process NAME exit`: whether a daemon runs; its exit code.
//! - `dump NAME PATH`: field of the state dump of a daemon.
//! - `metric NAME SERIES`: value of a metric series of a daemon, 0 where it is absent.
//! - `members PROCESS MEMBER`: health of a member as `PROCESS` knows it.
//! - `advertises ENTRY OTHER`: whether `ENTRY` gives callers the address of `OTHER`.
//! - `chat ENTRY MODEL`: HTTP status of a chat request sent for this check.
//! - `cli ENTRY WORDS`: output of the operators' command line with the arguments `WORDS`.
//! - `workload ID PATH`: counts of a workload, see [`super::workload`].

use serde_json::{Value, json};

use super::Failure;
use super::calls::{self, CallRequest};
use super::cli;
use super::cluster::TestCluster;
use super::workload;

/// Evaluates one check.
///
/// # Errors
///
/// The check does not hold (the error text gives the actual value), the check is malformed, or the
/// value cannot be read.
pub async fn check(cluster: &mut TestCluster, line: &str) -> Result<(), Failure> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let [subject @ .., operation, expected] = words.as_slice() else {
        return Err(format!("check \"{line}\" has no operation and value"));
    };
    let actual = observe(cluster, subject).await?;
    if holds(&actual, operation, expected)? {
        return Ok(());
    }
    Err(format!(
        "check \"{line}\" does not hold: actual value is {actual}"
    ))
}

/// Reads the actual value of `subject`.
async fn observe(cluster: &mut TestCluster, subject: &[&str]) -> Result<Value, Failure> {
    match *subject {
        ["engine", name, path] => {
            let engine = cluster.engines.get(name);
            let engine = engine.ok_or_else(|| format!("engine \"{name}\" does not exist"))?;
            Ok(field(&json!(engine.state()), path))
        }
        ["engines", path] => {
            let engines = cluster.engines.values();
            Ok(sum(engines.map(|engine| json!(engine.state())), path))
        }
        ["services", path] => {
            let services = cluster.services.values();
            Ok(sum(services.map(|service| json!(service.state())), path))
        }
        ["service", name, path] => Ok(field(&service_state(cluster, name)?, path)),
        ["executions", name, key] => {
            let count = service_state(cluster, name)?["executions"][key].as_u64();
            Ok(json!(count.unwrap_or(0)))
        }
        ["total-executions", key] => Ok(json!(total_executions(cluster, key)?)),
        ["table", path] => Ok(field(&json!(cluster.platform()?.table.state()), path)),
        ["origin", path] => Ok(field(&json!(cluster.platform()?.origin.state()), path)),
        ["process", name, "running"] => Ok(json!(cluster.daemon(name)?.exit_code().is_none())),
        ["process", name, "exit"] => Ok(json!(cluster.daemon(name)?.exit_code())),
        ["dump", name, path] => Ok(field(&dump(cluster, name).await?, path)),
        ["metric", name, series] => {
            let url = format!("http://{}/metrics", cluster.daemon(name)?.ready.http);
            Ok(metric(&calls::get_text(url).await?, series))
        }
        ["advertises", entry, other] => advertises(cluster, entry, other).await,
        ["workload", id, path] => Ok(field(&workload::observe(cluster, id)?, path)),
        ["cli", entry, ref words @ ..] => Ok(json!(cli::run(cluster, Some(entry), words).await?)),
        ["members", name, member] => member_health(cluster, name, member).await,
        ["chat", entry, model] => chat_status(cluster, entry, model).await,
        _ => Err(format!("subject \"{}\" does not exist", subject.join(" "))),
    }
}

/// Executions with the idempotency key `key` at all services.
fn total_executions(cluster: &TestCluster, key: &str) -> Result<u64, Failure> {
    let mut total = 0;
    for name in cluster.services.keys() {
        let count = service_state(cluster, name)?["executions"][key].as_u64();
        total += count.unwrap_or(0);
    }
    Ok(total)
}

/// Sum of the counter at `path` over the states of several stand-ins.
fn sum<States>(states: States, path: &str) -> Value
where
    States: Iterator<Item = Value>,
{
    let counts = states.filter_map(|state| field(&state, path).as_u64());
    json!(counts.sum::<u64>())
}

/// The state dump of the daemon `name`.
async fn dump(cluster: &mut TestCluster, name: &str) -> Result<Value, Failure> {
    let url = format!("http://{}/dump", cluster.daemon(name)?.ready.http);
    let text = calls::get_text(url).await?;
    serde_json::from_str(&text).map_err(|err| err.to_string())
}

/// Health of `member` as the process `name` knows it; null for an unknown member.
async fn member_health(
    cluster: &mut TestCluster,
    name: &str,
    member: &str,
) -> Result<Value, Failure> {
    let members = field(&dump(cluster, name).await?, "spread.members");
    let members = members.as_array().cloned().unwrap_or_default();
    let found = members.iter().find(|known| known["instance"] == member);
    Ok(found.map_or(Value::Null, |known| known["health"].clone()))
}

fn service_state(cluster: &TestCluster, name: &str) -> Result<Value, Failure> {
    let service = cluster.services.get(name);
    let service = service.ok_or_else(|| format!("service \"{name}\" does not exist"))?;
    Ok(json!(service.state()))
}

/// Whether `entry` gives callers the address of `other`.
async fn advertises(cluster: &mut TestCluster, entry: &str, other: &str) -> Result<Value, Failure> {
    let address = cluster.daemon(other)?.ready.http.clone();
    let url = format!("http://{}/v1/addresses", cluster.daemon(entry)?.ready.http);
    Ok(json!(calls::get_text(url).await?.contains(&address)))
}

async fn chat_status(cluster: &TestCluster, entry: &str, model: &str) -> Result<Value, Failure> {
    let address = &cluster.entry(Some(entry))?.ready.http;
    let request = CallRequest {
        url: format!("http://{address}/v1/chat/completions"),
        method: "POST".to_owned(),
        customer: Some("probe".to_owned()),
        key: None,
        body: calls::chat_body(model, "probe", false),
    };
    Ok(json!(calls::send(request).await?.status))
}

/// Value at `path`; null where a field is absent.
fn field(state: &Value, path: &str) -> Value {
    let mut value = state;
    for name in path.split('.') {
        value = match name.parse::<usize>() {
            Ok(index) if value.is_array() => &value[index],
            _ => &value[name],
        };
    }
    value.clone()
}

/// Value of `series` in the metrics page `text`; 0 where it is absent.
fn metric(text: &str, series: &str) -> Value {
    for line in text.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        if name == series {
            return json!(value.parse::<f64>().unwrap_or(f64::NAN));
        }
    }
    json!(0.0)
}

/// Whether `operation` (`is`, `contains`, `at-least` or `at-most`) holds for `actual` and
/// `expected`.
///
/// # Errors
///
/// The operation does not exist, or `expected` is not a number where it must be one.
fn holds(actual: &Value, operation: &str, expected: &str) -> Result<bool, Failure> {
    let text = match actual {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let compare = || {
        let expected: f64 = expected
            .parse()
            .map_err(|_| format!("\"{expected}\" is not a number"))?;
        Ok::<_, Failure>((actual.as_f64().unwrap_or(f64::NAN), expected))
    };
    match operation {
        "is" if actual.is_f64() => {
            compare().map(|(actual, expected)| (actual - expected).abs() < 1e-9)
        }
        "is" => Ok(text == expected),
        "contains" => Ok(text.contains(expected)),
        "at-least" => compare().map(|(actual, expected)| actual >= expected),
        "at-most" => compare().map(|(actual, expected)| actual <= expected),
        other => Err(format!("operation \"{other}\" does not exist")),
    }
}
