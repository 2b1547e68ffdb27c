//! Driver of the engine: reads the engine's state, orders it to load weights, and opens or closes
//! the gate (admission control of the upstream) according to the weights that the engine serves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::fence::OrderOutcome;
use agatepin_core::gate::{GateStage, ServedWeights, UpstreamGate};
use agatepin_core::ids::ContentDigest;
use agatepin_core::manifest::WeightManifest;
use tokio::sync::watch;

use super::clients::EngineClient;
use super::distributor::WantedWeights;
use super::encoding::EngineState;
use super::fencing::{FenceHolder, FenceStore};
use super::metrics::{LoadOutcome, WeightMetrics};
use crate::agent::shared::AgentShared;

/// Number of consecutive failed reads of the engine's state after which the engine counts as gone
/// and its gate is closed.
const MAX_FAILED_READS: u32 = 3;
/// Number of waves (groups that start one after another) in which the replicas of a model swap to a
/// new version.
const SWAP_WAVES: usize = 3;
/// Minimum time between the starts of two waves. The time is twice the duration of this agent's
/// last successful load if that is longer.
const MIN_WAVE_DELAY: Duration = Duration::from_secs(1);
/// Time after a failed load until the next load order.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Where the driver publishes its results.
pub(super) struct EngineOutputs {
    /// Total digest (digest of all chunks, concatenated) of the weights that are served; `None`
    /// while none are.
    pub(super) served_digest: watch::Sender<Option<ContentDigest>>,
    /// Metrics that count the load orders by how they ended.
    pub(super) metrics: WeightMetrics,
}

/// Orders the engine beside the agent to load the wanted weights, the version that the
/// configuration assigns to the upstream, and opens or closes the gate accordingly.
pub(super) struct EngineDriver<Store> {
    shared: Arc<AgentShared>,
    client: EngineClient,
    /// Permits load orders by the upstream's fence number, a fencing token in a table row.
    fence: FenceHolder<Store>,
    /// Weights that the engine should serve; `None` if it should serve none, or their manifest has
    /// not been fetched.
    wanted: watch::Receiver<Option<WantedWeights>>,
    outputs: EngineOutputs,
    /// Weights that the engine serves, as last verified.
    served_weights: Option<ServedWeights>,
    /// Weights that were served before a swap that has not succeeded yet.
    previous_weights: Option<ServedWeights>,
    /// Whether the engine was in a cold start when its state was last read.
    cold_start: bool,
    /// Consecutive failed reads of the engine's state.
    failed_reads: u32,
    /// Duration of the last successful load; 0 before the first.
    load_time: Duration,
    /// Total digest of a version, and the earliest time at which this agent may order the engine to
    /// load it; `None` if no time was set.
    load_not_before: Option<(ContentDigest, Instant)>,
}

