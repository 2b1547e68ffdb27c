//! Entries that poll the store for their region.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin_core::relay::readers::{CopyStatus, NewerRows, READER_TIMEOUT, ReaderDirectory};

/// Identifier of the only table that is copied.
const TABLE: u8 = 0;

fn overlay(at: u8) -> SocketAddr {
    ([10, 0, 0, at], 7_700).into()
}

fn status(reads_store: bool, change: u64) -> CopyStatus<u8> {
    CopyStatus {
        reads_store,
        changes: [(TABLE, change)].into(),
        answered_for: Duration::ZERO,
    }
}

fn names() -> Vec<String> {
    (1..=4).map(|at| format!("front-{at}")).collect()
}

#[test]
fn the_first_entries_of_a_region_read_the_store() {
    let (names, now) = (names(), Instant::now());
    let mut directory = ReaderDirectory::default();
    directory.update(&names[0], overlay(1), true, status(true, 5), now);
    for (own, skips) in names.iter().zip([false, false, true, true]) {
        let alive = names.iter().filter(|name| *name != own);
        assert_eq!(directory.may_skip_store(own, alive, now), skips, "{own}");
    }
    // If the first two are dead, the next two read the store.
    assert!(!directory.may_skip_store(&names[3], names[2..3].iter(), now));
}

#[test]
fn an_entry_reads_the_store_if_every_reader_is_stale_or_unanswered() {
    let (names, now) = (names(), Instant::now());
    let mut directory = ReaderDirectory::default();
    assert!(!directory.may_skip_store(&names[3], names[..3].iter(), now));
    directory.update(&names[0], overlay(1), true, status(false, 5), now);
    assert!(!directory.may_skip_store(&names[3], names[..3].iter(), now));
    // A reader of another region suffices, since its status also shows which changes exist.
    directory.update(&"far-1".to_owned(), overlay(9), false, status(true, 5), now);
    assert!(directory.may_skip_store(&names[3], names[..3].iter(), now));
    assert!(!directory.may_skip_store(&names[3], names[..3].iter(), now + READER_TIMEOUT));
}

#[test]
fn the_store_was_up_if_it_answered_each_read_of_another_entry() {
    let (names, now) = (names(), Instant::now());
    let since = now.checked_sub(Duration::from_secs(5)).unwrap();
    let mut directory = ReaderDirectory::default();
    for (answered_s, reads_store, expected) in
        [(4, true, false), (6, false, false), (6, true, true)]
    {
        let status = CopyStatus {
            answered_for: Duration::from_secs(answered_s),
            ..status(reads_store, 5)
        };
        directory.update(&names[0], overlay(1), true, status, now);
        assert_eq!(directory.has_answered_since(since, now), expected);
    }
    assert!(!directory.has_answered_since(since, now + READER_TIMEOUT));
}

#[test]
fn newer_rows_come_from_the_same_region_if_an_entry_there_has_them() {
    let (names, now) = (names(), Instant::now());
    let mut directory = ReaderDirectory::default();
    assert!(directory.update(&"far-1".to_owned(), overlay(9), false, status(true, 7), now));
    assert_eq!(directory.newer_rows(TABLE, 7, now), None);
    assert_eq!(
        directory.newer_rows(TABLE, 6, now),
        Some(NewerRows::OtherRegion)
    );
    // An entry that does not read the store may have the rows too.
    assert!(directory.update(&names[2], overlay(3), true, status(false, 7), now));
    assert_eq!(
        directory.newer_rows(TABLE, 6, now),
        Some(NewerRows::SameRegion(overlay(3)))
    );
    assert_eq!(directory.newer_rows(TABLE, 7, now), None);
    assert_eq!(directory.newer_rows(TABLE, 6, now + READER_TIMEOUT), None);
}

#[test]
fn only_a_changed_version_is_reported_as_a_change() {
    let (names, now) = (names(), Instant::now());
    let mut directory = ReaderDirectory::default();
    assert!(directory.update(&names[0], overlay(1), true, status(true, 5), now));
    let later = now + Duration::from_millis(500);
    assert!(!directory.update(&names[0], overlay(1), true, status(false, 5), later));
    assert!(directory.update(&names[0], overlay(1), true, status(false, 6), later));
}
