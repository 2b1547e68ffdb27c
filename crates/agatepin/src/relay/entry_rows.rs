//! Rows that entries write into the platform's store.

use std::net::SocketAddr;

use agatepin_core::relay::liveness::EntryListing;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// A row of the entries' table, as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    incarnation: u64,
    front: SocketAddr,
    overlay: SocketAddr,
    data_centre: String,
    region: String,
}

impl EntryRow {
    /// Reads a row.
    ///
    /// # Errors
    /// It is not what an entry writes.
    pub fn parse(value: &[u8]) -> Result<EntryListing> {
        let row: Self = serde_json::from_slice(value).wrap_err("not a row of an entry")?;
        Ok(EntryListing {
            incarnation: row.incarnation,
            front: row.front,
            overlay: row.overlay,
            data_centre: row.data_centre,
            region: row.region,
        })
    }

    /// Writes a row.
    ///
    /// # Errors
    /// It cannot be written as JSON.
    pub fn write(listing: &EntryListing) -> Result<Bytes> {
        let row = Self {
            incarnation: listing.incarnation,
            front: listing.front,
            overlay: listing.overlay,
            data_centre: listing.data_centre.clone(),
            region: listing.region.clone(),
        };
        Ok(Bytes::from(serde_json::to_vec(&row)?))
    }
}

/// When entries learnt of new weights, as it stands in the entries' table: an entry that starts
/// learns how old the naming is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRow {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Milliseconds on the store's clock.
    pub named_ms: u64,
}

impl WeightsRow {
    /// What the keys of these rows begin with.
    pub const PREFIX: &str = "weights/";

    /// Key of the row.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}{}/{}", Self::PREFIX, self.model, self.version)
    }

    /// Reads a row.
    ///
    /// # Errors
    /// It is not what an entry writes.
    pub fn parse(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).wrap_err("not a row of named weights")
    }

    /// Writes a row.
    ///
    /// # Errors
    /// It cannot be written as JSON.
    pub fn write(&self) -> Result<Bytes> {
        Ok(Bytes::from(serde_json::to_vec(self)?))
    }
}
