//! Start-up that entries and agents have in common: sockets, platform clients, the spread task and
//! the acceptor of links.

use std::net::TcpListener;

use agatepin_core::ids::UpstreamId;
use eyre::Result;
use prometheus::Registry;
use tokio_util::sync::CancellationToken;

use crate::context::ProcessContext;
use crate::daemon::ReadyReport;
use crate::metrics;
use crate::net;
use crate::platform::PlatformClients;
use crate::settings::{LinkSettings, PlatformSettings, ProcessSettings};
use crate::spread::{self, SpreadHandle, SpreadOptions};
use crate::store::ConfigStore;
use crate::wire::acceptor::{self, AcceptedLinks, AcceptorIdentity, LinkRoutes};
use crate::wire::frames::ProcessRole;
use crate::wire::link::ProcessIdentity;

/// Components that both kinds of daemons use.
pub struct StartedProcess {
    /// Identity, configuration and shutdown signals, shared by all components.
    pub context: ProcessContext,
    /// Clients of the platform.
    pub platform: PlatformClients,
    /// Handle of the task that distributes configuration and membership.
    pub spread: SpreadHandle,
    /// Listening socket for HTTP; the caller starts the server.
    pub http: TcpListener,
    /// Name of the instance and addresses of the bound sockets.
    pub ready: ReadyReport,
    /// Accepted links from other processes, by purpose.
    pub links: AcceptedLinks,
}

/// Binds the sockets and starts the common tasks on the current actix system. `upstream` is the
/// upstream of an agent; `None` for entries.
///
/// # Errors
/// An address cannot be bound, or a TLS file cannot be used; the error names the address or the
/// file.
pub fn start_process(
    role: ProcessRole,
    upstream: Option<UpstreamId>,
    process: &ProcessSettings,
    platform: &PlatformSettings,
    link: &LinkSettings,
) -> Result<StartedProcess> {
    let wire = net::bind(process.wire, "links")?;
    let http = net::bind(process.http, "HTTP")?;
    let ready = ReadyReport {
        instance: process.instance.clone(),
        wire: wire.local_addr()?,
        http: http.local_addr()?,
        operator: None,
    };
    let identity = ProcessIdentity {
        role,
        instance: process.instance.clone(),
        incarnation: rand::random(),
        data_centre: process.data_centre.clone(),
    };
    let stopped = CancellationToken::new();
    let clients = PlatformClients::start(platform, stopped.clone());
    let (mut routes, links, spread_links) = acceptor::route_all();
    let registry = Registry::new();
    let help = "Links that were refused";
    routes.refusals = Some(metrics::counter(
        &registry,
        "agatepin_links_refused_total",
        help,
        &["reason"],
    )?);
    let options = SpreadOptions {
        identity,
        policy: link.policy()?,
        wire: ready.wire,
        http: ready.http,
        upstream,
        store: ConfigStore::new(clients.table.clone()),
        table_interval: platform.table_interval,
        instances: clients.instances.clone(),
        list_interval: platform.list_interval,
        registry,
        leaving: CancellationToken::new(),
        stopped,
    };
    let spread = spread::start(options.clone(), spread_links)?;
    let context = ProcessContext {
        identity: options.identity,
        policy: options.policy,
        config: spread.config.clone(),
        members: spread.members.clone(),
        registry: options.registry,
        leaving: options.leaving,
        stopped: options.stopped,
    };
    serve_links(wire, &context, routes)?;
    Ok(StartedProcess {
        context,
        platform: clients,
        spread,
        http,
        ready,
        links,
    })
}

/// Starts the task that accepts links on the socket `wire` and passes each to the
/// component that handles links of its purpose.
fn serve_links(wire: TcpListener, context: &ProcessContext, routes: LinkRoutes) -> Result<()> {
    let listener = tokio::net::TcpListener::from_std(wire)?;
    let identity = AcceptorIdentity {
        process: context.identity.clone(),
        policy: context.policy.clone(),
    };
    let stopped = context.stopped.clone();
    tokio::spawn(acceptor::run(listener, identity, routes, stopped));
    Ok(())
}
