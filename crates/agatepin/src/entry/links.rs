//! Links to the agents of an entry's subset.

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
use super::open_calls::{LinkName, OpenCalls};
use crate::context::ProcessContext;
use crate::suspects;
use crate::wire::frames::{LinkPurpose, SuspectNews, frame::Body};
use crate::wire::link::{self, LinkSender, PeerLink};

/// Agents that one entry is linked to.
pub const MAX_LINKS: usize = 128;

const RECONNECT: BackoffPolicy = BackoffPolicy {
    base: Duration::from_millis(50),
    max: Duration::from_secs(2),
};

/// An open link to an agent.
#[derive(Clone, Debug)]
pub struct AgentLink {
    /// Its name.
    pub name: LinkName,
    /// Incarnation of the agent.
    pub incarnation: IncarnationId,
    /// Sends frames.
    pub sender: LinkSender,
}

/// A linked agent in the dump.
#[derive(Clone, Debug, Serialize)]
pub struct AgentDump {
    instance: InstanceId,
    incarnation: IncarnationId,
    gate: &'static str,
    model: String,
    version: String,
    service: String,
    leaving: bool,
    in_flight: u32,
    limit: u32,
}

#[derive(Debug)]
struct LinkTable {
    open: Mutex<BTreeMap<InstanceId, AgentLink>>,
    tasks: Mutex<BTreeSet<InstanceId>>,
    sessions: Mutex<HashMap<InstanceId, SessionId>>,
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
    /// No links yet; [`Self::run`] opens them.
    #[must_use]
    pub fn new(
        context: ProcessContext,
        directory: AgentDirectory,
        calls: OpenCalls,
        suspects: Arc<Mutex<SuspectTracker>>,
    ) -> Self {
        let table = LinkTable {
            open: Mutex::default(),
            tasks: Mutex::default(),
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

    /// The open link to an agent.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<AgentLink> {
        let open = lock(&self.table.open);
        let link = open.get(instance)?;
        (!link.sender.is_closed()).then(|| link.clone())
    }

    /// The states of the linked agents.
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

    /// The link to an agent, waiting at most `timeout` for one.
    pub async fn wait(&self, instance: &str, timeout: Duration) -> Option<AgentLink> {
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

    /// Keeps the links to the agents of the subset until the process stops.
    pub async fn run(self) {
        let stopped = self.context.stopped.clone();
        let mut members = self.context.members.clone();
        loop {
            let wanted = subset(
                &members.borrow_and_update(),
                &self.context.identity.instance,
            );
            for instance in wanted {
                if lock(&self.table.tasks).insert(instance.clone()) {
                    tokio::spawn(self.clone().keep(instance));
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

    /// Keeps the link to one agent for as long as it is in the subset.
    async fn keep(self, instance: InstanceId) {
        let stopped = self.context.stopped.clone();
        let mut failures = 0;
        while let Some(address) = self.address(&instance) {
            let session = self.next_session(&instance);
            let opened = tokio::select! {
                () = stopped.cancelled() => break,
                opened = self.open(address, session) => opened,
            };
            match opened {
                Ok(link) if link.peer.instance == instance => {
                    failures = 0;
                    self.serve(link).await;
                }
                Ok(_) => failures += 1,
                Err(err) => {
                    if failures == 0 {
                        log::warn!(agent = instance.as_str(); "link cannot be opened: {err}");
                    }
                    failures += 1;
                }
            }
            let wait = RECONNECT.wait(failures, rand::random());
            tokio::select! {
                () = stopped.cancelled() => break,
                () = tokio::time::sleep(wait) => (),
            }
        }
        lock(&self.table.tasks).remove(&instance);
    }

    async fn open(
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

    async fn serve(&self, link: PeerLink) {
        let name = LinkName {
            instance: link.peer.instance.clone(),
            session: link.session,
        };
        let handle = AgentLink {
            name: name.clone(),
            incarnation: link.peer.incarnation,
            sender: link.sender.clone(),
        };
        lock(&self.table.open).insert(name.instance.clone(), handle);
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
                Body::AgentState(state) if state.instance == name.instance => {
                    self.directory.update(state);
                }
                Body::SuspectNews(news) => self.pass_on(&name, news),
                body => self.calls.deliver(&name, body),
            }
        }
        link.sender.close();
        lock(&self.table.open).remove(&name.instance);
        self.directory.remove(&name.instance, link.peer.incarnation);
        self.calls.lose(&name);
    }

    /// Learns suspects from the agent `from` and tells the other agents what was new.
    fn pass_on(&self, from: &LinkName, news: SuspectNews) {
        let news = suspects::record_crashes(&mut lock(&self.suspects), news, Instant::now());
        if news.records.is_empty() {
            return;
        }
        for (instance, link) in lock(&self.table.open).iter() {
            if *instance != from.instance {
                // A link that has closed needs no news.
                let _ = link.sender.try_send(Body::SuspectNews(news.clone()));
            }
        }
    }

    fn address(&self, instance: &str) -> Option<SocketAddr> {
        let members = self.context.members.borrow();
        let wanted = subset(&members, &self.context.identity.instance);
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

/// The agents that `entry` links to: all, or those that rank first for it.
fn subset(members: &MemberView, entry: &str) -> BTreeSet<InstanceId> {
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
