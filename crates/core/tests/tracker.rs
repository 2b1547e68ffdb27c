//! Membership with suspicion and refutation, and the choice of overlay neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatepin_core::config::DataCentreSpec;
use agatepin_core::member::{ClusterMember, MemberHealth, MemberRole, MemberView};
use agatepin_core::overlay::{MAX_NEIGHBOURS, neighbours};
use agatepin_core::tracker::{MemberRecord, MemberStatus, MemberTracker, TrackerPolicy};
use proptest::prelude::*;
use rstest::rstest;

/// Time in which a suspected member can refute, and time after which a dead one that is not listed
/// is forgotten.
const POLICY: TrackerPolicy = TrackerPolicy {
    suspicion_timeout: Duration::from_secs(5),
    forget_after: Duration::from_mins(1),
};

fn member(index: usize) -> ClusterMember {
    ClusterMember {
        instance: format!("a{index}"),
        role: MemberRole::Agent,
        data_centre: format!("dc{}", index % 6),
        wire: ([127, 0, 0, 1], 4000).into(),
        http: ([127, 0, 0, 1], 4001).into(),
        upstream: Some(format!("m{index}")),
        leaving: false,
        health: MemberHealth::Alive,
    }
}

fn tracker(index: usize, incarnation: u64) -> MemberTracker {
    let own = MemberRecord {
        member: member(index),
        incarnation,
        number: 1,
        status: MemberStatus::Alive,
        config_revision: 0,
    };
    MemberTracker::new(own, POLICY)
}

/// Sends the changed records of `from` to `to`.
fn send_records(from: &mut MemberTracker, to: &mut MemberTracker, now: Instant) {
    for record in from.take_changed_records(100) {
        to.apply_record(record, now);
    }
}

fn status(tracker: &MemberTracker, name: &str) -> Option<MemberStatus> {
    tracker.record(name).map(|record| record.status)
}

#[test]
fn suspect_refutes_and_stays_alive() {
    let now = Instant::now();
    let (mut one, mut two) = (tracker(1, 7), tracker(2, 8));
    send_records(&mut two, &mut one, now);
    one.link_lost("a2", now);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Suspect));
    send_records(&mut one, &mut two, now);
    send_records(&mut two, &mut one, now);
    one.tick(now + POLICY.suspicion_timeout);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Alive));
}

#[test]
fn unrefuted_suspect_is_declared_dead_until_its_next_incarnation() {
    let now = Instant::now();
    let mut one = tracker(1, 7);
    send_records(&mut tracker(2, 8), &mut one, now);
    one.link_lost("a2", now);
    one.tick(now + POLICY.suspicion_timeout);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Dead));
    // The next incarnation starts with a lower sequence number in its record and raises the number
    // when it receives the record of its predecessor.
    let mut two = tracker(2, 3);
    send_records(&mut two, &mut one, now);
    send_records(&mut one, &mut two, now);
    send_records(&mut two, &mut one, now);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Alive));
    assert_eq!(one.record("a2").map(|record| record.incarnation), Some(3));
}

#[test]
fn leaving_member_is_dead_once_its_link_is_lost() {
    let now = Instant::now();
    let (mut one, mut two) = (tracker(1, 7), tracker(2, 8));
    two.leave();
    send_records(&mut two, &mut one, now);
    assert!(one.view().find("a2").is_some_and(|member| member.leaving));
    one.link_lost("a2", now);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Dead));
    one.tick(now + POLICY.forget_after);
    assert_eq!(status(&one, "a2"), None);
}

#[test]
fn list_adds_and_removes_members_without_a_record() {
    let now = Instant::now();
    let mut one = tracker(1, 7);
    one.listed(vec![member(1), member(2), member(3)], now);
    assert_eq!(one.view().members.len(), 3);
    send_records(&mut tracker(3, 9), &mut one, now);
    one.listed(vec![member(1)], now);
    assert_eq!(status(&one, "a2"), None);
    assert_eq!(status(&one, "a3"), Some(MemberStatus::Alive));
}

