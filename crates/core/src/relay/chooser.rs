//! Choice of the upstream for a request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{RegionId, UpstreamId};
use crate::relay::catalog::{EngineSpec, EngineTiming, RouteCatalog, WeightsVersion};
use crate::relay::full_cause::FullCause;
use crate::relay::request_size::StatedOutput;
use crate::relay::speed::SpeedFactor;
use crate::relay::upstream_rates::UpstreamRates;
use crate::relay::upstreams::{UpstreamDirectory, UpstreamState};

/// Interval of the summaries from which entries know the load of other regions.
pub const REGION_SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of times that the network delay between entry and upstream counts: the connection is opened
/// and the request answered in a round trip each.
const DELAYS_OF_REQUEST: u32 = 4;
/// Estimated delay that each request at a plain upstream adds to the next one.
const PLAIN_REQUEST_DELAY: Duration = Duration::from_millis(25);
/// Maximum random delay added to each candidate, so that entries with the same view do not all
/// choose the same upstream.
const MAX_JITTER: Duration = Duration::from_millis(20);
/// Maximum number of requests that may wait at an engine of the same region, in addition to one
/// running request for each slot.
const ENGINE_QUEUE_LIMIT: u32 = 3;
/// Maximum number of requests that may wait at a plain upstream, one that holds no model weights,
/// in addition to one running request for each slot.
const PLAIN_QUEUE_LIMIT: u32 = 2;

value_type! {
    /// Requirements of a request for its upstream.
    pub struct UpstreamCriteria<'call> {
        /// Service that the request is for.
        pub service: &'call str,
        /// Regions that may serve the request: the route's list and the customer's list. Both
        /// apply, and an empty list allows all regions.
        pub allowed_regions: [&'call [RegionId]; 2],
        /// Upstreams that the request was sent to before; they are not chosen again.
        pub tried: &'call [UpstreamId],
        /// Oldest weights version that may serve the request; `None` for any version.
        pub weights: Option<WeightsVersion>,
        /// Engines of the service; `None` for a plain service.
        pub engine: Option<&'call EngineSpec>,
        /// Number of prompt tokens of the request.
        pub tokens: u32,
        /// Number of output tokens, as the request states it.
        pub output: StatedOutput,
        /// Mean time for which an answer of the service takes its slot, as measured; `None` before the
        /// first one.
        pub answer_time: Option<Duration>,
        /// Time until the caller leaves unless it is sent the first event. An engine that is expected
        /// to send it later is chosen only if it is idle, as no other one can be sooner.
        pub time_left: Duration,
        /// Time until the caller stops waiting for the whole answer. An engine that is expected to end it
        /// later is treated likewise: its work would be thrown away.
        pub answer_time_left: Duration,
        /// Requests a second that a cold upstream can handle; 0 for no limit.
        pub cold_requests_per_second: u32,
        /// Lower limit of the requests that wait at an engine of the same region, in addition to its
        /// slots; `None` for the usual limit.
        pub engine_queue: Option<u32>,
    }

    /// Location of the entry that chooses the upstream.
    pub struct EntryLocation<'entry> {
        /// Data centre in which the entry runs.
        pub data_centre: &'entry str,
        /// Region of the data centre.
        pub region: &'entry str,
        /// Number of live entries, including this one.
        pub entries: usize,
        /// Number of those in `region`, including this one. They tell each other their requests in flight.
        pub region_entries: usize,
        /// Catalog with the network delays between data centres; without it, all are unknown.
        pub catalog: Option<&'entry RouteCatalog>,
    }

    /// Result of the choice.
    pub enum UpstreamChoice {
        /// The request should be sent to this upstream.
        Send(UpstreamId),
        /// Some upstreams are eligible, but none has capacity now, for this cause.
        Full(FullCause),
        /// Some upstreams have capacity, but the caller would leave before their first event.
        Late,
        /// All upstreams that are eligible otherwise hold off requests; the first for this time.
        HeldOff(Duration),
        /// All upstreams that have capacity state a limit on the rate of requests; this entry may send
        /// the next one after this time.
        RateLimited(Duration),
        /// No upstream is eligible.
        None,
    }
}

