//! JSON rows that entries write into the entries' table of the platform's store.

use std::net::SocketAddr;

use agatepin_core::relay::liveness::EntryListing;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

/// Row by which an entry registers itself in the entries' table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Random number of the process, which tells it from earlier processes of the same name.
    incarnation: u64,
    /// Address on which the entry accepts callers' requests.
    front: SocketAddr,
    /// Address for other daemons: datagrams over UDP and pulls over TCP.
    overlay: SocketAddr,
    /// Data centre that the entry runs in.
    data_centre: String,
    /// Region of the data centre.
    region: String,
}

impl EntryRow {
    /// Parses the value of a row into the listing of the entry that wrote it.
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

    /// Serialises the row of the entry with this listing.
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

/// Row of the entries' table that records when operators announced a version of weights. An entry
/// that starts later computes the age of the announcement from this row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRow {
    /// Model of the weights.
    pub model: String,
    /// Announced version of the weights.
    pub version: u64,
    /// Time of the announcement, in milliseconds on the store's monotonic clock.
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

    /// Parses the value of a row.
    ///
    /// # Errors
    /// The value is not the JSON of an announcement.
    pub fn parse(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).wrap_err("row is not an announcement of weights")
    }

    /// Serialises the value of the row.
    ///
    /// # Errors
    /// The row cannot be serialised as JSON.
    pub fn write(&self) -> Result<Bytes> {
        Ok(Bytes::from(serde_json::to_vec(self)?))
    }
}
