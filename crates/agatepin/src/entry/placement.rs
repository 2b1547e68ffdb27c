//! Assigns calls to agents: chooses an agent by its load, queues calls while all agents are full,
//! and limits retries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatepin_core::fair_queue::{FairQueue, QueueParams};
use agatepin_core::ids::InstanceId;
use agatepin_core::retry::RetryBudget;
use agatepin_core::router::{AgentCandidate, AgentChoice, AgentRouter, RouteChoice, RouteTarget};
use tokio::sync::oneshot;

use super::directory::AgentDirectory;
use super::metrics::EntryMetrics;
use crate::context::ProcessContext;
use crate::wire::frames::{AgentState, GateState};

/// Minimum time between two updates of the router from the agents' states.
const MIN_REBUILD_INTERVAL: Duration = Duration::from_millis(5);

/// Queued calls for one target, each with the channel on which it receives its slot.
type WaiterQueue = FairQueue<oneshot::Sender<SlotGuard>>;

#[derive(Debug)]
struct PlacementState {
    router: AgentRouter,
    /// Queued calls by target; a queue is removed once it is empty.
    queues: HashMap<RouteTarget, WaiterQueue>,
    /// Limits retries to a fraction of the first attempts.
    budget: RetryBudget,
}

impl PlacementState {
    /// Chooses an agent that serves `target`, preferably one that is not among `tried`. `affinity`
    /// is the hash of the prompt prefix, and `random` a random number for the choice.
    fn choose(
        &self,
        target: &RouteTarget,
        affinity: Option<u64>,
        tried: &[InstanceId],
        random: u64,
    ) -> RouteChoice {
        let choice = self.router.choose(target, affinity, tried, random);
        if choice == RouteChoice::NoCandidate {
            // All candidates were tried. Consider them again, as the first may accept the call by
            // now.
            return self.router.choose(target, affinity, &[], random);
        }
        choice
    }
}

/// Assigns calls to agents; clones share the state.
#[derive(Clone, Debug)]
pub struct CallPlacement {
    state: Arc<Mutex<PlacementState>>,
    metrics: EntryMetrics,
    /// Maximum number of queued calls for each target.
    queue_length: usize,
}

/// The slot of a call at an agent; dropping it frees the slot for a queued call.
#[derive(Debug)]
pub struct SlotGuard {
    placement: CallPlacement,
    target: RouteTarget,
    /// Agent that has the slot.
    pub choice: AgentChoice,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.placement
            .lock()
            .router
            .count_call_end(&self.choice.instance);
        self.placement.assign_free_slots(&self.target);
    }
}

impl CallPlacement {
    /// Creates a placement without agents. `queue_length` is the maximum number of queued calls for
    /// each model or service.
    #[must_use]
    pub fn new(context: &ProcessContext, metrics: EntryMetrics, queue_length: usize) -> Self {
        let identity = &context.identity;
        let router = AgentRouter::new(identity.instance.clone(), identity.data_centre.clone());
        let state = PlacementState {
            router,
            queues: HashMap::new(),
            budget: RetryBudget::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            metrics,
            queue_length,
        }
    }

    /// Updates the router after changes of the agents' states and of the configuration, until the
    /// process stops.
    pub async fn follow(self, context: ProcessContext, directory: AgentDirectory) {
        let mut states = directory.subscribe();
        let mut config = context.config.clone();
        loop {
            self.rebuild(&directory, &config.borrow_and_update().clone());
            tokio::select! {
                () = context.stopped.cancelled() => return,
                changed = states.changed() => if changed.is_err() { return },
                changed = config.changed() => if changed.is_err() { return },
            }
            tokio::time::sleep(MIN_REBUILD_INTERVAL).await;
            states.mark_unchanged();
        }
    }

    /// Acquires a slot at an agent, preferably one that is not among `tried`. If no agent has a
    /// free slot, or other calls for the target are queued already, the call is queued with
    /// `params`. Returns `None` if the call gets no slot before the deadline in `params`, or is
    /// removed because the queue is full.
    pub async fn acquire_slot(
        &self,
        target: &RouteTarget,
        affinity: Option<u64>,
        tried: &[InstanceId],
        params: &QueueParams,
    ) -> Option<SlotGuard> {
        let random = rand::random();
        let receiver = {
            let mut state = self.lock();
            // A retry takes a free slot ahead of the queued calls: its first attempt has queued
            // already.
            let others_wait = tried.is_empty() && state.queues.contains_key(target);
            let choice = state.choose(target, affinity, tried, random);
            match choice {
                RouteChoice::Chosen(choice) if !others_wait => {
                    state.router.count_call_start(&choice.instance);
                    drop(state);
                    return Some(self.guard(target, choice));
                }
                _ => self.enqueue(&mut state, target, params),
            }
        };
        self.assign_free_slots(target);
        let deadline = tokio::time::Instant::from_std(params.deadline);
        let placed = tokio::time::timeout_at(deadline, receiver).await;
        self.update_queue_length();
        placed.ok()?.ok()
    }

