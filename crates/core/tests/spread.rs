//! Configuration spread between processes.

use std::collections::BTreeMap;

use agatepin_core::config::{ClusterConfig, DataCentreSpec};
use agatepin_core::ids::ContentDigest;
use agatepin_core::spread::{
    ApplyOutcome, BlobFault, ConfigBlob, ConfigSelector, ConfigSource, OfferOutcome,
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
fn takes_after_revision_five(
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
fn keeps_the_body_that_the_table_confirmed() {
    let mut selector = ConfigSelector::default();
    apply(&mut selector, 5, "a", ConfigSource::Peer);
    apply(&mut selector, 5, "a", ConfigSource::Table);
    let outcome = apply(&mut selector, 5, "b", ConfigSource::Peer);
    assert_eq!(outcome, ApplyOutcome::Anomaly);
    assert_eq!(selector.current(), Some(&blob(5, "a")));
}

#[test]
fn refuses_bad_bodies() {
    let mut selector = ConfigSelector::default();
    let mut torn = blob(3, "a");
    torn.digest = ContentDigest::of(b"other");
    let outcome = selector.apply(torn, &config(3), ConfigSource::Table);
    assert_eq!(outcome, ApplyOutcome::Refused(BlobFault::Digest));
    let outcome = selector.apply(blob(3, "a"), &config(2), ConfigSource::Table);
    assert_eq!(outcome, ApplyOutcome::Refused(BlobFault::Revision));
    let mut invalid = config(3);
    let spec = DataCentreSpec {
        region: String::new(),
        out: false,
    };
    invalid.data_centres = BTreeMap::from([("boston-a".to_owned(), spec)]);
    let outcome = selector.apply(blob(3, "a"), &invalid, ConfigSource::Table);
    assert_eq!(outcome, ApplyOutcome::Refused(BlobFault::Invalid));
    assert_eq!(selector.current(), None);
}

#[derive(Clone, Debug)]
enum SpreadStep {
    Commit(usize),
    ReadStale(usize, u64),
    Exchange(usize, usize),
    Replay(usize, usize),
}

fn step(nodes: usize) -> impl Strategy<Value = SpreadStep> {
    prop_oneof![
        (0..nodes).prop_map(SpreadStep::Commit),
        (0..nodes, 1..20_u64).prop_map(|(node, back)| SpreadStep::ReadStale(node, back)),
        (0..nodes, 0..nodes).prop_map(|(from, to)| SpreadStep::Exchange(from, to)),
        (0..nodes, 0..200_usize).prop_map(|(to, index)| SpreadStep::Replay(to, index)),
    ]
}

fn exchange(spreaders: &mut [ConfigSelector], from: usize, to: usize) -> Option<ConfigBlob> {
    let on_offer = spreaders[from].current().cloned()?;
    let outcome = spreaders[to].on_offer(on_offer.revision, on_offer.digest);
    if outcome != OfferOutcome::Pull {
        return None;
    }
    let config = config(on_offer.revision);
    spreaders[to].apply(on_offer.clone(), &config, ConfigSource::Peer);
    Some(on_offer)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    #[test]
    fn never_reverts_and_converges(steps in proptest::collection::vec(step(6), 1..200)) {
        let mut spreaders = vec![ConfigSelector::default(); 6];
        let mut sent: Vec<ConfigBlob> = Vec::new();
        let mut newest = 0;
        for step in steps {
            let before: Vec<u64> = spreaders.iter().map(ConfigSelector::revision).collect();
            match step {
                SpreadStep::Commit(node) => {
                    newest += 1;
                    apply(&mut spreaders[node], newest, "a", ConfigSource::Table);
                }
                SpreadStep::ReadStale(node, back) => {
                    let revision = newest.saturating_sub(back);
                    apply(&mut spreaders[node], revision, "a", ConfigSource::Table);
                }
                SpreadStep::Exchange(from, to) => sent.extend(exchange(&mut spreaders, from, to)),
                SpreadStep::Replay(to, index) => {
                    let Some(old) = sent.get(index).cloned() else {
                        continue;
                    };
                    let decoded = config(old.revision);
                    spreaders[to].apply(old, &decoded, ConfigSource::Peer);
                }
            }
            for (selector, before) in spreaders.iter().zip(before) {
                prop_assert!(selector.revision() >= before);
            }
        }
        for _ in 0..6 {
            for node in 0..6 {
                exchange(&mut spreaders, node, (node + 1) % 6);
            }
        }
        for selector in &spreaders {
            prop_assert_eq!(selector.revision(), newest);
            prop_assert_eq!(selector.counts().anomalies, 0);
        }
    }
}
