//! State of the fleet as one entry knows it, shared by all tasks of the entry.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ModelId, RegionId, ServiceId};
use agatepin_core::relay::admission_level::AdmissionLevel;
use agatepin_core::relay::catalog::{CallerTimeouts, RouteCatalog, WeightsVersion};
use agatepin_core::relay::liveness::EntryDirectory;
use agatepin_core::relay::part_evidence::PartKey;
use agatepin_core::relay::part_tracker::PartTracker;
use agatepin_core::relay::rate_share::{RetryLimit, RetryShare};
use agatepin_core::relay::readers::ReaderDirectory;
use agatepin_core::relay::request_suspects::RequestSuspects;
use agatepin_core::relay::schedule::{VersionDeadlines, WeightsSchedule};
use agatepin_core::relay::shutdown::ShutdownTimes;
use agatepin_core::relay::upstream_rates::UpstreamRates;
use agatepin_core::relay::upstreams::UpstreamDirectory;
use agatepin_core::relay::wait_line::WaitLine;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::relay::admit::SlotRequest;
use crate::relay::connection_timer::TimeoutSource;
use crate::relay::ports::{FleetUpdate, MirrorTable};

agatepin_core::value_type! {
    /// State of an agent, from its last report.
    pub struct AgentState {
        /// Region of the agent.
        pub region: RegionId,
        /// Version of the weights of which the agent holds all pieces; none if there is no such
        /// version.
        pub holds: Option<WeightsVersion>,
        /// Time of the agent's last report.
        pub last_seen: Instant,
    }
}

/// When the changes of a row were made that are applied now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowTime {
    /// Just now: the row arrived as soon as it changed.
    Now,
    /// At an unknown time, after this one if it is given.
    After(Option<Instant>),
}

/// State of the fleet as one entry knows it.
pub struct FleetState {
    /// Routes, services and customers in force; none until the first read.
    pub catalog: Option<Rc<RouteCatalog>>,
    /// Upstreams with their state and load.
    pub upstreams: UpstreamDirectory,
    /// The list of upstreams has been read.
    pub upstreams_read: bool,
    /// Versions of weights that operators announced, by model.
    pub weights: BTreeMap<ModelId, WeightsSchedule>,
    /// When older versions stop serving after an announcement.
    deadlines: VersionDeadlines,
    /// Other entries, with their last heartbeats.
    pub entries: EntryDirectory,
    /// Agents that report to this entry, by overlay address.
    pub agents: HashMap<SocketAddr, AgentState>,
    /// This entry's shares of the request rates of upstreams that are cold (in their cold start) or
    /// state a limit.
    pub rates: UpstreamRates,
    /// Suspects: requests that crashed upstreams.
    pub suspects: RequestSuspects,
    /// Evidence on parts of prompts whose requests crash upstreams.
    pub parts: PartTracker,
    /// Parts that another entry suspects although this one knows that they are sound, by its overlay
    /// address.
    pub part_replies: BTreeMap<SocketAddr, BTreeSet<PartKey>>,
    /// Wakes the broadcaster to tell other entries of parts at once.
    pub parts_due: Rc<Notify>,
    /// Times of the graceful shutdown, once it has begun.
    pub shutdown: Option<ShutdownTimes>,
    /// Wakes the broadcaster, to send heartbeats and rosters without waiting for the next interval.
    pub heartbeat_due: Rc<Notify>,
    /// State of the other entries' copies of the store's tables, and which of these entries read
    /// the store.
    pub table_copies: ReaderDirectory<MirrorTable>,
    /// Wakes the broadcaster after an answer showed that an upstream's limit changed.
    pub limits_changed: Rc<Notify>,
    /// Wakes the broadcaster after changed rows were read from the store.
    pub rows_read: Rc<Notify>,
    /// Wakes tasks that wait for changes in other entries' copies of the tables.
    pub peer_rows_changed: Rc<Notify>,
    /// Requests that wait for a slot, by service.
    pub lines: HashMap<ServiceId, WaitLine<SlotRequest>>,
    /// Admission levels, by service.
    pub levels: HashMap<ServiceId, AdmissionLevel>,
    /// Limit of the retries that all entries together may send.
    retry_limit: RetryLimit,
    /// This entry's share of `retry_limit`, by service.
    retries: HashMap<ServiceId, RetryShare>,
}

/// Handle to the shared state of an entry; clones refer to the same state.
#[derive(Clone)]
pub struct FleetHandle {
    /// State that all clones of the handle share.
    state: Rc<RefCell<FleetState>>,
    /// Wakes the task that gives free slots to waiting requests.
    pub slot_freed: Rc<Notify>,
    /// Whether that task runs.
    pub serves_lines: Rc<Cell<bool>>,
    /// Whether this entry's requests in flight changed since its last report to other entries.
    pub unreported: Rc<Cell<bool>>,
    /// Cancelled when the requests still in progress are ended: the process is about to exit.
    pub stopping: CancellationToken,
}

