//! What an agent knows of the fleet: from the store at its start and after long silence, from the
//! entries' signs of life otherwise.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ModelId, RegionId, ServiceId};
use agatepin_core::relay::catalog::{CatalogSpec, EngineSpec, RouteCatalog, WeightsVersion};
use agatepin_core::relay::schedule::WeightsSchedule;
use agatepin_core::relay::sources::PieceAgent;

use crate::relay::datagram::FleetRoster;
use crate::relay::entry_rows::EntryRow;
use crate::relay::ports::{FleetUpdate, MirrorTable, StoreError, TableStore, WireDialect};

/// Silence after which an entry or agent is forgotten.
const PEER_SILENCE: Duration = Duration::from_millis(1_200);

agatepin_core::value_type! {
    /// What the agent's engine is to hold, and where it comes from.
    pub struct LoadPlan {
        /// Model.
        pub model: ModelId,
        /// Version.
        pub version: WeightsVersion,
        /// What the engine is.
        pub engine: EngineSpec,
        /// Origin of weights.
        pub origin: Option<SocketAddr>,
    }
}

/// What an agent knows of the fleet.
#[derive(Debug, Default)]
pub struct FleetView {
    catalog: Option<RouteCatalog>,
    weights: BTreeMap<ModelId, WeightsSchedule>,
    entries: BTreeMap<SocketAddr, (RegionId, Instant)>,
    agents: BTreeMap<SocketAddr, (PieceAgent, Instant)>,
    heard: Option<Instant>,
}

/// Shared view of one agent.
pub type SharedView = Rc<RefCell<FleetView>>;

impl FleetView {
    /// When an entry was last heard.
    #[must_use]
    pub fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// Whether a catalog is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.catalog.is_some()
    }

    /// Takes what an entry tells of the fleet.
    pub fn hear(&mut self, roster: FleetRoster, now: Instant) {
        self.heard = Some(now);
        for entry in &roster.entries {
            let Some((overlay, region)) = roster.locate(entry) else {
                continue;
            };
            self.entries.insert(overlay, (region.clone(), now));
        }
        for known in &roster.agents {
            let Some((overlay, region)) = roster.locate(known) else {
                continue;
            };
            let agent = PieceAgent {
                overlay,
                region: region.clone(),
                holds: Some(known.holds).filter(|version| *version > 0),
            };
            self.agents.insert(overlay, (agent, now));
        }
        for named in roster.weights {
            let age = Duration::from_millis(named.age_ms);
            self.name_weights(&named.model, named.version, age, now);
        }
    }

    /// Takes that `version` of a model was named `age` ago.
    pub fn name_weights(
        &mut self,
        model: &str,
        version: WeightsVersion,
        age: Duration,
        now: Instant,
    ) {
        let schedule = self.weights.entry(model.to_owned()).or_default();
        if schedule.announce(version, age, now) {
            log::info!(model, version; "weights named");
        }
    }

    /// Takes an agent out until it is heard of again.
    pub fn forget(&mut self, agent: SocketAddr) {
        self.agents.remove(&agent);
    }

    /// Oldest version of `model` that may serve now; none while any may.
    #[must_use]
    pub fn required(&self, model: &str, now: Instant) -> Option<WeightsVersion> {
        self.weights.get(model)?.required(now)
    }

    /// Entries that are told the load, with their regions.
    pub fn entries(&mut self, now: Instant) -> impl Iterator<Item = (SocketAddr, &RegionId)> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < PEER_SILENCE;
        self.entries.retain(|_, (_, at)| fresh(at));
        let all = self.entries.iter();
        all.map(|(entry, (region, _))| (*entry, region))
    }

    /// Agents that may have pieces.
    pub fn agents(&mut self, now: Instant) -> Vec<PieceAgent> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < PEER_SILENCE;
        self.agents.retain(|_, (_, at)| fresh(at));
        self.agents
            .values()
            .map(|(agent, _)| agent.clone())
            .collect()
    }

    /// What the engine of `service` is to hold.
    #[must_use]
    pub fn plan(&self, service: &ServiceId) -> Option<LoadPlan> {
        let catalog = self.catalog.as_ref()?;
        let engine = catalog.service(service)?.engine.clone()?;
        let named = self.weights.get(&engine.model);
        let named = named.and_then(WeightsSchedule::newest);
        Some(LoadPlan {
            model: engine.model.clone(),
            version: named.unwrap_or(1),
            engine,
            origin: catalog.origin(),
        })
    }

    fn learn_catalog(&mut self, source: CatalogSpec) {
        let known = self.catalog.as_ref().map(RouteCatalog::version);
        if known.is_none_or(|known| known < source.version) {
            self.catalog = Some(RouteCatalog::from(source));
        }
    }
}

/// Reads tables of the store.
///
/// # Errors
/// The store does not answer as it should.
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
        let read = store.list(table).await?;
        let now = Instant::now();
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
                Ok(fact) => learn(&mut view.borrow_mut(), fact, overlay_port, now),
                Err(err) => log::warn!(table:?, key = row.key, reason = err.0; "row left out"),
            }
        }
    }
    Ok(())
}

fn learn(view: &mut FleetView, fact: FleetUpdate, overlay_port: u16, now: Instant) {
    match fact {
        FleetUpdate::Catalog(source) => view.learn_catalog(*source),
        FleetUpdate::Weights { model, version } => {
            view.name_weights(&model, version, Duration::ZERO, now);
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
