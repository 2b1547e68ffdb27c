//! Prometheus metrics of an entry on the direct request path.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec, Registry, Result};

use crate::metrics;
use crate::relay::admit::PlaceSnapshot;

/// Counters of requests and attempts, and the time to the head of the answer, in a Prometheus registry
/// of their own.
#[derive(Clone, Debug)]
pub struct RelayMetrics {
    registry: Registry,
    /// Requests that ended, by outcome.
    requests: IntCounterVec,
    /// Seconds from the arrival of a request to the head of its answer, by outcome.
    head_seconds: HistogramVec,
    /// Answers by whether their head, or first event, came within the route's objective.
    objectives: IntCounterVec,
    /// Attempts at upstreams, by service.
    sends: IntCounterVec,
    /// What upstreams said of themselves in answers, by notice.
    notices: IntCounterVec,
    /// Bodies, connections and input that a limit of the entry cut, by limit.
    limited: IntCounterVec,
    /// Requests by priority and by what became of them at admission.
    admissions: IntCounterVec,
    /// Share of the requests that is refused at once, in thousandths, by service.
    levels: IntGaugeVec,
    /// Requests that got no place, by service and cause.
    full: IntCounterVec,
    /// Upstreams that take requests, by service and by whether a recent report tells their load.
    upstreams: IntGaugeVec,
}

impl RelayMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// A metric is invalid or registered twice.
    pub fn register() -> Result<Self> {
        let registry = Registry::new();
        let requests = "agatepin_relay_requests_total";
        let head = "agatepin_relay_head_seconds";
        let objectives = "agatepin_relay_objectives_total";
        let sends = "agatepin_relay_sends_total";
        let notices = "agatepin_relay_upstream_notices_total";
        let limited = "agatepin_relay_limited_total";
        let admissions = "agatepin_relay_admissions_total";
        let levels = "agatepin_relay_admission_level";
        let full = "agatepin_relay_full_total";
        let upstreams = "agatepin_relay_upstreams";
        Ok(Self {
            requests: metrics::counter(&registry, requests, "Requests by outcome", &["outcome"])?,
            head_seconds: metrics::histogram(
                &registry,
                head,
                "Time to the head of the answer",
                &["outcome"],
            )?,
            objectives: metrics::counter(
                &registry,
                objectives,
                "Answers by whether they began within the objective",
                &["met"],
            )?,
            sends: metrics::counter(
                &registry,
                sends,
                "Sends to upstreams by service",
                &["service"],
            )?,
            notices: metrics::counter(
                &registry,
                notices,
                "Notices of upstreams in answers",
                &["notice"],
            )?,
            limited: metrics::counter(
                &registry,
                limited,
                "Refusals and closes by limits of memory, progress and connections",
                &["limit"],
            )?,
            admissions: metrics::counter(
                &registry,
                admissions,
                "Requests by priority and admission",
                &["priority", "outcome"],
            )?,
            levels: metrics::gauge(
                &registry,
                levels,
                "Thousandths of the requests that are refused at once",
                &["service"],
            )?,
            full: metrics::counter(
                &registry,
                full,
                "Requests without a place by service and cause",
                &["service", "cause"],
            )?,
            upstreams: metrics::gauge(
                &registry,
                upstreams,
                "Usable upstreams by service and recent report",
                &["service", "reported"],
            )?,
            registry,
        })
    }

    /// Counts a request that ended; `head` is the time from its arrival to the
    /// head of its answer, if it had one.
    pub fn record_request(&self, outcome: &str, head: Option<Duration>) {
        self.requests.with_label_values(&[outcome]).inc();
        if let Some(head) = head {
            let seconds = self.head_seconds.with_label_values(&[outcome]);
            seconds.observe(head.as_secs_f64());
        }
    }

    /// Counts an answer that began within the route's objective (`met`), or later.
    pub fn record_objective(&self, met: bool) {
        let met = if met { "true" } else { "false" };
        self.objectives.with_label_values(&[met]).inc();
    }

    /// Counts an attempt at an upstream of `service`.
    pub fn record_attempt(&self, service: &str) {
        self.sends.with_label_values(&[service]).inc();
    }

    /// Counts that an upstream said of itself that it is leaving (`leaving`), that it wants no
    /// requests for a time (`hold`), that a limit begins (`limit`), or a limit that is malformed
    /// (`unreadable_limit`).
    pub fn record_notice(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counter of what a limit of the entry cut: bodies refused for lack of memory (`memory`) or progress
    /// (`progress`), connections closed for newer ones (`connections`), and refused bodies that are not
    /// discarded to their end (`discard`).
    #[must_use]
    pub fn limited(&self) -> IntCounterVec {
        self.limited.clone()
    }

    /// Counts that a request got a slot (`admitted`), or did not, at its arrival (`refused_at_once`) or
    /// after it had waited (`refused_after_wait`).
    pub fn record_admission(&self, priority: u32, outcome: &str) {
        let labels = [&priority.to_string(), outcome];
        self.admissions.with_label_values(&labels).inc();
    }

    /// Records the admission level of `service`, a share from 0 to 1.
    #[allow(clippy::cast_possible_truncation)]
    pub fn record_level(&self, service: &str, level: f64) {
        let thousandths = (level * 1_000.0).round() as i64;
        self.levels.with_label_values(&[service]).set(thousandths);
    }

    /// Counts a request for `service` that got no place for `cause`.
    pub fn record_full(&self, service: &str, cause: &str) {
        self.full.with_label_values(&[service, cause]).inc();
    }

    /// Records the upstreams of `service` that take requests, by whether a recent report tells their load.
    pub fn record_places(&self, service: &str, places: &PlaceSnapshot) {
        let counts = [
            ("true", places.reported),
            ("false", places.usable.saturating_sub(places.reported)),
        ];
        for (reported, count) in counts {
            let gauge = self.upstreams.with_label_values(&[service, reported]);
            gauge.set(count.into());
        }
    }

    /// Encodes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// A metric cannot be encoded.
    pub fn encode(&self) -> Result<String> {
        metrics::encode(&self.registry)
    }
}
