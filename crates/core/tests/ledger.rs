//! The call ledger of an agent: the status that it reports for an attempt stays true.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use agatepin_core::ledger::{
    AttemptStatus, CallLedger, LedgerPolicy, RetainedAnswer, SessionRef, StartDecision,
};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

/// Incarnation of the agent whose ledger is tested.
const OWN_INCARNATION: u64 = 7;
/// Time for which the ledger retains answers.
const RETENTION: Duration = Duration::from_mins(1);

fn ledger(now: Instant) -> (CallLedger, Instant) {
    let policy = LedgerPolicy {
        retention: RETENTION,
        max_answer_bytes: 16,
    };
    (CallLedger::new(OWN_INCARNATION, policy), now)
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
fn query_before_the_call_refuses_the_attempt() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    let status = ledger.query(session(2, 1), 1, OWN_INCARNATION, "a", now);
    assert_eq!(status, AttemptStatus::Refused);
    let decision = ledger.start(session(1, 1), OWN_INCARNATION, "a", now);
    assert_eq!(decision, StartDecision::AttemptRefused);
}

#[rstest]
fn query_invalidates_older_sessions_of_its_entry() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.query(session(1, 2), 1, OWN_INCARNATION, "a", now);
    let decision = ledger.start(session(1, 1), OWN_INCARNATION, "b", now);
    assert_eq!(decision, StartDecision::OldSession);
}

#[rstest]
fn attempt_at_another_incarnation_is_unknown() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    let decision = ledger.start(session(1, 1), OWN_INCARNATION + 1, "a", now);
    assert_eq!(decision, StartDecision::OtherIncarnation);
    let status = ledger.query(session(1, 1), 1, OWN_INCARNATION + 1, "a", now);
    assert_eq!(status, AttemptStatus::Unknown);
}

#[rstest]
#[case::within_the_limit(b"short", AttemptStatus::Done(answer(b"short")))]
#[case::over_the_limit(b"longer than 16 bytes", AttemptStatus::Unknown)]
fn answer_is_retained_up_to_the_size_limit(
    #[case] body: &'static [u8],
    #[case] status: AttemptStatus,
) {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.start(session(1, 1), OWN_INCARNATION, "a", now);
    ledger.finish("a", Some(answer(body)), now);
    assert_eq!(
        ledger.query(session(1, 1), 1, OWN_INCARNATION, "a", now),
        status
    );
}

#[rstest]
fn expired_answer_is_unknown_and_not_refused() {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.start(session(1, 1), OWN_INCARNATION, "a", now);
    ledger.finish("a", Some(answer(b"x")), now);
    ledger.expire(now + RETENTION);
    assert_eq!(ledger.answer_bytes(), 0);
    let status = ledger.query(session(1, 1), 1, OWN_INCARNATION, "a", now);
    assert_eq!(status, AttemptStatus::Unknown);
}

#[rstest]
#[case::running(false, 1)]
#[case::done(true, 0)]
fn settle_removes_only_an_ended_attempt(#[case] done: bool, #[case] remaining: usize) {
    let (mut ledger, now) = ledger(Instant::now());
    ledger.open_session(session(1, 1));
    ledger.start(session(1, 1), OWN_INCARNATION, "a", now);
    if done {
        ledger.finish("a", Some(answer(b"x")), now);
    }
    ledger.settle("a");
    assert_eq!(ledger.len(), remaining);
}

/// One event at the ledger, by the number of the entry, of its session and of the attempt.
#[derive(Clone, Debug)]
enum Step {
    /// The entry opens its next session.
    Open { entry: u64 },
    /// A session ends.
    Close { entry: u64, session: u64 },
    /// A call of the attempt arrives on a session.
    Start {
        entry: u64,
        session: u64,
        attempt: u64,
    },
    /// The attempt ends with an answer.
    Finish { attempt: u64 },
    /// The entry queries the status of the attempt on a new session.
    Query { entry: u64, attempt: u64 },
    /// Time passes, and the ledger removes expired answers.
    Expire { seconds: u64 },
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

    /// Attempt n is made by entry n % 2, its owner. An attempt proceeds at most once, and never
    /// after a query has reported it as refused.
    #[test]
    fn refused_attempt_never_proceeds(steps in steps()) {
        let (mut ledger, mut now) = ledger(Instant::now());
        let mut newest = [0_u64; 2];
        let mut open = HashSet::new();
        let mut ran = HashSet::new();
        let mut refused = HashSet::new();
        let mut queried = HashMap::new();
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
                    let may_arrive = queried.get(&attempt).is_none_or(|since| number < *since);
                    if attempt % 2 != entry || !open.contains(&(entry, number)) || !may_arrive {
                        continue;
                    }
                    let name = attempt.to_string();
                    if ledger.start(session(entry, number), OWN_INCARNATION, &name, now) == StartDecision::Proceed {
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
                    // The query opens a newer session of the querying entry. If that entry is the
                    // attempt's owner, it does not send the attempt on this or a later session;
                    // frames on its older sessions may still arrive.
                    let index = usize::try_from(entry).unwrap();
                    newest[index] += 1;
                    open.insert((entry, newest[index]));
                    let requester = session(entry, newest[index]);
                    if attempt % 2 == entry {
                        queried.entry(attempt).or_insert(newest[index]);
                    }
                    let status = ledger.query(requester, attempt % 2, OWN_INCARNATION, &attempt.to_string(), now);
                    if status == AttemptStatus::Refused {
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
