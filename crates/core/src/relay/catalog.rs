//! Catalog of the routes, services and customers that an entry serves, with its lookups.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{CustomerId, DataCentreId, ModelId, RegionId, ServiceId};

/// Version of a catalog; a higher one replaces a lower one.
pub type CatalogVersion = u64;
/// Name of a route.
pub type RouteId = String;
/// Version of a model's weights; a higher one is newer.
pub type WeightsVersion = u64;

key_type! {
    /// Whether a request may be retried, and whether its answer is a stream.
    pub enum RequestKind {
        /// The request may run more than once.
        Idempotent,
        /// The request may run at most once.
        NonIdempotent,
        /// The answer is an event stream that another upstream can resume.
        ResumableStream,
        /// The answer is an event stream; the request may run at most once.
        Stream,
    }
}

impl RequestKind {
    /// Whether a request may be retried although an upstream may have run it.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

value_type! {
    /// A service that a route sends requests to, with its share of them.
    pub struct RouteTarget {
        /// Service whose upstreams serve the requests.
        pub service: ServiceId,
        /// Share of the requests, relative to the weights of the route's other targets.
        pub weight: u32,
    }

    /// Rules for the requests to one host and path prefix.
    pub struct RouteSpec {
        /// Name that identifies the route, as in logs.
        pub name: RouteId,
        /// Host, in lower case.
        pub host: String,
        /// Path prefix; starts and ends with a slash.
        pub prefix: String,
        /// Services that requests are distributed to; not empty.
        pub targets: Vec<RouteTarget>,
        /// Whether its requests may be retried, and whether their answers are streams.
        pub kind: RequestKind,
        /// Maximum time that a caller waits for an answer.
        pub timeout: Duration,
        /// Target for the time from the request's arrival to its answer; for engines, to the
        /// answer's first event.
        pub objective: Duration,
        /// Time without an event after which callers abandon a stream, also before its first event;
        /// none unless the answers are streams.
        pub max_silence: Option<Duration>,
        /// Maximum number of upstreams that one request is sent to.
        pub max_attempts: u32,
        /// Priority of its requests; 0 is the highest.
        pub priority: u32,
        /// Regions that may serve its requests; empty for all regions.
        pub home_regions: Vec<RegionId>,
        /// Whether callers need no API key of a customer.
        pub anonymous: bool,
    }

    /// Speed of an engine. An engine works in passes: in each it runs some decode steps and
    /// prefills one chunk of prompt tokens.
    pub struct EngineTiming {
        /// Time of a decode step, which produces one token for each running request.
        pub decode_step: Duration,
        /// Time that each running request adds to a decode step's duration.
        pub decode_step_per_request: Duration,
        /// Number of decode steps in a pass.
        pub decode_steps_per_pass: u32,
        /// Prefill rate, in prompt tokens a second.
        pub prefill_tokens_per_second: u32,
        /// Maximum number of prompt tokens that one pass prefills.
        pub prefill_tokens_per_pass: u32,
    }

    /// Engines of a service that serves a model.
    pub struct EngineSpec {
        /// Model that the engines serve.
        pub model: ModelId,
        /// Number of pieces, the units of transfer, in each version of the weights.
        pub pieces: u32,
        /// Speed of each engine.
        pub timing: EngineTiming,
        /// Number of the model's layers, each of which takes memory for each token; 0 if it is not known.
        pub layers: u32,
        /// Mean number of tokens in an answer; 0 if it is not known.
        pub mean_answer_tokens: u32,
    }

    /// Upstreams that serve the same requests.
    pub struct ServiceSpec {
        /// Requests a second that each upstream can handle during its cold start; 0 for no limit.
        pub cold_requests_per_second: u32,
        /// Model engines of the service; `None` for a plain service.
        pub engine: Option<EngineSpec>,
    }

    /// A customer, with the API keys that identify its callers.
    pub struct CustomerAccount {
        /// Name that identifies the customer, as in logs.
        pub name: CustomerId,
        /// API keys by which its callers identify themselves.
        pub keys: Vec<String>,
        /// Priority of its requests, 0 the highest; `None` leaves the route's priority in effect.
        pub priority: Option<u32>,
        /// Regions that may serve its requests; empty for all regions.
        pub home_regions: Vec<RegionId>,
    }

    /// Limits for requests and callers' connections.
    pub struct CallerLimits {
        /// Maximum size of a request's head, in bytes.
        pub header_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// Time limits for connections.
        pub timeouts: CallerTimeouts,
    }

    /// Time limits for callers' connections.
    #[derive(Copy)]
    pub struct CallerTimeouts {
        /// Maximum time in which the head of a request arrives.
        pub head: Duration,
        /// Maximum time between two requests.
        pub idle: Duration,
    }

    /// Catalog as operators declare it, decoded from the store.
    pub struct CatalogSpec {
        /// Version of this catalog.
        pub version: CatalogVersion,
        /// Routes; of several with the same host and prefix, the last one counts.
        pub routes: Vec<RouteSpec>,
        /// Services that routes refer to, by name.
        pub services: BTreeMap<ServiceId, ServiceSpec>,
        /// Address of the weight origin, if one is declared.
        pub origin: Option<SocketAddr>,
        /// Customers; if empty, callers need no API keys.
        pub customers: Vec<CustomerAccount>,
        /// Limits for requests and callers' connections.
        pub limits: CallerLimits,
        /// Network delays, one way, between two data centres, in either order.
        pub delays: BTreeMap<(DataCentreId, DataCentreId), Duration>,
    }

    /// Why a request was not matched to a route or customer.
    pub enum LookupError {
        /// No route matches the host and path (HTTP status 404).
        NoRoute,
        /// The API key is missing or unknown (HTTP status 401).
        UnknownKey,
    }
}

/// Limits without a catalog.
impl Default for CallerTimeouts {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(15),
            idle: Duration::from_secs(15),
        }
    }
}

