//! Requests that crash upstreams.

use std::time::{Duration, Instant};

use agatepin_core::ids::ContentDigest;
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::request_suspects::{
    MAX_SUSPECTS, NEWS_TIME, REFUSAL_TIME, RequestCrash, RequestSuspects,
};

fn key(number: usize) -> SuspectKey {
    SuspectKey {
        customer: "tannery".to_owned(),
        body_digest: ContentDigest::of(&number.to_le_bytes()),
    }
}

/// A crash of the upstream `life` by an attempt that was sent and broke at these seconds after `start`.
fn crash(life: &str, start: Instant, sent: u64, seen: u64) -> RequestCrash {
    RequestCrash {
        upstream_life: life.to_owned(),
        sent: start + Duration::from_secs(sent),
        seen: start + Duration::from_secs(seen),
        is_late: false,
    }
}

#[test]
fn two_crashes_one_after_the_other_have_a_request_refused() {
    let start = Instant::now();
    let mut suspects = RequestSuspects::default();
    assert!(suspects.record_crash(&key(1), crash("a/1", start, 0, 1), start));
    assert!(!suspects.record_crash(&key(1), crash("a/1", start, 2, 3), start));
    assert!(!suspects.is_refused(&key(1), start));
    assert!(suspects.record_crash(&key(1), crash("a/2", start, 2, 3), start));
    assert!(suspects.is_refused(&key(1), start));
    assert!(!suspects.is_refused(&key(2), start));
}

/// Guards against a stream that is given up after two breaks although a third upstream can go on with it.
#[test]
fn three_crashes_have_a_request_refused_if_its_answer_had_begun() {
    let start = Instant::now();
    let mut suspects = RequestSuspects::default();
    for life in 1..=3 {
        assert!(!suspects.is_refused(&key(1), start));
        let late = RequestCrash {
            is_late: life == 1,
            ..crash(&format!("a/{life}"), start, life, life)
        };
        suspects.record_crash(&key(1), late, start);
    }
    assert!(suspects.is_refused(&key(1), start));
}

/// Guards against sound requests that are refused because several upstreams crashed for one cause.
#[test]
fn crashes_of_attempts_that_overlap_count_once() {
    let start = Instant::now();
    let mut suspects = RequestSuspects::default();
    for (life, sent, seen) in [("a/1", 0, 4), ("b/1", 1, 5), ("c/1", 3, 6)] {
        suspects.record_crash(&key(1), crash(life, start, sent, seen), start);
    }
    assert!(!suspects.is_refused(&key(1), start));
    // News of earlier crashes may arrive later than those of later ones.
    suspects.record_crash(&key(1), crash("d/1", start, 0, 1), start);
    assert!(suspects.is_refused(&key(1), start));
}

#[test]
fn a_request_that_was_answered_is_not_refused() {
    let start = Instant::now();
    let mut suspects = RequestSuspects::default();
    assert!(!suspects.record_answer(&key(1), start));
    suspects.record_crash(&key(1), crash("a/1", start, 0, 1), start);
    suspects.record_crash(&key(1), crash("a/2", start, 2, 3), start);
    assert!(suspects.record_answer(&key(1), start));
    assert!(!suspects.is_refused(&key(1), start));
    assert!(!suspects.record_crash(&key(1), crash("a/3", start, 4, 5), start));
    // Another process heard of the answer before it heard of a crash.
    suspects.record_sound(&key(2), start);
    suspects.record_crash(&key(2), crash("b/1", start, 0, 1), start);
    suspects.record_crash(&key(2), crash("b/2", start, 2, 3), start);
    assert!(!suspects.is_refused(&key(2), start));
}

/// Guards against a request that crashes two upstreams a minute without end.
#[test]
fn each_crash_after_a_refusal_doubles_its_time() {
    let start = Instant::now();
    let mut suspects = RequestSuspects::default();
    suspects.record_crash(&key(1), crash("a/1", start, 0, 0), start);
    suspects.record_crash(&key(1), crash("a/2", start, 0, 0), start);
    let mut refused_until = start + REFUSAL_TIME;
    for relapse in 1..=8 {
        let before = refused_until.checked_sub(Duration::from_secs(1)).unwrap();
        assert!(suspects.is_refused(&key(1), before));
        assert!(!suspects.is_refused(&key(1), refused_until));
        let life = format!("b/{relapse}");
        let broke = RequestCrash {
            upstream_life: life,
            sent: refused_until,
            seen: refused_until,
            is_late: false,
        };
        suspects.record_crash(&key(1), broke, refused_until);
        refused_until += (REFUSAL_TIME * 2_u32.pow(relapse)).min(Duration::from_hours(1));
    }
}

#[test]
fn the_number_of_suspects_is_limited_and_refused_ones_come_first() {
    let start = Instant::now();
    let mut suspects = RequestSuspects::default();
    for life in ["a/1", "a/2"] {
        let second = u64::from(life == "a/2");
        suspects.record_crash(&key(0), crash(life, start, second, second), start);
    }
    let later = start + Duration::from_secs(9);
    for number in 1..=MAX_SUSPECTS {
        suspects.record_crash(&key(number), crash("b/1", start, 8, 9), later);
    }
    let news = suspects.news(later);
    assert_eq!(news.len(), MAX_SUSPECTS);
    assert_eq!(news[0].0, &key(0));
    // Guards against heartbeats that crowd the links between regions for a minute after each crash.
    let news = suspects.news(later + NEWS_TIME);
    assert_eq!(news.len(), 1);
    assert_eq!(news[0].0, &key(0));
}
