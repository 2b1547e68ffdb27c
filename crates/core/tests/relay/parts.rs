//! Parts of prompts that are suspected to crash upstreams: evidence, decisions and news.

use std::time::{Duration, Instant};

use agatepin_core::relay::part_evidence::{
    CRASH_RETENTION, CrashId, MAX_CRASHES, PartKey, PartState, REFUSAL_TIME, TRIAL_TIME,
};
use agatepin_core::relay::part_tracker::{
    CrashedAttempt, MAX_PARTS, PartAdmission, PartNews, PartTracker,
};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn key(part: &str) -> PartKey {
    PartKey {
        service: "chat".to_owned(),
        part: part.to_owned(),
    }
}

fn keys(parts: &[&str]) -> Vec<PartKey> {
    parts.iter().map(|part| key(part)).collect()
}

/// A tracker and its clock, which counts seconds.
struct Entry {
    tracker: PartTracker,
    start: Instant,
}

impl Entry {
    fn new() -> Self {
        let start = Instant::now() + 2 * REFUSAL_TIME;
        let tracker = PartTracker::default();
        Self { tracker, start }
    }

    fn at(&self, second: u32) -> Instant {
        self.start + second * SECOND
    }

    /// Records the crash of `upstream` at `second`, by a request that was sent at `sent` as a trial
    /// of `trial`.
    fn crash(&mut self, parts: &[&str], upstream: u64, sent: u32, second: u32, trial: &[&str]) {
        let attempt = CrashedAttempt {
            crash: CrashId {
                upstream: "u".to_owned(),
                born: upstream,
            },
            sent: self.at(sent),
            trial: &keys(trial),
        };
        let now = self.at(second);
        self.tracker.record_crash(&keys(parts), &attempt, now);
    }

    fn first_event(&mut self, parts: &[&str], second: u32) {
        let now = self.at(second);
        self.tracker.record_first_event(&keys(parts), now);
    }

    fn admit(&mut self, parts: &[&str], second: u32) -> PartAdmission {
        let now = self.at(second);
        let trial = u64::from(second);
        self.tracker.admit(&keys(parts), trial, now)
    }

    /// Crashes one upstream in a trial of `part` alone, from `second` to the next one.
    fn crash_trial(&mut self, part: &str, second: u32) {
        assert_eq!(
            self.admit(&[part], second),
            PartAdmission::Trial(keys(&[part]))
        );
        let crash = u64::from(second);
        self.crash(&[part], crash, second, second + 1, &[part]);
        let end = self.at(second + 1);
        self.tracker.end_trial(&keys(&[part]), crash, end);
    }

    fn state(&self, part: &str, second: u32) -> PartState {
        let now = self.at(second);
        let suspects = self.tracker.suspects(now);
        let found = suspects.iter().find(|(known, _)| **known == key(part));
        found.map_or(PartState::Clear, |(_, evidence)| evidence.state(now))
    }
}

#[test]
fn a_part_that_crashes_each_upstream_is_refused_after_two_trials() {
    let mut entry = Entry::new();
    entry.crash(&["d"], 1, 0, 1, &[]);
    entry.crash_trial("d", 2);
    entry.crash_trial("d", 4);
    assert_eq!(entry.admit(&["d"], 6), PartAdmission::Refused(key("d")));
}

/// A rack that is lost takes down all upstreams that run requests with a part.
#[test]
fn crashes_that_may_have_one_cause_are_one_wave() {
    let mut entry = Entry::new();
    for upstream in 0..6 {
        entry.crash(&["a"], upstream, 3, 4, &[]);
    }
    // In flight when the others crashed.
    entry.crash(&["a"], 6, 3, 9, &[]);
    // The same crash, as another request saw it.
    entry.crash(&["a"], 6, 5, 9, &[]);
    assert_eq!(entry.state("a", 9), PartState::Quarantined);
    let now = entry.at(9);
    assert_eq!(entry.tracker.suspects(now)[0].1.waves(now), 1);
}

#[test]
fn a_part_that_is_known_to_be_sound_is_suspected_after_two_waves() {
    let mut entry = Entry::new();
    entry.first_event(&["a"], 0);
    entry.crash(&["a"], 1, 1, 2, &[]);
    assert_eq!(entry.admit(&["a"], 2), PartAdmission::Clear);
    entry.crash(&["a"], 2, 3, 4, &[]);
    assert_eq!(entry.state("a", 4), PartState::Quarantined);
    entry.first_event(&["a"], 5);
    assert_eq!(entry.admit(&["a"], 5), PartAdmission::Clear);
    // Its request was sent before the first event.
    entry.crash(&["a"], 3, 4, 6, &[]);
    assert_eq!(entry.state("a", 6), PartState::Clear);
}

