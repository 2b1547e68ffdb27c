//! Detection of retries after a refusal.

use std::time::{Duration, Instant};

use agatepin_core::relay::client_timeout::{ClientTimeouts, RefusedRequests, first_event_limit};

/// Target of the tested routes for the time to the first event.
const OBJECTIVE: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn timeouts(common: &[(&str, u64)]) -> ClientTimeouts {
    let mut timeouts = ClientTimeouts::default();
    for _ in 0..20 {
        for (route, timeout) in common {
            assert!(!timeouts.may_be_retry(route, ms(*timeout), OBJECTIVE));
        }
    }
    timeouts
}

#[test]
fn a_timeout_much_shorter_than_the_common_one_may_be_a_retry() {
    let mut timeouts = timeouts(&[("chat", 6_000), ("order", 1_000)]);
    assert!(!timeouts.may_be_retry("chat", ms(5_700), OBJECTIVE));
    assert!(timeouts.may_be_retry("chat", ms(4_900), OBJECTIVE));
    assert!(!timeouts.may_be_retry("order", ms(1_000), OBJECTIVE));
    assert!(timeouts.may_be_retry("order", ms(500), OBJECTIVE));
    // Too few requests of the route have been recorded to tell its most common timeout.
    assert!(!timeouts.may_be_retry("new", ms(6_000), OBJECTIVE));
    assert!(!timeouts.may_be_retry("new", ms(100), OBJECTIVE));
}

/// The long timeout of a few probe requests was once taken as the route's usual one. All other
/// requests then counted as retries, and a third of the requests of a day with low load were
/// refused.
#[test]
fn a_few_long_timeouts_do_not_make_the_others_count_as_retries() {
    let mut timeouts = timeouts(&[("chat", 6_000)]);
    for _ in 0..40 {
        assert!(!timeouts.may_be_retry("chat", ms(20_000), OBJECTIVE));
        for _ in 0..3 {
            assert!(!timeouts.may_be_retry("chat", ms(6_000), OBJECTIVE));
        }
    }
}

#[test]
fn the_common_timeout_follows_a_change_by_the_callers() {
    let mut timeouts = timeouts(&[("chat", 6_000)]);
    for _ in 0..2_000 {
        timeouts.may_be_retry("chat", ms(2_000), OBJECTIVE);
    }
    assert!(!timeouts.may_be_retry("chat", ms(2_000), OBJECTIVE));
    assert!(timeouts.may_be_retry("chat", ms(1_000), OBJECTIVE));
}

/// Each refused caller retries once, after one to two seconds, so that 4 s to 5 s of its timeout of
/// 6 s are left.
#[test]
fn retries_are_detected_even_if_half_of_the_requests_are_retries() {
    let mut timeouts = timeouts(&[("chat", 6_000)]);
    for index in 0..1_000_u64 {
        assert!(!timeouts.may_be_retry("chat", ms(6_000), OBJECTIVE));
        assert!(timeouts.may_be_retry("chat", ms(4_000 + index % 20 * 50), OBJECTIVE));
    }
}

/// At twice the load that engines can handle, requests that had already missed their objective
/// delayed the others too: 250 of 910 were answered in time, and as many late.
#[test]
fn a_retry_after_a_refusal_has_a_shorter_first_event_limit() {
    let first_attempt = first_event_limit(OBJECTIVE, Duration::ZERO, false);
    let retry = first_event_limit(OBJECTIVE, Duration::ZERO, true);
    assert!(retry < first_attempt / 2 && first_attempt < OBJECTIVE);
    let delayed = first_event_limit(OBJECTIVE, ms(40), false);
    assert_eq!(delayed + ms(40), first_attempt);
    assert_eq!(first_event_limit(OBJECTIVE, ms(500), false), Duration::ZERO);
}

/// A fifth of all callers state a short timeout on their first attempt. Refusing these requests as
/// retries worsened the results even at low load, so a request must also have been refused before.
#[test]
fn only_requests_refused_recently_here_or_by_a_peer_count_as_refused() {
    let now = Instant::now();
    let (mut here, mut there) = (RefusedRequests::default(), RefusedRequests::default());
    here.record_refusal(7, now);
    assert!(here.was_refused(7, now) && !here.was_refused(8, now));
    let sent = here.take_unsent();
    assert_eq!(sent, [7]);
    assert!(here.take_unsent().is_empty());
    there.record_peer_refusal(sent[0], now);
    assert!(there.was_refused(7, now) && there.take_unsent().is_empty());
    assert!(!there.was_refused(7, now + Duration::from_secs(4)));
}

#[test]
fn remembered_refusals_are_bounded() {
    let now = Instant::now();
    let mut refused = RefusedRequests::default();
    for fingerprint in 0..20_000 {
        refused.record_peer_refusal(fingerprint, now);
    }
    assert!(!refused.was_refused(0, now) && refused.was_refused(19_999, now));
}
