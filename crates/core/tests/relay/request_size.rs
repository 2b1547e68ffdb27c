//! Sizes that requests state.

use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::EngineSpec;
use agatepin_core::relay::chooser::{
    EntryLocation, UpstreamChoice, UpstreamCriteria, choose_upstream, expected_end,
    first_event_delay,
};
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::upstream_rates::UpstreamRates;
use agatepin_core::relay::upstreams::{EngineReport, SendOutcome, UpstreamDirectory};
use rstest::rstest;

use super::setups::{engine, listing};

/// Upstream of the tests.
const ID: &str = "u1";
/// Mean answer of the engine of [`engine`], in tokens.
const MEAN: u32 = 120;

fn full_upstream(outputs: &[u32], now: Instant) -> UpstreamDirectory {
    let mut upstreams = UpstreamDirectory::default();
    upstreams.list(&ID.to_owned(), listing("desk", 1, "thies"), now);
    for output in outputs {
        upstreams.count_request(ID, 0);
        upstreams.count_output(ID, *output);
    }
    upstreams
}

fn criteria(engine: Option<&EngineSpec>) -> UpstreamCriteria<'_> {
    UpstreamCriteria {
        service: "desk",
        allowed_regions: [&[], &[]],
        tried: &[],
        weights: None,
        engine,
        tokens: 100,
        output: StatedOutput::default(),
        answer_time: None,
        time_left: Duration::from_secs(1),
        answer_time_left: Duration::from_secs(50),
        cold_requests_per_second: 0,
        engine_queue: None,
    }
}

#[rstest]
#[case::nothing_known(None, None, 0, 0)]
#[case::mean(None, None, MEAN, MEAN)]
#[case::limit_above_mean(None, Some(500), MEAN, MEAN)]
#[case::limit_below_mean(None, Some(20), MEAN, 20)]
#[case::limit_without_mean(None, Some(500), 0, 500)]
#[case::hint(Some(300), None, MEAN, 300)]
#[case::hint_within_limit(Some(300), Some(500), MEAN, 300)]
#[case::hint_beyond_limit(Some(900), Some(500), MEAN, 500)]
fn expected_output_is_the_hint_or_else_the_mean_within_the_limit(
    #[case] hint: Option<u32>,
    #[case] limit: Option<u32>,
    #[case] mean: u32,
    #[case] expected: u32,
) {
    assert_eq!(StatedOutput { hint, limit }.expected(mean), expected);
}

/// Guards against an engine with long answers that counts as free as soon as one with short answers.
#[test]
fn slots_of_long_answers_are_waited_for_longer() {
    let now = Instant::now();
    let spec = engine();
    let delay = |outputs: &[u32]| {
        let upstreams = full_upstream(outputs, now);
        first_event_delay(upstreams.get(ID).unwrap(), &spec, 100, None, now)
    };
    let usual = delay(&[MEAN; 4]);
    assert!(delay(&[MEAN, MEAN, 10 * MEAN, MEAN]) > usual);
    assert!(delay(&[MEAN, 10, 10, MEAN]) < usual);
}

/// Guards against other decisions for requests that state no output: each has the mean then.
#[test]
fn answers_of_the_mean_length_change_nothing_and_ended_ones_are_forgotten() {
    let now = Instant::now();
    let mut spec = engine();
    let mut uncounted = full_upstream(&[], now);
    for _ in 0..4 {
        uncounted.count_request(ID, 0);
    }
    let delay = |upstreams: &UpstreamDirectory, spec: &EngineSpec| {
        first_event_delay(upstreams.get(ID).unwrap(), spec, 100, None, now)
    };
    let mut counted = full_upstream(&[MEAN, MEAN, MEAN, MEAN, 3_000], now);
    counted.remove_output(ID, 3_000);
    counted.record_outcome(ID, SendOutcome::Answered, 0, now);
    assert_eq!(delay(&counted, &spec), delay(&uncounted, &spec));
    // A catalog without a mean gives no measure for the length of an answer.
    spec.mean_answer_tokens = 0;
    assert_eq!(delay(&counted, &spec), delay(&uncounted, &spec));
}

