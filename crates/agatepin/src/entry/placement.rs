//! Where a call goes: the router, and the queue of calls that find all upstreams full.

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

const REBUILD_INTERVAL: Duration = Duration::from_millis(5);

type WaiterQueue = FairQueue<oneshot::Sender<PlaceGuard>>;

#[derive(Debug)]
struct PlacementState {
    router: AgentRouter,
    queues: HashMap<RouteTarget, WaiterQueue>,
    budget: RetryBudget,
}

impl PlacementState {
    fn choose(
        &self,
        target: &RouteTarget,
        affinity: Option<u64>,
        tried: &[InstanceId],
        random: u64,
    ) -> RouteChoice {
        let choice = self.router.choose(target, affinity, tried, random);
        if choice == RouteChoice::NoCandidate {
            // All were tried: the first may take it by now.
            return self.router.choose(target, affinity, &[], random);
        }
        choice
    }
}

/// Places calls; clones share the state.
#[derive(Clone, Debug)]
pub struct CallPlacement {
    state: Arc<Mutex<PlacementState>>,
    metrics: EntryMetrics,
    queue_length: usize,
}

/// One call in flight at an agent; dropping it frees its place.
#[derive(Debug)]
pub struct PlaceGuard {
    placement: CallPlacement,
    target: RouteTarget,
    /// The agent.
    pub choice: AgentChoice,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.placement.lock().router.end(&self.choice.instance);
        self.placement.wake(&self.target);
    }
}

impl CallPlacement {
    /// A placement that knows no agents yet.
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

    /// Follows the agents' states and the configuration until the process stops.
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
            tokio::time::sleep(REBUILD_INTERVAL).await;
            states.mark_unchanged();
        }
    }

    /// A place at an agent that is not among `tried`, waiting until the ticket's deadline.
    pub async fn place(
        &self,
        target: &RouteTarget,
        affinity: Option<u64>,
        tried: &[InstanceId],
        params: &QueueParams,
    ) -> Option<PlaceGuard> {
        let random = rand::random();
        let receiver = {
            let mut state = self.lock();
            // A call that was refused has had its turn in the queue.
            let others_wait = tried.is_empty() && state.queues.contains_key(target);
            let choice = state.choose(target, affinity, tried, random);
            match choice {
                RouteChoice::Chosen(choice) if !others_wait => {
                    state.router.begin(&choice.instance);
                    drop(state);
                    return Some(self.guard(target, choice));
                }
                _ => self.enqueue(&mut state, target, params),
            }
        };
        self.wake(target);
        let deadline = tokio::time::Instant::from_std(params.deadline);
        let placed = tokio::time::timeout_at(deadline, receiver).await;
        self.count_waiting();
        placed.ok()?.ok()
    }

    /// A place for a suspect at an agent that is not among `tried` if there is one.
    #[must_use]
    pub fn place_suspect(&self, target: &RouteTarget, tried: &[InstanceId]) -> Option<PlaceGuard> {
        let mut state = self.lock();
        let mut choice = state.router.choose_for_suspect(target, tried);
        if choice == RouteChoice::NoCandidate {
            choice = state.router.choose_for_suspect(target, &[]);
        }
        let RouteChoice::Chosen(choice) = choice else {
            return None;
        };
        state.router.begin(&choice.instance);
        drop(state);
        Some(self.guard(target, choice))
    }

    /// Counts a first attempt.
    pub fn first_attempt(&self) {
        self.lock().budget.record_call();
    }

    /// Whether the budget has room for another attempt.
    #[must_use]
    pub fn try_retry(&self) -> bool {
        let allowed = self.lock().budget.try_retry();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Takes a load that came with an answer.
    pub fn report(&self, instance: &str, in_flight: u32, limit: u32) {
        self.lock().router.report(instance, in_flight, limit);
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().queues.values().map(FairQueue::len).sum()
    }

    fn guard(&self, target: &RouteTarget, choice: AgentChoice) -> PlaceGuard {
        PlaceGuard {
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
    ) -> oneshot::Receiver<PlaceGuard> {
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

    /// Gives free places to the calls that wait for `target`.
    fn wake(&self, target: &RouteTarget) {
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
            state.router.begin(&choice.instance);
            drop(state);
            // A waiter that has just left drops the guard, which frees the place again.
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
            self.wake(&target);
        }
        self.count_waiting();
    }

    fn count_waiting(&self) {
        let waiting = i64::try_from(self.waiting()).unwrap_or(i64::MAX);
        self.metrics.queue_length.set(waiting);
    }

    fn lock(&self) -> MutexGuard<'_, PlacementState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

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
