//! Liveness of the other entries, by their last heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, IncarnationId, InstanceId, RegionId};

/// Time without a heartbeat after which an entry counts as dead.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which a listed entry counts as alive before its first heartbeat.
pub const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

value_type! {
    /// An entry, as described by its row in the store or by its heartbeat.
    pub struct EntryListing {
        /// Random number that distinguishes this process from earlier ones of the same name.
        pub incarnation: IncarnationId,
        /// Address for callers' requests.
        pub front: SocketAddr,
        /// Address for datagrams and pull requests from other processes.
        pub overlay: SocketAddr,
        /// Data centre in which the entry runs.
        pub data_centre: DataCentreId,
        /// Region of the data centre.
        pub region: RegionId,
    }

    struct EntryState {
        listing: EntryListing,
        /// When `listing` was last taken from the entry's row, or a heartbeat added the entry.
        listed_at: Instant,
        /// When the last heartbeat was received; `None` until the first.
        last_heartbeat: Option<Instant>,
        /// Whether the entry accepts callers.
        ready: bool,
    }
}

/// Entries that are listed in the store or sent a heartbeat.
#[derive(Debug, Default)]
pub struct EntryDirectory {
    entries: BTreeMap<InstanceId, EntryState>,
}

impl EntryDirectory {
    /// Adds or updates an entry from its row in the platform's store. The row of a live entry is
    /// ignored, since the entry's heartbeats are newer than the row.
    pub fn list(&mut self, name: &InstanceId, listing: EntryListing, now: Instant) {
        let known = self.entries.get(name);
        if known.is_some_and(|state| state.listing == listing || is_alive(state, now)) {
            return;
        }
        let state = EntryState {
            listing,
            listed_at: now,
            last_heartbeat: None,
            ready: true,
        };
        self.entries.insert(name.clone(), state);
    }

    /// Removes an entry whose row was deleted.
    pub fn unlist(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Records a heartbeat; this also adds an entry that is not listed yet. `ready` tells whether
    /// the entry accepts callers.
    pub fn record_heartbeat(
        &mut self,
        name: &InstanceId,
        listing: EntryListing,
        ready: bool,
        now: Instant,
    ) {
        let state = self
            .entries
            .entry(name.clone())
            .or_insert_with(|| EntryState {
                listing: listing.clone(),
                listed_at: now,
                last_heartbeat: None,
                ready,
            });
        state.listing = listing;
        state.last_heartbeat = Some(now);
        state.ready = ready;
    }

    /// All known entries except `own`, the name of this entry, whether they are alive or not.
    pub fn others(&self, own: &str) -> impl Iterator<Item = (&InstanceId, &EntryListing)> {
        let own = own.to_owned();
        let all = self.entries.iter();
        all.filter(move |(name, _)| **name != own)
            .map(|(name, state)| (name, &state.listing))
    }

    /// Live entries except `own`, the name of this entry.
    pub fn alive(&self, own: &str, now: Instant) -> impl Iterator<Item = &EntryListing> {
        let own = own.to_owned();
        let all = self.entries.iter();
        all.filter(move |(name, state)| **name != own && is_alive(state, now))
            .map(|(_, state)| &state.listing)
    }

    /// Names of the live entries except `own`, the name of this entry.
    pub fn alive_names(&self, own: &str, now: Instant) -> impl Iterator<Item = &InstanceId> {
        let own = own.to_owned();
        let all = self.entries.iter();
        all.filter(move |(name, state)| **name != own && is_alive(state, now))
            .map(|(name, _)| name)
    }

    /// Names of the live entries of `region` except `own`.
    pub fn alive_in_region(
        &self,
        own: &str,
        region: &str,
        now: Instant,
    ) -> impl Iterator<Item = &InstanceId> {
        let (own, region) = (own.to_owned(), region.to_owned());
        let all = self.entries.iter();
        all.filter(move |(name, state)| {
            **name != own && state.listing.region == region && is_alive(state, now)
        })
        .map(|(name, _)| name)
    }

    /// Number of regions with live entries, including the region `own`.
    #[must_use]
    pub fn regions_alive(&self, own: &str, now: Instant) -> usize {
        let alive = self.entries.values().filter(|state| is_alive(state, now));
        let mut regions: BTreeSet<&str> =
            alive.map(|state| state.listing.region.as_str()).collect();
        regions.insert(own);
        regions.len()
    }

    /// Addresses of live, ready entries for a caller in `data_centre` of `region`: those in its
    /// data centre if there are any, else those in its region, else all. `own_name` is the name of
    /// the answering entry, and `own` its listing if it accepts callers.
    #[must_use]
    pub fn addresses(
        &self,
        own_name: &str,
        own: Option<&EntryListing>,
        data_centre: &str,
        region: &str,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let all = self.entries.iter();
        let ready = all.filter(|(name, state)| {
            name.as_str() != own_name && state.ready && is_alive(state, now)
        });
        let mut entries: Vec<&EntryListing> = ready.map(|(_, state)| &state.listing).collect();
        entries.extend(own);
        let same_data_centre =
            caller_addresses(&entries, |listing| listing.data_centre == data_centre);
        if !same_data_centre.is_empty() {
            return same_data_centre;
        }
        let same_region = caller_addresses(&entries, |listing| listing.region == region);
        if !same_region.is_empty() {
            return same_region;
        }
        caller_addresses(&entries, |_| true)
    }
}

/// Addresses, for callers, of the entries that match.
fn caller_addresses<Filter>(entries: &[&EntryListing], matches: Filter) -> Vec<SocketAddr>
where
    Filter: Fn(&EntryListing) -> bool,
{
    let matching = entries.iter().filter(|listing| matches(listing));
    matching.map(|listing| listing.front).collect()
}

/// Whether the entry's last heartbeat is recent; for an entry that has sent none, whether it was
/// listed recently.
fn is_alive(state: &EntryState, now: Instant) -> bool {
    let (since, timeout) = match state.last_heartbeat {
        Some(last_heartbeat) => (last_heartbeat, HEARTBEAT_TIMEOUT),
        None => (state.listed_at, FIRST_HEARTBEAT_TIMEOUT),
    };
    now.saturating_duration_since(since) < timeout
}
