//! Load orders whose outcome may be unknown, and the evidence that their pieces were valid.

use std::time::Duration;

use agatepin_core::relay::load_order::{
    BootTime, LoadEvidence, LoadOrder, MAX_CHECK_AGE, OrderCount, OrderStatus, StageCheck,
};

fn check(started: BootTime, repaired: bool) -> StageCheck {
    StageCheck { started, repaired }
}

/// An order that is given first at this time, right after a check.
fn order_at(now: BootTime) -> LoadOrder {
    LoadOrder::new(count(4, 1_000), check(now, false))
}

fn count(orders: u64, born: u64) -> OrderCount {
    OrderCount { orders, born }
}

/// Guards against pieces of another version in the stage while an engine may still accept an order: an
/// unchanged state does not tell that it won't.
#[test]
fn an_order_is_pending_until_the_engine_has_accepted_one_or_was_started_again() {
    let mut order = order_at(Duration::ZERO);
    assert_eq!(order.record_count(count(4, 1_000)), OrderStatus::Pending);
    assert_eq!(order.record_count(count(5, 1_000)), OrderStatus::Accepted);
    assert_eq!(order.record_count(count(0, 2_000)), OrderStatus::Void);
    // Its number of orders tells nothing of the order where the engine was started again.
    assert_eq!(order.record_count(count(5, 2_000)), OrderStatus::Void);
}

#[test]
fn a_load_is_valid_if_its_pieces_were_checked_recently() {
    let order = order_at(Duration::from_secs(7));
    let latest = Duration::from_secs(7) + MAX_CHECK_AGE;
    assert_eq!(order.evidence(latest, false), LoadEvidence::Valid);
    let later = latest + Duration::from_millis(1);
    let still_staged = LoadEvidence::ValidIfStillStaged;
    assert_eq!(order.evidence(later, false), still_staged);
    // A write that was not confirmed may have replaced a piece after the check.
    assert_eq!(order.evidence(latest, true), still_staged);
}

/// Guards against a corrupt piece that was loaded and then repaired by the next check.
#[test]
fn a_repair_after_an_old_check_leaves_a_load_doubtful() {
    let mut order = order_at(Duration::ZERO);
    let later = MAX_CHECK_AGE + Duration::from_secs(1);
    order.record_check(check(Duration::from_secs(2), true));
    order.record_check(check(Duration::from_secs(3), false));
    assert_eq!(order.evidence(later, false), LoadEvidence::Doubtful);
    // The order was accepted after the repair.
    assert_eq!(order.record_count(count(4, 1_000)), OrderStatus::Pending);
    assert_eq!(order.evidence(later, false), LoadEvidence::Valid);
}
