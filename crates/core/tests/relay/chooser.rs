use std::collections::HashMap;
use std::time::{Duration, Instant};

use agatepin_core::relay::book::{EntryLoad, UpstreamBook, UpstreamListing};
use agatepin_core::relay::catalog::EngineSpec;
use agatepin_core::relay::chooser::{
    ChooserPlace, UpstreamChoice, UpstreamWish, choose, first_event_delay,
};
use agatepin_core::relay::share::ColdShare;

use super::setups::{engine, listing};

const PLACE: ChooserPlace<'static> = ChooserPlace {
    data_centre: "thies",
    region: "thies",
    entries: 1,
};

fn book(listings: &[(&str, UpstreamListing)], now: Instant) -> UpstreamBook {
    let mut book = UpstreamBook::default();
    for (id, listing) in listings {
        book.list(&(*id).to_owned(), listing.clone(), now);
    }
    book
}

fn wish(engine: Option<&EngineSpec>) -> UpstreamWish<'_> {
    UpstreamWish {
        service: "desk",
        homes: [&[], &[]],
        tried: &[],
        weights: None,
        engine,
        tokens: 1_000,
        first_event: Duration::from_millis(400),
        cold_per_second: 0,
    }
}

fn chosen(book: &UpstreamBook, wish: &UpstreamWish<'_>, now: Instant) -> UpstreamChoice {
    choose(book, &ColdShare::default(), &PLACE, wish, now, || 0.5)
}

fn send(id: &str) -> UpstreamChoice {
    UpstreamChoice::Send(id.to_owned())
}

#[test]
fn the_idle_upstream_of_the_own_data_centre_is_chosen() {
    let now = Instant::now();
    let far = listing("desk", 1, "dakar");
    let book = book(&[("far", far), ("near", listing("desk", 2, "thies"))], now);
    assert_eq!(chosen(&book, &wish(None), now), send("near"));
}

#[test]
fn another_region_serves_where_the_own_one_is_busier_than_the_way_is_long() {
    let now = Instant::now();
    let spec = engine();
    let near = listing("desk", 2, "thies");
    let mut book = book(&[("far", listing("desk", 1, "dakar")), ("near", near)], now);
    book.begin("near", 4_000);
    assert_eq!(chosen(&book, &wish(Some(&spec)), now), send("far"));
}

#[test]
fn a_data_centre_that_was_taken_out_gets_nothing_until_it_is_back() {
    let now = Instant::now();
    let mut book = book(&[("u1", listing("desk", 1, "thies"))], now);
    book.evacuate(&"thies".to_owned(), true);
    assert_eq!(chosen(&book, &wish(None), now), UpstreamChoice::None);
    book.evacuate(&"thies".to_owned(), false);
    assert_eq!(chosen(&book, &wish(None), now), send("u1"));
}

#[test]
fn homes_of_route_and_customer_both_bind() {
    let now = Instant::now();
    let listings = [
        ("d", listing("desk", 1, "dakar")),
        ("t", listing("desk", 2, "thies")),
    ];
    let book = book(&listings, now);
    let (dakar, both) = (
        ["dakar".to_owned()],
        ["dakar".to_owned(), "thies".to_owned()],
    );
    let mut bound = wish(None);
    bound.homes = [&both, &dakar];
    assert_eq!(chosen(&book, &bound, now), send("d"));
    let louga = ["louga".to_owned()];
    bound.homes = [&both, &louga];
    assert_eq!(chosen(&book, &bound, now), UpstreamChoice::None);
}

#[test]
fn an_upstream_that_was_tried_is_not_tried_again() {
    let now = Instant::now();
    let book = book(&[("u1", listing("desk", 1, "thies"))], now);
    let tried = ["u1".to_owned()];
    let mut again = wish(None);
    again.tried = &tried;
    assert_eq!(chosen(&book, &again, now), UpstreamChoice::None);
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
    let book = book(&[("old", old), ("newer", newer), ("empty", empty)], now);
    let mut bound = wish(Some(&spec));
    assert_eq!(chosen(&book, &bound, now), send("old"));
    bound.weights = Some(2);
    assert_eq!(chosen(&book, &bound, now), send("newer"));
}

#[test]
fn a_prompt_that_cannot_be_read_in_time_is_refused_unless_the_engine_is_idle() {
    let now = Instant::now();
    let spec = engine();
    let mut book = book(&[("u1", listing("desk", 1, "thies"))], now);
    let mut long = wish(Some(&spec));
    long.tokens = 20_000;
    assert_eq!(chosen(&book, &long, now), send("u1"));
    book.begin("u1", 100);
    assert_eq!(chosen(&book, &long, now), UpstreamChoice::Full);
}

#[test]
fn the_expected_delay_grows_with_unread_prompts_and_full_places() {
    let now = Instant::now();
    let spec = engine();
    let mut book = book(&[("u1", listing("desk", 1, "thies"))], now);
    let delay = |book: &UpstreamBook| first_event_delay(book.get("u1").unwrap(), &spec, 1_000, now);
    let idle = delay(&book);
    book.begin("u1", 3_000);
    let reading = delay(&book);
    book.began("u1", 3_000);
    let writing = delay(&book);
    assert!(
        idle < writing && writing < reading,
        "{idle:?} {writing:?} {reading:?}"
    );
    let full = EntryLoad {
        in_flight: 5,
        unread: 0,
    };
    book.peer(
        &"e2".to_owned(),
        &HashMap::from([("u1".to_owned(), full)]),
        now,
    );
    assert!(delay(&book) > writing * 2);
}

#[test]
fn a_cold_upstream_gets_this_entrys_part_of_its_rate() {
    let now = Instant::now();
    let mut cold = listing("desk", 1, "thies");
    cold.cold_left = Duration::from_secs(3);
    let book = book(&[("u1", cold)], now);
    let mut share = ColdShare::default();
    let mut slow = wish(None);
    slow.cold_per_second = 10;
    let at = |share: &ColdShare, now| choose(&book, share, &PLACE, &slow, now, || 0.5);
    assert_eq!(at(&share, now), send("u1"));
    share.take(&"u1".to_owned(), 10, 1, now);
    assert_eq!(at(&share, now), UpstreamChoice::Full);
    assert_eq!(at(&share, now + Duration::from_millis(101)), send("u1"));
    let warm = now + Duration::from_secs(3);
    share.take(&"u1".to_owned(), 10, 1, warm);
    assert_eq!(at(&share, warm), send("u1"));
}
