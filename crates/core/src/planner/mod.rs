//! Planning of chunk requests: which chunk to ask for next, and from which source.
//!
//! For each chunk, all agents compute the same ranking of the agents that want the manifest. The
//! first agent overall fetches the chunk from the origin, which stores the weights of all models,
//! the first of each region from another region and the first of each data centre from another data
//! centre. Every other agent waits for a peer in its own data centre. After each takeover time in
//! which neither the agent nor any linked peer receives a chunk, one more agent in the ranking may
//! request the chunk in place of the first.

mod ranks;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, InstanceId, RegionId};
use crate::manifest::WeightManifest;
use crate::rank;

use self::ranks::{FetcherScopes, HolderDistance, OwnRank, RankedAgent, choose_fetchers, own_rank};

/// Position of a chunk in its manifest.
pub type ChunkIndex = usize;

/// Maximum number of open requests to one peer; a request is open from when it is sent until it is
/// answered, fails or times out.
const MAX_PER_PEER: usize = 4;
/// Maximum number of open requests of this agent to the origin.
const MAX_AT_ORIGIN: usize = 2;
/// A request to a peer counts as lost after this multiple of the longest recent wait for a chunk.
const TIMEOUT_FACTOR: u32 = 4;
/// Factor by which the longest recent wait is multiplied for each chunk received.
const WAIT_DECAY: f64 = 0.9;
/// Maximum number of chunks examined in each queue for one request. If none of them has a usable
/// source, the planner sends nothing until the next event.
const MAX_EXAMINED: usize = 32;
/// The time for which a peer is demoted (not asked for chunks) doubles with each fault, from the
/// takeover time up to the takeover time multiplied by this power of two.
const MAX_FAULT_SHIFT: u32 = 6;

value_type! {
    /// An agent that wants the chunks of a manifest.
    pub struct PlannerPeer {
        /// Name of the agent.
        pub instance: InstanceId,
        /// Data centre of the agent.
        pub data_centre: DataCentreId,
        /// Region of the data centre.
        pub region: RegionId,
    }

    /// Limits of a planner.
    #[derive(Copy)]
    pub struct PlannerPolicy {
        /// Maximum number of open requests to all sources together.
        pub max_open_requests: usize,
        /// Time without progress after which one more agent in a chunk's ranking may request the
        /// chunk. No progress means that neither this agent nor a linked peer received a chunk.
        pub takeover: Duration,
        /// Upper bound of the time after which a request to a peer counts as lost.
        pub max_request_timeout: Duration,
    }

    /// Where a chunk is requested from.
    #[derive(PartialOrd, Ord)]
    pub enum ChunkSource {
        /// The linked agent of this name.
        Peer(InstanceId),
        /// The origin, which stores the weights of all models.
        Origin,
    }

    /// A request that the caller must send.
    pub struct PlannedRequest {
        /// Chunk to ask for.
        pub chunk: ChunkIndex,
        /// Where to send the request.
        pub source: ChunkSource,
    }

    struct OpenRequest {
        source: ChunkSource,
        /// When the request was planned and sent.
        sent_at: Instant,
    }
}

#[derive(Debug, Default)]
struct ChunkRecord {
    /// Hash of the chunk's digest, from which the agents are ranked for the chunk.
    seed: u64,
    /// Hash of the chunk and this agent that orders chunks and peers which are otherwise equal,
    /// differently for each agent.
    tie_break: u64,
    /// Whether this agent holds the chunk, verified.
    held: bool,
    /// Whether a request for the chunk is open.
    requested: bool,
    /// Number of agents that rank before this one for the chunk, by scope.
    rank: OwnRank,
    /// Number of linked peers that hold the chunk, in the own data centre, in other data
    /// centres of the own region and in other regions.
    holders: [u32; 3],
}

#[derive(Debug)]
struct LinkedPeer {
    distance: HolderDistance,
    /// Hash of the peer's name.
    seed: u64,
    /// For each chunk, whether the peer holds it as far as this agent knows.
    held: Vec<bool>,
    /// Chunks that the peer sent corrupt; it is never asked for them again.
    rejected: BTreeSet<ChunkIndex>,
    /// Number of open requests to the peer.
    open_requests: usize,
    /// Number of corrupt chunks from the peer and of requests that it did not answer in time.
    faults: u32,
    /// Time until which the peer is not asked for chunks.
    demoted_until: Instant,
}

