//! An in-memory table store with injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agatepin::platform::table::{RowExpectation, RowPut, TableError, TableRow, TableStore};

/// Fault injected into one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableFault {
    /// The operation is executed.
    None,
    /// The table is unavailable: the operation fails without effect.
    Down,
    /// The operation takes effect, but its answer is lost.
    LostAnswer,
    /// The request is lost: the operation has no effect, and no answer arrives. The caller cannot
    /// tell this from [`TableFault::LostAnswer`].
    LostRequest,
}

#[derive(Debug, Default)]
struct TableState {
    /// Rows by table name and key.
    rows: BTreeMap<(String, String), TableRow>,
    /// Faults of the next operations, the next one first; operations after the last
    /// of them have no fault.
    faults: VecDeque<TableFault>,
    /// Whether all operations fail as unavailable.
    down: bool,
}

/// Table in memory; clones share its rows and faults.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<TableState>>,
}

impl MemoryTable {
    /// Queues one fault for each of the next operations, reads and writes alike.
    pub fn plan(&self, faults: &[TableFault]) {
        self.lock().faults.extend(faults);
    }

    /// Sets whether all operations fail as unavailable; queued faults are kept meanwhile.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn next_fault(&self) -> TableFault {
        let mut state = self.lock();
        if state.down {
            return TableFault::Down;
        }
        state.faults.pop_front().unwrap_or(TableFault::None)
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes all rows if each meets its expectation; otherwise writes none.
    fn write(&self, puts: Vec<RowPut>) -> Result<(), TableError> {
        let mut state = self.lock();
        let mut failed = Vec::new();
        for (index, put) in puts.iter().enumerate() {
            let version = state
                .rows
                .get(&(put.table.clone(), put.key.clone()))
                .map(|row| row.version);
            let holds = match put.expect {
                RowExpectation::Absent => version.is_none(),
                RowExpectation::Version(expected) => version == Some(expected),
            };
            if !holds {
                failed.push(index);
            }
        }
        if !failed.is_empty() {
            return Err(TableError::Conflict(failed));
        }
        for put in puts {
            let row = TableRow {
                version: put.new_version,
                value: put.value,
            };
            state.rows.insert((put.table, put.key), row);
        }
        Ok(())
    }
}

impl TableStore for MemoryTable {
    async fn get(&self, table: &str, key: &str) -> Result<Option<TableRow>, TableError> {
        if self.next_fault() != TableFault::None {
            return Err(TableError::Unavailable("down".to_owned()));
        }
        let key = (table.to_owned(), key.to_owned());
        let row = self.lock().rows.get(&key).cloned();
        // Lets a concurrent writer run between this read and the write that follows.
        tokio::task::yield_now().await;
        Ok(row)
    }

    async fn transact(&self, puts: Vec<RowPut>) -> Result<(), TableError> {
        let lost = || TableError::Unknown("answer lost".to_owned());
        match self.next_fault() {
            TableFault::None => self.write(puts),
            TableFault::Down => Err(TableError::Unavailable("down".to_owned())),
            TableFault::LostAnswer => {
                self.write(puts)?;
                Err(lost())
            }
            TableFault::LostRequest => Err(lost()),
        }
    }
}
