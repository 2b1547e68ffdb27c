//! What an entry believes, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ModelId, RegionId, ServiceId};
use agatepin_core::poison::SuspectTracker;
use agatepin_core::relay::catalog::{RouteCatalog, WeightsVersion};
use agatepin_core::relay::client_timeout::{ClientTimeouts, RefusedRequests};
use agatepin_core::relay::liveness::EntryDirectory;
use agatepin_core::relay::rate_share::{ColdRateShare, RetryLimit, RetryShare};
use agatepin_core::relay::readers::ReaderDirectory;
use agatepin_core::relay::schedule::WeightsSchedule;
use agatepin_core::relay::upstreams::UpstreamDirectory;
use tokio::sync::Notify;

use crate::relay::ports::{FleetUpdate, MirrorTable};

/// Time for which a request that crashed upstreams is remembered: longer than its callers repeat it.
const SUSPECT_KEEP: Duration = Duration::from_mins(1);

agatepin_core::value_type! {
    /// What an agent says of itself.
    pub struct AgentState {
        /// Region of the agent.
        pub region: RegionId,
        /// Version whose pieces it holds completely.
        pub holds: Option<WeightsVersion>,
        /// When it was last heard.
        pub heard: Instant,
    }
}

/// Everything that an entry believes.
pub struct FleetState {
    /// Catalog in force.
    pub catalog: Option<Rc<RouteCatalog>>,
    /// Upstreams.
    pub upstreams: UpstreamDirectory,
    /// The list of upstreams has been read.
    pub listed: bool,
    /// Weights that operators named.
    pub weights: BTreeMap<ModelId, WeightsSchedule>,
    /// Entries.
    pub entries: EntryDirectory,
    /// Agents by overlay address.
    pub agents: HashMap<SocketAddr, AgentState>,
    /// Cold upstreams' rates.
    pub cold: ColdRateShare,
    /// Patience that callers of each route state.
    pub client_timeout: ClientTimeouts,
    /// Requests that entries of this region refused of late.
    pub refused: RefusedRequests,
    /// Requests that crashed upstreams.
    pub suspects: SuspectTracker,
    /// This process is leaving.
    pub leaving: bool,
    /// Wakes the teller of signs of life where other daemons are to know something at once.
    pub news: Rc<Notify>,
    /// What the other entries say of their copies of the store's tables.
    pub readers: ReaderDirectory<MirrorTable>,
    /// Wakes the teller of signs of life where rows of the store were read.
    pub row_news: Rc<Notify>,
    /// Wakes those who wait for other entries' rows.
    pub heard_rows: Rc<Notify>,
    retry_limit: RetryLimit,
    retries: HashMap<ServiceId, RetryShare>,
}

/// Shared state of an entry.
#[derive(Clone)]
pub struct FleetHandle {
    state: Rc<RefCell<FleetState>>,
    /// Wakes a request that waits for a place.
    pub freed: Rc<Notify>,
    /// This entry's requests at upstreams changed since other entries were told.
    pub untold: Rc<Cell<bool>>,
}

impl FleetHandle {
    /// A state that knows nothing.
    #[must_use]
    pub fn new(retry_limit: RetryLimit) -> Self {
        let state = FleetState {
            catalog: None,
            upstreams: UpstreamDirectory::default(),
            listed: false,
            weights: BTreeMap::new(),
            entries: EntryDirectory::default(),
            agents: HashMap::new(),
            cold: ColdRateShare::default(),
            client_timeout: ClientTimeouts::default(),
            refused: RefusedRequests::default(),
            suspects: SuspectTracker::new(SUSPECT_KEEP),
            leaving: false,
            news: Rc::default(),
            readers: ReaderDirectory::default(),
            row_news: Rc::default(),
            heard_rows: Rc::default(),
            retry_limit,
            retries: HashMap::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            freed: Rc::new(Notify::new()),
            untold: Rc::default(),
        }
    }

    /// Notes that this entry's requests at upstreams changed.
    pub fn changed(&self) {
        self.untold.set(true);
        self.freed.notify_one();
    }

    /// Reads or changes the state; `act` must not wait.
    pub fn with<Act, Out>(&self, act: Act) -> Out
    where
        Act: FnOnce(&mut FleetState) -> Out,
    {
        act(&mut self.state.borrow_mut())
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.with(|fleet| fleet.catalog.is_some() && fleet.listed && !fleet.leaving)
    }
}

impl FleetState {
    /// Takes what a row says. `may_have_lapsed`: entries of the list may be missing only because
    /// the store was away.
    pub fn learn(&mut self, fact: FleetUpdate, may_have_lapsed: bool, now: Instant) {
        match fact {
            FleetUpdate::Catalog(source) => self.learn_catalog(RouteCatalog::from(*source)),
            FleetUpdate::Upstream(id, listing) => {
                let known = self.upstreams.get(&id).map(|state| state.listing.draining);
                if known != Some(listing.draining) {
                    let draining = listing.draining;
                    log::info!(upstream = id, draining, service = listing.service; "upstream listed");
                }
                self.upstreams.list(&id, listing, now);
            }
            FleetUpdate::UpstreamRemoved(id) => {
                log::info!(upstream = id, may_have_lapsed; "upstream left the list");
                self.upstreams.unlist(&id, may_have_lapsed);
            }
            FleetUpdate::Evacuated(data_centre) => {
                log::info!(data_centre; "data centre taken out");
                self.upstreams.evacuate(&data_centre, true);
            }
            FleetUpdate::Restored(data_centre) => {
                log::info!(data_centre; "data centre back");
                self.upstreams.evacuate(&data_centre, false);
            }
            FleetUpdate::Weights { model, version } => {
                self.learn_weights(&model, version, Duration::ZERO, now);
            }
            FleetUpdate::Ignored => {}
        }
    }

    fn learn_catalog(&mut self, catalog: RouteCatalog) {
        let old = self.catalog.as_ref().map(|known| known.version());
        let new = catalog.version();
        if old.is_some_and(|old| old >= new) {
            return;
        }
        log::info!(old:?, new; "catalog in force");
        self.catalog = Some(Rc::new(catalog));
    }

    /// Takes that `version` of a model was named `age` ago.
    pub fn learn_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        age: Duration,
        now: Instant,
    ) {
        let schedule = self.weights.entry(model.to_owned()).or_default();
        if schedule.announce(version, age, now) {
            log::info!(model, version; "weights named");
            self.news.notify_one();
        }
    }

    /// When no request may begin any more with the weights that an upstream holds.
    #[must_use]
    pub fn weights_term(&self, upstream: &str, now: Instant) -> Option<Instant> {
        let state = self.upstreams.get(upstream)?;
        let catalog = self.catalog.as_ref()?;
        let engine = catalog.service(&state.listing.service)?.engine.as_ref()?;
        let schedule = self.weights.get(&engine.model)?;
        schedule.deadline_of(state.weights(now)?)
    }

    /// Counts a request's first send to `service`.
    pub fn first_send(&mut self, service: &str, now: Instant) {
        self.retry_share(service, now).request();
    }

    /// Takes a repeat for `service` from this entry's share.
    pub fn try_retry(&mut self, service: &str, entries: usize, now: Instant) -> bool {
        self.retry_share(service, now).try_retry(entries, now)
    }

    fn retry_share(&mut self, service: &str, now: Instant) -> &mut RetryShare {
        let retry_limit = self.retry_limit.clone();
        let rate_share = || RetryShare::new(retry_limit, now);
        self.retries
            .entry(service.to_owned())
            .or_insert_with(rate_share)
    }
}
