//! Choice of the upstream for a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::{EngineSpec, RouteCatalog};
use agatepin_core::relay::chooser::{
    EntryLocation, UpstreamChoice, UpstreamCriteria, choose_upstream, first_event_delay,
};
use agatepin_core::relay::full_cause::FullCause;
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::stated_limit::RequestRate;
use agatepin_core::relay::upstream_rates::UpstreamRates;
use agatepin_core::relay::upstreams::{
    EngineReport, EntryLoad, UpstreamDirectory, UpstreamListing,
};
use rstest::rstest;

use super::setups::{catalog, engine, listing};

/// Data centre and region of the entry that chooses.
const LOCATION: EntryLocation<'static> = EntryLocation {
    data_centre: "thies",
    region: "thies",
    entries: 1,
    region_entries: 1,
    catalog: None,
};

fn upstreams(listings: &[(&str, UpstreamListing)], now: Instant) -> UpstreamDirectory {
    let mut upstreams = UpstreamDirectory::default();
    for (id, listing) in listings {
        upstreams.list(&(*id).to_owned(), listing.clone(), now);
    }
    upstreams
}

fn criteria(engine: Option<&EngineSpec>) -> UpstreamCriteria<'_> {
    UpstreamCriteria {
        engine_queue: None,
        service: "desk",
        allowed_regions: [&[], &[]],
        tried: &[],
        weights: None,
        engine,
        tokens: 1_000,
        output: StatedOutput::default(),
        answer_time: None,
        time_left: Duration::from_millis(400),
        answer_time_left: Duration::from_secs(50),
        cold_requests_per_second: 0,
    }
}

/// Chooses with the same jitter for all candidates.
fn chosen(
    upstreams: &UpstreamDirectory,
    criteria: &UpstreamCriteria<'_>,
    now: Instant,
) -> UpstreamChoice {
    choose_upstream(
        upstreams,
        &UpstreamRates::default(),
        &LOCATION,
        criteria,
        now,
        || 0.5,
    )
}

fn send(id: &str) -> UpstreamChoice {
    UpstreamChoice::Send(id.to_owned())
}

#[test]
fn of_idle_upstreams_one_in_the_same_data_centre_is_chosen() {
    let now = Instant::now();
    let far = listing("desk", 1, "dakar");
    let upstreams = upstreams(&[("far", far), ("near", listing("desk", 2, "thies"))], now);
    assert_eq!(chosen(&upstreams, &criteria(None), now), send("near"));
}

#[test]
fn another_region_is_chosen_if_the_local_delay_exceeds_the_time_on_the_way() {
    let now = Instant::now();
    let spec = engine();
    let near = listing("desk", 2, "thies");
    let mut upstreams = upstreams(&[("far", listing("desk", 1, "dakar")), ("near", near)], now);
    upstreams.count_request("near", 4_000);
    assert_eq!(chosen(&upstreams, &criteria(Some(&spec)), now), send("far"));
}

/// Guards against callers that wait at a busy upstream although the way to an idle one takes less time:
/// one request delays the next one by 25 ms, and the way counts four times.
#[rstest]
#[case::short_way(5, "far")]
#[case::long_way(8, "near")]
fn another_data_centre_is_chosen_if_the_way_to_it_takes_less_time(
    #[case] delay_ms: u64,
    #[case] expected: &str,
    #[values(true, false)] stated_from_here: bool,
) {
    let now = Instant::now();
    let mut far = listing("desk", 1, "mekhe");
    far.region = "thies".to_owned();
    let mut upstreams = upstreams(&[("far", far), ("near", listing("desk", 2, "thies"))], now);
    upstreams.count_request("near", 0);
    let mut spec = catalog(Vec::new());
    let mut ends = ("thies".to_owned(), "mekhe".to_owned());
    if !stated_from_here {
        ends = (ends.1, ends.0);
    }
    spec.delays.insert(ends, Duration::from_millis(delay_ms));
    let catalog = RouteCatalog::from(spec);
    let location = EntryLocation {
        catalog: Some(&catalog),
        ..LOCATION
    };
    let rates = UpstreamRates::default();
    let choice = choose_upstream(&upstreams, &rates, &location, &criteria(None), now, || 0.5);
    assert_eq!(choice, send(expected));
}

