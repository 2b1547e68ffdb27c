//! Copy of one table of the platform's store, as an entry holds it in memory.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatepin_core::relay::row_version::RowVersion;

use crate::relay::ports::{TableRead, TableRow};

/// Maximum number of removed rows that are remembered, so that other entries can be sent the
/// changes since an older version: more rows than are removed in a busy minute.
const MAX_REMOVED_ROWS: usize = 1_024;

/// Longest time from the moment that a read shows to the arrival of its rows.
const MAX_READ_DELAY: Duration = Duration::from_secs(1);

agatepin_core::value_type! {
    /// Rows that one entry sends to another.
    pub struct RowsCopy {
        /// The rows, with the table's version and the reading of the store's clock for which they are
        /// current.
        pub read: TableRead,
        /// The rows are only those that changed since the requested version.
        pub changes_only: bool,
        /// Rows may be missing only because they expired while the store was unreachable.
        pub may_have_lapsed: bool,
    }
}

/// Rows of one table, with those that were removed recently.
#[derive(Debug, Default)]
pub struct TableCopy {
    /// Rows by key; recently removed rows are kept without a value.
    rows: BTreeMap<String, TableRow>,
    /// Version up to which the copy has all changes.
    pub version: RowVersion,
    /// Version of the newest change in the copy.
    pub last_change: RowVersion,
    /// All rows have been read once, so that it is enough to read the changes since.
    pub fully_read: bool,
    /// Time of the store's last answer to this entry; none before the first.
    pub answered_at: Option<Instant>,
    /// Version of the last read of all rows; the default before the first. Rows that were removed before it are
    /// not known.
    pub full_read_version: RowVersion,
    /// Version of the newest removed row that has been dropped from `rows`; the changes since an older
    /// version cannot be given completely.
    dropped_version: RowVersion,
    /// Reading of the store's monotonic clock at the last read, with the local time of that read; none
    /// before the first read.
    store_clock: Option<(Duration, Instant)>,
}

impl TableCopy {
    /// Records that the copy has all changes up to `version`, read at `time` on the store's clock.
    pub fn advance(&mut self, version: RowVersion, time: Duration) {
        self.version = self.version.max(version);
        self.store_clock = Some((time, Instant::now()));
    }

    /// Time after which the changes were made that the next read of rows brings; none before the first
    /// complete read.
    #[must_use]
    pub fn complete_until(&self) -> Option<Instant> {
        let (_, read_at) = self.store_clock.filter(|_| self.fully_read)?;
        read_at.checked_sub(MAX_READ_DELAY)
    }

    /// Whether the copy has rows of an earlier era than `version`.
    #[must_use]
    pub fn is_of_earlier_era(&self, version: RowVersion) -> bool {
        self.store_clock.is_some() && self.version.era < version.era
    }

    /// Records that all rows were read, as in `read`. Returns the rows that are missing there.
    pub fn begin_full_read(&mut self, read: &TableRead) -> Vec<TableRow> {
        self.fully_read = true;
        self.full_read_version = self.full_read_version.max(read.version);
        self.advance(read.version, read.time);
        self.missing_in(read)
    }

    /// Whether neither this version of the row nor a newer one is known.
    #[must_use]
    pub fn is_newer(&self, row: &TableRow) -> bool {
        let old = self.rows.get(&row.key);
        old.is_none_or(|old| old.version < row.version)
    }

    /// Inserts a row. Returns false if this version of the row, or a newer one, is known.
    pub fn insert(&mut self, row: &TableRow) -> bool {
        if !self.is_newer(row) {
            return false;
        }
        self.last_change = self.last_change.max(row.version);
        self.rows.insert(row.key.clone(), row.clone());
        self.drop_oldest_removed();
        true
    }

    /// Whether the copy knows that the row with this key was removed.
    #[must_use]
    pub fn is_removed(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_none())
    }

    /// Whether the copy has the row with the same value, in any version.
    #[must_use]
    pub fn has_value(&self, row: &TableRow) -> bool {
        let known = self.rows.get(&row.key);
        known.is_some_and(|known| known.value == row.value)
    }

    /// Whether the copy has a row with this key that was not removed.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_some())
    }

    /// Rows that are missing in `read`, a read of the whole table.
    fn missing_in(&self, read: &TableRead) -> Vec<TableRow> {
        let present = self.rows.values().filter(|row| row.value.is_some());
        let missing = present.filter(|row| !read.rows.iter().any(|other| other.key == row.key));
        missing.cloned().collect()
    }

    /// Rows for another entry whose copy is complete up to `after`; none if this copy is not newer.
    /// Returns the changes since `after` if all rows that were removed since are still remembered, else
    /// all rows.
    #[must_use]
    pub fn newer_rows(&self, after: RowVersion, may_have_lapsed: bool) -> Option<RowsCopy> {
        if !self.fully_read || self.version <= after {
            return None;
        }
        let complete_since = self.dropped_version.max(self.full_read_version);
        let changes_only = after.number > 0 && after >= complete_since;
        let wanted = |row: &&TableRow| {
            if changes_only {
                row.version > after
            } else {
                row.value.is_some()
            }
        };
        let store_clock = self.store_clock.map(|(time, at)| time + at.elapsed());
        Some(RowsCopy {
            read: TableRead {
                rows: self.rows.values().filter(wanted).cloned().collect(),
                version: self.version,
                time: store_clock.unwrap_or_default(),
            },
            changes_only,
            may_have_lapsed,
        })
    }

    /// Drops the oldest removed row if there are more than [`MAX_REMOVED_ROWS`].
    fn drop_oldest_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        if removed.clone().count() <= MAX_REMOVED_ROWS {
            return;
        }
        let oldest = removed.min_by_key(|row| row.version);
        if let Some((key, version)) = oldest.map(|row| (row.key.clone(), row.version)) {
            self.rows.remove(&key);
            self.dropped_version = self.dropped_version.max(version);
        }
    }
}
