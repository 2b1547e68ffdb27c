//! Publication of the agent's state, which is sent to all linked entries.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatepin_core::config::UpstreamKind;
use agatepin_core::gate::{GateStage, UpstreamGate};
use tokio::sync::watch;

use super::shared::AgentShared;
use crate::wire::frames::{AgentState, GateState};

/// Minimum interval between two published states that differ only in load: calls in flight and
/// chunk counts.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

impl From<GateStage> for GateState {
    fn from(stage: GateStage) -> Self {
        match stage {
            GateStage::Absent => Self::Absent,
            GateStage::Fetching => Self::Fetching,
            GateStage::Verified => Self::Verified,
            GateStage::Loading => Self::Loading,
            GateStage::Serving => Self::Serving,
            GateStage::Draining => Self::Draining,
        }
    }
}

/// Starts the task that publishes the state, and returns a receiver of the latest state.
pub fn start(shared: Arc<AgentShared>) -> watch::Receiver<AgentState> {
    let first = describe(&shared, 1);
    let (publisher, states) = watch::channel(first);
    actix_rt::spawn(publish(shared, publisher));
    states
}

/// Returns the current state of the agent, with the sequence number `number`, by which entries tell
/// newer states from older ones.
#[must_use]
pub fn describe(shared: &AgentShared, number: u64) -> AgentState {
    let identity = &shared.context.identity;
    let config = shared.context.config.borrow().clone();
    let upstream = &shared.settings.upstream.name;
    let service = match config.upstreams.get(upstream).map(|spec| &spec.kind) {
        Some(UpstreamKind::Service(service)) => service.clone(),
        _ => String::new(),
    };
    let mut state = shared.gate.read(describe_gate);
    state.instance.clone_from(&identity.instance);
    state.incarnation = identity.incarnation;
    state.data_centre.clone_from(&identity.data_centre);
    state.upstream.clone_from(upstream);
    state.service = service;
    state.config_revision = config.revision;
    state.chunks_held = shared.chunks_held.load(Ordering::Relaxed);
    state.chunks_wanted = shared.chunks_wanted.load(Ordering::Relaxed);
    state.number = number;
    state
}

fn describe_gate(gate: &UpstreamGate) -> AgentState {
    let mut state = AgentState {
        gate: GateState::from(gate.stage()).into(),
        cold: gate.is_cold(),
        leaving: gate.is_leaving(),
        in_flight: gate.in_flight(),
        limit: gate.shared_limit(),
        ..AgentState::default()
    };
    if let Some(weights) = gate.weights() {
        state.model.clone_from(&weights.model);
        state.version.clone_from(&weights.version);
        state.weights_digest = weights.digest.to_string();
    }
    state
}

/// Publishes the state after each change of the gate or the configuration, until the process stops.
/// Nothing notifies of changed chunk counts, so they are compared every [`LOAD_INTERVAL`].
async fn publish(shared: Arc<AgentShared>, publisher: watch::Sender<AgentState>) {
    let mut gate_changes = shared.gate.subscribe();
    let mut config_changes = shared.context.config.clone();
    let mut number = 1;
    loop {
        let load_timer = tokio::time::sleep(LOAD_INTERVAL);
        tokio::select! {
            () = shared.context.stopped.cancelled() => return,
            changed = gate_changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            changed = config_changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = load_timer => (),
        }
        number += 1;
        let state = describe(&shared, number);
        let last_state = publisher.borrow().clone();
        if equal_except_load(&last_state, &state) {
            tokio::time::sleep(LOAD_INTERVAL).await;
            let state = describe(&shared, number);
            let load = |state: &AgentState| {
                let chunks = (state.chunks_held, state.chunks_wanted);
                (state.in_flight, chunks)
            };
            if load(&last_state) != load(&state) || !equal_except_load(&last_state, &state) {
                publisher.send_replace(state);
            }
            continue;
        }
        publisher.send_replace(state);
    }
}

/// Whether two states differ at most in their sequence numbers, calls in flight and chunk counts.
fn equal_except_load(a: &AgentState, b: &AgentState) -> bool {
    let without_load = |state: &AgentState| AgentState {
        number: 0,
        in_flight: 0,
        chunks_held: 0,
        chunks_wanted: 0,
        ..state.clone()
    };
    without_load(a) == without_load(b)
}
