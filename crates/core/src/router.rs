//! Choice of the agent for a call.
//!
//! An index for each model and service is rebuilt when states or the configuration change, so
//! that a choice looks at a bounded number of candidates.

use std::collections::HashMap;

use crate::config::ClusterConfig;
use crate::ids::{DataCentreId, IncarnationId, InstanceId, ModelId, ServiceId};
use crate::rank;

/// Candidates that one entry considers for a model in each of: its data centre, all others.
pub const MAX_CANDIDATES: usize = 32;

value_type! {
    /// What a call is for.
    #[derive(Hash)]
    pub enum RouteTarget {
        /// A model or adapter.
        Model(ModelId),
        /// A plain service.
        Service(ServiceId),
    }

    /// An agent that serves something.
    pub struct AgentCandidate {
        /// Its name.
        pub instance: InstanceId,
        /// Its incarnation.
        pub incarnation: IncarnationId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// What it serves.
        pub target: RouteTarget,
        /// Calls in flight that it reported last.
        pub in_flight: u32,
        /// Calls that it takes at once.
        pub limit: u32,
    }

    /// What a choice gives.
    pub enum RouteChoice {
        /// Send the call there.
        Chosen(AgentChoice),
        /// All candidates are full, as far as is known here.
        Full,
        /// There is no candidate that was not tried.
        NoCandidate,
    }

    /// A chosen agent.
    pub struct AgentChoice {
        /// Its name.
        pub instance: InstanceId,
        /// Its incarnation.
        pub incarnation: IncarnationId,
    }
}

#[derive(Clone, Debug)]
struct IndexedAgent {
    choice: AgentChoice,
    hash: u64,
    reported: u32,
    own: u32,
    limit: u32,
}

impl IndexedAgent {
    fn load(&self) -> u32 {
        self.reported.max(self.own)
    }

    fn is_free(&self) -> bool {
        self.load() < self.limit
    }

    /// Whether `self` is less loaded than `other`, relative to their limits.
    fn is_lighter(&self, other: &Self) -> bool {
        let this = u64::from(self.load()) * u64::from(other.limit);
        this < u64::from(other.load()) * u64::from(self.limit)
    }
}

#[derive(Debug, Default)]
struct TargetIndex {
    local: Vec<usize>,
    remote: Vec<usize>,
}

/// Chooses agents for the calls of one entry.
#[derive(Debug)]
pub struct AgentRouter {
    entry: InstanceId,
    home: DataCentreId,
    agents: Vec<IndexedAgent>,
    positions: HashMap<InstanceId, usize>,
    index: HashMap<RouteTarget, TargetIndex>,
}

impl AgentRouter {
    /// A router of the entry `entry` in the data centre `home`; it knows nobody yet.
    #[must_use]
    pub fn new(entry: InstanceId, home: DataCentreId) -> Self {
        Self {
            entry,
            home,
            agents: Vec::new(),
            positions: HashMap::new(),
            index: HashMap::new(),
        }
    }

    /// Rebuilds the index. `candidates` serve and are not leaving; those in data centres out of
    /// service are left out.
    pub fn rebuild<Candidates>(&mut self, candidates: Candidates, config: &ClusterConfig)
    where
        Candidates: IntoIterator<Item = AgentCandidate>,
    {
        let mut ranked: Vec<AgentCandidate> = candidates
            .into_iter()
            .filter(|candidate| config.is_in_service(&candidate.data_centre))
            .collect();
        let key = self.entry.as_bytes();
        ranked.sort_by_cached_key(|candidate| {
            let score = rank::score(key, &candidate.instance);
            (std::cmp::Reverse(score), candidate.instance.clone())
        });
        let old_agents = std::mem::take(&mut self.agents);
        let old_positions = std::mem::take(&mut self.positions);
        self.index.clear();
        for candidate in ranked {
            let own = old_positions
                .get(&candidate.instance)
                .map_or(0, |&position| old_agents[position].own);
            self.add(candidate, own);
        }
    }

    fn add(&mut self, candidate: AgentCandidate, own: u32) {
        let position = self.agents.len();
        let index = self.index.entry(candidate.target).or_default();
        let list = if candidate.data_centre == self.home {
            &mut index.local
        } else {
            &mut index.remote
        };
        if list.len() < MAX_CANDIDATES {
            list.push(position);
        }
        self.positions.insert(candidate.instance.clone(), position);
        self.agents.push(IndexedAgent {
            hash: rank::score(b"affinity", &candidate.instance),
            reported: candidate.in_flight,
            own,
            limit: candidate.limit,
            choice: AgentChoice {
                instance: candidate.instance,
                incarnation: candidate.incarnation,
            },
        });
    }

