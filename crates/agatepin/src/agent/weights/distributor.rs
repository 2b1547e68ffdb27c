//! Distribution of weights: fetches the chunks of the wanted version from peers and the origin into
//! memory, and sends chunks to peers that request them.

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
use super::metrics::{SourceKind, WeightMetrics};
use super::store::ChunkStore;
use super::target::{self, FetchTarget};
use super::uploads::{QueuedUpload, SharedBudget, UploadQueues};
use crate::agent::shared::AgentShared;
use crate::wire::frames::{ChunkData, ChunkQuery, ChunkRequest, frame::Body};
use crate::wire::link::PeerLink;

/// Capacity of the event queue; while it is full, the senders of events wait.
const MAX_QUEUED_EVENTS: usize = 256;
/// Interval at which request timeouts are checked and a changed inventory is sent to peers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after a failed request to the origin until the next one for the same manifest or chunk.
const ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of links that are opened to import chunks from other data centres or regions,
/// besides those to neighbours in the mesh.
const MAX_IMPORT_LINKS: usize = 32;
/// Interval at which missing links are opened and, while chunks are missing, the inventories of
/// peers are requested again.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Weights that the engine should serve, with the progress of fetching them.
#[derive(Clone, Debug)]
pub(super) struct WantedWeights {
    /// Manifest of the weights.
    pub(super) manifest: Arc<WeightManifest>,
    /// Whether all chunks are in memory and verified.
    pub(super) complete: bool,
    /// Number of agents that swap to these weights before this agent, and number of all agents that
    /// should hold these weights.
    pub(super) swap_position: (usize, usize),
}

/// Events from links and from the origin.
#[derive(Debug)]
pub(super) enum DistributionEvent {
    /// The attempt to open a link has ended; `link` is `None` if it failed.
    Dialed {
        instance: InstanceId,
        link: Option<Box<PeerLink>>,
    },
    /// A frame arrived from a peer on the link `number`.
    Frame {
        instance: InstanceId,
        number: LinkNumber,
        body: Box<Body>,
    },
    /// The link `number` to a peer has closed.
    Closed {
        instance: InstanceId,
        number: LinkNumber,
    },
    /// The manifest of `placement` was fetched from the origin.
    Manifest {
        placement: Placement,
        manifest: Box<WeightManifest>,
    },
    /// A request to the origin has ended, for the chunk at position `index` of the manifest with
    /// `total_digest`.
    OriginChunk {
        total_digest: ContentDigest,
        index: ChunkIndex,
        data: Result<Bytes, WeightError>,
    },
}

/// Distribution of weights at one agent.
pub(super) struct WeightDistributor {
    shared: Arc<AgentShared>,
    store: ChunkStore,
    metrics: WeightMetrics,
    origin: OriginClient,
    origin_budget: SharedBudget,
    uploads: UploadQueues,
    links: LinkTable,
    events: mpsc::Sender<DistributionEvent>,
    /// Model and version whose weights the upstream should hold; `None` if it should hold none.
    placement: Option<Placement>,
    /// Weights of `placement` with the progress of fetching them; `None` until their manifest has
    /// been fetched.
    target: Option<FetchTarget>,
    /// Publishes the wanted weights to the driver of the engine.
    wanted: watch::Sender<Option<WantedWeights>>,
    /// Whether chunks were added since peers were last sent the inventory, the list of the chunks
    /// that this agent holds.
    inventory_changed: bool,
    /// Time at which missing links were last opened; `None` if they are to be opened on the next
    /// tick.
    last_link_check: Option<Instant>,
    /// Sequence number of the chunk request sent last; 0 before the first.
    last_request: u64,
}