#[test]
fn a_trial_ends_when_it_is_over_or_too_old() {
    let mut entry = Entry::new();
    entry.crash(&["a"], 1, 0, 1, &[]);
    assert_eq!(
        entry.admit(&["b", "a"], 2),
        PartAdmission::Trial(keys(&["a"]))
    );
    assert_eq!(entry.admit(&["a"], 3), PartAdmission::OnTrial(key("a")));
    let now = entry.at(3);
    entry.tracker.end_trial(&keys(&["a"]), 2, now);
    assert_eq!(entry.admit(&["a"], 3), PartAdmission::Trial(keys(&["a"])));
    let later = 3 + u32::try_from(TRIAL_TIME.as_secs()).unwrap();
    assert_eq!(
        entry.admit(&["a"], later),
        PartAdmission::Trial(keys(&["a"]))
    );
}

/// Guards against a quarantine that ends because many trials ended within a short time, as they do
/// when no upstream takes them.
#[test]
fn a_part_stays_in_quarantine_after_many_short_trials() {
    let mut entry = Entry::new();
    entry.crash(&["deadly"], 1, 0, 1, &[]);
    let parts = keys(&["deadly"]);
    let now = entry.at(2);
    for trial in 0..20 {
        let admission = entry.tracker.admit(&parts, trial, now);
        assert_eq!(admission, PartAdmission::Trial(parts.clone()));
        entry.tracker.end_trial(&parts, trial, now);
    }
    let first = entry.tracker.admit(&parts, 20, now);
    assert_eq!(first, PartAdmission::Trial(parts.clone()));
    let second = entry.tracker.admit(&parts, 21, now);
    assert_eq!(second, PartAdmission::OnTrial(key("deadly")));
}

#[test]
fn a_refused_part_is_tried_again_later_and_later() {
    let mut entry = Entry::new();
    entry.crash(&["d"], 1, 0, 1, &[]);
    entry.crash_trial("d", 2);
    entry.crash_trial("d", 4);
    let later = 5 + u32::try_from(REFUSAL_TIME.as_secs()).unwrap();
    assert_eq!(entry.state("d", later - 1), PartState::Refused);
    entry.crash_trial("d", later);
    assert_eq!(entry.state("d", later + 1), PartState::Refused);
    let later = later + 1 + 2 * u32::try_from(REFUSAL_TIME.as_secs()).unwrap();
    assert_eq!(entry.state("d", later - 1), PartState::Refused);
    assert_eq!(
        entry.admit(&["d"], later),
        PartAdmission::Trial(keys(&["d"]))
    );
    entry.first_event(&["d"], later + 1);
    assert_eq!(entry.admit(&["d"], later + 1), PartAdmission::Clear);
}

#[test]
fn a_part_is_forgotten_an_hour_after_its_last_crash() {
    let mut entry = Entry::new();
    entry.crash(&["d"], 1, 0, 1, &[]);
    entry.crash(&["d"], 2, 1_000, 1_001, &[]);
    let hour = u32::try_from(CRASH_RETENTION.as_secs()).unwrap();
    let now = entry.at(1_000 + hour);
    assert_eq!(entry.tracker.suspects(now)[0].1.waves(now), 2);
    assert_eq!(entry.admit(&["d"], 1_001 + hour), PartAdmission::Clear);
}

/// Guards against a sound part that is refused because requests with a deadly one have it as well.
#[test]
fn of_two_parts_that_crash_together_neither_is_refused_alone_without_a_trial_of_its_own() {
    let mut entry = Entry::new();
    for second in [0, 2, 4] {
        entry.crash(&["a", "d"], second.into(), second, second + 1, &["a", "d"]);
    }
    assert_eq!(
        entry.admit(&["a", "d"], 6),
        PartAdmission::Refused(key("d"))
    );
    assert_eq!(entry.admit(&["a"], 6), PartAdmission::Trial(keys(&["a"])));
    entry.first_event(&["a"], 7);
    entry.crash_trial("d", 8);
    assert_eq!(entry.admit(&["a"], 10), PartAdmission::Clear);
    assert_eq!(
        entry.admit(&["a", "d"], 10),
        PartAdmission::Refused(key("d"))
    );
}

