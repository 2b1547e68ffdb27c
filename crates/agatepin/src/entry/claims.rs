//! Carries out the claim machine of the core for one call.

use std::time::{Duration, Instant};

use agatepin_core::claim::{
    AttemptStatus, ClaimAction, ClaimEvent, ClaimKey, ClaimMachine, ClaimOutcome, ClaimTarget,
    ClaimWrite,
};

use agatepin_core::ids::ContentDigest;
use agatepin_core::router::RouteTarget;

use super::answer::{self, AttemptError};
use super::calls::{CallError, CallSpec, EntryShared};
use super::placement::PlaceGuard;

const RUNNING_POLL: Duration = Duration::from_millis(50);
/// Times that an answer is written where the table loses its own answers.
const COMMIT_ATTEMPTS: usize = 3;

/// Claim rows.
pub trait ClaimTable: Clone + Send + Sync + 'static {
    /// Writes a row; gives `Written`, `Conflict`, `Indeterminate` or `Unavailable`.
    fn write(&self, key: &ClaimKey, write: ClaimWrite) -> impl Future<Output = ClaimEvent> + Send;

    /// Reads a row; gives `Row` or `Unavailable`.
    fn read(&self, key: &ClaimKey) -> impl Future<Output = ClaimEvent> + Send;
}

/// Runs a non-idempotent call at most once.
///
/// # Errors
/// The request has crashed upstreams before.
pub async fn run<Table>(
    shared: &EntryShared,
    table: &Table,
    spec: &CallSpec,
    key: ClaimKey,
) -> Result<ClaimOutcome, CallError>
where
    Table: ClaimTable,
{
    let turn = shared.await_turn(spec).await?;
    let mut runner = ClaimRunner {
        shared,
        table,
        spec,
        key,
        alone: turn.is_some(),
        place: None,
        tried: Vec::new(),
    };
    let mut machine = ClaimMachine::new(call_digest(spec));
    let mut action = ClaimAction::Pick;
    shared.placement.first_attempt();
    loop {
        if let ClaimAction::Finish(outcome) = action {
            runner.settle(&mut machine);
            return Ok(outcome);
        }
        let event = runner.carry_out(action).await;
        action = machine.handle(event);
    }
}

struct ClaimRunner<'call, Table> {
    shared: &'call EntryShared,
    table: &'call Table,
    spec: &'call CallSpec,
    key: ClaimKey,
    alone: bool,
    place: Option<PlaceGuard>,
    tried: Vec<String>,
}

impl<Table> ClaimRunner<'_, Table>
where
    Table: ClaimTable,
{
    async fn carry_out(&mut self, action: ClaimAction) -> ClaimEvent {
        match action {
            ClaimAction::Pick => self.pick().await,
            ClaimAction::Write(write) => self.table.write(&self.key, write).await,
            ClaimAction::Read => self.table.read(&self.key).await,
            ClaimAction::Dispatch { target, attempt } => {
                ClaimEvent::Status(self.dispatch(&target, &attempt).await)
            }
            ClaimAction::Query { target, attempt } => {
                ClaimEvent::Status(self.query(&target, &attempt).await)
            }
            ClaimAction::Finish(_) => ClaimEvent::Unavailable,
        }
    }

    async fn pick(&mut self) -> ClaimEvent {
        let attempt = format!("{:032x}", rand::random::<u128>());
        // A place that a conflict left unused serves the next attempt.
        if self.place.is_none() && (self.tried.is_empty() || self.shared.placement.try_retry()) {
            self.place = self.shared.place(self.spec, &self.tried, self.alone).await;
        }
        let Some(place) = &self.place else {
            return ClaimEvent::NoTarget { attempt };
        };
        let target = ClaimTarget {
            instance: place.choice.instance.clone(),
            incarnation: place.choice.incarnation,
        };
        ClaimEvent::Picked { target, attempt }
    }

    async fn dispatch(&mut self, target: &ClaimTarget, attempt: &str) -> AttemptStatus {
        let Some(place) = self.place.take() else {
            return AttemptStatus::Unreachable;
        };
        self.tried.push(target.instance.clone());
        let running = self.shared.attempt(self.spec, place, attempt, self.alone);
        let deadline = tokio::time::Instant::from_std(self.spec.deadline);
        let ended = tokio::time::timeout_at(deadline, running).await;
        match ended {
            Ok(Ok(opened)) if opened.rest.is_none() => {
                AttemptStatus::Done(Some(answer::whole(&opened.head, &opened.first)))
            }
            Ok(Err(AttemptError::Refused(reason))) => {
                let customer = &self.spec.customer;
                self.shared.metrics.refusal(reason.as_str_name(), customer);
                AttemptStatus::Refused
            }
            Ok(Ok(_) | Err(AttemptError::Unknown(_) | AttemptError::Crashed)) => {
                AttemptStatus::Unknown
            }
            Ok(Err(AttemptError::Lost)) | Err(_) => AttemptStatus::Unreachable,
        }
    }

    /// Asks the agent; an attempt of our own that still runs is asked for again.
    async fn query(&mut self, target: &ClaimTarget, attempt: &str) -> AttemptStatus {
        let customer = &self.spec.customer;
        loop {
            let fate = self.shared.query(customer, target, attempt).await;
            let own = self.tried.contains(&target.instance);
            if fate != AttemptStatus::Running || !own || Instant::now() >= self.spec.deadline {
                return fate;
            }
            tokio::time::sleep(RUNNING_POLL).await;
        }
    }

    /// Keeps the answer; the caller need not wait for it.
    fn settle(&self, machine: &mut ClaimMachine) {
        let Some(write) = machine.take_settlement() else {
            return;
        };
        let (table, key) = (self.table.clone(), self.key.clone());
        let notes = self.shared.settled.clone();
        tokio::spawn(async move {
            let record = write.record.clone();
            if !commit(&table, &key, write).await {
                return;
            }
            if let Some(target) = record.target {
                notes.note(target, record.attempt).await;
            }
        });
    }
}

/// Writes an answer, and reads the row back where the write's own answer is lost.
async fn commit<Table>(table: &Table, key: &ClaimKey, write: ClaimWrite) -> bool
where
    Table: ClaimTable,
{
    for _ in 0..COMMIT_ATTEMPTS {
        match table.write(key, write.clone()).await {
            ClaimEvent::Written { .. } => return true,
            ClaimEvent::Indeterminate => (),
            _ => return false,
        }
        let ClaimEvent::Row(Some(row)) = table.read(key).await else {
            return false;
        };
        if row.record == write.record {
            return true;
        }
    }
    false
}

/// Digest of all that makes two calls with one key the same call.
fn call_digest(spec: &CallSpec) -> ContentDigest {
    let mut hasher = blake3::Hasher::new();
    let (RouteTarget::Model(target) | RouteTarget::Service(target)) = &spec.target;
    for part in [
        target.as_bytes(),
        spec.method.as_bytes(),
        spec.path.as_bytes(),
        &spec.body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
