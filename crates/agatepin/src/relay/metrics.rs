//! Metrics of an entry on the direct path.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounterVec, Registry, Result};

use crate::metrics;

/// Counters and latencies of requests.
#[derive(Clone, Debug)]
pub struct RelayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    head_seconds: HistogramVec,
    sends: IntCounterVec,
}

impl RelayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A name is registered already.
    pub fn register() -> Result<Self> {
        let registry = Registry::new();
        let requests = "agatepin_relay_requests_total";
        let head = "agatepin_relay_head_seconds";
        let sends = "agatepin_relay_sends_total";
        Ok(Self {
            requests: metrics::counter(&registry, requests, "Requests by outcome", &["outcome"])?,
            head_seconds: metrics::histogram(
                &registry,
                head,
                "Time to the head of the answer",
                &["outcome"],
            )?,
            sends: metrics::counter(
                &registry,
                sends,
                "Sends to upstreams by service",
                &["service"],
            )?,
            registry,
        })
    }

    /// Counts a request that ended.
    pub fn request(&self, outcome: &str, head: Option<Duration>) {
        self.requests.with_label_values(&[outcome]).inc();
        if let Some(head) = head {
            let seconds = self.head_seconds.with_label_values(&[outcome]);
            seconds.observe(head.as_secs_f64());
        }
    }

    /// Counts a send to an upstream of `service`.
    pub fn send(&self, service: &str) {
        self.sends.with_label_values(&[service]).inc();
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// A metric cannot be written.
    pub fn encode(&self) -> Result<String> {
        metrics::encode(&self.registry)
    }
}