/// Chooses the upstream with the lowest expected delay, that of the network included. `rates` are this
/// entry's shares of the upstreams' request rates. `random` returns numbers from 0 to 1.
pub fn choose_upstream<Random>(
    upstreams: &UpstreamDirectory,
    rates: &UpstreamRates,
    location: &EntryLocation<'_>,
    criteria: &UpstreamCriteria<'_>,
    now: Instant,
    mut random: Random,
) -> UpstreamChoice
where
    Random: FnMut() -> f64,
{
    let mut best: Option<(Duration, &UpstreamId)> = None;
    let mut full: BTreeMap<FullCause, u32> = BTreeMap::new();
    let mut any_late = false;
    let mut first_hold_end: Option<Duration> = None;
    let mut first_token: Option<Duration> = None;
    for (id, state) in upstreams.iter() {
        if !is_eligible(upstreams, criteria, id, state, now) {
            continue;
        }
        if let Some(left) = state.hold().left(now) {
            first_hold_end = Some(first_hold_end.map_or(left, |first| first.min(left)));
            continue;
        }
        let stated_speed = state.stated_speed(now).unwrap_or(SpeedFactor::USUAL);
        let (delay, is_late) = if let Some(engine) = criteria.engine {
            let (tokens, answer_time) = (criteria.tokens, criteria.answer_time);
            let load = KnownLoad::all(state, now);
            let usual = usual_first_event_delay(state, engine, tokens, answer_time, load);
            let output = criteria.output.estimated();
            let end = usual.saturating_add(usual_output_time(state, engine, output, now));
            // Only what is stated of the speed counts here: while requests are refused, nothing would
            // show that a measured slowness is over.
            let is_late = stated_speed.scale(usual) > criteria.time_left
                || stated_speed.scale(end) > criteria.answer_time_left;
            (state.speed_factor(now).scale(usual), is_late)
        } else {
            let delay = PLAIN_REQUEST_DELAY.saturating_mul(state.load(now));
            (stated_speed.scale(delay), false)
        };
        if let Some(cause) = full_cause(id, state, rates, location, criteria, now) {
            *full.entry(cause).or_default() += 1;
            continue;
        }
        if is_late && state.load(now) > 0 {
            any_late = true;
            continue;
        }
        let token_wait = rates.stated_wait(id, state, location.entries, now);
        if !token_wait.is_zero() {
            first_token = Some(first_token.map_or(token_wait, |first| first.min(token_wait)));
            continue;
        }
        let score = delay + network_time(state, location) + MAX_JITTER.mul_f64(random());
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, id));
        }
    }
    let most_frequent = full.into_iter().max_by_key(|(_, count)| *count);
    match best {
        Some((_, id)) => UpstreamChoice::Send(id.clone()),
        None if any_late => UpstreamChoice::Late,
        None => match (most_frequent, first_token, first_hold_end) {
            (Some((cause, _)), _, _) => UpstreamChoice::Full(cause),
            (None, Some(token), hold) if hold.is_none_or(|hold| token <= hold) => {
                UpstreamChoice::RateLimited(token)
            }
            (None, _, Some(hold)) => UpstreamChoice::HeldOff(hold),
            (None, _, None) => UpstreamChoice::None,
        },
    }
}

/// Why an eligible upstream takes no request from this entry now; none if it does.
fn full_cause(
    id: &UpstreamId,
    state: &UpstreamState,
    rates: &UpstreamRates,
    location: &EntryLocation<'_>,
    criteria: &UpstreamCriteria<'_>,
    now: Instant,
) -> Option<FullCause> {
    if state.load(now) >= capacity(state, criteria, location, now) {
        return Some(FullCause::Capacity);
    }
    let cold_rate = criteria.cold_requests_per_second;
    if !rates.cold_allows(id, state, cold_rate, location.entries, now) {
        return Some(FullCause::ColdRate);
    }
    (!has_memory(state, criteria, now)).then_some(FullCause::Memory)
}

/// Expected time until an engine sends the first event of a request with `tokens` prompt tokens:
/// the rest of the current pass, the wait for a slot, and the passes that prefill the prompts
/// before it and its own, all at the engine's present speed. `answer_time` is the mean time for which an
/// answer takes a slot; if it is not known, it is estimated from the engine's mean answer.
#[must_use]
pub fn first_event_delay(
    state: &UpstreamState,
    engine: &EngineSpec,
    tokens: u32,
    answer_time: Option<Duration>,
    now: Instant,
) -> Duration {
    let load = KnownLoad::all(state, now);
    let delay = usual_first_event_delay(state, engine, tokens, answer_time, load);
    state.speed_factor(now).scale(delay)
}

