//! Forwards an upstream's stream of events to a caller, and resumes it at another upstream if the
//! stream breaks off.

use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;
use agatepin_core::relay::events::{EventBatch, EventSplitter};
use agatepin_core::relay::upstreams::SendOutcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::relay::access_log::AccessRecord;
use crate::relay::answer_buffer::MAX_ANSWER_PARTS;
use crate::relay::attempt::{OpenAnswer, SlotGuard, is_break};
use crate::relay::body::BrokenBody;
use crate::relay::call::CallRelay;
use crate::relay::http_client::ConnectionGuard;
use crate::relay::ports::{TableStore, WireDialect};

/// Cause of a stream's end that is no fault of its upstream, so that it is not resumed.
const TIME_UP: &str = "time_up";

/// Cause of the end of a stream whose events cannot be forwarded.
const BAD_EVENTS: &str = "event missing or too long";

/// Stream of an upstream whose first events have arrived, or which ended without any.
pub struct OpenStream {
    /// Events that were read but not forwarded yet.
    pub first: EventBatch,
    /// Splits the body into events and checks their order.
    splitter: EventSplitter,
    /// Body of the upstream's answer.
    body: Incoming,
    /// Keeps the connection to the upstream open until the stream is dropped.
    _connection: ConnectionGuard,
    /// Counts the request as in flight at the upstream until the stream is dropped.
    slot: SlotGuard,
}

/// What an answer that ends before its first event stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EmptyAnswer {
    /// A complete stream.
    Complete,
    /// A failure: the caller still waits for events.
    Broken,
}

/// Result of the next read of a stream.
enum StreamStep {
    /// At least one complete event.
    Events(EventBatch),
    /// End of the stream between two events.
    End,
    /// The stream broke off or is malformed; the text gives the cause.
    Broken(&'static str),
}

/// Whether the end of an answer's body is marked by a length or a last chunk, and not only by the end
/// of its connection.
#[must_use]
pub fn has_marked_end(answer: &Response<Incoming>) -> bool {
    let is_chunked = answer.headers().contains_key(TRANSFER_ENCODING);
    is_chunked || answer.body().size_hint().exact().is_some()
}

/// How a forwarded stream goes on.
enum NextStep {
    /// At its upstream.
    Read(StreamStep),
    /// At another upstream; the text gives the cause.
    Resumed(Box<OpenStream>, &'static str),
}

/// Waits up to `wait_limit` for the first complete event after `last_event`, the id of the last event
/// that the caller has; without one, for the first event of the stream.
///
/// # Errors
/// The stream broke off before that event, the event did not arrive within `wait_limit`, or the answer
/// is `empty` and must not be. The text gives the cause.
pub async fn open_stream(
    answer: OpenAnswer,
    last_event: Option<u64>,
    wait_limit: Duration,
    empty: EmptyAnswer,
) -> Result<OpenStream, &'static str> {
    let marked_end = has_marked_end(&answer.response);
    let mut stream = OpenStream {
        first: EventBatch {
            bytes: Bytes::new(),
            events: 0,
        },
        splitter: EventSplitter::after(last_event),
        body: answer.response.into_body(),
        _connection: answer.connection,
        slot: answer.slot,
    };
    let step = timeout(wait_limit, stream.step()).await;
    let failure = match step {
        Ok(StreamStep::Events(first)) => {
            stream.first = first;
            stream.slot.set_outcome(SendOutcome::Answered);
            stream.slot.record_first_event();
            stream.slot.answer_started();
            return Ok(stream);
        }
        Ok(StreamStep::End) if empty == EmptyAnswer::Complete => {
            stream.slot.set_outcome(SendOutcome::Answered);
            return Ok(stream);
        }
        // Without a mark of its end, an answer that broke off looks the same.
        Ok(StreamStep::End) if !marked_end => {
            stream.slot.record_break();
            "connection broke"
        }
        Ok(StreamStep::End) => "no event",
        Ok(StreamStep::Broken(reason)) => {
            if is_break(reason) {
                stream.slot.record_break();
            }
            reason
        }
        Err(_) => "no event in time",
    };
    stream.slot.set_outcome(SendOutcome::Failed);
    Err(failure)
}

impl OpenStream {
    /// Reads until there is at least one complete event, or the stream ends or breaks.
    async fn step(&mut self) -> StreamStep {
        if self.splitter.error().is_some() {
            return StreamStep::Broken(BAD_EVENTS);
        }
        for _ in 0..MAX_ANSWER_PARTS {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return StreamStep::Broken("connection broke"),
                None if self.splitter.is_between_events() => return StreamStep::End,
                None => return StreamStep::Broken("ended within an event"),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Ok(batch) if batch.events > 0 => return StreamStep::Events(batch),
                Ok(_) => {}
                Err(_) => return StreamStep::Broken(BAD_EVENTS),
            }
        }
        StreamStep::Broken("event in too many parts")
    }
}

