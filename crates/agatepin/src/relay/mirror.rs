//! Keeps an entry's copy of the platform's tables: long polls, and other entries where the store
//! does not answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ModelId, RegionId};
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::readers::{CopyStatus, NewerRows};
use agatepin_core::relay::upstreams::LAPSE_GRACE;
use tokio::time::{sleep, timeout};

use crate::relay::admit::EntryIdentity;
use crate::relay::entry_rows::{EntryRow, WeightsRow};
use crate::relay::fleet::FleetHandle;
use crate::relay::overlay;
use crate::relay::ports::{
    FleetUpdate, MirrorTable, RowVersion, StoreError, TableRead, TableRow, TableStore, WireDialect,
};
use crate::relay::table_copy::{RowsCopy, TableCopy};

/// Longest wait of one long poll: a connection that went silent is given up within the time that
/// the platform allows after it.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for the table of entries: their signs of life tell the same sooner.
const ENTRIES_WAIT: Duration = Duration::from_secs(15);
/// Time between the turns in which entries write down the naming of weights.
const NOTE_TURN: Duration = Duration::from_millis(150);
/// Most turns that an entry waits.
const MAX_TURNS: u32 = 10;
/// Pause after changes of what operators declare, so that those of a busy moment come in one answer.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// The same for the list of upstreams, which changes all the time while engines come or load.
const LIST_PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks at what other entries say, where nothing was heard.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the store's last answer vouches for a copy: a long poll and its call.
const ANSWER_TTL: Duration = Duration::from_secs(3);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Rows of all tables that an entry mirrors.
type SharedRows = Rc<RefCell<BTreeMap<MirrorTable, TableCopy>>>;

/// How one step of a mirror ended.
enum StepEnd {
    /// The store was read.
    Read {
        /// Rows that changed.
        changes: usize,
    },
    /// Other entries were heard, or nothing happened.
    Waited,
}

/// Keeps one entry's mirror of the tables.
#[derive(Clone)]
pub struct TableMirror<Store, Dialect> {
    store: Store,
    dialect: Dialect,
    fleet: FleetHandle,
    rows: SharedRows,
    own_name: String,
    region: RegionId,
    returned: Rc<RefCell<Option<Instant>>>,
}

