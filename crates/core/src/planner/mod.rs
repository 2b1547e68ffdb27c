//! Planning of chunk requests: which chunk next, and from whom.
//!
//! All agents rank the agents that want a manifest alike, chunk by chunk. The first in rank of
//! all fetches a chunk from the origin, the first of a region takes it from other regions, the
//! first of a data centre from other data centres, and everybody else waits for a peer in the own
//! data centre. When nothing has arrived anywhere in sight for a while, the next in rank may act.

mod ranks;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, InstanceId, RegionId};
use crate::manifest::WeightManifest;
use crate::rank;

use self::ranks::{FetcherScopes, HolderDistance, OwnRank, RankedAgent, choose_fetchers, own_rank};

/// Position of a chunk in its manifest.
pub type ChunkIndex = usize;

/// Requests on their way to one peer.
const MAX_PER_PEER: usize = 4;
/// Requests on their way from one agent to the origin.
const MAX_AT_ORIGIN: usize = 2;
/// Waits for a chunk after which a request counts as lost.
const TIMEOUT_FACTOR: u32 = 4;
/// Factor by which the longest wait fades with each chunk.
const WAIT_DECAY: f64 = 0.9;
/// Chunks looked at for one request before the planner gives up until the next event.
const MAX_TRIES: usize = 32;
/// Longest factor by which faults lengthen a peer's demotion, as a power of two.
const MAX_FAULT_SHIFT: u32 = 6;

value_type! {
    /// An agent that wants the manifest.
    pub struct PlannerPeer {
        /// Its name.
        pub instance: InstanceId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Its region.
        pub region: RegionId,
    }

    /// Limits of a planner.
    #[derive(Copy)]
    pub struct PlannerPolicy {
        /// Requests on their way at once.
        pub max_open_requests: usize,
        /// Silence after which the next in rank may act.
        pub takeover: Duration,
        /// Longest time after which a request counts as lost.
        pub max_request_timeout: Duration,
    }

    /// Where a chunk is asked for.
    #[derive(PartialOrd, Ord)]
    pub enum ChunkSource {
        /// A peer.
        Peer(InstanceId),
        /// The origin.
        Origin,
    }

    /// A request to send.
    pub struct PlannedRequest {
        /// Chunk.
        pub chunk: ChunkIndex,
        /// Where to ask.
        pub source: ChunkSource,
    }

    struct OpenRequest {
        source: ChunkSource,
        sent: Instant,
    }
}

#[derive(Debug, Default)]
struct ChunkRecord {
    seed: u64,
    tie: u64,
    held: bool,
    open: bool,
    rank: OwnRank,
    /// Holders by distance: data centre, region, abroad.
    holders: [u32; 3],
}

#[derive(Debug)]
struct LinkedPeer {
    distance: HolderDistance,
    seed: u64,
    held: Vec<bool>,
    refused: BTreeSet<ChunkIndex>,
    open: usize,
    faults: u32,
    demoted_until: Instant,
}

type QueueKey = (u32, u32, u64, ChunkIndex);

/// Plans the requests of one agent for one manifest.
#[derive(Debug)]
pub struct ChunkPlanner {
    own: PlannerPeer,
    policy: PlannerPolicy,
    manifest_seed: u64,
    chunks: Vec<ChunkRecord>,
    agents: Vec<InstanceId>,
    peers: BTreeMap<InstanceId, LinkedPeer>,
    open: BTreeMap<ChunkIndex, OpenRequest>,
    /// Chunks to ask for, by distance of the nearest holder; least own rank first, then rarest.
    queues: [BTreeSet<QueueKey>; 4],
    missing: usize,
    open_at_origin: usize,
    /// Longest recent wait for a chunk from peers in the own data centre and the own region.
    waits: [Option<Duration>; 2],
    last_news: Instant,
}