/// Runs the distribution until the process stops. `accepted` are the links that peers open;
/// `served` is the total digest of the weights that the engine serves.
pub(super) async fn run(
    shared: Arc<AgentShared>,
    store: ChunkStore,
    metrics: WeightMetrics,
    mut accepted: mpsc::UnboundedReceiver<PeerLink>,
    wanted: watch::Sender<Option<WantedWeights>>,
    mut served: watch::Receiver<Option<ContentDigest>>,
) {
    let (events, mut events_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut config = shared.context.config.clone();
    let mut members = shared.context.members.clone();
    let stopped = shared.context.stopped.clone();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut distributor = WeightDistributor::new(shared, store, metrics, events, wanted);
    distributor.update_target();
    loop {
        tokio::select! {
            () = stopped.cancelled() => return,
            Some(event) = events_rx.recv() => distributor.handle_event(event),
            Some(link) = accepted.recv() => distributor.add_link(link, false),
            Ok(()) = config.changed() => distributor.update_target(),
            Ok(()) = members.changed() => distributor.update_target(),
            Ok(()) = served.changed() => {
                let digest = *served.borrow_and_update();
                distributor.evict_unwanted(digest);
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
        events: mpsc::Sender<DistributionEvent>,
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
            last_link_check: None,
            last_request: 0,
            store,
            metrics,
            shared,
        }
    }

    /// Computes anew which model and version the upstream should hold (its placement), and which
    /// agents should hold the same weights. If the placement has changed, fetches the new manifest.
    fn update_target(&mut self) {
        let config = self.shared.context.config.borrow().clone();
        if config.revision == 0 {
            return;
        }
        let members = self.shared.context.members.borrow().clone();
        let view = target::compute_view(&self.shared, &config, &members);
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
        self.last_link_check = None;
    }

    /// Starts to fetch the manifest of the placement. Retries until the configuration asks for
    /// another version of the model.
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
                        let event = DistributionEvent::Manifest {
                            placement,
                            manifest,
                        };
                        let _ = events.send(event).await;
                        return;
                    }
                    Err(err) => {
                        log::debug!(upstream = name; "cannot fetch manifest from the origin: {err}");
                    }
                }
                let version = config
                    .borrow_and_update()
                    .models
                    .get(&placement.model)
                    .cloned();
                if version.is_none_or(|spec| spec.version != placement.version) {
                    return;
                }
                tokio::time::sleep(ORIGIN_RETRY_DELAY).await;
            }
        };
        actix_rt::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => (),
                () = fetching => (),
            }
        });
    }

    /// Starts to fetch the chunks of a manifest, if it is that of the current placement.
    fn handle_manifest(&mut self, placement: &Placement, manifest: WeightManifest) {
        if self.placement.as_ref() != Some(placement) || self.target.is_some() {
            return;
        }
        if manifest.total_bytes() > self.shared.settings.weights.memory_bytes {
            let (model, version) = (&manifest.model, &manifest.version);
            log::error!(model, version; "weights are larger than the setting memory_bytes and are not fetched");
            return;
        }
        self.store.set_wanted(&manifest);
        let config = self.shared.context.config.borrow().clone();
        let members = self.shared.context.members.borrow().clone();
        let view = target::compute_view(&self.shared, &config, &members);
        let target = FetchTarget::new(&self.shared, manifest, view, &self.store);
        self.target = Some(target);
        self.last_link_check = None;
        self.inventory_changed = true;
        self.publish_wanted();
        self.request_inventories(None);
    }

    fn handle_event(&mut self, event: DistributionEvent) {
        match event {
            DistributionEvent::Dialed { instance, link } => {
                self.links.dial_ended(&instance);
                if let Some(link) = link {
                    self.add_link(*link, true);
                }
            }
            DistributionEvent::Frame {
                instance,
                number,
                body,
            } => self.handle_frame(&instance, number, *body),
            DistributionEvent::Closed { instance, number } => {
                if self.links.remove(&instance, number)
                    && let Some(target) = &mut self.target
                {
                    target.planner.remove_peer(&instance);
                }
            }
            DistributionEvent::Manifest {
                placement,
                manifest,
            } => self.handle_manifest(&placement, *manifest),
            DistributionEvent::OriginChunk {
                total_digest,
                index,
                data,
            } => self.handle_origin_chunk(total_digest, index, data),
        }
    }

    /// Adds a link, and exchanges inventories with the peer.
    fn add_link(&mut self, link: PeerLink, outgoing: bool) {
        let instance = link.peer.instance.clone();
        if !self.links.add(link, outgoing) {
            return;
        }
        if let Some(target) = &mut self.target {
            target.planner.remove_peer(&instance);
        }
        self.request_inventories(Some(&instance));
    }

    /// Requests the inventory of one peer, or of all if `instance` is `None`, and sends them the
    /// inventory of this agent.
    fn request_inventories(&self, instance: Option<&str>) {
        let Some(target) = &self.target else {
            return;
        };
        let query = Body::ChunkQuery(ChunkQuery {
            manifest_digest: target.manifest.total_digest.to_string(),
        });
        for body in [query, target.inventory()] {
            match instance {
                Some(instance) => _ = self.links.send(instance, body),
                None => self.links.broadcast(&body),
            }
        }
    }

    fn handle_frame(&mut self, instance: &str, number: LinkNumber, body: Body) {
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
                    target.apply_inventory(&peer, &inventory);
                }
            }
            Body::ChunkRequest(request) => {
                let config = self.shared.context.config.borrow().clone();
                let own = &self.shared.context.identity.data_centre;
                let to_other_region =
                    target::region(&config, own) != target::region(&config, &link.peer.data_centre);
                let upload = QueuedUpload {
                    request,
                    sender: link.sender.clone(),
                    data_centre: link.peer.data_centre.clone(),
                };
                self.uploads.push(upload, to_other_region);
            }
            Body::ChunkData(data) => {
                let config = self.shared.context.config.borrow().clone();
                let own = &self.shared.context.identity.data_centre;
                let kind = target::source_kind(&config, own, &link.peer.data_centre);
                self.handle_chunk(instance, kind, data);
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

    /// Stores a chunk that a peer sent. If it is corrupt and was requested from that peer, the
    /// planner requests it elsewhere.
    fn handle_chunk(&mut self, instance: &str, kind: SourceKind, chunk: ChunkData) {
        self.metrics.count_received(kind, chunk.data.len());
        let Some(target) = &mut self.target else {
            return;
        };
        let Some(index) = target.indices(&chunk.digest).first().copied() else {
            return;
        };
        if self.store_chunk(index, chunk.data) {
            return;
        }
        self.metrics.count_corrupt(kind);
        let requested_from = ChunkSource::Peer(instance.to_owned());
        if let Some(target) = &mut self.target
            && target.planner.source_of(index) == Some(&requested_from)
        {
            log::warn!(peer = instance, chunk = index; "received a corrupt chunk from peer; requesting it again");
            target.planner.chunk_failed(index, Instant::now());
        }
    }

    /// Stores a chunk of the manifest with `total_digest` from the origin. If the request failed or
    /// the chunk is corrupt, the planner requests it again.
    fn handle_origin_chunk(
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
            self.metrics.count_received(SourceKind::Origin, data.len());
            if self.store_chunk(index, data) {
                return;
            }
            self.metrics.count_corrupt(SourceKind::Origin);
        }
        if let Some(target) = &mut self.target {
            target.planner.chunk_failed(index, Instant::now());
        }
    }

    /// Stores a chunk of the target if its size and digest are right; returns whether it is stored.
    fn store_chunk(&mut self, index: ChunkIndex, data: Bytes) -> bool {
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
            self.publish_wanted();
        }
        true
    }

    /// Publishes the wanted weights to the driver of the engine.
    fn publish_wanted(&self) {
        let Some(target) = &self.target else {
            return;
        };
        let complete = target.planner.missing() == 0 && self.store.verify(&target.manifest);
        self.wanted.send_replace(Some(WantedWeights {
            manifest: target.manifest.clone(),
            complete,
            swap_position: target.swap_position(&self.shared.context.identity.instance),
        }));
    }

    /// Evicts the chunks of earlier versions once the engine serves the target.
    fn evict_unwanted(&self, served: Option<ContentDigest>) {
        let current = self
            .target
            .as_ref()
            .map(|target| target.manifest.total_digest);
        if served.is_some() && served == current {
            self.store.evict();
        }
    }

    /// Does the periodic work: opens links, ends requests that time out, and publishes progress.
    fn tick(&mut self) {
        let now = Instant::now();
        let check = self
            .last_link_check
            .is_none_or(|last| now.saturating_duration_since(last) >= LINK_CHECK_INTERVAL);
        if check {
            self.last_link_check = Some(now);
            self.dial_neighbours();
            self.refresh_inventories();
        }
        let Some(target) = &mut self.target else {
            return;
        };
        target.planner.expire(now);
        let total = target.planner.total();
        let held = total - target.planner.missing();
        self.shared
            .chunks_held
            .store(saturating_u32(held), Ordering::Relaxed);
        self.shared
            .chunks_wanted
            .store(saturating_u32(total), Ordering::Relaxed);
        if std::mem::take(&mut self.inventory_changed) {
            let inventory = target.inventory();
            self.links.broadcast(&inventory);
        }
    }

    /// Requests the inventories again while chunks are missing. A peer that was too busy to send a
    /// chunk counts as not having it until its next inventory.
    fn refresh_inventories(&self) {
        let missing = |target: &FetchTarget| target.planner.missing() > 0;
        if self.target.as_ref().is_some_and(missing) {
            self.request_inventories(None);
        }
    }

    /// Opens links to the neighbours in the chunk mesh (the agents that this agent exchanges chunks
    /// with), and to the peers that chunks are imported from.
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

    /// Sends all requests that the planner allows now.
    fn request_chunks(&mut self) {
        let Some(target) = &mut self.target else {
            return;
        };
        let now = Instant::now();
        while let Some(PlannedRequest { chunk, source }) = target.planner.next(now) {
            let spec = target.manifest.chunks[chunk];
            match source {
                ChunkSource::Peer(instance) => {
                    self.last_request += 1;
                    let request = Body::ChunkRequest(ChunkRequest {
                        number: self.last_request,
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
                            tokio::time::sleep(ORIGIN_RETRY_DELAY).await;
                        }
                        let event = DistributionEvent::OriginChunk {
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

fn saturating_u32(chunks: usize) -> u32 {
    u32::try_from(chunks).unwrap_or(u32::MAX)
}
