//! Dispatches calls to agents: retries of idempotent calls, single attempts, and queries for the
//! status of an attempt.

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
use super::open_calls::{CallEvent, OpenCalls};
use super::placement::{CallPlacement, SlotGuard};
use super::settlement::SettlementNotifier;
use crate::context::ProcessContext;
use crate::relay::body_budget::BodyBudget;
use crate::settings::CallSettings;
use crate::suspects;
use crate::wire::frames::{
    AnswerHead, CallCancel, CallKind, CallOutcome, CallQuery, CallStart, Header, RefusalReason,
    frame::Body,
};

/// Maximum wait for the answer to a query for the status of an attempt, including the time until a
/// link opens.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of an answer body that is received completely before the caller gets its first
/// byte, in bytes. Until then, a failed attempt can still be retried.
pub const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Wait before a retry: it grows with the number of attempts so far, from `base` up to `max`.
const RETRY_BACKOFF: BackoffPolicy = BackoffPolicy {
    base: Duration::from_millis(5),
    max: Duration::from_millis(200),
};
/// Wait before a check whether a suspect may run is repeated, and before a status query is repeated
/// after its link was lost.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A call as received from a caller.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Customer that made the call.
    pub customer: CustomerId,
    /// Weight of the customer in the fair queue: its share relative to other customers.
    pub weight: u32,
    /// Priority of the customer in the fair queue and at the agent.
    pub priority: u32,
    /// Model or service that the call is addressed to.
    pub target: RouteTarget,
    /// HTTP method of the request to the upstream.
    pub method: String,
    /// Path and query of the request to the upstream.
    pub path: String,
    /// Headers that are forwarded to the upstream.
    pub headers: Vec<Header>,
    /// Complete body of the request.
    pub body: Bytes,
    /// Digest of `body`. Together with the customer it identifies a suspect: a request that was
    /// in flight when an upstream crashed.
    pub digest: ContentDigest,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Whether the caller asked for a streamed answer, which is forwarded as it arrives.
    pub streamed: bool,
    /// Hash of the prompt prefix that an engine may have cached; `None` for services.
    pub affinity: Option<u64>,
    /// Time at which the call ends even without an answer.
    pub deadline: Instant,
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call has not been executed; contains the reason.
    NotRun(String),
    /// The call may have been executed; contains the reason why there is no answer.
    Unknown(String),
    /// The request has crashed upstreams and is refused.
    Poison,
}

/// An answer whose head has arrived, with all or the first part of its body.
#[derive(Debug)]
pub struct OpenAnswer {
    /// HTTP status, headers, and the model version that answers.
    pub head: AnswerHead,
    /// The part of the body received so far.
    pub first_part: Bytes,
    /// Stream of the body after `first_part`; `None` if `first_part` is the complete body.
    pub rest: Option<AnswerStream>,
}

/// State shared by the HTTP handlers and tasks of an entry; clones share it.
#[derive(Clone, Debug)]
pub struct EntryShared {
    /// Identity of the process, configuration in force, and cluster members that the process knows.
    pub context: ProcessContext,
    /// Time and size limits of calls.
    pub settings: CallSettings,
    /// Metrics of the calls.
    pub metrics: EntryMetrics,
    /// Calls sent to agents and not yet ended.
    pub calls: OpenCalls,
    /// Links to agents.
    pub links: AgentLinks,
    /// Chooses agents for calls, queues calls and limits retries.
    pub placement: CallPlacement,
    /// Notifies agents of attempts whose answers are stored in claim rows.
    pub settlements: SettlementNotifier,
    /// Suspects: requests that were in flight when an upstream crashed. They run alone or are
    /// refused.
    pub suspects: Arc<Mutex<SuspectTracker>>,
    /// Memory for the bodies of calls.
    pub bodies: BodyBudget,
}

impl EntryShared {
    /// Runs an idempotent call, with retries until an attempt has an answer. Retries end once the
    /// complete body has arrived or, for streamed and long answers, its first part.
    ///
    /// # Errors
    /// No attempt had an answer in time, or the request is refused because it crashes upstreams.
    pub async fn run_idempotent(&self, spec: &CallSpec) -> Result<OpenAnswer, CallError> {
        let running = self.run_attempts(spec);
        let deadline = tokio::time::Instant::from_std(spec.deadline);
        tokio::time::timeout_at(deadline, running)
            .await
            .unwrap_or_else(|_| Err(CallError::Unknown("call timed out".into())))
    }

