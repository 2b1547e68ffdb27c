//! Speed of upstreams, and its effect on the choice.

use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::EngineSpec;
use agatepin_core::relay::chooser::{
    EntryLocation, UpstreamChoice, UpstreamCriteria, choose_upstream, expected_first_event,
    first_event_delay,
};
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::speed::{SpeedFactor, UpstreamSpeed};
use agatepin_core::relay::upstream_rates::UpstreamRates;
use agatepin_core::relay::upstreams::{EngineReport, UpstreamDirectory};
use rstest::rstest;

use super::setups::{engine, listing};

fn factor(ratio: f64) -> SpeedFactor {
    SpeedFactor::from_ratio(ratio).unwrap()
}

/// Two upstreams, `u1` and `u2`, in life 1.
fn two_upstreams(now: Instant) -> UpstreamDirectory {
    let mut upstreams = UpstreamDirectory::default();
    upstreams.list(&"u1".to_owned(), listing("desk", 1, "thies"), now);
    upstreams.list(&"u2".to_owned(), listing("desk", 2, "thies"), now);
    upstreams
}

fn report(pace: Option<f64>) -> EngineReport {
    EngineReport {
        up: true,
        weights: Some(1),
        pace: pace.and_then(SpeedFactor::from_ratio),
        ..EngineReport::default()
    }
}

fn chosen(
    upstreams: &UpstreamDirectory,
    engine: Option<&EngineSpec>,
    now: Instant,
) -> UpstreamChoice {
    chosen_with(upstreams, engine, StatedOutput::default(), now)
}

/// Chooses for a request with a prompt of 1,000 tokens and this stated output.
pub fn chosen_with(
    upstreams: &UpstreamDirectory,
    engine: Option<&EngineSpec>,
    output: StatedOutput,
    now: Instant,
) -> UpstreamChoice {
    let location = EntryLocation {
        data_centre: "thies",
        region: "thies",
        entries: 1,
        region_entries: 1,
        catalog: None,
    };
    let criteria = UpstreamCriteria {
        service: "desk",
        allowed_regions: [&[], &[]],
        tried: &[],
        weights: None,
        engine,
        tokens: 1_000,
        output,
        answer_time: None,
        time_left: Duration::from_secs(2),
        answer_time_left: Duration::from_secs(50),
        cold_requests_per_second: 0,
        engine_queue: None,
    };
    let rates = UpstreamRates::default();
    choose_upstream(upstreams, &rates, &location, &criteria, now, || 0.5)
}

fn send(id: &str) -> UpstreamChoice {
    UpstreamChoice::Send(id.to_owned())
}

/// Lets `u1` send three first events after `ratio` times the expected time.
fn measure(upstreams: &mut UpstreamDirectory, ratio: f64, now: Instant) {
    let expected = Duration::from_millis(80);
    let measured = Duration::from_millis(100).mul_f64(ratio);
    for _ in 0..3 {
        upstreams.record_first_event("u1", 1, measured, expected, now);
    }
}

#[rstest]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
#[case::negative(-2.0, None)]
#[case::zero(0.0, None)]
#[case::absurd(1e9, None)]
#[case::fast(0.5, Some(1_000))]
#[case::slow(2.5, Some(2_500))]
#[case::very_slow(50.0, Some(8_000))]
fn faulty_figures_are_ignored_and_others_are_bounded(
    #[case] ratio: f64,
    #[case] expected: Option<u32>,
) {
    let found = SpeedFactor::from_ratio(ratio);
    assert_eq!(found.map(SpeedFactor::thousandths), expected);
}

/// Guards against requests for engines that report to be slow while usual ones are free.
#[test]
fn a_slow_engine_is_avoided_until_it_reports_the_usual_pace() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = two_upstreams(now);
    assert_eq!(chosen(&upstreams, Some(&spec), now), send("u1"));
    let address = listing("desk", 1, "thies").address;
    upstreams.report(address, report(Some(2.5)), now);
    assert_eq!(chosen(&upstreams, Some(&spec), now), send("u2"));
    // A report without a pace, as of an earlier version, says nothing of it.
    upstreams.report(address, report(None), now);
    assert_eq!(chosen(&upstreams, Some(&spec), now), send("u2"));
    upstreams.report(address, report(Some(1.0)), now);
    assert_eq!(chosen(&upstreams, Some(&spec), now), send("u1"));
}

/// Guards against a stale report that keeps an engine out of use: without news its pace is the usual one.
#[test]
fn a_pace_without_recent_reports_decays() {
    let now = Instant::now();
    let mut speed = UpstreamSpeed::default();
    speed.record_pace(factor(3.0), now);
    let at = |ms| speed.factor(false, now + Duration::from_millis(ms));
    assert_eq!(at(700), factor(3.0));
    assert!(at(1_200) < factor(2.1));
    assert!(at(5_000) < factor(1.01));
}

/// Guards against a factor that follows each change of a figure which changes many times a second.
#[test]
fn the_figure_of_answers_is_smoothed_and_decays_within_a_second() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut speed = UpstreamSpeed::default();
    for ms in 0..20 {
        let figure = if ms % 2 == 0 { 1.0 } else { 3.0 };
        speed.record_figure(factor(figure), at(10 * ms));
    }
    let smoothed = speed.factor(false, at(190)).ratio();
    assert!((1.5..2.5).contains(&smoothed), "{smoothed}");
    assert!(speed.factor(false, at(1_190)).ratio() < 1.1);
    // After a pause, the latest figure counts.
    speed.record_figure(factor(2.5), at(5_000));
    assert!(speed.factor(false, at(5_000)).ratio() > 2.4);
}

