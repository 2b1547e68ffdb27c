//! Stand-in of a model engine that loads weights and completes chats.
//!
//! For a time after each load the engine is cold: it has a lower limit of concurrent requests and
//! may be slower. The engine fails if a request exceeds the limit or contains the crash marker: it
//! then discards its weights, breaks all requests in flight and drops connections until it has
//! restarted.

mod chat;
mod load;
mod status;

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use actix_web::web;
use actix_web::web::ServiceConfig;
use serde::Deserialize;
use tokio::sync::watch;

use crate::server::{LOOPBACK_ANY_PORT, StandinRole, StandinServer};
use crate::sync::lock;
use status::EngineStatus;
pub use status::{EngineCounters, EngineState, LoadedWeights};

/// A running model engine.
pub type EngineStandin = StandinServer<EngineRole>;

/// Options of the model engine at its start.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Whether load and unload orders with a fence number below the highest one seen are refused.
    pub checks_fences: bool,
    /// Time for which the engine is cold after a load.
    pub cold_start: Duration,
    /// Concurrent requests that the engine can handle while cold; one more makes it fail.
    pub cold_limit: usize,
    /// Concurrent requests that the engine can handle while warm; one more makes it fail.
    pub warm_limit: usize,
    /// Duration of one decode step (one token of each response) while warm.
    pub token_interval: Duration,
    /// Factor by which a decode step takes longer while cold.
    pub cold_slowdown: u32,
    /// Length in tokens of a completion whose request has no `max_tokens`.
    pub tokens: usize,
    /// Age of the reported `in_flight`: the engine reports how many requests were in flight this
    /// long ago.
    pub state_lag: Duration,
    /// Time from a failure until the engine accepts requests again.
    pub restart_delay: Duration,
    /// Text in a request body that crashes the engine.
    pub crash_marker: String,
    /// Whether the engine runs requests and then answers them with status 503.
    pub withholds_answers: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            checks_fences: true,
            cold_start: Duration::ZERO,
            cold_limit: 2,
            warm_limit: 64,
            token_interval: Duration::from_millis(1),
            cold_slowdown: 1,
            tokens: 8,
            state_lag: Duration::ZERO,
            restart_delay: Duration::from_millis(200),
            crash_marker: "crash-the-engine".to_owned(),
            withholds_answers: false,
        }
    }
}

/// Change of the model engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineControl {
    /// Makes the engine cold, as after a load.
    TurnCold {
        /// Time until the engine is warm again, in milliseconds.
        cold_ms: u64,
        /// Whether the engine reports itself as warm meanwhile.
        #[serde(default)]
        hidden: bool,
    },
    /// Replaces the loaded weights without a load order.
    SwapWeights(LoadedWeights),
    /// Crashes the engine, as the crash marker does.
    Crash,
    /// Sets the duration of a decode step while warm.
    TokenInterval {
        /// Duration in milliseconds.
        interval_ms: u64,
    },
    /// Sets how many concurrent requests the engine can handle.
    Limits {
        /// Limit while cold.
        cold_limit: usize,
        /// Limit while warm.
        warm_limit: usize,
    },
    /// Sets whether the engine checks fence numbers.
    Fences {
        /// Whether orders with an old fence number are refused.
        checks: bool,
    },
    /// Sets whether the engine runs requests and then answers them with status 503.
    WithholdAnswers {
        /// Whether it does.
        withholds: bool,
    },
}

/// Role of the model engine.
pub struct EngineRole {
    options: Mutex<EngineOptions>,
    status: Mutex<EngineStatus>,
    /// Number of failures so far; a change breaks all requests in flight.
    failures: watch::Sender<u64>,
}

impl StandinServer<EngineRole> {
    /// Starts the model engine without weights.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    #[allow(clippy::unused_async)]
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let role = EngineRole {
            options: Mutex::new(options),
            status: Mutex::new(EngineStatus::default()),
            failures: watch::Sender::new(0),
        };
        Self::serve(role, listen)
    }
}

impl StandinRole for EngineRole {
    type Control = EngineControl;
    type State = EngineState;

    fn control(&self, control: EngineControl) -> Result<(), String> {
        let mut options = lock(&self.options);
        match control {
            EngineControl::TurnCold { cold_ms, hidden } => {
                let until = Instant::now() + Duration::from_millis(cold_ms);
                lock(&self.status).turn_cold(until, hidden);
            }
            EngineControl::SwapWeights(weights) => lock(&self.status).weights = Some(weights),
            EngineControl::Crash => {
                let delay = options.restart_delay;
                drop(options);
                self.crash(delay);
            }
            EngineControl::TokenInterval { interval_ms } => {
                options.token_interval = Duration::from_millis(interval_ms);
            }
            EngineControl::Limits {
                cold_limit,
                warm_limit,
            } => {
                options.cold_limit = cold_limit;
                options.warm_limit = warm_limit;
            }
            EngineControl::Fences { checks } => options.checks_fences = checks,
            EngineControl::WithholdAnswers { withholds } => options.withholds_answers = withholds,
        }
        Ok(())
    }

    fn state(&self) -> EngineState {
        let lag = lock(&self.options).state_lag;
        lock(&self.status).report(Instant::now(), lag)
    }

    fn routes(config: &mut ServiceConfig) {
        config
            .route("/engine/state", web::get().to(status::get_state))
            .route("/engine/load", web::post().to(load::load_weights))
            .route("/engine/unload", web::post().to(load::unload_weights))
            .route("/v1/chat/completions", web::post().to(chat::complete_chat));
    }
}

impl EngineRole {
    fn crash(&self, restart_delay: Duration) {
        lock(&self.status).counters.crashes += 1;
        self.fail(restart_delay);
    }

    /// Discards the weights, breaks all requests in flight and begins the restart.
    fn fail(&self, restart_delay: Duration) {
        lock(&self.status).fail(Instant::now() + restart_delay);
        self.failures.send_modify(|failures| *failures += 1);
    }

    fn is_restarting(&self) -> bool {
        lock(&self.status).is_restarting(Instant::now())
    }
}

/// Completes when the engine fails after `failures` was subscribed.
async fn wait_for_failure(mut failures: watch::Receiver<u64>) {
    if failures.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
