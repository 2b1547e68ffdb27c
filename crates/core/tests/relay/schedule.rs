use std::time::{Duration, Instant};

use agatepin_core::relay::schedule::{CUT_OVER, TERM, WeightsSchedule};

const NEW: Duration = Duration::ZERO;

/// A request waited 1.3 s in an engine's queue and began on weights that were out of their term.
#[test]
fn a_version_has_a_term_from_the_first_newer_one_that_is_named() {
    let now = Instant::now();
    let mut schedule = WeightsSchedule::default();
    schedule.announce(2, Duration::ZERO, now);
    assert_eq!(schedule.deadline_of(2), None);
    assert_eq!(schedule.deadline_of(1), Some(now + TERM));
    let later = now + Duration::from_secs(3);
    schedule.announce(3, Duration::ZERO, later);
    assert_eq!(schedule.deadline_of(1), Some(now + TERM));
    assert_eq!(schedule.deadline_of(2), Some(later + TERM));
    assert_eq!(schedule.deadline_of(3), None);
}

/// Two versions named 3 s apart: the first was taken to be due only with the second.
#[test]
fn a_newer_version_does_not_put_off_the_term_of_an_older_one() {
    let start = Instant::now();
    let later = start + Duration::from_secs(3);
    let mut schedule = WeightsSchedule::default();
    assert!(schedule.announce(2, NEW, start));
    assert!(schedule.announce(3, NEW, later));
    assert_eq!(schedule.required(later), None);
    assert_eq!(schedule.required(start + CUT_OVER), Some(2));
    assert_eq!(schedule.required(later + CUT_OVER), Some(3));
}

/// An entry that starts learns from the store how long ago a version was named.
#[test]
fn the_earliest_moment_that_is_heard_counts() {
    let now = Instant::now() + CUT_OVER * 2;
    let mut schedule = WeightsSchedule::default();
    schedule.announce(2, NEW, now);
    assert_eq!(schedule.required(now), None);
    assert!(!schedule.announce(2, CUT_OVER, now));
    assert_eq!(schedule.required(now), Some(2));
    schedule.announce(2, NEW, now);
    assert_eq!(schedule.required(now), Some(2));
}
