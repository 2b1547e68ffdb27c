//! The weights that an agent should hold, the other agents that should hold them, and the progress
//! of fetching them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::config::ClusterConfig;
use agatepin_core::ids::{ContentDigest, UpstreamId};
use agatepin_core::manifest::WeightManifest;
use agatepin_core::member::{MemberRole, MemberView};
use agatepin_core::placement::{self, Placement};
use agatepin_core::planner::{ChunkIndex, ChunkPlanner, PlannerPeer, PlannerPolicy};
use agatepin_core::rank;

use super::encoding;
use super::metrics::SourceKind;
use super::store::ChunkStore;
use crate::agent::shared::AgentShared;
use crate::wire::frames::{ChunkInventory, frame::Body};

/// Lower bound of [`PlannerPolicy::max_request_timeout`], which is otherwise four times the setting
/// `takeover`.
const MIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Placement of weights that follows from the configuration and the live members of the cluster.
#[derive(Debug)]
pub(super) struct PlacementView {
    /// Weights that this agent's upstream should hold; `None` if it should hold none.
    pub(super) placement: Option<Placement>,
    /// Live agents that should hold the same model. The first one is this agent.
    pub(super) agents: Vec<PlannerPeer>,
}

/// Weights that are being fetched into memory, or are there already.
#[derive(Debug)]
pub(super) struct FetchTarget {
    /// Manifest of the weights.
    pub(super) manifest: Arc<WeightManifest>,
    /// Plans the requests for chunks.
    pub(super) planner: ChunkPlanner,
    /// Instance name, data centre and region of this agent.
    pub(super) own: PlannerPeer,
    /// Live agents that should hold the same weights, this one included.
    pub(super) agents: Vec<PlannerPeer>,
    /// Positions of each chunk in the manifest, by digest; a manifest may contain the same chunk
    /// more than once.
    indices: HashMap<ContentDigest, Vec<ChunkIndex>>,
}

/// Computes what this agent's upstream should hold, and which live agents should hold the same.
pub(super) fn compute_view(
    shared: &AgentShared,
    config: &ClusterConfig,
    members: &MemberView,
) -> PlacementView {
    let own = &shared.settings.upstream.name;
    let identity = &shared.context.identity;
    let live = live_upstreams(config, members, own);
    let mut placed = placement::place_all(config, &live);
    let model = placed.get(own).cloned();
    let placement = placement::place(config, &live, own);
    placed.retain(|_, held| Some(&*held) == model.as_ref());
    let mut agents = vec![planner_peer(
        config,
        &identity.instance,
        &identity.data_centre,
    )];
    for member in members.live(MemberRole::Agent) {
        let upstream = member.upstream.as_ref();
        let wants = upstream.is_some_and(|name| placed.contains_key(name));
        if wants && member.instance != identity.instance {
            agents.push(planner_peer(config, &member.instance, &member.data_centre));
        }
    }
    PlacementView { placement, agents }
}

/// Returns the upstreams with a live agent. While some live agent has not announced its upstream
/// yet, all upstreams count as live, so that no model is moved to other upstreams while agents
/// start.
fn live_upstreams(
    config: &ClusterConfig,
    members: &MemberView,
    own: &UpstreamId,
) -> BTreeSet<UpstreamId> {
    let mut live = BTreeSet::from([own.clone()]);
    for member in members.live(MemberRole::Agent) {
        let Some(upstream) = &member.upstream else {
            return config.upstreams.keys().cloned().collect();
        };
        live.insert(upstream.clone());
    }
    live
}

/// Returns a planner's view of the agent `instance`, with the region of its data centre.
pub(super) fn planner_peer(
    config: &ClusterConfig,
    instance: &str,
    data_centre: &str,
) -> PlannerPeer {
    PlannerPeer {
        instance: instance.to_owned(),
        data_centre: data_centre.to_owned(),
        region: region(config, data_centre).to_owned(),
    }
}

