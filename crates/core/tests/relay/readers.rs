//! Entries that poll the store for their region.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin_core::relay::liveness::FIRST_HEARTBEAT_TIMEOUT;
use agatepin_core::relay::readers::{
    CopyStatus, NewerRows, READER_TIMEOUT, ReaderDirectory, first_read_wait, other_region_wait,
    readers_per_region,
};
use agatepin_core::relay::row_version::RowVersion;

/// Number of regions with entries.
const REGIONS: usize = 3;
/// Identifier of the only table that is copied.
const TABLE: u8 = 0;

/// Name of the entry that reads.
const OWN: &str = "front-9";

fn overlay(at: u8) -> SocketAddr {
    ([10, 0, 0, at], 7_700).into()
}

/// Version with this number, of the era that all tests but one are in.
fn at(number: u64) -> RowVersion {
    RowVersion { era: 1, number }
}

fn status(reads_store: bool, change: u64) -> CopyStatus<u8> {
    CopyStatus {
        reads_store,
        changes: [(TABLE, at(change))].into(),
        full_reads: [].into(),
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
        assert_eq!(
            directory.may_skip_store(own, alive, REGIONS, now),
            skips,
            "{own}"
        );
    }
    // If the first two are dead, the next two read the store.
    assert!(!directory.may_skip_store(&names[3], names[2..3].iter(), REGIONS, now));
}

