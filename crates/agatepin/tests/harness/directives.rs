//! The directives of scenario files.
//!
//! `name=` is the name of a process, a stand-in or an upstream; `[...]` are optional arguments.
//!
//! Stand-ins:
//!
//! - `platform`: starts the table service and the weight origin.
//! - `table mode=up|down|slow|lose-answers [delay_ms= count= drop=]`: sets how the table answers.
//! - `reset-table-counters`: sets the counters of the table to zero.
//! - `origin model= version= bytes= chunk= [base=] [shares= fraction=]`: declares a version of
//!   weights.
//! - `origin-fault [rate=] [corrupt= seed=] [down=]`: sets the send rate of the origin,
//!   corrupts a fraction of its chunk responses, or makes all requests fail.
//! - `engine name= [cold_limit= warm_limit= cold_ms= slowdown= token_ms= tokens= lag_ms= fences=]`:
//!   starts an engine.
//! - `engine-fault name= cold_ms= [hidden=]`, `crash=true`, `withhold=` or `digest= model= version=`: turns
//!   an engine cold, with `hidden=true` unreported; crashes it; has it answer requests that it runs with
//!   status 503, or no longer; or replaces its weights.
//! - `service name= [delay_ms=]`: starts a plain service.
//! - `service-fault name= [mode=answer|hold|drop|fail] [count=] [delay_ms=]`: sets how a plain
//!   service handles the next `count` calls, or all calls, and the duration of an execution.
//!
//! Daemons and network:
//!
//! - `start-entry name= data_centre=`, `start-agent name= upstream= data_centre=`: start a daemon;
//!   the lines below are added to its settings.
//! - `orders-cluster [entries=] [agents=] [delay_ms=] [may_repeat=]`: starts the platform, the
//!   plain service `orders` with an upstream for each agent, agents and entries, and waits until
//!   they serve the customer `shop`; the lines below are added to the entries' settings.
//! - `certificates`: issues files for TLS; `{certificates}` is their directory, in settings and
//!   `cli`.
//! - `kill`, `terminate`, `freeze`, `thaw` with `name=`: send SIGKILL, SIGTERM, SIGSTOP, SIGCONT.
//! - `restart name=`: starts a daemon again with its settings.
//! - `unlist name=`, `leaving name= is=`: change the instance lists that the daemons read.
//! - `cut between=(A,B)`: closes the connections between two daemons, also new ones.
//! - `blackhole between=(A,B)`: keeps the connections open, but passes no bytes.
//! - `blackhole-open between=(A,B)`: the same only for the connections that are open now.
//! - `heal`: lets all connections pass again.
//!
//! Configuration and commands:
//!
//! - `config [entry= action=]`: applies the document below, by default with the action id
//!   `apply-1`, `apply-2` and so on.
//! - `cli [entry=]`: runs each line below; `{NAME}` is the HTTP address of a process.
//! - `document`, `cli-concurrent`, `burst`: see [`super::concurrent`].
//!
//! Calls:
//!
//! - `call [entry= customer= key=]`: sends `METHOD PATH` and the body from the lines below.
//! - `chat [entry= model= customer= stream= tokens=]`: sends the text below as a message.
//! - `join id=`: waits for the answer of a `call` or `chat` with `id=`, which runs in the
//!   background.
//! - `await-calls [within=SECONDS]`: waits until all calls in the background have ended, whatever
//!   their answers.
//! - `workload`: starts many concurrent callers, see [`super::workload`].
//!
//! Checks, one a line below the directive, see [`super::checks`]:
//!
//! - `check`: all checks hold now.
//! - `eventually [within=SECONDS]`: all checks hold in the same pass before the time is up.
//! - `never [for=SECONDS]`: none of the checks holds at any time in the duration.

use std::error::Error;
use std::str::FromStr;
use std::time::{Duration, Instant};

use actix_web::rt;
use agatepin_standins::engine::{EngineControl, EngineOptions, LoadedWeights};
use agatepin_standins::origin::{OriginControl, SharedChunks, VersionSpec};
use agatepin_standins::service::{ServiceControl, ServiceMode, ServiceOptions};
use agatepin_standins::table::{TableControl, TableMode};
use agatepin_standins::{EngineStandin, ServiceStandin};
use datadriven::TestCase;
use rustix::process::Signal;

