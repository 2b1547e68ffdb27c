//! An agent's view of the fleet: catalog, announced weights, entries and other agents. It is read
//! from the store at the start and after a long time without a roster, and otherwise updated from
//! the rosters that entries send: lists of live entries and agents, and of announced weights.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ModelId, RegionId, ServiceId};
use agatepin_core::relay::catalog::{CatalogSpec, EngineSpec, RouteCatalog, WeightsVersion};
use agatepin_core::relay::load_order::BootTime;
use agatepin_core::relay::row_version::RowVersion;
use agatepin_core::relay::schedule::{VersionDeadlines, WeightsSchedule};
use agatepin_core::relay::sources::PieceAgent;
use rand::seq::IndexedRandom;

use crate::loader::boot_clock::boot_time;
use crate::relay::datagram::FleetRoster;
use crate::relay::entry_rows::EntryRow;
use crate::relay::overlay;
use crate::relay::ports::{
    FleetUpdate, MirrorTable, StoreError, TableRead, TableStore, WireDialect,
};

/// Time after which an entry or agent is removed that neither a roster nor a read of the store has
/// listed again.
const PEER_TTL: Duration = Duration::from_millis(1_200);
/// Time for which this agent remembers that a version was the newest one, beyond the time for which it
/// may still serve after the announcement of the next.
const NEWEST_MARGIN: Duration = Duration::from_millis(2_300);
/// Maximum number of versions for which that is remembered.
const MAX_NEWEST_TIMES: usize = 3;

agatepin_core::value_type! {
    /// Weights that the engine of an agent is to load, and their origin.
    pub struct LoadPlan {
        /// Model that the engine serves.
        pub model: ModelId,
        /// Newest announced version; 1 where none was announced.
        pub version: WeightsVersion,
        /// Properties of the engine, with the number of pieces of a version.
        pub engine: EngineSpec,
        /// Address of the origin, the server of all announced weights; none where the catalog has
        /// no origin.
        pub origin: Option<SocketAddr>,
    }
}

/// An agent's knowledge of the fleet.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Routes, services and origin from the operators' configuration; none until it is read.
    catalog: Option<RouteCatalog>,
    /// Announced weights versions of each model.
    weights: BTreeMap<ModelId, WeightsSchedule>,
    /// When older versions stop serving after an announcement.
    deadlines: VersionDeadlines,
    /// Region of each entry and when it was last listed, by overlay address.
    entries: BTreeMap<SocketAddr, (RegionId, Instant)>,
    /// Agents and when each was last listed, by overlay address.
    agents: BTreeMap<SocketAddr, (PieceAgent, Instant)>,
    /// Version up to which the operators' rows in the view are complete; none before the first read.
    operator_version: Option<RowVersion>,
    /// When the last roster was received; none before the first.
    roster_at: Option<Instant>,
    /// Time of the last roster after which a version was the newest announced one, by model and
    /// version.
    newest_at: BTreeMap<ModelId, BTreeMap<WeightsVersion, BootTime>>,
}

/// View that the tasks of one agent share.
pub type SharedView = Rc<RefCell<FleetView>>;

impl FleetView {
    /// An empty view of a fleet in which older versions stop serving by `deadlines`.
    #[must_use]
    pub fn new(deadlines: VersionDeadlines) -> Self {
        Self {
            deadlines,
            ..Self::default()
        }
    }

    /// When the last roster was received; none before the first.
    #[must_use]
    pub fn roster_at(&self) -> Option<Instant> {
        self.roster_at
    }

    /// Whether a catalog was read.
    #[must_use]
    pub fn has_catalog(&self) -> bool {
        self.catalog.is_some()
    }

    /// Applies the roster that an entry sent at `now`. Entries and agents that are malformed in it
    /// are skipped.
    pub fn apply_roster(&mut self, roster: FleetRoster, now: Instant) {
        self.roster_at = Some(now);
        for entry in &roster.entries {
            let Some((overlay, region)) = roster.locate(entry) else {
                continue;
            };
            self.entries.insert(overlay, (region.clone(), now));
        }
        for listed in &roster.agents {
            let Some((overlay, region)) = roster.locate(listed) else {
                continue;
            };
            let agent = PieceAgent {
                overlay,
                region: region.clone(),
                holds: Some(listed.holds).filter(|version| *version > 0),
            };
            self.agents.insert(overlay, (agent, now));
        }
        for announced in roster.weights {
            let age = Duration::from_millis(announced.age_ms);
            self.record_announcement(&announced.model, announced.version, age, now);
        }
        if roster.knows_weights {
            self.record_newest(boot_time());
        }
    }

    /// Records the newest announced version of each model at the time `at`.
    fn record_newest(&mut self, at: BootTime) {
        for engine in self.catalog.iter().flat_map(RouteCatalog::engines) {
            let schedule = self.weights.get(&engine.model);
            let newest = schedule.and_then(WeightsSchedule::newest);
            let times = self.newest_at.entry(engine.model.clone()).or_default();
            times.insert(newest.unwrap_or_default(), at);
            while times.len() > MAX_NEWEST_TIMES {
                times.pop_first();
            }
        }
    }

