//! Callers that come back after a refusal.

use std::time::Duration;

use agatepin_core::relay::patience::{PatienceBook, first_event_limit};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_caller_with_much_less_patience_than_usual_came_back() {
    let mut book = PatienceBook::default();
    assert!(!book.came_back("chat", ms(6_000), OBJECTIVE));
    assert!(!book.came_back("chat", ms(5_700), OBJECTIVE));
    assert!(book.came_back("chat", ms(4_900), OBJECTIVE));
    // Each route has its own usual patience; a longer one is learnt at once.
    assert!(!book.came_back("order", ms(1_000), OBJECTIVE));
    assert!(!book.came_back("order", ms(4_000), OBJECTIVE));
    assert!(book.came_back("order", ms(1_000), OBJECTIVE));
}

/// Under twice the load that engines bear, requests that were late already made the others late too:
/// 250 of 910 were answered in time, as many late.
#[test]
fn a_request_that_is_late_in_any_case_needs_an_engine_with_room() {
    let fresh = first_event_limit(OBJECTIVE, Duration::ZERO, false);
    let late = first_event_limit(OBJECTIVE, Duration::ZERO, true);
    assert!(late < fresh / 2, "{late:?} {fresh:?}");
    assert!(fresh < OBJECTIVE);
    let waited = first_event_limit(OBJECTIVE, ms(40), false);
    assert_eq!(waited + ms(40), fresh);
    assert_eq!(first_event_limit(OBJECTIVE, ms(500), false), Duration::ZERO);
}
