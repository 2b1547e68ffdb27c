//! The routes, services and customers that are in force on an entry.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{CustomerId, ModelId, RegionId, ServiceId};

/// Number of a catalog; a higher one replaces a lower one.
pub type CatalogVersion = u64;
/// Name of a route.
pub type RouteId = String;
/// Number of a version of a model's weights.
pub type WeightsVersion = u64;

key_type! {
    /// What may be repeated of a request.
    pub enum RequestKind {
        /// It may run more than once.
        Idempotent,
        /// It may run at most once.
        NonIdempotent,
        /// Its answer is a stream of events that may go on at another upstream.
        ResumableStream,
        /// Its answer is a stream of events; it may run at most once.
        Stream,
    }
}

impl RequestKind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

value_type! {
    /// A service that a route leads to, with its share of the requests.
    pub struct RouteTarget {
        /// Service.
        pub service: ServiceId,
        /// Share relative to the route's other targets.
        pub weight: u32,
    }

    /// A route.
    pub struct RouteSpec {
        /// Name.
        pub name: RouteId,
        /// Host, in lower case.
        pub host: String,
        /// Path prefix; begins and ends with a slash.
        pub prefix: String,
        /// Services that it leads to; not empty.
        pub targets: Vec<RouteTarget>,
        /// What may be repeated.
        pub kind: RequestKind,
        /// Longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Time within which an answer is wanted.
        pub objective: Duration,
        /// Most upstreams that one request may be sent to.
        pub max_attempts: u32,
        /// Rank among the routes; 0 goes first.
        pub priority: u32,
        /// Regions that may serve it; all where empty.
        pub home_regions: Vec<RegionId>,
        /// Callers need no key.
        pub anonymous: bool,
    }

    /// How fast an engine works.
    pub struct EngineTiming {
        /// Time of a step that gives each running request one token.
        pub decode_step: Duration,
        /// Time that each running request adds to a step.
        pub decode_step_per_request: Duration,
        /// Steps of a pass.
        pub decode_steps_per_pass: u32,
        /// Prompt tokens that are read in a second.
        pub prefill_tokens_per_second: u32,
        /// Most prompt tokens that are read in a pass.
        pub prefill_tokens_per_pass: u32,
    }

    /// What the engines of a service are.
    pub struct EngineSpec {
        /// Model that they serve.
        pub model: ModelId,
        /// Pieces that one version of the weights is made of.
        pub pieces: u32,
        /// How fast an engine works.
        pub timing: EngineTiming,
    }

    /// A service.
    pub struct ServiceSpec {
        /// Requests a second that one of its upstreams bears in cold start; 0 where not limited.
        pub cold_requests_per_second: u32,
        /// Its engines, where it has any.
        pub engine: Option<EngineSpec>,
    }

    /// A customer.
    pub struct CustomerAccount {
        /// Name.
        pub name: CustomerId,
        /// Keys of its callers.
        pub keys: Vec<String>,
        /// Rank that goes before the route's, where it is given.
        pub priority: Option<u32>,
        /// Regions that may serve it; all where empty.
        pub home_regions: Vec<RegionId>,
    }

    /// Limits on what callers send.
    pub struct CallerLimits {
        /// Most bytes of a request's head.
        pub header_bytes: usize,
        /// Most bytes of a request's body.
        pub body_bytes: usize,
    }

    /// All that operators declare for the direct path, as it is decoded.
    pub struct CatalogSpec {
        /// Number.
        pub version: CatalogVersion,
        /// Routes.
        pub routes: Vec<RouteSpec>,
        /// Services by name.
        pub services: BTreeMap<ServiceId, ServiceSpec>,
        /// Where weights come from.
        pub origin: Option<SocketAddr>,
        /// Customers; none where callers need no keys.
        pub customers: Vec<CustomerAccount>,
        /// Limits on what callers send.
        pub limits: CallerLimits,
    }

    /// Why a request has no route or customer.
    pub enum LookupError {
        /// No route matches; 404.
        NoRoute,
        /// The key is missing or unknown; 401.
        UnknownKey,
    }
}

/// The catalog in force, indexed for look-ups.
#[derive(Debug)]
pub struct RouteCatalog {
    source: CatalogSpec,
    routes: HashMap<String, HashMap<String, Arc<RouteSpec>>>,
    customers: HashMap<String, Arc<CustomerAccount>>,
}

impl From<CatalogSpec> for RouteCatalog {
    fn from(source: CatalogSpec) -> Self {
        let mut routes: HashMap<String, HashMap<String, Arc<RouteSpec>>> = HashMap::new();
        for route in &source.routes {
            let host = routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut customers = HashMap::new();
        for customer in &source.customers {
            let shared = Arc::new(customer.clone());
            for key in &customer.keys {
                customers.insert(key.clone(), shared.clone());
            }
        }
        Self {
            source,
            routes,
            customers,
        }
    }
}

impl RouteCatalog {
    /// Number.
    #[must_use]
    pub fn version(&self) -> CatalogVersion {
        self.source.version
    }

    /// Limits on what callers send.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.source.limits
    }

    /// Where weights come from.
    #[must_use]
    pub fn origin(&self) -> Option<SocketAddr> {
        self.source.origin
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.source.services.get(name)
    }

    /// The service whose engines serve `model`.
    #[must_use]
    pub fn engine_of(&self, model: &str) -> Option<(&ServiceId, &EngineSpec)> {
        let mut engines = self.source.services.iter();
        engines.find_map(|(name, service)| {
            let engine = service.engine.as_ref()?;
            (engine.model == model).then_some((name, engine))
        })
    }

    /// Route of a request: that with the longest prefix of `path` among those of `host`.
    ///
    /// # Errors
    /// No route matches.
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

    /// Customer of a request on `route`; none where customers are not declared or the route is
    /// anonymous and the key unknown.
    ///
    /// # Errors
    /// The key is missing or unknown.
    pub fn customer(
        &self,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> Result<Option<Arc<CustomerAccount>>, LookupError> {
        let known = key.and_then(|key| self.customers.get(key));
        if known.is_some() || route.anonymous || self.source.customers.is_empty() {
            return Ok(known.cloned());
        }
        Err(LookupError::UnknownKey)
    }
}

impl RouteSpec {
    /// Service for a request, by a random `draw`.
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