use super::Failure;
use super::calls::{self, CallRequest};
use super::checks;
use super::cli;
use super::cluster::{DaemonRole, DaemonSpec, TestCluster};
use super::concurrent;
use super::network::RelayMode;
use super::setups::{self, OrdersSetup};
use super::workload;

/// Default time limit of `eventually` and `await-calls`.
const DEFAULT_WITHIN_SECONDS: f64 = 20.0;
/// Default duration of `never`.
const DEFAULT_FOR_SECONDS: f64 = 2.0;
/// Interval at which `eventually`, `never` and `await-calls` repeat their checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs one directive and returns its output.
///
/// # Errors
///
/// The directive fails or does not exist, or the line has an argument that the directive does not
/// take.
pub async fn run(cluster: &mut TestCluster, case: &mut TestCase) -> Result<String, Failure> {
    let output = dispatch(cluster, case).await?;
    case.expect_empty().map_err(|err| err.to_string())?;
    Ok(output)
}

async fn dispatch(cluster: &mut TestCluster, case: &mut TestCase) -> Result<String, Failure> {
    match case.directive.as_str() {
        "config" => return apply_config(cluster, case).await,
        "cli" => return run_cli(cluster, case).await,
        "call" => {
            let request = call_request(cluster, case)?;
            return send(cluster, case, request).await;
        }
        "chat" => {
            let request = chat_request(cluster, case)?;
            return send(cluster, case, request).await;
        }
        "document" => concurrent::write_document(cluster, &name(case)?, &case.input)?,
        "cli-concurrent" => return concurrent::run_all(cluster, case).await,
        "burst" => return burst(cluster, case).await,
        "join" => return join(cluster, case).await,
        "workload" => workload::start(cluster, case)?,
        "await-calls" => await_calls(cluster, case).await?,
        "platform" => cluster.start_platform().await?,
        "origin" => declare_version(cluster, case)?,
        "origin-fault" => set_origin_fault(cluster, case)?,
        "engine" => start_engine(cluster, case).await?,
        "engine-fault" => set_engine_fault(cluster, case)?,
        "service" => start_service(cluster, case).await?,
        "orders-cluster" => start_orders(cluster, case).await?,
        "service-fault" => set_service_fault(cluster, case)?,
        "start-entry" | "start-agent" => start_daemon(cluster, case).await?,
        "kill" => cluster.daemon(&name(case)?)?.kill(),
        "terminate" => cluster.daemon(&name(case)?)?.signal(Signal::TERM)?,
        "freeze" => cluster.daemon(&name(case)?)?.signal(Signal::STOP)?,
        "thaw" => cluster.daemon(&name(case)?)?.signal(Signal::CONT)?,
        "restart" => cluster.restart(&name(case)?).await?,
        "unlist" => cluster.unlist(&name(case)?)?,
        "leaving" => cluster.set_leaving(&name(case)?, required(case, "is")?)?,
        "certificates" => cluster.issue_certificates(),
        "cut" => set_link(cluster, case, RelayMode::Cut)?,
        "blackhole" => set_link(cluster, case, RelayMode::Blackhole)?,
        "blackhole-open" => set_link(cluster, case, RelayMode::BlackholeOpen)?,
        "heal" => cluster.heal(),
        "table" => set_table_mode(cluster, case)?,
        "reset-table-counters" => cluster
            .platform()?
            .table
            .control(TableControl::ResetCounters)?,
        "check" => check_all(cluster, &case.input).await?,
        "eventually" => eventually(cluster, case).await?,
        "never" => never(cluster, case).await?,
        other => return Err(format!("directive \"{other}\" does not exist")),
    }
    Ok(String::new())
}

/// Takes an argument that the directive must have.
pub fn required<Value>(case: &mut TestCase, arg: &str) -> Result<Value, Failure>
where
    Value: FromStr,
    Value::Err: Error + Send + Sync + 'static,
{
    case.take_arg(arg).map_err(|err| err.to_string())
}

/// Takes an argument that the directive may have.
pub fn optional<Value>(case: &mut TestCase, arg: &str) -> Result<Option<Value>, Failure>
where
    Value: FromStr,
    Value::Err: Error + Send + Sync + 'static,
{
    case.try_take_arg(arg).map_err(|err| err.to_string())
}

