//! Stream of the state of one model's replicas.

use std::sync::Arc;

use agatepin_core::config::ClusterConfig;
use agatepin_core::ids::ModelId;
use tokio::sync::{OwnedSemaphorePermit, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::Status;

use super::check::unknown_model;
use crate::entry::directory::AgentDirectory;
use crate::rpc::ModelStatus;
use crate::wire::frames::GateState;

/// Maximum number of model states that are queued for a slow client. While the queue is full, no
/// further state is read.
const STATUS_QUEUE_CAPACITY: usize = 4;

type StatusSender = mpsc::Sender<Result<ModelStatus, Status>>;
type ConfigReceiver = watch::Receiver<Arc<ClusterConfig>>;

/// Starts a stream that sends the current state of `model` and then each changed state. The stream
/// ends when the client disconnects, the model is removed or the process stops; its end releases
/// `permit`.
pub(super) fn start(
    model: ModelId,
    directory: AgentDirectory,
    config: ConfigReceiver,
    stopped: CancellationToken,
    permit: OwnedSemaphorePermit,
) -> ReceiverStream<Result<ModelStatus, Status>> {
    let (sender, receiver) = mpsc::channel(STATUS_QUEUE_CAPACITY);
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => (),
            () = sender.closed() => (),
            () = run(&model, &directory, config, &sender) => (),
        }
        drop(permit);
    });
    ReceiverStream::new(receiver)
}

async fn run(
    model: &str,
    directory: &AgentDirectory,
    mut config: ConfigReceiver,
    sender: &StatusSender,
) {
    let mut updates = directory.subscribe();
    let mut last = None;
    loop {
        updates.mark_unchanged();
        let current = config.borrow_and_update().clone();
        let Some(status) = read(model, directory, &current) else {
            // Sending fails only if the client has disconnected.
            let _ = sender.send(Err(unknown_model(model))).await;
            return;
        };
        if last.as_ref() != Some(&status) {
            if sender.send(Ok(status.clone())).await.is_err() {
                return;
            }
            last = Some(status);
        }
        let outcome = tokio::select! {
            changed = updates.changed() => changed,
            changed = config.changed() => changed,
        };
        if outcome.is_err() {
            return;
        }
    }
}

/// Counts the agents that have the version of `model` which the configuration declares; `None` if
/// the configuration does not declare the model.
fn read(model: &str, directory: &AgentDirectory, config: &ClusterConfig) -> Option<ModelStatus> {
    let spec = config.models.get(model)?;
    let mut status = ModelStatus {
        model: model.to_owned(),
        version: spec.version.clone(),
        wanted: spec.replicas,
        ..ModelStatus::default()
    };
    directory.read(|agents| {
        for agent in agents.values() {
            if agent.model != model || agent.version != spec.version {
                continue;
            }
            status.serving += u32::from(agent.gate() == GateState::Serving && !agent.leaving);
            status.chunks_held += agent.chunks_held;
            status.chunks_wanted += agent.chunks_wanted;
        }
    });
    Some(status)
}