    /// Acquires a slot for a suspect, preferably at an agent that is not among `tried`. Returns
    /// `None` if no agent serves the target.
    #[must_use]
    pub fn acquire_suspect_slot(
        &self,
        target: &RouteTarget,
        tried: &[InstanceId],
    ) -> Option<SlotGuard> {
        let mut state = self.lock();
        let mut choice = state.router.choose_for_suspect(target, tried);
        if choice == RouteChoice::NoCandidate {
            choice = state.router.choose_for_suspect(target, &[]);
        }
        let RouteChoice::Chosen(choice) = choice else {
            return None;
        };
        state.router.count_call_start(&choice.instance);
        drop(state);
        Some(self.guard(target, choice))
    }

    /// Counts the first attempt of a call, which adds a fraction of a retry to the budget.
    pub fn count_first_attempt(&self) {
        self.lock().budget.record_call();
    }

    /// Takes a retry from the budget and counts it; returns `false` if none is left.
    #[must_use]
    pub fn try_retry(&self) -> bool {
        let allowed = self.lock().budget.try_retry();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Updates the load of an agent as reported with an answer or a refusal: its calls in flight
    /// and its limit.
    pub fn record_load(&self, instance: &str, in_flight: u32, limit: u32) {
        self.lock().router.report(instance, in_flight, limit);
    }

    /// Returns the number of queued calls.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().queues.values().map(FairQueue::len).sum()
    }

    fn guard(&self, target: &RouteTarget, choice: AgentChoice) -> SlotGuard {
        SlotGuard {
            placement: self.clone(),
            target: target.clone(),
            choice,
        }
    }

    fn enqueue(
        &self,
        state: &mut PlacementState,
        target: &RouteTarget,
        params: &QueueParams,
    ) -> oneshot::Receiver<SlotGuard> {
        let (sender, receiver) = oneshot::channel();
        let length = self.queue_length;
        let queue = state
            .queues
            .entry(target.clone())
            .or_insert_with(|| FairQueue::new(length));
        queue.expire(Instant::now());
        queue.push(params, sender);
        receiver
    }

    /// Assigns free slots to the calls that are queued for `target`.
    fn assign_free_slots(&self, target: &RouteTarget) {
        loop {
            let mut state = self.lock();
            let Some(queue) = state.queues.get_mut(target) else {
                return;
            };
            queue.expire(Instant::now());
            if queue.is_empty() {
                state.queues.remove(target);
                return;
            }
            let choice = state.router.choose(target, None, &[], rand::random());
            let RouteChoice::Chosen(choice) = choice else {
                return;
            };
            let popped = state.queues.get_mut(target).and_then(FairQueue::pop);
            let Some(waiter) = popped else {
                return;
            };
            if waiter.is_closed() {
                continue;
            }
            state.router.count_call_start(&choice.instance);
            drop(state);
            // If the waiter has just given up, the guard is dropped, which frees the slot again.
            let _ = waiter.send(self.guard(target, choice));
        }
    }

    fn rebuild(&self, directory: &AgentDirectory, config: &agatepin_core::config::ClusterConfig) {
        let candidates: Vec<AgentCandidate> =
            directory.read(|states| states.values().filter_map(candidate).collect());
        let mut state = self.lock();
        state.router.rebuild(candidates, config);
        let targets: Vec<RouteTarget> = state.queues.keys().cloned().collect();
        drop(state);
        for target in targets {
            self.assign_free_slots(&target);
        }
        self.update_queue_length();
    }

    fn update_queue_length(&self) {
        let waiting = i64::try_from(self.waiting()).unwrap_or(i64::MAX);
        self.metrics.queue_length.set(waiting);
    }

    fn lock(&self) -> MutexGuard<'_, PlacementState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts an agent's state for the router; `None` if the agent admits no calls.
fn candidate(state: &AgentState) -> Option<AgentCandidate> {
    if state.leaving || state.gate() != GateState::Serving {
        return None;
    }
    let target = if state.service.is_empty() {
        RouteTarget::Model(state.model.clone())
    } else {
        RouteTarget::Service(state.service.clone())
    };
    Some(AgentCandidate {
        instance: state.instance.clone(),
        incarnation: state.incarnation,
        data_centre: state.data_centre.clone(),
        target,
        in_flight: state.in_flight,
        limit: state.limit,
    })
}
