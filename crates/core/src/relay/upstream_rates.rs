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

    /// Whether one of `entries` live entries may send a request to the upstream `id`, as far as it is
    /// cold. A cold upstream of its service can handle `cold_per_second` requests a second; 0 stands
    /// for no limit.
    #[must_use]
    pub fn cold_allows(
        &self,
        id: &str,
        state: &UpstreamState,
        cold_per_second: u32,
        entries: usize,
        now: Instant,
    ) -> bool {
        let rate = cold_rate(state, cold_per_second, now);
        rate.is_none_or(|rate| self.cold.wait(id, &rate, entries, now).is_zero())
    }

    /// Time until the limit that the upstream `id` states allows one of `entries` live entries to send
    /// a request; zero if it does now.
    #[must_use]
    pub fn stated_wait(
        &self,
        id: &str,
        state: &UpstreamState,
        entries: usize,
        now: Instant,
    ) -> Duration {
        let rate = stated_rate(state);
        rate.map_or(Duration::ZERO, |rate| {
            self.stated.wait(id, &rate, entries, now)
        })
    }

    /// Counts a request to the upstream `id`; the parameters are those of [`Self::cold_allows`].
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
