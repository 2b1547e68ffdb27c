//! Calls from entries: the links and sessions on which they arrive, and the ledger. The ledger
//! records each attempt (one execution of a call at this agent), so that an attempt that arrives
//! twice is not executed twice.

mod run;
mod suspects;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RequestId;
use agatepin_core::ledger::{AttemptStatus, CallLedger, LedgerPolicy, RetainedAnswer, SessionRef};
use agatepin_core::poison::SuspectTracker;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::shared::AgentShared;
use super::upstream::{ServedDigestReader, UpstreamClient};
use crate::suspects::SUSPECT_RETENTION;
use crate::wire::frames::{
    AgentState, CallFate, CallOutcome, CallQuery, CallStart, Header, StoredAnswer, frame::Body,
};
use crate::wire::link::{LinkSender, PeerLink};

/// Retention time of answers and refusals in the ledger, and the maximum size of all answers
/// together.
const LEDGER_POLICY: LedgerPolicy = LedgerPolicy {
    retention: Duration::from_mins(10),
    max_answer_bytes: 8 * 1024 * 1024,
};
/// Interval at which the ledger drops the answers and refusals that are older than the retention
/// time.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Metrics of the calls of one agent.
#[derive(Clone, Debug)]
pub struct CallCounters {
    /// Admitted calls, by how they ended.
    pub ended_calls: IntCounterVec,
    /// Refused calls, by reason.
    pub refused_calls: IntCounterVec,
    /// Calls that were refused because they arrived on an old link, which the entry had replaced by
    /// a newer one.
    pub old_session_calls: IntCounter,
    /// Number of attempts in the ledger.
    pub ledger_attempts: IntGauge,
    /// Size of all answers in the ledger, in bytes.
    pub ledger_bytes: IntGauge,
}

impl CallCounters {
    fn register(registry: &prometheus::Registry) -> prometheus::Result<Self> {
        let ended = Opts::new("agatepin_agent_calls_total", "Calls by how they ended.");
        let refused = Opts::new("agatepin_agent_refusals_total", "Refused calls by reason.");
        let counters = Self {
            ended_calls: IntCounterVec::new(ended, &["end"])?,
            refused_calls: IntCounterVec::new(refused, &["reason"])?,
            old_session_calls: IntCounter::new(
                "agatepin_agent_old_session_calls_total",
                "Calls that arrived on a replaced link.",
            )?,
            ledger_attempts: IntGauge::new(
                "agatepin_agent_ledger_attempts",
                "Attempts in the ledger.",
            )?,
            ledger_bytes: IntGauge::new(
                "agatepin_agent_ledger_answer_bytes",
                "Bytes of the answers in the ledger.",
            )?,
        };
        registry.register(Box::new(counters.ended_calls.clone()))?;
        registry.register(Box::new(counters.refused_calls.clone()))?;
        registry.register(Box::new(counters.old_session_calls.clone()))?;
        registry.register(Box::new(counters.ledger_attempts.clone()))?;
        registry.register(Box::new(counters.ledger_bytes.clone()))?;
        Ok(counters)
    }
}

/// State that the calls of one agent share. It is not `Send`: all calls run on the daemon's thread.
struct CallServer {
    shared: Arc<AgentShared>,
    ledger: RefCell<CallLedger>,
    upstream: UpstreamClient,
    /// Reads the digest of the weights that the engine serves.
    served_digest_reader: ServedDigestReader,
    counters: CallCounters,
    /// Open links from entries, by link number.
    links: RefCell<HashMap<u64, LinkSender>>,
    /// Number of the link opened last; 0 before the first.
    last_link_number: RefCell<u64>,
    /// Suspects: requests that were in flight when an upstream crashed. They run alone or are
    /// refused.
    suspects: RefCell<SuspectTracker>,
}

impl CallServer {
    /// Changes the ledger and updates the metrics of its size.
    fn change_ledger<Change, Outcome>(&self, change: Change) -> Outcome
    where
        Change: FnOnce(&mut CallLedger) -> Outcome,
    {
        let mut ledger = self.ledger.borrow_mut();
        let outcome = change(&mut ledger);
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.counters.ledger_attempts.set(gauge(ledger.len()));
        self.counters.ledger_bytes.set(gauge(ledger.answer_bytes()));
        outcome
    }
}

/// Handle to the calls of an agent.
#[derive(Clone)]
pub struct CallHandle {
    server: Rc<CallServer>,
}

/// Starts serving the calls that arrive on `links`, on this thread.
///
/// # Errors
/// A metric of the same name is registered already.
pub fn start(
    shared: Arc<AgentShared>,
    states: watch::Receiver<AgentState>,
    links: mpsc::UnboundedReceiver<PeerLink>,
) -> prometheus::Result<CallHandle> {
    let upstream = UpstreamClient::new(&shared.settings.upstream.url);
    let incarnation = shared.context.identity.incarnation;
    let server = Rc::new(CallServer {
        ledger: RefCell::new(CallLedger::new(incarnation, LEDGER_POLICY)),
        served_digest_reader: ServedDigestReader::start(upstream.clone()),
        counters: CallCounters::register(&shared.context.registry)?,
        upstream,
        shared,
        links: RefCell::default(),
        last_link_number: RefCell::default(),
        suspects: RefCell::new(SuspectTracker::new(SUSPECT_RETENTION)),
    });
    actix_rt::spawn(accept_links(server.clone(), states, links));
    actix_rt::spawn(expire_ledger(server.clone()));
    Ok(CallHandle { server })
}

impl CallHandle {
    /// Waits until each linked entry has received all frames sent to it so far, or its link has
    /// closed.
    pub async fn wait_delivered(&self) {
        let links: Vec<LinkSender> = self.server.links.borrow().values().cloned().collect();
        for sender in links {
            // An error means that the link has closed: its frames cannot be received any more.
            let _ = sender.wait_delivered().await;
        }
    }
}

