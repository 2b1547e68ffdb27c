//! Brings the wanted weights into memory and passes them on to peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use agatepin_core::chunk_mesh;
use agatepin_core::ids::{ContentDigest, InstanceId};
use agatepin_core::manifest::WeightManifest;
use agatepin_core::placement::Placement;
use agatepin_core::planner::{ChunkIndex, ChunkSource, PlannedRequest};
use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use super::clients::{OriginClient, WeightError};
use super::links::{LinkNumber, LinkTable};
use super::metrics::{ChunkOrigin, WeightMetrics};
use super::store::ChunkStore;
use super::target::{self, FetchTarget};
use super::uploads::{SharedBudget, UploadOrder, UploadQueues};
use crate::agent::shared::AgentShared;
use crate::wire::frames::{ChunkData, ChunkQuery, ChunkRequest, frame::Body};
use crate::wire::link::PeerLink;

const QUEUE_EVENTS: usize = 256;
const TICK: Duration = Duration::from_millis(20);
const MANIFEST_RETRY: Duration = Duration::from_millis(500);
/// Links opened to import chunks, besides those to neighbours.
const MAX_IMPORT_LINKS: usize = 32;
/// Time between two looks at the links.
const LINK_INTERVAL: Duration = Duration::from_millis(500);

/// Weights that the engine should serve.
#[derive(Clone, Debug)]
pub(super) struct WantedWeights {
    /// Their manifest.
    pub(super) manifest: Arc<WeightManifest>,
    /// All chunks are held and verified.
    pub(super) complete: bool,
    /// Agents that want the same weights and come before this one in the order of swaps, and all.
    pub(super) turn: (usize, usize),
}

/// What happens on links and at the origin.
#[derive(Debug)]
pub(super) enum PeerEvent {
    /// Dialing has ended.
    Dialed {
        instance: InstanceId,
        link: Option<Box<PeerLink>>,
    },
    /// A frame arrived.
    Frame {
        instance: InstanceId,
        number: LinkNumber,
        body: Box<Body>,
    },
    /// A link has closed.
    Closed {
        instance: InstanceId,
        number: LinkNumber,
    },
    /// The origin gave a manifest.
    Manifest {
        placement: Placement,
        manifest: Box<WeightManifest>,
    },
    /// The origin answered for a chunk.
    OriginChunk {
        total_digest: ContentDigest,
        index: ChunkIndex,
        data: Result<Bytes, WeightError>,
    },
}

/// Distribution at one agent.
pub(super) struct WeightDistributor {
    shared: Arc<AgentShared>,
    store: ChunkStore,
    metrics: WeightMetrics,
    origin: OriginClient,
    origin_budget: SharedBudget,
    uploads: UploadQueues,
    links: LinkTable,
    events: mpsc::Sender<PeerEvent>,
    placement: Option<Placement>,
    target: Option<FetchTarget>,
    wanted: watch::Sender<Option<WantedWeights>>,
    inventory_changed: bool,
    links_checked: Option<Instant>,
    next_request: u64,
}

/// Runs the distribution until the process stops.
pub(super) async fn run(
    shared: Arc<AgentShared>,
    store: ChunkStore,
    metrics: WeightMetrics,
    mut accepted: mpsc::UnboundedReceiver<PeerLink>,
    wanted: watch::Sender<Option<WantedWeights>>,
    mut served: watch::Receiver<Option<ContentDigest>>,
) {
    let (events, mut arrived) = mpsc::channel(QUEUE_EVENTS);
    let mut config = shared.context.config.clone();
    let mut members = shared.context.members.clone();
    let stopped = shared.context.stopped.clone();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut distributor = WeightDistributor::new(shared, store, metrics, events, wanted);
    distributor.update_target();
    loop {
        tokio::select! {
            () = stopped.cancelled() => return,
            Some(event) = arrived.recv() => distributor.handle(event),
            Some(link) = accepted.recv() => distributor.add_link(link, false),
            Ok(()) = config.changed() => distributor.update_target(),
            Ok(()) = members.changed() => distributor.update_target(),
            Ok(()) = served.changed() => {
                let digest = *served.borrow_and_update();
                distributor.drop_old(digest);
            }
            _ = ticks.tick() => distributor.tick(),
        }
        distributor.request_chunks();
    }
}

