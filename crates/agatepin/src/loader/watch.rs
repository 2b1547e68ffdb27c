//! Watches which pieces of a version other agents have.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::loader::uploads::READY_WAIT;
use crate::loader::view::LoadPlan;
use crate::relay::overlay::{PullClient, PullQuery, ReadyQuery};

/// Pause between an answer and the next question to the same agent, in which more pieces arrive
/// there.
const WATCH_PAUSE: Duration = Duration::from_millis(25);
/// Timeout of an answer: the time in which the other agent answers, and the longest round trip.
const WATCH_TIMEOUT: Duration = READY_WAIT.saturating_add(Duration::from_millis(900));

/// News of another agent.
pub enum WatchEvent {
    /// The agent has these pieces.
    Ready(SocketAddr, Vec<u32>),
    /// The agent cannot be reached.
    Lost(SocketAddr),
}

/// Task that asks one agent which pieces it has. Dropping it ends the task.
struct PeerWatch {
    /// Pieces to ask for.
    wanted: Rc<RefCell<BTreeSet<u32>>>,
    task: JoinHandle<()>,
}

impl Drop for PeerWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Watches of the agents that have pieces of one version.
pub struct PeerWatches {
    plan: LoadPlan,
    watches: BTreeMap<SocketAddr, PeerWatch>,
    sender: UnboundedSender<WatchEvent>,
    events: UnboundedReceiver<WatchEvent>,
}

impl PeerWatches {
    /// No watches yet, for the version of `plan`.
    #[must_use]
    pub fn new(plan: LoadPlan) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            plan,
            watches: BTreeMap::new(),
            sender,
            events,
        }
    }

    /// Watches the agents in `wanted` for their pieces, and no other agents.
    pub fn set_wanted(&mut self, wanted: BTreeMap<SocketAddr, BTreeSet<u32>>) {
        self.watches
            .retain(|peer, watch| wanted.contains_key(peer) && !watch.task.is_finished());
        for (peer, pieces) in wanted {
            if let Some(watch) = self.watches.get(&peer) {
                *watch.wanted.borrow_mut() = pieces;
                continue;
            }
            let wanted = Rc::new(RefCell::new(pieces));
            let task = watch(peer, self.plan.clone(), wanted.clone(), self.sender.clone());
            let task = actix_rt::spawn(task);
            self.watches.insert(peer, PeerWatch { wanted, task });
        }
    }

    /// The next news, as soon as there is some.
    pub async fn next_event(&mut self) -> Option<WatchEvent> {
        self.events.recv().await
    }

    /// The next news, if there is some.
    pub fn try_event(&mut self) -> Option<WatchEvent> {
        self.events.try_recv().ok()
    }
}

/// Asks `peer` which of the pieces `wanted` it has until no more are wanted.
async fn watch(
    peer: SocketAddr,
    plan: LoadPlan,
    wanted: Rc<RefCell<BTreeSet<u32>>>,
    events: UnboundedSender<WatchEvent>,
) {
    if let Err(err) = ask_until_unwanted(peer, &plan, &wanted, &events).await {
        log::info!(peer:%, version = plan.version, err:%; "agent lost");
        // The receiver is gone only if the fetch has ended.
        let _ = events.send(WatchEvent::Lost(peer));
    }
}

async fn ask_until_unwanted(
    peer: SocketAddr,
    plan: &LoadPlan,
    wanted: &RefCell<BTreeSet<u32>>,
    events: &UnboundedSender<WatchEvent>,
) -> Result<()> {
    let mut client = PullClient::connect(peer).await?;
    loop {
        let pieces: Vec<u32> = wanted.borrow().iter().copied().collect();
        if pieces.is_empty() {
            return Ok(());
        }
        let query = PullQuery::Ready(ReadyQuery {
            model: plan.model.clone(),
            version: plan.version,
            pieces,
        });
        let answer = timeout(WATCH_TIMEOUT, client.ask(query)).await??;
        let mut ready = answer.ready;
        ready.retain(|piece| wanted.borrow_mut().remove(piece));
        if !ready.is_empty() && events.send(WatchEvent::Ready(peer, ready)).is_err() {
            return Ok(());
        }
        sleep(WATCH_PAUSE).await;
    }
}
