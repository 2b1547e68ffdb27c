//! Pulls of configuration bodies that several neighbours offer.

use std::time::Instant;

use agatepin_core::pull::{PULL_TIMEOUT, PullTracker};
use rstest::rstest;

#[rstest]
#[case::same(5, false)]
#[case::lower(4, false)]
#[case::higher(6, true)]
fn only_a_higher_revision_replaces_a_pull_in_progress(#[case] revision: u64, #[case] asked: bool) {
    let now = Instant::now();
    let mut tracker = PullTracker::default();
    assert!(tracker.on_offer("a", 5, now));
    assert_eq!(tracker.on_offer("b", revision, now), asked);
}

#[rstest]
fn next_neighbour_is_asked_after_a_timeout() {
    let now = Instant::now();
    let mut tracker = PullTracker::default();
    tracker.on_offer("a", 5, now);
    tracker.on_offer("b", 5, now);
    assert_eq!(tracker.next_after_timeout(now), None);
    assert_eq!(tracker.next_after_timeout(now + PULL_TIMEOUT), Some("b"));
    assert_eq!(tracker.next_after_timeout(now + PULL_TIMEOUT), None);
    assert_eq!(tracker.next_after_timeout(now + 2 * PULL_TIMEOUT), None);
    assert!(tracker.on_offer("c", 5, now + 2 * PULL_TIMEOUT));
}

#[rstest]
#[case::same_revision(5, None)]
#[case::lower_revision(4, Some("b"))]
fn body_in_force_ends_the_pull(#[case] in_force: u64, #[case] next: Option<&str>) {
    let now = Instant::now();
    let mut tracker = PullTracker::default();
    tracker.on_offer("a", 5, now);
    tracker.on_offer("b", 5, now);
    tracker.end_pull_up_to(in_force);
    assert_eq!(tracker.next_after_timeout(now + PULL_TIMEOUT), next);
}