    /// Versions that were the newest announced ones of the model of `service` at times in the past,
    /// each with the time since. Those that have not been the newest for longer than older versions may
    /// serve are left out: all entries know the times of announcements after them, or do not need these
    /// any more.
    pub fn newest_versions(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (WeightsVersion, Duration)> {
        let catalog = self.catalog.as_ref();
        let engine = catalog.and_then(|catalog| catalog.service(service)?.engine.as_ref());
        let times = engine.and_then(|engine| self.newest_at.get(&engine.model));
        let now = boot_time();
        let max_age = self.deadlines.deadline + NEWEST_MARGIN;
        times
            .into_iter()
            .flatten()
            .map(move |(version, at)| (*version, now.saturating_sub(*at)))
            .filter(move |(_, age)| *age < max_age)
    }

    /// Records that `version` of a model was announced `age` before `now`.
    pub fn record_announcement(
        &mut self,
        model: &str,
        version: WeightsVersion,
        age: Duration,
        now: Instant,
    ) {
        let deadlines = self.deadlines;
        let schedule = self.weights.entry(model.to_owned());
        let schedule = schedule.or_insert_with(|| WeightsSchedule::new(deadlines));
        if schedule.announce(version, age, now) {
            // Logged once for each version: when this agent first learns of its announcement.
            log::info!(model, version; "weights named");
        }
    }

    /// Removes an agent until the next roster that lists it.
    pub fn remove_agent(&mut self, agent: SocketAddr) {
        self.agents.remove(&agent);
    }

    /// Time from which no request is sent to engines that hold the version `held` of `model`; none if
    /// no newer one is announced.
    #[must_use]
    pub fn cutover_of(&self, model: &str, held: WeightsVersion) -> Option<Instant> {
        self.weights.get(model)?.cutover_of(held)
    }

    /// Entries that load reports are sent to, with their regions. Removes entries that were not
    /// listed for [`PEER_TTL`].
    pub fn entries(&mut self, now: Instant) -> impl Iterator<Item = (SocketAddr, &RegionId)> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < PEER_TTL;
        self.entries.retain(|_, (_, at)| fresh(at));
        let all = self.entries.iter();
        all.map(|(entry, (region, _))| (*entry, region))
    }

    /// Whether an entry of `region` is known.
    pub fn knows_entries(&mut self, region: &str, now: Instant) -> bool {
        !self.entries_in_region(region, now).is_empty()
    }

    /// Entries of `region` that load reports are sent to.
    fn entries_in_region(&mut self, region: &str, now: Instant) -> Vec<SocketAddr> {
        let entries = self.entries(now);
        let same_region = entries.filter(|(_, entry_region)| *entry_region == region);
        same_region.map(|(entry, _)| entry).collect()
    }

    /// Agents that may have pieces. Removes agents that were not listed for [`PEER_TTL`].
    pub fn agents(&mut self, now: Instant) -> Vec<PieceAgent> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < PEER_TTL;
        self.agents.retain(|_, (_, at)| fresh(at));
        self.agents
            .values()
            .map(|(agent, _)| agent.clone())
            .collect()
    }

    /// Names of the agents in the region of `own`, including `own` itself, for the rollout of weights;
    /// empty if nothing is known of the region.
    pub fn rollout_names(&mut self, own: &PieceAgent, now: Instant) -> Vec<String> {
        let agents = self.agents(now);
        let same_region = agents.iter().filter(|agent| agent.region == own.region);
        let mut names: Vec<String> = same_region.map(|agent| agent.overlay.to_string()).collect();
        let has_roster = self
            .roster_at
            .is_some_and(|at| now.saturating_duration_since(at) < PEER_TTL);
        let own_name = own.overlay.to_string();
        if (has_roster || !names.is_empty()) && !names.contains(&own_name) {
            names.push(own_name);
        }
        names
    }

    /// Number of known agents in `region`.
    #[must_use]
    pub fn agents_in_region(&self, region: &str) -> usize {
        let agents = self.agents.values();
        agents.filter(|(agent, _)| agent.region == region).count()
    }

    /// The weights that the engine of `service` is to load; none before the catalog is known and
    /// where it declares no engine for `service`.
    #[must_use]
    pub fn plan(&self, service: &ServiceId) -> Option<LoadPlan> {
        let catalog = self.catalog.as_ref()?;
        let engine = catalog.service(service)?.engine.clone()?;
        let schedule = self.weights.get(&engine.model);
        let announced = schedule.and_then(WeightsSchedule::newest);
        Some(LoadPlan {
            model: engine.model.clone(),
            version: announced.unwrap_or(1),
            engine,
            origin: catalog.origin(),
        })
    }

    /// The announced versions of the model of `service`, oldest first, each with the time from which it may
    /// not serve any more if there is one. Where none was announced, version 1.
    #[must_use]
    pub fn announced_plans(&self, service: &ServiceId) -> Vec<(LoadPlan, Option<Instant>)> {
        let Some(newest) = self.plan(service) else {
            return Vec::new();
        };
        let schedule = self.weights.get(&newest.model);
        let announced = schedule.into_iter().flat_map(|schedule| {
            let versions = schedule.announced(Instant::now());
            versions.map(|(version, _)| (version, schedule.deadline_of(version)))
        });
        let mut plans: Vec<(LoadPlan, Option<Instant>)> = announced
            .map(|(version, deadline)| {
                let plan = LoadPlan {
                    version,
                    ..newest.clone()
                };
                (plan, deadline)
            })
            .collect();
        if plans.is_empty() {
            plans.push((newest, None));
        }
        plans
    }

    /// Time from which the version `held` of `model` may not serve any more; none if no newer one is
    /// announced.
    #[must_use]
    pub fn deadline_of(&self, model: &str, held: WeightsVersion) -> Option<Instant> {
        self.weights.get(model)?.deadline_of(held)
    }

    /// Replaces the catalog if `spec` has a newer version.
    fn update_catalog(&mut self, spec: CatalogSpec) {
        let known = self.catalog.as_ref().map(RouteCatalog::version);
        if known.is_none_or(|known| known < spec.version) {
            self.catalog = Some(RouteCatalog::from(spec));
        }
    }
}

