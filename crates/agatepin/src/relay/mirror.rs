//! Keeps an entry's copy of the platform's tables: long polls, and other entries where the store
//! does not answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::ModelId;
use agatepin_core::relay::book::LAPSE_GRACE;
use agatepin_core::relay::catalog::WeightsNumber;
use tokio::time::sleep;

use crate::relay::entry_rows::{EntryRow, WeightsRow};
use crate::relay::fleet::FleetHandle;
use crate::relay::overlay;
use crate::relay::ports::{
    FleetFact, MirrorTable, RowVersion, StoreError, TableRead, TableRow, TableStore, WireDialect,
};

/// Longest wait of one long poll: a connection that went silent is given up within the time that
/// the platform allows after it.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for the table of entries: their signs of life tell the same sooner.
const ENTRIES_WAIT: Duration = Duration::from_secs(15);
/// Time between the turns in which entries write down the naming of weights.
const NOTE_TURN: Duration = Duration::from_millis(150);
/// Most turns that an entry waits.
const MAX_TURNS: u32 = 10;
/// Pause after changes, so that those of a busy moment come in one answer.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Rows of one table.
#[derive(Debug, Default)]
pub struct MirrorRows {
    rows: BTreeMap<String, TableRow>,
    version: RowVersion,
    listed: bool,
    /// The store's clock at the last read, and when that was.
    clock: Option<(Duration, Instant)>,
}

impl MirrorRows {
    fn tick(&mut self, time: Duration) {
        self.clock = Some((time, Instant::now()));
    }

    fn time(&self) -> Duration {
        let clock = self.clock.map(|(time, at)| time + at.elapsed());
        clock.unwrap_or_default()
    }
}

/// Rows of all tables that an entry mirrors.
pub type SharedRows = Rc<RefCell<BTreeMap<MirrorTable, MirrorRows>>>;

/// Keeps one entry's mirror of the tables.
#[derive(Clone)]
pub struct TableMirror<Store, Dialect> {
    store: Store,
    dialect: Dialect,
    fleet: FleetHandle,
    rows: SharedRows,
    own_name: String,
    returned: Rc<RefCell<Option<Instant>>>,
}

impl<Store, Dialect> TableMirror<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// An empty mirror.
    pub fn new(store: Store, dialect: Dialect, fleet: FleetHandle, own_name: String) -> Self {
        Self {
            store,
            dialect,
            fleet,
            rows: SharedRows::default(),
            own_name,
            returned: Rc::default(),
        }
    }

    /// The rows, for other entries.
    #[must_use]
    pub fn rows(&self) -> SharedRows {
        self.rows.clone()
    }

    /// Mirrors one table for good.
    pub async fn run(self, table: MirrorTable) {
        let mut lost = false;
        loop {
            match self.read(table, lost).await {
                Ok(changes) => {
                    if lost {
                        log::info!(table:?; "store regained");
                        *self.returned.borrow_mut() = Some(Instant::now());
                        lost = false;
                        self.settle_later();
                    }
                    if changes > 0 {
                        sleep(CHANGE_PAUSE).await;
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

    fn unlisted(&self, table: MirrorTable) {
        self.rows.borrow_mut().entry(table).or_default().listed = false;
    }

    /// Reads what is new. A store that was `lost` is asked without a wait, so that its silence is
    /// noticed soon and its return at once.
    async fn read(&self, table: MirrorTable, lost: bool) -> Result<usize, StoreError> {
        let (listed, version) = {
            let mut rows = self.rows.borrow_mut();
            let known = rows.entry(table).or_default();
            (known.listed, known.version)
        };
        if !listed {
            let read = self.store.list(table).await?;
            let changes = read.rows.len();
            self.replace(table, read);
            return Ok(changes.min(1));
        }
        let wait = match table {
            _ if lost => Duration::ZERO,
            MirrorTable::Entries => ENTRIES_WAIT,
            MirrorTable::Operator | MirrorTable::Upstreams => POLL_WAIT,
        };
        let read = self.store.feed(table, version, wait).await?;
        let changes = read.rows.len();
        let lapses = self.may_have_lapsed(false);
        let mut rows = self.rows.borrow_mut();
        let known = rows.entry(table).or_default();
        known.version = known.version.max(read.version);
        known.tick(read.time);
        drop(rows);
        for row in read.rows {
            let fact = self.apply(table, row, lapses, read.time);
            if let Some(FleetFact::Weights { model, version }) = fact {
                self.note_weights(model, version, read.time);
            }
        }
        Ok(changes)
    }

    /// Takes all rows of a table; rows that are missing are gone.
    fn replace(&self, table: MirrorTable, read: TableRead) {
        let lapses = self.may_have_lapsed(false);
        let mut gone = Vec::new();
        {
            let mut rows = self.rows.borrow_mut();
            let known = rows.entry(table).or_default();
            known.listed = true;
            known.tick(read.time);
            known.version = known.version.max(read.version);
            for key in known.rows.keys() {
                if !read.rows.iter().any(|row| row.key == *key) {
                    gone.push(key.clone());
                }
            }
        }
        for key in gone {
            let version = read.version;
            let row = TableRow {
                key,
                version,
                value: None,
            };
            self.apply(table, row, lapses, read.time);
        }
        for row in read.rows {
            self.apply(table, row, lapses, read.time);
        }
        if table == MirrorTable::Upstreams {
            self.fleet.with(|fleet| fleet.listed = true);
        }
    }

    /// Takes a row, read when the store's clock stood at `time`. Returns what is new in it.
    fn apply(
        &self,
        table: MirrorTable,
        row: TableRow,
        lapses: bool,
        time: Duration,
    ) -> Option<FleetFact> {
        {
            let mut rows = self.rows.borrow_mut();
            let known = rows.entry(table).or_default();
            let old = known.rows.get(&row.key);
            if old.is_some_and(|old| old.version >= row.version) {
                return None;
            }
            if row.value.is_some() {
                known.rows.insert(row.key.clone(), row.clone());
            } else {
                known.rows.remove(&row.key);
            }
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
                    let gone = FleetFact::UpstreamGone(row.key);
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
    fn note_weights(&self, model: ModelId, version: WeightsNumber, time: Duration) {
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
                match mirror.store.add_entry(&row.key(), value.clone()).await {
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
        entries.is_some_and(|entries| entries.rows.contains_key(key))
    }

    fn may_have_lapsed(&self, lost: bool) -> bool {
        let returned = *self.returned.borrow();
        lost || returned.is_some_and(|at| at.elapsed() < LAPSE_GRACE)
    }

    fn settle_later(&self) {
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            sleep(LAPSE_GRACE).await;
            fleet.with(|fleet| fleet.book.settle());
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
            let Some(read) = overlay::pull_rows(peer, table, version).await else {
                continue;
            };
            if read.version > version {
                log::info!(table:?, peer:%, version = read.version; "rows taken from another entry");
                self.replace(table, read);
                self.unlisted(table);
            }
            return;
        }
    }
}

/// Rows of a table for another process, where they are newer than `after`.
#[must_use]
pub fn newer_rows(rows: &SharedRows, table: MirrorTable, after: RowVersion) -> Option<TableRead> {
    let rows = rows.borrow();
    let known = rows.get(&table)?;
    if !known.listed || known.version <= after {
        return None;
    }
    Some(TableRead {
        rows: known.rows.values().cloned().collect(),
        version: known.version,
        time: known.time(),
    })
}
