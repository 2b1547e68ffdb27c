//! Runs one stand-in in a separate process.
//!
//! Prints `ready URL` once it listens and runs until Ctrl-C.

use std::net::SocketAddr;
use std::time::Duration;

use agatepin_standins::engine::EngineOptions;
use agatepin_standins::instances::InstanceListOptions;
use agatepin_standins::origin::OriginOptions;
use agatepin_standins::server::{StandinRole, StandinServer};
use agatepin_standins::service::ServiceOptions;
use agatepin_standins::table::TableOptions;
use agatepin_standins::{
    EngineStandin, InstanceListStandin, OriginStandin, ServiceStandin, TableStandin,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, bail};

#[actix_web::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let Some((kind, args)) = matches.subcommand() else {
        bail!("a stand-in kind is required");
    };
    let listen = *args
        .get_one::<SocketAddr>("listen")
        .unwrap_or(&agatepin_standins::server::LOOPBACK_ANY_PORT);
    match kind {
        "table" => run(TableStandin::start(TableOptions { listen }).await?).await,
        "instances" => {
            let lag = millis(args, "lag-ms");
            run(InstanceListStandin::start(InstanceListOptions { listen, lag }).await?).await
        }
        "origin" => {
            let bytes_per_second = count(args, "bytes-per-second");
            let options = OriginOptions {
                listen,
                bytes_per_second,
            };
            run(OriginStandin::start(options).await?).await
        }
        "engine" => run(EngineStandin::start(engine_options(args, listen)?).await?).await,
        "service" => {
            let delay = millis(args, "delay-ms");
            run(ServiceStandin::start(ServiceOptions { listen, delay }).await?).await
        }
        other => bail!("unknown stand-in kind \"{other}\""),
    }
}

async fn run<Role>(server: StandinServer<Role>) -> Result<()>
where
    Role: StandinRole,
{
    println!("ready {}", server.url());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn command() -> Command {
    Command::new("agatepin-standin")
        .about("Runs a stand-in of the platform or of an upstream")
        .subcommand_required(true)
        .subcommand(kind_command("table", "Table and object service"))
        .subcommand(
            kind_command("instances", "Lagging instance list").arg(count_arg("lag-ms", "0")),
        )
        .subcommand(kind_command("origin", "Weight origin").arg(count_arg("bytes-per-second", "0")))
        .subcommand(
            kind_command("engine", "Model engine")
                .arg(
                    Arg::new("ignore-fences")
                        .long("ignore-fences")
                        .action(ArgAction::SetTrue),
                )
                .arg(count_arg("cold-start-ms", "0"))
                .arg(count_arg("cold-limit", "2"))
                .arg(count_arg("warm-limit", "64"))
                .arg(count_arg("token-interval-ms", "1"))
                .arg(count_arg("state-lag-ms", "0")),
        )
        .subcommand(kind_command("service", "Plain service").arg(count_arg("delay-ms", "0")))
}

fn kind_command(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr));
    Command::new(name).about(about).arg(listen)
}

fn count_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn engine_options(args: &ArgMatches, listen: SocketAddr) -> Result<EngineOptions> {
    Ok(EngineOptions {
        listen,
        checks_fences: !args.get_flag("ignore-fences"),
        cold_start: millis(args, "cold-start-ms"),
        cold_limit: usize::try_from(count(args, "cold-limit"))?,
        warm_limit: usize::try_from(count(args, "warm-limit"))?,
        token_interval: millis(args, "token-interval-ms"),
        state_lag: millis(args, "state-lag-ms"),
        ..EngineOptions::default()
    })
}

fn count(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn millis(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(count(args, name))
}