/// Number of agents that rank before this one for the chunk, number of the chunk's nearest holders,
/// tie-break value and index of the chunk.
type QueueKey = (u32, u32, u64, ChunkIndex);

/// Plans the requests of one agent for one manifest.
#[derive(Debug)]
pub struct ChunkPlanner {
    /// This agent.
    own: PlannerPeer,
    policy: PlannerPolicy,
    /// Hash of the manifest's total digest.
    manifest_seed: u64,
    chunks: Vec<ChunkRecord>,
    /// The other agents that want the manifest, in the order in which they were passed last.
    ranked_agents: Vec<InstanceId>,
    /// Agents that this one has a link to.
    peers: BTreeMap<InstanceId, LinkedPeer>,
    open_requests: BTreeMap<ChunkIndex, OpenRequest>,
    /// Chunks that are neither held nor requested, by distance of the nearest holder. In each
    /// queue, the chunks with the fewest agents ahead of this one come first, then the rarest.
    queues: [BTreeSet<QueueKey>; 4],
    /// Number of chunks that this agent does not hold.
    missing: usize,
    /// Number of open requests to the origin.
    open_origin_requests: usize,
    /// Longest recent wait for a chunk from peers in the own data centre, and for one from peers in
    /// other data centres of the own region; `None` before the first chunk. No waits are recorded
    /// for peers in other regions.
    longest_waits: [Option<Duration>; 2],
    /// When this agent or a linked peer last received a chunk.
    last_progress: Instant,
}

impl ChunkPlanner {
    /// Returns a planner for an agent that holds no chunk and has no linked peer.
    #[must_use]
    pub fn new(
        manifest: &WeightManifest,
        own: PlannerPeer,
        policy: PlannerPolicy,
        now: Instant,
    ) -> Self {
        let own_seed = rank::seed(own.instance.as_bytes());
        let mut planner = Self {
            own,
            policy,
            manifest_seed: rank::seed(manifest.total_digest.as_bytes()),
            chunks: Vec::with_capacity(manifest.chunks.len()),
            ranked_agents: Vec::new(),
            peers: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            queues: std::array::from_fn(|_| BTreeSet::new()),
            missing: manifest.chunks.len(),
            open_origin_requests: 0,
            longest_waits: [None; 2],
            last_progress: now,
        };
        for (index, chunk) in manifest.chunks.iter().enumerate() {
            let seed = rank::seed(chunk.digest.as_bytes());
            planner.chunks.push(ChunkRecord {
                seed,
                tie_break: rank::score_seeds(seed, own_seed),
                ..ChunkRecord::default()
            });
            planner.enqueue(index);
        }
        planner
    }

    /// Returns the number of chunks that are not held yet.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Returns the number of chunks in the manifest.
    #[must_use]
    pub fn total(&self) -> usize {
        self.chunks.len()
    }

    /// Returns for each chunk whether it is held.
    #[must_use]
    pub fn held(&self) -> Vec<bool> {
        self.chunks.iter().map(|chunk| chunk.held).collect()
    }

    /// Replaces the live agents that want the manifest, and ranks this agent among them.
    pub fn set_agents(&mut self, agents: &[PlannerPeer]) {
        let mut others = Vec::with_capacity(agents.len());
        self.ranked_agents.clear();
        for agent in agents {
            if agent.instance == self.own.instance {
                continue;
            }
            let seed = rank::seed(agent.instance.as_bytes());
            others.push(RankedAgent {
                seed,
                distance: self.distance(&agent.data_centre, &agent.region),
                fetches: FetcherScopes::default(),
            });
            self.ranked_agents.push(agent.instance.clone());
        }
        let mut own = RankedAgent {
            seed: rank::seed(self.own.instance.as_bytes()),
            distance: HolderDistance::DataCentre,
            fetches: FetcherScopes::default(),
        };
        choose_fetchers(self.manifest_seed, &mut own, &mut others);
        for index in 0..self.chunks.len() {
            self.dequeue(index);
            self.chunks[index].rank = own_rank(self.chunks[index].seed, own, &others);
            self.enqueue(index);
        }
    }

