//! Decides whether a request is sent to another upstream: after a failed attempt, and beside one that
//! is silent.

use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;
use agatepin_core::relay::upstreams::SendOutcome;
use tokio::time::timeout_at;

use super::{CallRelay, CallState, MIN_ATTEMPT_TIME};
use crate::relay::attempt::{self, AttemptFailure, OutcomeCell, SlotGuard};
use crate::relay::ports::{TableStore, WireDialect};
use crate::relay::refusal::RefusalReason;

/// Pause between two searches for an upstream that can replace a silent one.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of failed connections to upstreams after which one request is refused.
const MAX_FAILED_CONNECTIONS: usize = 3;

/// Attempts of a request up to the current one.
pub(super) struct PastAttempts<'call> {
    /// Upstreams of the attempts, the current one included; they are not tried again.
    pub(super) tried: &'call [UpstreamId],
    /// Number of further attempts that the route allows.
    pub(super) further: u32,
    /// Time from which the current attempt counts as silent.
    pub(super) silent_at: Instant,
}

impl<'call> PastAttempts<'call> {
    /// The attempts at `tried`, of which `sent` count; the current one begins now.
    pub(super) fn new(call: &CallState, tried: &'call [UpstreamId], sent: usize) -> Self {
        let now = Instant::now();
        let further = call.further_attempts(sent);
        Self {
            tried,
            further,
            silent_at: now + call.time.silence_limit(further, now),
        }
    }
}

/// Decision after an attempt that gave no answer to forward.
pub(super) enum RetryDecision {
    /// Send the request to another upstream.
    Retry,
    /// Answer the caller with this reason.
    Refuse(RefusalReason),
}

impl<Store, Dialect> CallRelay<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Waits for `attempt`, the last of `attempts`. Once it counts as silent, it is given up as soon as
    /// another upstream has a slot for the request; without one, the wait goes on. `outcome` is the
    /// outcome of the attempt.
    pub(super) async fn wait_or_replace<Attempt, Out>(
        &self,
        call: &CallState,
        attempts: &PastAttempts<'_>,
        outcome: &OutcomeCell,
        attempt: Attempt,
    ) -> Result<Out, AttemptFailure>
    where
        Attempt: Future<Output = Result<Out, AttemptFailure>>,
    {
        let mut attempt = std::pin::pin!(attempt);
        if let Ok(ended) = timeout_at(attempts.silent_at.into(), attempt.as_mut()).await {
            return ended;
        }
        if call.route.kind.is_retryable() {
            outcome.set(SendOutcome::Failed);
        }
        tokio::select! {
            ended = attempt => ended,
            Some(slot) = self.acquire_replacement(call, attempts) => {
                let (request, upstream) = (&call.request.id, slot.upstream());
                log::info!(request, upstream; "silent upstream replaced");
                Err(AttemptFailure::Replaced(slot))
            }
        }
    }

    /// Takes a slot for a retry, as soon as one is free, and the retry. None if the request must not be
    /// retried or has no time left for it.
    async fn acquire_replacement(
        &self,
        call: &CallState,
        attempts: &PastAttempts<'_>,
    ) -> Option<SlotGuard> {
        let may_replace = attempts.further > 0 && call.route.kind.is_retryable();
        if !may_replace {
            return None;
        }
        loop {
            match self.acquire_slot(call, attempts.tried).await {
                // Without a slot, no retry is taken from the share.
                Ok(slot) => return self.try_take_retry(call, Instant::now()).then_some(slot),
                Err(RefusalReason::TimeUpUnsent) => return None,
                Err(_) => tokio::time::sleep(REPLACEMENT_INTERVAL).await,
            }
        }
    }

    /// Decides whether a request is retried after an attempt failed. `sent` counts the attempts
    /// with a connection to their upstream, `unreachable` those without.
    pub(super) fn retry_decision(
        &self,
        call: &CallState,
        failure: &AttemptFailure,
        sent: usize,
        unreachable: usize,
    ) -> RetryDecision {
        let now = Instant::now();
        let time_left = call.request.deadline.saturating_duration_since(now) > MIN_ATTEMPT_TIME;
        let reason = match failure {
            AttemptFailure::Unreachable if unreachable < MAX_FAILED_CONNECTIONS && time_left => {
                return RetryDecision::Retry;
            }
            AttemptFailure::Unreachable => return RetryDecision::Refuse(RefusalReason::NoUpstream),
            AttemptFailure::TimeUp => return RetryDecision::Refuse(RefusalReason::TimeUp),
            AttemptFailure::Replaced(_) | AttemptFailure::ServerError => {
                return RetryDecision::Retry;
            }
            AttemptFailure::NotRun(_) => RefusalReason::NotRun,
            AttemptFailure::UnclearRefusal if !call.route.kind.is_retryable() => {
                return RetryDecision::Refuse(RefusalReason::UnclearRefusal);
            }
            AttemptFailure::UnclearRefusal => RefusalReason::UnclearRefusal,
            AttemptFailure::MayHaveRun(reason)
                if !call.route.kind.is_retryable()
                    || attempt::is_break(reason) && !call.parts.is_clear() =>
            {
                return RetryDecision::Refuse(RefusalReason::Broken);
            }
            AttemptFailure::MayHaveRun(_) => RefusalReason::Broken,
        };
        let allowed = call.further_attempts(sent) > 0 && time_left;
        if allowed && self.try_take_retry(call, now) {
            return RetryDecision::Retry;
        }
        RetryDecision::Refuse(reason)
    }

    /// Takes a retry from this entry's share of the retry limit. Returns false if the share is used
    /// up, or if the request is refused because it crashed upstreams.
    pub(super) fn try_take_retry(&self, call: &CallState, now: Instant) -> bool {
        self.fleet.with(|fleet| {
            let entries = fleet.entries.alive(&self.identity.name, now).count() + 1;
            let refused = fleet.suspects.is_refused(&call.suspect, now);
            !refused && fleet.try_retry(&call.service, entries, now)
        })
    }
}
