//! Entries that read the store for their region.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin_core::relay::readers::{CopyStatus, NewerRows, READER_SILENCE, ReaderDirectory};

const TABLE: u8 = 0;

fn overlay(at: u8) -> SocketAddr {
    ([10, 0, 0, at], 7_700).into()
}

fn claim(reads_store: bool, change: u64) -> CopyStatus<u8> {
    CopyStatus {
        reads_store,
        changes: [(TABLE, change)].into(),
    }
}

fn names() -> Vec<String> {
    (1..=4).map(|at| format!("front-{at}")).collect()
}

#[test]
fn the_first_of_a_region_read_the_store_themselves() {
    let (names, now) = (names(), Instant::now());
    let mut board = ReaderDirectory::default();
    board.update(&names[0], overlay(1), true, claim(true, 5), now);
    for (own, relies) in names.iter().zip([false, false, true, true]) {
        let alive = names.iter().filter(|name| *name != own);
        assert_eq!(board.may_skip_store(own, alive, now), relies, "{own}");
    }
    // With the first two dead, the next two read.
    assert!(!board.may_skip_store(&names[3], names[2..3].iter(), now));
}

#[test]
fn nobody_relies_on_readers_that_are_unsure_or_silent() {
    let (names, now) = (names(), Instant::now());
    let mut board = ReaderDirectory::default();
    assert!(!board.may_skip_store(&names[3], names[..3].iter(), now));
    board.update(&names[0], overlay(1), true, claim(false, 5), now);
    assert!(!board.may_skip_store(&names[3], names[..3].iter(), now));
    // A reader of another region will do: it tells of changes all the same.
    board.update(&"far-1".to_owned(), overlay(9), false, claim(true, 5), now);
    assert!(board.may_skip_store(&names[3], names[..3].iter(), now));
    assert!(!board.may_skip_store(&names[3], names[..3].iter(), now + READER_SILENCE));
}

#[test]
fn newer_rows_come_from_the_region_or_else_from_the_store() {
    let (names, now) = (names(), Instant::now());
    let mut board = ReaderDirectory::default();
    assert!(board.update(&"far-1".to_owned(), overlay(9), false, claim(true, 7), now));
    assert_eq!(board.newer_rows(TABLE, 7, now), None);
    assert_eq!(
        board.newer_rows(TABLE, 6, now),
        Some(NewerRows::OtherRegion)
    );
    // An entry that is no reader may have them too.
    assert!(board.update(&names[2], overlay(3), true, claim(false, 7), now));
    assert_eq!(
        board.newer_rows(TABLE, 6, now),
        Some(NewerRows::SameRegion(overlay(3)))
    );
    assert_eq!(board.newer_rows(TABLE, 7, now), None);
    assert_eq!(board.newer_rows(TABLE, 6, now + READER_SILENCE), None);
}

#[test]
fn only_changes_count_as_news() {
    let (names, now) = (names(), Instant::now());
    let mut board = ReaderDirectory::default();
    assert!(board.update(&names[0], overlay(1), true, claim(true, 5), now));
    let later = now + Duration::from_millis(500);
    assert!(!board.update(&names[0], overlay(1), true, claim(false, 5), later));
    assert!(board.update(&names[0], overlay(1), true, claim(false, 6), later));
}
