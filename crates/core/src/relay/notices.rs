//! What upstreams say of themselves in their answers: that they are leaving, or that they want no
//! requests for a time. An upstream knows this sooner than the platform's list does.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;

/// Longest time for which an upstream can hold off requests with one answer. Longer times are cut:
/// an upstream that is faulty, or that says so by mistake, is asked again.
pub const MAX_HOLD: Duration = Duration::from_secs(30);
/// Time after a hold in which the upstream's capacity grows from one request to the whole, so that
/// not all requests that waited are sent to it at once.
pub const HOLD_RECOVERY: Duration = Duration::from_secs(1);
/// Maximum number of upstreams that are remembered as leaving; those that left first are forgotten.
const MAX_LEAVING: usize = 4_096;

/// Start of an upstream, in milliseconds since the Unix epoch; tells its lives apart.
pub type BornMillis = u64;

/// Upstreams that said that they are leaving. They are remembered after their removal from the list,
/// so that an older row which lists them again does not bring them back into use.
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    /// Life in which each upstream said so, and when.
    lives: BTreeMap<UpstreamId, (BornMillis, Instant)>,
}

impl LeavingUpstreams {
    /// Records that the upstream said `age` ago, in its life `born`, that it is leaving. Returns
    /// whether this is news.
    pub fn record(&mut self, id: &str, born: BornMillis, age: Duration, now: Instant) -> bool {
        if self.lives.get(id).is_some_and(|(known, _)| *known >= born) {
            return false;
        }
        let said_at = now.checked_sub(age).unwrap_or(now);
        self.lives.insert(id.to_owned(), (born, said_at));
        if self.lives.len() > MAX_LEAVING {
            let oldest = self.lives.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.lives.remove(&oldest);
            }
        }
        true
    }

    /// Whether the upstream said so in its life `born`.
    #[must_use]
    pub fn contains(&self, id: &str, born: BornMillis) -> bool {
        self.lives.get(id).is_some_and(|(life, _)| *life == born)
    }

    /// Upstreams that said so less than `max_age` ago, with their lives and the ages of the news.
    pub fn recent(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&UpstreamId, BornMillis, Duration)> {
        let all = self.lives.iter().map(move |(id, (born, at))| {
            let age = now.saturating_duration_since(*at);
            (id, *born, age)
        });
        all.filter(move |(_, _, age)| *age < max_age)
    }
}

/// A time in which an upstream wants no requests from this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamHold {
    /// End of the latest hold; none before the first.
    until: Option<Instant>,
    /// Whether the end of the hold was not noticed yet.
    open: bool,
}

impl UpstreamHold {
    /// Records that the upstream wants no requests for `time`, at most [`MAX_HOLD`]. A hold that
    /// ends later stays. Returns whether a hold begins.
    pub fn extend(&mut self, time: Duration, now: Instant) -> bool {
        let begins = !self.is_held(now);
        let until = now + time.min(MAX_HOLD);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
        self.open = true;
        begins
    }

    /// Lets the upstream's capacity grow as after a hold that ends now. A hold that ends later stays.
    pub fn begin_recovery(&mut self, now: Instant) {
        self.until = Some(self.until.map_or(now, |known| known.max(now)));
    }

    /// Whether the upstream wants no requests now.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Time until the hold ends; none if there is none.
    #[must_use]
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns true once after each hold has ended.
    pub fn take_end(&mut self, now: Instant) -> bool {
        self.open && !self.is_held(now) && std::mem::take(&mut self.open)
    }

    /// Number of requests that the upstream may have now, of `limit`: from one to all within
    /// [`HOLD_RECOVERY`] after a hold.
    #[must_use]
    pub fn limit(&self, limit: u32, now: Instant) -> u32 {
        let Some(until) = self.until else {
            return limit;
        };
        let recovered = now.saturating_duration_since(until);
        if recovered >= HOLD_RECOVERY {
            return limit;
        }
        let grown = u128::from(limit) * recovered.as_millis() / HOLD_RECOVERY.as_millis();
        u32::try_from(grown).unwrap_or(limit).max(1)
    }
}