impl WeightDistributor {
    fn new(
        shared: Arc<AgentShared>,
        store: ChunkStore,
        metrics: WeightMetrics,
        events: mpsc::Sender<PeerEvent>,
        wanted: watch::Sender<Option<WantedWeights>>,
    ) -> Self {
        let settings = &shared.settings;
        let uploads = UploadQueues::start(&settings.weights, &store, &shared.context.stopped);
        Self {
            origin: OriginClient::new(&settings.platform),
            origin_budget: SharedBudget::new(settings.weights.origin_bytes),
            uploads,
            links: LinkTable::new(shared.clone(), events.clone()),
            events,
            placement: None,
            target: None,
            wanted,
            inventory_changed: false,
            links_checked: None,
            next_request: 0,
            store,
            metrics,
            shared,
        }
    }

    /// Works out the placement anew, and the agents that want the same weights.
    fn update_target(&mut self) {
        let config = self.shared.context.config.borrow().clone();
        if config.revision == 0 {
            return;
        }
        let members = self.shared.context.members.borrow().clone();
        let view = target::look(&self.shared, &config, &members);
        if view.placement != self.placement {
            self.placement.clone_from(&view.placement);
            self.target = None;
            self.fetch_manifest();
            if self.placement.is_none() {
                self.wanted.send_replace(None);
            }
        }
        if let Some(target) = &mut self.target {
            target.set_agents(view.agents);
        }
        self.links_checked = None;
    }

