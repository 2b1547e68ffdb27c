//! Brings an engine to the version that operators named.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::ServiceId;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::rollout;
use eyre::{Result, eyre};
use tokio::time::sleep;

use crate::loader::beat::EngineBeat;
use crate::loader::pieces::PieceFetcher;
use crate::loader::stage::StageClaim;
use crate::loader::vault::PieceSet;
use crate::loader::view::LoadPlan;
use crate::relay::ports::EnginePort;

/// Pause between two looks at what the engine holds.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a step that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Time for which the requests of an engine may go on before it changes its weights: about the
/// usual length of a stream.
const DRAIN_TIME: Duration = Duration::from_millis(900);
/// Time after which the entries know that the engine takes no new requests.
const NEWS_TIME: Duration = Duration::from_millis(120);
/// Time in which a load must be done after the engine has taken the order and is free.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Tells the entries that the engine is about to change its weights.
pub type SwapFlag = Rc<Cell<bool>>;

/// Swaps the weights of one engine.
pub struct WeightSwapper<Engine> {
    /// Fetches pieces.
    pub fetcher: PieceFetcher<Engine>,
    /// State of the engine.
    pub beat: EngineBeat,
    /// Service of the engine.
    pub service: ServiceId,
    /// Set while an order is given.
    pub swapping: SwapFlag,
}

impl<Engine> WeightSwapper<Engine>
where
    Engine: EnginePort,
{
    /// Keeps the engine at the newest version that is here completely, for good.
    pub async fn run(self) {
        loop {
            sleep(LOOK_INTERVAL).await;
            let plan = self.fetcher.view.borrow().plan(&self.service);
            let Some(mut plan) = plan else {
                continue;
            };
            let Some(complete) = self.fetcher.vault.newest_complete() else {
                continue;
            };
            plan.version = plan.version.min(complete);
            if self.beat.state().is_none() || self.holds(plan.version) {
                continue;
            }
            if let Err(err) = self.bring(&plan).await {
                log::warn!(version = plan.version, err:%; "weights not loaded yet");
                sleep(FAILURE_PAUSE).await;
            }
            self.swapping.set(false);
        }
    }

    fn holds(&self, version: WeightsVersion) -> bool {
        let Some(state) = self.beat.state() else {
            return false;
        };
        state.report.weights.is_some_and(|held| held >= version)
    }

    async fn bring(&self, plan: &LoadPlan) -> Result<()> {
        let state = self
            .beat
            .state()
            .ok_or_else(|| eyre!("the engine does not answer"))?;
        if state.report.busy {
            return Err(eyre!("the engine is busy with an order"));
        }
        if let Some(held) = state.report.weights {
            self.await_turn(plan, held).await;
        }
        let claim = self.fetcher.stage.claim().await;
        self.stage(plan, &claim).await?;
        self.swapping.set(true);
        self.drain().await;
        // Pieces may have spoilt in the stage meanwhile.
        self.stage(plan, &claim).await?;
        let state = self
            .beat
            .state()
            .ok_or_else(|| eyre!("the engine does not answer"))?;
        let (model, version) = (&plan.model, plan.version);
        let ordered = self.fetcher.engine.load(model, version, state.orders).await;
        log::info!(model, version, orders = state.orders, ordered:?; "load ordered");
        ordered.map_err(|err| eyre!("the order was not taken: {err:?}"))?;
        self.await_load(version).await
    }

    /// Waits until the engine's requests have ended, but not for the longest streams: those go on
    /// at other engines.
    async fn drain(&self) {
        let started = Instant::now();
        while started.elapsed() < DRAIN_TIME {
            let idle = self
                .beat
                .state()
                .is_none_or(|state| state.report.active + state.report.queued == 0);
            if idle && started.elapsed() >= NEWS_TIME {
                return;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits for the engine's turn, but not once what it holds may no longer serve.
    async fn await_turn(&self, plan: &LoadPlan, held: WeightsVersion) {
        let started = Instant::now();
        let delay = self.wave_delay();
        while started.elapsed() < delay {
            let required = self
                .fetcher
                .view
                .borrow()
                .required(&plan.model, Instant::now());
            if required.is_some_and(|required| held < required) {
                return;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn wave_delay(&self) -> Duration {
        let mut view = self.fetcher.view.borrow_mut();
        let agents = view.agents(Instant::now());
        let region = &self.fetcher.own.region;
        let near = agents.iter().filter(|agent| agent.region == *region);
        let names: Vec<String> = near.map(|agent| agent.overlay.to_string()).collect();
        rollout::wave_delay(&self.fetcher.own.overlay.to_string(), &names)
    }

    /// Stages the pieces that are not staged as they should be.
    async fn stage(&self, plan: &LoadPlan, claim: &StageClaim<'_>) -> Result<()> {
        let fetcher = &self.fetcher;
        for piece in 0..plan.engine.pieces {
            let find = |set: &mut PieceSet| set.pieces.get(&piece).cloned();
            let wanted = fetcher.vault.with(plan.version, find);
            let wanted = wanted.ok_or_else(|| eyre!("piece {piece} is missing"))?;
            let staged = fetcher
                .stage
                .restage(claim, &plan.model, piece, wanted)
                .await;
            staged.map_err(|err| eyre!("piece {piece} not staged: {err:?}"))?;
        }
        Ok(())
    }

    async fn await_load(&self, version: WeightsVersion) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < LOAD_TIMEOUT {
            sleep(LOOK_INTERVAL).await;
            if self.holds(version) {
                let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                log::info!(version, ms; "weights loaded");
                return Ok(());
            }
            let idle = self.beat.state().is_some_and(|state| !state.report.busy);
            if idle && started.elapsed() > FAILURE_PAUSE {
                return Err(eyre!("the engine did not load the weights"));
            }
        }
        Err(eyre!("the engine did not load the weights in time"))
    }
}
