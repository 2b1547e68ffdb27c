//! Which entries of a region poll the platform's store, and when the other entries may copy rows
//! from them instead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::InstanceId;

/// Number of entries of a region that poll the store. With two, one may fail or lose its connection
/// to the store.
pub const READERS_PER_REGION: usize = 2;
/// Time without a heartbeat from any reader (an entry that polls the store) after which an entry
/// reads the store itself. A change must be in force 2 s after the store accepted it; heartbeats
/// are sent twice a second.
pub const READER_TIMEOUT: Duration = Duration::from_millis(1_200);

value_type! {
    /// Status of an entry's copy of the store's tables.
    #[derive(Default)]
    pub struct CopyStatus<Table: Ord> {
        /// Whether the entry reads the store itself and got an answer recently.
        pub reads_store: bool,
        /// Version of the newest change that the entry knows, by table.
        pub changes: BTreeMap<Table, u64>,
        /// Time since which the store has answered each read of the entry; zero if it answered none
        /// since the last failed one.
        pub answered_for: Duration,
    }

    /// Where rows of a table that are newer than the known ones are available.
    pub enum NewerRows {
        /// At the entry of the same region with this overlay address.
        SameRegion(SocketAddr),
        /// Only at entries of other regions. The rows should be read from the store, which causes
        /// no traffic between regions.
        OtherRegion,
    }

    struct ReaderState<Table: Ord> {
        /// Address of the entry for datagrams and pull requests.
        overlay: SocketAddr,
        /// Whether the entry is in the region of this entry.
        same_region: bool,
        copy_status: CopyStatus<Table>,
        /// When the entry's status was received.
        updated_at: Instant,
    }
}

/// Status of the other entries' copies, by entry name.
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
    /// Records the copy status that the entry `name`, with the address `overlay`, sent. Returns
    /// whether its changes differ from those that it sent before. `same_region` tells whether
    /// `name` is in this entry's region.
    pub fn update(
        &mut self,
        name: &InstanceId,
        overlay: SocketAddr,
        same_region: bool,
        copy_status: CopyStatus<Table>,
        now: Instant,
    ) -> bool {
        let state = ReaderState {
            overlay,
            same_region,
            copy_status,
            updated_at: now,
        };
        let changes = state.copy_status.changes.clone();
        let old = self.entries.insert(name.clone(), state);
        old.is_none_or(|old| old.copy_status.changes != changes)
    }

    /// Whether the entry `own` need not read the store: it is not among the first entries of its
    /// region by name, and a reader in any region sent its status recently. `alive` are the names
    /// of the other live entries of its region.
    pub fn may_skip_store<'entry, Alive>(&self, own: &str, alive: Alive, now: Instant) -> bool
    where
        Alive: Iterator<Item = &'entry InstanceId>,
    {
        let before = alive.filter(|name| name.as_str() < own).count();
        before >= READERS_PER_REGION && self.recent(now).any(|state| state.copy_status.reads_store)
    }

    /// Whether the store has answered each read of another entry since `since`. Then it was not down
    /// meanwhile, even if this entry could not reach it.
    #[must_use]
    pub fn has_answered_since(&self, since: Instant, now: Instant) -> bool {
        self.recent(now).any(|state| {
            let status = &state.copy_status;
            // The time comes from another daemon and may be too long to add.
            let covered = since.checked_add(status.answered_for);
            status.reads_store && covered.is_none_or(|until| until >= state.updated_at)
        })
    }

    /// Where rows of `table` newer than `version` are available; `None` if no entry has any.
    #[must_use]
    pub fn newer_rows(&self, table: Table, version: u64, now: Instant) -> Option<NewerRows> {
        let is_newer = |state: &&ReaderState<Table>| {
            let change = state.copy_status.changes.get(&table);
            change.is_some_and(|change| *change > version)
        };
        let mut found = None;
        for state in self.recent(now).filter(is_newer) {
            if state.same_region {
                return Some(NewerRows::SameRegion(state.overlay));
            }
            found = Some(NewerRows::OtherRegion);
        }
        found
    }

    /// Entries whose status was received less than [`READER_TIMEOUT`] ago.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &ReaderState<Table>> {
        let all = self.entries.values();
        all.filter(move |state| now.saturating_duration_since(state.updated_at) < READER_TIMEOUT)
    }
}
