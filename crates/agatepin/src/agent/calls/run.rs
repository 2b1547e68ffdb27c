//! Runs one call: ledger, gate, upstream, answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::gate::{CallEnd, GateRefusal, GateStage, ServedWeights, UpstreamGate};
use agatepin_core::ledger::{RetainedAnswer, SessionRef, StartDecision};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio_util::sync::CancellationToken;

use super::{CallServer, fate_frame};
use crate::agent::gate::AdmitGuard;
use crate::agent::state;
use crate::agent::upstream::{UpstreamAnswer, UpstreamError};
use crate::wire::frames::{
    AnswerBody, AnswerFailed, AnswerHead, AnswerTrailer, CallKind, CallRefused, CallStart,
    FailureKind, Header, RefusalReason, frame::Body,
};
use crate::wire::link::LinkSender;

/// Longest answer that is kept for a repeated call, in bytes.
const MAX_KEPT_BYTES: usize = 256 * 1024;

impl From<GateRefusal> for RefusalReason {
    fn from(refusal: GateRefusal) -> Self {
        match refusal {
            GateRefusal::ColdLimit => Self::ColdLimit,
            GateRefusal::Full => Self::Full,
            GateRefusal::Leaving => Self::Leaving,
            GateRefusal::NoWeights => Self::NoWeights,
            GateRefusal::OtherModel => Self::OtherModel,
            GateRefusal::DataCentreOut => Self::DataCentreOut,
            GateRefusal::Suspect => Self::Suspect,
        }
    }
}

/// How a call that was admitted ended without a whole answer.
struct CallFailure {
    kind: FailureKind,
    message: String,
}

/// Runs `call` and sends its answer. Dropping the caller's side (`cancel`) stops an idempotent
/// call; any other one runs to its end, and the ledger keeps its answer.
pub(super) async fn run_call(
    server: Rc<CallServer>,
    from: SessionRef,
    call: CallStart,
    sender: LinkSender,
    cancel: CancellationToken,
) {
    let ended = cancel.clone().drop_guard();
    let running = admit_and_run(&server, from, &call, &sender);
    if call.idempotent {
        tokio::select! {
            () = cancel.cancelled() => (),
            () = running => (),
        }
    } else {
        running.await;
    }
    drop(ended);
}

async fn admit_and_run(
    server: &CallServer,
    from: SessionRef,
    call: &CallStart,
    sender: &LinkSender,
) {
    let attempt = call.attempt.as_str();
    let now = Instant::now();
    let decision =
        server.change_ledger(|ledger| ledger.start(from, call.agent_incarnation, attempt, now));
    let reason = match decision {
        StartDecision::Proceed => None,
        StartDecision::OtherIncarnation => Some(RefusalReason::OtherIncarnation),
        StartDecision::OldSession => {
            server.counters.old_session.inc();
            Some(RefusalReason::OldSession)
        }
        StartDecision::AttemptRefused => Some(RefusalReason::AttemptRefused),
        StartDecision::Repeated(fate) => {
            let frame = fate_frame(call.id, call.attempt.clone(), fate);
            // The entry asks again if its link has closed.
            let _ = sender.send(Body::CallFate(frame)).await;
            return;
        }
    };
    if let Some(reason) = reason {
        refuse(server, call, sender, reason).await;
        return;
    }
    let model = (call.kind() == CallKind::Chat).then_some(call.model.as_str());
    let guard = match admit(server, call, sender, model).await {
        Ok(guard) => guard,
        Err(refusal) => {
            server.change_ledger(|ledger| ledger.refuse(attempt, Instant::now()));
            refuse(server, call, sender, refusal.into()).await;
            return;
        }
    };
    let weights = server.shared.gate.read(|gate| gate.weights().cloned());
    run_admitted(server, call, sender, guard, weights.as_ref()).await;
}

async fn admit(
    server: &CallServer,
    call: &CallStart,
    sender: &LinkSender,
    model: Option<&str>,
) -> Result<AdmitGuard, GateRefusal> {
    server.check_suspect(call, sender)?;
    if !call.suspect {
        return server.shared.gate.try_admit(model, false);
    }
    let guard = server.shared.gate.admit_alone(model).await?;
    // It may have crashed the upstream for another entry meanwhile.
    server.check_suspect(call, sender)?;
    Ok(guard)
}