fn name(case: &mut TestCase) -> Result<String, Failure> {
    required(case, "name")
}

/// Takes an optional argument in milliseconds.
fn millis(case: &mut TestCase, arg: &str, default: Duration) -> Result<Duration, Failure> {
    Ok(optional(case, arg)?.map_or(default, Duration::from_millis))
}

fn declare_version(cluster: &TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let model: String = required(case, "model")?;
    let version: String = required(case, "version")?;
    let bytes = required(case, "bytes")?;
    let mut spec = VersionSpec::new(&model, &version, bytes, required(case, "chunk")?);
    spec.base = optional(case, "base")?;
    if let Some(version) = optional(case, "shares")? {
        let fraction = required(case, "fraction")?;
        spec.shares = Some(SharedChunks { version, fraction });
    }
    let origin = &cluster.platform()?.origin;
    origin.control(OriginControl::Declare(spec))
}

fn set_origin_fault(cluster: &TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let origin = &cluster.platform()?.origin;
    if let Some(bytes_per_second) = optional(case, "rate")? {
        origin.control(OriginControl::Rate { bytes_per_second })?;
    }
    if let Some(fraction) = optional(case, "corrupt")? {
        let seed = optional(case, "seed")?;
        origin.control(OriginControl::Corrupt { fraction, seed })?;
    }
    if let Some(down) = optional(case, "down")? {
        origin.control(OriginControl::Down { down })?;
    }
    Ok(())
}

async fn start_engine(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let name = name(case)?;
    let base = EngineOptions::default();
    let options = EngineOptions {
        cold_limit: optional(case, "cold_limit")?.unwrap_or(base.cold_limit),
        warm_limit: optional(case, "warm_limit")?.unwrap_or(base.warm_limit),
        cold_start: millis(case, "cold_ms", base.cold_start)?,
        cold_slowdown: optional(case, "slowdown")?.unwrap_or(base.cold_slowdown),
        token_interval: millis(case, "token_ms", base.token_interval)?,
        tokens: optional(case, "tokens")?.unwrap_or(base.tokens),
        state_lag: millis(case, "lag_ms", base.state_lag)?,
        checks_fences: optional(case, "fences")?.unwrap_or(base.checks_fences),
        ..base
    };
    let engine = EngineStandin::start(options).await;
    let engine = engine.map_err(|err| err.to_string())?;
    cluster.engines.insert(name, engine);
    Ok(())
}

fn set_engine_fault(cluster: &TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let name = name(case)?;
    let engine = cluster.engines.get(&name);
    let engine = engine.ok_or_else(|| format!("engine \"{name}\" does not exist"))?;
    if let Some(cold_ms) = optional(case, "cold_ms")? {
        let hidden = optional(case, "hidden")?.unwrap_or(false);
        engine.control(EngineControl::TurnCold { cold_ms, hidden })?;
    }
    if let Some(digest) = optional(case, "digest")? {
        let weights = LoadedWeights {
            model: required(case, "model")?,
            version: required(case, "version")?,
            digest,
        };
        engine.control(EngineControl::SwapWeights(weights))?;
    }
    if let Some(withholds) = optional(case, "withhold")? {
        engine.control(EngineControl::WithholdAnswers { withholds })?;
    }
    if optional(case, "crash")?.unwrap_or(false) {
        engine.control(EngineControl::Crash)?;
    }
    Ok(())
}

async fn start_service(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let name = name(case)?;
    let base = ServiceOptions::default();
    let options = ServiceOptions {
        delay: millis(case, "delay_ms", base.delay)?,
        ..base
    };
    let service = ServiceStandin::start(options).await;
    let service = service.map_err(|err| err.to_string())?;
    cluster.services.insert(name, service);
    Ok(())
}