#[test]
fn an_entry_reads_the_store_if_every_reader_is_stale_or_unanswered() {
    let (names, now) = (names(), Instant::now());
    let mut directory = ReaderDirectory::default();
    assert!(!directory.may_skip_store(&names[3], names[..3].iter(), REGIONS, now));
    directory.update(&names[0], overlay(1), true, status(false, 5), now);
    assert!(!directory.may_skip_store(&names[3], names[..3].iter(), REGIONS, now));
    // A reader of another region suffices, since its status also shows which changes exist.
    directory.update(&"far-1".to_owned(), overlay(9), false, status(true, 5), now);
    assert!(directory.may_skip_store(&names[3], names[..3].iter(), REGIONS, now));
    assert!(!directory.may_skip_store(&names[3], names[..3].iter(), REGIONS, now + READER_TIMEOUT));
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
    assert_eq!(
        directory.newer_rows(TABLE, at(7), OWN, Duration::ZERO, now),
        None
    );
    assert_eq!(
        directory.newer_rows(TABLE, at(6), OWN, Duration::ZERO, now),
        Some(NewerRows::OtherRegion)
    );
    // An entry that does not read the store may have the rows too.
    assert!(directory.update(&names[2], overlay(3), true, status(false, 7), now));
    assert_eq!(
        directory.newer_rows(TABLE, at(6), OWN, Duration::ZERO, now),
        Some(NewerRows::SameRegion(overlay(3)))
    );
    assert_eq!(
        directory.newer_rows(TABLE, at(7), OWN, Duration::ZERO, now),
        None
    );
    assert_eq!(
        directory.newer_rows(TABLE, at(6), OWN, Duration::ZERO, now + READER_TIMEOUT),
        None
    );
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

/// The number of entries that poll the store does not grow with the regions.
#[test]
fn a_fleet_has_about_four_readers_however_many_regions_it_has() {
    let readers: Vec<usize> = (1..=6)
        .map(|regions| regions * readers_per_region(regions))
        .collect();
    assert_eq!(readers, [2, 4, 6, 4, 5, 6]);
}

/// All entries of a region learn at the same moment that another region has a newer configuration, of
/// some hundred kilobytes. Once each read it over the link between the regions, at the same time, so
/// that it came seconds late everywhere.
#[test]
fn a_change_that_is_known_elsewhere_is_not_read_by_all_entries_of_a_region_at_once() {
    let waits: Vec<u128> = (0..14)
        .map(|before| other_region_wait(before, REGIONS).as_millis())
        .collect();
    let at_once = waits.iter().filter(|wait| **wait == 0).count();
    assert_eq!(at_once, readers_per_region(REGIONS));
    assert!(waits.is_sorted());
    // If all entries before one fail, it reads the change within the 2 s that the platform allows.
    let bound = Duration::from_secs(2).checked_sub(Duration::from_millis(800));
    assert!(waits.iter().all(|wait| *wait <= bound.unwrap().as_millis()));
}

/// Guards against entries that have no configuration for seconds after all were started at once: each read
/// all of it over the link between two regions, so that most reads were given up and begun again.
#[test]
fn a_table_is_not_read_by_all_entries_of_a_region_at_once_when_they_start() {
    let waits: Vec<Duration> = (0..17)
        .map(|before| first_read_wait(before, REGIONS))
        .collect();
    let at_once = waits.iter().filter(|wait| wait.is_zero()).count();
    assert_eq!(at_once, readers_per_region(REGIONS));
    assert!(waits.is_sorted());
    // Listed entries that did not start again count as alive until then.
    assert!(waits.iter().all(|wait| *wait <= FIRST_HEARTBEAT_TIMEOUT));
}

/// The entries of a region take a change from different entries that have it, and try another one
/// if the first is slow.
#[test]
fn entries_take_a_change_from_different_entries_of_their_region() {
    let now = Instant::now();
    let mut directory = ReaderDirectory::default();
    for at in 0..4 {
        let name = format!("source-{at}");
        directory.update(&name, overlay(at), true, status(true, 7), now);
    }
    let source = |own: &str, waited: Duration| {
        let found = directory.newer_rows(TABLE, at(6), own, waited, now);
        let Some(NewerRows::SameRegion(overlay)) = found else {
            panic!("{found:?}");
        };
        overlay
    };
    let mut taken: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for own in 0..40 {
        *taken
            .entry(source(&format!("front-{own}"), Duration::ZERO))
            .or_default() += 1;
    }
    assert_eq!(taken.len(), 4);
    assert!(taken.values().all(|count| *count <= 20), "{taken:?}");
    let turns = (0..8).map(|turn| source(OWN, Duration::from_millis(500 * turn)));
    assert!(turns.collect::<BTreeSet<_>>().len() > 1);
}

/// Guards against removals that nobody tells of: an entry that has just started does not know which
/// rows were removed before, so its newest change is older than the removal.
#[test]
fn a_copy_that_was_fully_read_later_is_newer_for_entries_of_its_region() {
    let now = Instant::now();
    let names = names();
    for (same_region, expected) in [
        (true, Some(NewerRows::SameRegion(overlay(1)))),
        (false, None),
    ] {
        let mut directory = ReaderDirectory::default();
        let status = CopyStatus {
            full_reads: [(TABLE, at(9))].into(),
            ..status(true, 5)
        };
        assert!(directory.update(&names[0], overlay(1), same_region, status, now));
        let newer =
            |version| directory.newer_rows(TABLE, at(version), &names[3], Duration::ZERO, now);
        assert_eq!(newer(7), expected);
        assert_eq!(newer(9), None);
    }
}

/// Guards against a copy of the era before the store's return that passes for the newer one, as its
/// numbers are larger.
#[test]
fn a_copy_of_a_later_era_is_newer_whatever_its_number() {
    let (names, now) = (names(), Instant::now());
    let mut directory = ReaderDirectory::default();
    let status = CopyStatus {
        changes: [(TABLE, RowVersion { era: 2, number: 3 })].into(),
        ..status(true, 5)
    };
    directory.update(&names[0], overlay(1), true, status, now);
    let newer = |version| directory.newer_rows(TABLE, version, OWN, Duration::ZERO, now);
    assert_eq!(newer(at(5)), Some(NewerRows::SameRegion(overlay(1))));
    assert_eq!(newer(RowVersion { era: 2, number: 3 }), None);
    assert_eq!(newer(RowVersion { era: 3, number: 1 }), None);
}
