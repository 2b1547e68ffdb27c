//! Swaps the weights of an engine for the version that operators announced.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::ServiceId;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::load_order::{
    LoadEvidence, LoadOrder, OrderCount, OrderStatus, StageCheck,
};
use agatepin_core::relay::rollout::{self, RolloutWindow};
use bytes::Bytes;
use eyre::{Result, bail, eyre};
use tokio::time::sleep;

use crate::loader::boot_clock::boot_time;
use crate::loader::cache::VersionPieces;
use crate::loader::monitor::EngineMonitor;
use crate::loader::pieces::PieceFetcher;
use crate::loader::stage::StageGuard;
use crate::loader::view::LoadPlan;
use crate::relay::ports::{EnginePort, OrderOutcome};

/// Interval at which the engine's version and state are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed swap. Also the time that an engine has to start an ordered load: after it,
/// an engine that is not busy counts as having ended the load.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Number of further checks of the stage where one took too long or failed.
const MAX_REPEATED_CHECKS: usize = 3;
/// Maximum time from the engine's acceptance of a load order to the end of the load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a swap is in progress: true from before the drain of the engine until the swap has
/// succeeded or failed, and longer if it loaded doubtful weights. Meanwhile the engine is reported as
/// busy, so that entries send it no requests.
pub type SwapFlag = Rc<Cell<bool>>;

/// Version of an outstanding load order whose pieces are not known to be valid; none if there is no such
/// order. If the engine holds that version, it is reported as busy.
pub type UnverifiedVersion = Rc<Cell<Option<WeightsVersion>>>;

/// Records a version as unverified until it is dropped.
struct UnverifiedGuard<'swap>(&'swap UnverifiedVersion);

impl<'swap> UnverifiedGuard<'swap> {
    fn new(unverified: &'swap UnverifiedVersion, version: WeightsVersion) -> Self {
        unverified.set(Some(version));
        Self(unverified)
    }
}

impl Drop for UnverifiedGuard<'_> {
    fn drop(&mut self) {
        self.0.set(None);
    }
}

/// Swaps the weights of one engine.
pub struct WeightSwapper<Engine> {
    /// Source of the pieces, of the plan (which version to load) and of the stage's writer.
    pub fetcher: PieceFetcher<Engine>,
    /// Latest state of the engine.
    pub monitor: EngineMonitor,
    /// Service of the engine, which decides its model.
    pub service: ServiceId,
    /// True from before the drain of the engine until the swap has succeeded or failed, and while the
    /// engine holds doubtful weights.
    pub swapping: SwapFlag,
    /// Version that the engine has been ordered to load and may load unnoticed.
    pub unverified: UnverifiedVersion,
    /// Version whose pieces may have been corrupt when an engine loaded them, and the start of that
    /// engine.
    pub doubtful: Cell<Option<(WeightsVersion, u64)>>,
    /// Version that the engine serves while newer weights wait for its turn to load them, and since when
    /// they wait. Still newer weights don't postpone the turn.
    pub waiting: Cell<Option<(WeightsVersion, Instant)>>,
}