    async fn run_attempts(&self, spec: &CallSpec) -> Result<OpenAnswer, CallError> {
        self.placement.count_first_attempt();
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let queued_until = Instant::now() + self.settings.queue_timeout;
        loop {
            let permit = self.await_suspect_permit(spec).await?;
            let slot = self.acquire_slot(spec, &tried, permit.is_some()).await;
            let Some(slot) = slot else {
                return Err(no_slot_error(may_have_run));
            };
            let instance = slot.choice.instance.clone();
            let failed = match self.attempt(spec, slot, "", permit.is_some()).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            match &failed {
                AttemptError::Refused(reason) => {
                    self.metrics
                        .count_refusal(reason.as_str_name(), &spec.customer);
                }
                _ => may_have_run = true,
            }
            tried.push(instance);
            // Three kinds of retries are not charged to the retry budget: after a crash, as few
            // calls are in flight then; of a suspect, as it runs at most once more; and, within the
            // queue timeout, after a refusal by a full gate, as that cost the upstream nothing.
            let may_wait = is_full_refusal(&failed) && Instant::now() < queued_until;
            let uncharged = failed == AttemptError::Crashed || permit.is_some() || may_wait;
            if !uncharged && !self.placement.try_retry() {
                return Err(no_slot_error(may_have_run));
            }
            let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
            tokio::time::sleep(RETRY_BACKOFF.wait(attempts, rand::random())).await;
        }
    }

    /// Runs one attempt until its complete answer has arrived or, for streamed and long answers,
    /// the first part. `attempt` identifies the attempt of a non-idempotent call and is empty
    /// otherwise.
    ///
    /// # Errors
    /// The attempt was refused, or failed before the answer or its first part had arrived.
    pub async fn attempt(
        &self,
        spec: &CallSpec,
        slot: SlotGuard,
        attempt: &str,
        suspect: bool,
    ) -> Result<OpenAnswer, AttemptError> {
        let mut stream = self.start(spec, slot, attempt, suspect).await?;
        let opened = self.receive_first_part(spec, &mut stream).await;
        if let Some((in_flight, limit)) = stream.load {
            let instance = &stream.slot().choice.instance;
            self.placement.record_load(instance, in_flight, limit);
        }
        if matches!(opened, Err(AttemptError::Crashed)) {
            self.record_crash(spec, &stream, suspect);
        }
        let (head, first_part, complete) = opened?;
        let rest = (!complete).then_some(stream);
        Ok(OpenAnswer {
            head,
            first_part,
            rest,
        })
    }

    /// Receives the head of an answer and its complete body, or the first part of the body if the
    /// answer is streamed or longer than [`MAX_BUFFERED_BYTES`]; the last value returned is whether
    /// the body is complete.
    async fn receive_first_part(
        &self,
        spec: &CallSpec,
        stream: &mut AnswerStream,
    ) -> Result<(AnswerHead, Bytes, bool), AttemptError> {
        let started = Instant::now();
        let head = stream.head().await?;
        let limit = if spec.streamed { 0 } else { MAX_BUFFERED_BYTES };
        let (first_part, complete) = stream.collect(limit).await?;
        self.metrics
            .observe_first_byte(kind_name(spec), started.elapsed());
        Ok((head, first_part, complete))
    }

    /// Acquires a slot for the call at an agent, waiting in the queue if all agents are full. A
    /// suspect does not queue: all suspects go to the same agent, which runs them one at a time.
    /// Returns `None` if no slot is available in time.
    pub async fn acquire_slot(
        &self,
        spec: &CallSpec,
        tried: &[String],
        suspect: bool,
    ) -> Option<SlotGuard> {
        if suspect {
            return self.placement.acquire_suspect_slot(&spec.target, tried);
        }
        let queued_until = Instant::now() + self.settings.queue_timeout;
        let params = QueueParams {
            customer: spec.customer.clone(),
            weight: spec.weight,
            priority: spec.priority,
            deadline: queued_until.min(spec.deadline),
        };
        self.placement
            .acquire_slot(&spec.target, spec.affinity, tried, &params)
            .await
    }

