//! Weights of the upstream: which version it should hold, the exchange of the version's chunks with
//! peers, and the load orders to the engine.

pub mod clients;
mod distributor;
mod encoding;
mod engine;
pub mod fence_row;
pub mod fencing;
pub mod http;
mod links;
mod metrics;
pub mod store;
mod target;
mod uploads;

use std::net::SocketAddr;
use std::sync::Arc;

use agatepin_core::config::UpstreamKind;
use tokio::sync::{mpsc, watch};

use self::clients::EngineClient;
use self::engine::{EngineDriver, EngineOutputs};
use self::fencing::FenceStore;
use self::metrics::WeightMetrics;
use self::store::ChunkStore;
use super::shared::AgentShared;
use crate::wire::link::PeerLink;

/// What the tasks for weights need besides [`AgentShared`].
#[derive(Debug)]
pub struct WeightDependencies<Store> {
    /// Verified chunks, which the agent's HTTP server serves to the engine.
    pub store: ChunkStore,
    /// Access to the table row that holds the upstream's fence number, a fencing token for orders
    /// to the engine.
    pub fence: Store,
    /// Address of the agent's HTTP server, from which the engine loads chunks.
    pub http: SocketAddr,
}

/// Starts a task on the current actix system that waits until a configuration declares the
/// upstream. For an engine, the task then starts the distribution of chunks and the driver of the
/// engine; for a service, which has no weights, it opens the gate. The tasks stop when the
/// context's `stopped` is cancelled. `chunk_links` are the links that peers open.
///
/// # Errors
/// A metric of the same name is registered already.
pub fn start<Store>(
    shared: Arc<AgentShared>,
    dependencies: WeightDependencies<Store>,
    chunk_links: mpsc::UnboundedReceiver<PeerLink>,
) -> prometheus::Result<()>
where
    Store: FenceStore + 'static,
{
    let metrics = WeightMetrics::new(&shared.context.registry)?;
    actix_rt::spawn(async move {
        match upstream_kind(&shared).await {
            Some(UpstreamKind::Engine) => run_engine(shared, dependencies, metrics, chunk_links),
            Some(UpstreamKind::Service(_)) => shared.gate.update(|gate| gate.serve(None)),
            None => (),
        }
    });
    Ok(())
}

/// Waits until a configuration declares the upstream, and returns the upstream's kind (engine or
/// service); `None` if the process stops first.
async fn upstream_kind(shared: &AgentShared) -> Option<UpstreamKind> {
    let name = &shared.settings.upstream.name;
    let mut config = shared.context.config.clone();
    let declared = config.wait_for(|config| config.upstreams.contains_key(name));
    let config = tokio::select! {
        () = shared.context.stopped.cancelled() => return None,
        config = declared => config.ok()?.clone(),
    };
    Some(config.upstreams.get(name)?.kind.clone())
}

fn run_engine<Store>(
    shared: Arc<AgentShared>,
    dependencies: WeightDependencies<Store>,
    metrics: WeightMetrics,
    chunk_links: mpsc::UnboundedReceiver<PeerLink>,
) where
    Store: FenceStore + 'static,
{
    let (wanted_tx, wanted_rx) = watch::channel(None);
    let (served_tx, served_rx) = watch::channel(None);
    let source = format!("http://{}", dependencies.http);
    let client = EngineClient::new(&shared.settings.upstream, source);
    let outputs = EngineOutputs {
        served_digest: served_tx,
        metrics: metrics.clone(),
    };
    let driver = EngineDriver::new(
        shared.clone(),
        client,
        dependencies.fence,
        wanted_rx,
        outputs,
    );
    actix_rt::spawn(driver.run());
    let store = dependencies.store;
    actix_rt::spawn(distributor::run(
        shared,
        store,
        metrics,
        chunk_links,
        wanted_tx,
        served_rx,
    ));
}
