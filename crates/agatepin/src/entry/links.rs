//! Maintains the links of an entry to its agents: all agents, or a subset of them in large
//! clusters.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatepin_core::ids::{IncarnationId, InstanceId, SessionId};
use agatepin_core::member::{MemberRole, MemberView};
use agatepin_core::poison::SuspectTracker;
use agatepin_core::rank;
use agatepin_core::retry::BackoffPolicy;
use serde::Serialize;
use tokio::sync::watch;

use super::directory::AgentDirectory;
use super::open_calls::{LinkId, OpenCalls};
use crate::context::ProcessContext;
use crate::suspects;
use crate::wire::frames::{LinkPurpose, SuspectNews, frame::Body};
use crate::wire::link::{self, LinkSender, PeerLink};

/// Maximum number of agents that one entry is linked to.
pub const MAX_LINKS: usize = 128;

/// Wait before an attempt to reconnect: it grows with the number of consecutive failures, from
/// `base` up to `max`.
const RECONNECT_BACKOFF: BackoffPolicy = BackoffPolicy {
    base: Duration::from_millis(50),
    max: Duration::from_secs(2),
};

/// An open link to an agent.
#[derive(Clone, Debug)]
pub struct AgentLink {
    /// Agent and session of the link.
    pub id: LinkId,
    /// Incarnation of the agent, which tells restarts of the process apart.
    pub incarnation: IncarnationId,
    /// Sends frames to the agent.
    pub sender: LinkSender,
}

/// State of a linked agent as shown in `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct AgentDump {
    instance: InstanceId,
    incarnation: IncarnationId,
    /// Stage of the agent's gate (admission control).
    gate: &'static str,
    /// Model that the agent serves; empty if it serves none.
    model: String,
    /// Version of the model; empty if the agent serves none.
    version: String,
    /// Service that the upstream runs; empty unless the configuration declares it a service.
    service: String,
    /// Whether the agent is shutting down gracefully.
    leaving: bool,
    /// Number of calls in flight at the agent.
    in_flight: u32,
    /// Maximum number of calls in flight at the agent, apart from suspects; 0 while a suspect runs
    /// or waits to run there.
    limit: u32,
}

#[derive(Debug)]
struct LinkTable {
    /// Open links by agent.
    open_links: Mutex<BTreeMap<InstanceId, AgentLink>>,
    /// Agents whose links are maintained by a running task.
    maintained_agents: Mutex<BTreeSet<InstanceId>>,
    /// Number of the latest connection attempt (session) to each agent.
    sessions: Mutex<HashMap<InstanceId, SessionId>>,
    /// Number of links opened so far; tasks subscribe to it to wait for a link.
    changes: watch::Sender<u64>,
}

/// The links of one entry; clones share them.
#[derive(Clone, Debug)]
pub struct AgentLinks {
    context: ProcessContext,
    directory: AgentDirectory,
    calls: OpenCalls,
    suspects: Arc<Mutex<SuspectTracker>>,
    table: Arc<LinkTable>,
}

impl AgentLinks {
    /// Creates a value without links; [`Self::run`] opens them.
    #[must_use]
    pub fn new(
        context: ProcessContext,
        directory: AgentDirectory,
        calls: OpenCalls,
        suspects: Arc<Mutex<SuspectTracker>>,
    ) -> Self {
        let table = LinkTable {
            open_links: Mutex::default(),
            maintained_agents: Mutex::default(),
            sessions: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        Self {
            context,
            directory,
            calls,
            suspects,
            table: Arc::new(table),
        }
    }

    /// Returns the open link to an agent; `None` if there is none.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<AgentLink> {
        let open = lock(&self.table.open_links);
        let link = open.get(instance)?;
        (!link.sender.is_closed()).then(|| link.clone())
    }

    /// Returns the states of the linked agents.
    #[must_use]
    pub fn dump(&self) -> Vec<AgentDump> {
        self.directory.read(|states| {
            let agents = states.values().map(|state| AgentDump {
                instance: state.instance.clone(),
                incarnation: state.incarnation,
                gate: state.gate().as_str_name(),
                model: state.model.clone(),
                version: state.version.clone(),
                service: state.service.clone(),
                leaving: state.leaving,
                in_flight: state.in_flight,
                limit: state.limit,
            });
            agents.collect()
        })
    }

    /// Returns the open link to an agent, waiting at most `timeout` until there is one.
    pub async fn wait_for_link(&self, instance: &str, timeout: Duration) -> Option<AgentLink> {
        let mut changes = self.table.changes.subscribe();
        let waiting = async {
            loop {
                if let Some(link) = self.find(instance) {
                    return Some(link);
                }
                changes.changed().await.ok()?;
            }
        };
        tokio::time::timeout(timeout, waiting).await.ok()?
    }

