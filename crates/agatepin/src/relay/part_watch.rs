//! Watches the parts of a request's prompt while it is relayed: whether they let it run, and what
//! its attempts show of them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use agatepin_core::ids::{PartId, ServiceId, UpstreamId};
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::notices::BornMillis;
use agatepin_core::relay::part_evidence::{CrashId, PartKey, PartState, TrialId};
use agatepin_core::relay::part_tracker::{
    CrashedAttempt, PartAdmission, PartChange, PartTracker, is_valid_id,
};
use agatepin_core::relay::request_suspects::RequestCrash;

use crate::relay::fleet::FleetHandle;
use crate::relay::refusal::RefusalReason;

/// Parts of one request's prompt that other requests may share. A trial that the request is ends
/// when this is dropped.
pub struct PartWatch {
    fleet: FleetHandle,
    /// Parts of the prompt but the last, which belongs to the request itself.
    parts: Rc<[PartKey]>,
    /// Number and parts of the trial that the request is; none if it is no trial.
    trial: RefCell<Option<(TrialId, Rc<[PartKey]>)>>,
}

/// Reports what one attempt of a request shows of the request and the parts of its prompt.
pub struct AttemptWitness {
    /// Customer and digest of the whole request.
    suspect: SuspectKey,
    fleet: FleetHandle,
    parts: Rc<[PartKey]>,
    /// Parts of which the request is a trial.
    trial: Rc<[PartKey]>,
    /// When the request was sent, and to which life of its upstream; none before.
    sent: Option<(Instant, BornMillis)>,
}

impl PartWatch {
    /// Watches the parts `ids` of a request for `service`.
    #[must_use]
    pub fn new(fleet: FleetHandle, service: &ServiceId, ids: Vec<PartId>) -> Self {
        let mut parts: Vec<PartKey> = Vec::with_capacity(ids.len());
        for part in ids {
            if !is_valid_id(&part) || parts.iter().any(|known| known.part == part) {
                continue;
            }
            let service = service.clone();
            parts.push(PartKey { service, part });
        }
        Self {
            fleet,
            parts: parts.into(),
            trial: RefCell::default(),
        }
    }

    /// Checks whether the request may run now.
    ///
    /// # Errors
    /// [`RefusalReason::SuspectPart`] if another request is a trial now, and
    /// [`RefusalReason::CrashingPart`] if a part crashes upstreams.
    pub fn check(&self) -> Result<(), RefusalReason> {
        if self.parts.is_empty() {
            return Ok(());
        }
        let now = Instant::now();
        let admission = self
            .fleet
            .with(|fleet| fleet.parts.admission(&self.parts, now));
        refusal(&admission).map_or(Ok(()), Err)
    }

    /// Checks whether the request may be sent now, unless it is a trial already. It becomes one if
    /// that is how it may run.
    ///
    /// # Errors
    /// As those of [`Self::check`].
    pub fn admit(&self) -> Result<(), RefusalReason> {
        let mut trial = self.trial.borrow_mut();
        if self.parts.is_empty() || trial.is_some() {
            return Ok(());
        }
        let id = rand::random();
        let now = Instant::now();
        let admission = change_parts(&self.fleet, |parts| parts.admit(&self.parts, id, now));
        if let Some(reason) = refusal(&admission) {
            return Err(reason);
        }
        if let PartAdmission::Trial(parts) = admission {
            *trial = Some((id, parts.into()));
        }
        Ok(())
    }

    /// Whether no part is quarantined or refused.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        let now = Instant::now();
        let parts = &self.parts;
        parts.is_empty() || self.fleet.with(|fleet| fleet.parts.is_clear(parts, now))
    }

    /// Witness of an attempt of the request `suspect` that is about to begin.
    #[must_use]
    pub fn witness(&self, suspect: &SuspectKey) -> AttemptWitness {
        let trial = self.trial.borrow();
        let parts = trial.as_ref().map(|(_, parts)| parts.clone());
        AttemptWitness {
            suspect: suspect.clone(),
            fleet: self.fleet.clone(),
            parts: self.parts.clone(),
            trial: parts.unwrap_or_default(),
            sent: None,
        }
    }

    /// Ends the trial that the request is, if it is one.
    pub fn end_trial(&self) {
        let Some((id, parts)) = self.trial.take() else {
            return;
        };
        let now = Instant::now();
        change_parts(&self.fleet, |tracker| tracker.end_trial(&parts, id, now));
    }
}