impl ChunkPlanner {
    /// A planner that holds nothing and knows no peer.
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
            agents: Vec::new(),
            peers: BTreeMap::new(),
            open: BTreeMap::new(),
            queues: std::array::from_fn(|_| BTreeSet::new()),
            missing: manifest.chunks.len(),
            open_at_origin: 0,
            waits: [None; 2],
            last_news: now,
        };
        for (index, chunk) in manifest.chunks.iter().enumerate() {
            let seed = rank::seed(chunk.digest.as_bytes());
            planner.chunks.push(ChunkRecord {
                seed,
                tie: rank::score_seeds(seed, own_seed),
                ..ChunkRecord::default()
            });
            planner.enqueue(index);
        }
        planner
    }

    /// Chunks that are not held yet.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Chunks of the manifest.
    #[must_use]
    pub fn total(&self) -> usize {
        self.chunks.len()
    }

    /// Which chunks are held.
    #[must_use]
    pub fn held(&self) -> Vec<bool> {
        self.chunks.iter().map(|chunk| chunk.held).collect()
    }

    /// Takes the live agents that want the manifest, and ranks the own one among them.
    pub fn set_agents(&mut self, agents: &[PlannerPeer]) {
        let mut others = Vec::with_capacity(agents.len());
        self.agents.clear();
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
            self.agents.push(agent.instance.clone());
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

    /// Agents, at most `limit`, to which links are needed for the chunks that this agent imports
    /// into its data centre: those that fetch or import them one level up.
    #[must_use]
    pub fn required_peers(&self, limit: usize) -> BTreeSet<InstanceId> {
        let mut wanted = BTreeSet::new();
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
            if let Some(instance) = self.agents.get(first) {
                wanted.insert(instance.clone());
            }
            if wanted.len() >= limit {
                break;
            }
        }
        wanted
    }

    /// Adds a linked peer that holds nothing yet; a known one keeps what is known of it.
    pub fn add_peer(&mut self, peer: &PlannerPeer, now: Instant) {
        if self.peers.contains_key(&peer.instance) || peer.instance == self.own.instance {
            return;
        }
        let linked = LinkedPeer {
            distance: self.distance(&peer.data_centre, &peer.region),
            seed: rank::seed(peer.instance.as_bytes()),
            held: vec![false; self.chunks.len()],
            refused: BTreeSet::new(),
            open: 0,
            faults: 0,
            demoted_until: now,
        };
        self.peers.insert(peer.instance.clone(), linked);
    }

    /// Forgets a peer whose link is gone; its open requests may be sent elsewhere.
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

    /// Takes the inventory of a linked peer.
    pub fn set_inventory(&mut self, instance: &str, held: &[bool], now: Instant) {
        let Some(mut peer) = self.peers.remove(instance) else {
            return;
        };
        for (index, known) in peer.held.iter_mut().enumerate() {
            let holds = held.get(index).copied().unwrap_or(false);
            let holds = holds && !peer.refused.contains(&index);
            if holds == *known {
                continue;
            }
            *known = holds;
            self.count_holder(index, peer.distance, holds);
            if holds {
                self.last_news = now;
            }
        }
        self.peers.insert(instance.to_owned(), peer);
    }

    /// Notes a chunk that is verified and held here.
    pub fn chunk_held(&mut self, index: ChunkIndex, now: Instant) {
        if let Some(request) = self.close(index) {
            self.note_wait(&request, now);
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
        self.last_news = now;
    }

    /// Where an open request for the chunk was sent.
    #[must_use]
    pub fn source_of(&self, index: ChunkIndex) -> Option<&ChunkSource> {
        self.open.get(&index).map(|request| &request.source)
    }

    /// Notes that a peer lacks a chunk that it was asked for, or is too busy for it; its next
    /// inventory decides anew.
    pub fn chunk_missing(&mut self, index: ChunkIndex, instance: &str) {
        self.take_back(instance, index);
        let asked = ChunkSource::Peer(instance.to_owned());
        if self.source_of(index) == Some(&asked) {
            self.close(index);
        }
    }

    /// Notes that the source failed the request; a peer that sent corrupt bytes is demoted.
    pub fn chunk_failed(&mut self, index: ChunkIndex, now: Instant) {
        let Some(request) = self.close(index) else {
            return;
        };
        let ChunkSource::Peer(instance) = request.source else {
            return;
        };
        self.refuse(&instance, index);
        self.demote(&instance, now);
    }

    /// Takes back the requests to peers that have had no answer in time. A request to the origin
    /// stays open until [`Self::chunk_held`] or [`Self::chunk_failed`] ends it.
    pub fn expire(&mut self, now: Instant) {
        let mut late = Vec::new();
        for (index, request) in &self.open {
            let waited = now.saturating_duration_since(request.sent);
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

    /// The next request to send, or `None` until something changes.
    pub fn next(&mut self, now: Instant) -> Option<PlannedRequest> {
        if self.open.len() >= self.policy.max_open_requests {
            return None;
        }
        let silence = now.saturating_duration_since(self.last_news);
        let (chunk, source) = self.find(silence, now)?;
        self.dequeue(chunk);
        self.chunks[chunk].open = true;
        match &source {
            ChunkSource::Origin => self.open_at_origin += 1,
            ChunkSource::Peer(instance) => {
                if let Some(peer) = self.peers.get_mut(instance) {
                    peer.open += 1;
                }
            }
        }
        let request = OpenRequest {
            source: source.clone(),
            sent: now,
        };
        self.open.insert(chunk, request);
        Some(PlannedRequest { chunk, source })
    }

    fn find(&self, silence: Duration, now: Instant) -> Option<(ChunkIndex, ChunkSource)> {
        for (distance, queue) in self.queues.iter().enumerate() {
            for (turn, _, _, index) in queue.iter().take(MAX_TRIES) {
                if silence < self.policy.takeover * *turn {
                    break;
                }
                if distance == HolderDistance::Origin as usize {
                    if self.open_at_origin >= MAX_AT_ORIGIN {
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

    fn find_holder(&self, index: ChunkIndex, distance: usize, now: Instant) -> Option<&InstanceId> {
        let tie = self.chunks[index].tie;
        let mut best = None;
        for (instance, peer) in &self.peers {
            if !peer.held[index] || peer.distance as usize != distance {
                continue;
            }
            if peer.open >= MAX_PER_PEER || peer.demoted_until > now {
                continue;
            }
            let key = (peer.open, peer.faults, rank::score_seeds(tie, peer.seed));
            if best.is_none_or(|(known, _)| key < known) {
                best = Some((key, instance));
            }
        }
        best.map(|(_, instance)| instance)
    }

    fn distance(&self, data_centre: &str, region: &str) -> HolderDistance {
        if data_centre == self.own.data_centre {
            return HolderDistance::DataCentre;
        }
        if region == self.own.region {
            return HolderDistance::Region;
        }
        HolderDistance::Abroad
    }

    fn count_holder(&mut self, index: ChunkIndex, distance: HolderDistance, more: bool) {
        self.dequeue(index);
        let count = &mut self.chunks[index].holders[distance as usize];
        if more {
            *count += 1;
        } else {
            *count -= 1;
        }
        self.enqueue(index);
    }

    fn distance_of(&self, request: &OpenRequest) -> Option<usize> {
        let ChunkSource::Peer(instance) = &request.source else {
            return None;
        };
        let peer = self.peers.get(instance)?;
        Some(peer.distance as usize)
    }

    /// Time after which a request to a peer is lost: a few times what such requests took lately,
    /// or the longest time on the thin links to other regions.
    fn timeout(&self, request: &OpenRequest) -> Option<Duration> {
        let distance = self.distance_of(request)?;
        let longest = self.policy.max_request_timeout;
        let Some(wait) = self.waits.get(distance).copied().flatten() else {
            return Some(longest);
        };
        let shortest = longest.min(self.policy.takeover);
        Some((wait * TIMEOUT_FACTOR).clamp(shortest, longest))
    }

    fn note_wait(&mut self, request: &OpenRequest, now: Instant) {
        let Some(distance) = self.distance_of(request) else {
            return;
        };
        let wait = now.saturating_duration_since(request.sent);
        let Some(known) = self.waits.get_mut(distance) else {
            return;
        };
        let faded = known.unwrap_or_default().mul_f64(WAIT_DECAY);
        *known = Some(wait.max(faded));
    }

    fn refuse(&mut self, instance: &str, index: ChunkIndex) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        peer.refused.insert(index);
        self.take_back(instance, index);
    }

    /// Counts the peer as without the chunk.
    fn take_back(&mut self, instance: &str, index: ChunkIndex) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let distance = peer.distance;
        if std::mem::take(&mut peer.held[index]) {
            self.count_holder(index, distance, false);
        }
    }

    fn demote(&mut self, instance: &str, now: Instant) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let factor = 1 << peer.faults.min(MAX_FAULT_SHIFT);
        peer.faults += 1;
        peer.demoted_until = now + self.policy.takeover * factor;
    }

    fn close(&mut self, index: ChunkIndex) -> Option<OpenRequest> {
        let request = self.open.remove(&index)?;
        match &request.source {
            ChunkSource::Origin => self.open_at_origin -= 1,
            ChunkSource::Peer(instance) => {
                if let Some(peer) = self.peers.get_mut(instance) {
                    peer.open -= 1;
                }
            }
        }
        self.chunks[index].open = false;
        self.enqueue(index);
        Some(request)
    }

    fn close_all<Select>(&mut self, select: Select) -> Vec<ChunkSource>
    where
        Select: Fn(&OpenRequest) -> bool,
    {
        let chosen = self.open.iter().filter(|(_, request)| select(request));
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

    fn queue_key(&self, index: ChunkIndex) -> Option<(HolderDistance, QueueKey)> {
        let chunk = &self.chunks[index];
        if chunk.held || chunk.open {
            return None;
        }
        let [centre, region, abroad] = chunk.holders;
        let (distance, turn, count) = if centre > 0 {
            (HolderDistance::DataCentre, 0, centre)
        } else if region > 0 {
            (HolderDistance::Region, chunk.rank.centre, region)
        } else if abroad > 0 {
            (HolderDistance::Abroad, chunk.rank.region, abroad)
        } else {
            (HolderDistance::Origin, chunk.rank.system, 0)
        };
        Some((distance, (turn, count, chunk.tie, index)))
    }
}
