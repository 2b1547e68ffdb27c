//! Chooses the agent that a call is sent to.
//!
//! [`AgentRouter`] keeps an index of agents by target. The index is rebuilt when agent states or
//! the configuration change, so that a choice looks at a bounded number of candidates.

use std::collections::HashMap;

use crate::config::ClusterConfig;
use crate::ids::{DataCentreId, IncarnationId, InstanceId, ModelId, ServiceId};
use crate::rank;

/// Maximum number of agents that an entry considers for one target in its own data centre, and
/// again in all other data centres together.
pub const MAX_CANDIDATES: usize = 32;

value_type! {
    /// What a call is addressed to.
    #[derive(Hash)]
    pub enum RouteTarget {
        /// A model or adapter.
        Model(ModelId),
        /// A plain service, which serves no model.
        Service(ServiceId),
    }

    /// An agent that serves a target and can be chosen for its calls.
    pub struct AgentCandidate {
        /// Name of the agent.
        pub instance: InstanceId,
        /// Incarnation of the agent that announced this state.
        pub incarnation: IncarnationId,
        /// Data centre of the agent.
        pub data_centre: DataCentreId,
        /// Model, adapter or service that the agent serves.
        pub target: RouteTarget,
        /// Number of calls in flight from all entries, as last reported by the agent.
        pub in_flight: u32,
        /// Maximum number of calls that the agent runs at the same time.
        pub limit: u32,
    }

    /// Result of choosing an agent.
    pub enum RouteChoice {
        /// The call goes to this agent.
        Chosen(AgentChoice),
        /// Every untried candidate is at its limit, as far as this entry knows.
        Full,
        /// No agent serves the target, or all agents that serve it were tried.
        NoCandidate,
    }

    /// The agent that was chosen for a call.
    pub struct AgentChoice {
        /// Name of the agent.
        pub instance: InstanceId,
        /// Incarnation of the agent that the choice is valid for; a restarted agent has another
        /// one.
        pub incarnation: IncarnationId,
    }
}

#[derive(Clone, Debug)]
struct IndexedAgent {
    choice: AgentChoice,
    /// Hash of the agent's name. Combined with the hash of a request's prefix, it ranks the agents
    /// of a target for requests with that prefix.
    name_hash: u64,
    /// Number of calls in flight from all entries, as the agent last reported.
    reported_in_flight: u32,
    /// Number of calls in flight from this entry.
    own_calls: u32,
    /// Maximum number of calls that the agent runs at the same time.
    limit: u32,
}

impl IndexedAgent {
    /// Estimated number of calls in flight: the last reported number, but no less than that of this
    /// entry's own calls, since the report may not include the latest of these yet.
    fn load(&self) -> u32 {
        self.reported_in_flight.max(self.own_calls)
    }

    fn is_free(&self) -> bool {
        self.load() < self.limit
    }

    /// Whether `self` is less loaded than `other`, relative to their limits.
    fn is_less_loaded(&self, other: &Self) -> bool {
        let scaled = u64::from(self.load()) * u64::from(other.limit);
        scaled < u64::from(other.load()) * u64::from(self.limit)
    }
}

/// Positions in [`AgentRouter::agents`] of the agents that serve one target, best rank for this
/// entry first.
#[derive(Debug, Default)]
struct TargetIndex {
    /// Agents in the entry's data centre.
    local: Vec<usize>,
    /// Agents in all other data centres.
    remote: Vec<usize>,
}

/// Chooses agents for the calls of one entry.
#[derive(Debug)]
pub struct AgentRouter {
    /// Name of the entry.
    entry: InstanceId,
    /// Data centre of the entry, whose agents are preferred.
    home: DataCentreId,
    agents: Vec<IndexedAgent>,
    /// Positions in `agents` by agent name.
    positions: HashMap<InstanceId, usize>,
    /// Positions in `agents` by the target that the agents serve.
    index: HashMap<RouteTarget, TargetIndex>,
}

impl AgentRouter {
    /// Returns a router without candidates for the entry `entry` in the data centre `home`.
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