async fn expire_ledger(server: Rc<CallServer>) {
    loop {
        tokio::select! {
            () = server.shared.context.stopped.cancelled() => return,
            () = tokio::time::sleep(EXPIRE_INTERVAL) => (),
        }
        server.change_ledger(|ledger| ledger.expire(Instant::now()));
    }
}

async fn accept_links(
    server: Rc<CallServer>,
    states: watch::Receiver<AgentState>,
    mut links: mpsc::UnboundedReceiver<PeerLink>,
) {
    loop {
        let accepted = tokio::select! {
            () = server.shared.context.stopped.cancelled() => return,
            accepted = links.recv() => accepted,
        };
        let Some(link) = accepted else {
            return;
        };
        actix_rt::spawn(serve_link(server.clone(), states.clone(), link));
    }
}

/// Registers a link with the server and its session with the ledger; dropping the guard removes
/// both.
struct LinkGuard {
    server: Rc<CallServer>,
    /// Incarnation of the entry and number of its connection, under which the ledger knows the
    /// link.
    session: SessionRef,
    /// Number of the link in [`CallServer::links`].
    number: u64,
}

impl LinkGuard {
    fn open(server: Rc<CallServer>, session: SessionRef, sender: LinkSender) -> Self {
        let number = {
            let mut last = server.last_link_number.borrow_mut();
            *last += 1;
            *last
        };
        server.ledger.borrow_mut().open_session(session);
        server.links.borrow_mut().insert(number, sender);
        Self {
            server,
            session,
            number,
        }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.server.ledger.borrow_mut().close_session(self.session);
        self.server.links.borrow_mut().remove(&self.number);
    }
}

async fn serve_link(
    server: Rc<CallServer>,
    states: watch::Receiver<AgentState>,
    mut link: PeerLink,
) {
    let session = SessionRef {
        entry: link.peer.incarnation,
        session: link.session,
    };
    let _guard = LinkGuard::open(server.clone(), session, link.sender.clone());
    actix_rt::spawn(send_states(states, link.sender.clone()));
    server.send_suspects(&link.sender);
    // Guards of the calls that arrived on this link. Dropping a guard cancels its call: on
    // `CallCancel` that call, and when the link closes all calls.
    let mut cancels: HashMap<RequestId, DropGuard> = HashMap::new();
    while let Some(body) = link.receiver.recv().await {
        match body {
            Body::CallStart(call) => {
                cancels.retain(|_, guard| !is_cancelled(guard));
                let id = call.id.unwrap_or_default().into();
                let cancel = CancellationToken::new();
                cancels.insert(id, cancel.clone().drop_guard());
                start_call(&server, session, call, &link.sender, cancel);
            }
            Body::CallCancel(cancel) => {
                cancels.remove(&cancel.id.unwrap_or_default().into());
            }
            Body::CallQuery(query) => {
                let reply = answer_query(&server, session, query);
                if link.sender.send(Body::CallFate(reply)).await.is_err() {
                    return;
                }
            }
            Body::SuspectNews(news) => server.record_suspects(news),
            Body::CallSettled(settled) => server.change_ledger(|ledger| {
                for attempt in settled.attempts {
                    ledger.settle(&attempt);
                }
            }),
            _ => {
                log::debug!(peer = link.peer.instance.as_str(); "unexpected frame on a call link; closing the link");
                return;
            }
        }
    }
}

/// Whether the call of `guard` has ended. A call cancels its own token when it ends, so that its
/// guard can be dropped.
fn is_cancelled(guard: &DropGuard) -> bool {
    guard.token().is_cancelled()
}

fn start_call(
    server: &Rc<CallServer>,
    session: SessionRef,
    call: CallStart,
    sender: &LinkSender,
    cancel: CancellationToken,
) {
    actix_rt::spawn(run::run_call(
        server.clone(),
        session,
        call,
        sender.clone(),
        cancel,
    ));
}

async fn send_states(mut states: watch::Receiver<AgentState>, sender: LinkSender) {
    loop {
        let state = states.borrow_and_update().clone();
        if sender.send(Body::AgentState(state)).await.is_err() {
            return;
        }
        tokio::select! {
            () = sender.closed() => return,
            changed = states.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

fn answer_query(server: &CallServer, session: SessionRef, query: CallQuery) -> CallFate {
    let owner = query.id.map_or(0, |id| id.entry_incarnation);
    let now = Instant::now();
    let status = server.change_ledger(|ledger| {
        ledger.query(session, owner, query.agent_incarnation, &query.attempt, now)
    });
    status_frame(query.id, query.attempt, status)
}

fn status_frame(
    id: Option<crate::wire::frames::RequestId>,
    attempt: String,
    status: AttemptStatus,
) -> CallFate {
    let outcome = match &status {
        AttemptStatus::Refused => CallOutcome::Refused,
        AttemptStatus::Running => CallOutcome::Running,
        AttemptStatus::Done(_) => CallOutcome::Done,
        AttemptStatus::Unknown => CallOutcome::Unknown,
    };
    let answer = match status {
        AttemptStatus::Done(answer) => Some(answer.into()),
        _ => None,
    };
    CallFate {
        id,
        attempt,
        outcome: outcome.into(),
        answer,
    }
}

impl From<RetainedAnswer> for StoredAnswer {
    fn from(answer: RetainedAnswer) -> Self {
        let mut headers = Vec::new();
        for (name, value) in answer.headers {
            headers.push(Header { name, value });
        }
        Self {
            status: u32::from(answer.status),
            headers,
            body: answer.body,
        }
    }
}
