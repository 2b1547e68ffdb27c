//! Callers that come back after a refusal.

use std::time::{Duration, Instant};

use agatepin_core::relay::client_timeout::{ClientTimeouts, RefusedRequests, first_event_limit};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn book(usual: &[(&str, u64)]) -> ClientTimeouts {
    let mut book = ClientTimeouts::default();
    for _ in 0..20 {
        for (route, stated) in usual {
            assert!(!book.may_be_retry(route, ms(*stated), OBJECTIVE));
        }
    }
    book
}

#[test]
fn a_caller_with_much_less_patience_than_usual_came_back() {
    let mut book = book(&[("chat", 6_000), ("order", 1_000)]);
    assert!(!book.may_be_retry("chat", ms(5_700), OBJECTIVE));
    assert!(book.may_be_retry("chat", ms(4_900), OBJECTIVE));
    assert!(!book.may_be_retry("order", ms(1_000), OBJECTIVE));
    assert!(book.may_be_retry("order", ms(500), OBJECTIVE));
    // Nothing is known of a route that has just begun.
    assert!(!book.may_be_retry("new", ms(6_000), OBJECTIVE));
    assert!(!book.may_be_retry("new", ms(100), OBJECTIVE));
}

/// Taken as usual, the patience of a few probes made all others count as late: a third of a quiet
/// day's requests were refused.
#[test]
fn a_few_patient_callers_do_not_make_the_others_late() {
    let mut book = book(&[("chat", 6_000)]);
    for _ in 0..40 {
        assert!(!book.may_be_retry("chat", ms(20_000), OBJECTIVE));
        for _ in 0..3 {
            assert!(!book.may_be_retry("chat", ms(6_000), OBJECTIVE));
        }
    }
}

#[test]
fn callers_that_change_their_patience_are_learnt() {
    let mut book = book(&[("chat", 6_000)]);
    for _ in 0..2_000 {
        book.may_be_retry("chat", ms(2_000), OBJECTIVE);
    }
    assert!(!book.may_be_retry("chat", ms(2_000), OBJECTIVE));
    assert!(book.may_be_retry("chat", ms(1_000), OBJECTIVE));
}

/// Each caller that is refused comes back once, after one or two seconds.
#[test]
fn callers_that_come_back_are_known_even_where_half_do() {
    let mut book = book(&[("chat", 6_000)]);
    for round in 0..1_000_u64 {
        assert!(!book.may_be_retry("chat", ms(6_000), OBJECTIVE));
        assert!(book.may_be_retry("chat", ms(4_000 + round % 20 * 50), OBJECTIVE));
    }
}

/// Under twice the load that engines bear, requests that were late already made the others late too:
/// 250 of 910 were answered in time, as many late.
#[test]
fn a_request_that_is_late_in_any_case_needs_an_engine_with_room() {
    let fresh = first_event_limit(OBJECTIVE, Duration::ZERO, false);
    let late = first_event_limit(OBJECTIVE, Duration::ZERO, true);
    assert!(late < fresh / 2 && fresh < OBJECTIVE);
    let waited = first_event_limit(OBJECTIVE, ms(40), false);
    assert_eq!(waited + ms(40), fresh);
    assert_eq!(first_event_limit(OBJECTIVE, ms(500), false), Duration::ZERO);
}

/// A fifth of all callers state little patience from the start; refusing these made a calm day lose.
#[test]
fn only_a_request_that_was_refused_of_late_came_back() {
    let now = Instant::now();
    let (mut here, mut there) = (RefusedRequests::default(), RefusedRequests::default());
    here.record_refusal(7, now);
    assert!(here.was_refused(7, now) && !here.was_refused(8, now));
    let told = here.take_unsent();
    assert_eq!(told, [7]);
    assert!(here.take_unsent().is_empty());
    there.record_peer_refusal(told[0], now);
    assert!(there.was_refused(7, now) && there.take_unsent().is_empty());
    assert!(!there.was_refused(7, now + Duration::from_secs(4)));
}

#[test]
fn remembered_refusals_are_bounded() {
    let now = Instant::now();
    let mut refused = RefusedRequests::default();
    for call in 0..20_000 {
        refused.record_peer_refusal(call, now);
    }
    assert!(!refused.was_refused(0, now) && refused.was_refused(19_999, now));
}
