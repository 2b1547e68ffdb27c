//! Decision which of the announced versions of weights an agent fetches. The newest is always
//! fetched. An older one is fetched beside it if it can serve for a useful time before the newest
//! one is complete: where the origin fails, its pieces may be among the agents while those of the
//! newest are not.

use std::time::{Duration, Instant};

use crate::relay::catalog::WeightsVersion;

/// Least time for which an older version must serve for its fetch to begin.
const MIN_USEFUL_TIME: Duration = Duration::from_secs(1);
/// The same for a fetch under way: shorter, so that a fetch does not begin and end repeatedly.
const MIN_REMAINING_USE: Duration = Duration::from_millis(500);
/// Time from the last piece until the engine serves: the drain of its requests, and the load.
const LOAD_TIME: Duration = Duration::from_millis(1_200);
/// Time that counts as that of a fetch whose missing pieces cannot be obtained at present.
const STALLED_FETCH_TIME: Duration = Duration::from_mins(1);

value_type! {
    /// State of one announced version at an agent.
    #[derive(Copy)]
    pub struct VersionProgress {
        /// The version.
        pub version: WeightsVersion,
        /// Number of its pieces.
        pub pieces: u32,
        /// Pieces that the agent does not have yet.
        pub missing: u32,
        /// Those of the missing pieces that other agents are known to have.
        pub at_peers: u32,
        /// Whether its fetch is under way.
        pub active: bool,
        /// Whether its fetch is under way, and the pieces that no other agent is known to have do not
        /// arrive at present.
        pub stalled: bool,
        /// Time from which it may not serve; none if no newer version is announced.
        pub deadline: Option<Instant>,
    }

    /// Expected durations of transfers of a whole version.
    #[derive(Copy)]
    pub struct TransferTimes {
        /// From other agents that have all pieces, over the link of this agent.
        pub link: Duration,
        /// From the origin, through other agents, to this agent.
        pub origin: Duration,
    }
}

/// Time of a transfer through the origin, in transfers over an agent's link, until it is measured: a
/// copy leaves the origin in about the same time, and the last agent gets it afterwards.
const ORIGIN_TRANSFERS: u32 = 2;
/// Bounds of the measured time, likewise: a failure of the origin must not count as its rate.
const MAX_ORIGIN_TRANSFERS: u32 = 4;

impl TransferTimes {
    /// Times where a whole version takes `link` over the link of this agent.
    #[must_use]
    pub fn of_link(link: Duration) -> Self {
        Self {
            link,
            origin: link * ORIGIN_TRANSFERS,
        }
    }

    /// Records that `fetched` pieces of a version that has `pieces` arrived in the time `elapsed`, most of
    /// them through the origin. A few pieces tell nothing of the rate.
    pub fn record_fetch(&mut self, fetched: u32, pieces: u32, elapsed: Duration) {
        if fetched > 0 && 2 * fetched >= pieces {
            let whole = elapsed * pieces / fetched;
            self.origin = whole.clamp(self.link, self.link * MAX_ORIGIN_TRANSFERS);
        }
    }
}

impl VersionProgress {
    /// Expected time until all pieces are fetched.
    #[must_use]
    pub fn remaining(&self, times: TransferTimes) -> Duration {
        let at_peers = self.at_peers.min(self.missing);
        let elsewhere = self.missing - at_peers;
        if self.stalled && elsewhere > 0 {
            return STALLED_FETCH_TIME;
        }
        let pieces = self.pieces.max(1);
        (times.link * at_peers + times.origin * elsewhere) / pieces
    }
}

/// Versions to fetch now, oldest first: at most one older version, and the newest one. `announced` are
/// the announced versions, oldest first. `complete` is the newest version that is loaded, or of which
/// all pieces are here; older ones are of no use any more. It can serve until `serves_until`: `now` if
/// there is none, and none if there is no limit. The newest version is fetched even if it is loaded:
/// other agents need its pieces.
#[must_use]
pub fn versions_to_fetch(
    announced: &[VersionProgress],
    complete: Option<WeightsVersion>,
    serves_until: Option<Instant>,
    times: TransferTimes,
    now: Instant,
) -> Vec<WeightsVersion> {
    let Some((newest, older)) = announced.split_last() else {
        return Vec::new();
    };
    if newest.missing == 0 {
        return Vec::new();
    }
    let newer = older
        .iter()
        .filter(|progress| complete.is_none_or(|complete| progress.version > complete));
    // If nothing of the newest is known to have arrived anywhere, what stalls the others counts for it.
    let others_stalled = older.iter().any(|progress| progress.stalled);
    let has_begun = newest.missing < newest.pieces || newest.at_peers > 0;
    let newest = VersionProgress {
        stalled: newest.stalled || (others_stalled && !has_begun),
        ..*newest
    };
    let newest_serves_at = now + newest.remaining(times) + LOAD_TIME;
    let gap = serves_until.is_some_and(|until| until < newest_serves_at);
    let newest_waits = |progress: &VersionProgress| {
        // Pieces of both versions come over the origin's link one after the other.
        let elsewhere = progress.missing.saturating_sub(progress.at_peers);
        let has_origin = !progress.stalled && !newest.stalled;
        let time = times.origin * elsewhere / progress.pieces.max(1);
        if has_origin { time } else { Duration::ZERO }
    };
    let useful = |progress: &VersionProgress| {
        // A fetch under way is not given up because nothing arrives at present: it takes nothing from
        // the other fetch then, and an agent that has its pieces may turn up.
        let remaining = if progress.active && (progress.stalled || newest.stalled) {
            times.link * progress.missing.min(progress.pieces) / progress.pieces.max(1)
        } else {
            progress.remaining(times)
        };
        let serves_at = now + remaining + LOAD_TIME;
        let end = progress.deadline.unwrap_or(newest_serves_at);
        let use_time = end
            .min(newest_serves_at)
            .checked_duration_since(serves_at)?;
        let least = if progress.active {
            MIN_REMAINING_USE
        } else {
            MIN_USEFUL_TIME
        };
        let is_useful = (gap || progress.active) && use_time >= least.max(newest_waits(progress));
        is_useful.then_some((!progress.stalled, use_time, progress.version))
    };
    let kept = newer.filter_map(useful).max();
    let kept = kept.map(|(_, _, version)| version);
    kept.into_iter().chain([newest.version]).collect()
}