    /// Returns the agents, at most `limit`, that this agent needs links to for the missing chunks
    /// that it imports. For a chunk that it imports into its region, that is the agent that fetches
    /// it from the origin; for one that it imports into its data centre only, the agent that
    /// imports it into the region.
    #[must_use]
    pub fn required_peers(&self, limit: usize) -> BTreeSet<InstanceId> {
        let mut required = BTreeSet::new();
        for chunk in &self.chunks {
            let rank = &chunk.rank;
            if chunk.held {
                continue;
            }
            let first = match (rank.centre, rank.region, rank.system) {
                (_, _, 0) => continue,
                (_, 0, _) => rank.system_first,
                (0, _, _) => rank.region_first,
                _ => continue,
            };
            if let Some(instance) = self.ranked_agents.get(first) {
                required.insert(instance.clone());
            }
            if required.len() >= limit {
                break;
            }
        }
        required
    }

    /// Adds a linked peer whose inventory (the chunks that it holds) is not known yet. A peer that
    /// was added before is left unchanged.
    pub fn add_peer(&mut self, peer: &PlannerPeer, now: Instant) {
        if self.peers.contains_key(&peer.instance) || peer.instance == self.own.instance {
            return;
        }
        let linked = LinkedPeer {
            distance: self.distance(&peer.data_centre, &peer.region),
            seed: rank::seed(peer.instance.as_bytes()),
            held: vec![false; self.chunks.len()],
            rejected: BTreeSet::new(),
            open_requests: 0,
            faults: 0,
            demoted_until: now,
        };
        self.peers.insert(peer.instance.clone(), linked);
    }

    /// Removes a peer whose link is closed. Its open requests end, so that the chunks can be
    /// requested elsewhere.
    pub fn remove_peer(&mut self, instance: &str) {
        let Some(peer) = self.peers.remove(instance) else {
            return;
        };
        for (index, held) in peer.held.iter().enumerate() {
            if *held {
                self.count_holder(index, peer.distance, false);
            }
        }
        let source = ChunkSource::Peer(instance.to_owned());
        self.close_all(|request| request.source == source);
    }

    /// Replaces the inventory of a linked peer. Chunks beyond the end of `held` count as not held.
    pub fn set_inventory(&mut self, instance: &str, held: &[bool], now: Instant) {
        let Some(mut peer) = self.peers.remove(instance) else {
            return;
        };
        for (index, known) in peer.held.iter_mut().enumerate() {
            let holds = held.get(index).copied().unwrap_or(false);
            let holds = holds && !peer.rejected.contains(&index);
            if holds == *known {
                continue;
            }
            *known = holds;
            self.count_holder(index, peer.distance, holds);
            if holds {
                self.last_progress = now;
            }
        }
        self.peers.insert(instance.to_owned(), peer);
    }

    /// Records that a chunk was verified and is held here.
    pub fn chunk_held(&mut self, index: ChunkIndex, now: Instant) {
        if let Some(request) = self.close(index) {
            self.record_wait(&request, now);
        }
        let Some(chunk) = self.chunks.get(index) else {
            return;
        };
        if chunk.held {
            return;
        }
        self.dequeue(index);
        self.chunks[index].held = true;
        self.missing -= 1;
        self.last_progress = now;
    }

    /// Returns where the open request for the chunk was sent, if there is one.
    #[must_use]
    pub fn source_of(&self, index: ChunkIndex) -> Option<&ChunkSource> {
        self.open_requests
            .get(&index)
            .map(|request| &request.source)
    }

    /// Records that a peer lacks a chunk that it was asked for, or is too busy to send it. The peer
    /// is not asked for the chunk again before its next inventory.
    pub fn chunk_missing(&mut self, index: ChunkIndex, instance: &str) {
        self.unmark_held(instance, index);
        let asked = ChunkSource::Peer(instance.to_owned());
        if self.source_of(index) == Some(&asked) {
            self.close(index);
        }
    }

    /// Records that the open request for the chunk failed, at the origin or because of corrupt
    /// bytes. A peer that sent corrupt bytes is demoted and not asked for the chunk again.
    pub fn chunk_failed(&mut self, index: ChunkIndex, now: Instant) {
        let Some(request) = self.close(index) else {
            return;
        };
        let ChunkSource::Peer(instance) = request.source else {
            return;
        };
        self.reject(&instance, index);
        self.demote(&instance, now);
    }

