//! Rates that this entry keeps to at each upstream: that of a cold upstream, and that which the
//! upstream states.

use std::time::{Duration, Instant};

use crate::ids::UpstreamId;
use crate::relay::rate_share::{RateShare, SharedRate};
use crate::relay::upstreams::UpstreamState;

/// This entry's shares of the rates of all upstreams.
#[derive(Debug, Default)]
pub struct UpstreamRates {
    cold: RateShare,
    stated: RateShare,
}

impl UpstreamRates {
    /// Shares of the entry with the number `seed`, which differs between entries.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            cold: RateShare::new(seed),
            stated: RateShare::new(seed),
        }
    }

    /// Time until one of `entries` live entries may send a request to the upstream `id`; zero if it
    /// may now. A cold upstream of its service can handle `cold_per_second` requests a second; 0
    /// stands for no limit.
    #[must_use]
    pub fn wait(
        &self,
        id: &str,
        state: &UpstreamState,
        cold_per_second: u32,
        entries: usize,
        now: Instant,
    ) -> Duration {
        let cold = cold_rate(state, cold_per_second, now);
        let cold = cold.map(|rate| self.cold.wait(id, &rate, entries, now));
        let stated = stated_rate(state);
        let stated = stated.map(|rate| self.stated.wait(id, &rate, entries, now));
        cold.max(stated).unwrap_or_default()
    }

    /// Counts a request to the upstream `id`; the parameters are those of [`Self::wait`].
    pub fn take(
        &mut self,
        id: &UpstreamId,
        state: &UpstreamState,
        cold_per_second: u32,
        entries: usize,
        now: Instant,
    ) {
        if let Some(rate) = cold_rate(state, cold_per_second, now) {
            self.cold.take(id, &rate, entries, now);
        }
        if let Some(rate) = stated_rate(state) {
            self.stated.take(id, &rate, entries, now);
        }
    }

    /// Returns the tokens of a request to the upstream `id` that was counted and is not sent.
    pub fn give_back(&mut self, id: &str) {
        self.cold.give_back(id);
        self.stated.give_back(id);
    }
}

fn cold_rate(state: &UpstreamState, per_second: u32, now: Instant) -> Option<SharedRate> {
    let is_limited = per_second > 0 && state.is_cold(now);
    is_limited.then(|| SharedRate::cold(per_second, state.cold_since()))
}

fn stated_rate(state: &UpstreamState) -> Option<SharedRate> {
    let limit = state.limit();
    Some(SharedRate::stated(limit.rate()?, limit.changed_at()?))
}