/// Limits of the catalog.
impl TimeoutSource for FleetHandle {
    fn timeouts(&self) -> CallerTimeouts {
        self.with(|fleet| {
            let catalog = fleet.catalog.as_ref();
            catalog.map(|catalog| catalog.limits().timeouts)
        })
        .unwrap_or_default()
    }
}

impl FleetHandle {
    /// Creates an empty state. `retry_limit` is the limit of the retries that all entries together may
    /// send, and `deadlines` tells when older weights stop serving.
    #[must_use]
    pub fn new(retry_limit: RetryLimit, deadlines: VersionDeadlines) -> Self {
        let state = FleetState {
            catalog: None,
            upstreams: UpstreamDirectory::default(),
            upstreams_read: false,
            weights: BTreeMap::new(),
            deadlines,
            entries: EntryDirectory::default(),
            agents: HashMap::new(),
            rates: UpstreamRates::new(rand::random()),
            suspects: RequestSuspects::default(),
            parts: PartTracker::default(),
            part_replies: BTreeMap::new(),
            parts_due: Rc::default(),
            shutdown: None,
            heartbeat_due: Rc::default(),
            table_copies: ReaderDirectory::default(),
            limits_changed: Rc::default(),
            rows_read: Rc::default(),
            peer_rows_changed: Rc::default(),
            lines: HashMap::new(),
            levels: HashMap::new(),
            retry_limit,
            retries: HashMap::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            slot_freed: Rc::new(Notify::new()),
            serves_lines: Rc::default(),
            unreported: Rc::default(),
            stopping: CancellationToken::new(),
        }
    }

    /// Marks this entry's requests in flight as changed since its last report to other entries, and
    /// gives free slots to waiting requests.
    pub fn notify_requests_changed(&self) {
        self.unreported.set(true);
        self.slot_freed.notify_one();
    }

    /// Runs `act` on the state.
    ///
    /// # Panics
    /// `act` calls this method again: the state is borrowed meanwhile.
    pub fn with<Act, Out>(&self, act: Act) -> Out
    where
        Act: FnOnce(&mut FleetState) -> Out,
    {
        act(&mut self.state.borrow_mut())
    }

    /// Whether this entry accepts requests: it has a catalog and the list of upstreams, and is not
    /// shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.with(|fleet| {
            fleet.catalog.is_some() && fleet.upstreams_read && fleet.shutdown.is_none()
        })
    }
}

impl FleetState {
    /// Applies an update that was read from a row of the platform store's tables. With `may_have_lapsed`,
    /// upstreams may be missing in the list only because their rows expired while the store was
    /// unreachable; they stay in use for a grace period. `changed` is the time of the row's change.
    pub fn apply(
        &mut self,
        update: FleetUpdate,
        may_have_lapsed: bool,
        changed: RowTime,
        now: Instant,
    ) {
        match update {
            FleetUpdate::Catalog(source) => self.apply_catalog(RouteCatalog::from(*source)),
            FleetUpdate::Upstream(id, listing) => {
                let known = self.upstreams.get(&id).map(|state| state.listing.draining);
                if known != Some(listing.draining) {
                    let draining = listing.draining;
                    log::info!(upstream = id, draining, service = listing.service; "upstream listed");
                }
                self.upstreams.list(&id, listing, now);
            }
            FleetUpdate::UpstreamRemoved(id) => {
                // `may_have_lapsed`: the row may only have expired while the store was unreachable, and
                // the upstream stays in use for a grace period.
                log::info!(upstream = id, may_have_lapsed; "upstream left the list");
                self.upstreams.unlist(&id, may_have_lapsed);
            }
            FleetUpdate::Evacuated(data_centre) => {
                // Operators took the data centre out of use (evacuation).
                log::info!(data_centre; "data centre taken out");
                self.upstreams.evacuate(&data_centre, true);
            }
            FleetUpdate::Restored(data_centre) => {
                // Operators put the data centre back into use.
                log::info!(data_centre; "data centre back");
                self.upstreams.evacuate(&data_centre, false);
            }
            FleetUpdate::Weights { model, version } => match changed {
                RowTime::Now => self.record_weights(&model, version, Duration::ZERO, now),
                RowTime::After(after) => {
                    self.record_undated_weights(&model, version, after, now);
                }
            },
            FleetUpdate::Ignored => {}
        }
    }

