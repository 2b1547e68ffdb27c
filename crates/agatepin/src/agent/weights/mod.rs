//! Weights: what the upstream should hold, the chunks of it, and the orders to the engine.

pub mod clients;
mod distributor;
mod engine;
pub mod fence_row;
pub mod fencing;
pub mod http;
mod links;
mod metrics;
pub mod store;
mod target;
mod uploads;
mod wire;

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

/// What the weights need besides the state that the agent's parts share.
#[derive(Debug)]
pub struct WeightDependencies<Source> {
    /// Chunks, which the agent's HTTP server offers to the engine.
    pub store: ChunkStore,
    /// Row of order numbers.
    pub fence: Source,
    /// Address of the agent's HTTP server.
    pub http: SocketAddr,
}

/// Starts the distribution and the engine's driver on the current actix system. They stop when
/// the context's `stopped` is cancelled.
///
/// # Errors
/// The counters are registered already.
pub fn start<Source>(
    shared: Arc<AgentShared>,
    parts: WeightDependencies<Source>,
    chunk_links: mpsc::UnboundedReceiver<PeerLink>,
) -> prometheus::Result<()>
where
    Source: FenceStore + 'static,
{
    let metrics = WeightMetrics::new(&shared.context.registry)?;
    actix_rt::spawn(async move {
        match upstream_kind(&shared).await {
            Some(UpstreamKind::Engine) => run_engine(shared, parts, metrics, chunk_links),
            Some(UpstreamKind::Service(_)) => shared.gate.update(|gate| gate.serve(None)),
            None => (),
        }
    });
    Ok(())
}

/// Waits until a configuration declares the upstream.
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

fn run_engine<Source>(
    shared: Arc<AgentShared>,
    parts: WeightDependencies<Source>,
    metrics: WeightMetrics,
    chunk_links: mpsc::UnboundedReceiver<PeerLink>,
) where
    Source: FenceStore + 'static,
{
    let (wanted_tx, wanted_rx) = watch::channel(None);
    let (served_tx, served_rx) = watch::channel(None);
    let source = format!("http://{}", parts.http);
    let client = EngineClient::new(&shared.settings.upstream, source);
    let outputs = EngineOutputs {
        served: served_tx,
        metrics: metrics.clone(),
    };
    let driver = EngineDriver::new(shared.clone(), client, parts.fence, wanted_rx, outputs);
    actix_rt::spawn(driver.run());
    let store = parts.store;
    actix_rt::spawn(distributor::run(
        shared,
        store,
        metrics,
        chunk_links,
        wanted_tx,
        served_rx,
    ));
}