#[test]
fn an_answer_ends_after_its_first_event_and_its_decode_steps() {
    let now = Instant::now();
    let spec = engine();
    let upstreams = full_upstream(&[], now);
    let state = upstreams.get(ID).unwrap();
    let first = first_event_delay(state, &spec, 100, None, now);
    let end = expected_end(state, &spec, 100, 51, None, now);
    assert_eq!(end, first + 50 * spec.timing.decode_step);
    let huge = expected_end(state, &spec, u32::MAX, u32::MAX, None, now);
    assert!(huge > Duration::from_hours(1));
}

/// Guards against work that is thrown away: the whole answer must end before the caller's deadline, and
/// an idle engine is the only one that is tried all the same.
#[rstest]
#[case::ends_in_time(50, 1, true)]
#[case::ends_too_late(5_000, 1, false)]
#[case::too_late_but_idle(5_000, 0, true)]
fn an_engine_that_would_end_the_answer_too_late_is_not_chosen(
    #[case] output: u32,
    #[case] load: usize,
    #[case] is_chosen: bool,
) {
    let now = Instant::now();
    let spec = engine();
    let upstreams = full_upstream(&vec![MEAN; load], now);
    let mut request = criteria(Some(&spec));
    request.output.hint = Some(output);
    request.answer_time_left = Duration::from_secs(10);
    let location = EntryLocation {
        data_centre: "thies-mekhe",
        region: "thies",
        entries: 1,
        region_entries: 1,
        catalog: None,
    };
    let rates = UpstreamRates::new(1);
    let choice = choose_upstream(&upstreams, &rates, &location, &request, now, || 0.0);
    let expected = if is_chosen {
        UpstreamChoice::Send(ID.to_owned())
    } else {
        UpstreamChoice::Late
    };
    assert_eq!(choice, expected);
}

/// The expected time to the first event as it was computed before sizes, speed and memory were known.
fn plain_delay(
    spec: &EngineSpec,
    (load, unread): (u32, u32),
    tokens: u32,
    answer_time: Option<Duration>,
) -> Duration {
    let (timing, slots) = (&spec.timing, 4);
    let running = load.min(slots);
    let step = timing.decode_step + timing.decode_step_per_request * running;
    let decode = step * timing.decode_steps_per_pass;
    let prefill = |tokens: u32| {
        let passes = tokens.div_ceil(timing.prefill_tokens_per_pass).max(1);
        let time = f64::from(tokens) / f64::from(timing.prefill_tokens_per_second);
        decode * passes + Duration::from_secs_f64(time)
    };
    let current = if load == 0 {
        Duration::ZERO
    } else {
        decode / 2
    };
    let unread = unread + tokens;
    let passes = spec
        .mean_answer_tokens
        .div_ceil(timing.decode_steps_per_pass);
    let pass = prefill(unread.min(timing.prefill_tokens_per_pass));
    let answer_time = answer_time.unwrap_or(pass * passes);
    let slot_wait = answer_time * (load + 1).saturating_sub(slots) / slots;
    current + prefill(unread) + slot_wait
}

/// Guards against other decisions where nothing is reported or stated: the expected delays are the same
/// as before, to the nanosecond, and no engine counts as full for its memory.
#[rstest]
fn without_reports_and_statements_all_delays_are_as_before(
    #[values(0, 1, 3, 4, 5, 9)] requests: u32,
    #[values(0, 333, 5_000)] prompt: u32,
    #[values(None, Some(Duration::from_millis(777)))] answer_time: Option<Duration>,
    #[values(false, true)] is_reported: bool,
) {
    let now = Instant::now();
    let mut spec = engine();
    spec.timing.decode_step_per_request = Duration::from_micros(123);
    let mut upstreams = full_upstream(&[], now);
    if is_reported {
        let report = EngineReport {
            up: true,
            weights: Some(1),
            active: 1,
            ..EngineReport::default()
        };
        upstreams.report(listing("desk", 1, "thies").address, report, now);
    }
    let output = StatedOutput::default().expected(MEAN);
    for _ in 0..requests {
        upstreams.count_request(ID, prompt);
        upstreams.count_output(ID, output);
    }
    let state = upstreams.get(ID).unwrap();
    let known = (requests + u32::from(is_reported), requests * prompt);
    let before = plain_delay(&spec, known, 900, answer_time);
    assert_eq!(
        first_event_delay(state, &spec, 900, answer_time, now),
        before
    );
    assert!(state.has_memory(u64::from(u32::MAX), spec.layers, now));
}
