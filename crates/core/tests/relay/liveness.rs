//! Liveness of entries, and the addresses that callers are given.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin_core::relay::liveness::{
    EntryDirectory, EntryListing, FIRST_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT,
};

fn entry(number: u8, data_centre: &str, region: &str) -> EntryListing {
    EntryListing {
        incarnation: u64::from(number),
        front: ([10, 0, 0, number], 80).into(),
        overlay: ([10, 0, 0, number], 7_000).into(),
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
    }
}

fn addresses(directory: &EntryDirectory, location: (&str, &str), now: Instant) -> Vec<SocketAddr> {
    let own = entry(9, "dakar-1", "dakar");
    directory.addresses("own", Some(&own), location.0, location.1, now)
}

#[test]
fn callers_get_the_entries_of_their_data_centre_else_region_else_all() {
    let now = Instant::now();
    let mut directory = EntryDirectory::default();
    directory.list(&"a".to_owned(), entry(1, "thies-1", "thies"), now);
    directory.list(&"b".to_owned(), entry(2, "thies-2", "thies"), now);
    let first = vec![entry(1, "", "").front];
    assert_eq!(addresses(&directory, ("thies-1", "thies"), now), first);
    assert_eq!(addresses(&directory, ("thies-3", "thies"), now).len(), 2);
    assert_eq!(addresses(&directory, ("louga-1", "louga"), now).len(), 3);
}

#[test]
fn an_entry_without_heartbeats_is_no_longer_alive() {
    let now = Instant::now();
    let mut directory = EntryDirectory::default();
    let name = "a".to_owned();
    directory.list(&name, entry(1, "thies-1", "thies"), now);
    directory.record_heartbeat(&name, entry(1, "thies-1", "thies"), true, now);
    let alive_at = |now| directory.alive("own", now).count();
    assert_eq!(alive_at(now + Duration::from_secs(2)), 1);
    assert_eq!(alive_at(now + HEARTBEAT_TIMEOUT), 0);
}

#[test]
fn a_listed_entry_without_a_heartbeat_is_alive_only_for_a_while() {
    let now = Instant::now();
    let mut directory = EntryDirectory::default();
    directory.list(&"a".to_owned(), entry(1, "thies-1", "thies"), now);
    assert_eq!(directory.alive("own", now).count(), 1);
    assert_eq!(
        directory
            .alive("own", now + FIRST_HEARTBEAT_TIMEOUT)
            .count(),
        0
    );
}

#[test]
fn the_address_of_a_leaving_entry_is_not_given_to_callers() {
    let now = Instant::now();
    let mut directory = EntryDirectory::default();
    directory.record_heartbeat(&"a".to_owned(), entry(1, "thies-1", "thies"), false, now);
    let given = addresses(&directory, ("thies-1", "thies"), now);
    assert_eq!(given, vec![entry(9, "", "").front]);
}
