//! Limits that upstreams state, from answers and news that may overtake each other.

use std::time::{Duration, Instant};

use agatepin_core::relay::stated_limit::{LimitChange, RequestRate, UpstreamLimit};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(100);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).unwrap()
}

/// Numbers as an answer may state them.
#[rstest]
#[case::usual(4.3, Some(4.3))]
#[case::none_at_all(0.0, Some(0.0))]
#[case::low(0.01, Some(0.01))]
#[case::huge(1e300, Some(4_294_967.295))]
#[case::negative(-1.0, None)]
#[case::no_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
fn a_rate_is_a_finite_number_from_0(#[case] stated: f64, #[case] per_second: Option<f64>) {
    let rate = RequestRate::from_per_second(stated);
    assert_eq!(rate.map(RequestRate::per_second), per_second);
}

/// A limit was stated in an answer that arrived at step 10. Guards against answers from before it that
/// arrive later and lift it.
#[rstest]
#[case::request_from_before_the_limit(9, false)]
#[case::request_from_after_it(11, true)]
fn only_an_answer_to_a_later_request_lifts_a_limit(#[case] sent: u32, #[case] lifted: bool) {
    let start = Instant::now();
    let now = start + STEP * 20;
    let mut limit = UpstreamLimit::default();
    let begun = limit.record(Some(rate(4.0)), start + STEP * 10, true, start + STEP * 10);
    assert_eq!(begun, LimitChange::Begun);
    let change = limit.record(None, start + STEP * sent, true, now);
    let expected = if lifted {
        LimitChange::Ended
    } else {
        LimitChange::Unchanged
    };
    assert_eq!(change, expected);
    assert_eq!(limit.rate().is_none(), lifted);
    // The answer that stated the limit, heard from another entry, does not bring it back.
    limit.record(Some(rate(4.0)), start + STEP * 10, false, now);
    assert_eq!(limit.rate().is_none(), lifted);
}

#[test]
fn the_latest_statement_counts_whatever_the_order_of_arrival() {
    let start = Instant::now();
    let mut limit = UpstreamLimit::default();
    limit.record(Some(rate(4.0)), start + STEP * 2, true, start + STEP * 2);
    let now = start + STEP * 3;
    assert_eq!(
        limit.record(Some(rate(9.0)), start + STEP, false, now),
        LimitChange::Unchanged
    );
    assert_eq!(limit.rate(), Some(rate(4.0)));
    assert_eq!(
        limit.record(Some(rate(2.0)), now, false, now),
        LimitChange::Changed
    );
    assert_eq!(limit.rate(), Some(rate(2.0)));
    assert_eq!(limit.changed_at(), Some(start + STEP * 2));
}

/// Only the entry that made the latest observation passes it on, so that news does not circulate among
/// entries after the upstream has stopped to state a limit.
#[test]
fn only_first_hand_observations_are_passed_on() {
    let start = Instant::now();
    let mut limit = UpstreamLimit::default();
    limit.record(Some(rate(4.0)), start, false, start);
    assert_eq!(limit.first_hand(), None);
    limit.record(Some(rate(4.0)), start + STEP, true, start + STEP);
    assert_eq!(limit.first_hand(), Some((Some(rate(4.0)), start + STEP)));
    limit.record(None, start + STEP * 2, true, start + STEP * 3);
    assert_eq!(limit.first_hand(), Some((None, start + STEP * 2)));
    limit.record(Some(rate(4.0)), start + STEP * 4, false, start + STEP * 5);
    assert_eq!(limit.first_hand(), None);
}