async fn refuse(server: &CallServer, call: &CallStart, sender: &LinkSender, reason: RefusalReason) {
    server
        .counters
        .refused
        .with_label_values(&[reason.as_str_name()])
        .inc();
    let upstream = &server.shared.settings.upstream.name;
    let refused = CallRefused {
        id: call.id,
        reason: reason.into(),
        message: format!("upstream \"{upstream}\" refused the call"),
        state: Some(state::describe(&server.shared, 0)),
    };
    // Where the link has closed the entry learns of the refusal by a query.
    let _ = sender.send(Body::CallRefused(refused)).await;
}

async fn run_admitted(
    server: &CallServer,
    call: &CallStart,
    sender: &LinkSender,
    guard: AdmitGuard,
    weights: Option<&ServedWeights>,
) {
    let timeout = call_timeout(server, call);
    let running = answer_call(server, call, sender, weights);
    match tokio::time::timeout(timeout, running).await {
        Ok(Ok(latency)) => {
            server.counters.ended.with_label_values(&["answered"]).inc();
            guard.finish(CallEnd::Answered, latency);
        }
        Ok(Err(failure)) => {
            fail(server, call, sender, failure).await;
            guard.finish(CallEnd::Failed, None);
        }
        Err(_) => {
            fail(server, call, sender, timed_out(timeout)).await;
            server.shared.gate.update(UpstreamGate::turn_cold);
            guard.finish(CallEnd::Cancelled, None);
        }
    }
}

fn call_timeout(server: &CallServer, call: &CallStart) -> Duration {
    let longest = server.shared.settings.upstream.timeout;
    if !call.idempotent || call.deadline_millis == 0 {
        return longest;
    }
    longest.min(Duration::from_millis(call.deadline_millis))
}

fn timed_out(timeout: Duration) -> CallFailure {
    CallFailure {
        kind: FailureKind::Unknown,
        message: format!(
            "no whole answer within {}",
            humantime::format_duration(timeout)
        ),
    }
}

/// Sends the call to the upstream and its answer to the entry; returns the time to its first byte
/// unless that was overdue.
async fn answer_call(
    server: &CallServer,
    call: &CallStart,
    sender: &LinkSender,
    weights: Option<&ServedWeights>,
) -> Result<Option<Duration>, CallFailure> {
    let mut first_byte = server.shared.gate.watch_first_byte();
    let answer = match server.upstream.send(call).await {
        Ok(answer) => answer,
        Err(err) => return Err(classify(server, call, err).await),
    };
    check_head(&answer, weights)?;
    let UpstreamAnswer {
        status,
        headers,
        body,
        ..
    } = answer;
    let head = AnswerHead {
        id: call.id,
        status: u32::from(status),
        headers: headers.clone(),
        model: weights.map(|w| w.model.clone()).unwrap_or_default(),
        version: weights.map(|w| w.version.clone()).unwrap_or_default(),
        weights_digest: weights.map(|w| w.digest.to_string()).unwrap_or_default(),
        customer: call.customer.clone(),
    };
    let mut keeper = AnswerKeeper::new(status, headers, !call.idempotent);
    // A closed link does not end a call that is not idempotent: its answer goes to the ledger.
    let _ = sender.send(Body::AnswerHead(head)).await;
    let body = body.inspect(|_| first_byte.arrived());
    let trailer = send_body(server, call, sender, body, &mut keeper).await?;
    first_byte.arrived();
    if let Some(weights) = weights {
        confirm_weights(server, weights).await?;
    }
    let kept = keeper.finish();
    server.change_ledger(|ledger| ledger.finish(&call.attempt, kept, Instant::now()));
    let _ = sender.send(Body::AnswerTrailer(trailer)).await;
    Ok(first_byte.latency())
}

/// Checks that the engine answered from the weights that were verified.
fn check_head(answer: &UpstreamAnswer, weights: Option<&ServedWeights>) -> Result<(), CallFailure> {
    let Some(weights) = weights else {
        return Ok(());
    };
    if answer.weights == Some(weights.digest) {
        return Ok(());
    }
    if answer.status == 503 {
        return Err(CallFailure {
            kind: FailureKind::NotRun,
            message: "engine has no weights loaded".into(),
        });
    }
    Err(weights_changed(weights))
}

async fn confirm_weights(server: &CallServer, weights: &ServedWeights) -> Result<(), CallFailure> {
    if server.confirmer.served_digest().await == Some(weights.digest) {
        return Ok(());
    }
    Err(weights_changed(weights))
}

