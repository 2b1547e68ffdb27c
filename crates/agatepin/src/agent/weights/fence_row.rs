//! Fence numbers (fencing tokens for orders to the engine) in the table service. Each upstream has
//! one row, whose row version is the fence number.

use agatepin_core::fence::FenceRaise;
use agatepin_core::ids::FenceNumber;
use bytes::Bytes;

use super::fencing::{FenceError, FenceStore};
use crate::platform::table::{RowExpectation, RowPut, TableError, TableStore};
use crate::wire::link::ProcessIdentity;

/// Name of the table that holds the fence rows.
const TABLE: &str = "agatepin";
/// Maximum number of attempts to increment the number of a row by a write: a write that conflicts,
/// or whose result is unknown, is repeated.
const MAX_ATTEMPTS: usize = 8;

/// Fence rows in a table service.
#[derive(Clone, Debug)]
pub struct FenceTable<Store> {
    store: Store,
    /// Value that this process writes to a row: the instance name and the incarnation of this
    /// process.
    holder: Bytes,
}

impl<Store> FenceTable<Store>
where
    Store: TableStore,
{
    /// Creates access to the rows of `store`. The rows that it writes contain the instance name and
    /// the incarnation of `identity`.
    #[must_use]
    pub fn new(store: Store, identity: &ProcessIdentity) -> Self {
        let holder = format!("{}#{:016x}", identity.instance, identity.incarnation);
        Self {
            store,
            holder: holder.into(),
        }
    }
}

impl<Store> FenceStore for FenceTable<Store>
where
    Store: TableStore,
{
    async fn raise(&self, upstream: &str) -> Result<FenceRaise, FenceError> {
        let key = row_key(upstream);
        for _ in 0..MAX_ATTEMPTS {
            let row = self
                .store
                .get(TABLE, &key)
                .await
                .map_err(|err| fence_error(&err))?;
            let (number, expect) = match &row {
                None => (0, RowExpectation::Absent),
                Some(row) => (row.version, RowExpectation::Version(row.version)),
            };
            // A row with this process's name was written by a request whose answer was lost. Who
            // held the row before is unknown, so a predecessor is assumed whose lease may not have
            // ended yet.
            if row.is_some_and(|row| row.value == self.holder) {
                return Ok(FenceRaise {
                    number,
                    predecessor: true,
                });
            }
            let put = RowPut {
                table: TABLE.to_owned(),
                key: key.clone(),
                value: self.holder.clone(),
                expect,
                new_version: number + 1,
            };
            match self.store.transact(vec![put]).await {
                Ok(()) => {
                    return Ok(FenceRaise {
                        number: number + 1,
                        predecessor: number > 0,
                    });
                }
                Err(TableError::Conflict(_) | TableError::Unknown(_)) => (),
                Err(err) => return Err(fence_error(&err)),
            }
        }
        Err(FenceError(format!(
            "row \"{key}\" was not raised in {MAX_ATTEMPTS} attempts"
        )))
    }

    async fn read(&self, upstream: &str) -> Result<FenceNumber, FenceError> {
        let row = self.store.get(TABLE, &row_key(upstream)).await;
        Ok(row
            .map_err(|err| fence_error(&err))?
            .map_or(0, |row| row.version))
    }
}

fn row_key(upstream: &str) -> String {
    format!("fence/{upstream}")
}

fn fence_error(err: &TableError) -> FenceError {
    FenceError(err.to_string())
}