/// Expected time to the first event of a request that is already counted at the engine and is sent now,
/// at the usual speed. None if too little is known for a comparison with the measured time: the engine is
/// cold, or the request may wait for a slot.
#[must_use]
pub fn expected_first_event(
    state: &UpstreamState,
    engine: &EngineSpec,
    tokens: u32,
    now: Instant,
) -> Option<Duration> {
    let load = KnownLoad {
        requests: state.load(now).saturating_sub(1),
        unread: state.unread(now).saturating_sub(tokens),
    };
    if state.is_cold(now) || load.requests >= state.listing.slots {
        return None;
    }
    Some(usual_first_event_delay(state, engine, tokens, None, load))
}

/// Load of an engine without the request whose delay is expected.
#[derive(Clone, Copy)]
struct KnownLoad {
    /// Number of requests.
    requests: u32,
    /// Number of prompt tokens that are not yet prefilled.
    unread: u32,
}

impl KnownLoad {
    /// All requests that are known at the engine.
    fn all(state: &UpstreamState, now: Instant) -> Self {
        Self {
            requests: state.load(now),
            unread: state.unread(now),
        }
    }
}

/// Expected time to the first event at the usual speed.
fn usual_first_event_delay(
    state: &UpstreamState,
    engine: &EngineSpec,
    tokens: u32,
    answer_time: Option<Duration>,
    known: KnownLoad,
) -> Duration {
    let timing = &engine.timing;
    let load = known.requests;
    let running = load.min(state.listing.slots);
    let decode = decode_time(timing, running);
    let prefill = |tokens: u32| prefill_in_passes(timing, decode, tokens);
    let current_pass = if load == 0 {
        Duration::ZERO
    } else {
        decode / 2
    };
    let slots = state.listing.slots.max(1);
    let queued = load.saturating_add(1).saturating_sub(slots);
    let unread = known.unread.saturating_add(tokens);
    let answer_time = answer_time.unwrap_or_else(|| {
        let pass = prefill(unread.min(timing.prefill_tokens_per_pass));
        pass.saturating_mul(answer_passes(engine))
    });
    let length = state.own_output();
    let answer_time = match length.relative_length(load, engine.mean_answer_tokens) {
        Some(length) => multiply(answer_time, length),
        None => answer_time,
    };
    let slot_wait = answer_time.saturating_mul(queued) / slots;
    (current_pass + prefill(unread)).saturating_add(slot_wait)
}

/// Expected time until an engine sends the end of the answer to a request with `tokens` prompt tokens and
/// `output` expected output tokens: that to the first event, and the decode steps of the output beside the
/// requests that run then. `answer_time` is as described at [`first_event_delay`].
#[must_use]
pub fn expected_end(
    state: &UpstreamState,
    engine: &EngineSpec,
    tokens: u32,
    output: u32,
    answer_time: Option<Duration>,
    now: Instant,
) -> Duration {
    let first = first_event_delay(state, engine, tokens, answer_time, now);
    let time = usual_output_time(state, engine, output, now);
    first.saturating_add(state.speed_factor(now).scale(time))
}

/// Time of the decode steps of `output` tokens beside the requests that run at the engine, at the usual
/// speed.
fn usual_output_time(
    state: &UpstreamState,
    engine: &EngineSpec,
    output: u32,
    now: Instant,
) -> Duration {
    let running = state.load(now).saturating_add(1).min(state.listing.slots);
    decode_steps(&engine.timing, running, output)
}

/// Time of the decode steps of `output` tokens beside `running` requests, at the usual speed. The first
/// event has the first token.
#[must_use]
pub fn decode_steps(timing: &EngineTiming, running: u32, output: u32) -> Duration {
    let step = timing.decode_step + timing.decode_step_per_request * running;
    step.saturating_mul(output.saturating_sub(1))
}

