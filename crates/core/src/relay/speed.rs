//! How fast an upstream works, from what it reports and from the times of this entry's own answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest factor; upstreams that are slower are avoided as far as can be.
const MAX_RATIO: f64 = 8.0;
/// Figure from which a report counts as faulty.
const MAX_CREDIBLE_RATIO: f64 = 1_000.0;
/// Thousandths of the factor 1.
const UNIT: f64 = 1_000.0;
/// Age up to which the pace from an agent's report counts in full; reports that are sent to all entries
/// come each second at the latest.
const PACE_TTL: Duration = Duration::from_millis(800);
/// Time in which an older pace comes half as close to 1.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);
/// Time in which a figure from an answer comes half as close to 1. It changes many times a second, and
/// after a second a thirtieth of it is left.
const FIGURE_HALF_LIFE: Duration = Duration::from_millis(200);
/// Time after which a new figure has half of the weight.
const FIGURE_SMOOTHING: Duration = Duration::from_millis(100);
/// Smallest weight of a new figure.
const MIN_FIGURE_WEIGHT: f64 = 0.25;
/// Number of latest first events of which the fastest tells the speed: a queue that the entry did not know
/// of delays some of them, a slow upstream all.
const SAMPLES: usize = 3;
/// Time without a first event after which earlier ones are forgotten.
const SAMPLE_TTL: Duration = Duration::from_secs(30);
/// Time without a first event in which the measured factor comes half as close to 1.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Ratio of measured to expected time below which an upstream counts as usual: the expected time is only
/// an estimate.
const MIN_SLOW_RATIO: f64 = 1.5;
/// Largest measured factor; a longer delay has other causes too.
const MAX_MEASURED_RATIO: f64 = 4.0;
/// Time added to the expected time to the first event for connection and transfer.
const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(20);

key_type! {
    /// Time that work takes at an upstream as a multiple of the usual time, in thousandths.
    pub struct SpeedFactor(u32);
}

impl SpeedFactor {
    /// The usual speed.
    pub const USUAL: Self = Self(1_000);

    /// The factor for a ratio, within 1 to 8. None if the ratio is not finite, not positive, or so large
    /// that it must be a fault.
    #[must_use]
    pub fn from_ratio(ratio: f64) -> Option<Self> {
        if !(ratio > 0.0 && ratio <= MAX_CREDIBLE_RATIO) {
            return None;
        }
        let thousandths = ratio.clamp(1.0, MAX_RATIO) * UNIT;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(Self(thousandths.round() as u32))
    }

    /// The factor for a number of thousandths, as [`Self::from_ratio`].
    #[must_use]
    pub fn from_thousandths(thousandths: u32) -> Option<Self> {
        Self::from_ratio(f64::from(thousandths) / UNIT)
    }

    /// The factor in thousandths.
    #[must_use]
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// The factor as a ratio.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / UNIT
    }

    /// The time that work takes which usually takes `time`.
    #[must_use]
    pub fn scale(self, time: Duration) -> Duration {
        if self == Self::USUAL {
            return time;
        }
        let scaled = time.as_secs_f64() * self.ratio();
        Duration::try_from_secs_f64(scaled).unwrap_or(Duration::MAX)
    }

    /// The factor that is left of this one after `age`.
    fn decayed(self, age: Duration, half_life: Duration) -> Self {
        let excess = (self.ratio() - 1.0) * weight_left(age, half_life);
        Self::from_ratio(1.0 + excess).unwrap_or(Self::USUAL)
    }
}

/// Part of a value that is left after `age`.
fn weight_left(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// What an entry knows of the speed of one life of an upstream.
#[derive(Debug, Default)]
pub struct UpstreamSpeed {
    /// Latest pace from the agent's reports.
    pace: Option<(SpeedFactor, Instant)>,
    /// Smoothed figure from answers.
    figure: Option<(SpeedFactor, Instant)>,
    /// Latest ratios of measured to expected time to the first event.
    samples: VecDeque<f64>,
    /// Time of the latest sample.
    sampled_at: Option<Instant>,
}

impl UpstreamSpeed {
    /// Records the pace from a report.
    pub fn record_pace(&mut self, pace: SpeedFactor, now: Instant) {
        self.pace = Some((pace, now));
    }

    /// Records the figure from an answer.
    pub fn record_figure(&mut self, figure: SpeedFactor, now: Instant) {
        let mut ratio = figure.ratio();
        if let Some((_, at)) = self.figure {
            let gap = now.saturating_duration_since(at);
            let weight = (1.0 - weight_left(gap, FIGURE_SMOOTHING)).max(MIN_FIGURE_WEIGHT);
            let known = self.figure(now).ratio();
            ratio = known + (ratio - known) * weight;
        }
        let smoothed = SpeedFactor::from_ratio(ratio).unwrap_or(SpeedFactor::USUAL);
        self.figure = Some((smoothed, now));
    }

    /// Records that the first event came after `measured` instead of `expected`, the time at the usual
    /// speed.
    pub fn record_first_event(&mut self, measured: Duration, expected: Duration, now: Instant) {
        let is_forgotten = |at: Instant| now.saturating_duration_since(at) >= SAMPLE_TTL;
        if self.sampled_at.is_some_and(is_forgotten) {
            self.samples.clear();
        }
        let usual = expected.saturating_add(TRANSFER_ALLOWANCE);
        self.samples
            .push_back(measured.as_secs_f64() / usual.as_secs_f64());
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
        self.sampled_at = Some(now);
    }

    /// Factor that the upstream and its agent stated; none if they stated nothing.
    #[must_use]
    pub fn stated(&self, now: Instant) -> Option<SpeedFactor> {
        let pace = self.pace.map(|(pace, at)| {
            let age = now.saturating_duration_since(at);
            pace.decayed(age.saturating_sub(PACE_TTL), PACE_HALF_LIFE)
        });
        let figure = self.figure.map(|_| self.figure(now));
        pace.max(figure)
    }

    /// The larger of the stated factor and the measured one. The measured one decays, so that an upstream
    /// which has recovered gets requests again; while `is_probed`, that is while a request waits for its
    /// first event, it does not, so that further requests wait for the result.
    #[must_use]
    pub fn factor(&self, is_probed: bool, now: Instant) -> SpeedFactor {
        let stated = self.stated(now).unwrap_or(SpeedFactor::USUAL);
        let (Some(measured), Some(at)) = (self.measured(), self.sampled_at) else {
            return stated;
        };
        let age = now.saturating_duration_since(at);
        if age >= SAMPLE_TTL {
            return stated;
        }
        let age = if is_probed { Duration::ZERO } else { age };
        stated.max(measured.decayed(age, SAMPLE_HALF_LIFE))
    }

    fn figure(&self, now: Instant) -> SpeedFactor {
        let Some((figure, at)) = self.figure else {
            return SpeedFactor::USUAL;
        };
        figure.decayed(now.saturating_duration_since(at), FIGURE_HALF_LIFE)
    }

    /// Factor that the latest samples show without decay; none while there are too few of them or the
    /// upstream is not slow.
    fn measured(&self) -> Option<SpeedFactor> {
        if self.samples.len() < SAMPLES {
            return None;
        }
        let least = self.samples.iter().copied().fold(f64::INFINITY, f64::min);
        if least < MIN_SLOW_RATIO {
            return None;
        }
        SpeedFactor::from_ratio(least.min(MAX_MEASURED_RATIO))
    }
}
