//! What an agent should hold, who else wants it, and how far it is.

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

use super::metrics::ChunkOrigin;
use super::store::ChunkStore;
use super::wire;
use crate::agent::shared::AgentShared;
use crate::wire::frames::{ChunkInventory, frame::Body};

const MIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// What the configuration and the members say.
#[derive(Debug)]
pub(super) struct TargetView {
    /// What the own upstream should hold.
    pub(super) placement: Option<Placement>,
    /// Live agents that should hold the same, the own one included.
    pub(super) agents: Vec<PlannerPeer>,
}

/// Weights on their way into memory.
#[derive(Debug)]
pub(super) struct FetchTarget {
    /// Their manifest.
    pub(super) manifest: Arc<WeightManifest>,
    /// Plans the requests.
    pub(super) planner: ChunkPlanner,
    /// The own agent.
    pub(super) own: PlannerPeer,
    /// Live agents that want the same, the own one included.
    pub(super) agents: Vec<PlannerPeer>,
    indices: HashMap<ContentDigest, Vec<ChunkIndex>>,
}

/// Works out what the own upstream should hold, and who else should hold it.
pub(super) fn look(
    shared: &AgentShared,
    config: &ClusterConfig,
    members: &MemberView,
) -> TargetView {
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
    TargetView { placement, agents }
}

/// Upstreams with a live agent. While some agent has not announced its upstream yet, all upstreams
/// count as live, so that a start moves no model.
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

/// An agent with the region of its data centre.
pub(super) fn planner_peer(config: &ClusterConfig, instance: &str, centre: &str) -> PlannerPeer {
    PlannerPeer {
        instance: instance.to_owned(),
        data_centre: centre.to_owned(),
        region: region(config, centre).to_owned(),
    }
}

/// Region of a data centre; empty where it is not declared.
pub(super) fn region<'a>(config: &'a ClusterConfig, data_centre: &str) -> &'a str {
    let spec = config.data_centres.get(data_centre);
    spec.map_or("", |spec| spec.region.as_str())
}

/// Where chunks from a peer in the data centre `peer` come from.
pub(super) fn chunk_origin(config: &ClusterConfig, own: &str, peer: &str) -> ChunkOrigin {
    if own == peer {
        return ChunkOrigin::DataCentre;
    }
    if region(config, own) == region(config, peer) {
        return ChunkOrigin::Region;
    }
    ChunkOrigin::Abroad
}

impl FetchTarget {
    /// A target of which the chunks in `store` are held already.
    pub(super) fn new(
        shared: &AgentShared,
        manifest: WeightManifest,
        view: TargetView,
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

    /// Takes the agents that want the same.
    pub(super) fn set_agents(&mut self, agents: Vec<PlannerPeer>) {
        if self.agents == agents {
            return;
        }
        self.planner.set_agents(&agents);
        self.agents = agents;
    }

    /// Positions of the chunk with `digest`.
    pub(super) fn indices(&self, digest: &[u8]) -> Vec<ChunkIndex> {
        let digest = ContentDigest::from_slice(digest);
        let known = digest.and_then(|digest| self.indices.get(&digest));
        known.cloned().unwrap_or_default()
    }

    /// Frame that says which chunks are held.
    pub(super) fn inventory(&self) -> Body {
        let held = self.planner.held();
        Body::ChunkInventory(ChunkInventory {
            manifest_digest: self.manifest.total_digest.to_string(),
            chunks: u32::try_from(held.len()).unwrap_or(u32::MAX),
            held: wire::pack_bits(&held).into(),
        })
    }

    /// Takes a peer's inventory, if it is of the same manifest.
    pub(super) fn take_inventory(&mut self, peer: &PlannerPeer, inventory: &ChunkInventory) {
        if inventory.manifest_digest != self.manifest.total_digest.to_string() {
            return;
        }
        let now = Instant::now();
        let held = wire::unpack_bits(&inventory.held, self.planner.total());
        self.planner.add_peer(peer, now);
        self.planner.set_inventory(&peer.instance, &held, now);
    }

    /// Number of agents before `instance` in the order of swaps, and of all.
    pub(super) fn turn(&self, instance: &str) -> (usize, usize) {
        let key = self.manifest.total_digest;
        let score = |name: &str| rank::score(key.as_bytes(), name);
        let own = score(instance);
        let ahead = |agent: &&PlannerPeer| score(&agent.instance) > own;
        (self.agents.iter().filter(ahead).count(), self.agents.len())
    }
}