/// Guards against requests that wait at an engine, where less urgent ones are before them, while the
/// entries' lines have an order.
#[rstest]
#[case::usual(None, send("u1"))]
#[case::congested(Some(1), UpstreamChoice::Full(FullCause::Capacity))]
#[case::more_than_usual(Some(9), UpstreamChoice::Full(FullCause::Capacity))]
fn the_queue_of_an_engine_can_be_limited_further(
    #[case] engine_queue: Option<u32>,
    #[case] expected: UpstreamChoice,
) {
    let now = Instant::now();
    let spec = engine();
    let listing = listing("desk", 1, "thies");
    let taken = listing.slots + if engine_queue == Some(9) { 3 } else { 1 };
    let mut upstreams = upstreams(&[("u1", listing)], now);
    for _ in 0..taken {
        upstreams.count_request("u1", 0);
    }
    let criteria = UpstreamCriteria {
        engine_queue,
        time_left: Duration::from_secs(50),
        answer_time_left: Duration::from_secs(50),
        ..criteria(Some(&spec))
    };
    assert_eq!(chosen(&upstreams, &criteria, now), expected);
}

#[test]
fn an_evacuated_data_centre_is_not_chosen_until_it_is_back_in_use() {
    let now = Instant::now();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    upstreams.evacuate(&"thies".to_owned(), true);
    assert_eq!(
        chosen(&upstreams, &criteria(None), now),
        UpstreamChoice::None
    );
    upstreams.evacuate(&"thies".to_owned(), false);
    assert_eq!(chosen(&upstreams, &criteria(None), now), send("u1"));
}

#[test]
fn allowed_regions_of_route_and_customer_both_apply() {
    let now = Instant::now();
    let listings = [
        ("d", listing("desk", 1, "dakar")),
        ("t", listing("desk", 2, "thies")),
    ];
    let upstreams = upstreams(&listings, now);
    let (dakar, both) = (
        ["dakar".to_owned()],
        ["dakar".to_owned(), "thies".to_owned()],
    );
    let mut restricted = criteria(None);
    restricted.allowed_regions = [&both, &dakar];
    assert_eq!(chosen(&upstreams, &restricted, now), send("d"));
    let louga = ["louga".to_owned()];
    restricted.allowed_regions = [&both, &louga];
    assert_eq!(chosen(&upstreams, &restricted, now), UpstreamChoice::None);
}

#[test]
fn an_upstream_that_was_tried_is_not_chosen_again() {
    let now = Instant::now();
    let upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let tried = ["u1".to_owned()];
    let mut retried = criteria(None);
    retried.tried = &tried;
    assert_eq!(chosen(&upstreams, &retried, now), UpstreamChoice::None);
}

#[test]
fn only_engines_with_the_required_weights_are_chosen() {
    let now = Instant::now();
    let spec = engine();
    let mut newer = listing("desk", 2, "dakar");
    newer.weights = Some(2);
    let mut empty = listing("desk", 3, "thies");
    empty.weights = None;
    let old = listing("desk", 1, "thies");
    let upstreams = upstreams(&[("old", old), ("newer", newer), ("empty", empty)], now);
    let mut restricted = criteria(Some(&spec));
    assert_eq!(chosen(&upstreams, &restricted, now), send("old"));
    restricted.weights = Some(2);
    assert_eq!(chosen(&upstreams, &restricted, now), send("newer"));
}

#[test]
fn a_prompt_that_cannot_be_prefilled_in_time_is_accepted_only_by_an_idle_engine() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let mut long = criteria(Some(&spec));
    long.tokens = 20_000;
    assert_eq!(chosen(&upstreams, &long, now), send("u1"));
    upstreams.count_request("u1", 100);
    assert_eq!(chosen(&upstreams, &long, now), UpstreamChoice::Late);
    // A shorter one is accepted, and a full engine is full for both.
    assert_eq!(chosen(&upstreams, &criteria(Some(&spec)), now), send("u1"));
    for _ in 0..20 {
        upstreams.count_request("u1", 0);
    }
    assert_eq!(
        chosen(&upstreams, &long, now),
        UpstreamChoice::Full(FullCause::Capacity)
    );
}

#[test]
fn the_expected_delay_grows_with_pending_prefills_and_occupied_slots() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let delay = |upstreams: &UpstreamDirectory| {
        first_event_delay(upstreams.get("u1").unwrap(), &spec, 1_000, None, now)
    };
    let idle = delay(&upstreams);
    upstreams.count_request("u1", 3_000);
    let prefilling = delay(&upstreams);
    upstreams.answer_started("u1", 3_000);
    let decoding = delay(&upstreams);
    assert!(
        idle < decoding && decoding < prefilling,
        "{idle:?} {decoding:?} {prefilling:?}"
    );
    let full = EntryLoad {
        in_flight: 5,
        unread: 0,
    };
    upstreams.record_peer_loads(
        &"e2".to_owned(),
        &HashMap::from([("u1".to_owned(), full)]),
        now,
    );
    assert!(delay(&upstreams) > decoding * 2);
}

