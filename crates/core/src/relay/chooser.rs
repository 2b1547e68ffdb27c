//! Which upstream gets a request.

use std::time::{Duration, Instant};

use crate::ids::{RegionId, UpstreamId};
use crate::relay::catalog::{EngineSpec, WeightsVersion};
use crate::relay::rate_share::ColdRateShare;
use crate::relay::upstreams::{UpstreamDirectory, UpstreamState};

/// An upstream in another data centre is taken for this much slower.
const FAR_PENALTY: Duration = Duration::from_millis(15);
/// An upstream in another region is taken for this much slower: bytes between regions are dear.
const FAR_REGION_PENALTY: Duration = Duration::from_millis(70);
/// Time that one request at a plain upstream stands for, where upstreams are compared.
const PLAIN_REQUEST: Duration = Duration::from_millis(25);
/// Spread by chance, so that entries with the same view do not all choose the same upstream.
const CHANCE: Duration = Duration::from_millis(20);
/// Tokens of an answer for the time after which a place falls free; the platform's usual answer.
const USUAL_ANSWER: u32 = 120;
/// Requests that an engine of the same region may hold beyond its slots.
const ENGINE_QUEUE: u32 = 3;
/// Requests that a plain upstream may hold beyond its slots.
const PLAIN_QUEUE: u32 = 2;

value_type! {
    /// What a request asks of its upstream.
    pub struct UpstreamCriteria<'call> {
        /// Service.
        pub service: &'call str,
        /// Regions that may serve it, one list a rule; all where empty.
        pub allowed_regions: [&'call [RegionId]; 2],
        /// Upstreams that have been tried.
        pub tried: &'call [UpstreamId],
        /// Oldest weights that may serve it; any where none are given.
        pub weights: Option<WeightsVersion>,
        /// Its service's engines, where it has any.
        pub engine: Option<&'call EngineSpec>,
        /// Prompt tokens.
        pub tokens: u32,
        /// Time in which the first event is wanted.
        pub first_event_limit: Duration,
        /// Requests a second that a cold upstream bears; 0 where not limited.
        pub cold_requests_per_second: u32,
    }

    /// Where the choosing entry is.
    pub struct EntryLocation<'entry> {
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

/// Chooses the upstream that is expected to answer first, near ones before far ones.
pub fn choose_upstream<Random>(
    upstreams: &UpstreamDirectory,
    cold: &ColdRateShare,
    place: &EntryLocation<'_>,
    wish: &UpstreamCriteria<'_>,
    now: Instant,
    mut random: Random,
) -> UpstreamChoice
where
    Random: FnMut() -> f64,
{
    let mut best: Option<(Duration, &UpstreamId)> = None;
    let mut full = false;
    for (id, state) in upstreams.iter() {
        if !fits(upstreams, wish, id, state, now) {
            continue;
        }
        let slow_start = wish.cold_requests_per_second > 0 && state.is_cold(now);
        let held =
            slow_start && !cold.allows(id, wish.cold_requests_per_second, place.entries, now);
        let delay = match wish.engine {
            Some(engine) => first_event_delay(state, engine, wish.tokens, now),
            None => PLAIN_REQUEST * state.load(now),
        };
        let late = wish.engine.is_some() && delay > wish.first_event_limit;
        let full_up = state.load(now) >= room(state, wish.engine.is_some(), place, now);
        if held || full_up || (late && state.load(now) > 0) {
            full = true;
            continue;
        }
        let score = delay + distance(state, place) + CHANCE.mul_f64(random());
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

/// Time after which an engine is expected to send the first event of a request of `tokens` prompt
/// tokens: the rest of the pass under way, the wait for a place, and the passes that read the
/// prompts before it and its own.
#[must_use]
pub fn first_event_delay(
    state: &UpstreamState,
    engine: &EngineSpec,
    tokens: u32,
    now: Instant,
) -> Duration {
    let timing = &engine.timing;
    let load = state.load(now);
    let running = load.min(state.listing.slots);
    let write = (timing.decode_step + timing.decode_step_per_request * running)
        * timing.decode_steps_per_pass;
    let read = |tokens: u32| {
        let passes = tokens.div_ceil(timing.prefill_tokens_per_pass).max(1);
        let time = f64::from(tokens) / f64::from(timing.prefill_tokens_per_second);
        write * passes + Duration::from_secs_f64(time)
    };
    let under_way = if load == 0 { Duration::ZERO } else { write / 2 };
    let slots = state.listing.slots.max(1);
    let waiting = (load + 1).saturating_sub(slots);
    let unread = state.unread(now) + tokens;
    let pass = read(unread.min(timing.prefill_tokens_per_pass));
    let answer = pass * USUAL_ANSWER.div_ceil(timing.decode_steps_per_pass);
    let queue = answer * waiting / slots;
    under_way + queue + read(unread)
}

fn fits(
    upstreams: &UpstreamDirectory,
    wish: &UpstreamCriteria<'_>,
    id: &UpstreamId,
    state: &UpstreamState,
    now: Instant,
) -> bool {
    let listing = &state.listing;
    listing.service == wish.service
        && !wish.tried.contains(id)
        && state.is_usable(now)
        && !upstreams.is_evacuated(&listing.data_centre)
        && wish.allowed_regions.iter().all(|allowed_regions| {
            allowed_regions.is_empty() || allowed_regions.contains(&listing.region)
        })
        && weights_fit(wish, state, now)
}

fn weights_fit(wish: &UpstreamCriteria<'_>, state: &UpstreamState, now: Instant) -> bool {
    if wish.engine.is_none() {
        return true;
    }
    let Some(held) = state.weights(now) else {
        return false;
    };
    wish.weights.is_none_or(|oldest| held >= oldest)
}

/// Load up to which this entry sends more. With a fresh report the load is that of all entries;
/// without one, only the entry's own part is known.
fn room(state: &UpstreamState, engine: bool, place: &EntryLocation<'_>, now: Instant) -> u32 {
    let queue = match (engine, state.listing.region == place.region) {
        (true, true) => ENGINE_QUEUE,
        // Many entries know its load late.
        (true, false) => 0,
        (false, _) => PLAIN_QUEUE,
    };
    let places = state.listing.slots + queue;
    if state.report(now).is_some() {
        return places;
    }
    let entries = u32::try_from(place.entries.max(1)).unwrap_or(u32::MAX);
    (places * if engine { 1 } else { 2 })
        .div_ceil(entries)
        .max(1)
}

fn distance(state: &UpstreamState, place: &EntryLocation<'_>) -> Duration {
    if state.listing.data_centre == place.data_centre {
        Duration::ZERO
    } else if state.listing.region == place.region {
        FAR_PENALTY
    } else {
        FAR_REGION_PENALTY
    }
}
