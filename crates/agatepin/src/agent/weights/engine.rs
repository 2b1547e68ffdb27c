//! Orders to the engine, and the gate's view of what it serves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::fence::OrderOutcome;
use agatepin_core::gate::{GateStage, ServedWeights, UpstreamGate};
use agatepin_core::ids::ContentDigest;
use agatepin_core::manifest::WeightManifest;
use tokio::sync::watch;

use super::clients::EngineClient;
use super::distributor::WantedWeights;
use super::fencing::{FenceHolder, FenceStore};
use super::metrics::{LoadEnd, WeightMetrics};
use super::wire::EngineState;
use crate::agent::shared::AgentShared;

/// State reads that fail in a row before the engine counts as gone.
const MAX_MISSES: u32 = 3;
/// Waves in which the replicas of a model change their version.
const SWAP_WAVES: usize = 3;
const MIN_WAVE: Duration = Duration::from_secs(1);
const RETRY: Duration = Duration::from_secs(1);

/// What the driver tells others.
pub(super) struct EngineOutputs {
    /// Total digest of what is served.
    pub(super) served: watch::Sender<Option<ContentDigest>>,
    /// Counters.
    pub(super) metrics: WeightMetrics,
}

/// Drives the engine beside the agent.
pub(super) struct EngineDriver<Source> {
    shared: Arc<AgentShared>,
    client: EngineClient,
    fence: FenceHolder<Source>,
    wanted: watch::Receiver<Option<WantedWeights>>,
    outputs: EngineOutputs,
    serving: Option<ServedWeights>,
    /// Weights that were served before a swap that has not succeeded.
    previous: Option<ServedWeights>,
    cold: bool,
    misses: u32,
    load_time: Duration,
    /// When the wanted version may be loaded, by its digest.
    turn: Option<(ContentDigest, Instant)>,
}

