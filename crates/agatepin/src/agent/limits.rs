//! Application of the configuration in force to the upstream's gate.

use std::sync::Arc;
use std::time::Duration;

use agatepin_core::config::{ClusterConfig, UpstreamKind};
use agatepin_core::gate::{GatePolicy, GateStage};

use super::shared::AgentShared;

/// Maximum time until the first byte of an answer that does not count as slow. A slow answer does
/// not raise the concurrency limit (the maximum number of calls in flight).
const SLOW_AFTER: Duration = Duration::from_secs(2);
/// Limits of calls in flight at an upstream that the configuration does not declare.
const UNDECLARED_POLICY: GatePolicy = GatePolicy {
    cold_limit: 1,
    warm_limit: 1,
    slow_after: SLOW_AFTER,
};

/// Returns the concurrency limits of `upstream` in `config`, or limits of one call if `config` does
/// not declare it.
#[must_use]
pub fn gate_policy(config: &ClusterConfig, upstream: &str) -> GatePolicy {
    let Some(spec) = config.upstreams.get(upstream) else {
        return UNDECLARED_POLICY;
    };
    GatePolicy {
        cold_limit: spec.cold_limit,
        warm_limit: spec.warm_limit,
        slow_after: SLOW_AFTER,
    }
}

/// Applies the current configuration, and each later one, to the gate until the process stops.
pub async fn follow_config(shared: Arc<AgentShared>) {
    let mut configs = shared.context.config.clone();
    loop {
        let config = configs.borrow_and_update().clone();
        apply(&shared, &config);
        tokio::select! {
            () = shared.context.stopped.cancelled() => return,
            changed = configs.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Sets the gate's concurrency limits, and whether the agent's data centre is in service. Opens the
/// gate of a service, which has no weights to load, and closes that of an undeclared upstream.
fn apply(shared: &AgentShared, config: &ClusterConfig) {
    let upstream = &shared.settings.upstream.name;
    let policy = gate_policy(config, upstream);
    let in_service = config.is_in_service(&shared.context.identity.data_centre);
    let spec = config.upstreams.get(upstream);
    let plain_service = spec.is_some_and(|spec| matches!(spec.kind, UpstreamKind::Service(_)));
    shared.gate.update(|gate| {
        gate.set_policy(policy);
        gate.set_in_service(in_service);
        let starts_serving = plain_service && gate.stage() != GateStage::Serving;
        if starts_serving {
            gate.serve(None);
        }
        if spec.is_none() {
            gate.set_stage(GateStage::Absent);
        }
    });
}
