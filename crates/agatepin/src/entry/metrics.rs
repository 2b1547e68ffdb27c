//! Prometheus metrics of an entry's calls.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::rpc::RefusalCount;

/// Metrics of the calls of one entry; clones share them.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Ended calls, by outcome.
    calls: IntCounterVec,
    refusals: IntCounterVec,
    /// Replies that belong to no open call, by customer.
    late_replies: IntCounterVec,
    /// Time from the dispatch of an attempt until its first byte can be sent to the caller, in
    /// seconds, by kind of call.
    first_byte: HistogramVec,
    /// Retries (attempts after the first attempt of a call) that were charged to the retry budget.
    pub retries: IntCounter,
    /// Bodies that a limit of the entry cut, by limit.
    pub limited: IntCounterVec,
    /// Number of calls that are queued until an agent has a free slot.
    pub queue_length: IntGauge,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric of that name is registered already.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            calls: counter_vec("agatepin_entry_calls", "Calls", "outcome")?,
            refusals: counter_vec("agatepin_entry_refusals", "Refusals", "reason")?,
            late_replies: IntCounterVec::new(
                Opts::new("agatepin_entry_late_replies", "Replies to no open call"),
                &["customer"],
            )?,
            first_byte: HistogramVec::new(
                HistogramOpts::new("agatepin_entry_first_byte_seconds", "Time to first byte"),
                &["kind"],
            )?,
            retries: IntCounter::new("agatepin_entry_retries", "Attempts after the first")?,
            limited: IntCounterVec::new(
                Opts::new("agatepin_entry_limited_total", "Bodies refused by limits"),
                &["limit"],
            )?,
            queue_length: IntGauge::new("agatepin_entry_queue_length", "Calls that wait")?,
        };
        registry.register(Box::new(metrics.calls.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.late_replies.clone()))?;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.limited.clone()))?;
        registry.register(Box::new(metrics.queue_length.clone()))?;
        Ok(metrics)
    }

    /// Counts a call that ended with `outcome`.
    pub fn count_call(&self, outcome: &str, customer: &str) {
        self.calls.with_label_values(&[outcome, customer]).inc();
    }

    /// Counts an attempt that an agent refused.
    pub fn count_refusal(&self, reason: &str, customer: &str) {
        self.refusals.with_label_values(&[reason, customer]).inc();
    }

    /// Returns the number of refusals for each reason and customer.
    #[must_use]
    pub fn refusal_counts(&self) -> Vec<RefusalCount> {
        let mut counts = Vec::new();
        for family in self.refusals.collect() {
            for metric in family.get_metric() {
                let label = |name: &str| {
                    let labels = metric.get_label();
                    let pair = labels.iter().find(|pair| pair.name() == name);
                    pair.map(|pair| pair.value().to_owned()).unwrap_or_default()
                };
                counts.push(RefusalCount {
                    reason: label("reason"),
                    customer: label("customer"),
                    count: as_count(metric.get_counter().get_value()),
                });
            }
        }
        counts
    }

    /// Counts a reply that belongs to no open call.
    pub fn count_late_reply(&self, customer: &str) {
        self.late_replies.with_label_values(&[customer]).inc();
    }

    /// Records the time from the dispatch of an attempt until the first byte of its answer can be
    /// sent to the caller. `kind` is `chat` or `service`.
    pub fn observe_first_byte(&self, kind: &str, time: Duration) {
        self.first_byte
            .with_label_values(&[kind])
            .observe(time.as_secs_f64());
    }
}

/// Converts a counter value, which the library stores as a float.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are non-negative integers"
)]
fn as_count(count: f64) -> u64 {
    count as u64
}

fn counter_vec(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label, "customer"])
}
