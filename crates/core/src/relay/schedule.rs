//! Deadlines for the switch to a version of the weights that operators announced.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::relay::catalog::WeightsVersion;

/// Time for which older versions may serve after an announcement where the settings state none.
pub const DEFAULT_VERSION_TIME: Duration = Duration::from_secs(8);
/// Margin for the propagation of the announcement and for requests that are queued at an engine.
const CUTOVER_MARGIN: Duration = Duration::from_millis(1_200);
/// Margin for the propagation of the announcement and of a cancellation.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);
/// Maximum number of versions that are kept; the deadlines that older versions set passed long ago.
const MAX_VERSIONS: usize = 8;

value_type! {
    /// Times after the announcement of a version at which older ones stop serving.
    #[derive(Copy)]
    pub struct VersionDeadlines {
        /// Time from which no request is sent to an older version.
        pub cutover: Duration,
        /// Time from which no request may start on an older version.
        pub deadline: Duration,
    }
}

impl VersionDeadlines {
    /// Deadlines on a platform that lets requests start on older versions for `version_time` after an
    /// announcement.
    #[must_use]
    pub fn new(version_time: Duration) -> Self {
        Self {
            cutover: version_time.saturating_sub(CUTOVER_MARGIN),
            deadline: version_time.saturating_sub(DEADLINE_MARGIN),
        }
    }
}

impl Default for VersionDeadlines {
    fn default() -> Self {
        Self::new(DEFAULT_VERSION_TIME)
    }
}

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
    /// It is so early that older versions may serve no longer if nothing else is known.
    fn earliest(self, deadlines: VersionDeadlines) -> Instant {
        match self {
            Self::Known(at) => at,
            Self::Unknown { after, learned_at } => {
                let long_ago = learned_at
                    .checked_sub(deadlines.deadline)
                    .unwrap_or(learned_at);
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
    deadlines: VersionDeadlines,
}

impl WeightsSchedule {
    /// An empty schedule with these deadlines.
    #[must_use]
    pub fn new(deadlines: VersionDeadlines) -> Self {
        Self {
            announcements: BTreeMap::new(),
            deadlines,
        }
    }

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
                (AnnouncementTime::Unknown { .. }, Some(earlier)) => {
                    time.earliest(self.deadlines).max(earlier)
                }
                _ => time.earliest(self.deadlines),
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
            .filter(|(_, at)| now.saturating_duration_since(*at) >= self.deadlines.cutover);
        due.map(|(version, _)| version).last()
    }

    /// Time from which no request may start at an engine that holds the version `held`; `None` if
    /// no newer version is announced.
    #[must_use]
    pub fn deadline_of(&self, held: WeightsVersion) -> Option<Instant> {
        let newer = self.times().filter(|(version, _)| *version > held);
        newer.map(|(_, at)| at + self.deadlines.deadline).min()
    }

    /// Time from which no request is sent to an engine that holds the version `held`; `None` if no
    /// newer version is announced.
    #[must_use]
    pub fn cutover_of(&self, held: WeightsVersion) -> Option<Instant> {
        let newer = self.times().filter(|(version, _)| *version > held);
        newer.map(|(_, at)| at + self.deadlines.cutover).min()
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
