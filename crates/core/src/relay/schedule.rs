//! Deadlines for the switch to a version of the weights that operators announced.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::relay::catalog::WeightsVersion;

/// Time after the announcement of a version from which no request is sent to an older one. The
/// platform allows 8 s; the margin covers propagation of the announcement and requests that are
/// queued at an engine.
pub const CUTOVER_DELAY: Duration = Duration::from_millis(6_800);
/// Time after the announcement of a version from which no request may start on an older one. The
/// platform allows 8 s; the margin covers propagation of the announcement and of a cancellation.
pub const DEADLINE_DELAY: Duration = Duration::from_millis(7_700);
/// Maximum number of versions that are kept; the deadlines that older versions set passed long ago.
const MAX_VERSIONS: usize = 8;

/// Announced versions of one model's weights, with the times of their announcements. Each version
/// sets a deadline for all older ones; the announcement of a newer version does not postpone it.
#[derive(Clone, Debug, Default)]
pub struct WeightsSchedule {
    /// Time of the announcement, by announced version.
    announcements: BTreeMap<WeightsVersion, Instant>,
}

impl WeightsSchedule {
    /// Records that `version` was announced `age` ago. If its announcement is reported several
    /// times, the earliest time counts. Returns whether the version was unknown.
    pub fn announce(&mut self, version: WeightsVersion, age: Duration, now: Instant) -> bool {
        let announced_at = now.checked_sub(age).unwrap_or(now);
        let known = self.announcements.get_mut(&version);
        if let Some(known) = known {
            *known = announced_at.min(*known);
            return false;
        }
        self.announcements.insert(version, announced_at);
        if self.announcements.len() > MAX_VERSIONS {
            self.announcements.pop_first();
        }
        true
    }

    /// Oldest version to which requests may be sent now; `None` while they may be sent to any
    /// version.
    #[must_use]
    pub fn required(&self, now: Instant) -> Option<WeightsVersion> {
        let is_due =
            |announced_at: &Instant| now.saturating_duration_since(*announced_at) >= CUTOVER_DELAY;
        let mut versions = self.announcements.iter().rev();
        versions
            .find(|(_, announced_at)| is_due(announced_at))
            .map(|(version, _)| *version)
    }

    /// Time from which no request may start at an engine that holds the version `held`; `None` if
    /// no newer version is announced.
    #[must_use]
    pub fn deadline_of(&self, held: WeightsVersion) -> Option<Instant> {
        let newer = self.announcements.range(held.saturating_add(1)..);
        let newer = newer.filter(|(version, _)| **version > held);
        newer
            .map(|(_, announced_at)| *announced_at + DEADLINE_DELAY)
            .min()
    }

    /// Newest version that is announced, if any.
    #[must_use]
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.announcements.keys().next_back().copied()
    }

    /// Versions with the time since their announcement, oldest version first.
    pub fn announced(&self, now: Instant) -> impl Iterator<Item = (WeightsVersion, Duration)> {
        let all = self.announcements.iter();
        all.map(move |(version, announced_at)| {
            (*version, now.saturating_duration_since(*announced_at))
        })
    }
}
