//! An entry's copy of one table of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::relay::ports::{RowVersion, TableRead, TableRow};

/// Removed rows that are remembered: more than a busy minute has.
const MAX_REMOVED: usize = 1_024;

agatepin_core::value_type! {
    /// Rows for another entry.
    pub struct RowsCopy {
        /// The rows.
        pub read: TableRead,
        /// They are those that changed since the version that was asked with.
        pub changes_only: bool,
        /// Rows may be missing only because the store was away.
        pub lapses: bool,
    }
}

/// Rows of one table, with those that were removed of late.
#[derive(Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<String, TableRow>,
    /// Version up to which the copy is complete.
    pub version: RowVersion,
    /// Version of the newest change.
    pub change: RowVersion,
    /// All rows have been read.
    pub listed: bool,
    /// When the store last answered this entry.
    pub answered: Option<Instant>,
    /// Up to this version removed rows have been forgotten.
    forgotten: RowVersion,
    /// The store's clock at the last read, and when that was.
    clock: Option<(Duration, Instant)>,
}

impl TableCopy {
    /// Takes that the copy is complete up to a version, which the store had at `time`.
    pub fn complete(&mut self, version: RowVersion, time: Duration) {
        self.version = self.version.max(version);
        self.clock = Some((time, Instant::now()));
    }

    /// Takes a row. Returns false where it is known.
    pub fn take(&mut self, row: &TableRow) -> bool {
        let old = self.rows.get(&row.key);
        if old.is_some_and(|old| old.version >= row.version) {
            return false;
        }
        self.change = self.change.max(row.version);
        self.rows.insert(row.key.clone(), row.clone());
        self.forget_removed();
        true
    }

    /// Whether there is a row.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_some())
    }

    /// Keys of rows that `read`, which has all rows, does not have.
    #[must_use]
    pub fn missing_in(&self, read: &TableRead) -> Vec<String> {
        let present = self.rows.values().filter(|row| row.value.is_some());
        let missing = present.filter(|row| !read.rows.iter().any(|other| other.key == row.key));
        missing.map(|row| row.key.clone()).collect()
    }

    /// Rows for another entry, where they are newer than `after`.
    #[must_use]
    pub fn newer_rows(&self, after: RowVersion, lapses: bool) -> Option<RowsCopy> {
        if !self.listed || self.version <= after {
            return None;
        }
        let changes_only = after > 0 && after >= self.forgotten;
        let wanted = |row: &&TableRow| {
            if changes_only {
                row.version > after
            } else {
                row.value.is_some()
            }
        };
        let clock = self.clock.map(|(time, at)| time + at.elapsed());
        Some(RowsCopy {
            read: TableRead {
                rows: self.rows.values().filter(wanted).cloned().collect(),
                version: self.version,
                time: clock.unwrap_or_default(),
            },
            changes_only,
            lapses,
        })
    }

    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        if removed.clone().count() <= MAX_REMOVED {
            return;
        }
        let oldest = removed.min_by_key(|row| row.version);
        if let Some((key, version)) = oldest.map(|row| (row.key.clone(), row.version)) {
            self.rows.remove(&key);
            self.forgotten = self.forgotten.max(version);
        }
    }
}