async fn start_orders(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let (entries, agents) = (
        optional(case, "entries")?.unwrap_or(1),
        optional(case, "agents")?.unwrap_or(1),
    );
    let base = ServiceOptions::default();
    let setup = OrdersSetup {
        entries,
        agents,
        service: ServiceOptions {
            delay: millis(case, "delay_ms", base.delay)?,
            ..base
        },
        may_repeat: optional(case, "may_repeat")?.unwrap_or(false),
        extra_settings: case.input.clone(),
    };
    let config = setups::start_orders(cluster, setup).await?;
    apply_document(cluster, None, &config, None).await?;
    let ready = setups::orders_ready(entries, agents);
    poll_checks(cluster, &ready, DEFAULT_WITHIN_SECONDS).await
}

fn set_service_fault(cluster: &TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let name = name(case)?;
    let service = cluster.services.get(&name);
    let service = service.ok_or_else(|| format!("service \"{name}\" does not exist"))?;
    if let Some(delay_ms) = optional(case, "delay_ms")? {
        service.control(ServiceControl::Delay { delay_ms })?;
    }
    let Some(mode) = optional::<String>(case, "mode")? else {
        return Ok(());
    };
    let mode = match mode.as_str() {
        "answer" => ServiceMode::Answer,
        "hold" => ServiceMode::Hold,
        "drop" => ServiceMode::Drop,
        "fail" => ServiceMode::Fail,
        other => return Err(format!("mode \"{other}\" does not exist")),
    };
    let count = optional(case, "count")?;
    service.control(ServiceControl::Mode { mode, count })
}

async fn start_daemon(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let role = if case.directive == "start-agent" {
        DaemonRole::Agent(required(case, "upstream")?)
    } else {
        DaemonRole::Entry
    };
    let spec = DaemonSpec {
        name: name(case)?,
        role,
        data_centre: required(case, "data_centre")?,
        extra_settings: case.input.clone(),
    };
    cluster.start_daemon(spec).await
}

fn set_link(
    cluster: &mut TestCluster,
    case: &mut TestCase,
    mode: RelayMode,
) -> Result<(), Failure> {
    let ends: Vec<String> = case.take_args("between").map_err(|err| err.to_string())?;
    let [one, other] = ends.as_slice() else {
        return Err("argument \"between\" must have two names".to_owned());
    };
    cluster.set_link(one, other, mode);
    Ok(())
}

fn set_table_mode(cluster: &TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let mode = match required::<String>(case, "mode")?.as_str() {
        "up" => TableMode::Up,
        "down" => TableMode::Down,
        "slow" => TableMode::Slow {
            delay_ms: required(case, "delay_ms")?,
        },
        "lose-answers" => TableMode::LoseAnswers {
            count: optional(case, "count")?,
            drop: optional(case, "drop")?.unwrap_or(false),
        },
        other => return Err(format!("mode \"{other}\" does not exist")),
    };
    cluster.platform()?.table.control(TableControl::Mode(mode))
}

async fn apply_config(cluster: &mut TestCluster, case: &mut TestCase) -> Result<String, Failure> {
    let entry: Option<String> = optional(case, "entry")?;
    let action: Option<String> = optional(case, "action")?;
    apply_document(cluster, entry.as_deref(), &case.input, action).await
}

async fn apply_document(
    cluster: &mut TestCluster,
    entry: Option<&str>,
    document: &str,
    action: Option<String>,
) -> Result<String, Failure> {
    let path = cluster.work_dir().join("config.toml");
    std::fs::write(&path, document).map_err(|err| err.to_string())?;
    let file = path.display().to_string();
    cluster.applied_documents += 1;
    let action = action.unwrap_or_else(|| format!("apply-{}", cluster.applied_documents));
    let args = ["config", "apply", &file, "--action-id", &action];
    cli::run(cluster, entry, &args).await
}

async fn run_cli(cluster: &TestCluster, case: &mut TestCase) -> Result<String, Failure> {
    let entry: Option<String> = optional(case, "entry")?;
    let mut output = String::new();
    for line in case.input.lines() {
        let args: Vec<&str> = line.split_whitespace().collect();
        output.push_str(&cli::run(cluster, entry.as_deref(), &args).await?);
    }
    Ok(output)
}