#[test]
fn evidence_is_bounded() {
    let mut entry = Entry::new();
    for upstream in 0..40 {
        let second = u32::try_from(upstream).unwrap();
        entry.crash(&["d"], upstream, second, second + 1, &[]);
    }
    let now = entry.at(41);
    let known = entry.tracker.news_of(&key("d"), now).unwrap().crashes;
    assert_eq!(known.len(), MAX_CRASHES);
    assert!(known.iter().all(|crash| crash.id.born >= 32), "{known:?}");
    for number in 0..2 * MAX_PARTS {
        let second = 50 + u32::try_from(number / 100).unwrap();
        entry.first_event(&[&number.to_string()], second);
    }
    assert!(entry.tracker.len() <= MAX_PARTS);
    assert_ne!(entry.state("d", 300), PartState::Clear);
    let now = entry.at(300);
    assert!(entry.tracker.news_of(&key("0"), now).is_none());
}

#[rstest]
#[case::empty("")]
#[case::long(&"f".repeat(65))]
fn news_of_a_part_without_a_proper_id_is_skipped(#[case] part: &str) {
    let mut entry = Entry::new();
    entry.crash(&["d"], 1, 0, 1, &[]);
    let now = entry.at(1);
    let mut news = entry.tracker.news_of(&key("d"), now).unwrap();
    news.key = key(part);
    let mut other = PartTracker::default();
    assert!(!other.merge(news, now));
    assert!(other.is_empty());
}

#[test]
fn an_entry_that_knows_a_first_event_answers_to_a_suspicion() {
    let mut first = Entry::new();
    first.crash(&["a"], 1, 2, 3, &[]);
    let mut second = Entry::new();
    second.start = first.start;
    second.first_event(&["a"], 1);
    let now = first.at(3);
    let suspicion = first.tracker.news_of(&key("a"), now).unwrap();
    assert!(second.tracker.merge(suspicion, now));
    let reply = second.tracker.news_of(&key("a"), now).unwrap();
    assert!(!first.tracker.merge(reply, now));
    assert_eq!(first.admit(&["a"], 3), PartAdmission::Clear);
    // Once told, it is not told again.
    let known = first.tracker.news_of(&key("a"), now).unwrap();
    assert!(!second.tracker.merge(known, now));
    // A first event since the crash clears the part for good.
    second.first_event(&["a"], 4);
    let now = first.at(4);
    let known = first.tracker.news_of(&key("a"), now).unwrap();
    assert!(second.tracker.merge(known, now));
    let reply = second.tracker.news_of(&key("a"), now).unwrap();
    first.tracker.merge(reply, now);
    assert!(first.tracker.suspects(now).is_empty());
}

/// What one entry sees of a part.
#[derive(Clone, Debug)]
enum Sight {
    Crash { upstream: u64, sent: u32, took: u32 },
    FirstEvent(u32),
}

fn sight() -> impl Strategy<Value = Sight> {
    prop_oneof![
        (0..5u64, 0..20u32, 1..6u32).prop_map(|(upstream, sent, took)| Sight::Crash {
            upstream,
            sent,
            took
        }),
        (0..20u32).prop_map(Sight::FirstEvent),
    ]
}

/// News of single sights, each from an entry of its own, as sent at second 30.
fn news_of(sights: &[Sight], start: Instant) -> Vec<PartNews> {
    let news = sights.iter().map(|sight| {
        let mut entry = Entry::new();
        entry.start = start;
        match *sight {
            Sight::Crash {
                upstream,
                sent,
                took,
            } => {
                entry.crash(&["a"], upstream, sent, sent + took, &[]);
            }
            Sight::FirstEvent(second) => entry.first_event(&["a"], second),
        }
        entry.tracker.news_of(&key("a"), entry.at(30)).unwrap()
    });
    news.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// The order of news, and news that arrives twice, make no difference.
    #[test]
    fn the_order_of_news_makes_no_difference(
        sights in prop::collection::vec(sight(), 1..8),
        order in any::<prop::sample::Index>(),
    ) {
        let start = Instant::now() + 2 * REFUSAL_TIME;
        let news = news_of(&sights, start);
        let mut turned = news.clone();
        turned.rotate_left(order.index(news.len()));
        turned.extend(turned.clone().into_iter().rev());
        let merged = |all: Vec<PartNews>| {
            let mut entry = Entry::new();
            entry.start = start;
            let now = entry.at(30);
            for news in all {
                entry.tracker.merge(news, now);
            }
            let known = entry.tracker.news_of(&key("a"), now);
            (known, entry.state("a", 30))
        };
        prop_assert_eq!(merged(news), merged(turned));
    }
}
