//! Rows that the entries write themselves: their registrations, and the times of weights announcements.

use std::time::{Duration, Instant};

use agatepin_core::ids::ModelId;
use agatepin_core::relay::catalog::WeightsVersion;
use bytes::Bytes;
use tokio::time::sleep;

use super::{FAILURE_PAUSE, TableMirror};
use crate::relay::entry_rows::WeightsRow;
use crate::relay::ports::{MirrorTable, TableRow, TableStore, WireDialect};

/// Delay between the attempts of two entries to record an announcement of weights in the store. The
/// entries try in the order of their names, so that mostly only the first writes the row.
const ANNOUNCEMENT_STAGGER: Duration = Duration::from_millis(150);
/// Maximum number of delays of `ANNOUNCEMENT_STAGGER` that an entry waits before it records an
/// announcement.
const MAX_STAGGER_STEPS: u32 = 10;

impl<Store, Dialect> TableMirror<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Starts a task that writes a row with the time of an announcement of weights to the store, unless
    /// another entry does so sooner.
    pub(super) fn record_announcement(
        &self,
        model: ModelId,
        version: WeightsVersion,
        time: Duration,
    ) {
        let row = WeightsRow {
            model,
            version,
            named_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        };
        match row.write() {
            Ok(value) => {
                actix_rt::spawn(self.clone().write_announcement(row.key(), value));
            }
            Err(err) => log::error!(err:%; "row of a weights announcement cannot be serialised"),
        }
    }

    /// Writes the row `key` with the time of an announcement of weights, unless another entry does so
    /// sooner.
    async fn write_announcement(self, key: String, value: Bytes) {
        let entries_before = self.fleet.with(|fleet| {
            let alive = fleet.entries.alive_names(&self.own_name, Instant::now());
            alive.filter(|name| **name < self.own_name).count()
        });
        let steps = u32::try_from(entries_before).unwrap_or(u32::MAX);
        sleep(ANNOUNCEMENT_STAGGER * steps.min(MAX_STAGGER_STEPS)).await;
        while !self.is_announcement_recorded(&key) {
            match self.store.insert_entry_row(&key, value.clone()).await {
                Ok(()) => return,
                Err(err) => log::warn!(err:?; "weights announcement not written; retrying"),
            }
            sleep(FAILURE_PAUSE).await;
        }
    }

    /// Whether this entry's copy of the entries' table has the announcement's row `key`.
    fn is_announcement_recorded(&self, key: &str) -> bool {
        let copies = self.copies.borrow();
        let entries = copies.get(&MirrorTable::Entries);
        entries.is_some_and(|entries| entries.contains(key))
    }

    /// Writes those of the rows that were lost with the store's return to a copy again which entries
    /// write: the registration of this entry, and the times of weights announcements.
    pub(super) fn write_lost_rows(&self, lost: &[TableRow]) {
        for row in lost {
            let Some(value) = row.value.clone() else {
                continue;
            };
            let (mirror, key) = (self.clone(), row.key.clone());
            if key.starts_with(WeightsRow::PREFIX) {
                actix_rt::spawn(self.clone().write_announcement(key, value));
            } else if key == self.own_name {
                actix_rt::spawn(async move {
                    while let Err(err) = mirror
                        .store
                        .write_entry_row(&key, Some(value.clone()))
                        .await
                    {
                        log::warn!(err:?; "entry's row not written again; retrying");
                        sleep(FAILURE_PAUSE).await;
                    }
                });
            }
        }
    }
}