    /// Chooses an agent that is not among `tried`. `affinity` is a hash of what the agent's prefix
    /// cache is likely to hold; `random` decides between equals.
    #[must_use]
    pub fn choose(
        &self,
        target: &RouteTarget,
        affinity: Option<u64>,
        tried: &[InstanceId],
        random: u64,
    ) -> RouteChoice {
        let Some(index) = self.index.get(target) else {
            return RouteChoice::NoCandidate;
        };
        let mut known = false;
        for list in [&index.local, &index.remote] {
            let found = affinity
                .and_then(|hash| self.by_affinity(list, hash, tried))
                .or_else(|| self.by_load(list, tried, random));
            if let Some(agent) = found {
                return RouteChoice::Chosen(agent.choice.clone());
            }
            known |= list.iter().any(|&at| !self.is_tried(at, tried));
        }
        if known {
            return RouteChoice::Full;
        }
        RouteChoice::NoCandidate
    }

    /// Chooses the agent for suspects: the same from each entry that knows the same agents, however
    /// loaded it is.
    #[must_use]
    pub fn choose_for_suspect(&self, target: &RouteTarget, tried: &[InstanceId]) -> RouteChoice {
        let Some(index) = self.index.get(target) else {
            return RouteChoice::NoCandidate;
        };
        let best = index
            .local
            .iter()
            .chain(&index.remote)
            .filter(|&&at| !self.is_tried(at, tried))
            .max_by_key(|&&at| self.agents[at].hash);
        match best {
            Some(&at) => RouteChoice::Chosen(self.agents[at].choice.clone()),
            None => RouteChoice::NoCandidate,
        }
    }

    /// Counts a call of this entry that starts at `instance`.
    pub fn begin(&mut self, instance: &str) {
        if let Some(&position) = self.positions.get(instance) {
            self.agents[position].own += 1;
        }
    }

    /// Counts its end.
    pub fn end(&mut self, instance: &str) {
        if let Some(&position) = self.positions.get(instance) {
            let own = &mut self.agents[position].own;
            *own = own.saturating_sub(1);
        }
    }

    /// Takes a load that came with an answer or a refusal.
    pub fn report(&mut self, instance: &str, in_flight: u32, limit: u32) {
        if let Some(&position) = self.positions.get(instance) {
            self.agents[position].reported = in_flight;
            self.agents[position].limit = limit;
        }
    }

    fn is_tried(&self, at: usize, tried: &[InstanceId]) -> bool {
        tried.contains(&self.agents[at].choice.instance)
    }

    /// The agent that ranks first for the hash, unless it is loaded well above its share.
    fn by_affinity(
        &self,
        list: &[usize],
        hash: u64,
        tried: &[InstanceId],
    ) -> Option<&IndexedAgent> {
        let total: u32 = list.iter().map(|&at| self.agents[at].load()).sum();
        let count = u32::try_from(list.len()).unwrap_or(u32::MAX).max(1);
        let bound = total / count + total / count / 4 + 1;
        let best = list
            .iter()
            .filter(|&&at| !self.is_tried(at, tried))
            .max_by_key(|&&at| mix(self.agents[at].hash ^ hash))?;
        let agent = &self.agents[*best];
        (agent.is_free() && agent.load() <= bound).then_some(agent)
    }

    /// The lighter of two random free agents; any free one where both are full.
    fn by_load(&self, list: &[usize], tried: &[InstanceId], random: u64) -> Option<&IndexedAgent> {
        let one = self.pick(list, tried, random);
        let two = self.pick(list, tried, mix(random));
        match (one, two) {
            (Some(one), Some(two)) if two.is_lighter(one) => Some(two),
            (Some(one), _) => Some(one),
            (None, two) => two,
        }
    }

    /// The first free agent from a random place on.
    fn pick(&self, list: &[usize], tried: &[InstanceId], random: u64) -> Option<&IndexedAgent> {
        if list.is_empty() {
            return None;
        }
        let count = list.len();
        let start = usize::try_from(random % count as u64).unwrap_or(0);
        (0..count)
            .map(|step| list[(start + step) % count])
            .filter(|&at| self.agents[at].is_free() && !self.is_tried(at, tried))
            .map(|at| &self.agents[at])
            .next()
    }
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
