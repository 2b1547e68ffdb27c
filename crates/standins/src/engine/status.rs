//! State of the engine (weights, requests in flight, cold phase, restart) and its report.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::web::Data;
use serde::{Deserialize, Serialize};

use super::EngineRole;
use crate::server::{StandinRole, drop_connection};

/// Recent changes of `in_flight` that are retained to report it with a lag. With more changes
/// than this within the lag, 0 is reported.
const MAX_IN_FLIGHT_HISTORY: usize = 4096;

/// Weights that the engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadedWeights {
    /// Name of the model or adapter.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// BLAKE3 digest of all chunks in hexadecimal digits.
    pub digest: String,
}

/// Events since the start of the stand-in; a restart of the engine does not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounters {
    /// Chat requests that reached loaded weights.
    pub requests: u64,
    /// Chat requests with a complete response.
    pub answered: u64,
    /// Highest number of concurrent requests while cold.
    pub max_cold_concurrency: usize,
    /// Highest number of concurrent requests.
    pub max_concurrency: usize,
    /// Failures caused by more concurrent requests than the limit.
    pub overloads: u64,
    /// Failures caused by the crash marker or requested by a test.
    pub crashes: u64,
    /// Successful loads.
    pub loads: u64,
    /// Loads that failed because a chunk could not be fetched or the total digest was wrong.
    pub wrong_digests: u64,
    /// Orders refused because of an old fence number.
    pub stale_fences: u64,
    /// Streams that the client closed before their end.
    pub streams_cut: u64,
}

/// Body of `GET /engine/state`; `counters` is for tests only and not part of the engine protocol.
#[derive(Clone, Debug, Serialize)]
pub struct EngineState {
    /// Name of the loaded model or adapter; absent if no weights are loaded.
    pub model: Option<String>,
    /// Name of the loaded version; absent if no weights are loaded.
    pub version: Option<String>,
    /// Digest of the loaded weights in hexadecimal digits; absent if no weights are loaded.
    pub digest: Option<String>,
    /// Whether the engine is cold, unless a test hides it.
    pub cold: bool,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Requests in flight, as of `state_lag` ago.
    pub in_flight: usize,
    /// Successful loads.
    pub loads: u64,
    /// Highest fence number seen since the last restart.
    pub fence: u64,
    /// Events since the start of the stand-in.
    pub counters: EngineCounters,
}

/// Mutable state of the engine.
#[derive(Default)]
pub struct EngineStatus {
    /// Weights that the engine serves; absent if none are loaded.
    pub weights: Option<LoadedWeights>,
    /// Highest fence number seen since the last restart.
    pub fence: u64,
    pub counters: EngineCounters,
    /// Number of loads in progress.
    pub loading: usize,
    /// Number of chat requests in flight.
    in_flight: usize,
    /// Instant and new value of each change of `in_flight`, oldest first.
    in_flight_history: VecDeque<(Instant, usize)>,
    /// End of the latest cold phase; absent if there was none since the last failure.
    cold_until: Option<Instant>,
    /// Whether the engine reports itself as warm while it is cold.
    cold_hidden: bool,
    /// End of the latest restart; absent before the first failure.
    restart_at: Option<Instant>,
}

impl EngineStatus {
    pub fn turn_cold(&mut self, until: Instant, hidden: bool) {
        self.cold_until = Some(until);
        self.cold_hidden = hidden;
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    pub fn is_restarting(&self, now: Instant) -> bool {
        self.restart_at.is_some_and(|restart| now < restart)
    }

    /// Discards what a restart loses: the weights, the fence number and the cold phase.
    pub fn fail(&mut self, restart_at: Instant) {
        self.weights = None;
        self.fence = 0;
        self.cold_until = None;
        self.restart_at = Some(restart_at);
    }

    /// Counts a request and returns the number in flight, including this one.
    pub fn start_request(&mut self, now: Instant) -> usize {
        self.set_in_flight(now, self.in_flight + 1);
        self.counters.requests += 1;
        let counters = &mut self.counters;
        counters.max_concurrency = counters.max_concurrency.max(self.in_flight);
        if self.cold_until.is_some_and(|until| now < until) {
            counters.max_cold_concurrency = counters.max_cold_concurrency.max(self.in_flight);
        }
        self.in_flight
    }

    pub fn end_request(&mut self, now: Instant) {
        self.set_in_flight(now, self.in_flight.saturating_sub(1));
    }

    /// Returns what the engine reports if its `in_flight` is `lag` old.
    pub fn report(&self, now: Instant, lag: Duration) -> EngineState {
        let weights = self.weights.as_ref();
        EngineState {
            model: weights.map(|weights| weights.model.clone()),
            version: weights.map(|weights| weights.version.clone()),
            digest: weights.map(|weights| weights.digest.clone()),
            cold: self.is_cold(now) && !self.cold_hidden,
            loading: self.loading > 0,
            in_flight: self.lagged_in_flight(now, lag),
            loads: self.counters.loads,
            fence: self.fence,
            counters: self.counters,
        }
    }

    fn set_in_flight(&mut self, now: Instant, in_flight: usize) {
        self.in_flight = in_flight;
        self.in_flight_history.push_back((now, in_flight));
        if self.in_flight_history.len() > MAX_IN_FLIGHT_HISTORY {
            self.in_flight_history.pop_front();
        }
    }

    /// Returns the number of requests in flight at `now - lag`; 0 if the history starts later.
    fn lagged_in_flight(&self, now: Instant, lag: Duration) -> usize {
        if lag.is_zero() {
            return self.in_flight;
        }
        for (at, in_flight) in self.in_flight_history.iter().rev() {
            if now.duration_since(*at) >= lag {
                return *in_flight;
            }
        }
        0
    }
}

pub async fn get_state(role: Data<EngineRole>) -> HttpResponse {
    if role.is_restarting() {
        return drop_connection();
    }
    HttpResponse::Ok().json(role.state())
}
