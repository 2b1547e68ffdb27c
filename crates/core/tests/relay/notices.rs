//! What upstreams say of themselves: that they leave, and that they hold off requests.

use std::time::{Duration, Instant};

use agatepin_core::relay::notices::{HOLD_RECOVERY, MAX_HOLD, UpstreamHold};
use agatepin_core::relay::upstreams::{UpstreamDirectory, UpstreamListing};
use rstest::rstest;

use super::setups::listing;

/// Identifier of the tested upstream.
const ID: &str = "u1";
const SECOND: Duration = Duration::from_secs(1);

fn row(born: u64) -> UpstreamListing {
    UpstreamListing {
        born,
        ..listing("desk", 1, "thies")
    }
}

fn upstreams(now: Instant) -> UpstreamDirectory {
    let mut upstreams = UpstreamDirectory::default();
    upstreams.list(&ID.to_owned(), row(7), now);
    upstreams
}

fn is_usable(upstreams: &UpstreamDirectory, now: Instant) -> bool {
    upstreams.get(ID).is_some_and(|state| state.is_usable(now))
}

/// Rows that arrive after the upstream itself said that it is leaving: the same one, one that is
/// older, and one after a removal, as copied from an entry that knows less.
#[rstest]
#[case::same_row(false)]
#[case::removed_and_listed_again(true)]
fn no_row_brings_an_upstream_back_that_said_that_it_is_leaving(#[case] removed: bool) {
    let now = Instant::now();
    let mut upstreams = upstreams(now);
    assert!(upstreams.record_leaving(ID, 7, Duration::ZERO, now));
    assert!(!is_usable(&upstreams, now));
    if removed {
        upstreams.unlist(&ID.to_owned(), false);
    }
    upstreams.list(&ID.to_owned(), row(7), now + SECOND);
    assert!(!is_usable(&upstreams, now + SECOND));
}

#[test]
fn an_upstream_that_started_again_is_used_after_it_said_that_it_is_leaving() {
    let now = Instant::now();
    let mut upstreams = upstreams(now);
    upstreams.record_leaving(ID, 7, Duration::ZERO, now);
    upstreams.list(&ID.to_owned(), row(8), now);
    assert!(is_usable(&upstreams, now));
    // News of the earlier life arrives late.
    assert!(!upstreams.record_leaving(ID, 7, SECOND, now));
    assert!(is_usable(&upstreams, now));
}

#[test]
fn news_from_another_entry_can_arrive_before_the_row() {
    let now = Instant::now();
    let mut upstreams = UpstreamDirectory::default();
    upstreams.record_leaving(ID, 7, SECOND, now);
    upstreams.list(&ID.to_owned(), row(7), now);
    assert!(!is_usable(&upstreams, now));
}

#[test]
fn only_recent_news_is_passed_on_and_with_its_age() {
    let now = Instant::now();
    let mut upstreams = upstreams(now);
    upstreams.record_leaving(ID, 7, SECOND, now);
    let recent = |max_age: Duration| -> Vec<Duration> {
        let recent = upstreams.leaving().recent(max_age, now);
        recent.map(|(_, _, age)| age).collect()
    };
    assert_eq!(recent(2 * SECOND), [SECOND]);
    assert!(recent(SECOND).is_empty());
}

#[test]
fn an_upstream_that_holds_off_requests_gets_none_until_the_hold_ends() {
    let now = Instant::now();
    let mut upstreams = upstreams(now);
    assert!(upstreams.record_hold(ID, 2 * SECOND, now));
    // A shorter hold does not shorten it.
    assert!(!upstreams.record_hold(ID, SECOND / 2, now));
    assert!(!is_usable(&upstreams, now + Duration::from_millis(1_999)));
    assert!(is_usable(&upstreams, now + 2 * SECOND));
    assert!(upstreams.take_hold_end(ID, now + 2 * SECOND));
    assert!(!upstreams.take_hold_end(ID, now + 2 * SECOND));
}

#[test]
fn a_hold_is_limited_and_the_upstream_comes_back_gradually() {
    let now = Instant::now();
    let mut hold = UpstreamHold::default();
    assert_eq!(hold.limit(16, now), 16);
    hold.extend(Duration::MAX, now);
    assert_eq!(hold.left(now), Some(MAX_HOLD));
    let end = now + MAX_HOLD;
    assert_eq!(hold.left(end), None);
    assert_eq!(hold.limit(16, end), 1);
    assert_eq!(hold.limit(16, end + HOLD_RECOVERY / 2), 8);
    assert_eq!(hold.limit(16, end + HOLD_RECOVERY), 16);
}
