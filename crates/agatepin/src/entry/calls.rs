//! Dispatch of calls to agents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatepin_core::claim::{AttemptStatus, ClaimTarget};
use agatepin_core::fair_queue::QueueParams;
use agatepin_core::ids::{ContentDigest, CustomerId};
use agatepin_core::poison::{SuspectAdmission, SuspectKey, SuspectTracker};
use agatepin_core::retry::BackoffPolicy;
use agatepin_core::router::RouteTarget;
use bytes::Bytes;

use super::answer::{self, AnswerStream, AttemptError};
use super::links::AgentLinks;
use super::metrics::EntryMetrics;
use super::open_calls::{CallNews, OpenCalls};
use super::placement::{CallPlacement, PlaceGuard};
use super::settled::SettledNotes;
use crate::context::ProcessContext;
use crate::settings::CallSettings;
use crate::suspects;
use crate::wire::frames::{
    AnswerHead, CallCancel, CallKind, CallOutcome, CallQuery, CallStart, Header, RefusalReason,
    frame::Body,
};

/// Longest wait for the answer to a query, new connection included.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer of a call that is read whole before the caller gets its first byte.
pub const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;

const RETRY_BACKOFF: BackoffPolicy = BackoffPolicy {
    base: Duration::from_millis(5),
    max: Duration::from_millis(200),
};
const SUSPECT_WAIT: Duration = Duration::from_millis(20);

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Customer.
    pub customer: CustomerId,
    /// Share of the customer.
    pub weight: u32,
    /// Priority of the customer.
    pub priority: u32,
    /// Model or service.
    pub target: RouteTarget,
    /// HTTP method.
    pub method: String,
    /// Path at the upstream.
    pub path: String,
    /// Headers for the upstream.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Digest of the body.
    pub digest: ContentDigest,
    /// It may be run again.
    pub idempotent: bool,
    /// The answer goes out as it comes.
    pub streamed: bool,
    /// Hash of the prefix that an engine may have cached.
    pub affinity: Option<u64>,
    /// When the call ends at the latest.
    pub deadline: Instant,
}

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It has not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// It crashed upstreams before.
    Poison,
}

/// An answer that is under way.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status and headers.
    pub head: AnswerHead,
    /// What has been read of the body.
    pub first: Bytes,
    /// The rest; `None` where `first` is all.
    pub rest: Option<AnswerStream>,
}

/// What the parts of an entry share.
#[derive(Clone, Debug)]
pub struct EntryShared {
    /// The process.
    pub context: ProcessContext,
    /// Settings of calls.
    pub settings: CallSettings,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Open calls.
    pub calls: OpenCalls,
    /// Links to agents.
    pub links: AgentLinks,
    /// Router and queue.
    pub placement: CallPlacement,
    /// Attempts whose outcome is committed.
    pub settled: SettledNotes,
    /// Requests that crashed upstreams.
    pub suspects: Arc<Mutex<SuspectTracker>>,
}

impl EntryShared {
    /// Runs a call that may be run again, until it has an answer of which nothing was lost so far.
    ///
    /// # Errors
    /// No attempt gave an answer.
    pub async fn run_idempotent(&self, spec: &CallSpec) -> Result<OpenAnswer, CallError> {
        let running = self.run_attempts(spec);
        let deadline = tokio::time::Instant::from_std(spec.deadline);
        tokio::time::timeout_at(deadline, running)
            .await
            .unwrap_or_else(|_| Err(CallError::Unknown("call timed out".into())))
    }

    async fn run_attempts(&self, spec: &CallSpec) -> Result<OpenAnswer, CallError> {
        self.placement.first_attempt();
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let queued_until = Instant::now() + self.settings.queue_timeout;
        loop {
            let alone = self.await_turn(spec).await?;
            let place = self.place(spec, &tried, alone.is_some()).await;
            let Some(place) = place else {
                return Err(no_place(may_have_run));
            };
            let instance = place.choice.instance.clone();
            let failed = match self.attempt(spec, place, "", alone.is_some()).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            match &failed {
                AttemptError::Refused(reason) => {
                    self.metrics.refusal(reason.as_str_name(), &spec.customer);
                }
                _ => may_have_run = true,
            }
            tried.push(instance);
            // Few calls are in flight at a crash, and a suspect runs at most once more. A call that
            // met a full gate has cost the upstream nothing and waits on.
            let waits = is_full(&failed) && Instant::now() < queued_until;
            let bounded = failed == AttemptError::Crashed || alone.is_some() || waits;
            if !bounded && !self.placement.try_retry() {
                return Err(no_place(may_have_run));
            }
            let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
            tokio::time::sleep(RETRY_BACKOFF.wait(attempts, rand::random())).await;
        }
    }

