//! Execution of one call: check in the ledger, admission, request to the upstream, answer to the
//! entry.

use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::gate::{CallEnd, GateRefusal, GateStage, ServedWeights, UpstreamGate};
use agatepin_core::ledger::{RetainedAnswer, SessionRef, StartDecision};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio_util::sync::CancellationToken;

use super::{CallServer, status_frame};
use crate::agent::gate::AdmitGuard;
use crate::agent::state;
use crate::agent::upstream::{UpstreamAnswer, UpstreamError};
use crate::wire::frames::{
    AnswerBody, AnswerFailed, AnswerHead, AnswerTrailer, CallKind, CallRefused, CallStart,
    FailureKind, Header, RefusalReason, frame::Body,
};
use crate::wire::link::LinkSender;

/// Maximum length, in bytes, of an answer body that the ledger retains in case the entry repeats
/// the call or queries its status.
const MAX_RETAINED_BYTES: usize = 256 * 1024;

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

/// Why an admitted call ended without a complete answer.
struct CallFailure {
    kind: FailureKind,
    message: String,
}

/// Runs `call` and sends its answer to the entry. Cancelling `cancel` stops an idempotent call; any
/// other call runs to its end, and the ledger retains its answer. `cancel` is cancelled when the
/// call has ended.
pub(super) async fn run_call(
    server: Rc<CallServer>,
    session: SessionRef,
    call: CallStart,
    sender: LinkSender,
    cancel: CancellationToken,
) {
    let end_guard = cancel.clone().drop_guard();
    let running = admit_and_run(&server, session, &call, &sender);
    if call.idempotent {
        tokio::select! {
            () = cancel.cancelled() => (),
            () = running => (),
        }
    } else {
        running.await;
    }
    drop(end_guard);
}

async fn admit_and_run(
    server: &CallServer,
    session: SessionRef,
    call: &CallStart,
    sender: &LinkSender,
) {
    let attempt = call.attempt.as_str();
    let now = Instant::now();
    let decision =
        server.change_ledger(|ledger| ledger.start(session, call.agent_incarnation, attempt, now));
    let reason = match decision {
        StartDecision::Proceed => None,
        StartDecision::OtherIncarnation => Some(RefusalReason::OtherIncarnation),
        StartDecision::OldSession => {
            server.counters.old_session_calls.inc();
            Some(RefusalReason::OldSession)
        }
        StartDecision::AttemptRefused => Some(RefusalReason::AttemptRefused),
        StartDecision::Repeated(status) => {
            let frame = status_frame(call.id, call.attempt.clone(), status);
            // A failed send is ignored: if the link has closed, the entry queries the status of the
            // attempt again.
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

/// Admits a call to the upstream. A suspect waits until no other call is in flight. `model` is the
/// model of a chat call, `None` for a service call.
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
    // The request may have crashed an upstream for another entry in the meantime.
    server.check_suspect(call, sender)?;
    Ok(guard)
}

async fn refuse(server: &CallServer, call: &CallStart, sender: &LinkSender, reason: RefusalReason) {
    server
        .counters
        .refused_calls
        .with_label_values(&[reason.as_str_name()])
        .inc();
    let upstream = &server.shared.settings.upstream.name;
    let refused = CallRefused {
        id: call.id,
        reason: reason.into(),
        message: format!("upstream \"{upstream}\" refused the call"),
        state: Some(state::describe(&server.shared, 0)),
    };
    // A failed send is ignored: if the link has closed, the entry can query the status of the
    // attempt later.
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
            server
                .counters
                .ended_calls
                .with_label_values(&["answered"])
                .inc();
            guard.finish(CallEnd::Answered, latency);
        }
        Ok(Err(failure)) => {
            fail(server, call, sender, failure).await;
            guard.finish(CallEnd::Failed, None);
        }
        Err(_) => {
            fail(server, call, sender, timeout_failure(timeout)).await;
            // The limit of concurrent calls falls back to the limit of a cold start.
            server.shared.gate.update(UpstreamGate::turn_cold);
            guard.finish(CallEnd::Cancelled, None);
        }
    }
}

/// Returns the time limit of a call: the upstream's, or the call's deadline if that is shorter and
/// the call is idempotent.
fn call_timeout(server: &CallServer, call: &CallStart) -> Duration {
    let max_timeout = server.shared.settings.upstream.timeout;
    if !call.idempotent || call.deadline_millis == 0 {
        return max_timeout;
    }
    max_timeout.min(Duration::from_millis(call.deadline_millis))
}

fn timeout_failure(timeout: Duration) -> CallFailure {
    CallFailure {
        kind: FailureKind::Unknown,
        message: format!(
            "no whole answer within {}",
            humantime::format_duration(timeout)
        ),
    }
}

