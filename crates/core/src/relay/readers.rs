//! Which entries of a region poll the platform's store, and when the other entries may copy rows
//! from them instead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::InstanceId;
use crate::rank;
use crate::relay::row_version::RowVersion;

/// Number of entries of the whole fleet that poll the store, at least, evenly over the regions. The
/// others learn from heartbeats which rows changed, so that most of these may fail, or lose their
/// connections to the store.
const MIN_READERS: usize = 4;
/// Time without a heartbeat from any reader (an entry that polls the store) after which an entry
/// reads the store itself. A change must be in force 2 s after the store accepted it; heartbeats
/// are sent twice a second.
pub const READER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time that an entry waits for rows which only entries of other regions have, for each entry of its
/// region that reads the store before it.
const OTHER_REGION_WAIT: Duration = Duration::from_millis(400);
/// Longest such wait: changes must be in force within the platform's bound also if all entries before
/// this one fail to read them.
const MAX_OTHER_REGION_WAIT: Duration = Duration::from_millis(1_200);
/// Longest time that an entry which has just started waits for others of its region to read a table. By
/// then those that did not start again no longer count as alive.
const MAX_FIRST_READ_WAIT: Duration = Duration::from_secs(3);
/// Time after which an entry takes rows from another entry of its region than before.
const SOURCE_TURN: Duration = Duration::from_millis(500);

value_type! {
    /// Status of an entry's copy of the store's tables.
    #[derive(Default)]
    pub struct CopyStatus<Table: Ord> {
        /// Whether the entry reads the store itself and got an answer recently.
        pub reads_store: bool,
        /// Version of the newest change that the entry knows, by table.
        pub changes: BTreeMap<Table, RowVersion>,
        /// Version of the entry's last read of all rows, by table. Rows that were removed before it are
        /// missing in the entry's copy, but are not among its changes.
        pub full_reads: BTreeMap<Table, RowVersion>,
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
    /// whether its changes or full reads differ from those that it sent before. `same_region` tells whether
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
        let full_reads = state.copy_status.full_reads.clone();
        let old = self.entries.insert(name.clone(), state);
        old.is_none_or(|old| {
            old.copy_status.changes != changes || old.copy_status.full_reads != full_reads
        })
    }

    /// Whether the entry `own` need not read the store: it is not among the first entries of its
    /// region by name, and a reader in any region sent its status recently. `alive` are the names
    /// of the other live entries of its region, and `regions` is the number of regions with live
    /// entries.
    pub fn may_skip_store<'entry, Alive>(
        &self,
        own: &str,
        alive: Alive,
        regions: usize,
        now: Instant,
    ) -> bool
    where
        Alive: Iterator<Item = &'entry InstanceId>,
    {
        let before = alive.filter(|name| name.as_str() < own).count();
        before >= readers_per_region(regions)
            && self.recent(now).any(|state| state.copy_status.reads_store)
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
    ///
    /// The entries of a region, of which `own` is one, take the rows from different entries that have
    /// them. `waited` is the time for which `own` has known of newer rows; after a while it takes
    /// them from another entry.
    #[must_use]
    pub fn newer_rows(
        &self,
        table: Table,
        version: RowVersion,
        own: &str,
        waited: Duration,
        now: Instant,
    ) -> Option<NewerRows> {
        let turn = waited.as_millis() / SOURCE_TURN.as_millis();
        let own = rank::score_seeds(
            rank::seed(own.as_bytes()),
            u64::try_from(turn).unwrap_or(u64::MAX),
        );
        let mut is_elsewhere = false;
        let mut best = None;
        for (name, state) in &self.entries {
            if !is_recent(state, now) {
                continue;
            }
            let has_newer = |versions: &BTreeMap<Table, RowVersion>| {
                versions.get(&table).is_some_and(|newest| *newest > version)
            };
            let has_change = has_newer(&state.copy_status.changes);
            if !state.same_region {
                is_elsewhere |= has_change;
                continue;
            }
            // A removal before that read is in no entry's changes, but shows in the whole copy.
            if !has_change && !has_newer(&state.copy_status.full_reads) {
                continue;
            }
            let score = rank::score_seeds(own, rank::seed(name.as_bytes()));
            best = best.max(Some((score, state.overlay)));
        }
        match best {
            Some((_, overlay)) => Some(NewerRows::SameRegion(overlay)),
            None => is_elsewhere.then_some(NewerRows::OtherRegion),
        }
    }

    /// Entries whose status was received less than [`READER_TIMEOUT`] ago.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &ReaderState<Table>> {
        let all = self.entries.values();
        all.filter(move |state| is_recent(state, now))
    }
}

fn is_recent<Table: Ord>(state: &ReaderState<Table>, now: Instant) -> bool {
    now.saturating_duration_since(state.updated_at) < READER_TIMEOUT
}

/// Time that an entry waits before it reads rows from the store that only entries of other regions
/// have. `before` is the number of live entries of its region before it by name. Those that poll the
/// store anyway do not wait. The others mostly get the rows from them: if all read the store at once,
/// the link between the regions would carry a copy of the rows for each.
#[must_use]
pub fn other_region_wait(before: usize, regions: usize) -> Duration {
    turn_wait(before, regions).min(MAX_OTHER_REGION_WAIT)
}

/// Time that an entry waits before it reads a table of which it has no copy from the store. The
/// parameters are those of [`other_region_wait`], whose bound does not apply: no change must be in force by
/// then, and all entries may have started at once.
#[must_use]
pub fn first_read_wait(before: usize, regions: usize) -> Duration {
    turn_wait(before, regions).min(MAX_FIRST_READ_WAIT)
}

/// Time until it is the turn of an entry that has `before` entries of its region before it.
fn turn_wait(before: usize, regions: usize) -> Duration {
    let behind = (before + 1).saturating_sub(readers_per_region(regions));
    let behind = u32::try_from(behind).unwrap_or(u32::MAX);
    OTHER_REGION_WAIT.saturating_mul(behind)
}

/// Number of entries of each region that poll the store, in a fleet of `regions` regions.
#[must_use]
pub fn readers_per_region(regions: usize) -> usize {
    MIN_READERS.div_ceil(regions.max(2))
}
