//! Tests of configuration commits: concurrent changes, lost answers and an unreachable table.

use crate::table::{MemoryTable, TableFault};
use agatepin::store::{CommitError, ConfigStore};
use agatepin_core::config::{ChangeRequest, ClusterConfig, ConfigChange, DataCentreSpec};
use rstest::rstest;

use TableFault::{Down, LostAnswer, LostRequest, None as Normal};

/// A change that replaces the configuration by a document with one data centre.
fn request(action_id: &str) -> ChangeRequest {
    let mut document = ClusterConfig::default();
    let spec = DataCentreSpec {
        region: "east".to_owned(),
        out: false,
    };
    document.data_centres.insert("boston-a".to_owned(), spec);
    ChangeRequest {
        action_id: action_id.to_owned(),
        operator: "kim".to_owned(),
        unix_millis: 1,
        change: ConfigChange::Replace(Box::new(document)),
    }
}

/// Result that a commit reports: committed, not committed (table unavailable) or unknown.
#[derive(Debug, PartialEq, Eq)]
enum CommitReport {
    Committed,
    Unavailable,
    Unknown,
}

#[rstest]
#[case::normal(&[], CommitReport::Committed, true)]
#[case::read_fails(&[Down], CommitReport::Unavailable, false)]
#[case::write_refused(&[Normal, Down], CommitReport::Unavailable, false)]
#[case::answer_lost(&[Normal, LostAnswer], CommitReport::Committed, true)]
#[case::request_lost(&[Normal, LostRequest], CommitReport::Committed, true)]
#[case::answer_lost_then_down(&[Normal, LostAnswer, Down], CommitReport::Unknown, true)]
#[case::request_lost_then_down(&[Normal, LostRequest, Down], CommitReport::Unknown, false)]
#[case::request_lost_then_refused(
    &[Normal, LostRequest, Normal, Down],
    CommitReport::Unknown,
    false
)]
#[tokio::test]
async fn a_commit_reports_success_or_failure_only_if_certain(
    #[case] faults: &[TableFault],
    #[case] expected: CommitReport,
    #[case] is_written: bool,
) {
    let table = MemoryTable::default();
    let store = ConfigStore::new(table.clone());
    table.plan(faults);
    let report = match store.commit(&request("one"), 0).await {
        Ok(committed) => {
            assert_eq!((committed.revision, committed.repeated), (1, false));
            CommitReport::Committed
        }
        Err(CommitError::Unavailable(_)) => CommitReport::Unavailable,
        Err(CommitError::Unknown(_)) => CommitReport::Unknown,
        Err(err) => panic!("{err}"),
    };
    assert_eq!(report, expected);
    assert_eq!(store.read().await.expect("read").is_some(), is_written);
    let again = store.commit(&request("one"), 0).await.expect("retry");
    assert_eq!((again.revision, again.repeated), (1, is_written));
}

#[tokio::test]
async fn concurrent_commits_both_succeed_unless_they_expect_the_same_revision() {
    let store = ConfigStore::new(MemoryTable::default());
    let (one, two) = (request("one"), request("two"));
    let (first, second) = tokio::join!(store.commit(&one, 0), store.commit(&two, 0));
    let mut revisions = [first.expect("one").revision, second.expect("two").revision];
    revisions.sort_unstable();
    assert_eq!(revisions, [1, 2]);
    let (three, four) = (request("three"), request("four"));
    let (third, fourth) = tokio::join!(store.commit(&three, 2), store.commit(&four, 2));
    let (won, lost, name) = match (third, fourth) {
        (Ok(won), Err(lost)) => (won, lost, "three"),
        (Err(lost), Ok(won)) => (won, lost, "four"),
        both => panic!("not exactly one of two concurrent commits succeeded: {both:?}"),
    };
    assert_eq!(won.revision, 3);
    let CommitError::RevisionConflict {
        current,
        conflicting,
        ..
    } = lost
    else {
        panic!("the losing commit does not report the conflict: {lost}");
    };
    assert_eq!(current, 3);
    assert_eq!(
        conflicting.map(|record| record.action_id),
        Some(name.into())
    );
}

#[tokio::test]
async fn an_invalid_change_is_reported_with_its_field() {
    let store = ConfigStore::new(MemoryTable::default());
    let mut invalid = request("one");
    invalid.change = ConfigChange::Deploy {
        model: "press".to_owned(),
        version: "2".to_owned(),
        replicas: None,
    };
    let err = store.commit(&invalid, 0).await.expect_err("invalid change");
    assert_eq!(err.to_string(), "model: model \"press\" does not exist");
}