fn weights_changed(weights: &ServedWeights) -> CallFailure {
    CallFailure {
        kind: FailureKind::WeightsChanged,
        message: format!(
            "engine does not serve model \"{}\" version \"{}\" as verified",
            weights.model, weights.version
        ),
    }
}

async fn send_body<Parts>(
    server: &CallServer,
    call: &CallStart,
    sender: &LinkSender,
    mut parts: Parts,
    keeper: &mut AnswerKeeper,
) -> Result<AnswerTrailer, CallFailure>
where
    Parts: Stream<Item = Result<Bytes, UpstreamError>> + Unpin,
{
    let mut hasher = blake3::Hasher::new();
    let mut bytes = 0;
    while let Some(part) = parts.next().await {
        let data = match part {
            Ok(data) => data,
            Err(err) => return Err(classify(server, call, err).await),
        };
        hasher.update(&data);
        bytes += data.len() as u64;
        keeper.push(&data);
        let _ = sender
            .send(Body::AnswerBody(AnswerBody { id: call.id, data }))
            .await;
    }
    let digest = Bytes::copy_from_slice(hasher.finalize().as_bytes());
    let (in_flight, limit) = server
        .shared
        .gate
        .read(|gate| (gate.in_flight(), gate.limit()));
    Ok(AnswerTrailer {
        id: call.id,
        bytes,
        digest,
        in_flight: in_flight.saturating_sub(1),
        limit,
    })
}

/// Finds out whether the upstream crashed under a call that failed.
async fn classify(server: &CallServer, call: &CallStart, err: UpstreamError) -> CallFailure {
    let message = match err {
        UpstreamError::NotSent(message) => {
            let kind = FailureKind::NotRun;
            return CallFailure { kind, message };
        }
        UpstreamError::Unknown(message) => message,
    };
    let alive = if call.kind() == CallKind::Chat {
        let state = server.upstream.engine_state().await;
        state.is_ok_and(|state| state.digest.is_some())
    } else {
        server.upstream.is_listening().await
    };
    let kind = if alive {
        FailureKind::Unknown
    } else {
        FailureKind::Crashed
    };
    CallFailure { kind, message }
}

async fn fail(server: &CallServer, call: &CallStart, sender: &LinkSender, failure: CallFailure) {
    let now = Instant::now();
    if failure.kind == FailureKind::NotRun {
        server.change_ledger(|ledger| ledger.refuse(&call.attempt, now));
    } else {
        server.change_ledger(|ledger| ledger.finish(&call.attempt, None, now));
    }
    if failure.kind == FailureKind::Crashed {
        server.suspect(call);
        close_crashed(server, call);
    }
    let end = failure.kind.as_str_name();
    server.counters.ended.with_label_values(&[end]).inc();
    let failed = AnswerFailed {
        id: call.id,
        kind: failure.kind.into(),
        message: failure.message,
    };
    // Where the link has closed the entry learns of the failure by a query.
    let _ = sender.send(Body::AnswerFailed(failed)).await;
}

/// Closes the gate of a crashed engine until its state is read again: a call that met the crashed
/// engine would look as if it had crashed it.
fn close_crashed(server: &CallServer, call: &CallStart) {
    if call.kind() == CallKind::Chat {
        let gate = &server.shared.gate;
        gate.update(|gate| gate.set_stage(GateStage::Absent));
    }
}

/// Collects the answer of a call that must not run twice.
struct AnswerKeeper {
    status: u16,
    headers: Vec<Header>,
    /// `None` where the answer is not kept, or has grown too long.
    body: Option<BytesMut>,
}

impl AnswerKeeper {
    fn new(status: u16, headers: Vec<Header>, keep: bool) -> Self {
        Self {
            status,
            headers,
            body: keep.then(BytesMut::new),
        }
    }

    fn push(&mut self, data: &[u8]) {
        let Some(body) = &mut self.body else {
            return;
        };
        if body.len() + data.len() > MAX_KEPT_BYTES {
            self.body = None;
            return;
        }
        body.extend_from_slice(data);
    }

    fn finish(self) -> Option<RetainedAnswer> {
        let body = self.body?.freeze();
        let mut headers = Vec::new();
        for header in self.headers {
            headers.push((header.name, header.value));
        }
        Some(RetainedAnswer {
            status: self.status,
            headers,
            body,
        })
    }
}