    /// Ends the requests that peers have not answered in time, and demotes these peers. A request
    /// to the origin stays open until [`Self::chunk_held`] or [`Self::chunk_failed`] ends it.
    pub fn expire(&mut self, now: Instant) {
        let mut late = Vec::new();
        for (index, request) in &self.open_requests {
            let waited = now.saturating_duration_since(request.sent_at);
            if self
                .timeout(request)
                .is_some_and(|timeout| waited >= timeout)
            {
                late.push(*index);
            }
        }
        for index in late {
            let Some(request) = self.close(index) else {
                continue;
            };
            let source = request.source;
            if let ChunkSource::Peer(instance) = source {
                self.demote(&instance, now);
            }
        }
    }

    /// Returns the next request to send, which counts as open from now on. `None` means that there
    /// is nothing to send before the next event or the next takeover time.
    pub fn next(&mut self, now: Instant) -> Option<PlannedRequest> {
        if self.open_requests.len() >= self.policy.max_open_requests {
            return None;
        }
        let stalled = now.saturating_duration_since(self.last_progress);
        let (chunk, source) = self.find_request(stalled, now)?;
        self.dequeue(chunk);
        self.chunks[chunk].requested = true;
        match &source {
            ChunkSource::Origin => self.open_origin_requests += 1,
            ChunkSource::Peer(instance) => {
                if let Some(peer) = self.peers.get_mut(instance) {
                    peer.open_requests += 1;
                }
            }
        }
        let request = OpenRequest {
            source: source.clone(),
            sent_at: now,
        };
        self.open_requests.insert(chunk, request);
        Some(PlannedRequest { chunk, source })
    }

    /// Finds a chunk that may be requested, from the nearest source possible. `stalled` is the time
    /// since this agent or a linked peer last received a chunk.
    fn find_request(&self, stalled: Duration, now: Instant) -> Option<(ChunkIndex, ChunkSource)> {
        for (distance, queue) in self.queues.iter().enumerate() {
            for (agents_ahead, _, _, index) in queue.iter().take(MAX_EXAMINED) {
                if stalled < self.policy.takeover * *agents_ahead {
                    break;
                }
                if distance == HolderDistance::Origin as usize {
                    if self.open_origin_requests >= MAX_AT_ORIGIN {
                        break;
                    }
                    return Some((*index, ChunkSource::Origin));
                }
                if let Some(instance) = self.find_holder(*index, distance, now) {
                    return Some((*index, ChunkSource::Peer(instance.clone())));
                }
            }
        }
        None
    }

    /// Finds the peer at `distance` that holds the chunk, is not demoted and has the fewest open
    /// requests.
    fn find_holder(&self, index: ChunkIndex, distance: usize, now: Instant) -> Option<&InstanceId> {
        let tie_break = self.chunks[index].tie_break;
        let mut best = None;
        for (instance, peer) in &self.peers {
            if !peer.held[index] || peer.distance as usize != distance {
                continue;
            }
            if peer.open_requests >= MAX_PER_PEER || peer.demoted_until > now {
                continue;
            }
            let key = (
                peer.open_requests,
                peer.faults,
                rank::score_seeds(tie_break, peer.seed),
            );
            if best.is_none_or(|(known, _)| key < known) {
                best = Some((key, instance));
            }
        }
        best.map(|(_, instance)| instance)
    }

    /// Returns the distance of an agent in the given data centre and region from this one.
    fn distance(&self, data_centre: &str, region: &str) -> HolderDistance {
        if data_centre == self.own.data_centre {
            return HolderDistance::DataCentre;
        }
        if region == self.own.region {
            return HolderDistance::Region;
        }
        HolderDistance::OtherRegion
    }

    /// Counts one more holder of the chunk at `distance`, or one less if not `added`.
    fn count_holder(&mut self, index: ChunkIndex, distance: HolderDistance, added: bool) {
        self.dequeue(index);
        let count = &mut self.chunks[index].holders[distance as usize];
        if added {
            *count += 1;
        } else {
            *count -= 1;
        }
        self.enqueue(index);
    }

    /// Distance of the peer that was asked, as an index; `None` for the origin and for a peer that
    /// was removed.
    fn distance_of(&self, request: &OpenRequest) -> Option<usize> {
        let ChunkSource::Peer(instance) = &request.source else {
            return None;
        };
        let peer = self.peers.get(instance)?;
        Some(peer.distance as usize)
    }