/// Data needed to resume a stream at another upstream.
pub struct StreamResume<Store, Dialect> {
    /// Relay that sends the request again.
    pub relay: CallRelay<Store, Dialect>,
    /// Request that the stream answers.
    pub call: crate::relay::call::CallState,
    /// Upstreams of all attempts of the request so far; they are not tried again.
    pub tried: Vec<UpstreamId>,
    /// Access log record of the request.
    pub record: AccessRecord,
}

/// Forwards events as body `parts` until the stream ends, its caller disconnects or the deadline
/// passes.
pub async fn relay_stream<Store, Dialect>(
    mut stream: OpenStream,
    mut resume: StreamResume<Store, Dialect>,
    parts: mpsc::Sender<Result<Bytes, BrokenBody>>,
) where
    Store: TableStore,
    Dialect: WireDialect,
{
    resume.call.time.record_event(Instant::now());
    let first = std::mem::replace(&mut stream.first.bytes, Bytes::new());
    if !first.is_empty() && parts.send(Ok(first)).await.is_err() {
        resume.record.outcome = "caller_left";
        return;
    }
    let deadline = resume.call.request.deadline;
    let stopping = resume.relay.stopping();
    let budget = resume.relay.budget();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let step = tokio::select! {
            step = timeout(left, resume.next_step(&mut stream)) => step,
            () = parts.closed() => {
                resume.record.outcome = "caller_left";
                return;
            }
            () = stopping.cancelled() => Ok(NextStep::Read(StreamStep::Broken(TIME_UP))),
        };
        let (reason, resumed) = match step {
            Ok(NextStep::Read(StreamStep::Events(batch))) => {
                resume.call.time.record_event(Instant::now());
                // A caller that has read all before it is not made to wait.
                let is_behind = parts.capacity() < parts.max_capacity();
                let held = budget.hold(&batch.bytes, is_behind);
                let Ok(part) = timeout(left, held).await else {
                    continue;
                };
                if parts.send(Ok(part)).await.is_err() {
                    resume.record.outcome = "caller_left";
                    return;
                }
                continue;
            }
            Ok(NextStep::Read(StreamStep::End)) => {
                stream.slot.record_complete();
                resume.record.outcome = "answered";
                return;
            }
            Ok(NextStep::Read(StreamStep::Broken(reason))) => (reason, None),
            Ok(NextStep::Resumed(next, reason)) => (reason, Some(*next)),
            Err(_) => (TIME_UP, None),
        };
        stream.slot.set_outcome(SendOutcome::Failed);
        if is_break(reason) {
            stream.slot.record_late_break();
        }
        let last = stream.splitter.last();
        let (id, upstream) = (&resume.call.request.id, stream.slot.upstream());
        log::info!(request = id, upstream, last_event:? = last, reason; "stream broke off");
        drop(stream);
        let next = if resumed.is_some() {
            resumed
        } else {
            tokio::select! {
                next = resume.try_resume(last, reason) => next,
                () = parts.closed() => None,
                () = stopping.cancelled() => None,
            }
        };
        let Some(next) = next else {
            resume.record.outcome = "stream_broken";
            // Sending fails only if the caller has disconnected; nobody then waits for the error.
            let _ = parts.send(Err(BrokenBody)).await;
            return;
        };
        resume.call.time.record_event(Instant::now());
        let first = next.first.bytes.clone();
        stream = next;
        if !first.is_empty() && parts.send(Ok(first)).await.is_err() {
            return;
        }
    }
}

impl<Store, Dialect> StreamResume<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Reads the next events of `stream`. Once it counts as silent, it is resumed elsewhere if possible,
    /// and goes on at the upstream that has events first.
    async fn next_step(&mut self, stream: &mut OpenStream) -> NextStep {
        let last = stream.splitter.last();
        let mut step = std::pin::pin!(stream.step());
        let further = self.call.further_attempts(self.tried.len());
        let pause_limit = self.call.time.pause_limit(further, Instant::now());
        if let Ok(step) = timeout(pause_limit, step.as_mut()).await {
            return NextStep::Read(step);
        }
        let next = {
            let mut resumption = std::pin::pin!(self.try_resume(last, "silent"));
            tokio::select! {
                step = step.as_mut() => match (step, resumption) {
                    // The resumption may still succeed.
                    (StreamStep::Broken(reason), resumption) => match resumption.await {
                        Some(next) => NextStep::Resumed(Box::new(next), reason),
                        None => NextStep::Read(StreamStep::Broken(reason)),
                    },
                    (step, _) => NextStep::Read(step),
                },
                next = resumption.as_mut() => match next {
                    Some(next) => NextStep::Resumed(Box::new(next), "silent"),
                    None => NextStep::Read(step.await),
                },
            }
        };
        self.record.sent_to.clone_from(&self.tried);
        next
    }

    /// Resumes the stream after the event `last`, unless the request must not be retried or its
    /// deadline has passed. Without an id, nothing says where to go on.
    async fn try_resume(&mut self, last: Option<u64>, reason: &str) -> Option<OpenStream> {
        let last = last?;
        if !self.call.route.kind.is_retryable() || reason == TIME_UP {
            return None;
        }
        let stream = self.relay.resume(&self.call, &mut self.tried, last).await;
        self.record.sent_to.clone_from(&self.tried);
        stream
    }
}