    fn fetch_manifest(&self) {
        let Some(placement) = self.placement.clone() else {
            return;
        };
        let origin = self.origin.clone();
        let events = self.events.clone();
        let mut config = self.shared.context.config.clone();
        let name = self.shared.settings.upstream.name.clone();
        let stopped = self.shared.context.stopped.clone();
        let fetching = async move {
            loop {
                match origin.manifest(&placement).await {
                    Ok(manifest) => {
                        let manifest = Box::new(manifest);
                        let event = PeerEvent::Manifest {
                            placement,
                            manifest,
                        };
                        let _ = events.send(event).await;
                        return;
                    }
                    Err(err) => log::debug!(upstream = name; "manifest not fetched: {err}"),
                }
                let version = config
                    .borrow_and_update()
                    .models
                    .get(&placement.model)
                    .cloned();
                if version.is_none_or(|spec| spec.version != placement.version) {
                    return;
                }
                tokio::time::sleep(MANIFEST_RETRY).await;
            }
        };
        actix_rt::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => (),
                () = fetching => (),
            }
        });
    }

    fn take_manifest(&mut self, placement: &Placement, manifest: WeightManifest) {
        if self.placement.as_ref() != Some(placement) || self.target.is_some() {
            return;
        }
        if manifest.total_bytes() > self.shared.settings.weights.memory_bytes {
            let (model, version) = (&manifest.model, &manifest.version);
            log::error!(model, version; "weights do not fit into memory_bytes");
            return;
        }
        self.store.want(&manifest);
        let config = self.shared.context.config.borrow().clone();
        let members = self.shared.context.members.borrow().clone();
        let view = target::look(&self.shared, &config, &members);
        let target = FetchTarget::new(&self.shared, manifest, view, &self.store);
        self.target = Some(target);
        self.links_checked = None;
        self.inventory_changed = true;
        self.publish();
        self.ask_inventories(None);
    }

    fn handle(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Dialed { instance, link } => {
                self.links.dialed(&instance);
                if let Some(link) = link {
                    self.add_link(*link, true);
                }
            }
            PeerEvent::Frame {
                instance,
                number,
                body,
            } => self.take_frame(&instance, number, *body),
            PeerEvent::Closed { instance, number } => {
                if self.links.remove(&instance, number)
                    && let Some(target) = &mut self.target
                {
                    target.planner.remove_peer(&instance);
                }
            }
            PeerEvent::Manifest {
                placement,
                manifest,
            } => self.take_manifest(&placement, *manifest),
            PeerEvent::OriginChunk {
                total_digest,
                index,
                data,
            } => self.take_origin_chunk(total_digest, index, data),
        }
    }

    fn add_link(&mut self, link: PeerLink, outgoing: bool) {
        let instance = link.peer.instance.clone();
        if !self.links.add(link, outgoing) {
            return;
        }
        if let Some(target) = &mut self.target {
            target.planner.remove_peer(&instance);
        }
        self.ask_inventories(Some(&instance));
    }

    /// Asks one peer or all which chunks they hold, and tells them which are held here.
    fn ask_inventories(&self, instance: Option<&str>) {
        let Some(target) = &self.target else {
            return;
        };
        let query = Body::ChunkQuery(ChunkQuery {
            manifest_digest: target.manifest.total_digest.to_string(),
        });
        for body in [query, target.inventory()] {
            match instance {
                Some(instance) => _ = self.links.send(instance, body),
                None => self.links.send_all(&body),
            }
        }
    }

    fn take_frame(&mut self, instance: &str, number: LinkNumber, body: Body) {
        let Some(link) = self.links.get(instance, number) else {
            return;
        };
        match body {
            Body::ChunkQuery(query) => {
                if let Some(target) = &self.target
                    && query.manifest_digest == target.manifest.total_digest.to_string()
                {
                    self.links.send(instance, target.inventory());
                }
            }
            Body::ChunkInventory(inventory) => {
                let config = self.shared.context.config.borrow().clone();
                if let Some(target) = &mut self.target {
                    let peer = target::planner_peer(&config, instance, &link.peer.data_centre);
                    target.take_inventory(&peer, &inventory);
                }
            }
            Body::ChunkRequest(request) => {
                let config = self.shared.context.config.borrow().clone();
                let own = &self.shared.context.identity.data_centre;
                let abroad =
                    target::region(&config, own) != target::region(&config, &link.peer.data_centre);
                let order = UploadOrder {
                    request,
                    sender: link.sender.clone(),
                    data_centre: link.peer.data_centre.clone(),
                };
                self.uploads.push(order, abroad);
            }
            Body::ChunkData(data) => {
                let config = self.shared.context.config.borrow().clone();
                let own = &self.shared.context.identity.data_centre;
                let origin = target::chunk_origin(&config, own, &link.peer.data_centre);
                self.take_chunk(instance, origin, data);
            }
            Body::ChunkMissing(missing) => {
                if let Some(target) = &mut self.target {
                    for index in target.indices(&missing.digest) {
                        target.planner.chunk_missing(index, instance);
                    }
                }
            }
            _ => link.sender.close(),
        }
    }

    fn take_chunk(&mut self, instance: &str, origin: ChunkOrigin, chunk: ChunkData) {
        self.metrics.received(origin, chunk.data.len());
        let Some(target) = &mut self.target else {
            return;
        };
        let Some(index) = target.indices(&chunk.digest).first().copied() else {
            return;
        };
        if self.keep(index, chunk.data) {
            return;
        }
        self.metrics.corrupt(origin);
        let asked = ChunkSource::Peer(instance.to_owned());
        if let Some(target) = &mut self.target
            && target.planner.source_of(index) == Some(&asked)
        {
            log::warn!(peer = instance, chunk = index; "corrupt chunk from peer");
            target.planner.chunk_failed(index, Instant::now());
        }
    }

    fn take_origin_chunk(
        &mut self,
        total_digest: ContentDigest,
        index: ChunkIndex,
        data: Result<Bytes, WeightError>,
    ) {
        let current = self.target.as_ref();
        if current.is_none_or(|target| target.manifest.total_digest != total_digest) {
            return;
        }
        if let Ok(data) = data {
            self.metrics.received(ChunkOrigin::Origin, data.len());
            if self.keep(index, data) {
                return;
            }
            self.metrics.corrupt(ChunkOrigin::Origin);
        }
        if let Some(target) = &mut self.target {
            target.planner.chunk_failed(index, Instant::now());
        }
    }

    /// Keeps a chunk of the target if its bytes are right.
    fn keep(&mut self, index: ChunkIndex, data: Bytes) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        let chunk = target.manifest.chunks[index];
        if data.len() as u64 != chunk.bytes || !self.store.insert(chunk.digest, data) {
            return false;
        }
        for index in target.indices(chunk.digest.as_bytes()) {
            target.planner.chunk_held(index, Instant::now());
        }
        self.inventory_changed = true;
        if target.planner.missing() == 0 {
            self.publish();
        }
        true
    }

    /// Tells the engine's driver what is wanted, and the counters how far it is.
    fn publish(&self) {
        let Some(target) = &self.target else {
            return;
        };
        let complete = target.planner.missing() == 0 && self.store.verify(&target.manifest);
        self.wanted.send_replace(Some(WantedWeights {
            manifest: target.manifest.clone(),
            complete,
            turn: target.turn(&self.shared.context.identity.instance),
        }));
    }

    fn drop_old(&self, served: Option<ContentDigest>) {
        let current = self
            .target
            .as_ref()
            .map(|target| target.manifest.total_digest);
        if served.is_some() && served == current {
            self.store.evict();
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let check = self
            .links_checked
            .is_none_or(|last| now.saturating_duration_since(last) >= LINK_INTERVAL);
        if check {
            self.links_checked = Some(now);
            self.dial_neighbours();
            self.ask_again();
        }
        let Some(target) = &mut self.target else {
            return;
        };
        target.planner.expire(now);
        let total = target.planner.total();
        let held = total - target.planner.missing();
        self.shared
            .chunks_held
            .store(count(held), Ordering::Relaxed);
        self.shared
            .chunks_wanted
            .store(count(total), Ordering::Relaxed);
        if std::mem::take(&mut self.inventory_changed) {
            let inventory = target.inventory();
            self.links.send_all(&inventory);
        }
    }

    /// Asks for inventories again, as a peer that was too busy for a request counts as without the
    /// chunk until it says that it has it.
    fn ask_again(&self) {
        let missing = |target: &FetchTarget| target.planner.missing() > 0;
        if self.target.as_ref().is_some_and(missing) {
            self.ask_inventories(None);
        }
    }

    fn dial_neighbours(&mut self) {
        let Some(target) = &self.target else {
            return;
        };
        let members = self.shared.context.members.borrow().clone();
        let mut wanted = chunk_mesh::neighbours(&target.own, &target.agents);
        wanted.extend(target.planner.required_peers(MAX_IMPORT_LINKS));
        for instance in wanted {
            if let Some(member) = members.find(&instance) {
                self.links.dial(&instance, member.wire);
            }
        }
    }

    fn request_chunks(&mut self) {
        let Some(target) = &mut self.target else {
            return;
        };
        let now = Instant::now();
        while let Some(PlannedRequest { chunk, source }) = target.planner.next(now) {
            let spec = target.manifest.chunks[chunk];
            match source {
                ChunkSource::Peer(instance) => {
                    self.next_request += 1;
                    let request = Body::ChunkRequest(ChunkRequest {
                        number: self.next_request,
                        digest: Bytes::copy_from_slice(spec.digest.as_bytes()),
                    });
                    if !self.links.send(&instance, request) {
                        target.planner.chunk_missing(chunk, &instance);
                    }
                }
                ChunkSource::Origin => {
                    let origin = self.origin.clone();
                    let budget = self.origin_budget.clone();
                    let events = self.events.clone();
                    let total_digest = target.manifest.total_digest;
                    actix_rt::spawn(async move {
                        budget.take(spec.bytes).await;
                        let data = origin.chunk(spec.digest).await;
                        if data.is_err() {
                            tokio::time::sleep(MANIFEST_RETRY).await;
                        }
                        let event = PeerEvent::OriginChunk {
                            total_digest,
                            index: chunk,
                            data,
                        };
                        let _ = events.send(event).await;
                    });
                }
            }
        }
    }
}

fn count(chunks: usize) -> u32 {
    u32::try_from(chunks).unwrap_or(u32::MAX)
}
