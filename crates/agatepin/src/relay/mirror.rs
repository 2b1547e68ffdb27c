//! Keeps an entry's copy of the tables of the platform's store up to date. A few entries of each
//! region read the store by long polls; the other entries take changed rows from those, and all rows
//! when they start. Every entry reads the table of entries itself. While the store does not answer, an
//! entry takes rows from any other entry that has newer ones.

mod own_rows;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RegionId;
use agatepin_core::relay::readers::{self, CopyStatus, NewerRows};
use agatepin_core::relay::row_version::RowVersion;
use agatepin_core::relay::upstreams::LAPSE_GRACE;
use tokio::time::{sleep, timeout};

use crate::relay::admit::EntryIdentity;
use crate::relay::entry_rows::{EntryRow, WeightsRow};
use crate::relay::fleet::{FleetHandle, RowTime};
use crate::relay::overlay;
use crate::relay::ports::{
    FleetUpdate, MirrorTable, StoreError, TableRead, TableRow, TableStore, WireDialect,
};
use crate::relay::table_copy::{RowsCopy, TableCopy};

/// Longest wait of one long poll for the tables of operators and upstreams: short enough that a connection which stopped responding is given
/// up within the time that the platform allows.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);
/// Longest wait of one long poll for the table of entries. This wait may be longer than that for the
/// other tables, since heartbeats carry the same information sooner.
const ENTRIES_MAX_POLL_WAIT: Duration = Duration::from_secs(15);
/// Pause before the next read after changes by operators or entries, so that several changes in a
/// short time arrive in one answer.
const OPERATOR_CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Pause before the next read after changes of the list of upstreams, which changes continuously
/// while engines start or load.
const UPSTREAM_CHANGE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between two checks of other entries' copies for newer rows.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two checks whether the table of entries has been read, before the first read of another.
const ENTRIES_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the store's last answer for which this entry reports a copy as read from the store:
/// 2 s for the longest wait of a long poll (`MAX_POLL_WAIT`) and 1 s for its HTTP request and answer.
/// The table of entries, whose polls
/// wait longer, is not reported.
const STORE_ANSWER_TTL: Duration = Duration::from_secs(3);
/// Pause after a failed read or write of the store, or after a read without the newer rows that other
/// entries already have.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Time after the store came back from a copy in which a row of the copy does not take back a change that
/// this entry has acted on. Operators and upstreams write their rows again meanwhile, and the platform
/// removes those of upstreams that are gone.
const RETURN_GRACE: Duration = Duration::from_secs(5);

/// Copies of all tables that an entry mirrors, shared by the tasks of the mirror.
type SharedCopies = Rc<RefCell<BTreeMap<MirrorTable, TableCopy>>>;

/// How the rows of one read are applied.
#[derive(Clone, Copy)]
struct RowContext {
    /// Rows may be missing only because they expired while the store was unreachable.
    may_have_lapsed: bool,
    /// The store came back from a copy since the last read.
    has_returned: bool,
    /// When the rows changed.
    changed: RowTime,
    /// Reading of the store's clock.
    time: Duration,
}

/// Result of one step of a mirror.
enum StepOutcome {
    /// The platform's store was read.
    Read {
        /// Number of changed rows; a read of all rows counts as one change.
        changes: usize,
    },
    /// The store was not read: rows came from another entry, or this entry waited for other entries
    /// to have newer rows.
    Waited,
}

/// Mirror of the platform's tables in one entry.
#[derive(Clone)]
pub struct TableMirror<Store, Dialect> {
    /// Client of the platform's store.
    store: Store,
    /// Decodes the rows of the store.
    dialect: Dialect,
    /// State of the fleet that the rows are applied to.
    fleet: FleetHandle,
    copies: SharedCopies,
    /// Name of this entry.
    own_name: String,
    /// Region of this entry.
    region: RegionId,
    /// End of the store's last outage; none before. Reads that failed for this entry alone are no
    /// outage.
    store_regained: Rc<RefCell<Option<Instant>>>,
    /// Start of the first failed read of each table since the store's last answer to a read of it.
    lost_since: Rc<RefCell<BTreeMap<MirrorTable, Instant>>>,
    /// Since when other entries have newer rows of a table than this entry.
    behind_since: Rc<RefCell<BTreeMap<MirrorTable, Instant>>>,
    /// Time since which the store has answered each read of this entry; none after a failed one.
    answered_since: Rc<Cell<Option<Instant>>>,
}

