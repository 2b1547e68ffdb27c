//! Decides which configuration is in force in a process, that is, which one the process acts on.
//!
//! The highest revision wins. A lower one is never put in force, whatever its source.

use bytes::Bytes;

use crate::config::ClusterConfig;
use crate::ids::{ContentDigest, RevisionId};

value_type! {
    /// An encoded configuration with its revision and digest, as it is stored and transferred.
    pub struct ConfigBlob {
        /// Revision that the body is said to have.
        pub revision: RevisionId,
        /// Digest that the body is said to have.
        pub digest: ContentDigest,
        /// Encoded configuration.
        pub body: Bytes,
    }

    /// Why a blob is refused.
    pub enum BlobError {
        /// The stated digest is not that of the body.
        Digest,
        /// The decoded revision differs from the stated one, or is 0.
        Revision,
        /// The decoded configuration is not valid.
        Invalid,
    }

    /// What to do after a peer offered the revision and digest of its configuration in force.
    pub enum OfferOutcome {
        /// Both processes have the same revision and body, or no configuration.
        Same,
        /// The peer has a higher revision: ask the peer for its configuration.
        Pull,
        /// The peer has a lower revision: offer the one in force here.
        OfferOurs,
        /// The peer has a different body of the same revision.
        Anomaly,
    }

    /// Result of applying a blob.
    pub enum ApplyOutcome {
        /// The blob is in force now.
        InForce,
        /// The same blob was in force already.
        Same,
        /// The blob has a lower revision than the one in force.
        Stale,
        /// The blob has the revision in force and another digest; the one in force stays.
        Anomaly,
        /// The blob is inconsistent or its configuration is not valid.
        Refused(BlobError),
    }

    /// Numbers of blobs and offers by result, since the process started.
    #[derive(Copy, Default)]
    pub struct ConfigCounts {
        /// Blobs put in force.
        pub in_force: u64,
        /// Blobs of a lower revision than the one in force.
        pub stale: u64,
        /// Blobs and offers with the revision in force and another digest.
        pub anomalies: u64,
        /// Blobs that were refused as inconsistent or not valid.
        pub refused: u64,
    }
}

key_type! {
    /// Where a blob comes from.
    pub enum ConfigSource {
        /// The configuration row in the table service, where revisions are committed.
        Table,
        /// Another process of the cluster.
        Peer,
    }
}

impl ConfigBlob {
    /// Returns a blob of `body`, with its digest computed.
    #[must_use]
    pub fn new(revision: RevisionId, body: Bytes) -> Self {
        Self {
            revision,
            digest: ContentDigest::of(&body),
            body,
        }
    }
}

/// Selects the configuration in force in one process, that is, the one it acts on, by revision.
#[derive(Clone, Debug, Default)]
pub struct ConfigSelector {
    /// The blob in force; `None` before the first.
    blob: Option<ConfigBlob>,
    /// Whether the blob in force was read from the table service, rather than only received from
    /// peers.
    table_confirmed: bool,
    counts: ConfigCounts,
}

impl ConfigSelector {
    /// Returns the blob in force, if any.
    #[must_use]
    pub fn current(&self) -> Option<&ConfigBlob> {
        self.blob.as_ref()
    }

    /// Returns the revision in force; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> RevisionId {
        self.blob.as_ref().map_or(0, |blob| blob.revision)
    }

    /// Returns the counts since the process started.
    #[must_use]
    pub fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// Compares a peer's offer with the blob in force.
    pub fn on_offer(&mut self, revision: RevisionId, digest: ContentDigest) -> OfferOutcome {
        let ours = self.revision();
        if revision > ours {
            return OfferOutcome::Pull;
        }
        if revision < ours {
            return OfferOutcome::OfferOurs;
        }
        let Some(blob) = &self.blob else {
            return OfferOutcome::Same;
        };
        if blob.digest == digest {
            return OfferOutcome::Same;
        }
        self.counts.anomalies += 1;
        OfferOutcome::Anomaly
    }

    /// Applies a blob, given the configuration that was decoded from it. Of two bodies with one
    /// revision, the first stays in force, unless only peers sent it and the table has the other.
    pub fn apply(
        &mut self,
        blob: ConfigBlob,
        config: &ClusterConfig,
        source: ConfigSource,
    ) -> ApplyOutcome {
        if let Err(error) = check(&blob, config) {
            self.counts.refused += 1;
            return ApplyOutcome::Refused(error);
        }
        if blob.revision < self.revision() {
            self.counts.stale += 1;
            return ApplyOutcome::Stale;
        }
        let from_table = source == ConfigSource::Table;
        if blob.revision > self.revision() || self.blob.is_none() {
            return self.put_in_force(blob, from_table);
        }
        let same = self
            .blob
            .as_ref()
            .is_some_and(|current| current.digest == blob.digest);
        if same {
            self.table_confirmed |= from_table;
            return ApplyOutcome::Same;
        }
        self.counts.anomalies += 1;
        if from_table && !self.table_confirmed {
            return self.put_in_force(blob, true);
        }
        ApplyOutcome::Anomaly
    }

    fn put_in_force(&mut self, blob: ConfigBlob, table_confirmed: bool) -> ApplyOutcome {
        self.blob = Some(blob);
        self.table_confirmed = table_confirmed;
        self.counts.in_force += 1;
        ApplyOutcome::InForce
    }
}

fn check(blob: &ConfigBlob, config: &ClusterConfig) -> Result<(), BlobError> {
    if ContentDigest::of(&blob.body) != blob.digest {
        return Err(BlobError::Digest);
    }
    if config.revision != blob.revision || blob.revision == 0 {
        return Err(BlobError::Revision);
    }
    config.check().map_err(|_| BlobError::Invalid)
}
