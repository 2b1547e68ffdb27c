//! What the other entries of a region told of their lines of waiting requests for one service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::InstanceId;

/// Number of priorities on the wire, 0 to 9.
pub const PRIORITIES: usize = 10;
/// Age from which news is not used. Entries send it at least every 300 ms, so that one lost datagram
/// makes an entry use its own view for a moment only.
const MAX_NEWS_AGE: Duration = Duration::from_millis(400);
/// Time without a check after which this process counts as having been frozen.
const FREEZE_TIME: Duration = Duration::from_secs(1);

value_type! {
    /// State of an entry's line of waiting requests for one service.
    #[derive(Default)]
    pub struct LineNews {
        /// Number of requests by priority that wait for a place in the entry's own region.
        pub waiting: [u32; PRIORITIES],
        /// Requests by priority that arrive in 1,000 s, by the recent rate.
        pub arrivals_per_1000_s: [u32; PRIORITIES],
        /// Requests that get a place in 1,000 s, by the recent rate.
        pub places_per_1000_s: u32,
        /// Number of callers that were told to come back and are still expected.
        pub promised: u32,
        /// Requests wait for longer than the setpoint, and have for longer than an answer takes.
        pub is_standing: bool,
    }
}

/// Latest news of the other entries.
#[derive(Debug, Default)]
pub struct PeerLines {
    news: BTreeMap<InstanceId, (LineNews, Instant)>,
    /// Time of the last check or news.
    active: Option<Instant>,
    /// End of the time after a freeze in which no news is used.
    ignored_until: Option<Instant>,
}

impl PeerLines {
    /// Notes that this process is running. After a freeze, the known news is dropped, and news is
    /// ignored for a time, since it may have been in the socket's buffer for as long as the freeze.
    pub fn check(&mut self, now: Instant) {
        let active = self.active.replace(now);
        if active.is_some_and(|active| now.saturating_duration_since(active) >= FREEZE_TIME) {
            self.news.clear();
            self.ignored_until = Some(now + MAX_NEWS_AGE);
        }
    }

    /// Records the news of the entry `name`.
    pub fn record(&mut self, name: &str, news: LineNews, now: Instant) {
        self.check(now);
        if self.ignored_until.is_some_and(|until| now < until) {
            return;
        }
        self.news.retain(|_, (_, at)| is_fresh(*at, now));
        self.news.insert(name.to_owned(), (news, now));
    }

    /// News that is recent enough to be used.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = &LineNews> {
        let news = self.news.values();
        let fresh = news.filter(move |(_, at)| is_fresh(*at, now));
        fresh.map(|(news, _)| news)
    }
}

fn is_fresh(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < MAX_NEWS_AGE
}
