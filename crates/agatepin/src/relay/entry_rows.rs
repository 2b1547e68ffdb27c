//! JSON rows that entries write into the entries' table of the platform's store.

use std::net::SocketAddr;

use agatepin_core::relay::liveness::EntryListing;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// Row by which an entry registers itself in the entries' table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    incarnation: u64,
    front: SocketAddr,
    overlay: SocketAddr,
    data_centre: String,
    region: String,
}

impl EntryRow {
    /// Parses a row.
    ///
    /// # Errors
    /// The value is not the JSON of an entry's row.
    pub fn parse(value: &[u8]) -> Result<EntryListing> {
        let row: Self =
            serde_json::from_slice(value).wrap_err("row is not an entry's registration")?;
        Ok(EntryListing {
            incarnation: row.incarnation,
            front: row.front,
            overlay: row.overlay,
            data_centre: row.data_centre,
            region: row.region,
        })
    }

    /// Serialises a row.
    ///
    /// # Errors
    /// The row cannot be serialised as JSON.
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

/// Row that records when a version of weights was announced. An entry that starts later reads from
/// it how old the announcement is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRow {
    /// Model of the weights.
    pub model: String,
    /// Announced version.
    pub version: u64,
    /// Time of the announcement in milliseconds on the store's clock.
    pub named_ms: u64,
}

impl WeightsRow {
    /// Prefix of the keys of these rows.
    pub const PREFIX: &str = "weights/";

    /// Key of the row: prefix, model and version.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}{}/{}", Self::PREFIX, self.model, self.version)
    }

    /// Parses a row.
    ///
    /// # Errors
    /// The value is not the JSON of an announcement.
    pub fn parse(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).wrap_err("row is not an announcement of weights")
    }

    /// Serialises a row.
    ///
    /// # Errors
    /// The row cannot be serialised as JSON.
    pub fn write(&self) -> Result<Bytes> {
        Ok(Bytes::from(serde_json::to_vec(self)?))
    }
}