/// Sends the call to the upstream and its answer to the entry. Returns the time until the first
/// byte of the answer, or `None` if that byte took longer than the gate's `slow_after`.
async fn answer_call(
    server: &CallServer,
    call: &CallStart,
    sender: &LinkSender,
    weights: Option<&ServedWeights>,
) -> Result<Option<Duration>, CallFailure> {
    let mut first_byte = server.shared.gate.watch_first_byte();
    let answer = match server.upstream.send(call).await {
        Ok(answer) => answer,
        Err(err) => return Err(classify_failure(server, call, err).await),
    };
    check_answer_weights(server, &answer, weights).await?;
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
    let mut recorder = AnswerRecorder::new(status, headers, !call.idempotent);
    // A send that fails is ignored: without a link, the answer of a call that is not idempotent is
    // still recorded in the ledger.
    let _ = sender.send(Body::AnswerHead(head)).await;
    let body = body.inspect(|_| first_byte.record_data());
    let trailer = send_body(server, call, sender, body, &mut recorder).await?;
    first_byte.record_data();
    if let Some(weights) = weights {
        confirm_weights(server, weights).await?;
    }
    let retained = recorder.finish();
    server.change_ledger(|ledger| ledger.finish(&call.attempt, retained, Instant::now()));
    let _ = sender.send(Body::AnswerTrailer(trailer)).await;
    Ok(first_byte.latency())
}

/// Checks that the answer comes from the weights that the agent verified.
async fn check_answer_weights(
    server: &CallServer,
    answer: &UpstreamAnswer,
    weights: Option<&ServedWeights>,
) -> Result<(), CallFailure> {
    let Some(weights) = weights else {
        return Ok(());
    };
    if answer.weights == Some(weights.digest) {
        return Ok(());
    }
    // An engine that has weights may have run the call before it answered with this status.
    if answer.status == 503 && has_no_weights(server).await {
        return Err(CallFailure {
            kind: FailureKind::NotRun,
            message: "engine has no weights loaded".into(),
        });
    }
    Err(weights_changed(weights))
}

/// Whether the engine states that it has no weights loaded.
async fn has_no_weights(server: &CallServer) -> bool {
    let state = server.upstream.engine_state().await;
    state.is_ok_and(|state| state.digest.is_none())
}

/// Checks that the engine still serves the verified weights after the answer has ended.
async fn confirm_weights(server: &CallServer, weights: &ServedWeights) -> Result<(), CallFailure> {
    if server.served_digest_reader.served_digest().await == Some(weights.digest) {
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
    recorder: &mut AnswerRecorder,
) -> Result<AnswerTrailer, CallFailure>
where
    Parts: Stream<Item = Result<Bytes, UpstreamError>> + Unpin,
{
    let mut hasher = blake3::Hasher::new();
    let mut bytes = 0;
    while let Some(part) = parts.next().await {
        let data = match part {
            Ok(data) => data,
            Err(err) => return Err(classify_failure(server, call, err).await),
        };
        hasher.update(&data);
        bytes += data.len() as u64;
        recorder.push(&data);
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

/// Converts an upstream's error into a failure. If the call may have been executed, checks whether
/// the upstream has crashed: an engine counts as crashed if its state cannot be read or it serves
/// no weights, a service if it accepts no connection.
async fn classify_failure(
    server: &CallServer,
    call: &CallStart,
    err: UpstreamError,
) -> CallFailure {
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

/// Records the failure of a call in the ledger and the metrics, and reports it to the entry. If the
/// upstream crashed, also records the call as a suspect and closes the gate (admission control) of
/// an engine.
async fn fail(server: &CallServer, call: &CallStart, sender: &LinkSender, failure: CallFailure) {
    let now = Instant::now();
    if failure.kind == FailureKind::NotRun {
        server.change_ledger(|ledger| ledger.refuse(&call.attempt, now));
    } else {
        server.change_ledger(|ledger| ledger.finish(&call.attempt, None, now));
    }
    if failure.kind == FailureKind::Crashed {
        server.record_crash(call);
        close_gate_after_crash(server, call);
    }
    let end = failure.kind.as_str_name();
    server.counters.ended_calls.with_label_values(&[end]).inc();
    let failed = AnswerFailed {
        id: call.id,
        kind: failure.kind.into(),
        message: failure.message,
    };
    // A failed send is ignored: if the link has closed, the entry can query the status of the
    // attempt later.
    let _ = sender.send(Body::AnswerFailed(failed)).await;
}

/// Closes the gate of a crashed engine until the engine's state is read again. Otherwise a call
/// that is sent to the crashed engine would be taken for the cause of the crash.
fn close_gate_after_crash(server: &CallServer, call: &CallStart) {
    if call.kind() == CallKind::Chat {
        let gate = &server.shared.gate;
        gate.update(|gate| gate.set_stage(GateStage::Absent));
    }
}

/// Collects the answer of a call that is not idempotent; the ledger then retains it.
struct AnswerRecorder {
    status: u16,
    headers: Vec<Header>,
    /// Body received so far; `None` if the answer is not retained, or its body has exceeded
    /// [`MAX_RETAINED_BYTES`].
    body: Option<BytesMut>,
}

impl AnswerRecorder {
    fn new(status: u16, headers: Vec<Header>, retain: bool) -> Self {
        Self {
            status,
            headers,
            body: retain.then(BytesMut::new),
        }
    }

    fn push(&mut self, data: &[u8]) {
        let Some(body) = &mut self.body else {
            return;
        };
        if body.len() + data.len() > MAX_RETAINED_BYTES {
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