    /// Maintains the links to the selected agents (all, or at most [`MAX_LINKS`]) until the process
    /// stops.
    pub async fn run(self) {
        let stopped = self.context.stopped.clone();
        let mut members = self.context.members.clone();
        loop {
            let wanted = agent_subset(
                &members.borrow_and_update(),
                &self.context.identity.instance,
            );
            for instance in wanted {
                if lock(&self.table.maintained_agents).insert(instance.clone()) {
                    tokio::spawn(self.clone().maintain_link(instance));
                }
            }
            tokio::select! {
                () = stopped.cancelled() => return,
                changed = members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Maintains the link to one agent while that agent is selected, reconnecting with backoff.
    async fn maintain_link(self, instance: InstanceId) {
        let stopped = self.context.stopped.clone();
        let mut failures = 0;
        while let Some(address) = self.subset_address(&instance) {
            let session = self.next_session(&instance);
            let opened = tokio::select! {
                () = stopped.cancelled() => break,
                opened = self.connect(address, session) => opened,
            };
            match opened {
                Ok(link) if link.peer.instance == instance => {
                    failures = 0;
                    self.receive_frames(link).await;
                }
                Ok(_) => failures += 1,
                Err(err) => {
                    if failures == 0 {
                        log::warn!(agent = instance.as_str(); "failed to open link to agent: {err}");
                    }
                    failures += 1;
                }
            }
            let wait = RECONNECT_BACKOFF.wait(failures, rand::random());
            tokio::select! {
                () = stopped.cancelled() => break,
                () = tokio::time::sleep(wait) => (),
            }
        }
        lock(&self.table.maintained_agents).remove(&instance);
    }

    async fn connect(
        &self,
        address: SocketAddr,
        session: SessionId,
    ) -> Result<PeerLink, link::LinkError> {
        let context = &self.context;
        let purpose = LinkPurpose::Calls;
        link::connect(
            address,
            &context.identity,
            purpose,
            session,
            &context.policy,
        )
        .await
    }

    async fn receive_frames(&self, link: PeerLink) {
        let id = LinkId {
            instance: link.peer.instance.clone(),
            session: link.session,
        };
        let handle = AgentLink {
            id: id.clone(),
            incarnation: link.peer.incarnation,
            sender: link.sender.clone(),
        };
        lock(&self.table.open_links).insert(id.instance.clone(), handle);
        self.table.changes.send_modify(|count| *count += 1);
        let mut frames = link.receiver;
        loop {
            let received = tokio::select! {
                () = self.context.stopped.cancelled() => None,
                received = frames.recv() => received,
            };
            let Some(body) = received else {
                break;
            };
            match body {
                Body::AgentState(state) if state.instance == id.instance => {
                    self.directory.update(state);
                }
                Body::SuspectNews(news) => self.forward_suspects(&id, news),
                body => self.calls.deliver(&id, body),
            }
        }
        link.sender.close();
        lock(&self.table.open_links).remove(&id.instance);
        self.directory.remove(&id.instance, link.peer.incarnation);
        self.calls.end_calls_on(&id);
    }

    /// Records the suspects that the agent of the link `from` reported, and forwards the suspects
    /// with crashes that this entry did not know yet to the other linked agents.
    fn forward_suspects(&self, from: &LinkId, reported: SuspectNews) {
        let unseen = suspects::record_crashes(&mut lock(&self.suspects), reported, Instant::now());
        if unseen.records.is_empty() {
            return;
        }
        for (instance, link) in lock(&self.table.open_links).iter() {
            if *instance != from.instance {
                // A failed send is ignored: if the link has closed, the agent gets no calls from
                // this entry either.
                let _ = link.sender.try_send(Body::SuspectNews(unseen.clone()));
            }
        }
    }

    fn subset_address(&self, instance: &str) -> Option<SocketAddr> {
        let members = self.context.members.borrow();
        let wanted = agent_subset(&members, &self.context.identity.instance);
        if !wanted.contains(instance) {
            return None;
        }
        members.find(instance).map(|member| member.wire)
    }

    fn next_session(&self, instance: &str) -> SessionId {
        let mut sessions = lock(&self.table.sessions);
        let session = sessions.entry(instance.to_owned()).or_insert(0);
        *session += 1;
        *session
    }
}

/// Returns the agents that `entry` links to: all live ones, or the [`MAX_LINKS`] that rank first
/// for `entry` by rendezvous hashing.
fn agent_subset(members: &MemberView, entry: &str) -> BTreeSet<InstanceId> {
    let live = members.live(MemberRole::Agent);
    let mut agents: Vec<InstanceId> = live.map(|member| member.instance.clone()).collect();
    if agents.len() > MAX_LINKS {
        rank::sort_by_rank(entry.as_bytes(), &mut agents);
        agents.truncate(MAX_LINKS);
    }
    agents.into_iter().collect()
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
