//! Clusters that several scenarios start with.

use std::fmt::Write as _;

use agatepin_standins::ServiceStandin;
use agatepin_standins::service::ServiceOptions;

use super::Failure;
use super::cluster::{DaemonRole, DaemonSpec, TestCluster};

const DATA_CENTRE: &str = "boston-a";

/// A cluster in front of the plain service `orders`.
pub struct OrdersSetup {
    /// Number of entries.
    pub entries: u32,
    /// Number of agents, each with an upstream of its own.
    pub agents: u32,
    /// Options of the service stand-in behind each agent.
    pub service: ServiceOptions,
    /// Whether all calls of the service may be retried.
    pub may_repeat: bool,
    /// TOML lines appended to the settings of each entry.
    pub extra_settings: String,
}

/// Starts the entries `e1`.. and the agents `a1`.., with the upstreams `orders-1`.. of the service
/// `orders`. Returns the configuration document, which is not applied yet.
pub async fn start_orders(
    cluster: &mut TestCluster,
    setup: OrdersSetup,
) -> Result<String, Failure> {
    cluster.start_platform().await?;
    for number in 1..=setup.agents {
        let service = ServiceStandin::start(setup.service.clone()).await;
        let service = service.map_err(|err| err.to_string())?;
        cluster.services.insert(format!("orders-{number}"), service);
    }
    for number in 1..=setup.entries {
        let spec = spec(
            format!("e{number}"),
            DaemonRole::Entry,
            &setup.extra_settings,
        );
        cluster.start_daemon(spec).await?;
    }
    for number in 1..=setup.agents {
        let role = DaemonRole::Agent(format!("orders-{number}"));
        let spec = spec(format!("a{number}"), role, "");
        cluster.start_daemon(spec).await?;
    }
    Ok(config(&setup))
}

/// Checks that hold once each entry has a link to each agent and the agent admits calls.
pub fn orders_ready(entries: u32, agents: u32) -> String {
    let mut checks = String::new();
    for entry in 1..=entries {
        for agent in 0..agents {
            let _ = writeln!(
                checks,
                "dump e{entry} agents.{agent}.gate is GATE_STATE_SERVING"
            );
        }
    }
    checks
}

fn spec(name: String, role: DaemonRole, extra_settings: &str) -> DaemonSpec {
    DaemonSpec {
        name,
        role,
        data_centre: DATA_CENTRE.to_owned(),
        extra_settings: extra_settings.to_owned(),
    }
}

fn config(setup: &OrdersSetup) -> String {
    let mut text = format!(
        "[data_centres.{DATA_CENTRE}]\nregion = \"new-england\"\n[customers.shop]\nweight = 1\n"
    );
    for number in 1..=setup.agents {
        let _ = write!(
            text,
            "[upstreams.orders-{number}]\ndata_centre = \"{DATA_CENTRE}\"\nkind = \"service\"\n\
             service = \"orders\"\ncold_limit = 8\nwarm_limit = 16\nmay_repeat_calls = {}\n",
            setup.may_repeat
        );
    }
    text
}
