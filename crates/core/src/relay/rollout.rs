//! When an agent swaps the weights of its engine.

use std::time::Duration;

use crate::rank;

/// Waves in which the engines of a region change their weights.
pub const WAVES: u32 = 3;
/// Time between two waves: streams end within it, and the engine loads.
pub const WAVE_GAP: Duration = Duration::from_millis(1_100);

/// Wait before an engine that serves older weights is ordered to load the new ones, counted from
/// the moment its agent holds them. An engine that serves nothing loads at once.
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
    WAVE_GAP * u32::try_from(wave).unwrap_or(0).min(WAVES - 1)
}