impl<Store, Dialect> TableMirror<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Creates an empty mirror of the entry `identity`.
    pub fn new(
        store: Store,
        dialect: Dialect,
        fleet: FleetHandle,
        identity: &EntryIdentity,
    ) -> Self {
        Self {
            store,
            dialect,
            fleet,
            copies: SharedCopies::default(),
            own_name: identity.name.clone(),
            region: identity.region.clone(),
            store_regained: Rc::default(),
            lost_since: Rc::default(),
            behind_since: Rc::default(),
            answered_since: Rc::default(),
        }
    }

    /// Keeps the copy of one table up to date until the task is dropped.
    pub async fn run(self, table: MirrorTable) {
        loop {
            let started = Instant::now();
            let store_lost = self.lost_since.borrow().contains_key(&table);
            match self.step(table, store_lost).await {
                Ok(StepOutcome::Read { changes }) if changes > 0 => {
                    sleep(pause_after_changes(table)).await;
                }
                Ok(StepOutcome::Read { .. } | StepOutcome::Waited) => {}
                Err(StoreError::HistoryGone) => {
                    log::info!(table:?; "store no longer retains the requested changes; reading all rows of the table");
                    self.require_full_read(table);
                }
                Err(err) => {
                    if !store_lost {
                        // The first failed read of the table since the store's last answer; further
                        // failed reads are not logged.
                        log::warn!(table:?, err:?; "store lost");
                    }
                    self.lost_since.borrow_mut().entry(table).or_insert(started);
                    self.answered_since.set(None);
                    self.pull_from_entries(table).await;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Records that the store answers again, after the reads of `table` had failed from `since` on.
    /// It was no outage, in which rows may have expired, if other entries had answers all the time.
    fn record_regained(&self, table: MirrorTable, since: Instant) {
        let now = Instant::now();
        let others_answered = self
            .fleet
            .with(|fleet| fleet.table_copies.has_answered_since(since, now));
        log::info!(table:?, others_answered; "store regained");
        if others_answered {
            return;
        }
        *self.store_regained.borrow_mut() = Some(now);
        self.remove_lapsed_later();
    }

    /// Reads the store, or takes rows from other entries if this entry may rely on their reads. With
    /// `store_lost` (the last read failed), always reads the store, to notice when it answers again.
    async fn step(&self, table: MirrorTable, store_lost: bool) -> Result<StepOutcome, StoreError> {
        let (fully_read, version) = {
            let mut copies = self.copies.borrow_mut();
            let copy = copies.entry(table).or_default();
            (copy.fully_read, copy.version)
        };
        if version == RowVersion::default() && table != MirrorTable::Entries {
            return self.take_first_rows(table).await;
        }
        let wait = match table {
            _ if store_lost => Duration::ZERO,
            MirrorTable::Entries => ENTRIES_MAX_POLL_WAIT,
            MirrorTable::Operator | MirrorTable::Upstreams => MAX_POLL_WAIT,
        };
        if store_lost || !fully_read || table == MirrorTable::Entries || !self.may_skip_store() {
            let changes = self.read_store(table, wait).await?;
            if changes > 0 {
                self.fleet.with(|fleet| fleet.rows_read.notify_one());
            }
            return Ok(StepOutcome::Read { changes });
        }
        self.take_newer_rows(table, version).await
    }

    /// Takes the rows of a table of which this entry has no copy: from an entry of the same region that has
    /// them, or from the store once it is this entry's turn. Where all entries start at once and each reads
    /// the store, the link between two regions carries a copy of the table for each of them.
    async fn take_first_rows(&self, table: MirrorTable) -> Result<StepOutcome, StoreError> {
        if !self.has_tried_entries() {
            // Without that table, no other entry is known.
            sleep(ENTRIES_CHECK_INTERVAL).await;
            return Ok(StepOutcome::Waited);
        }
        let now = Instant::now();
        let since = *self.behind_since.borrow_mut().entry(table).or_insert(now);
        let waited = now.duration_since(since);
        let version = RowVersion::default();
        let (source, peer_rows_changed) = self.fleet.with(|fleet| {
            let copies = &fleet.table_copies;
            let source = copies.newer_rows(table, version, &self.own_name, waited, now);
            (source, fleet.peer_rows_changed.clone())
        });
        if let Some(NewerRows::SameRegion(peer)) = source
            && self.pull_from(table, peer, version).await
        {
            self.behind_since.borrow_mut().remove(&table);
            return Ok(StepOutcome::Waited);
        }
        let left = self.first_read_wait(now).saturating_sub(waited);
        if !left.is_zero() {
            let pause = left.min(PEER_CHECK_INTERVAL);
            let _ = timeout(pause, peer_rows_changed.notified()).await;
            return Ok(StepOutcome::Waited);
        }
        // After a failed read, other entries have their turn first.
        self.behind_since.borrow_mut().remove(&table);
        let changes = self.read_store(table, Duration::ZERO).await?;
        self.fleet.with(|fleet| fleet.rows_read.notify_one());
        Ok(StepOutcome::Read { changes })
    }

    /// Whether the table of entries has been read, or a read of it has failed.
    fn has_tried_entries(&self) -> bool {
        let is_lost = self.lost_since.borrow().contains_key(&MirrorTable::Entries);
        is_lost || self.with_copy(MirrorTable::Entries, |copy| copy.fully_read)
    }

    /// Takes the rows that are newer than `version` from an entry of the same region that has them.
    /// Reads the store if only entries of other regions do, or none of the same region has answered,
    /// once it is this entry's turn. Waits for other entries to have newer rows if none has any.
    async fn take_newer_rows(
        &self,
        table: MirrorTable,
        version: RowVersion,
    ) -> Result<StepOutcome, StoreError> {
        let now = Instant::now();
        let behind_since = self.behind_since.borrow().get(&table).copied();
        let waited = behind_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        let newer_rows = self.fleet.with(|fleet| {
            fleet
                .table_copies
                .newer_rows(table, version, &self.own_name, waited, now)
        });
        if newer_rows.is_none() {
            self.behind_since.borrow_mut().remove(&table);
        } else {
            let mut behind_since = self.behind_since.borrow_mut();
            behind_since.entry(table).or_insert(now);
        }
        if let Some(NewerRows::SameRegion(peer)) = newer_rows {
            if self.pull_from(table, peer, version).await {
                self.behind_since.borrow_mut().remove(&table);
                return Ok(StepOutcome::Waited);
            }
            sleep(FAILURE_PAUSE).await;
        }
        if newer_rows.is_some() && waited >= self.other_region_wait(now) {
            self.behind_since.borrow_mut().remove(&table);
            let changes = self.read_store(table, Duration::ZERO).await?;
            if changes == 0 {
                // The store's answer may be older than the rows of other entries: pause before the
                // next read.
                sleep(FAILURE_PAUSE).await;
            }
            return Ok(StepOutcome::Read { changes });
        }
        if let Some(NewerRows::SameRegion(_)) = newer_rows {
            return Ok(StepOutcome::Waited);
        }
        let peer_rows_changed = self.fleet.with(|fleet| fleet.peer_rows_changed.clone());
        let _ = timeout(PEER_CHECK_INTERVAL, peer_rows_changed.notified()).await;
        Ok(StepOutcome::Waited)
    }

    /// Whether this entry may rely on other entries to read the store for it.
    fn may_skip_store(&self) -> bool {
        let now = Instant::now();
        self.fleet.with(|fleet| {
            let others = fleet
                .entries
                .alive_in_region(&self.own_name, &self.region, now);
            let regions = fleet.entries.regions_alive(&self.region, now);
            fleet
                .table_copies
                .may_skip_store(&self.own_name, others, regions, now)
        })
    }

    /// Time that this entry waits before it reads rows from the store that other entries have.
    fn other_region_wait(&self, now: Instant) -> Duration {
        let (before, regions) = self.rank_in_region(now);
        readers::other_region_wait(before, regions)
    }

    /// Time that this entry waits before it reads a table of which it has no copy from the store.
    fn first_read_wait(&self, now: Instant) -> Duration {
        let (before, regions) = self.rank_in_region(now);
        readers::first_read_wait(before, regions)
    }

    /// Number of live entries of the region that come before this one by name, and number of regions with
    /// live entries.
    fn rank_in_region(&self, now: Instant) -> (usize, usize) {
        self.fleet.with(|fleet| {
            let entries = &fleet.entries;
            let alive = entries.alive_in_region(&self.own_name, &self.region, now);
            let before = alive.filter(|name| **name < self.own_name).count();
            (before, entries.regions_alive(&self.region, now))
        })
    }

    /// Whether it is this entry's turn to take rows of `table` over a link between regions while the store
    /// does not answer.
    fn may_pull_from_other_region(&self, table: MirrorTable, now: Instant) -> bool {
        let lost_since = self.lost_since.borrow().get(&table).copied();
        let lost_for = lost_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        let wait = if self.with_copy(table, |copy| copy.fully_read) {
            self.other_region_wait(now)
        } else {
            self.first_read_wait(now)
        };
        lost_for >= wait
    }

    /// Makes the next read of the store return all rows.
    fn require_full_read(&self, table: MirrorTable) {
        self.copies
            .borrow_mut()
            .entry(table)
            .or_default()
            .fully_read = false;
    }

    /// Reads the changes since the last read, or all rows if none were completely read before. Waits up
    /// to `wait` for a change (long poll). Returns the number of changed rows; a read of all rows counts
    /// as one.
    async fn read_store(&self, table: MirrorTable, wait: Duration) -> Result<usize, StoreError> {
        let (fully_read, version) = {
            let mut copies = self.copies.borrow_mut();
            let copy = copies.entry(table).or_default();
            (copy.fully_read, copy.version)
        };
        let read = if fully_read {
            self.store.changes_after(table, version, wait).await?
        } else {
            self.store.list(table).await?
        };
        if read.version.era < self.with_copy(table, |copy| copy.version.era) {
            // Rows of a later era came from another entry meanwhile.
            let text = format!("rows of the earlier era {}", read.version.era);
            return Err(StoreError::Broken(text));
        }
        // Before the rows are applied: some may be missing because they expired in the outage.
        let lost_since = self.lost_since.borrow_mut().remove(&table);
        if let Some(since) = lost_since {
            self.record_regained(table, since);
        }
        let changes = read.rows.len();
        let may_have_lapsed = self.may_have_lapsed();
        let now = Instant::now();
        self.with_copy(table, |copy| copy.answered_at = Some(now));
        if self.answered_since.get().is_none() {
            self.answered_since.set(Some(now));
        }
        if fully_read {
            self.apply_changes(table, read, may_have_lapsed, RowTime::Now);
            return Ok(changes);
        }
        self.replace_rows(table, read, may_have_lapsed);
        Ok(changes.min(1))
    }

    /// Applies rows that were changed at `changed` to the copy and the fleet's state. Writes the time
    /// of each announcement of weights among them to the store, where it is known.
    fn apply_changes(
        &self,
        table: MirrorTable,
        read: TableRead,
        may_have_lapsed: bool,
        changed: RowTime,
    ) {
        let time = read.time;
        self.with_copy(table, |copy| copy.advance(read.version, time));
        let context = RowContext {
            may_have_lapsed,
            has_returned: false,
            changed,
            time,
        };
        for row in read.rows {
            let update = self.apply_row(table, row, context);
            if let Some(FleetUpdate::Weights { model, version }) = update
                && changed == RowTime::Now
            {
                self.record_announcement(model, version, time);
            }
        }
    }

    /// Replaces the copy of a table by `read`, a read of all rows; rows that are missing in `read` are
    /// removed.
    fn replace_rows(&self, table: MirrorTable, read: TableRead, may_have_lapsed: bool) {
        let (time, version) = (read.time, read.version);
        let has_returned = self.with_copy(table, |copy| copy.is_of_earlier_era(version));
        if has_returned {
            log::warn!(table:?, era = version.era, number = version.number; "store came back from a copy");
            *self.store_regained.borrow_mut() = Some(Instant::now());
            self.remove_lapsed_later();
        }
        let context = RowContext {
            may_have_lapsed: may_have_lapsed || has_returned,
            has_returned,
            changed: RowTime::After(self.with_copy(table, |copy| copy.complete_until())),
            time,
        };
        let removed = self.with_copy(table, |copy| copy.begin_full_read(&read));
        if has_returned && table == MirrorTable::Entries {
            self.write_lost_rows(&removed);
        }
        for row in removed {
            let removal = TableRow {
                key: row.key,
                version,
                value: None,
            };
            self.apply_row(table, removal, context);
        }
        let (rows, mut unchanged) = (read.rows.len(), 0);
        for row in read.rows {
            if !self.is_newer(table, &row) {
                unchanged += 1;
                continue;
            }
            self.apply_row(table, row, context);
        }
        // `unchanged` rows are known in the same or a newer version.
        log::info!(
            table:?, era = version.era, number = version.number, rows, unchanged;
            "all rows of the table read"
        );
        if table == MirrorTable::Upstreams {
            self.fleet.with(|fleet| fleet.upstreams_read = true);
        }
    }

    /// Whether the row is newer than the one in the copy.
    fn is_newer(&self, table: MirrorTable, row: &TableRow) -> bool {
        self.with_copy(table, |copy| copy.is_newer(row))
    }

    /// Runs `act` on the copy of `table`, which is created if missing.
    fn with_copy<Act, Out>(&self, table: MirrorTable, act: Act) -> Out
    where
        Act: FnOnce(&mut TableCopy) -> Out,
    {
        act(self.copies.borrow_mut().entry(table).or_default())
    }

    /// Applies a row. Returns the update that it contains, if it is new and valid.
    fn apply_row(
        &self,
        table: MirrorTable,
        row: TableRow,
        context: RowContext,
    ) -> Option<FleetUpdate> {
        let (was_removed, is_known) = self.with_copy(table, |copy| {
            let is_known = context.has_returned && copy.has_value(&row);
            (copy.is_removed(&row.key), is_known)
        });
        // A known row that the copy has too is not news, such as of a cold start.
        if !self.with_copy(table, |copy| copy.insert(&row)) || is_known {
            return None;
        }
        let now = Instant::now();
        if table == MirrorTable::Entries {
            self.apply_entry_row(&row, context, now);
            return None;
        }
        let RowContext {
            may_have_lapsed,
            changed,
            ..
        } = context;
        match self.dialect.read_row(table, &row) {
            Ok(update) => {
                let takes_back = context.has_returned
                    && self
                        .fleet
                        .with(|fleet| fleet.takes_back(&update, was_removed));
                if takes_back {
                    log::info!(table:?, key = row.key; "row of the store's copy held back");
                    self.apply_later(table, row, update.clone());
                } else {
                    self.fleet
                        .with(|fleet| fleet.apply(update.clone(), may_have_lapsed, changed, now));
                }
                Some(update)
            }
            Err(err) => {
                log::warn!(table:?, key = row.key, reason = err.0; "unusable row of the store skipped");
                if table == MirrorTable::Upstreams {
                    let removal = FleetUpdate::UpstreamRemoved(row.key);
                    self.fleet
                        .with(|fleet| fleet.apply(removal, false, changed, now));
                }
                None
            }
        }
    }

    /// Starts a task that applies `update`, which `row` contains, after [`RETURN_GRACE`] unless the row
    /// has changed until then.
    fn apply_later(&self, table: MirrorTable, row: TableRow, update: FleetUpdate) {
        let mirror = self.clone();
        actix_rt::spawn(async move {
            sleep(RETURN_GRACE).await;
            if !mirror.with_copy(table, |copy| copy.has_value(&row)) {
                return;
            }
            log::info!(table:?, key = row.key; "row of the store's copy applied");
            let now = Instant::now();
            mirror
                .fleet
                .with(|fleet| fleet.apply(update, false, RowTime::After(None), now));
        });
    }

    /// Applies a row of the entries' table: the registration of an entry or an announcement of weights.
    fn apply_entry_row(&self, row: &TableRow, context: RowContext, now: Instant) {
        let Some(value) = &row.value else {
            // The row of a live entry that is lost is written again.
            if !context.has_returned {
                self.fleet.with(|fleet| fleet.entries.unlist(&row.key));
            }
            return;
        };
        if row.key.starts_with(WeightsRow::PREFIX) {
            return match WeightsRow::parse(value) {
                Ok(announced) => self.fleet.with(|fleet| {
                    let named = Duration::from_millis(announced.named_ms);
                    let age = context.time.saturating_sub(named);
                    fleet.record_weights(&announced.model, announced.version, age, now);
                }),
                Err(err) => log::warn!(key = row.key, err:%; "malformed weights row skipped"),
            };
        }
        match EntryRow::parse(value) {
            Ok(listing) => self
                .fleet
                .with(|fleet| fleet.entries.list(&row.key, listing, now)),
            Err(err) => log::warn!(key = row.key, err:%; "malformed row of an entry skipped"),
        }
    }

    /// Whether the store answered again so recently that rows may be missing only because they
    /// expired while the store was unreachable.
    fn may_have_lapsed(&self) -> bool {
        let store_regained = *self.store_regained.borrow();
        store_regained.is_some_and(|at| at.elapsed() < LAPSE_GRACE)
    }

    /// Starts a task that, after the grace period, removes the upstreams whose rows expired while the
    /// store was unreachable and were not written again.
    fn remove_lapsed_later(&self) {
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            sleep(LAPSE_GRACE).await;
            fleet.with(|fleet| fleet.upstreams.remove_lapsed());
        });
    }

    /// Asks up to two other entries, chosen at random, for newer rows of a table, and takes those of the
    /// first one that has any: one of the same region, and then any one if it is this entry's turn.
    async fn pull_from_entries(&self, table: MirrorTable) {
        let now = Instant::now();
        let own = self.own_name.clone();
        let peers: Vec<_> = self.fleet.with(|fleet| {
            let alive = fleet.entries.alive(&own, now);
            alive
                .map(|listing| (listing.region == self.region, listing.overlay))
                .collect()
        });
        let version = self.copies.borrow_mut().entry(table).or_default().version;
        let (near, all): (Vec<_>, Vec<_>) = (
            peers.iter().filter(|(near, _)| *near).collect(),
            peers.iter().collect(),
        );
        let may_pull = self.may_pull_from_other_region(table, now);
        let all = if may_pull { all } else { Vec::new() };
        for candidates in [near, all] {
            if candidates.is_empty() {
                continue;
            }
            let (_, peer) = *candidates[rand::random_range(0..candidates.len())];
            if self.pull_from(table, peer, version).await {
                return;
            }
        }
    }

    /// Takes the rows newer than `version` from the entry at `peer`. Returns false if that entry has
    /// none or does not answer.
    async fn pull_from(&self, table: MirrorTable, peer: SocketAddr, version: RowVersion) -> bool {
        let Some(copy) = overlay::pull_rows(peer, table, version).await else {
            return false;
        };
        let read = copy.read;
        log::info!(
            table:?, peer:%, era = read.version.era, number = read.version.number,
            rows = read.rows.len();
            "rows taken from another entry"
        );
        if copy.may_have_lapsed {
            self.remove_lapsed_later();
        }
        let may_have_lapsed = copy.may_have_lapsed || self.may_have_lapsed();
        if copy.changes_only {
            // The other entry may have started only after the changes.
            let changed = RowTime::After(self.with_copy(table, |copy| copy.complete_until()));
            self.apply_changes(table, read, may_have_lapsed, changed);
        } else {
            self.replace_rows(table, read, may_have_lapsed);
        }
        true
    }

    /// Rows for another entry whose copy is complete up to `after`; none if this copy is not newer.
    #[must_use]
    pub fn newer_rows(&self, table: MirrorTable, after: RowVersion) -> Option<RowsCopy> {
        let copies = self.copies.borrow();
        copies
            .get(&table)?
            .newer_rows(after, self.may_have_lapsed())
    }

    /// State of this entry's copies of the tables, for its heartbeats to other entries.
    #[must_use]
    pub fn copy_status(&self) -> CopyStatus<MirrorTable> {
        let copies = self.copies.borrow();
        let reported = [MirrorTable::Operator, MirrorTable::Upstreams];
        let reads_store = reported.iter().all(|table| {
            let answered = copies.get(table).and_then(|copy| copy.answered_at);
            answered.is_some_and(|at| at.elapsed() < STORE_ANSWER_TTL)
        });
        let changes = reported.iter().filter_map(|table| {
            let copy = copies.get(table)?;
            Some((*table, copy.last_change))
        });
        let full_reads = reported.iter().filter_map(|table| {
            let copy = copies.get(table).filter(|copy| copy.fully_read)?;
            Some((*table, copy.full_read_version))
        });
        let answered_since = self.answered_since.get();
        CopyStatus {
            reads_store,
            changes: changes.collect(),
            full_reads: full_reads.collect(),
            answered_for: answered_since.map_or(Duration::ZERO, |since| since.elapsed()),
        }
    }
}

/// Pause before the next read of `table` after changes, so that several arrive in one answer.
fn pause_after_changes(table: MirrorTable) -> Duration {
    match table {
        MirrorTable::Operator | MirrorTable::Entries => OPERATOR_CHANGE_PAUSE,
        MirrorTable::Upstreams => UPSTREAM_CHANGE_PAUSE,
    }
}