/// Catalog indexed for lookups.
#[derive(Debug, PartialEq, Eq)]
pub struct RouteCatalog {
    spec: CatalogSpec,
    /// Routes by host and path prefix.
    routes: HashMap<String, HashMap<String, Arc<RouteSpec>>>,
    /// Customers by API key.
    customers: HashMap<String, Arc<CustomerAccount>>,
}

impl From<CatalogSpec> for RouteCatalog {
    fn from(spec: CatalogSpec) -> Self {
        let mut routes: HashMap<String, HashMap<String, Arc<RouteSpec>>> = HashMap::new();
        for route in &spec.routes {
            let host = routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut customers = HashMap::new();
        for customer in &spec.customers {
            let shared = Arc::new(customer.clone());
            for key in &customer.keys {
                customers.insert(key.clone(), shared.clone());
            }
        }
        Self {
            spec,
            routes,
            customers,
        }
    }
}

impl RouteCatalog {
    /// Version of this catalog.
    #[must_use]
    pub fn version(&self) -> CatalogVersion {
        self.spec.version
    }

    /// Limits for requests and callers' connections.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.spec.limits
    }

    /// Address of the weight origin, if one is declared.
    #[must_use]
    pub fn origin(&self) -> Option<SocketAddr> {
        self.spec.origin
    }

    /// Network delay, one way, between two data centres; none if it is not known.
    #[must_use]
    pub fn delay(&self, one: &str, other: &str) -> Option<Duration> {
        if one == other {
            return Some(Duration::ZERO);
        }
        let (one, other) = (one.to_owned(), other.to_owned());
        let delays = &self.spec.delays;
        let there = delays.get(&(one.clone(), other.clone()));
        there.or_else(|| delays.get(&(other, one))).copied()
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.spec.services.get(name)
    }

    /// Engines of all services that have some.
    pub fn engines(&self) -> impl Iterator<Item = &EngineSpec> {
        let services = self.spec.services.values();
        services.filter_map(|service| service.engine.as_ref())
    }

    /// Finds the service whose engines serve `model`.
    #[must_use]
    pub fn engine_of(&self, model: &str) -> Option<(&ServiceId, &EngineSpec)> {
        let mut engines = self.spec.services.iter();
        engines.find_map(|(name, service)| {
            let engine = service.engine.as_ref()?;
            (engine.model == model).then_some((name, engine))
        })
    }

    /// Finds the route with the longest prefix of `path` among those of `host`. The host may have a
    /// port, and its case does not matter.
    ///
    /// # Errors
    /// Returns [`LookupError::NoRoute`] if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<RouteSpec>, LookupError> {
        let name = host.split(':').next().unwrap_or_default();
        let lower = name.to_ascii_lowercase();
        let routes = self.routes.get(&lower).ok_or(LookupError::NoRoute)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Ok(route);
            }
            end = slash;
        }
        Err(LookupError::NoRoute)
    }

    /// Finds the customer that the API key `key` belongs to. Without a known API key the result is
    /// `None` if `route` is anonymous or no customers are declared.
    ///
    /// # Errors
    /// Returns [`LookupError::UnknownKey`] if the route needs a key and it is missing or unknown.
    pub fn customer(
        &self,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> Result<Option<Arc<CustomerAccount>>, LookupError> {
        let known = key.and_then(|key| self.customers.get(key));
        if known.is_some() || route.anonymous || self.spec.customers.is_empty() {
            return Ok(known.cloned());
        }
        Err(LookupError::UnknownKey)
    }
}

impl RouteSpec {
    /// Chooses the service for a request, by weight. `draw` is a random number, uniformly
    /// distributed over the whole range of `u32`.
    ///
    /// # Panics
    /// If the route has no targets.
    #[must_use]
    pub fn target(&self, draw: u32) -> &ServiceId {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = (u64::from(draw) * total.max(1)) >> 32;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return &target.service;
            }
            left -= weight;
        }
        &self.targets[0].service
    }
}