#[rstest]
#[case::listed_first(true)]
#[case::announced_first(false)]
fn listed_address_takes_precedence_while_it_is_listed(#[case] listed_first: bool) {
    let now = Instant::now();
    let mut one = tracker(1, 7);
    let mut listed = member(2);
    listed.wire.set_port(5000);
    listed.http.set_port(5001);
    if listed_first {
        one.listed(vec![listed.clone()], now);
    }
    send_records(&mut tracker(2, 8), &mut one, now);
    one.listed(vec![listed], now);
    let ports = |tracker: &MemberTracker| {
        let view = tracker.view();
        view.find("a2")
            .map(|member| (member.wire.port(), member.http.port()))
    };
    assert_eq!(ports(&one), Some((5000, 5001)));
    one.listed(Vec::new(), now);
    assert_eq!(ports(&one), Some((4000, 4001)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Suspicions in any order and with any loss are all refuted once every process has exchanged
    /// all records with every other one.
    #[test]
    fn live_members_refute_all_suspicions(
        steps in proptest::collection::vec((0..3_usize, 0..3_usize, 0..3_u8), 0..60),
    ) {
        let now = Instant::now();
        let mut trackers = [tracker(0, 5), tracker(1, 9), tracker(2, 2)];
        for (from, to, kind) in steps {
            if from == to {
                continue;
            }
            match kind {
                0 => trackers[from].link_lost(&format!("a{to}"), now),
                1 => trackers[from].tick(now + POLICY.suspicion_timeout),
                _ => {
                    let records = trackers[from].take_changed_records(2);
                    for record in records {
                        trackers[to].apply_record(record, now);
                    }
                }
            }
        }
        for _ in 0..4 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let records: Vec<MemberRecord> = trackers[from].records().cloned().collect();
                for record in records {
                    trackers[to].apply_record(record, now);
                }
            }
        }
        for tracker in &trackers {
            for name in ["a0", "a1", "a2"] {
                prop_assert_eq!(status(tracker, name), Some(MemberStatus::Alive));
            }
        }
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(7)]
#[case(40)]
#[case(1000)]
fn neighbours_are_bounded_and_reach_all_members_in_few_hops(#[case] count: usize) {
    let mut members: Vec<ClusterMember> = (0..count).map(member).collect();
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    let view = MemberView { members };
    let spec = |index: usize| DataCentreSpec {
        region: format!("region{}", index / 3),
        out: false,
    };
    let centres: BTreeMap<String, DataCentreSpec> = (0..6)
        .map(|index| (format!("dc{index}"), spec(index)))
        .collect();
    let mut links: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for member in &view.members {
        let chosen = neighbours(&member.instance, &view, &centres);
        assert!(chosen.len() <= MAX_NEIGHBOURS);
        assert!(!chosen.contains(&member.instance));
        for name in chosen {
            links
                .entry(name.clone())
                .or_default()
                .insert(member.instance.clone());
            links
                .entry(member.instance.clone())
                .or_default()
                .insert(name);
        }
    }
    let mut reached = BTreeSet::from(["a0".to_owned()]);
    for _ in 0..12 {
        let next: Vec<String> = reached
            .iter()
            .filter_map(|name| links.get(name))
            .flatten()
            .cloned()
            .collect();
        reached.extend(next);
    }
    assert_eq!(reached.len(), count);
}

#[test]
fn connection_attempt_begun_before_the_refutation_is_ignored() {
    let now = Instant::now();
    let (mut one, mut two) = (tracker(1, 7), tracker(2, 8));
    send_records(&mut two, &mut one, now);
    one.connect_failed("a2", now, now);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Suspect));
    send_records(&mut one, &mut two, now);
    let later = now + Duration::from_secs(1);
    send_records(&mut two, &mut one, later);
    one.connect_failed("a2", now, later);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Alive));
}

#[test]
fn dead_member_that_stays_listed_is_not_added_as_alive() {
    let now = Instant::now();
    let mut one = tracker(1, 7);
    one.listed(vec![member(2)], now);
    send_records(&mut tracker(2, 8), &mut one, now);
    one.link_lost("a2", now);
    let later = now + POLICY.suspicion_timeout;
    one.tick(later);
    assert_eq!(one.listed_dead_members(), ["a2"]);
    one.tick(later + POLICY.forget_after);
    one.listed(vec![member(2)], later + POLICY.forget_after);
    assert_eq!(status(&one, "a2"), Some(MemberStatus::Dead));
    one.listed(Vec::new(), later);
    one.tick(later + POLICY.forget_after);
    assert_eq!(status(&one, "a2"), None);
}

#[test]
fn revisions_are_passed_on_apart_from_records() {
    let now = Instant::now();
    let (mut one, mut two) = (tracker(1, 7), tracker(2, 8));
    send_records(&mut two, &mut one, now);
    let number = two.own().number;
    two.set_revision(5);
    assert!(!two.has_changed_records());
    assert_eq!(two.own().number, number);
    let changed = two.take_changed_revisions();
    let (revision, records) = changed.first_key_value().expect("a revision");
    for (received, expected) in [(*revision, true), (*revision, false), (4, false)] {
        assert_eq!(one.apply_revision(records[0], received), expected);
    }
    assert_eq!(one.take_changed_revisions(), changed);
    let mut renewed = one.clone();
    send_records(&mut tracker(2, 9), &mut renewed, now);
    assert!(!renewed.apply_revision(records[0], 6));
    let mut suspicion = one.record("a2").expect("a2").clone();
    suspicion.status = MemberStatus::Suspect;
    suspicion.config_revision = 0;
    one.apply_record(suspicion, now);
    assert_eq!(
        one.record("a2").map(|record| record.config_revision),
        Some(5)
    );
}