impl<Store> EngineDriver<Store>
where
    Store: FenceStore,
{
    pub(super) fn new(
        shared: Arc<AgentShared>,
        client: EngineClient,
        store: Store,
        wanted: watch::Receiver<Option<WantedWeights>>,
        outputs: EngineOutputs,
    ) -> Self {
        let upstream = shared.settings.upstream.name.clone();
        Self {
            shared,
            client,
            fence: FenceHolder::new(store, upstream),
            wanted,
            outputs,
            served_weights: None,
            previous_weights: None,
            cold_start: false,
            failed_reads: 0,
            load_time: Duration::ZERO,
            load_not_before: None,
        }
    }

    /// Calls [`Self::reconcile`] at intervals and whenever the wanted weights change, until the
    /// process stops.
    pub(super) async fn run(mut self) {
        let stopped = self.shared.context.stopped.clone();
        let mut ticks = tokio::time::interval(self.shared.settings.upstream.state_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stopped.cancelled() => return,
                _ = ticks.tick() => (),
                Ok(()) = self.wanted.changed() => (),
            }
            tokio::select! {
                () = stopped.cancelled() => return,
                () = self.reconcile() => (),
            }
        }
    }

    /// Reads the engine's state once, and does what is needed next to serve the wanted weights.
    async fn reconcile(&mut self) {
        let Ok(state) = self.client.state().await else {
            self.failed_reads += 1;
            if self.failed_reads >= MAX_FAILED_READS {
                self.close(GateStage::Absent);
            }
            return;
        };
        self.failed_reads = 0;
        let digest = parse_digest(&state);
        self.check_state(digest, state.cold);
        let Some(wanted) = self.wanted.borrow_and_update().clone() else {
            self.close(GateStage::Absent);
            return;
        };
        let total = wanted.manifest.total_digest;
        if self.is_serving(total) || state.loading {
            return;
        }
        if digest == Some(total) {
            self.serve_manifest(&wanted.manifest);
            return;
        }
        self.reopen_previous(digest);
        if !wanted.complete {
            self.set_stage_unless_serving(GateStage::Fetching);
            return;
        }
        self.set_stage_unless_serving(GateStage::Verified);
        if self.may_load_now(&wanted) {
            self.swap(&wanted.manifest).await;
        }
    }

    /// Applies the engine's state to the gate: reports the start and end of a cold start, closes
    /// the gate if the engine serves other weights than the verified ones, and opens the gate again
    /// if another task closed it, such as after a crash of the engine. `digest` is the digest of
    /// the weights that the engine serves; `None` if it serves none.
    fn check_state(&mut self, digest: Option<ContentDigest>, cold: bool) {
        if cold != self.cold_start {
            self.cold_start = cold;
            self.shared.gate.update(|gate| gate.report_cold(cold));
        }
        let Some(serving) = &self.served_weights else {
            return;
        };
        if digest != Some(serving.digest) {
            let (model, version) = (serving.model.clone(), serving.version.clone());
            log::warn!(model, version; "engine no longer serves the verified weights; closing its gate");
            self.close(GateStage::Absent);
            return;
        }
        if self.shared.gate.read(UpstreamGate::stage) == GateStage::Absent {
            let weights = serving.clone();
            self.shared.gate.update(|gate| gate.serve(Some(weights)));
        }
    }

    /// Serves the previous weights again if a swap failed before the engine unloaded them.
    fn reopen_previous(&mut self, digest: Option<ContentDigest>) {
        let Some(previous) = self.previous_weights.take() else {
            return;
        };
        if digest == Some(previous.digest) {
            self.serve(previous);
        }
    }

    /// Whether this replica may load the wanted weights now. A replica that serves another version
    /// waits for its wave, so that at most about a third of the replicas swap at the same time.
    fn may_load_now(&mut self, wanted: &WantedWeights) -> bool {
        let now = Instant::now();
        let total = wanted.manifest.total_digest;
        if self
            .load_not_before
            .is_none_or(|(digest, _)| digest != total)
        {
            let (ahead, all) = wanted.swap_position;
            let wave = ahead * SWAP_WAVES / all.max(1);
            let wave = u32::try_from(wave).unwrap_or_default();
            let delay = MIN_WAVE_DELAY.max(self.load_time * 2) * wave;
            let start = if self.served_weights.is_some() {
                now + delay
            } else {
                now
            };
            self.load_not_before = Some((total, start));
        }
        self.load_not_before.is_some_and(|(_, start)| now >= start)
    }

    /// Closes the gate, waits until no call is in flight, and orders the engine to load `manifest`.
    /// Opens the gate if the order ended within the time limit of its fencing permit and the engine
    /// then reports the digest of the weights; otherwise the gate stays closed until the engine's
    /// state is read again.
    async fn swap(&mut self, manifest: &WeightManifest) {
        let name = &self.shared.settings.upstream.name;
        let config = self.shared.context.config.borrow().clone();
        let spec = config.upstreams.get(name);
        let engine_checks = spec.is_some_and(|spec| spec.checks_order_numbers);
        if let Err(err) = self.fence.permit(engine_checks).await {
            log::debug!(upstream = name; "load order to the engine is not permitted: {err}");
            return;
        }
        self.previous_weights.clone_from(&self.served_weights);
        self.close(GateStage::Draining);
        self.shared.gate.drained().await;
        self.shared
            .gate
            .update(|gate| gate.set_stage(GateStage::Loading));
        // The lease of the fencing permit may have lapsed during the wait for calls in flight.
        let Ok(permit) = self.fence.permit(engine_checks).await else {
            return;
        };
        let started = Instant::now();
        let timeout = FenceHolder::<Store>::max_order_duration();
        let loaded = self.client.load(manifest, permit.number, timeout).await;
        let in_lease = permit.outcome_at(Instant::now()) == OrderOutcome::InLease;
        let state = self.client.state().await;
        let digest = state.ok().as_ref().and_then(parse_digest);
        if let Err(err) = &loaded {
            log::warn!(upstream = self.shared.settings.upstream.name; "engine did not load the weights: {err}");
        }
        let verified = digest == Some(manifest.total_digest);
        self.outputs.metrics.count_load(match &loaded {
            Ok(()) if verified => LoadOutcome::Loaded,
            Ok(()) => LoadOutcome::WrongDigest,
            Err(_) => LoadOutcome::Failed,
        });
        if loaded.is_ok() && in_lease && verified {
            self.load_time = started.elapsed();
            self.previous_weights = None;
            self.serve_manifest(manifest);
            return;
        }
        self.load_not_before = Some((manifest.total_digest, Instant::now() + RETRY_DELAY));
    }

    /// Serves the weights of `manifest`.
    fn serve_manifest(&mut self, manifest: &WeightManifest) {
        self.serve(ServedWeights {
            model: manifest.model.clone(),
            version: manifest.version.clone(),
            digest: manifest.total_digest,
        });
    }

    /// Opens the gate for `weights`.
    fn serve(&mut self, weights: ServedWeights) {
        let (model, version) = (weights.model.clone(), weights.version.clone());
        // Records that calls are admitted for these weights from now on.
        log::info!(model, version; "serving");
        self.outputs
            .served_digest
            .send_replace(Some(weights.digest));
        self.served_weights = Some(weights.clone());
        self.shared.gate.update(|gate| gate.serve(Some(weights)));
    }

    /// Closes the gate: no weights count as served, and the gate moves to `stage`.
    fn close(&mut self, stage: GateStage) {
        if self.served_weights.take().is_none()
            && self.shared.gate.read(UpstreamGate::stage) == stage
        {
            return;
        }
        self.outputs.served_digest.send_replace(None);
        self.shared.gate.update(|gate| gate.set_stage(stage));
    }

    /// Moves the gate to `stage`, unless weights (such as an earlier version) are still served.
    fn set_stage_unless_serving(&self, stage: GateStage) {
        let current = self.shared.gate.read(UpstreamGate::stage);
        if self.served_weights.is_none() && current != stage {
            self.shared.gate.update(|gate| gate.set_stage(stage));
        }
    }

    fn is_serving(&self, digest: ContentDigest) -> bool {
        let serving = self.served_weights.as_ref();
        serving.is_some_and(|weights| weights.digest == digest)
    }
}

fn parse_digest(state: &EngineState) -> Option<ContentDigest> {
    ContentDigest::from_hex(state.digest.as_deref()?)
}