/// `time` multiplied by `factor`; the longest time if that is too long.
fn multiply(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

/// Number of passes in which an engine writes its mean answer.
fn answer_passes(engine: &EngineSpec) -> u32 {
    let steps = engine.timing.decode_steps_per_pass;
    engine.mean_answer_tokens.div_ceil(steps)
}

/// Expected time until an engine has prefilled a prompt of `tokens` tokens, if no other prompt is before
/// it.
#[must_use]
pub fn prefill_time(timing: &EngineTiming, tokens: u32) -> Duration {
    prefill_in_passes(timing, decode_time(timing, 0), tokens)
}

/// Time of the decode steps in one pass, beside `running` requests.
fn decode_time(timing: &EngineTiming, running: u32) -> Duration {
    (timing.decode_step + timing.decode_step_per_request * running) * timing.decode_steps_per_pass
}

/// Time of the passes that prefill `tokens` tokens, each with decode steps that take `decode`.
fn prefill_in_passes(timing: &EngineTiming, decode: Duration, tokens: u32) -> Duration {
    let passes = tokens.div_ceil(timing.prefill_tokens_per_pass).max(1);
    let time = f64::from(tokens) / f64::from(timing.prefill_tokens_per_second);
    decode.saturating_mul(passes) + Duration::from_secs_f64(time)
}

/// Whether an upstream may serve the request, whatever its load and whether it holds off requests.
fn is_eligible(
    upstreams: &UpstreamDirectory,
    criteria: &UpstreamCriteria<'_>,
    id: &UpstreamId,
    state: &UpstreamState,
    now: Instant,
) -> bool {
    let listing = &state.listing;
    listing.service == criteria.service
        && !criteria.tried.contains(id)
        && state.is_usable_after_hold(now)
        && !upstreams.is_evacuated(&listing.data_centre)
        && criteria
            .allowed_regions
            .iter()
            .all(|regions| regions.is_empty() || regions.contains(&listing.region))
        && has_required_weights(criteria, state, now)
}

fn has_required_weights(
    criteria: &UpstreamCriteria<'_>,
    state: &UpstreamState,
    now: Instant,
) -> bool {
    if criteria.engine.is_none() {
        return true;
    }
    let Some(loaded) = state.weights(now) else {
        return false;
    };
    criteria.weights.is_none_or(|oldest| loaded >= oldest)
}

/// Whether an engine has memory for the prompt and the expected output of the request.
fn has_memory(state: &UpstreamState, criteria: &UpstreamCriteria<'_>, now: Instant) -> bool {
    let Some(engine) = criteria.engine else {
        return true;
    };
    let output = criteria.output.expected(engine.mean_answer_tokens);
    let tokens = u64::from(criteria.tokens) + u64::from(output);
    state.has_memory(tokens, engine.layers, now)
}

/// Number of requests at the upstream below which this entry sends another one. With a recent
/// report the known number includes the requests of all entries. Without a report it includes those
/// of the region's entries, which use their part of the capacity together, or twice that part at a
/// plain upstream.
fn capacity(
    state: &UpstreamState,
    criteria: &UpstreamCriteria<'_>,
    location: &EntryLocation<'_>,
    now: Instant,
) -> u32 {
    let engine = criteria.engine.is_some();
    let engine_queue = criteria.engine_queue.unwrap_or(ENGINE_QUEUE_LIMIT);
    let queue_limit = match (engine, state.listing.region == location.region) {
        (true, true) => engine_queue.min(ENGINE_QUEUE_LIMIT),
        // The many entries of other regions receive the engine's load late.
        (true, false) => 0,
        (false, _) => PLAIN_QUEUE_LIMIT,
    };
    let limit = state.listing.slots.saturating_add(queue_limit);
    let limit = state.hold().limit(limit, now);
    if state.report(now).is_some() {
        return limit;
    }
    let count = |entries: usize| u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    limit
        .saturating_mul(if engine { 1 } else { 2 })
        .saturating_mul(count(location.region_entries))
        .div_ceil(count(location.entries))
        .max(1)
}

/// Time that a request and its answer take on the network. Where the delay is not known, another data
/// centre counts as much as the jitter can add, so that a closer one is preferred among equals.
fn network_time(state: &UpstreamState, location: &EntryLocation<'_>) -> Duration {
    let data_centre = &state.listing.data_centre;
    if data_centre == location.data_centre {
        return Duration::ZERO;
    }
    let catalog = location.catalog;
    let delay = catalog.and_then(|catalog| catalog.delay(location.data_centre, data_centre));
    let time = delay.map_or(MAX_JITTER, |delay| delay * DELAYS_OF_REQUEST);
    if state.listing.region == location.region {
        return time;
    }
    // The known load is half an interval old on average, and the upstream may have got requests since.
    time + REGION_SUMMARY_INTERVAL / 2
}