impl<Store, Dialect> TableMirror<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// An empty mirror.
    pub fn new(store: Store, dialect: Dialect, fleet: FleetHandle, place: &EntryIdentity) -> Self {
        Self {
            store,
            dialect,
            fleet,
            rows: SharedRows::default(),
            own_name: place.name.clone(),
            region: place.region.clone(),
            returned: Rc::default(),
        }
    }

    /// Mirrors one table for good.
    pub async fn run(self, table: MirrorTable) {
        let mut lost = false;
        loop {
            match self.step(table, lost).await {
                Ok(StepEnd::Waited) => {}
                Ok(StepEnd::Read { changes }) => {
                    if lost {
                        log::info!(table:?; "store regained");
                        *self.returned.borrow_mut() = Some(Instant::now());
                        lost = false;
                        self.settle_later();
                    }
                    if changes > 0 {
                        sleep(change_pause(table)).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(table:?; "history of the store is gone; reading all rows");
                    self.unlisted(table);
                }
                Err(err) => {
                    if !lost {
                        log::warn!(table:?, err:?; "store lost");
                    }
                    lost = true;
                    self.ask_entries(table).await;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Reads the store, or takes from other entries what they read, where this entry may rely on
    /// them. An entry that lost the store looks for its return by itself.
    async fn step(&self, table: MirrorTable, lost: bool) -> Result<StepEnd, StoreError> {
        let (listed, version) = {
            let mut rows = self.rows.borrow_mut();
            let known = rows.entry(table).or_default();
            (known.listed, known.version)
        };
        let wait = match table {
            _ if lost => Duration::ZERO,
            MirrorTable::Entries => ENTRIES_WAIT,
            MirrorTable::Operator | MirrorTable::Upstreams => POLL_WAIT,
        };
        if lost || !listed || table == MirrorTable::Entries || !self.may_skip_store() {
            let changes = self.read(table, wait).await?;
            if changes > 0 {
                self.fleet.with(|fleet| fleet.row_news.notify_one());
            }
            return Ok(StepEnd::Read { changes });
        }
        let now = Instant::now();
        let newer_rows = self
            .fleet
            .with(|fleet| fleet.readers.newer_rows(table, version, now));
        if let Some(NewerRows::SameRegion(peer)) = newer_rows
            && self.pull(table, peer, version).await
        {
            return Ok(StepEnd::Waited);
        }
        if newer_rows.is_some() {
            let changes = self.read(table, Duration::ZERO).await?;
            if changes == 0 {
                // The store's answer may be older than what others have read.
                sleep(FAILURE_PAUSE).await;
            }
            return Ok(StepEnd::Read { changes });
        }
        let heard = self.fleet.with(|fleet| fleet.heard_rows.clone());
        let _ = timeout(LOOK_INTERVAL, heard.notified()).await;
        Ok(StepEnd::Waited)
    }

    fn may_skip_store(&self) -> bool {
        let now = Instant::now();
        self.fleet.with(|fleet| {
            let near = fleet
                .entries
                .alive_in_region(&self.own_name, &self.region, now);
            fleet.readers.may_skip_store(&self.own_name, near, now)
        })
    }

    fn unlisted(&self, table: MirrorTable) {
        self.rows.borrow_mut().entry(table).or_default().listed = false;
    }

    /// Reads what is new.
    async fn read(&self, table: MirrorTable, wait: Duration) -> Result<usize, StoreError> {
        let (listed, version) = {
            let mut rows = self.rows.borrow_mut();
            let known = rows.entry(table).or_default();
            (known.listed, known.version)
        };
        let read = if listed {
            self.store.changes_after(table, version, wait).await?
        } else {
            self.store.list(table).await?
        };
        let changes = read.rows.len();
        let lapses = self.may_have_lapsed();
        self.with(table, |known| known.answered = Some(Instant::now()));
        if listed {
            self.take_changes(table, read, lapses);
            return Ok(changes);
        }
        self.replace(table, read, lapses);
        Ok(changes.min(1))
    }

    fn take_changes(&self, table: MirrorTable, read: TableRead, lapses: bool) {
        let time = read.time;
        self.with(table, |known| known.complete(read.version, time));
        for row in read.rows {
            let fact = self.apply(table, row, lapses, time);
            if let Some(FleetUpdate::Weights { model, version }) = fact {
                self.note_weights(model, version, time);
            }
        }
    }

    /// Takes all rows of a table; rows that are missing are gone.
    fn replace(&self, table: MirrorTable, read: TableRead, lapses: bool) {
        let (time, version) = (read.time, read.version);
        let gone = self.with(table, |known| {
            known.listed = true;
            known.complete(version, time);
            known.missing_in(&read)
        });
        for key in gone {
            let row = TableRow {
                key,
                version,
                value: None,
            };
            self.apply(table, row, lapses, time);
        }
        for row in read.rows {
            self.apply(table, row, lapses, time);
        }
        if table == MirrorTable::Upstreams {
            self.fleet.with(|fleet| fleet.listed = true);
        }
    }

    fn with<Act, Out>(&self, table: MirrorTable, act: Act) -> Out
    where
        Act: FnOnce(&mut TableCopy) -> Out,
    {
        act(self.rows.borrow_mut().entry(table).or_default())
    }

    /// Takes a row, read when the store's clock stood at `time`. Returns what is new in it.
    fn apply(
        &self,
        table: MirrorTable,
        row: TableRow,
        lapses: bool,
        time: Duration,
    ) -> Option<FleetUpdate> {
        if !self.with(table, |known| known.take(&row)) {
            return None;
        }
        let now = Instant::now();
        if table == MirrorTable::Entries {
            self.apply_entry(&row, time, now);
            return None;
        }
        match self.dialect.read_row(table, &row) {
            Ok(fact) => {
                self.fleet
                    .with(|fleet| fleet.learn(fact.clone(), lapses, now));
                Some(fact)
            }
            Err(err) => {
                log::warn!(table:?, key = row.key, reason = err.0; "row left out");
                if table == MirrorTable::Upstreams {
                    let gone = FleetUpdate::UpstreamRemoved(row.key);
                    self.fleet.with(|fleet| fleet.learn(gone, false, now));
                }
                None
            }
        }
    }

    fn apply_entry(&self, row: &TableRow, time: Duration, now: Instant) {
        let Some(value) = &row.value else {
            return self.fleet.with(|fleet| fleet.entries.unlist(&row.key));
        };
        if row.key.starts_with(WeightsRow::PREFIX) {
            return match WeightsRow::parse(value) {
                Ok(named) => self.fleet.with(|fleet| {
                    let age = time.saturating_sub(Duration::from_millis(named.named_ms));
                    fleet.learn_weights(&named.model, named.version, age, now);
                }),
                Err(err) => log::warn!(key = row.key, err:%; "row of weights left out"),
            };
        }
        match EntryRow::parse(value) {
            Ok(listing) => self
                .fleet
                .with(|fleet| fleet.entries.list(&row.key, listing, now)),
            Err(err) => log::warn!(key = row.key, err:%; "row of an entry left out"),
        }
    }

    /// Writes down when new weights were named, unless another entry does so sooner.
    fn note_weights(&self, model: ModelId, version: WeightsVersion, time: Duration) {
        let row = WeightsRow {
            model,
            version,
            named_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        };
        let mirror = self.clone();
        let turn = self.fleet.with(|fleet| {
            let alive = fleet.entries.alive_names(&self.own_name, Instant::now());
            alive.filter(|name| **name < self.own_name).count()
        });
        actix_rt::spawn(async move {
            sleep(NOTE_TURN * u32::try_from(turn).unwrap_or(u32::MAX).min(MAX_TURNS)).await;
            let value = match row.write() {
                Ok(value) => value,
                Err(err) => return log::error!(err:%; "row of weights cannot be written"),
            };
            while !mirror.is_noted(&row.key()) {
                match mirror
                    .store
                    .insert_entry_row(&row.key(), value.clone())
                    .await
                {
                    Ok(()) => return,
                    Err(err) => log::warn!(err:?; "naming of weights not written down yet"),
                }
                sleep(FAILURE_PAUSE).await;
            }
        });
    }

    fn is_noted(&self, key: &str) -> bool {
        let rows = self.rows.borrow();
        let entries = rows.get(&MirrorTable::Entries);
        entries.is_some_and(|entries| entries.has(key))
    }

    fn may_have_lapsed(&self) -> bool {
        let returned = *self.returned.borrow();
        returned.is_some_and(|at| at.elapsed() < LAPSE_GRACE)
    }

    fn settle_later(&self) {
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            sleep(LAPSE_GRACE).await;
            fleet.with(|fleet| fleet.upstreams.remove_lapsed());
        });
    }

    /// Reads the table from another entry that has newer rows.
    async fn ask_entries(&self, table: MirrorTable) {
        let now = Instant::now();
        let own = self.own_name.clone();
        let peers: Vec<_> = self.fleet.with(|fleet| {
            let alive = fleet.entries.alive(&own, now);
            alive.map(|listing| listing.overlay).collect()
        });
        let version = self.rows.borrow_mut().entry(table).or_default().version;
        if peers.is_empty() {
            return;
        }
        let start = rand::random_range(0..peers.len());
        for offset in 0..peers.len().min(2) {
            let peer = peers[(start + offset) % peers.len()];
            if self.pull(table, peer, version).await {
                return;
            }
        }
    }

    /// Takes newer rows of another entry. Returns false where it has none.
    async fn pull(&self, table: MirrorTable, peer: SocketAddr, version: RowVersion) -> bool {
        let Some(copy) = overlay::pull_rows(peer, table, version).await else {
            return false;
        };
        let read = copy.read;
        log::info!(table:?, peer:%, version = read.version, rows = read.rows.len(); "rows taken from another entry");
        if copy.lapses {
            self.settle_later();
        }
        let lapses = copy.lapses || self.may_have_lapsed();
        if copy.changes_only {
            self.take_changes(table, read, lapses);
        } else {
            self.replace(table, read, lapses);
        }
        true
    }

    /// What this entry has for another one that asks.
    #[must_use]
    pub fn newer_rows(&self, table: MirrorTable, after: RowVersion) -> Option<RowsCopy> {
        let rows = self.rows.borrow();
        rows.get(&table)?.newer_rows(after, self.may_have_lapsed())
    }

    /// What this entry tells others of its copy.
    #[must_use]
    pub fn claim(&self) -> CopyStatus<MirrorTable> {
        let rows = self.rows.borrow();
        let told = [MirrorTable::Operator, MirrorTable::Upstreams];
        let reads_store = told.iter().all(|table| {
            let answered = rows.get(table).and_then(|known| known.answered);
            answered.is_some_and(|at| at.elapsed() < ANSWER_TTL)
        });
        let changes = told.iter().filter_map(|table| {
            let known = rows.get(table)?;
            Some((*table, known.change))
        });
        CopyStatus {
            reads_store,
            changes: changes.collect(),
        }
    }
}

fn change_pause(table: MirrorTable) -> Duration {
    match table {
        MirrorTable::Operator | MirrorTable::Entries => CHANGE_PAUSE,
        MirrorTable::Upstreams => LIST_PAUSE,
    }
}
