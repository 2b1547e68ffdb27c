//! Which entries read the platform's store for their region, and when the others may rely on them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::InstanceId;

/// Entries of a region that read the store for it: one may fail, or be cut off from the store.
pub const READERS: usize = 2;
/// Silence of all readers after which an entry reads the store by itself. A change must be in force
/// 2 s after the store took it; signs of life come twice a second.
pub const READER_SILENCE: Duration = Duration::from_millis(1_200);

value_type! {
    /// What an entry says of its copy of the store's tables.
    #[derive(Default)]
    pub struct CopyStatus<Table: Ord> {
        /// It reads the store by itself, and was answered lately.
        pub reads_store: bool,
        /// Version of the newest change that it knows of each table.
        pub changes: BTreeMap<Table, u64>,
    }

    /// Where newer rows are to be had.
    pub enum NewerRows {
        /// From this entry of the same region.
        SameRegion(SocketAddr),
        /// Entries elsewhere have them; reading the store costs no bytes between regions.
        OtherRegion,
    }

    struct ReaderState<Table: Ord> {
        overlay: SocketAddr,
        near: bool,
        copy_status: CopyStatus<Table>,
        heard: Instant,
    }
}

/// What the other entries say of their copies.
#[derive(Debug)]
pub struct ReaderDirectory<Table: Ord> {
    entries: BTreeMap<InstanceId, ReaderState<Table>>,
}

impl<Table: Ord> Default for ReaderDirectory<Table> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
        }
    }
}

impl<Table> ReaderDirectory<Table>
where
    Table: Ord + Copy,
{
    /// Takes what the entry `name` says. Returns whether it says that something changed.
    pub fn update(
        &mut self,
        name: &InstanceId,
        overlay: SocketAddr,
        near: bool,
        copy_status: CopyStatus<Table>,
        now: Instant,
    ) -> bool {
        let state = ReaderState {
            overlay,
            near,
            copy_status,
            heard: now,
        };
        let changes = state.copy_status.changes.clone();
        let old = self.entries.insert(name.clone(), state);
        old.is_none_or(|old| old.copy_status.changes != changes)
    }

    /// Whether an entry may rely on others instead of reading the store: it is none of the first of
    /// its region, and a reader was heard just now. `alive` are the other entries of its region.
    pub fn may_skip_store<'entry, Alive>(&self, own: &str, alive: Alive, now: Instant) -> bool
    where
        Alive: Iterator<Item = &'entry InstanceId>,
    {
        let before = alive.filter(|name| name.as_str() < own).count();
        before >= READERS && self.fresh(now).any(|state| state.copy_status.reads_store)
    }

    /// Where rows of `table` that are newer than `version` are to be had.
    #[must_use]
    pub fn newer_rows(&self, table: Table, version: u64, now: Instant) -> Option<NewerRows> {
        let is_newer = |state: &&ReaderState<Table>| {
            let change = state.copy_status.changes.get(&table);
            change.is_some_and(|change| *change > version)
        };
        let mut found = None;
        for state in self.fresh(now).filter(is_newer) {
            if state.near {
                return Some(NewerRows::SameRegion(state.overlay));
            }
            found = Some(NewerRows::OtherRegion);
        }
        found
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &ReaderState<Table>> {
        let all = self.entries.values();
        all.filter(move |state| now.saturating_duration_since(state.heard) < READER_SILENCE)
    }
}
