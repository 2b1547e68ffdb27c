//! Selection of the configuration in force from blobs (configuration bodies with their revision and
//! digest) of peers and of the table service.

use std::collections::BTreeMap;

use agatepin_core::config::{ClusterConfig, DataCentreSpec};
use agatepin_core::ids::ContentDigest;
use agatepin_core::spread::{
    ApplyOutcome, BlobError, ConfigBlob, ConfigSelector, ConfigSource, OfferOutcome,
};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

fn config(revision: u64) -> ClusterConfig {
    ClusterConfig {
        revision,
        ..ClusterConfig::default()
    }
}

fn blob(revision: u64, variant: &str) -> ConfigBlob {
    ConfigBlob::new(revision, Bytes::from(format!("{revision} {variant}")))
}

fn apply(
    selector: &mut ConfigSelector,
    revision: u64,
    variant: &str,
    source: ConfigSource,
) -> ApplyOutcome {
    selector.apply(blob(revision, variant), &config(revision), source)
}

#[rstest]
#[case::lower_from_peer(4, "a", ConfigSource::Peer, ApplyOutcome::Stale)]
#[case::lower_from_table(4, "a", ConfigSource::Table, ApplyOutcome::Stale)]
#[case::same(5, "a", ConfigSource::Peer, ApplyOutcome::Same)]
#[case::other_body_from_peer(5, "b", ConfigSource::Peer, ApplyOutcome::Anomaly)]
#[case::other_body_from_table(5, "b", ConfigSource::Table, ApplyOutcome::InForce)]
#[case::higher(6, "a", ConfigSource::Peer, ApplyOutcome::InForce)]
fn outcome_of_a_blob_while_revision_five_is_in_force(
    #[case] revision: u64,
    #[case] variant: &str,
    #[case] source: ConfigSource,
    #[case] expected: ApplyOutcome,
) {
    let mut selector = ConfigSelector::default();
    apply(&mut selector, 5, "a", ConfigSource::Peer);
    let outcome = apply(&mut selector, revision, variant, source);
    assert_eq!(outcome, expected);
    assert!(selector.revision() >= 5);
    let differs = u64::from(variant == "b");
    assert_eq!(selector.counts().anomalies, differs);
}

#[test]
fn blob_confirmed_by_the_table_is_kept() {
    let mut selector = ConfigSelector::default();
    apply(&mut selector, 5, "a", ConfigSource::Peer);
    apply(&mut selector, 5, "a", ConfigSource::Table);
    let outcome = apply(&mut selector, 5, "b", ConfigSource::Peer);
    assert_eq!(outcome, ApplyOutcome::Anomaly);
    assert_eq!(selector.current(), Some(&blob(5, "a")));
}

#[test]
fn inconsistent_or_invalid_blobs_are_refused() {
    let mut selector = ConfigSelector::default();
    let mut mismatched = blob(3, "a");
    mismatched.digest = ContentDigest::of(b"other");
    let outcome = selector.apply(mismatched, &config(3), ConfigSource::Table);
    assert_eq!(outcome, ApplyOutcome::Refused(BlobError::Digest));
    let outcome = selector.apply(blob(3, "a"), &config(2), ConfigSource::Table);
    assert_eq!(outcome, ApplyOutcome::Refused(BlobError::Revision));
    let mut invalid = config(3);
    let spec = DataCentreSpec {
        region: String::new(),
        out: false,
    };
    invalid.data_centres = BTreeMap::from([("boston-a".to_owned(), spec)]);
    let outcome = selector.apply(blob(3, "a"), &invalid, ConfigSource::Table);
    assert_eq!(outcome, ApplyOutcome::Refused(BlobError::Invalid));
    assert_eq!(selector.current(), None);
}

/// One step of a simulation of several processes.
#[derive(Clone, Debug)]
enum SpreadStep {
    /// The process at this index commits the next revision.
    Commit(usize),
    /// The process at the first index reads an outdated configuration row. The second number is the
    /// difference between the newest revision and the one read.
    ReadStale(usize, u64),
    /// The process at the first index offers its revision to the one at the second index.
    Exchange(usize, usize),
    /// The process at the first index receives once more a blob that was sent before. The second
    /// number selects the blob among those sent.
    Replay(usize, usize),
}

fn step(processes: usize) -> impl Strategy<Value = SpreadStep> {
    prop_oneof![
        (0..processes).prop_map(SpreadStep::Commit),
        (0..processes, 1..20_u64).prop_map(|(process, lag)| SpreadStep::ReadStale(process, lag)),
        (0..processes, 0..processes).prop_map(|(from, to)| SpreadStep::Exchange(from, to)),
        (0..processes, 0..200_usize).prop_map(|(to, index)| SpreadStep::Replay(to, index)),
    ]
}

fn exchange(selectors: &mut [ConfigSelector], from: usize, to: usize) -> Option<ConfigBlob> {
    let offered = selectors[from].current().cloned()?;
    let outcome = selectors[to].on_offer(offered.revision, offered.digest);
    if outcome != OfferOutcome::Pull {
        return None;
    }
    let config = config(offered.revision);
    selectors[to].apply(offered.clone(), &config, ConfigSource::Peer);
    Some(offered)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    #[test]
    fn revision_never_decreases_and_processes_converge(
        steps in proptest::collection::vec(step(6), 1..200),
    ) {
        let mut selectors = vec![ConfigSelector::default(); 6];
        let mut sent: Vec<ConfigBlob> = Vec::new();
        let mut newest = 0;
        for step in steps {
            let before: Vec<u64> = selectors.iter().map(ConfigSelector::revision).collect();
            match step {
                SpreadStep::Commit(process) => {
                    newest += 1;
                    apply(&mut selectors[process], newest, "a", ConfigSource::Table);
                }
                SpreadStep::ReadStale(process, lag) => {
                    let revision = newest.saturating_sub(lag);
                    apply(&mut selectors[process], revision, "a", ConfigSource::Table);
                }
                SpreadStep::Exchange(from, to) => sent.extend(exchange(&mut selectors, from, to)),
                SpreadStep::Replay(to, index) => {
                    let Some(old) = sent.get(index).cloned() else {
                        continue;
                    };
                    let decoded = config(old.revision);
                    selectors[to].apply(old, &decoded, ConfigSource::Peer);
                }
            }
            for (selector, before) in selectors.iter().zip(before) {
                prop_assert!(selector.revision() >= before);
            }
        }
        for _ in 0..6 {
            for process in 0..6 {
                exchange(&mut selectors, process, (process + 1) % 6);
            }
        }
        for selector in &selectors {
            prop_assert_eq!(selector.revision(), newest);
            prop_assert_eq!(selector.counts().anomalies, 0);
        }
    }
}