/// Guards against an estimate by the answers of other services: a full engine is the sooner free, the
/// shorter its answers are.
#[test]
fn the_wait_for_a_slot_follows_from_the_services_own_answers() {
    let now = Instant::now();
    let mut spec = engine();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    for _ in 0..4 {
        upstreams.count_request("u1", 0);
    }
    let state = upstreams.get("u1").unwrap();
    let delay = |spec: &EngineSpec, measured| first_event_delay(state, spec, 100, measured, now);
    let by_catalog = delay(&spec, None);
    spec.mean_answer_tokens = 1_200;
    assert!(delay(&spec, None) > by_catalog * 5);
    let seconds = |seconds| Some(Duration::from_secs(seconds));
    // One of four slots is waited for.
    let measured = delay(&spec, seconds(9)).saturating_sub(delay(&spec, seconds(1)));
    assert_eq!(measured, Duration::from_secs(2));
    spec.mean_answer_tokens = u32::MAX;
    assert!(delay(&spec, None) > by_catalog);
}

#[test]
fn requests_to_a_cold_upstream_are_limited_to_the_entrys_share_of_its_rate() {
    let now = Instant::now();
    let mut cold = listing("desk", 1, "thies");
    cold.cold_left = Duration::from_secs(3);
    let upstreams = upstreams(&[("u1", cold)], now);
    let mut rates = UpstreamRates::default();
    let mut limited = criteria(None);
    limited.cold_requests_per_second = 10;
    let choose_at = |rates: &UpstreamRates, now| {
        choose_upstream(&upstreams, rates, &LOCATION, &limited, now, || 0.5)
    };
    let id = "u1".to_owned();
    let state = upstreams.get(&id).unwrap();
    assert_eq!(choose_at(&rates, now), send("u1"));
    rates.take(&id, state, 10, 1, now);
    assert_eq!(
        choose_at(&rates, now),
        UpstreamChoice::Full(FullCause::ColdRate)
    );
    assert_eq!(
        choose_at(&rates, now + Duration::from_millis(101)),
        send("u1")
    );
    let warm = now + Duration::from_secs(3);
    rates.take(&id, state, 10, 1, warm);
    assert_eq!(choose_at(&rates, warm), send("u1"));
}

/// Guards against callers that wait in vain, or are told to come back too soon, where all upstreams
/// state a limit.
#[test]
fn where_all_upstreams_state_a_limit_the_time_of_the_next_token_is_stated() {
    let now = Instant::now();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let born = upstreams.get("u1").unwrap().listing.born;
    let rate = RequestRate::from_per_second(4.0);
    upstreams.record_limit("u1", born, rate, now, true, now);
    let mut rates = UpstreamRates::default();
    let id = "u1".to_owned();
    let plain = criteria(None);
    let choose =
        |rates: &UpstreamRates| choose_upstream(&upstreams, rates, &LOCATION, &plain, now, || 0.5);
    assert_eq!(choose(&rates), send("u1"));
    rates.take(&id, upstreams.get(&id).unwrap(), 0, 1, now);
    let wait = Duration::from_millis(250);
    assert_eq!(choose(&rates), UpstreamChoice::RateLimited(wait));
    // A request that is not sent returns its token.
    rates.give_back(&id);
    assert_eq!(choose(&rates), send("u1"));
}

#[test]
fn while_all_upstreams_hold_off_the_time_of_the_first_one_is_stated() {
    let now = Instant::now();
    let mut upstreams = upstreams(
        &[
            ("u1", listing("desk", 1, "thies")),
            ("u2", listing("desk", 2, "thies")),
        ],
        now,
    );
    upstreams.record_hold("u1", Duration::from_secs(3), now);
    assert_eq!(chosen(&upstreams, &criteria(None), now), send("u2"));
    upstreams.record_hold("u2", Duration::from_secs(2), now);
    let held_off = UpstreamChoice::HeldOff(Duration::from_secs(2));
    assert_eq!(chosen(&upstreams, &criteria(None), now), held_off);
}

/// Numbers as a faulty worker may state them, in its row and in its report.
#[test]
fn the_largest_numbers_do_not_overflow() {
    let now = Instant::now();
    let spec = engine();
    let mut odd = listing("desk", 1, "thies");
    odd.slots = u32::MAX;
    let mut upstreams = upstreams(&[("odd", odd.clone())], now);
    let report = EngineReport {
        up: true,
        weights: Some(u64::MAX),
        busy: false,
        active: u32::MAX,
        queued: u32::MAX,
        unread: u32::MAX,
        ..EngineReport::default()
    };
    upstreams.report(odd.address, report, now);
    upstreams.count_request("odd", u32::MAX);
    assert_eq!(
        chosen(&upstreams, &criteria(Some(&spec)), now),
        UpstreamChoice::Full(FullCause::Capacity)
    );
    assert_eq!(
        chosen(&upstreams, &criteria(None), now),
        UpstreamChoice::Full(FullCause::Capacity)
    );
}
