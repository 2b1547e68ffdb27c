//! Executes a non-idempotent call at most once: performs the actions of the core's
//! [`ClaimMachine`]. A claim row in the table records, for an idempotency key, the attempt that may
//! be executed and later its answer.

use std::time::{Duration, Instant};

use agatepin_core::claim::{
    AttemptStatus, ClaimAction, ClaimEvent, ClaimKey, ClaimMachine, ClaimOutcome, ClaimTarget,
    ClaimWrite,
};

use agatepin_core::ids::ContentDigest;
use agatepin_core::router::RouteTarget;

use super::answer::{self, AttemptError};
use super::calls::{CallError, CallSpec, EntryShared};
use super::placement::SlotGuard;

/// Interval at which the status of a running attempt is queried.
const RUNNING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of times that an answer is written if the result of each write is lost.
const MAX_COMMIT_ATTEMPTS: usize = 3;

/// Access to the claim rows.
pub trait ClaimTable: Clone + Send + Sync + 'static {
    /// Writes the claim row of `key`; returns the event `Written`, `Conflict`, `Indeterminate` or
    /// `Unavailable`.
    fn write(&self, key: &ClaimKey, write: ClaimWrite) -> impl Future<Output = ClaimEvent> + Send;

    /// Reads the claim row of `key`; returns the event `Row` or `Unavailable`.
    fn read(&self, key: &ClaimKey) -> impl Future<Output = ClaimEvent> + Send;
}

/// Executes a non-idempotent call at most once for the customer and idempotency key in `key`.
///
/// # Errors
/// The request is refused because it crashes upstreams, or its deadline passes while the same
/// request runs elsewhere.
pub async fn run<Table>(
    shared: &EntryShared,
    table: &Table,
    spec: &CallSpec,
    key: ClaimKey,
) -> Result<ClaimOutcome, CallError>
where
    Table: ClaimTable,
{
    let permit = shared.await_suspect_permit(spec).await?;
    let mut runner = ClaimRunner {
        shared,
        table,
        spec,
        key,
        suspect: permit.is_some(),
        slot: None,
        tried: Vec::new(),
    };
    let mut machine = ClaimMachine::new(call_digest(spec));
    let mut action = ClaimAction::Pick;
    shared.placement.count_first_attempt();
    loop {
        if let ClaimAction::Finish(outcome) = action {
            runner.store_answer(&mut machine);
            return Ok(outcome);
        }
        let event = runner.perform(action).await;
        action = machine.handle(event);
    }
}

/// Performs the actions of a [`ClaimMachine`] for one call.
struct ClaimRunner<'call, Table> {
    shared: &'call EntryShared,
    table: &'call Table,
    spec: &'call CallSpec,
    /// Key of the claim row: customer and idempotency key.
    key: ClaimKey,
    /// Whether the request is a suspect, which runs alone at its agent.
    suspect: bool,
    /// Slot for the next attempt; `None` until one is acquired.
    slot: Option<SlotGuard>,
    /// Agents that attempts of this call were dispatched to.
    tried: Vec<String>,
}

impl<Table> ClaimRunner<'_, Table>
where
    Table: ClaimTable,
{
    async fn perform(&mut self, action: ClaimAction) -> ClaimEvent {
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
        // If the previous claim write conflicted, its slot is still unused and serves this attempt.
        if self.slot.is_none() && (self.tried.is_empty() || self.shared.placement.try_retry()) {
            self.slot = self
                .shared
                .acquire_slot(self.spec, &self.tried, self.suspect)
                .await;
        }
        let Some(slot) = &self.slot else {
            return ClaimEvent::NoTarget { attempt };
        };
        let target = ClaimTarget {
            instance: slot.choice.instance.clone(),
            incarnation: slot.choice.incarnation,
        };
        ClaimEvent::Picked { target, attempt }
    }

    async fn dispatch(&mut self, target: &ClaimTarget, attempt: &str) -> AttemptStatus {
        let Some(slot) = self.slot.take() else {
            return AttemptStatus::Unreachable;
        };
        self.tried.push(target.instance.clone());
        let running = self.shared.attempt(self.spec, slot, attempt, self.suspect);
        let deadline = tokio::time::Instant::from_std(self.spec.deadline);
        let ended = tokio::time::timeout_at(deadline, running).await;
        match ended {
            Ok(Ok(opened)) if opened.rest.is_none() => {
                AttemptStatus::Done(Some(answer::buffered(&opened.head, &opened.first_part)))
            }
            Ok(Err(AttemptError::Refused(reason))) => {
                let customer = &self.spec.customer;
                self.shared
                    .metrics
                    .count_refusal(reason.as_str_name(), customer);
                AttemptStatus::Refused
            }
            Ok(Ok(_) | Err(AttemptError::Unknown(_) | AttemptError::Crashed)) => {
                AttemptStatus::Unknown
            }
            Ok(Err(AttemptError::Lost)) | Err(_) => AttemptStatus::Unreachable,
        }
    }

    /// Queries the agent for the status of an attempt. If the attempt is still running and its
    /// agent is one that this call was dispatched to, repeats the query until it ends or the
    /// deadline passes.
    async fn query(&mut self, target: &ClaimTarget, attempt: &str) -> AttemptStatus {
        let customer = &self.spec.customer;
        loop {
            let status = self.shared.query(customer, target, attempt).await;
            let dispatched_here = self.tried.contains(&target.instance);
            if status != AttemptStatus::Running
                || !dispatched_here
                || Instant::now() >= self.spec.deadline
            {
                return status;
            }
            tokio::time::sleep(RUNNING_POLL_INTERVAL).await;
        }
    }

    /// Stores a new answer in the claim row and then notifies the agent, in a task of its own, so
    /// that the caller does not wait.
    fn store_answer(&self, machine: &mut ClaimMachine) {
        let Some(write) = machine.take_settlement() else {
            return;
        };
        let (table, key) = (self.table.clone(), self.key.clone());
        let notifier = self.shared.settlements.clone();
        tokio::spawn(async move {
            let record = write.record.clone();
            if !commit(&table, &key, write).await {
                return;
            }
            if let Some(target) = record.target {
                notifier.notify(target, record.attempt).await;
            }
        });
    }
}

/// Writes an answer to its claim row, and reads the row back if the result of the write is lost.
/// Returns whether the row is known to hold the answer.
async fn commit<Table>(table: &Table, key: &ClaimKey, write: ClaimWrite) -> bool
where
    Table: ClaimTable,
{
    for _ in 0..MAX_COMMIT_ATTEMPTS {
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

/// Returns the digest of target, method, path and body. Two calls with the same idempotency key are
/// the same call if their digests are equal.
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
