//! The ledger of an agent: what it says of an attempt stays true.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use agatepin_core::ledger::{
    AttemptStatus, CallLedger, LedgerPolicy, RetainedAnswer, SessionRef, StartDecision,
};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

const OWN: u64 = 7;
const RETENTION: Duration = Duration::from_mins(1);

fn ledger(now: Instant) -> (CallLedger, Instant) {
    let policy = LedgerPolicy {
        retention: RETENTION,
        max_answer_bytes: 16,
    };
    (CallLedger::new(OWN, policy), now)
}

fn session(entry: u64, session: u64) -> SessionRef {
    SessionRef { entry, session }
}

fn answer(body: &'static [u8]) -> RetainedAnswer {
    RetainedAnswer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from_static(body),
    }
}

#[rstest]
fn a_query_before_the_call_refuses_it() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    let fate = ledger.query(session(2, 1), 1, OWN, "a", now);
    assert_eq!(fate, AttemptStatus::Refused);
    let decision = ledger.start(session(1, 1), OWN, "a", now);
    assert_eq!(decision, StartDecision::AttemptRefused);
}

#[rstest]
fn a_query_closes_older_links_of_its_entry() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.query(session(1, 2), 1, OWN, "a", now);
    let decision = ledger.start(session(1, 1), OWN, "b", now);
    assert_eq!(decision, StartDecision::OldSession);
}

#[rstest]
fn another_incarnation_knows_nothing() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    let decision = ledger.start(session(1, 1), OWN + 1, "a", now);
    assert_eq!(decision, StartDecision::OtherIncarnation);
    let fate = ledger.query(session(1, 1), 1, OWN + 1, "a", now);
    assert_eq!(fate, AttemptStatus::Unknown);
}

#[rstest]
#[case::kept(b"short", AttemptStatus::Done(answer(b"short")))]
#[case::too_long(b"longer than 16 bytes", AttemptStatus::Unknown)]
fn an_answer_is_kept_within_the_bound(#[case] body: &'static [u8], #[case] fate: AttemptStatus) {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.start(session(1, 1), OWN, "a", now);
    ledger.finish("a", Some(answer(body)), now);
    assert_eq!(ledger.query(session(1, 1), 1, OWN, "a", now), fate);
}

#[rstest]
fn an_expired_answer_is_unknown_and_not_refused() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.start(session(1, 1), OWN, "a", now);
    ledger.finish("a", Some(answer(b"x")), now);
    ledger.expire(now + RETENTION);
    assert_eq!(ledger.answer_bytes(), 0);
    let fate = ledger.query(session(1, 1), 1, OWN, "a", now);
    assert_eq!(fate, AttemptStatus::Unknown);
}

#[rstest]
#[case::running(false, 1)]
#[case::done(true, 0)]
fn only_an_ended_attempt_is_settled(#[case] done: bool, #[case] left: usize) {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.start(session(1, 1), OWN, "a", now);
    if done {
        ledger.finish("a", Some(answer(b"x")), now);
    }
    ledger.settle("a");
    assert_eq!(ledger.len(), left);
}

#[derive(Clone, Debug)]
enum Step {
    Open {
        entry: u64,
    },
    Close {
        entry: u64,
        session: u64,
    },
    Start {
        entry: u64,
        session: u64,
        attempt: u64,
    },
    Finish {
        attempt: u64,
    },
    Query {
        entry: u64,
        attempt: u64,
    },
    Expire {
        seconds: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..2_u64).prop_map(|entry| Step::Open { entry }),
        (0..2_u64, 1..4_u64).prop_map(|(entry, session)| Step::Close { entry, session }),
        (0..2_u64, 1..4_u64, 0..4_u64).prop_map(|(entry, session, attempt)| Step::Start {
            entry,
            session,
            attempt
        }),
        (0..4_u64).prop_map(|attempt| Step::Finish { attempt }),
        (0..2_u64, 0..4_u64).prop_map(|(entry, attempt)| Step::Query { entry, attempt }),
        (1..120_u64).prop_map(|seconds| Step::Expire { seconds }),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Attempt n belongs to entry n % 2. An attempt proceeds at most once, and never after a
    /// query was told that it is refused.
    #[test]
    fn refused_is_final(steps in steps()) {
        let (mut ledger, mut now) = ledger(Instant::now());
        let mut newest = [0_u64; 2];
        let mut open = HashSet::new();
        let mut ran = HashSet::new();
        let mut refused = HashSet::new();
        let mut asked = HashMap::new();
        for step in steps {
            match step {
                Step::Open { entry } => {
                    let index = usize::try_from(entry).unwrap();
                    newest[index] += 1;
                    open.insert((entry, newest[index]));
                    ledger.open_session(session(entry, newest[index]));
                }
                Step::Close { entry, session: number } => {
                    if open.remove(&(entry, number)) {
                        ledger.close_session(session(entry, number));
                    }
                }
                Step::Start { entry, session: number, attempt } => {
                    let sent = asked.get(&attempt).is_none_or(|since| number < *since);
                    if attempt % 2 != entry || !open.contains(&(entry, number)) || !sent {
                        continue;
                    }
                    let name = attempt.to_string();
                    if ledger.start(session(entry, number), OWN, &name, now) == StartDecision::Proceed {
                        prop_assert!(ran.insert(attempt), "attempt {attempt} ran twice");
                        prop_assert!(!refused.contains(&attempt), "attempt {attempt} was refused");
                    }
                }
                Step::Finish { attempt } => {
                    if ran.contains(&attempt) {
                        ledger.finish(&attempt.to_string(), Some(answer(b"x")), now);
                    }
                }
                Step::Query { entry, attempt } => {
                    // The owner asks over a newer link and does not send the attempt after that;
                    // frames on its older links may still arrive.
                    let index = usize::try_from(entry).unwrap();
                    newest[index] += 1;
                    open.insert((entry, newest[index]));
                    let asker = session(entry, newest[index]);
                    if attempt % 2 == entry {
                        asked.entry(attempt).or_insert(newest[index]);
                    }
                    let fate = ledger.query(asker, attempt % 2, OWN, &attempt.to_string(), now);
                    if fate == AttemptStatus::Refused {
                        prop_assert!(!ran.contains(&attempt), "attempt {attempt} had run");
                        refused.insert(attempt);
                    }
                }
                Step::Expire { seconds } => {
                    now += Duration::from_secs(seconds);
                    ledger.expire(now);
                }
            }
        }
    }
}
