//! Stand-in of a plain service: an upstream that is not a model engine.
//!
//! It echoes each call and counts executions by idempotency key, so that tests can detect calls
//! that were executed more than once.

use std::collections::BTreeMap;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::web::{Bytes, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::server::{LOOPBACK_ANY_PORT, StandinRole, StandinServer, drop_connection};
use crate::sync::lock;

/// A running plain service.
pub type ServiceStandin = StandinServer<ServiceRole>;

/// Options of the plain service at its start.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of each execution.
    pub delay: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            delay: Duration::ZERO,
        }
    }
}

/// How the plain service handles a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceMode {
    /// Executes the call and responds with a [`ServiceEcho`].
    #[default]
    Answer,
    /// Executes the call and never responds.
    Hold,
    /// Executes the call and drops the connection.
    Drop,
    /// Responds with status 500 without executing the call.
    Fail,
}

/// Change of the plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceControl {
    /// Sets how the service handles calls.
    Mode {
        /// Mode of the next calls.
        mode: ServiceMode,
        /// Number of calls until the mode returns to `answer`; unlimited if absent.
        #[serde(default)]
        count: Option<u32>,
    },
    /// Sets the duration of each execution.
    Delay {
        /// Duration in milliseconds.
        delay_ms: u64,
    },
}

/// State of the plain service that a test can read.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceState {
    /// Number of executions for each value of the header `idempotency-key`.
    pub executions: BTreeMap<String, u64>,
    /// Total number of executions, including calls without a key.
    pub executed: u64,
    /// Calls received.
    pub calls: u64,
    /// Calls that were executed and held without a response since the start.
    pub held: u64,
    /// Calls in flight, including held ones.
    pub in_flight: u64,
    /// Highest number of calls in flight at once.
    pub max_in_flight: u64,
}

/// Response body of the plain service, which repeats the call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ServiceEcho {
    /// HTTP method.
    pub method: String,
    /// URL path.
    pub path: String,
    /// Query string, empty if there is none.
    pub query: String,
    /// Request body as text; invalid UTF-8 is replaced.
    pub body: String,
    /// Value of the header `x-customer`.
    pub customer: Option<String>,
    /// Value of the header `idempotency-key`.
    pub key: Option<String>,
    /// Number of this execution among those of its key, or among all executions if the call has
    /// no key; the first is 1.
    pub execution: u64,
}

/// Role of the plain service.
pub struct ServiceRole {
    data: Mutex<ServiceData>,
}

#[derive(Default)]
struct ServiceData {
    mode: ServiceMode,
    /// Calls until the mode returns to `Answer`; unlimited if absent.
    mode_calls_left: Option<u32>,
    delay: Duration,
    state: ServiceState,
}

/// Ends a call in flight when it is dropped, also if the caller disconnects.
struct CallGuard<'a> {
    data: &'a Mutex<ServiceData>,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        lock(self.data).state.in_flight -= 1;
    }
}

impl StandinServer<ServiceRole> {
    /// Starts the plain service.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    #[allow(clippy::unused_async)]
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let data = ServiceData {
            delay: options.delay,
            ..ServiceData::default()
        };
        let role = ServiceRole {
            data: Mutex::new(data),
        };
        Self::serve(role, options.listen)
    }
}

impl StandinRole for ServiceRole {
    type Control = ServiceControl;
    type State = ServiceState;

    fn control(&self, control: ServiceControl) -> Result<(), String> {
        let mut data = lock(&self.data);
        match control {
            ServiceControl::Mode { mode, count } => {
                data.mode = mode;
                data.mode_calls_left = count;
            }
            ServiceControl::Delay { delay_ms } => data.delay = Duration::from_millis(delay_ms),
        }
        Ok(())
    }

    fn state(&self) -> ServiceState {
        lock(&self.data).state.clone()
    }

    fn routes(config: &mut ServiceConfig) {
        config.default_service(web::to(run_call));
    }
}

impl ServiceRole {
    /// Counts a call and returns its guard, its mode and the duration of the execution.
    fn start_call(&self) -> (CallGuard<'_>, ServiceMode, Duration) {
        let mut data = lock(&self.data);
        data.state.calls += 1;
        data.state.in_flight += 1;
        data.state.max_in_flight = data.state.max_in_flight.max(data.state.in_flight);
        let mode = data.next_mode();
        let guard = CallGuard { data: &self.data };
        (guard, mode, data.delay)
    }
}

impl ServiceData {
    /// Returns the mode of the next call and counts down the calls for which it is set.
    fn next_mode(&mut self) -> ServiceMode {
        let mode = self.mode;
        if let Some(calls_left) = &mut self.mode_calls_left {
            *calls_left = calls_left.saturating_sub(1);
            if *calls_left == 0 {
                self.mode = ServiceMode::Answer;
                self.mode_calls_left = None;
            }
        }
        mode
    }

    /// Counts an execution and returns its number among those of `key`, or among all if absent.
    fn execute(&mut self, key: Option<&str>) -> u64 {
        self.state.executed += 1;
        let Some(key) = key else {
            return self.state.executed;
        };
        let count = self.state.executions.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}

async fn run_call(role: Data<ServiceRole>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let (_guard, mode, delay) = role.start_call();
    if mode == ServiceMode::Fail {
        return HttpResponse::InternalServerError().finish();
    }
    tokio::time::sleep(delay).await;
    let key = header_text(&request, "idempotency-key");
    let execution = lock(&role.data).execute(key.as_deref());
    match mode {
        ServiceMode::Hold => {
            lock(&role.data).state.held += 1;
            future::pending().await
        }
        ServiceMode::Drop => drop_connection(),
        ServiceMode::Answer | ServiceMode::Fail => HttpResponse::Ok().json(ServiceEcho {
            method: request.method().to_string(),
            path: request.path().to_owned(),
            query: request.query_string().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
            customer: header_text(&request, "x-customer"),
            key,
            execution,
        }),
    }
}

fn header_text(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    Some(value.to_str().ok()?.to_owned())
}