#[test]
fn a_plain_upstream_that_states_to_be_slow_is_avoided_if_it_has_requests() {
    let now = Instant::now();
    let mut upstreams = two_upstreams(now);
    upstreams.count_request("u1", 0);
    upstreams.count_request("u2", 0);
    assert_eq!(chosen(&upstreams, None, now), send("u1"));
    upstreams.record_speed("u1", 1, factor(2.5), now);
    assert_eq!(chosen(&upstreams, None, now), send("u2"));
}

/// Guards against an engine that is slow without reporting it, as a throttled one.
#[test]
fn late_first_events_show_that_an_engine_is_slow() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = two_upstreams(now);
    measure(&mut upstreams, 3.0, now);
    assert_eq!(chosen(&upstreams, Some(&spec), now), send("u2"));
    let later = now + Duration::from_mins(1);
    assert_eq!(chosen(&upstreams, Some(&spec), later), send("u1"));
}

/// Guards against engines that count as slow because a queue unknown to the entry delayed some answers,
/// or because the estimate is a little short.
#[test]
fn single_late_events_and_small_deviations_do_not_count() {
    let now = Instant::now();
    let mut upstreams = two_upstreams(now);
    let usual = |upstreams: &UpstreamDirectory| upstreams.get("u1").unwrap().speed_factor(now);
    measure(&mut upstreams, 1.4, now);
    assert_eq!(usual(&upstreams), SpeedFactor::USUAL);
    let (late, expected) = (Duration::from_secs(2), Duration::from_millis(80));
    for _ in 0..2 {
        upstreams.record_first_event("u1", 1, late, expected, now);
    }
    assert_eq!(usual(&upstreams), SpeedFactor::USUAL);
    // All of the latest are late; the factor is bounded.
    upstreams.record_first_event("u1", 1, late, expected, now);
    assert_eq!(usual(&upstreams), factor(4.0));
}

/// Guards against all requests being sent to an engine that is still slow as soon as its factor has
/// decayed: one is sent, and further ones wait for its result.
#[test]
fn a_recovered_engine_is_probed_with_one_request() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = two_upstreams(now);
    measure(&mut upstreams, 3.0, now);
    let later = now + Duration::from_secs(20);
    let slow = |upstreams: &UpstreamDirectory| upstreams.get("u1").unwrap().speed_factor(later);
    assert!(slow(&upstreams) < factor(1.1));
    upstreams.count_request("u1", 1_000);
    assert_eq!(slow(&upstreams), factor(3.0));
    // The probe shows that the engine is as fast as usual.
    let expected = Duration::from_millis(80);
    upstreams.record_first_event("u1", 1, expected, expected, later);
    upstreams.answer_started("u1", 1_000);
    assert_eq!(slow(&upstreams), SpeedFactor::USUAL);
    assert_eq!(chosen(&upstreams, Some(&spec), later), send("u2"));
}

#[test]
fn a_restarted_engine_starts_at_the_usual_speed() {
    let now = Instant::now();
    let mut upstreams = two_upstreams(now);
    measure(&mut upstreams, 3.0, now);
    let address = listing("desk", 1, "thies").address;
    upstreams.report(address, report(Some(5.0)), now);
    let mut restarted = listing("desk", 1, "thies");
    restarted.born = 2;
    upstreams.list(&"u1".to_owned(), restarted, now);
    // Answers of the earlier life that end now say nothing of this one.
    measure(&mut upstreams, 3.0, now);
    upstreams.record_speed("u1", 1, factor(4.0), now);
    let state = upstreams.get("u1").unwrap();
    assert_eq!(state.speed_factor(now), SpeedFactor::USUAL);
}

/// Guards against other decisions where nothing is reported: the factor 1 changes no time at all.
#[test]
fn without_news_all_delays_are_as_at_the_usual_speed() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = two_upstreams(now);
    let address = listing("desk", 1, "thies").address;
    upstreams.report(address, report(Some(1.0)), now);
    for _ in 0..6 {
        upstreams.count_request("u1", 777);
        upstreams.count_request("u2", 777);
        let delay = |id| first_event_delay(upstreams.get(id).unwrap(), &spec, 1_000, None, now);
        assert_eq!(delay("u1"), delay("u2"));
    }
    let odd = Duration::from_nanos(123_456_789_123_456_789);
    assert_eq!(SpeedFactor::USUAL.scale(odd), odd);
}

/// Guards against waits for a slot that are taken for slowness.
#[test]
fn a_first_event_is_compared_only_if_a_slot_was_free() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = two_upstreams(now);
    let idle = first_event_delay(upstreams.get("u1").unwrap(), &spec, 500, None, now);
    upstreams.count_request("u1", 500);
    let expected = |upstreams: &UpstreamDirectory| {
        expected_first_event(upstreams.get("u1").unwrap(), &spec, 500, now)
    };
    assert_eq!(expected(&upstreams), Some(idle));
    for _ in 0..4 {
        upstreams.count_request("u1", 500);
    }
    assert_eq!(expected(&upstreams), None);
}