    /// Returns the time after which a request to a peer counts as lost; `None` for a request to the
    /// origin.
    ///
    /// Peers are grouped by distance: own data centre, own region, other regions. The timeout is
    /// [`TIMEOUT_FACTOR`] times the longest recent wait in the peer's group, but at least the
    /// takeover time and never more than `max_request_timeout`. Without a recorded wait, and always
    /// for other regions because of the low bandwidth of the links to them, it is
    /// `max_request_timeout`.
    fn timeout(&self, request: &OpenRequest) -> Option<Duration> {
        let distance = self.distance_of(request)?;
        let longest = self.policy.max_request_timeout;
        let Some(wait) = self.longest_waits.get(distance).copied().flatten() else {
            return Some(longest);
        };
        let shortest = longest.min(self.policy.takeover);
        Some((wait * TIMEOUT_FACTOR).clamp(shortest, longest))
    }

    /// Updates the longest recent wait for the distance of the peer that answered `request`.
    fn record_wait(&mut self, request: &OpenRequest, now: Instant) {
        let Some(distance) = self.distance_of(request) else {
            return;
        };
        let wait = now.saturating_duration_since(request.sent_at);
        let Some(known) = self.longest_waits.get_mut(distance) else {
            return;
        };
        let decayed = known.unwrap_or_default().mul_f64(WAIT_DECAY);
        *known = Some(wait.max(decayed));
    }

    /// Excludes the peer as a source of the chunk for as long as it is linked.
    fn reject(&mut self, instance: &str, index: ChunkIndex) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        peer.rejected.insert(index);
        self.unmark_held(instance, index);
    }

    /// Records that the peer does not hold the chunk.
    fn unmark_held(&mut self, instance: &str, index: ChunkIndex) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let distance = peer.distance;
        if std::mem::take(&mut peer.held[index]) {
            self.count_holder(index, distance, false);
        }
    }

    /// Counts a fault of the peer, and excludes it as a source for a time that doubles with each
    /// fault.
    fn demote(&mut self, instance: &str, now: Instant) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let factor = 1 << peer.faults.min(MAX_FAULT_SHIFT);
        peer.faults += 1;
        peer.demoted_until = now + self.policy.takeover * factor;
    }

    /// Ends the open request for the chunk, if any, and queues the chunk again.
    fn close(&mut self, index: ChunkIndex) -> Option<OpenRequest> {
        let request = self.open_requests.remove(&index)?;
        match &request.source {
            ChunkSource::Origin => self.open_origin_requests -= 1,
            ChunkSource::Peer(instance) => {
                if let Some(peer) = self.peers.get_mut(instance) {
                    peer.open_requests -= 1;
                }
            }
        }
        self.chunks[index].requested = false;
        self.enqueue(index);
        Some(request)
    }

    /// Ends all open requests that `select` returns true for.
    fn close_all<Select>(&mut self, select: Select) -> Vec<ChunkSource>
    where
        Select: Fn(&OpenRequest) -> bool,
    {
        let chosen = self
            .open_requests
            .iter()
            .filter(|(_, request)| select(request));
        let chosen: Vec<ChunkIndex> = chosen.map(|(index, _)| *index).collect();
        let closed = chosen.into_iter().filter_map(|index| self.close(index));
        closed.map(|request| request.source).collect()
    }

    fn enqueue(&mut self, index: ChunkIndex) {
        if let Some((distance, key)) = self.queue_key(index) {
            self.queues[distance as usize].insert(key);
        }
    }

    fn dequeue(&mut self, index: ChunkIndex) {
        if let Some((distance, key)) = self.queue_key(index) {
            self.queues[distance as usize].remove(&key);
        }
    }

    /// Returns the queue of the chunk and its key there; `None` if it is held or requested.
    fn queue_key(&self, index: ChunkIndex) -> Option<(HolderDistance, QueueKey)> {
        let chunk = &self.chunks[index];
        if chunk.held || chunk.requested {
            return None;
        }
        let [centre, region, other_region] = chunk.holders;
        let (distance, agents_ahead, holders) = if centre > 0 {
            (HolderDistance::DataCentre, 0, centre)
        } else if region > 0 {
            (HolderDistance::Region, chunk.rank.centre, region)
        } else if other_region > 0 {
            (HolderDistance::OtherRegion, chunk.rank.region, other_region)
        } else {
            (HolderDistance::Origin, chunk.rank.system, 0)
        };
        Some((distance, (agents_ahead, holders, chunk.tie_break, index)))
    }
}