impl<Source> EngineDriver<Source>
where
    Source: FenceStore,
{
    pub(super) fn new(
        shared: Arc<AgentShared>,
        client: EngineClient,
        source: Source,
        wanted: watch::Receiver<Option<WantedWeights>>,
        outputs: EngineOutputs,
    ) -> Self {
        let upstream = shared.settings.upstream.name.clone();
        Self {
            shared,
            client,
            fence: FenceHolder::new(source, upstream),
            wanted,
            outputs,
            serving: None,
            previous: None,
            cold: false,
            misses: 0,
            load_time: Duration::ZERO,
            turn: None,
        }
    }

    /// Runs until the process stops.
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
                () = self.step() => (),
            }
        }
    }

    async fn step(&mut self) {
        let Ok(state) = self.client.state().await else {
            self.misses += 1;
            if self.misses >= MAX_MISSES {
                self.close(GateStage::Absent);
            }
            return;
        };
        self.misses = 0;
        let digest = parse_digest(&state);
        self.watch_state(digest, state.cold);
        let Some(wanted) = self.wanted.borrow_and_update().clone() else {
            self.close(GateStage::Absent);
            return;
        };
        let total = wanted.manifest.total_digest;
        if self.is_serving(total) || state.loading {
            return;
        }
        if digest == Some(total) {
            self.open(&wanted.manifest);
            return;
        }
        self.reopen_previous(digest);
        if !wanted.complete {
            self.show_stage(GateStage::Fetching);
            return;
        }
        self.show_stage(GateStage::Verified);
        if self.is_turn(&wanted) {
            self.swap(&wanted.manifest).await;
        }
    }

    /// Closes the gate at once where the engine serves other weights than the verified ones.
    fn watch_state(&mut self, digest: Option<ContentDigest>, cold: bool) {
        if cold != self.cold {
            self.cold = cold;
            self.shared.gate.update(|gate| gate.report_cold(cold));
        }
        let Some(serving) = &self.serving else {
            return;
        };
        if digest != Some(serving.digest) {
            let (model, version) = (serving.model.clone(), serving.version.clone());
            log::warn!(model, version; "engine no longer serves the verified weights");
            self.close(GateStage::Absent);
            return;
        }
        if self.shared.gate.read(UpstreamGate::stage) == GateStage::Absent {
            let weights = serving.clone();
            self.shared.gate.update(|gate| gate.serve(Some(weights)));
        }
    }

    /// Serves the old version again after a swap that failed before the engine changed.
    fn reopen_previous(&mut self, digest: Option<ContentDigest>) {
        let Some(previous) = self.previous.take() else {
            return;
        };
        if digest == Some(previous.digest) {
            self.serve(previous);
        }
    }

    /// Whether this replica may load now. One that serves an old version waits for its wave, so
    /// that at most about a third of the replicas change at once.
    fn is_turn(&mut self, wanted: &WantedWeights) -> bool {
        let now = Instant::now();
        let total = wanted.manifest.total_digest;
        if self.turn.is_none_or(|(digest, _)| digest != total) {
            let (ahead, all) = wanted.turn;
            let wave = ahead * SWAP_WAVES / all.max(1);
            let wave = u32::try_from(wave).unwrap_or_default();
            let pause = MIN_WAVE.max(self.load_time * 2) * wave;
            let start = if self.serving.is_some() {
                now + pause
            } else {
                now
            };
            self.turn = Some((total, start));
        }
        self.turn.is_some_and(|(_, start)| now >= start)
    }

    async fn swap(&mut self, manifest: &WeightManifest) {
        let name = &self.shared.settings.upstream.name;
        let config = self.shared.context.config.borrow().clone();
        let spec = config.upstreams.get(name);
        let engine_checks = spec.is_some_and(|spec| spec.checks_order_numbers);
        if let Err(err) = self.fence.permit(engine_checks).await {
            log::debug!(upstream = name; "no order is permitted: {err}");
            return;
        }
        self.previous.clone_from(&self.serving);
        self.close(GateStage::Draining);
        self.shared.gate.drained().await;
        self.shared
            .gate
            .update(|gate| gate.set_stage(GateStage::Loading));
        let Ok(permit) = self.fence.permit(engine_checks).await else {
            return;
        };
        let started = Instant::now();
        let bound = FenceHolder::<Source>::order_bound();
        let loaded = self.client.load(manifest, permit.number, bound).await;
        let in_lease = permit.outcome_at(Instant::now()) == OrderOutcome::InLease;
        let state = self.client.state().await;
        let digest = state.ok().as_ref().and_then(parse_digest);
        if let Err(err) = &loaded {
            log::warn!(upstream = self.shared.settings.upstream.name; "engine did not load: {err}");
        }
        let verified = digest == Some(manifest.total_digest);
        self.outputs.metrics.load(match &loaded {
            Ok(()) if verified => LoadEnd::Loaded,
            Ok(()) => LoadEnd::WrongDigest,
            Err(_) => LoadEnd::Failed,
        });
        if loaded.is_ok() && in_lease && verified {
            self.load_time = started.elapsed();
            self.previous = None;
            self.open(manifest);
            return;
        }
        self.turn = Some((manifest.total_digest, Instant::now() + RETRY));
    }

    fn open(&mut self, manifest: &WeightManifest) {
        self.serve(ServedWeights {
            model: manifest.model.clone(),
            version: manifest.version.clone(),
            digest: manifest.total_digest,
        });
    }

    fn serve(&mut self, weights: ServedWeights) {
        let (model, version) = (weights.model.clone(), weights.version.clone());
        log::info!(model, version; "serving");
        self.outputs.served.send_replace(Some(weights.digest));
        self.serving = Some(weights.clone());
        self.shared.gate.update(|gate| gate.serve(Some(weights)));
    }

    fn close(&mut self, stage: GateStage) {
        if self.serving.take().is_none() && self.shared.gate.read(UpstreamGate::stage) == stage {
            return;
        }
        self.outputs.served.send_replace(None);
        self.shared.gate.update(|gate| gate.set_stage(stage));
    }

    /// Shows how far the weights are, unless others are served meanwhile.
    fn show_stage(&self, stage: GateStage) {
        let current = self.shared.gate.read(UpstreamGate::stage);
        if self.serving.is_none() && current != stage {
            self.shared.gate.update(|gate| gate.set_stage(stage));
        }
    }

    fn is_serving(&self, digest: ContentDigest) -> bool {
        let serving = self.serving.as_ref();
        serving.is_some_and(|weights| weights.digest == digest)
    }
}

fn parse_digest(state: &EngineState) -> Option<ContentDigest> {
    ContentDigest::from_hex(state.digest.as_deref()?)
}
