//! Rollout of new weights to the engines of a region, in waves.

use std::time::Duration;

use crate::rank;

/// Number of waves in which the engines of a region load new weights.
pub const WAVES: u32 = 3;
/// Time between two waves, in which streams end and the engines of a wave load.
pub const WAVE_INTERVAL: Duration = Duration::from_millis(1_100);

/// Delay before an engine that serves older weights is ordered to load new ones, from the time at
/// which its agent holds them. It depends only on the names, so each agent computes its own wave
/// without coordination. An engine that serves nothing should load at once, without this delay.
#[must_use]
pub fn wave_delay<Name>(engine: &str, region_engines: &[Name]) -> Duration
where
    Name: AsRef<str>,
{
    let own = rank::seed(engine.as_bytes());
    let ahead = region_engines
        .iter()
        .filter(|name| rank::seed(name.as_ref().as_bytes()) > own)
        .count();
    let total = region_engines.len().max(1);
    let wave = ahead * WAVES as usize / total;
    WAVE_INTERVAL * u32::try_from(wave).unwrap_or(0).min(WAVES - 1)
}