    /// Sends the call to the agent of `slot`, and returns the stream of its answer.
    async fn start(
        &self,
        spec: &CallSpec,
        slot: SlotGuard,
        attempt: &str,
        suspect: bool,
    ) -> Result<AnswerStream, AttemptError> {
        let not_sent = AttemptError::Refused(RefusalReason::Unreachable);
        let Some(link) = self.links.find(&slot.choice.instance) else {
            return Err(not_sent);
        };
        let guard = self.calls.open(&spec.customer, link.id);
        let remaining = spec.deadline.saturating_duration_since(Instant::now());
        let (kind, model) = match &spec.target {
            RouteTarget::Model(model) => (CallKind::Chat, model.clone()),
            RouteTarget::Service(_) => (CallKind::Service, String::new()),
        };
        let start = CallStart {
            id: Some(guard.id.into()),
            agent_incarnation: slot.choice.incarnation,
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
        Ok(AnswerStream::new(guard, slot))
    }

    /// Asks the agent to cancel a call whose caller no longer waits for the answer.
    pub fn cancel(&self, stream: &AnswerStream) {
        let Some(link) = self.links.find(&stream.slot().choice.instance) else {
            return;
        };
        let id = Some(crate::wire::frames::RequestId {
            entry_incarnation: self.context.identity.incarnation,
            number: stream.number(),
        });
        // If the link's queue is full or the link is lost, the call ends at the agent, but later.
        let _ = link.sender.try_send(Body::CallCancel(CallCancel { id }));
    }

    /// Asks an agent for the status of an attempt. The result is `Unreachable` if the agent does
    /// not answer within [`QUERY_TIMEOUT`].
    pub async fn query(
        &self,
        customer: &str,
        target: &ClaimTarget,
        attempt: &str,
    ) -> AttemptStatus {
        let querying = self.query_until_answered(customer, target, attempt);
        let status = tokio::time::timeout(QUERY_TIMEOUT, querying).await;
        status.ok().flatten().unwrap_or(AttemptStatus::Unreachable)
    }

    async fn query_until_answered(
        &self,
        customer: &str,
        target: &ClaimTarget,
        attempt: &str,
    ) -> Option<AttemptStatus> {
        loop {
            let link = self
                .links
                .wait_for_link(&target.instance, QUERY_TIMEOUT)
                .await?;
            let mut guard = self.calls.open(customer, link.id);
            let query = CallQuery {
                id: Some(guard.id.into()),
                attempt: attempt.to_owned(),
                agent_incarnation: target.incarnation,
            };
            if link.sender.send(Body::CallQuery(query)).await.is_err() {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let Some(CallEvent::Status(status)) = guard.recv().await else {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            if status.attempt != attempt {
                return None;
            }
            return Some(match status.outcome() {
                CallOutcome::Refused => AttemptStatus::Refused,
                CallOutcome::Running => AttemptStatus::Running,
                CallOutcome::Done => {
                    AttemptStatus::Done(status.answer.as_ref().map(answer::from_stored))
                }
                CallOutcome::Unknown | CallOutcome::Unspecified => AttemptStatus::Unknown,
            });
        }
    }

    /// Waits until a suspect may run and returns its permit; returns `None` for all other calls.
    ///
    /// # Errors
    /// The request is refused because it crashes upstreams, or its deadline passes first.
    pub async fn await_suspect_permit(
        &self,
        spec: &CallSpec,
    ) -> Result<Option<SuspectPermit>, CallError> {
        while Instant::now() < spec.deadline {
            match self.suspect_admission(spec) {
                SuspectAdmission::Unrestricted => return Ok(None),
                SuspectAdmission::Refuse => return Err(CallError::Poison),
                SuspectAdmission::RunAlone => (),
            }
            if let Some(permit) = self.try_suspect_permit(spec) {
                return Ok(Some(permit));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(CallError::NotRun("the same request runs elsewhere".into()))
    }

    fn suspect_admission(&self, spec: &CallSpec) -> SuspectAdmission {
        lock(&self.suspects).admission(&suspect_key(spec), Instant::now())
    }

    fn try_suspect_permit(&self, spec: &CallSpec) -> Option<SuspectPermit> {
        let key = suspect_key(spec);
        let taken = lock(&self.suspects).try_run(&key);
        taken.then(|| SuspectPermit {
            suspects: self.suspects.clone(),
            key,
        })
    }

    /// Records that the request of `stream` was in flight at a crash. The agent records the same
    /// crash, with the same witness (identifier of the crash), so that it counts once.
    fn record_crash(&self, spec: &CallSpec, stream: &AnswerStream, suspect: bool) {
        let choice = &stream.slot().choice;
        let suspect_id = suspect.then_some(stream.id());
        let witness = suspects::witness(&choice.instance, choice.incarnation, suspect_id);
        lock(&self.suspects).record_crashes(suspect_key(spec), [witness], Instant::now());
    }
}

/// Permits one run of a suspect at this entry; dropping the permit ends the run and lets another
/// run of the suspect start.
#[derive(Debug)]
pub struct SuspectPermit {
    suspects: Arc<Mutex<SuspectTracker>>,
    /// Customer and body digest of the suspect.
    key: SuspectKey,
}

impl Drop for SuspectPermit {
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

fn is_full_refusal(failed: &AttemptError) -> bool {
    matches!(
        failed,
        AttemptError::Refused(RefusalReason::ColdLimit | RefusalReason::Full)
    )
}

fn no_slot_error(may_have_run: bool) -> CallError {
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
