//! Decides which configuration is in force in one process.
//!
//! The higher revision wins. A lower one is never put in force, whatever its source.

use bytes::Bytes;

use crate::config::ClusterConfig;
use crate::ids::{ContentDigest, RevisionId};

value_type! {
    /// A configuration as it travels: its encoded body with revision and digest.
    pub struct ConfigBlob {
        /// Revision.
        pub revision: RevisionId,
        /// Digest of the body.
        pub digest: ContentDigest,
        /// Encoded body.
        pub body: Bytes,
    }

    /// Why a body is not taken.
    pub enum BlobFault {
        /// The body does not have its digest.
        Digest,
        /// The body is of another revision than stated.
        Revision,
        /// The configuration is not valid.
        Invalid,
    }

    /// What to do about an offer.
    pub enum OfferOutcome {
        /// Both sides have the same.
        Same,
        /// The peer has a higher revision: ask for it.
        Pull,
        /// The peer has a lower revision: offer ours.
        OfferOurs,
        /// The peer has another body of the same revision.
        Anomaly,
    }

    /// What became of a body.
    pub enum ApplyOutcome {
        /// It is in force now.
        InForce,
        /// It had been in force before.
        Same,
        /// It is of a lower revision than the one in force.
        Stale,
        /// It has the revision in force and another digest; the one in force stays.
        Anomaly,
        /// It is not taken.
        Refused(BlobFault),
    }

    /// Events that were counted.
    #[derive(Copy, Default)]
    pub struct ConfigCounts {
        /// Bodies put in force.
        pub in_force: u64,
        /// Bodies of a lower revision.
        pub stale: u64,
        /// Two bodies of one revision.
        pub anomalies: u64,
        /// Bodies that were refused.
        pub refused: u64,
    }
}

key_type! {
    /// Where a body comes from.
    pub enum ConfigSource {
        /// The row in the table service.
        Table,
        /// Another process.
        Peer,
    }
}

impl ConfigBlob {
    /// A blob of `body`.
    #[must_use]
    pub fn new(revision: RevisionId, body: Bytes) -> Self {
        Self {
            revision,
            digest: ContentDigest::of(&body),
            body,
        }
    }
}

/// The configuration in force in one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigSelector {
    blob: Option<ConfigBlob>,
    confirmed: bool,
    counts: ConfigCounts,
}

impl ConfigSelector {
    /// The blob in force.
    #[must_use]
    pub fn current(&self) -> Option<&ConfigBlob> {
        self.blob.as_ref()
    }

    /// Revision in force; 0 where none is.
    #[must_use]
    pub fn revision(&self) -> RevisionId {
        self.blob.as_ref().map_or(0, |blob| blob.revision)
    }

    /// Events counted so far.
    #[must_use]
    pub fn counts(&self) -> ConfigCounts {
        self.counts
    }

    /// Takes a peer's offer.
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

    /// Takes a body with the configuration that was decoded from it.
    pub fn apply(
        &mut self,
        blob: ConfigBlob,
        config: &ClusterConfig,
        source: ConfigSource,
    ) -> ApplyOutcome {
        if let Err(fault) = check(&blob, config) {
            self.counts.refused += 1;
            return ApplyOutcome::Refused(fault);
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
            self.confirmed |= from_table;
            return ApplyOutcome::Same;
        }
        self.counts.anomalies += 1;
        if from_table && !self.confirmed {
            return self.put_in_force(blob, true);
        }
        ApplyOutcome::Anomaly
    }

    fn put_in_force(&mut self, blob: ConfigBlob, confirmed: bool) -> ApplyOutcome {
        self.blob = Some(blob);
        self.confirmed = confirmed;
        self.counts.in_force += 1;
        ApplyOutcome::InForce
    }
}

fn check(blob: &ConfigBlob, config: &ClusterConfig) -> Result<(), BlobFault> {
    if ContentDigest::of(&blob.body) != blob.digest {
        return Err(BlobFault::Digest);
    }
    if config.revision != blob.revision || blob.revision == 0 {
        return Err(BlobFault::Revision);
    }
    config.check().map_err(|_| BlobFault::Invalid)
}
