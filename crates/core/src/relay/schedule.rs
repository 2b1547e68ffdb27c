//! When a version of weights that operators named must serve alone.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::relay::catalog::WeightsVersion;

/// Time from the naming of a version after which no older one is asked for. The platform allows
/// 8 s; the rest covers the way of the news and requests that wait at an engine.
pub const CUT_OVER: Duration = Duration::from_millis(6_800);
/// Time from the naming of a version after which no request may begin on an older one. The platform
/// allows 8 s; the rest covers the way of the news and of a cancelled request.
pub const TERM: Duration = Duration::from_millis(7_700);
/// Versions that are remembered; older ones have been due for long.
const MAX_VERSIONS: usize = 8;

/// Versions of one model with the moments at which they were named. Each has its own term: a
/// newer one does not put off the term of an older one.
#[derive(Clone, Debug, Default)]
pub struct WeightsSchedule {
    named: BTreeMap<WeightsVersion, Instant>,
}

impl WeightsSchedule {
    /// Takes that `version` was named `age` ago; the earliest moment that is heard counts. Returns
    /// whether the version was unknown.
    pub fn announce(&mut self, version: WeightsVersion, age: Duration, now: Instant) -> bool {
        let since = now.checked_sub(age).unwrap_or(now);
        let known = self.named.get_mut(&version);
        if let Some(known) = known {
            *known = since.min(*known);
            return false;
        }
        self.named.insert(version, since);
        if self.named.len() > MAX_VERSIONS {
            self.named.pop_first();
        }
        true
    }

    /// Oldest version that may serve now; none while any may.
    #[must_use]
    pub fn required(&self, now: Instant) -> Option<WeightsVersion> {
        let due = |since: &Instant| now.saturating_duration_since(*since) >= CUT_OVER;
        let mut versions = self.named.iter().rev();
        versions
            .find(|(_, since)| due(since))
            .map(|(version, _)| *version)
    }

    /// When no request may begin any more at an engine that holds the version `held`; none while no
    /// newer version is named.
    #[must_use]
    pub fn deadline_of(&self, held: WeightsVersion) -> Option<Instant> {
        let newer = self.named.range(held + 1..);
        newer.map(|(_, since)| *since + TERM).min()
    }

    /// The newest version that is named.
    #[must_use]
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.named.keys().next_back().copied()
    }

    /// Versions with the time since they were named, oldest first.
    pub fn announced(&self, now: Instant) -> impl Iterator<Item = (WeightsVersion, Duration)> {
        let all = self.named.iter();
        all.map(move |(version, since)| (*version, now.saturating_duration_since(*since)))
    }
}
