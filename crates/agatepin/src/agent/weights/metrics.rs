//! Metrics of an agent's weights.

use prometheus::{IntCounterVec, Registry, Result};

use crate::metrics;

/// Kind of source that a chunk was received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SourceKind {
    /// The weight origin, which stores the weights of all models.
    Origin,
    /// A peer in this agent's data centre.
    DataCentre,
    /// A peer in another data centre of this agent's region.
    Region,
    /// A peer in another region.
    OtherRegion,
}

/// How a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadOutcome {
    /// The engine serves the verified weights.
    Loaded,
    /// The engine refused the order, or the engine's answer was lost or late.
    Failed,
    /// The engine accepted the order but does not report the ordered weights as served.
    WrongDigest,
}

/// Metrics of the weights of one agent.
#[derive(Clone, Debug)]
pub(super) struct WeightMetrics {
    /// Bytes of the chunks received, by kind of source.
    received_bytes: IntCounterVec,
    /// Corrupt chunks received, by kind of source.
    corrupt_chunks: IntCounterVec,
    /// Load orders that have ended, by outcome.
    load_orders: IntCounterVec,
}

impl WeightMetrics {
    /// Creates and registers the metrics.
    pub(super) fn new(registry: &Registry) -> Result<Self> {
        let counter =
            |name: &str, help: &str, label: &str| metrics::counter(registry, name, help, &[label]);
        Ok(Self {
            received_bytes: counter("agatepin_chunk_bytes", "Bytes of chunks received", "source")?,
            corrupt_chunks: counter(
                "agatepin_corrupt_chunks",
                "Corrupt chunks received",
                "source",
            )?,
            load_orders: counter("agatepin_weight_loads", "Orders to load weights", "outcome")?,
        })
    }

    /// Counts received bytes of a chunk, corrupt ones included.
    pub(super) fn count_received(&self, kind: SourceKind, bytes: usize) {
        let counter = self.received_bytes.with_label_values(&[kind.label()]);
        counter.inc_by(bytes as u64);
    }

    /// Counts a received chunk that is corrupt.
    pub(super) fn count_corrupt(&self, kind: SourceKind) {
        self.corrupt_chunks.with_label_values(&[kind.label()]).inc();
    }

    /// Counts a load order that has ended.
    pub(super) fn count_load(&self, outcome: LoadOutcome) {
        self.load_orders.with_label_values(&[outcome.label()]).inc();
    }
}

impl SourceKind {
    fn label(self) -> &'static str {
        match self {
            Self::Origin => "origin",
            Self::DataCentre => "data-centre",
            Self::Region => "region",
            Self::OtherRegion => "abroad",
        }
    }
}

impl LoadOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Failed => "failed",
            Self::WrongDigest => "wrong-digest",
        }
    }
}