/// Returns the region of a data centre; empty if `config` does not declare the data centre.
pub(super) fn region<'a>(config: &'a ClusterConfig, data_centre: &str) -> &'a str {
    let spec = config.data_centres.get(data_centre);
    spec.map_or("", |spec| spec.region.as_str())
}

/// Returns the kind of source that a peer in the data centre `peer` is for an agent in `own`.
pub(super) fn source_kind(config: &ClusterConfig, own: &str, peer: &str) -> SourceKind {
    if own == peer {
        return SourceKind::DataCentre;
    }
    if region(config, own) == region(config, peer) {
        return SourceKind::Region;
    }
    SourceKind::OtherRegion
}

impl FetchTarget {
    /// Creates a target. Chunks of `manifest` that are in `store` count as held.
    pub(super) fn new(
        shared: &AgentShared,
        manifest: WeightManifest,
        view: PlacementView,
        store: &ChunkStore,
    ) -> Self {
        let settings = &shared.settings.weights;
        let policy = PlannerPolicy {
            max_open_requests: settings.parallel_chunks,
            takeover: settings.takeover,
            max_request_timeout: MIN_REQUEST_TIMEOUT.max(settings.takeover * 4),
        };
        let now = Instant::now();
        let own = view.agents[0].clone();
        let mut planner = ChunkPlanner::new(&manifest, own.clone(), policy, now);
        let mut indices: HashMap<ContentDigest, Vec<ChunkIndex>> = HashMap::new();
        for (index, chunk) in manifest.chunks.iter().enumerate() {
            indices.entry(chunk.digest).or_default().push(index);
            if store.contains(&chunk.digest) {
                planner.chunk_held(index, now);
            }
        }
        let mut target = Self {
            manifest: Arc::new(manifest),
            planner,
            own,
            agents: Vec::new(),
            indices,
        };
        target.set_agents(view.agents);
        target
    }

    /// Replaces the agents that should hold the same weights.
    pub(super) fn set_agents(&mut self, agents: Vec<PlannerPeer>) {
        if self.agents == agents {
            return;
        }
        self.planner.set_agents(&agents);
        self.agents = agents;
    }

    /// Returns the positions of the chunk with `digest` in the manifest; empty if the manifest does
    /// not contain the chunk.
    pub(super) fn indices(&self, digest: &[u8]) -> Vec<ChunkIndex> {
        let digest = ContentDigest::from_slice(digest);
        let known = digest.and_then(|digest| self.indices.get(&digest));
        known.cloned().unwrap_or_default()
    }

    /// Returns the frame that tells peers which chunks this agent holds.
    pub(super) fn inventory(&self) -> Body {
        let held = self.planner.held();
        Body::ChunkInventory(ChunkInventory {
            manifest_digest: self.manifest.total_digest.to_string(),
            chunks: u32::try_from(held.len()).unwrap_or(u32::MAX),
            held: encoding::pack_bits(&held).into(),
        })
    }

    /// Applies a peer's inventory, if it is of the same manifest.
    pub(super) fn apply_inventory(&mut self, peer: &PlannerPeer, inventory: &ChunkInventory) {
        if inventory.manifest_digest != self.manifest.total_digest.to_string() {
            return;
        }
        let now = Instant::now();
        let held = encoding::unpack_bits(&inventory.held, self.planner.total());
        self.planner.add_peer(peer, now);
        self.planner.set_inventory(&peer.instance, &held, now);
    }

    /// Returns the number of agents that come before `instance` in the order in which the agents
    /// swap to this version, and the number of all agents.
    pub(super) fn swap_position(&self, instance: &str) -> (usize, usize) {
        let key = self.manifest.total_digest;
        let score = |name: &str| rank::score(key.as_bytes(), name);
        let own = score(instance);
        let ahead = |agent: &&PlannerPeer| score(&agent.instance) > own;
        (self.agents.iter().filter(ahead).count(), self.agents.len())
    }
}
