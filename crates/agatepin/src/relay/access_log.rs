//! Access log: one line for each request when it ends.

use std::time::{Duration, Instant};

use agatepin_core::ids::{ServiceId, UpstreamId};
use agatepin_core::relay::full_cause::FullCause;

use crate::relay::admit::PlaceSnapshot;
use crate::relay::metrics::RelayMetrics;

/// Data of one request for the access log and the metrics. The log line is written on drop, so that requests
/// whose caller disconnected are logged too.
#[derive(Debug)]
pub struct AccessRecord {
    /// Attempt id from the caller's request; empty if missing.
    id: String,
    /// Arrival of the request.
    started: Instant,
    /// Metrics that count the request when it ends.
    metrics: RelayMetrics,
    /// Name of the matched route; empty if there is none.
    pub route: String,
    /// Customer of the caller; empty if unknown or anonymous.
    pub customer: String,
    /// Version of the catalog (routes, services and customers) that applied to the request; 0 if
    /// there was none.
    pub catalog: u64,
    /// Target of the matched route for the time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Upstreams that were chosen for the request, in the order of the attempts.
    pub sent_to: Vec<UpstreamId>,
    /// Outcome of the request in the log and the metrics: `answered`, `streaming`, `stream_broken`,
    /// `caller_left` (the caller disconnected), `panicked` (its handler did), or the code of a refusal.
    pub outcome: &'static str,
    /// HTTP status that the caller received; 0 if it disconnected before.
    pub status: u16,
    /// Why the request got no place, with what the entry knew of the places of its service; none if it was
    /// not refused for that.
    pub full: Option<FullRecord>,
    /// Time from the arrival of the request to the head of its answer; none while there is no head.
    head: Option<Duration>,
}

agatepin_core::value_type! {
    /// A refusal for want of a place.
    pub struct FullRecord {
        /// Why the request got no place.
        pub cause: FullCause,
        /// Service of the request.
        pub service: ServiceId,
        /// What the entry knew of the service's places when it refused the request.
        pub places: PlaceSnapshot,
    }
}

impl FullRecord {
    fn log(&self, request: &str) {
        let places = &self.places;
        // `usable` upstreams of the service, those with a recent report (`reported`), their places and known
        // load, and the admission level in thousandths.
        log::info!(
            request,
            service = self.service,
            cause = self.cause.code(),
            usable = places.usable,
            reported = places.reported,
            places = places.places,
            load = places.load,
            level = places.level;
            "no place for the request"
        );
    }
}

impl AccessRecord {
    /// Creates the record of the request with the attempt id `id`, which arrived at `started`.
    #[must_use]
    pub fn new(id: String, started: Instant, metrics: RelayMetrics) -> Self {
        Self {
            id,
            started,
            metrics,
            route: String::new(),
            customer: String::new(),
            catalog: 0,
            objective: Duration::ZERO,
            sent_to: Vec::new(),
            outcome: "caller_left",
            status: 0,
            full: None,
            head: None,
        }
    }

    /// Records status and outcome of the answer, and the time from the request's arrival until now
    /// as the time to the answer's head.
    pub fn record_head(&mut self, status: u16, outcome: &'static str) {
        self.status = status;
        self.outcome = outcome;
        self.head = Some(self.started.elapsed());
    }
}

impl Drop for AccessRecord {
    fn drop(&mut self) {
        // Dropped as the handler's panic unwinds, which is no disconnection of the caller.
        if std::thread::panicking() {
            self.outcome = "panicked";
        }
        let ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let head_ms = self.head.map(|head| head.as_millis());
        let head_ms = head_ms.and_then(|ms| u64::try_from(ms).ok());
        self.metrics.record_request(self.outcome, self.head);
        let answer = self.head.filter(|_| (200..300).contains(&self.status));
        let met = answer.map(|head| head <= self.objective);
        if let Some(met) = met {
            self.metrics.record_objective(met);
        }
        if let Some(full) = &self.full {
            self.metrics.record_full(&full.service, full.cause.code());
            full.log(&self.id);
        }
        // The line of the access log: one for each request, when it ends. `sent_to` are the upstreams
        // of its attempts, `head_ms` the time to the head of the answer and `ms` the time to its end.
        // `met`: a success began within the route's objective.
        log::info!(
            request = self.id,
            route = self.route,
            customer = self.customer,
            catalog = self.catalog,
            sent_to = self.sent_to.join(","),
            outcome = self.outcome,
            status = self.status,
            head_ms,
            ms,
            met;
            "request"
        );
    }
}