    /// Runs one attempt up to the answer's first part, or to its end unless it is streamed.
    ///
    /// # Errors
    /// The attempt gave no answer.
    pub async fn attempt(
        &self,
        spec: &CallSpec,
        place: PlaceGuard,
        attempt: &str,
        suspect: bool,
    ) -> Result<OpenAnswer, AttemptError> {
        let mut stream = self.start(spec, place, attempt, suspect).await?;
        let opened = self.open(spec, &mut stream).await;
        if let Some((in_flight, limit)) = stream.load {
            let instance = &stream.place().choice.instance;
            self.placement.report(instance, in_flight, limit);
        }
        if matches!(opened, Err(AttemptError::Crashed)) {
            self.learn_crash(spec, &stream, suspect);
        }
        let (head, first, whole) = opened?;
        let rest = (!whole).then_some(stream);
        Ok(OpenAnswer { head, first, rest })
    }

    /// Reads the head of an answer and the first part of its body, or the whole unless it is
    /// streamed.
    async fn open(
        &self,
        spec: &CallSpec,
        stream: &mut AnswerStream,
    ) -> Result<(AnswerHead, Bytes, bool), AttemptError> {
        let started = Instant::now();
        let head = stream.head().await?;
        let limit = if spec.streamed { 0 } else { MAX_HELD_BYTES };
        let (first, whole) = stream.collect(limit).await?;
        self.metrics.first_byte(kind_name(spec), started.elapsed());
        Ok((head, first, whole))
    }

    /// A place for the call, waiting in the queue where all upstreams are full. All suspects go to
    /// the same agent, which runs them one at a time.
    pub async fn place(
        &self,
        spec: &CallSpec,
        tried: &[String],
        suspect: bool,
    ) -> Option<PlaceGuard> {
        if suspect {
            return self.placement.place_suspect(&spec.target, tried);
        }
        let queued_until = Instant::now() + self.settings.queue_timeout;
        let params = QueueParams {
            customer: spec.customer.clone(),
            weight: spec.weight,
            priority: spec.priority,
            deadline: queued_until.min(spec.deadline),
        };
        self.placement
            .place(&spec.target, spec.affinity, tried, &params)
            .await
    }

    async fn start(
        &self,
        spec: &CallSpec,
        place: PlaceGuard,
        attempt: &str,
        suspect: bool,
    ) -> Result<AnswerStream, AttemptError> {
        let not_sent = AttemptError::Refused(RefusalReason::Unreachable);
        let Some(link) = self.links.find(&place.choice.instance) else {
            return Err(not_sent);
        };
        let guard = self.calls.open(&spec.customer, link.name);
        let remaining = spec.deadline.saturating_duration_since(Instant::now());
        let (kind, model) = match &spec.target {
            RouteTarget::Model(model) => (CallKind::Chat, model.clone()),
            RouteTarget::Service(_) => (CallKind::Service, String::new()),
        };
        let start = CallStart {
            id: Some(guard.id.into()),
            agent_incarnation: place.choice.incarnation,
            customer: spec.customer.clone(),
            kind: kind.into(),
            model,
            method: spec.method.clone(),
            path: spec.path.clone(),
            headers: spec.headers.clone(),
            body: spec.body.clone(),
            body_digest: Bytes::copy_from_slice(spec.digest.as_bytes()),
            idempotent: spec.idempotent,
            attempt: attempt.to_owned(),
            priority: spec.priority,
            deadline_millis: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            suspect,
        };
        let sent = link.sender.send(Body::CallStart(start)).await;
        sent.map_err(|_| AttemptError::Lost)?;
        Ok(AnswerStream::new(guard, place))
    }

    /// Tells the agent that nobody waits for the answer any more.
    pub fn cancel(&self, stream: &AnswerStream) {
        let Some(link) = self.links.find(&stream.place().choice.instance) else {
            return;
        };
        let id = Some(crate::wire::frames::RequestId {
            entry_incarnation: self.context.identity.incarnation,
            number: stream.number(),
        });
        // A full queue or a lost link ends the call as well, later.
        let _ = link.sender.try_send(Body::CallCancel(CallCancel { id }));
    }