impl<Engine> WeightSwapper<Engine>
where
    Engine: EnginePort,
{
    /// Has the engine load the newest version of which all pieces are cached, each time that there
    /// is a newer one, until the task is dropped.
    pub async fn run(self) {
        if !self.fetcher.first_start {
            self.finish_earlier_load().await;
        }
        self.fetcher.writer.permit_prestaging();
        loop {
            sleep(POLL_INTERVAL).await;
            let plan = self.fetcher.view.borrow().plan(&self.service);
            let Some(mut plan) = plan else {
                continue;
            };
            let Some(complete) = self.fetcher.cache.newest_complete_version() else {
                continue;
            };
            plan.version = plan.version.min(complete);
            if self.monitor.state().is_none() || self.has_loaded(plan.version) {
                continue;
            }
            if !self.is_turn(&plan) {
                continue;
            }
            if let Err(err) = self.swap_to(&plan).await {
                // The swap failed for the reason `err` and is tried again after the pause.
                log::warn!(version = plan.version, err:%; "weights not loaded yet");
                sleep(FAILURE_PAUSE).await;
            }
            self.swapping.set(self.has_doubtful_weights());
        }
    }

    /// Whether the engine holds, or is loading, weights whose pieces may have been corrupt. They serve no
    /// requests; the engine does not load the same version once more.
    fn has_doubtful_weights(&self) -> bool {
        let Some((version, born)) = self.doubtful.get() else {
            return false;
        };
        let state = self.monitor.state();
        state.is_none_or(|state| {
            let loaded = state.report.weights;
            state.born == born && loaded.is_none_or(|loaded| loaded <= version)
        })
    }

    /// Loads the version that is staged completely although the engine has an older one: an earlier
    /// process of this agent may have ordered that load, and the engine may still accept the order.
    /// The stage can take pieces of a newer version only after that, or once the engine can't accept the
    /// order any more.
    async fn finish_earlier_load(&self) {
        let (plan, state, staged) = loop {
            let plan = self.fetcher.view.borrow().plan(&self.service);
            if let (Some(plan), Some(state)) = (plan, self.monitor.state()) {
                let loaded = state.report.weights;
                match self.fetcher.staged_version(&plan, loaded).await {
                    Ok(staged) => break (plan, state, staged),
                    Err(err) => log::warn!(err:?; "cannot read the engine's stage"),
                }
            }
            sleep(POLL_INTERVAL).await;
        };
        let Some(version) = staged else {
            return;
        };
        // Newer versions are fetched while this one waits for the engine's turn.
        let _pin = self.fetcher.cache.pin(version);
        let plan = LoadPlan { version, ..plan };
        // The stage holds `version`, which an earlier process may have ordered.
        log::info!(version, loaded:? = state.report.weights; "finishing an earlier load");
        while !self.has_loaded(version) {
            if !self.may_accept(state.order_count()) {
                log::info!(version; "earlier load can't be ordered any more");
                return;
            }
            if !self.has_pieces(&plan).await {
                log::warn!(version; "earlier load given up: some pieces cannot be fetched");
                return;
            }
            if !self.is_turn(&plan) {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            if let Err(err) = self.swap_to(&plan).await {
                log::warn!(version, err:%; "weights not loaded yet");
                sleep(FAILURE_PAUSE).await;
            }
            self.swapping.set(self.has_doubtful_weights());
        }
    }

    /// Whether the engine may still accept an order that was given when its orders had this `count`.
    fn may_accept(&self, count: OrderCount) -> bool {
        let state = self.monitor.state();
        state.is_none_or(|state| count.status(state.order_count()) == OrderStatus::Pending)
    }

    /// Whether all pieces of the version of `plan` are cached, if need be after a fetch of limited time.
    async fn has_pieces(&self, plan: &LoadPlan) -> bool {
        self.fetcher.cache.is_complete(plan.version) || self.fetcher.fetch_in_time(plan).await
    }

    /// Whether the engine has loaded `version` or a newer one.
    fn has_loaded(&self, version: WeightsVersion) -> bool {
        let Some(state) = self.monitor.state() else {
            return false;
        };
        let loaded = state.report.weights;
        loaded.is_some_and(|loaded| loaded >= version)
    }

    /// Loads `plan.version` into the engine: stages the pieces, drains the engine, orders the load and
    /// waits for its end.
    async fn swap_to(&self, plan: &LoadPlan) -> Result<()> {
        let state = self
            .monitor
            .state()
            .ok_or_else(|| eyre!("the engine does not respond"))?;
        if state.report.busy {
            return Err(eyre!("the engine is executing another order"));
        }
        let pieces = self.pieces(plan)?;
        let guard = self.fetcher.writer.lock().await;
        self.check(plan, &pieces, &guard).await?;
        self.swapping.set(true);
        // Staged pieces may have become corrupt since they were staged.
        let ((), check) = tokio::join!(self.await_drain(plan), self.check(plan, &pieces, &guard));
        let mut check = check?;
        for _ in 0..MAX_REPEATED_CHECKS {
            if check.is_recent(boot_time()) {
                break;
            }
            check = self.check(plan, &pieces, &guard).await?;
        }
        let _unverified = UnverifiedGuard::new(&self.unverified, plan.version);
        let order = self.order(plan, &pieces, &guard, check).await?;
        self.swapping.set(true);
        let evidence = self.evidence(plan, &pieces, &guard, &order).await;
        drop(guard);
        let is_doubtful = evidence == LoadEvidence::Doubtful;
        if is_doubtful {
            log::warn!(version = plan.version; "pieces may have been corrupt when they were loaded");
        }
        let doubtful = is_doubtful.then_some((plan.version, order.born()));
        self.doubtful.set(doubtful);
        self.await_load(plan.version).await
    }

    /// Orders the load of the staged pieces, which were checked with the result `check`. Returns once
    /// the engine has accepted the order, and fails once it is certain that the engine does not execute
    /// it: the stage must have no pieces of another version as long as the engine may accept the
    /// order, however late.
    async fn order(
        &self,
        plan: &LoadPlan,
        pieces: &[Bytes],
        guard: &StageGuard<'_>,
        check: StageCheck,
    ) -> Result<LoadOrder> {
        let state = self
            .monitor
            .state()
            .ok_or_else(|| eyre!("the engine does not respond"))?;
        let mut order = LoadOrder::new(state.order_count(), check);
        match self.attempt(plan, &order).await {
            OrderOutcome::Begun | OrderOutcome::InEffect => return Ok(order),
            OrderOutcome::Refused(status) => bail!("the engine refused the load order: {status}"),
            OrderOutcome::Unknown(_) => {}
        }
        loop {
            sleep(POLL_INTERVAL).await;
            let Ok(state) = self.fetcher.engine.state().await else {
                continue;
            };
            match order.record_count(state.order_count()) {
                OrderStatus::Accepted => return Ok(order),
                OrderStatus::Void => bail!("the engine was started again after the load order"),
                OrderStatus::Pending => {}
            }
            let Ok(check) = self.check(plan, pieces, guard).await else {
                // Some pieces may have been written.
                order.record_repair();
                continue;
            };
            order.record_check(check);
            match self.attempt(plan, &order).await {
                OrderOutcome::Begun => {
                    order.record_not_accepted();
                    return Ok(order);
                }
                OrderOutcome::InEffect => return Ok(order),
                // The engine may still accept an earlier attempt, but serves what it has until then.
                OrderOutcome::Refused(_) => self.swapping.set(false),
                OrderOutcome::Unknown(_) => {}
            }
        }
    }

    /// Whether the pieces of a load that the engine has accepted by `order` were valid. Reads them again
    /// if their last check may be too old.
    async fn evidence(
        &self,
        plan: &LoadPlan,
        pieces: &[Bytes],
        guard: &StageGuard<'_>,
        order: &LoadOrder,
    ) -> LoadEvidence {
        let writer = &self.fetcher.writer;
        let evidence = order.evidence(boot_time(), writer.has_unconfirmed_writes());
        if evidence != LoadEvidence::ValidIfStillStaged {
            return evidence;
        }
        for _ in 0..MAX_REPEATED_CHECKS {
            match writer.different(guard, &plan.model, pieces).await {
                Ok(different) if different.is_empty() => return LoadEvidence::Valid,
                Ok(_) => return LoadEvidence::Doubtful,
                Err(err) => log::info!(err:?; "cannot read the engine's stage"),
            }
            sleep(POLL_INTERVAL).await;
        }
        LoadEvidence::Doubtful
    }

    /// Gives the engine a load order once.
    async fn attempt(&self, plan: &LoadPlan, order: &LoadOrder) -> OrderOutcome {
        let (model, version, orders) = (&plan.model, plan.version, order.orders());
        let outcome = self.fetcher.engine.load(model, version, orders).await;
        // Records the engine's answer to the load order, or why there is none (`outcome`). `orders` is
        // the number of orders that the engine had accepted before.
        log::info!(model, version, orders, outcome:?; "load ordered");
        outcome
    }

    /// Waits until the engine runs and queues no requests, at least for
    /// [`rollout::REPORT_PROPAGATION_TIME`], or until the time for that ends: then the load breaks off
    /// the remaining streams, which resume at other engines.
    async fn await_drain(&self, plan: &LoadPlan) {
        let started = Instant::now();
        loop {
            let report = self.monitor.state().map(|state| state.report);
            let (active, queued) = report.map_or((0, 0), |report| (report.active, report.queued));
            let end = self.drain_end(plan, started, active, queued);
            let is_idle = active + queued == 0;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || is_idle && started.elapsed() >= rollout::REPORT_PROPAGATION_TIME {
                let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                // How long the drain took, and the requests that the load breaks off.
                log::info!(version = plan.version, ms, active, queued; "engine drained");
                return;
            }
            sleep(left.min(POLL_INTERVAL)).await;
        }
    }

    /// Latest end of a drain that began at `started`, beside the requests that are left now.
    fn drain_end(&self, plan: &LoadPlan, started: Instant, active: u32, queued: u32) -> Instant {
        let work = rollout::drain_work(&plan.engine, active, queued);
        if let Some(window) = self.rollout_window(plan) {
            return window.drain_end(started, work);
        }
        let longest = work.unwrap_or(rollout::DRAIN_TIME).min(rollout::DRAIN_TIME);
        started + longest.max(rollout::REPORT_PROPAGATION_TIME)
    }

    /// Whether the engine may load the version of `plan` now. The engines of a region load in turn, but
    /// one that serves nothing loads at once.
    fn is_turn(&self, plan: &LoadPlan) -> bool {
        let Some(window) = self.rollout_window(plan) else {
            return true;
        };
        let now = Instant::now();
        let names = self
            .fetcher
            .view
            .borrow_mut()
            .rollout_names(&self.fetcher.own, now);
        now >= window.turn(&self.fetcher.own.overlay.to_string(), &names)
    }

    /// Time in which the engines of the region load newer weights than this engine serves; none if it
    /// serves nothing, or nothing newer is announced. The window begins with the first call.
    fn rollout_window(&self, plan: &LoadPlan) -> Option<RolloutWindow> {
        if self.has_doubtful_weights() {
            return None;
        }
        let held = self.monitor.state()?.report.weights?;
        let cutover = self.fetcher.view.borrow().cutover_of(&plan.model, held)?;
        let waiting = self.waiting.get().filter(|(version, _)| *version == held);
        let (_, ready_at) = waiting.unwrap_or_else(|| {
            let ms = cutover.saturating_duration_since(Instant::now());
            let ms = u64::try_from(ms.as_millis()).unwrap_or(u64::MAX);
            // Logged once for each version that is to be replaced; `ms` is the time until its cutover.
            log::info!(held, version = plan.version, ms; "weights wait for the engine's turn");
            (held, Instant::now())
        });
        self.waiting.set(Some((held, ready_at)));
        Some(RolloutWindow { ready_at, cutover })
    }

    /// The pieces of the version of `plan`.
    fn pieces(&self, plan: &LoadPlan) -> Result<Vec<Bytes>> {
        let find = |cached: &mut VersionPieces| {
            let pieces = 0..plan.engine.pieces;
            pieces
                .map(|piece| cached.pieces.get(&piece).cloned())
                .collect()
        };
        let pieces: Option<Vec<Bytes>> = self.fetcher.cache.with(plan.version, find);
        pieces.ok_or_else(|| eyre!("some pieces are not cached any more"))
    }

    /// Checks that the stage has `pieces`, and writes those that are missing or differ there.
    async fn check(
        &self,
        plan: &LoadPlan,
        pieces: &[Bytes],
        guard: &StageGuard<'_>,
    ) -> Result<StageCheck> {
        let checked = self.fetcher.writer.check(guard, &plan.model, pieces).await;
        checked.map_err(|err| eyre!("cannot stage the pieces: {err:?}"))
    }

    /// Waits until the engine has loaded `version`, at most [`LOAD_TIMEOUT`]. Fails early if the
    /// engine is not busy and has not loaded it.
    async fn await_load(&self, version: WeightsVersion) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < LOAD_TIMEOUT {
            sleep(POLL_INTERVAL).await;
            if self.has_loaded(version) {
                let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                log::info!(version, ms; "weights loaded");
                return Ok(());
            }
            let idle = self.monitor.state().is_some_and(|state| !state.report.busy);
            if idle && started.elapsed() > FAILURE_PAUSE {
                return Err(eyre!(
                    "the engine is not busy but has not loaded the ordered version {version}"
                ));
            }
        }
        Err(eyre!(
            "the engine did not load the weights within {LOAD_TIMEOUT:?}"
        ))
    }
}
