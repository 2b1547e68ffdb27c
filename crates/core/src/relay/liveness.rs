//! Which other daemons are alive, by their last signs of life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, IncarnationId, InstanceId, RegionId};

/// Silence after which a daemon counts as dead.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// Time in which a daemon that is listed and was never heard counts as alive.
pub const INTRODUCTION: Duration = Duration::from_secs(3);

value_type! {
    /// An entry, as it stands in the table of entries.
    pub struct EntryListing {
        /// Random number of the process.
        pub incarnation: IncarnationId,
        /// Address for callers.
        pub front: SocketAddr,
        /// Address for datagrams and pulls of other daemons.
        pub overlay: SocketAddr,
        /// Data centre.
        pub data_centre: DataCentreId,
        /// Region of the data centre.
        pub region: RegionId,
    }

    struct EntryState {
        listing: EntryListing,
        listed: Instant,
        heard: Option<Instant>,
        ready: bool,
    }
}

/// The other entries, with their signs of life.
#[derive(Debug, Default)]
pub struct EntryDirectory {
    entries: BTreeMap<InstanceId, EntryState>,
}

impl EntryDirectory {
    /// Takes a row of the table of entries. An entry that is heard has said so itself.
    pub fn list(&mut self, name: &InstanceId, listing: EntryListing, now: Instant) {
        let known = self.entries.get(name);
        if known.is_some_and(|state| state.listing == listing || is_alive(state, now)) {
            return;
        }
        let state = EntryState {
            listing,
            listed: now,
            heard: None,
            ready: true,
        };
        self.entries.insert(name.clone(), state);
    }

    /// Takes the removal of a row.
    pub fn unlist(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Takes a sign of life, which also introduces an entry that is not listed yet.
    pub fn record_heartbeat(
        &mut self,
        name: &InstanceId,
        from: EntryListing,
        ready: bool,
        now: Instant,
    ) {
        let state = self
            .entries
            .entry(name.clone())
            .or_insert_with(|| EntryState {
                listing: from.clone(),
                listed: now,
                heard: None,
                ready,
            });
        state.listing = from;
        state.heard = Some(now);
        state.ready = ready;
    }

    /// All listed entries but `own`.
    pub fn others(&self, own: &str) -> impl Iterator<Item = (&InstanceId, &EntryListing)> {
        let own = own.to_owned();
        let all = self.entries.iter();
        all.filter(move |(name, _)| **name != own)
            .map(|(name, state)| (name, &state.listing))
    }

    /// Entries that count as alive, but `own`.
    pub fn alive(&self, own: &str, now: Instant) -> impl Iterator<Item = &EntryListing> {
        let own = own.to_owned();
        let all = self.entries.iter();
        all.filter(move |(name, state)| **name != own && is_alive(state, now))
            .map(|(_, state)| &state.listing)
    }

    /// Names of the entries that count as alive, but `own`.
    pub fn alive_names(&self, own: &str, now: Instant) -> impl Iterator<Item = &InstanceId> {
        let own = own.to_owned();
        let all = self.entries.iter();
        all.filter(move |(name, state)| **name != own && is_alive(state, now))
            .map(|(name, _)| name)
    }

    /// Names of the entries of `region` that count as alive, but `own`.
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

    /// Addresses for a caller in `data_centre` of `region`: of its data centre where there are
    /// any, else of its region, else all. `own` is the answering entry, where it takes callers.
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
        let here = fronts_where(&entries, |listing| listing.data_centre == data_centre);
        if !here.is_empty() {
            return here;
        }
        let near = fronts_where(&entries, |listing| listing.region == region);
        if !near.is_empty() {
            return near;
        }
        fronts_where(&entries, |_| true)
    }
}

/// Addresses for callers of the entries that `wanted` takes.
fn fronts_where<Wanted>(entries: &[&EntryListing], wanted: Wanted) -> Vec<SocketAddr>
where
    Wanted: Fn(&EntryListing) -> bool,
{
    let chosen = entries.iter().filter(|listing| wanted(listing));
    chosen.map(|listing| listing.front).collect()
}

fn is_alive(state: &EntryState, now: Instant) -> bool {
    let (since, allowed) = match state.heard {
        Some(heard) => (heard, SILENCE),
        None => (state.listed, INTRODUCTION),
    };
    now.saturating_duration_since(since) < allowed
}
