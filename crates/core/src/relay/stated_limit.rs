//! Limits that upstreams state: the rate of requests that an upstream takes from all entries together,
//! for as long as its answers say so.

use std::time::Instant;

/// Number of units of [`RequestRate`] in one request a second.
const UNITS_PER_REQUEST: f64 = 1000.0;

key_type! {
    /// Rate of requests, as the number of requests in 1,000 s.
    pub struct RequestRate(pub u32);

    /// What an answer states of the upstream's limit.
    pub enum LimitNotice {
        /// There is no limit.
        Unlimited,
        /// The upstream takes requests at this rate from all entries together.
        Limited(RequestRate),
        /// There may be a limit, but its value is malformed.
        Unreadable,
    }

    /// Effect of an observation on an upstream's known limit.
    pub enum LimitChange {
        /// The known limit, or that there is none, stays as it was.
        Unchanged,
        /// A limit begins.
        Begun,
        /// The limit has another rate.
        Changed,
        /// The limit ends.
        Ended,
    }
}

impl RequestRate {
    /// Rate of `per_second` requests a second, cut at the largest rate; none for a negative number and
    /// for one that is not finite.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        // The cast cuts at the largest number.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let units = (per_second * UNITS_PER_REQUEST).round() as u32;
        Some(Self(units))
    }

    /// Number of requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / UNITS_PER_REQUEST
    }
}

/// Limit of an upstream as far as it is known from answers and from other entries. Observations may
/// arrive in another order than they were made: a limit is in force if it was stated later than the
/// upstream was last known to have none.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLimit {
    /// Rate of the latest statement and the latest time at which it was known to be valid.
    stated: Option<(RequestRate, Instant)>,
    /// Latest time at which the upstream was known to have no limit.
    unlimited_at: Option<Instant>,
    /// When the limit last began or ended.
    changed_at: Option<Instant>,
    /// Whether the latest observation is from an answer to this entry.
    is_first_hand: bool,
    /// Whether an answer stated a malformed limit.
    was_unreadable: bool,
}

impl UpstreamLimit {
    /// Rate in force; none if there is no limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        let (rate, stated_at) = self.stated?;
        let is_lifted = self.unlimited_at.is_some_and(|at| at > stated_at);
        (!is_lifted).then_some(rate)
    }

    /// When the limit last began or ended; none if there was never one.
    #[must_use]
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Records that the upstream had the limit `rate`, or none, at the time `at`: for a limit the
    /// arrival of the answer that states it, else the start of the request whose answer states none.
    /// `is_first_hand` tells whether that answer was to this entry.
    pub fn record(
        &mut self,
        rate: Option<RequestRate>,
        at: Instant,
        is_first_hand: bool,
        now: Instant,
    ) -> LimitChange {
        let before = self.rate();
        let newest = self.newest_observation();
        if newest.is_none_or(|newest| at >= newest) {
            self.is_first_hand = is_first_hand;
        }
        match rate {
            Some(rate) if self.stated.is_none_or(|(_, known)| at >= known) => {
                self.stated = Some((rate, at));
            }
            None if self.unlimited_at.is_none_or(|known| at >= known) => {
                self.unlimited_at = Some(at);
            }
            _ => {}
        }
        match (before, self.rate()) {
            (None, Some(_)) => {
                self.changed_at = Some(now);
                LimitChange::Begun
            }
            (Some(_), None) => {
                self.changed_at = Some(now);
                LimitChange::Ended
            }
            (before, after) if before != after => LimitChange::Changed,
            _ => LimitChange::Unchanged,
        }
    }

    /// Records that an answer stated a malformed limit. Returns true for the first one.
    pub fn record_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.was_unreadable, true)
    }

    /// Rate in force, or none once a limit has ended, and the time of the latest observation, if an
    /// answer to this entry made that. Other observations are not passed on, as their ages would grow
    /// on the way.
    #[must_use]
    pub fn first_hand(&self) -> Option<(Option<RequestRate>, Instant)> {
        self.changed_at?;
        let at = self.newest_observation()?;
        self.is_first_hand.then_some((self.rate(), at))
    }

    fn newest_observation(&self) -> Option<Instant> {
        let stated_at = self.stated.map(|(_, at)| at);
        stated_at.max(self.unlimited_at)
    }
}