    /// Asks an agent what became of an attempt.
    pub async fn query(
        &self,
        customer: &str,
        target: &ClaimTarget,
        attempt: &str,
    ) -> AttemptStatus {
        let asking = self.ask(customer, target, attempt);
        let fate = tokio::time::timeout(QUERY_TIMEOUT, asking).await;
        fate.ok().flatten().unwrap_or(AttemptStatus::Unreachable)
    }

    async fn ask(
        &self,
        customer: &str,
        target: &ClaimTarget,
        attempt: &str,
    ) -> Option<AttemptStatus> {
        loop {
            let link = self.links.wait(&target.instance, QUERY_TIMEOUT).await?;
            let mut guard = self.calls.open(customer, link.name);
            let query = CallQuery {
                id: Some(guard.id.into()),
                attempt: attempt.to_owned(),
                agent_incarnation: target.incarnation,
            };
            if link.sender.send(Body::CallQuery(query)).await.is_err() {
                tokio::time::sleep(SUSPECT_WAIT).await;
                continue;
            }
            let Some(CallNews::Fate(fate)) = guard.recv().await else {
                tokio::time::sleep(SUSPECT_WAIT).await;
                continue;
            };
            if fate.attempt != attempt {
                return None;
            }
            return Some(match fate.outcome() {
                CallOutcome::Refused => AttemptStatus::Refused,
                CallOutcome::Running => AttemptStatus::Running,
                CallOutcome::Done => AttemptStatus::Done(fate.answer.as_ref().map(answer::stored)),
                CallOutcome::Unknown | CallOutcome::Unspecified => AttemptStatus::Unknown,
            });
        }
    }

    /// Waits until a suspect may run; `None` for all other calls.
    ///
    /// # Errors
    /// The request is refused, or its deadline passes.
    pub async fn await_turn(&self, spec: &CallSpec) -> Result<Option<SuspectTurn>, CallError> {
        while Instant::now() < spec.deadline {
            match self.suspect_admission(spec) {
                SuspectAdmission::Unrestricted => return Ok(None),
                SuspectAdmission::Refuse => return Err(CallError::Poison),
                SuspectAdmission::RunAlone => (),
            }
            if let Some(turn) = self.take_turn(spec) {
                return Ok(Some(turn));
            }
            tokio::time::sleep(SUSPECT_WAIT).await;
        }
        Err(CallError::NotRun("the same request runs elsewhere".into()))
    }

    fn suspect_admission(&self, spec: &CallSpec) -> SuspectAdmission {
        lock(&self.suspects).admission(&suspect_key(spec), Instant::now())
    }

    fn take_turn(&self, spec: &CallSpec) -> Option<SuspectTurn> {
        let key = suspect_key(spec);
        let taken = lock(&self.suspects).try_run(&key);
        taken.then(|| SuspectTurn {
            suspects: self.suspects.clone(),
            key,
        })
    }

    /// Notes that the request of `stream` was in flight at a crash, as its agent does.
    fn learn_crash(&self, spec: &CallSpec, stream: &AnswerStream, suspect: bool) {
        let choice = &stream.place().choice;
        let alone = suspect.then_some(stream.id());
        let witness = suspects::witness(&choice.instance, choice.incarnation, alone);
        lock(&self.suspects).record_crashes(suspect_key(spec), [witness], Instant::now());
    }
}

/// The only run of a suspect at this entry; dropping it ends the run.
#[derive(Debug)]
pub struct SuspectTurn {
    suspects: Arc<Mutex<SuspectTracker>>,
    key: SuspectKey,
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        lock(&self.suspects).end_run(&self.key);
    }
}

fn suspect_key(spec: &CallSpec) -> SuspectKey {
    SuspectKey {
        customer: spec.customer.clone(),
        body_digest: spec.digest,
    }
}

fn is_full(failed: &AttemptError) -> bool {
    matches!(
        failed,
        AttemptError::Refused(RefusalReason::ColdLimit | RefusalReason::Full)
    )
}

fn no_place(may_have_run: bool) -> CallError {
    let message = "no upstream took the call in time".to_owned();
    if may_have_run {
        return CallError::Unknown(message);
    }
    CallError::NotRun(message)
}

fn kind_name(spec: &CallSpec) -> &'static str {
    match spec.target {
        RouteTarget::Model(_) => "chat",
        RouteTarget::Service(_) => "service",
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
