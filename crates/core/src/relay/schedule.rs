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

/// What is known of the time at which a version was announced.
#[derive(Clone, Copy, Debug)]
enum AnnouncementTime {
    /// It was announced at this time.
    Known(Instant),
    /// It was announced while nobody who tells of it could see it.
    Unknown {
        /// Latest known time at which it was not announced yet; none if there is no such time.
        after: Option<Instant>,
        /// When this process learned of the announcement.
        learned_at: Instant,
    },
}

impl AnnouncementTime {
    /// Time that counts as that of the announcement: the earliest possible one where it is not known.
    fn earliest(self) -> Instant {
        match self {
            Self::Known(at) => at,
            Self::Unknown { after, learned_at } => {
                let long_ago = learned_at.checked_sub(DEADLINE_DELAY).unwrap_or(learned_at);
                after.map_or(long_ago, |after| after.max(long_ago))
            }
        }
    }
}

/// Announced versions of one model's weights, with the times of their announcements. Each version
/// sets a deadline for all older ones; the announcement of a newer version does not postpone it.
#[derive(Clone, Debug, Default)]
pub struct WeightsSchedule {
    /// Times of the announcements, by announced version.
    announcements: BTreeMap<WeightsVersion, AnnouncementTime>,
}

impl WeightsSchedule {
    /// Records that `version` was announced `age` ago. If its announcement is reported several
    /// times, the earliest time counts. Returns whether the version was unknown.
    pub fn announce(&mut self, version: WeightsVersion, age: Duration, now: Instant) -> bool {
        let announced_at = now.checked_sub(age).unwrap_or(now);
        let known = self.announcements.get(&version).copied();
        let announced_at = match known {
            Some(AnnouncementTime::Known(earlier)) => earlier.min(announced_at),
            _ => announced_at,
        };
        self.insert(version, AnnouncementTime::Known(announced_at));
        known.is_none()
    }

    /// Records that `version` was announced at an unknown time, after `after` if that is given. Does
    /// nothing if the version is known. Returns whether it was unknown.
    pub fn announce_undated(
        &mut self,
        version: WeightsVersion,
        after: Option<Instant>,
        now: Instant,
    ) -> bool {
        if self.announcements.contains_key(&version) {
            return false;
        }
        let learned_at = now;
        self.insert(version, AnnouncementTime::Unknown { after, learned_at });
        true
    }

    /// Records that no version newer than `newest` was announced yet at the time `at`.
    pub fn record_newest(&mut self, newest: WeightsVersion, at: Instant) {
        for (_, time) in self.announcements.range_mut(newest.saturating_add(1)..) {
            if let AnnouncementTime::Unknown { after, .. } = time {
                *after = Some(after.map_or(at, |after| after.max(at)));
            }
        }
    }

    fn insert(&mut self, version: WeightsVersion, time: AnnouncementTime) {
        self.announcements.insert(version, time);
        if self.announcements.len() > MAX_VERSIONS {
            self.announcements.pop_first();
        }
    }

    /// Each announced version with the time that counts as that of its announcement, oldest version
    /// first. Versions are announced in order.
    fn times(&self) -> impl Iterator<Item = (WeightsVersion, Instant)> {
        let mut earlier = None;
        self.announcements.iter().map(move |(version, time)| {
            let at = match (time, earlier) {
                (AnnouncementTime::Unknown { .. }, Some(earlier)) => time.earliest().max(earlier),
                _ => time.earliest(),
            };
            earlier = Some(at);
            (*version, at)
        })
    }

    /// Oldest version to which requests may be sent now; `None` while they may be sent to any
    /// version.
    #[must_use]
    pub fn required(&self, now: Instant) -> Option<WeightsVersion> {
        let due = self
            .times()
            .filter(|(_, at)| now.saturating_duration_since(*at) >= CUTOVER_DELAY);
        due.map(|(version, _)| version).last()
    }

    /// Time from which no request may start at an engine that holds the version `held`; `None` if
    /// no newer version is announced.
    #[must_use]
    pub fn deadline_of(&self, held: WeightsVersion) -> Option<Instant> {
        let newer = self.times().filter(|(version, _)| *version > held);
        newer.map(|(_, at)| at + DEADLINE_DELAY).min()
    }

    /// Newest version that is announced, if any.
    #[must_use]
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.announcements.keys().next_back().copied()
    }

    /// Versions with the time since their announcement, or none where that is not known; oldest
    /// version first.
    pub fn announced(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (WeightsVersion, Option<Duration>)> {
        self.announcements.iter().map(move |(version, time)| {
            let age = match time {
                AnnouncementTime::Known(at) => Some(now.saturating_duration_since(*at)),
                AnnouncementTime::Unknown { .. } => None,
            };
            (*version, age)
        })
    }
}