fn call_request(cluster: &TestCluster, case: &mut TestCase) -> Result<CallRequest, Failure> {
    let (line, body) = case.input.split_once('\n').unwrap_or((&case.input, ""));
    let (method, path) = line
        .split_once(' ')
        .ok_or_else(|| format!("\"{line}\" is not METHOD PATH"))?;
    let (method, path) = (method.to_owned(), path.to_owned());
    let body = body.trim_end().to_owned();
    let entry: Option<String> = optional(case, "entry")?;
    let address = &cluster.entry(entry.as_deref())?.ready.http;
    Ok(CallRequest {
        url: format!("http://{address}{path}"),
        method,
        customer: optional(case, "customer")?,
        key: optional(case, "key")?,
        body,
    })
}

fn chat_request(cluster: &TestCluster, case: &mut TestCase) -> Result<CallRequest, Failure> {
    let entry: Option<String> = optional(case, "entry")?;
    let address = &cluster.entry(entry.as_deref())?.ready.http;
    let model: Option<String> = optional(case, "model")?;
    let stream = optional(case, "stream")?.unwrap_or(false);
    let model = model.as_deref().unwrap_or("press");
    let max_tokens = optional(case, "tokens")?;
    Ok(CallRequest {
        url: format!("http://{address}/v1/chat/completions"),
        method: "POST".to_owned(),
        customer: optional(case, "customer")?,
        key: None,
        body: calls::chat_body_with_limit(model, case.input.trim_end(), stream, max_tokens),
    })
}

/// Sends `request` and returns the answer; with `id=`, sends it in the background.
async fn send(
    cluster: &mut TestCluster,
    case: &mut TestCase,
    request: CallRequest,
) -> Result<String, Failure> {
    let Some(id) = optional(case, "id")? else {
        return Ok(calls::send(request).await?.to_string());
    };
    cluster
        .pending_calls
        .insert(id, rt::spawn(calls::send(request)));
    Ok(String::new())
}

async fn join(cluster: &mut TestCluster, case: &mut TestCase) -> Result<String, Failure> {
    let id: String = required(case, "id")?;
    let call = cluster.pending_calls.remove(&id);
    let call = call.ok_or_else(|| format!("call \"{id}\" does not exist"))?;
    let answer = call.await.map_err(|err| err.to_string())??;
    Ok(answer.to_string())
}

async fn burst(cluster: &TestCluster, case: &mut TestCase) -> Result<String, Failure> {
    let entry: String = required(case, "entry")?;
    let service: String = required(case, "service")?;
    let count = required(case, "calls")?;
    let at: Option<String> = optional(case, "at")?;
    concurrent::burst(cluster, &entry, &service, count, at.as_deref()).await
}

async fn await_calls(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let within = optional(case, "within")?.unwrap_or(DEFAULT_WITHIN_SECONDS);
    let deadline = Instant::now() + Duration::from_secs_f64(within);
    for (id, call) in &cluster.pending_calls {
        while !call.is_finished() {
            if Instant::now() >= deadline {
                return Err(format!("call \"{id}\" has not ended"));
            }
            rt::time::sleep(POLL_INTERVAL).await;
        }
    }
    cluster.pending_calls.clear();
    Ok(())
}

async fn check_all(cluster: &mut TestCluster, lines: &str) -> Result<(), Failure> {
    for line in lines.lines() {
        checks::check(cluster, line).await?;
    }
    Ok(())
}

/// Polls until all checks hold in the same pass.
async fn eventually(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let within = optional(case, "within")?.unwrap_or(DEFAULT_WITHIN_SECONDS);
    poll_checks(cluster, &case.input, within).await
}

/// Evaluates the checks until all hold in the same pass. After `within` seconds, returns the result
/// of the last pass.
async fn poll_checks(cluster: &mut TestCluster, lines: &str, within: f64) -> Result<(), Failure> {
    let deadline = Instant::now() + Duration::from_secs_f64(within);
    loop {
        let outcome = check_all(cluster, lines).await;
        if outcome.is_ok() || Instant::now() >= deadline {
            return outcome;
        }
        rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls for the whole duration and fails as soon as any of the checks holds.
async fn never(cluster: &mut TestCluster, case: &mut TestCase) -> Result<(), Failure> {
    let seconds = optional(case, "for")?.unwrap_or(DEFAULT_FOR_SECONDS);
    let deadline = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < deadline {
        for line in case.input.lines() {
            if checks::check(cluster, line).await.is_ok() {
                return Err(format!("\"{line}\" holds, but must not"));
            }
        }
        rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