/// Reason for which a request is refused; none if it may run.
fn refusal(admission: &PartAdmission) -> Option<RefusalReason> {
    match admission {
        PartAdmission::Clear | PartAdmission::Trial(_) => None,
        PartAdmission::OnTrial(_) => Some(RefusalReason::SuspectPart),
        PartAdmission::Refused(_) => Some(RefusalReason::CrashingPart),
    }
}

impl Drop for PartWatch {
    fn drop(&mut self) {
        self.end_trial();
    }
}

impl AttemptWitness {
    /// Records that the request is sent now, to the life `born` of its upstream.
    pub fn record_sent(&mut self, born: BornMillis, now: Instant) {
        self.sent = Some((now, born));
    }

    /// Records that the connection to `upstream` broke before the answer was complete. An engine that
    /// loads weights breaks its requests without a crash. `is_late` tells whether the answer had begun.
    pub fn record_break(&self, upstream: &UpstreamId, is_late: bool) {
        let Some((sent, born)) = self.sent else {
            return;
        };
        let now = Instant::now();
        let crash = RequestCrash {
            // Several requests and entries may notice one crash.
            upstream_life: format!("{upstream}/{born}"),
            sent,
            seen: now,
            is_late,
        };
        self.fleet.with(|fleet| {
            let state = fleet.upstreams.get(upstream);
            let report = state.and_then(|state| state.report(now));
            if report.is_none_or(|report| !report.busy) {
                fleet.suspects.record_crash(&self.suspect, crash, now);
            }
        });
    }

    /// Records that the answer is complete, so that the request has not crashed its upstream.
    pub fn record_complete(&self) {
        let now = Instant::now();
        self.fleet
            .with(|fleet| fleet.suspects.record_answer(&self.suspect, now));
    }

    /// Records that the connection to `upstream` broke before the answer began.
    pub fn record_crash(&self, upstream: &UpstreamId) {
        self.record_break(upstream, false);
        let Some((sent, born)) = self.sent.filter(|_| !self.parts.is_empty()) else {
            return;
        };
        let now = Instant::now();
        let attempt = CrashedAttempt {
            crash: CrashId {
                upstream: upstream.clone(),
                born,
            },
            sent,
            trial: &self.trial,
        };
        change_parts(&self.fleet, |tracker| {
            tracker.record_crash(&self.parts, &attempt, now);
        });
    }

    /// Records that the answer began: with its first event, or complete if it is no stream.
    pub fn record_answer(&self) {
        if self.parts.is_empty() {
            return;
        }
        let now = Instant::now();
        change_parts(&self.fleet, |tracker| {
            tracker.record_first_event(&self.parts, now);
        });
    }
}

/// Changes the evidence on parts by `act`, logs the decisions that change, and wakes the broadcaster
/// if other entries are to be told.
pub fn change_parts<Act, Out>(fleet: &FleetHandle, act: Act) -> Out
where
    Act: FnOnce(&mut PartTracker) -> Out,
{
    fleet.with(|fleet| {
        let out = act(&mut fleet.parts);
        fleet.parts.take_changes().iter().for_each(log_change);
        if fleet.parts.has_due() {
            fleet.parts_due.notify_one();
        }
        out
    })
}

/// Name of a state in logs and the state dump.
#[must_use]
pub fn state_name(state: PartState) -> &'static str {
    match state {
        PartState::Clear => "clear",
        PartState::Quarantined => "quarantined",
        PartState::Refused => "refused",
    }
}

fn log_change(change: &PartChange) {
    let (service, part) = (&change.key.service, &change.key.part);
    let state = state_name(change.state);
    let (crashes, waves) = (change.crashes, change.waves);
    let last_crash_ms = change.last_crash.map(|age| age.as_millis());
    let first_event_ms = change.first_event.map(|age| age.as_millis());
    // `waves`: crashes that count against the part, those that may have one cause as one. The ages
    // are of the last of them, and of the last first event of a request with the part.
    log::info!(service, part, state, crashes, waves, last_crash_ms:?, first_event_ms:?;
        "decision on a part of prompts");
}