    /// Rebuilds the index from `candidates`, which must not include agents that are leaving.
    /// Candidates in data centres out of service are skipped. The counts of this entry's calls in
    /// flight are kept.
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
            let own_calls = old_positions
                .get(&candidate.instance)
                .map_or(0, |&position| old_agents[position].own_calls);
            self.add(candidate, own_calls);
        }
    }

    fn add(&mut self, candidate: AgentCandidate, own_calls: u32) {
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
            name_hash: rank::score(b"affinity", &candidate.instance),
            reported_in_flight: candidate.in_flight,
            own_calls,
            limit: candidate.limit,
            choice: AgentChoice {
                instance: candidate.instance,
                incarnation: candidate.incarnation,
            },
        });
    }

    /// Chooses an agent that is not among `tried`: in the entry's data centre if possible, by
    /// affinity first and by load otherwise. `affinity` is a hash of the request's prefix, so that
    /// calls with the same prefix reach the agent whose prefix cache is likely to hold it. `random`
    /// is a random number that selects the agents whose loads are compared.
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
        let mut has_untried = false;
        for list in [&index.local, &index.remote] {
            let found = affinity
                .and_then(|hash| self.choose_by_affinity(list, hash, tried))
                .or_else(|| self.choose_by_load(list, tried, random));
            if let Some(agent) = found {
                return RouteChoice::Chosen(agent.choice.clone());
            }
            has_untried |= list.iter().any(|&at| !self.is_tried(at, tried));
        }
        if has_untried {
            return RouteChoice::Full;
        }
        RouteChoice::NoCandidate
    }

    /// Chooses the agent for a request that is suspected of crashing upstreams. Every entry that
    /// knows the same agents chooses the same one, whatever its load, so that the request runs at
    /// one agent only.
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
            .max_by_key(|&&at| self.agents[at].name_hash);
        match best {
            Some(&at) => RouteChoice::Chosen(self.agents[at].choice.clone()),
            None => RouteChoice::NoCandidate,
        }
    }

    /// Counts a call that this entry starts at `instance`.
    pub fn count_call_start(&mut self, instance: &str) {
        if let Some(&position) = self.positions.get(instance) {
            self.agents[position].own_calls += 1;
        }
    }

    /// Counts the end of a call that [`Self::count_call_start`] counted.
    pub fn count_call_end(&mut self, instance: &str) {
        if let Some(&position) = self.positions.get(instance) {
            let own_calls = &mut self.agents[position].own_calls;
            *own_calls = own_calls.saturating_sub(1);
        }
    }

    /// Updates the load and limit of `instance` as reported with an answer or a refusal.
    pub fn report(&mut self, instance: &str, in_flight: u32, limit: u32) {
        if let Some(&position) = self.positions.get(instance) {
            self.agents[position].reported_in_flight = in_flight;
            self.agents[position].limit = limit;
        }
    }

    fn is_tried(&self, at: usize, tried: &[InstanceId]) -> bool {
        tried.contains(&self.agents[at].choice.instance)
    }

    /// Returns the untried agent that ranks first for `hash`, the hash of the request's prefix,
    /// unless it is full or its load exceeds the mean load of `list` by more than a quarter plus
    /// one call.
    fn choose_by_affinity(
        &self,
        list: &[usize],
        hash: u64,
        tried: &[InstanceId],
    ) -> Option<&IndexedAgent> {
        let total: u32 = list.iter().map(|&at| self.agents[at].load()).sum();
        let count = u32::try_from(list.len()).unwrap_or(u32::MAX).max(1);
        let max_load = total / count + total / count / 4 + 1;
        let best = list
            .iter()
            .filter(|&&at| !self.is_tried(at, tried))
            .max_by_key(|&&at| mix64(self.agents[at].name_hash ^ hash))?;
        let agent = &self.agents[*best];
        (agent.is_free() && agent.load() <= max_load).then_some(agent)
    }

    /// Returns the less loaded of two random untried agents below their limits (power of two
    /// choices); `None` where all are full or tried.
    fn choose_by_load(
        &self,
        list: &[usize],
        tried: &[InstanceId],
        random: u64,
    ) -> Option<&IndexedAgent> {
        let first = self.first_free_from(list, tried, random);
        let second = self.first_free_from(list, tried, mix64(random));
        match (first, second) {
            (Some(first), Some(second)) if second.is_less_loaded(first) => Some(second),
            (Some(first), _) => Some(first),
            (None, second) => second,
        }
    }

    /// Returns the first untried agent below its limit, searching `list` cyclically from the offset
    /// `random` modulo its length.
    fn first_free_from(
        &self,
        list: &[usize],
        tried: &[InstanceId],
        random: u64,
    ) -> Option<&IndexedAgent> {
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

/// Finalizer of `SplitMix64`.
fn mix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
