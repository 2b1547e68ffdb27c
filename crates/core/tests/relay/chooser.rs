use std::collections::HashMap;
use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::EngineSpec;
use agatepin_core::relay::chooser::{
    EntryLocation, UpstreamChoice, UpstreamCriteria, choose_upstream, first_event_delay,
};
use agatepin_core::relay::rate_share::ColdRateShare;
use agatepin_core::relay::upstreams::{EntryLoad, UpstreamDirectory, UpstreamListing};

use super::setups::{engine, listing};

const PLACE: EntryLocation<'static> = EntryLocation {
    data_centre: "thies",
    region: "thies",
    entries: 1,
};

fn upstreams(listings: &[(&str, UpstreamListing)], now: Instant) -> UpstreamDirectory {
    let mut upstreams = UpstreamDirectory::default();
    for (id, listing) in listings {
        upstreams.list(&(*id).to_owned(), listing.clone(), now);
    }
    upstreams
}

fn wish(engine: Option<&EngineSpec>) -> UpstreamCriteria<'_> {
    UpstreamCriteria {
        service: "desk",
        allowed_regions: [&[], &[]],
        tried: &[],
        weights: None,
        engine,
        tokens: 1_000,
        first_event_limit: Duration::from_millis(400),
        cold_requests_per_second: 0,
    }
}

fn chosen(
    upstreams: &UpstreamDirectory,
    wish: &UpstreamCriteria<'_>,
    now: Instant,
) -> UpstreamChoice {
    choose_upstream(
        upstreams,
        &ColdRateShare::default(),
        &PLACE,
        wish,
        now,
        || 0.5,
    )
}

fn send(id: &str) -> UpstreamChoice {
    UpstreamChoice::Send(id.to_owned())
}

#[test]
fn the_idle_upstream_of_the_own_data_centre_is_chosen() {
    let now = Instant::now();
    let far = listing("desk", 1, "dakar");
    let upstreams = upstreams(&[("far", far), ("near", listing("desk", 2, "thies"))], now);
    assert_eq!(chosen(&upstreams, &wish(None), now), send("near"));
}

#[test]
fn another_region_serves_where_the_own_one_is_busier_than_the_way_is_long() {
    let now = Instant::now();
    let spec = engine();
    let near = listing("desk", 2, "thies");
    let mut upstreams = upstreams(&[("far", listing("desk", 1, "dakar")), ("near", near)], now);
    upstreams.count_request("near", 4_000);
    assert_eq!(chosen(&upstreams, &wish(Some(&spec)), now), send("far"));
}

#[test]
fn a_data_centre_that_was_taken_out_gets_nothing_until_it_is_back() {
    let now = Instant::now();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    upstreams.evacuate(&"thies".to_owned(), true);
    assert_eq!(chosen(&upstreams, &wish(None), now), UpstreamChoice::None);
    upstreams.evacuate(&"thies".to_owned(), false);
    assert_eq!(chosen(&upstreams, &wish(None), now), send("u1"));
}

#[test]
fn homes_of_route_and_customer_both_bind() {
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
    let mut bound = wish(None);
    bound.allowed_regions = [&both, &dakar];
    assert_eq!(chosen(&upstreams, &bound, now), send("d"));
    let louga = ["louga".to_owned()];
    bound.allowed_regions = [&both, &louga];
    assert_eq!(chosen(&upstreams, &bound, now), UpstreamChoice::None);
}

#[test]
fn an_upstream_that_was_tried_is_not_tried_again() {
    let now = Instant::now();
    let upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let tried = ["u1".to_owned()];
    let mut again = wish(None);
    again.tried = &tried;
    assert_eq!(chosen(&upstreams, &again, now), UpstreamChoice::None);
}

#[test]
fn only_weights_that_may_serve_are_asked_for() {
    let now = Instant::now();
    let spec = engine();
    let mut newer = listing("desk", 2, "dakar");
    newer.weights = Some(2);
    let mut empty = listing("desk", 3, "thies");
    empty.weights = None;
    let old = listing("desk", 1, "thies");
    let upstreams = upstreams(&[("old", old), ("newer", newer), ("empty", empty)], now);
    let mut bound = wish(Some(&spec));
    assert_eq!(chosen(&upstreams, &bound, now), send("old"));
    bound.weights = Some(2);
    assert_eq!(chosen(&upstreams, &bound, now), send("newer"));
}

#[test]
fn a_prompt_that_cannot_be_read_in_time_is_refused_unless_the_engine_is_idle() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let mut long = wish(Some(&spec));
    long.tokens = 20_000;
    assert_eq!(chosen(&upstreams, &long, now), send("u1"));
    upstreams.count_request("u1", 100);
    assert_eq!(chosen(&upstreams, &long, now), UpstreamChoice::Full);
}

#[test]
fn the_expected_delay_grows_with_unread_prompts_and_full_places() {
    let now = Instant::now();
    let spec = engine();
    let mut upstreams = upstreams(&[("u1", listing("desk", 1, "thies"))], now);
    let delay = |upstreams: &UpstreamDirectory| {
        first_event_delay(upstreams.get("u1").unwrap(), &spec, 1_000, now)
    };
    let idle = delay(&upstreams);
    upstreams.count_request("u1", 3_000);
    let reading = delay(&upstreams);
    upstreams.answer_started("u1", 3_000);
    let writing = delay(&upstreams);
    assert!(
        idle < writing && writing < reading,
        "{idle:?} {writing:?} {reading:?}"
    );
    let full = EntryLoad {
        in_flight: 5,
        unread: 0,
    };
    upstreams.peer(
        &"e2".to_owned(),
        &HashMap::from([("u1".to_owned(), full)]),
        now,
    );
    assert!(delay(&upstreams) > writing * 2);
}

#[test]
fn a_cold_upstream_gets_this_entrys_part_of_its_rate() {
    let now = Instant::now();
    let mut cold = listing("desk", 1, "thies");
    cold.cold_left = Duration::from_secs(3);
    let upstreams = upstreams(&[("u1", cold)], now);
    let mut rate_share = ColdRateShare::default();
    let mut slow = wish(None);
    slow.cold_requests_per_second = 10;
    let at = |rate_share: &ColdRateShare, now| {
        choose_upstream(&upstreams, rate_share, &PLACE, &slow, now, || 0.5)
    };
    assert_eq!(at(&rate_share, now), send("u1"));
    rate_share.take(&"u1".to_owned(), 10, 1, now);
    assert_eq!(at(&rate_share, now), UpstreamChoice::Full);
    assert_eq!(
        at(&rate_share, now + Duration::from_millis(101)),
        send("u1")
    );
    let warm = now + Duration::from_secs(3);
    rate_share.take(&"u1".to_owned(), 10, 1, warm);
    assert_eq!(at(&rate_share, warm), send("u1"));
}
