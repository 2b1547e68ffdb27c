//! Commits of configuration changes: races, lost answers, a table that is down.

use crate::table::{MemoryTable, TableFault};
use agatepin::store::{CommitError, ConfigStore};
use agatepin_core::config::{ChangeRequest, ClusterConfig, ConfigChange, DataCentreSpec};
use rstest::rstest;

use TableFault::{Down, LostAnswer, LostRequest, None as Fine};

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

#[derive(Debug, PartialEq, Eq)]
enum Ending {
    Committed,
    Unavailable,
    Unknown,
}

#[rstest]
#[case::fine(&[], Ending::Committed, true)]
#[case::read_fails(&[Down], Ending::Unavailable, false)]
#[case::write_refused(&[Fine, Down], Ending::Unavailable, false)]
#[case::answer_lost(&[Fine, LostAnswer], Ending::Committed, true)]
#[case::request_lost(&[Fine, LostRequest], Ending::Committed, true)]
#[case::answer_lost_then_down(&[Fine, LostAnswer, Down], Ending::Unknown, true)]
#[case::request_lost_then_down(&[Fine, LostRequest, Down], Ending::Unknown, false)]
#[case::request_lost_then_refused(&[Fine, LostRequest, Fine, Down], Ending::Unknown, false)]
#[tokio::test]
async fn says_what_is_true(
    #[case] faults: &[TableFault],
    #[case] expected: Ending,
    #[case] written: bool,
) {
    let table = MemoryTable::default();
    let store = ConfigStore::new(table.clone());
    table.plan(faults);
    let ending = match store.commit(&request("one"), 0).await {
        Ok(committed) => {
            assert_eq!((committed.revision, committed.repeated), (1, false));
            Ending::Committed
        }
        Err(CommitError::Unavailable(_)) => Ending::Unavailable,
        Err(CommitError::Unknown(_)) => Ending::Unknown,
        Err(err) => panic!("{err}"),
    };
    assert_eq!(ending, expected);
    assert_eq!(store.read().await.expect("read").is_some(), written);
    let again = store.commit(&request("one"), 0).await.expect("repeat");
    assert_eq!((again.revision, again.repeated), (1, written));
}

#[tokio::test]
async fn racing_operators_both_commit_unless_one_edited_an_old_revision() {
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
        both => panic!("not one winner: {both:?}"),
    };
    assert_eq!(won.revision, 3);
    let CommitError::RevisionConflict {
        current,
        conflicting,
        ..
    } = lost
    else {
        panic!("the loser is not told: {lost}");
    };
    assert_eq!(current, 3);
    assert_eq!(
        conflicting.map(|record| record.action_id),
        Some(name.into())
    );
}

#[tokio::test]
async fn a_wrong_change_names_its_field() {
    let store = ConfigStore::new(MemoryTable::default());
    let mut wrong = request("one");
    wrong.change = ConfigChange::Deploy {
        model: "press".to_owned(),
        version: "2".to_owned(),
        replicas: None,
    };
    let err = store.commit(&wrong, 0).await.expect_err("wrong change");
    assert_eq!(err.to_string(), "model: model \"press\" does not exist");
}
