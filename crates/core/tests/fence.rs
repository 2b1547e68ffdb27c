//! Leases under which an agent may send load orders to its engine: orders of two agents to one
//! engine never overlap.

use std::time::{Duration, Instant};

use agatepin_core::fence::{FenceLease, FenceRaise, FenceRefusal, LeasePolicy, OrderOutcome};
use proptest::prelude::*;
use rstest::rstest;

/// Duration of a lease, and the maximum duration of an order that is permitted under it.
const POLICY: LeasePolicy = LeasePolicy {
    lease: Duration::from_secs(5),
    max_order_duration: Duration::from_secs(3),
};

fn lease(engine_checks: bool, predecessor: bool, start: Instant) -> FenceLease {
    let raise = FenceRaise {
        number: 7,
        predecessor,
    };
    FenceLease::new(POLICY, engine_checks, raise, start, start)
}

#[rstest]
#[case::numbers_checked_successor(true, true, 0, Ok(7))]
#[case::numbers_checked_after_the_lease(true, true, 60, Ok(7))]
#[case::no_predecessor(false, false, 0, Ok(7))]
#[case::successor_waits(false, true, 0, Err(FenceRefusal::Waiting(Duration::from_secs(8))))]
#[case::successor_has_to_read_the_row_again(false, true, 8, Err(FenceRefusal::Lapsed))]
#[case::lapsed(false, false, 5, Err(FenceRefusal::Lapsed))]
fn orders_are_permitted_only_within_the_lease(
    #[case] engine_checks: bool,
    #[case] predecessor: bool,
    #[case] seconds: u64,
    #[case] expected: Result<u64, FenceRefusal>,
) {
    let start = Instant::now();
    let lease = lease(engine_checks, predecessor, start);
    let permit = lease.permit(start + Duration::from_secs(seconds));
    assert_eq!(permit.map(|permit| permit.number), expected);
}

#[rstest]
#[case::own_number(7, Ok(7))]
#[case::higher_number(8, Err(FenceRefusal::Lost(8)))]
#[case::no_row(0, Err(FenceRefusal::Lapsed))]
fn reading_the_own_number_renews_a_lapsed_lease(
    #[case] row: u64,
    #[case] expected: Result<u64, FenceRefusal>,
) {
    let start = Instant::now();
    let now = start + Duration::from_secs(9);
    let mut lease = lease(false, false, start);
    lease.observe(row, now);
    assert_eq!(lease.permit(now).map(|permit| permit.number), expected);
}

#[test]
fn order_that_ends_after_its_deadline_is_an_overrun() {
    let start = Instant::now();
    let permit = lease(false, false, start).permit(start).unwrap();
    assert_eq!(
        permit.outcome_at(start + POLICY.max_order_duration),
        OrderOutcome::InLease
    );
    let late = start + POLICY.max_order_duration + Duration::from_nanos(1);
    assert_eq!(permit.outcome_at(late), OrderOutcome::Overrun);
}

proptest! {
    /// Whenever the old holder last read the row before the number was incremented, its orders end
    /// before the new holder's first one.
    #[test]
    fn orders_of_two_holders_do_not_overlap(
        read_before in 0u64..10_000,
        ordered_after in 0u64..20_000,
        first_try in 0u64..30_000,
    ) {
        let incremented_at = Instant::now() + Duration::from_mins(1);
        let read_at = incremented_at.checked_sub(Duration::from_millis(read_before)).unwrap();
        let mut old = lease(false, false, read_at);
        old.observe(7, read_at);
        let raise = FenceRaise { number: 8, predecessor: true };
        let mut new = FenceLease::new(POLICY, false, raise, incremented_at, incremented_at);
        let try_at = incremented_at + Duration::from_millis(first_try);
        new.observe(8, try_at);
        let old_order = old.permit(read_at + Duration::from_millis(ordered_after));
        if let (Ok(old_order), Ok(_)) = (old_order, new.permit(try_at)) {
            prop_assert!(old_order.deadline.unwrap() <= try_at);
        }
    }
}
