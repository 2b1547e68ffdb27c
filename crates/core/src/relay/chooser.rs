//! Which upstream gets a request.

use std::time::Instant;

use crate::ids::{RegionId, UpstreamId};
use crate::relay::book::{UpstreamBook, UpstreamState};
use crate::relay::catalog::WeightsNumber;
use crate::relay::share::ColdShare;

/// Load of an upstream in another data centre is taken for this many requests higher.
const FAR_PENALTY: f64 = 1.0;
/// Load of an upstream in another region is taken for this many requests higher.
const FAR_REGION_PENALTY: f64 = 3.0;
/// Requests that an engine may hold beyond its slots.
const ENGINE_QUEUE: u32 = 2;
/// Requests that a plain upstream may hold beyond its slots.
const PLAIN_QUEUE: u32 = 2;

value_type! {
    /// What a request asks of its upstream.
    pub struct UpstreamWish<'call> {
        /// Service.
        pub service: &'call str,
        /// Regions that may serve it, one list a rule; all where empty.
        pub homes: [&'call [RegionId]; 2],
        /// Upstreams that have been tried.
        pub tried: &'call [UpstreamId],
        /// Oldest weights that may serve it; any where none are given.
        pub weights: Option<WeightsNumber>,
        /// Its service has engines.
        pub engine: bool,
        /// Requests a second that a cold upstream bears; 0 where not limited.
        pub cold_per_second: u32,
    }

    /// Where the choosing entry is.
    pub struct ChooserPlace<'entry> {
        /// Data centre.
        pub data_centre: &'entry str,
        /// Region.
        pub region: &'entry str,
        /// Entries alive, with this one.
        pub entries: usize,
    }

    /// What the choice came to.
    pub enum UpstreamChoice {
        /// Send it there.
        Send(UpstreamId),
        /// Upstreams that could serve it are full.
        Full,
        /// No upstream can serve it now.
        None,
    }
}

/// Chooses the least loaded upstream, near ones first.
pub fn choose<Random>(
    book: &UpstreamBook,
    cold: &ColdShare,
    place: &ChooserPlace<'_>,
    wish: &UpstreamWish<'_>,
    now: Instant,
    mut random: Random,
) -> UpstreamChoice
where
    Random: FnMut() -> f64,
{
    let mut best: Option<(f64, &UpstreamId)> = None;
    let mut full = false;
    for (id, state) in book.iter() {
        if !fits(book, wish, id, state, now) {
            continue;
        }
        let slow_start = wish.cold_per_second > 0 && state.is_cold(now);
        let held = slow_start && !cold.allows(id, wish.cold_per_second, place.entries, now);
        if held || state.load(now) >= room(state, wish.engine, place.entries, now) {
            full = true;
            continue;
        }
        let score = f64::from(state.load(now)) + distance(state, place) + random();
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, id));
        }
    }
    match best {
        Some((_, id)) => UpstreamChoice::Send(id.clone()),
        None if full => UpstreamChoice::Full,
        None => UpstreamChoice::None,
    }
}

fn fits(
    book: &UpstreamBook,
    wish: &UpstreamWish<'_>,
    id: &UpstreamId,
    state: &UpstreamState,
    now: Instant,
) -> bool {
    let listing = &state.listing;
    listing.service == wish.service
        && !wish.tried.contains(id)
        && state.is_usable(now)
        && !book.is_evacuated(&listing.data_centre)
        && wish.homes.iter().all(|homes| homes.is_empty() || homes.contains(&listing.region))
        && weights_fit(wish, state, now)
}

fn weights_fit(wish: &UpstreamWish<'_>, state: &UpstreamState, now: Instant) -> bool {
    if !wish.engine {
        return true;
    }
    let Some(held) = state.weights(now) else {
        return false;
    };
    wish.weights.is_none_or(|oldest| held >= oldest)
}

/// Load up to which this entry sends more. With a fresh report the load is that of all entries;
/// without one, only the entry's own part is known.
fn room(state: &UpstreamState, engine: bool, entries: usize, now: Instant) -> u32 {
    let queue = if engine { ENGINE_QUEUE } else { PLAIN_QUEUE };
    let places = state.listing.slots + queue;
    if state.report(now).is_some() {
        return places;
    }
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    (places * if engine { 1 } else { 2 }).div_ceil(entries).max(1)
}

fn distance(state: &UpstreamState, place: &ChooserPlace<'_>) -> f64 {
    if state.listing.data_centre == place.data_centre {
        0.0
    } else if state.listing.region == place.region {
        FAR_PENALTY
    } else {
        FAR_REGION_PENALTY
    }
}
