//! Admission control of one upstream: the calls in flight never exceed the limit, and the limit
//! rises only while quick answers show that the upstream can handle it.

use std::time::Duration;

use agatepin_core::gate::{
    CallEnd, GatePolicy, GateRefusal, GateStage, ServedWeights, UpstreamGate,
};
use agatepin_core::ids::ContentDigest;
use proptest::prelude::*;
use rstest::rstest;

/// Limits of calls in flight at a cold and a warm upstream, and the time to the first byte from
/// which an answer counts as slow.
const POLICY: GatePolicy = GatePolicy {
    cold_limit: 2,
    warm_limit: 8,
    slow_after: Duration::from_millis(300),
};
/// Time to the first byte of a quick answer, below `slow_after`.
const QUICK: Option<Duration> = Some(Duration::from_millis(10));
/// Time to the first byte of a slow answer, above `slow_after`.
const SLOW: Option<Duration> = Some(Duration::from_millis(900));

fn serving_gate() -> UpstreamGate {
    let mut gate = UpstreamGate::new(POLICY);
    gate.serve(Some(ServedWeights {
        model: "press".into(),
        version: "v1".into(),
        digest: ContentDigest::of(b"weights"),
    }));
    gate
}

/// Runs `calls` calls to an answer, as many at a time as the gate admits.
fn answer_calls(gate: &mut UpstreamGate, calls: u32, first_byte: Option<Duration>) {
    let mut left = calls;
    while left > 0 {
        let mut admitted = 0;
        while admitted < left && gate.try_admit(Some("press"), false).is_ok() {
            admitted += 1;
        }
        for _ in 0..admitted {
            gate.release(CallEnd::Answered, first_byte);
        }
        left -= admitted;
    }
}

#[rstest]
fn sequential_calls_do_not_raise_the_limit() {
    let mut gate = serving_gate();
    for _ in 0..60 {
        gate.try_admit(Some("press"), false).unwrap();
        gate.release(CallEnd::Answered, QUICK);
    }
    assert_eq!(gate.limit(), POLICY.cold_limit);
}

#[rstest]
fn limit_is_not_raised_while_the_upstream_reports_cold() {
    let mut gate = serving_gate();
    gate.report_cold(true);
    answer_calls(&mut gate, 60, QUICK);
    assert_eq!(gate.limit(), POLICY.cold_limit);
    gate.report_cold(false);
    answer_calls(&mut gate, 60, QUICK);
    assert_eq!(gate.limit(), POLICY.warm_limit);
}

#[rstest]
#[case::absent(|gate: &mut UpstreamGate| gate.set_stage(GateStage::Absent), GateRefusal::NoWeights)]
#[case::draining(|gate: &mut UpstreamGate| gate.set_stage(GateStage::Draining), GateRefusal::NoWeights)]
#[case::leaving(UpstreamGate::leave, GateRefusal::Leaving)]
#[case::out(|gate: &mut UpstreamGate| gate.set_in_service(false), GateRefusal::DataCentreOut)]
fn closed_gate_returns_the_reason(
    #[case] close: fn(&mut UpstreamGate),
    #[case] refusal: GateRefusal,
) {
    let mut gate = serving_gate();
    close(&mut gate);
    assert_eq!(gate.try_admit(Some("press"), false), Err(refusal));
}

#[rstest]
#[case::other_model(Some("hides"))]
#[case::plain_service(None)]
fn call_for_another_model_is_refused(#[case] model: Option<&str>) {
    let refusal = serving_gate().try_admit(model, false);
    assert_eq!(refusal, Err(GateRefusal::OtherModel));
}

#[rstest]
#[case::as_many_as_the_limit(2, QUICK, 3)]
#[case::fewer_than_the_limit(1, QUICK, 2)]
#[case::slow(6, SLOW, 2)]
#[case::up_to_the_warm_limit(60, QUICK, 8)]
fn quick_answers_raise_the_limit(
    #[case] calls: u32,
    #[case] first_byte: Option<Duration>,
    #[case] limit: u32,
) {
    let mut gate = serving_gate();
    answer_calls(&mut gate, calls, first_byte);
    assert_eq!(gate.limit(), limit);
}

#[rstest]
#[case::turned_cold(|gate: &mut UpstreamGate| gate.turn_cold())]
#[case::reported_cold(|gate: &mut UpstreamGate| gate.report_cold(true))]
#[case::first_bytes_overdue(|gate: &mut UpstreamGate| (0..3).for_each(|_| gate.record_overdue()))]
#[case::slow_answers(|gate: &mut UpstreamGate| answer_calls(gate, 3, SLOW))]
#[case::data_centre_back_in_service(|gate: &mut UpstreamGate| {
    gate.set_in_service(false);
    gate.set_in_service(true);
})]
#[case::call_failed(|gate: &mut UpstreamGate| {
    gate.try_admit(Some("press"), false).unwrap();
    gate.release(CallEnd::Failed, None);
})]
fn warm_upstream_returns_to_the_cold_limit(#[case] turn_cold: fn(&mut UpstreamGate)) {
    let mut gate = serving_gate();
    answer_calls(&mut gate, 60, QUICK);
    assert!(!gate.is_cold());
    turn_cold(&mut gate);
    assert_eq!(gate.limit(), POLICY.cold_limit);
}

#[rstest]
fn suspect_shares_the_upstream_with_no_call() {
    let mut gate = serving_gate();
    gate.try_admit(Some("press"), false).unwrap();
    let beside_another = gate.try_admit(Some("press"), true);
    assert_eq!(beside_another, Err(GateRefusal::Suspect));
    gate.release(CallEnd::Answered, QUICK);
    gate.try_admit(Some("press"), true).unwrap();
    let beside_suspect = gate.try_admit(Some("press"), false);
    assert_eq!(beside_suspect, Err(GateRefusal::Suspect));
}

#[rstest]
fn reserved_gate_admits_only_the_suspect() {
    let mut gate = serving_gate();
    gate.try_admit(Some("press"), false).unwrap();
    assert!(gate.reserve());
    assert!(!gate.reserve());
    let beside_reservation = gate.try_admit(Some("press"), false);
    assert_eq!(beside_reservation, Err(GateRefusal::Suspect));
    gate.release(CallEnd::Answered, QUICK);
    assert_eq!(gate.shared_limit(), 0);
    gate.try_admit(Some("press"), true).unwrap();
    gate.release(CallEnd::Answered, QUICK);
    gate.try_admit(Some("press"), false).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of events, no admission takes the calls in flight above the limit, and the
    /// limit stays between the cold and the warm limit.
    #[test]
    fn admissions_stay_within_the_limit(steps in prop::collection::vec(0..9_u8, 1..200)) {
        let mut gate = serving_gate();
        let mut admitted = 0_u32;
        for step in steps {
            match step {
                0..=2 => {
                    let limit = gate.limit();
                    if gate.try_admit(Some("press"), false).is_ok() {
                        admitted += 1;
                        prop_assert!(admitted <= limit);
                    }
                }
                3 if admitted > 0 => {
                    admitted -= 1;
                    gate.release(CallEnd::Answered, QUICK);
                }
                4 if admitted > 0 => {
                    admitted -= 1;
                    gate.release(CallEnd::Failed, None);
                }
                5 => gate.turn_cold(),
                6 => gate.report_cold(true),
                7 => gate.report_cold(false),
                8 => gate.record_overdue(),
                _ => (),
            }
            prop_assert_eq!(gate.in_flight(), admitted);
            prop_assert!((POLICY.cold_limit..=POLICY.warm_limit).contains(&gate.limit()));
        }
    }
}
