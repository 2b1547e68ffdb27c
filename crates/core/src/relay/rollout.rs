//! Rollout of new weights: when each engine of a region loads them, and how long it is drained before.

use std::time::{Duration, Instant};

use crate::rank;
use crate::relay::catalog::EngineSpec;

/// Time in which the report that an engine is busy reaches the entries, so that they send it no more
/// requests.
pub const REPORT_PROPAGATION_TIME: Duration = Duration::from_millis(120);
/// Time for which an engine is drained where its work is not known: about the usual duration of a stream.
pub const DRAIN_TIME: Duration = Duration::from_millis(900);
/// Time of a swap after the drain: the order, the load, and the polls that notice its end.
pub const LOAD_TIME: Duration = Duration::from_millis(600);
/// A drain is longer than [`DRAIN_TIME`] only as far as at most about one in this many engines of a
/// region is then out of service at a time.
const OUTAGE_DIVISOR: u32 = 3;
/// Shortest time over which the turns of a region are spread. Where the cutover comes earlier, the engines
/// whose turn it has not been load then: squeezed into less time, half of a region is out of service at
/// once while its older weights may still serve.
const MIN_SPREAD: Duration = Duration::from_millis(2_200);
/// Number of waves in which engines load where there is only [`MIN_SPREAD`]. A swap takes longer than the
/// time between two waves, so that even turns would take more than these out of service at a time.
const WAVES: f64 = 3.0;
/// Multiple of the mean answer's duration that a drain allows for. The lengths of answers vary: if they
/// are exponentially distributed, six of seven end within this time.
const ANSWER_MULTIPLE: u32 = 2;

value_type! {
    /// Time in which the engines of a region load newer weights in turn, as one agent sees it.
    #[derive(Copy)]
    pub struct RolloutWindow {
        /// Time from which the agent has all pieces of newer weights than its engine serves.
        pub ready_at: Instant,
        /// Time from which the weights that the engine serves get no more requests.
        pub cutover: Instant,
    }
}

impl RolloutWindow {
    /// Time at which `engine` is to be drained and ordered to load. The engines of a region are spread
    /// evenly over the window, so that a few are out of service at a time and all have finished by its
    /// end. In a short window they load in [`WAVES`], and the rest at the cutover. It
    /// follows from the names and the window only, so that agents need no coordination. `region_engines` has the name of `engine` too. If it is
    /// empty, because nothing is known of the region, the name's hash stands in for its rank.
    #[must_use]
    pub fn turn<Name>(&self, engine: &str, region_engines: &[Name]) -> Instant
    where
        Name: AsRef<str>,
    {
        let spread = self.time().saturating_sub(self.max_drain());
        let position = position(engine, region_engines);
        let delay = if spread < MIN_SPREAD {
            MIN_SPREAD.mul_f64((position * WAVES).floor() / (WAVES - 1.0))
        } else {
            spread.mul_f64(position)
        };
        (self.ready_at + delay).min(self.cutover.max(self.ready_at))
    }

    /// Latest end of a drain that began at `started`, where the engine needs `work` to finish its
    /// requests (none if that is not known). A drain that is longer than the usual one leaves time for the
    /// load before the cutover. A usual one may outlast it: streams that are broken off are prefilled again
    /// elsewhere, where there is least room then.
    #[must_use]
    pub fn drain_end(&self, started: Instant, work: Option<Duration>) -> Instant {
        let longest = work.unwrap_or(DRAIN_TIME).min(self.max_drain());
        let latest = self.cutover.checked_sub(LOAD_TIME).unwrap_or(started);
        let usual = longest.min(DRAIN_TIME).max(REPORT_PROPAGATION_TIME);
        (started + longest).min(latest).max(started + usual)
    }

    /// Time for the drains and turns of all engines.
    fn time(&self) -> Duration {
        let window = self.cutover.saturating_duration_since(self.ready_at);
        window.saturating_sub(LOAD_TIME)
    }

    /// Longest drain of an engine. The engines are spread over the time beside one drain, so that a drain D
    /// uses up what [`OUTAGE_DIVISOR`] allows if (D + load time) * divisor = time - D.
    fn max_drain(&self) -> Duration {
        let spare = self.time().saturating_sub(LOAD_TIME * OUTAGE_DIVISOR);
        DRAIN_TIME.max(spare / (OUTAGE_DIVISOR + 1))
    }
}

/// Position of an engine in the order of its region: at least 0, for the first one, and less than 1.
fn position<Name>(engine: &str, region_engines: &[Name]) -> f64
where
    Name: AsRef<str>,
{
    let own = rank::seed(engine.as_bytes());
    if region_engines.is_empty() {
        let high = u32::try_from(!own >> 32).unwrap_or(u32::MAX);
        return f64::from(high) / (f64::from(u32::MAX) + 1.0);
    }
    let seeds = region_engines
        .iter()
        .map(|name| rank::seed(name.as_ref().as_bytes()));
    let ahead = seeds.filter(|seed| *seed > own).count();
    let total = region_engines.len().max(ahead + 1);
    let [ahead, total] = [ahead, total].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
    f64::from(ahead) / f64::from(total)
}

/// Time that an engine needs to finish its running and queued requests, from the timing in the catalog;
/// none if the catalog does not tell the length of answers. Answers of unusual length take longer.
#[must_use]
pub fn drain_work(engine: &EngineSpec, active: u32, queued: u32) -> Option<Duration> {
    if active.saturating_add(queued) == 0 {
        return Some(Duration::ZERO);
    }
    let tokens = engine.mean_answer_tokens;
    if tokens == 0 {
        return None;
    }
    let timing = &engine.timing;
    let per_request = timing.decode_step_per_request.saturating_mul(active);
    let step = timing.decode_step.saturating_add(per_request);
    let answer = step.saturating_mul(tokens);
    let mut work = answer.saturating_mul(ANSWER_MULTIPLE);
    if queued > 0 {
        // Queued requests begin once running ones have ended.
        work = work.saturating_add(answer);
    }
    Some(work)
}