    /// Whether `update`, read from a copy that the store came back from, takes back a later change: the
    /// removal of its row if `was_removed`, that an upstream leaves or has started again, or an
    /// evacuation.
    #[must_use]
    pub fn takes_back(&self, update: &FleetUpdate, was_removed: bool) -> bool {
        match update {
            FleetUpdate::Upstream(id, listing) => match self.upstreams.get(id) {
                Some(state) => {
                    let known = &state.listing;
                    let is_same_life = known.born == listing.born;
                    listing.born < known.born || is_same_life && known.draining && !listing.draining
                }
                None => was_removed,
            },
            FleetUpdate::Evacuated(data_centre) => {
                was_removed && !self.upstreams.is_evacuated(data_centre)
            }
            FleetUpdate::Restored(data_centre) => self.upstreams.is_evacuated(data_centre),
            FleetUpdate::Catalog(_)
            | FleetUpdate::UpstreamRemoved(_)
            | FleetUpdate::Weights { .. }
            | FleetUpdate::Ignored => false,
        }
    }

    /// Puts `catalog` in force unless the present one has the same or a newer version.
    fn apply_catalog(&mut self, catalog: RouteCatalog) {
        let old = self.catalog.as_ref().map(|known| known.version());
        let new = catalog.version();
        if old.is_some_and(|old| old >= new) {
            return;
        }
        // `old` and `new` are versions of the catalog; requests are routed by `new` from now on.
        log::info!(old:?, new; "catalog in force");
        self.catalog = Some(Rc::new(catalog));
    }

    /// Schedule of a model's weights, an empty one if none was announced yet.
    fn schedule(&mut self, model: &str) -> &mut WeightsSchedule {
        let deadlines = self.deadlines;
        let schedule = self.weights.entry(model.to_owned());
        schedule.or_insert_with(|| WeightsSchedule::new(deadlines))
    }

    /// Records that `version` of a model was announced `age` ago.
    pub fn record_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        age: Duration,
        now: Instant,
    ) {
        let schedule = self.schedule(model);
        if schedule.announce(version, age, now) {
            // Logged once for each version: when this entry first learns of its announcement.
            log::info!(model, version; "weights named");
            self.heartbeat_due.notify_one();
        }
    }

    /// Records that `version` of a model was announced at an unknown time, after `after` if that is
    /// given.
    fn record_undated_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        after: Option<Instant>,
        now: Instant,
    ) {
        let schedule = self.schedule(model);
        if schedule.announce_undated(version, after, now) {
            // `after_ms`: the announcement is not older than this, if that is known.
            let after_ms = after.map(|after| now.saturating_duration_since(after).as_millis());
            log::info!(model, version, after_ms:?; "weights named at an unknown time");
            self.heartbeat_due.notify_one();
        }
    }

    /// Records that no weights newer than `newest` were announced at the time `at` for the engine at
    /// `engine`, by its agent.
    pub fn record_newest_weights(
        &mut self,
        engine: SocketAddr,
        newest: WeightsVersion,
        at: Instant,
    ) {
        let service = self.upstreams.service_at(engine);
        let catalog = self.catalog.as_ref();
        let spec = service.and_then(|service| catalog?.service(service)?.engine.as_ref());
        if let Some(schedule) = spec.and_then(|spec| self.weights.get_mut(&spec.model)) {
            schedule.record_newest(newest, at);
        }
    }

    /// Time from which no request may start with the weights that `upstream` holds. None while no
    /// newer version is announced, and for an upstream that is unknown or has no weights.
    #[must_use]
    pub fn weights_deadline(&self, upstream: &str, now: Instant) -> Option<Instant> {
        let state = self.upstreams.get(upstream)?;
        let catalog = self.catalog.as_ref()?;
        let engine = catalog.service(&state.listing.service)?.engine.as_ref()?;
        let schedule = self.weights.get(&engine.model)?;
        schedule.deadline_of(state.weights(now)?)
    }

    /// Records for how long a complete answer took its slot at `upstream`.
    pub fn record_answer_time(&mut self, upstream: &str, time: Duration) {
        let Some(state) = self.upstreams.get(upstream) else {
            return;
        };
        let service = state.listing.service.clone();
        self.lines.entry(service).or_default().record_answer(time);
    }

    /// Counts a request for `service`, which raises the number of permitted retries.
    pub fn count_request(&mut self, service: &str, now: Instant) {
        self.retry_share(service, now).record_request();
    }

    /// Takes a retry for `service` from the share of this entry, which is one of `entries`. Returns
    /// false if the share is used up.
    pub fn try_retry(&mut self, service: &str, entries: usize, now: Instant) -> bool {
        self.retry_share(service, now).try_retry(entries, now)
    }

    /// This entry's share of the retry limit for `service`, created on first use.
    fn retry_share(&mut self, service: &str, now: Instant) -> &mut RetryShare {
        let retry_limit = self.retry_limit.clone();
        let new_share = || RetryShare::new(retry_limit, now);
        self.retries
            .entry(service.to_owned())
            .or_insert_with(new_share)
    }
}