/// Takes the operators' rows (catalog and announced weights) from an entry of `region`, chosen at random,
/// into the view. Returns false if no entry of the region is known, or that one has no rows.
pub async fn pull_operator_rows<Dialect>(
    view: &SharedView,
    dialect: &Dialect,
    region: &str,
    overlay_port: u16,
) -> bool
where
    Dialect: WireDialect,
{
    let table = MirrorTable::Operator;
    let entries = view.borrow_mut().entries_in_region(region, Instant::now());
    let Some(peer) = entries.choose(&mut rand::rng()) else {
        return false;
    };
    let Some(copy) = overlay::pull_rows(*peer, table, RowVersion::default()).await else {
        return false;
    };
    apply_rows(view, dialect, table, copy.read, overlay_port);
    true
}

/// Reads tables of the store into the view, that of the operators from its last read on; rows that
/// cannot be used are skipped. Agents are expected at `overlay_port` of the machines of listed engines.
///
/// # Errors
/// The store cannot be reached, or its response is not valid.
pub async fn read_store<Store, Dialect>(
    view: &SharedView,
    store: &Store,
    dialect: &Dialect,
    overlay_port: u16,
    tables: &[MirrorTable],
) -> Result<(), StoreError>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    for table in tables.iter().copied() {
        let read = if table == MirrorTable::Operator {
            read_operator_rows(view, store).await?
        } else {
            store.list(table).await?
        };
        apply_rows(view, dialect, table, read, overlay_port);
    }
    Ok(())
}

/// Reads the operators' rows that changed since the last read, or all of them if none were read before or
/// the store no longer retains the changes.
async fn read_operator_rows<Store>(
    view: &SharedView,
    store: &Store,
) -> Result<TableRead, StoreError>
where
    Store: TableStore,
{
    let table = MirrorTable::Operator;
    let known = view.borrow().operator_version;
    let Some(after) = known else {
        return store.list(table).await;
    };
    match store.changes_after(table, after, Duration::ZERO).await {
        Err(StoreError::HistoryGone) => store.list(table).await,
        read => read,
    }
}

/// Applies rows of a table to the view; those that cannot be used are skipped.
fn apply_rows<Dialect>(
    view: &SharedView,
    dialect: &Dialect,
    table: MirrorTable,
    read: TableRead,
    overlay_port: u16,
) where
    Dialect: WireDialect,
{
    let now = Instant::now();
    if table == MirrorTable::Operator {
        view.borrow_mut().operator_version = Some(read.version);
    }
    for row in read.rows {
        if table == MirrorTable::Entries {
            let listing = row.value.as_ref().map(|value| EntryRow::parse(value));
            if let Some(Ok(listing)) = listing {
                let entry = (listing.region, now);
                view.borrow_mut().entries.insert(listing.overlay, entry);
            }
            continue;
        }
        match dialect.read_row(table, &row) {
            Ok(update) => apply_update(&mut view.borrow_mut(), update, overlay_port, now),
            Err(err) => log::warn!(table:?, key = row.key, reason = err.0; "row skipped"),
        }
    }
}

fn apply_update(view: &mut FleetView, update: FleetUpdate, overlay_port: u16, now: Instant) {
    match update {
        FleetUpdate::Catalog(spec) => view.update_catalog(*spec),
        FleetUpdate::Weights { model, version } => {
            view.record_announcement(&model, version, Duration::ZERO, now);
        }
        FleetUpdate::Upstream(_, listing) if listing.weights.is_some() => {
            let overlay = SocketAddr::new(listing.address.ip(), overlay_port);
            let region: RegionId = listing.region;
            let agent = PieceAgent {
                overlay,
                region,
                holds: listing.weights,
            };
            view.agents.insert(overlay, (agent, now));
        }
        _ => {}
    }
}
