//! Load orders whose outcome may be unknown.

use agatepin_core::relay::load_order::{LoadOrder, OrderStatus};

/// Guards against pieces of another version in the stage while an engine may still accept an order: an
/// unchanged state does not tell that it won't.
#[test]
fn an_order_is_pending_until_the_engine_has_accepted_one_or_was_started_again() {
    let order = LoadOrder::new(4, 1_000);
    assert_eq!(order.status(4, 1_000), OrderStatus::Pending);
    assert_eq!(order.status(5, 1_000), OrderStatus::Accepted);
    assert_eq!(order.status(0, 2_000), OrderStatus::Void);
    // Its number of orders tells nothing of the order where the engine was started again.
    assert_eq!(order.status(5, 2_000), OrderStatus::Void);
}
