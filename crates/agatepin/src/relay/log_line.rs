//! The line that each request leaves in the log.

use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;

use crate::relay::metrics::RelayMetrics;

/// What is told of a request when it ends, also where its caller left.
#[derive(Debug)]
pub struct RequestLine {
    id: String,
    started: Instant,
    metrics: RelayMetrics,
    /// Route that was taken.
    pub route: String,
    /// Customer of the caller.
    pub customer: String,
    /// Catalog that was in force.
    pub catalog: u64,
    /// Its caller was refused before, and could not be answered within the objective.
    pub came_back: bool,
    /// Upstreams that it was sent to.
    pub sent_to: Vec<UpstreamId>,
    /// How it ended.
    pub outcome: &'static str,
    /// Status that the caller got; 0 where it left.
    pub status: u16,
    head: Option<Duration>,
}

impl RequestLine {
    /// A line for the request `id`, which just came.
    #[must_use]
    pub fn new(id: String, started: Instant, metrics: RelayMetrics) -> Self {
        Self {
            id,
            started,
            metrics,
            route: String::new(),
            customer: String::new(),
            catalog: 0,
            came_back: false,
            sent_to: Vec::new(),
            outcome: "caller_left",
            status: 0,
            head: None,
        }
    }

    /// Notes the head of the answer.
    pub fn head(&mut self, status: u16, outcome: &'static str) {
        self.status = status;
        self.outcome = outcome;
        self.head = Some(self.started.elapsed());
    }
}

impl Drop for RequestLine {
    fn drop(&mut self) {
        let ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let head_ms = self.head.map(|head| head.as_millis());
        let head_ms = head_ms.and_then(|ms| u64::try_from(ms).ok());
        self.metrics.request(self.outcome, self.head);
        log::info!(
            request = self.id,
            route = self.route,
            customer = self.customer,
            catalog = self.catalog,
            came_back = self.came_back,
            sent_to = self.sent_to.join(","),
            outcome = self.outcome,
            status = self.status,
            head_ms,
            ms;
            "request"
        );
    }
}
