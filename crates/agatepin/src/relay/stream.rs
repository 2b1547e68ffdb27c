//! Relays a stream of events, and lets it go on at another upstream where the first breaks off.

use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;
use agatepin_core::relay::events::{EventBatch, EventSplitter};
use agatepin_core::relay::upstreams::SendOutcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::relay::body::BrokenBody;
use crate::relay::call::CallRelay;
use crate::relay::http_client::ConnectionGuard;
use crate::relay::log_line::RequestLine;
use crate::relay::ports::{TableStore, WireDialect};
use crate::relay::send::{OpenAnswer, PlaceGuard};

/// Silence of a stream after which its upstream is given up: callers leave after 2 s.
const STREAM_SILENCE: Duration = Duration::from_secs(1);

/// A stream whose first events have come.
pub struct OpenStream {
    /// Events that wait to be passed on.
    pub first: EventBatch,
    splitter: EventSplitter,
    body: Incoming,
    _connection: ConnectionGuard,
    place: PlaceGuard,
}

/// What the next read of a stream gave.
enum StreamStep {
    Events(EventBatch),
    End,
    Broken(&'static str),
}

/// Waits for the first whole event of an answer.
///
/// # Errors
/// The upstream broke off before, or took longer than `patience`.
pub async fn open_stream(
    answer: OpenAnswer,
    last_event: Option<u64>,
    patience: Duration,
) -> Result<OpenStream, &'static str> {
    let mut stream = OpenStream {
        first: EventBatch {
            bytes: Bytes::new(),
            events: 0,
        },
        splitter: EventSplitter::after(last_event),
        body: answer.response.into_body(),
        _connection: answer.connection,
        place: answer.place,
    };
    let step = timeout(patience, stream.step()).await;
    let failure = match step {
        Ok(StreamStep::Events(first)) => {
            stream.first = first;
            stream.place.answer_started();
            return Ok(stream);
        }
        Ok(StreamStep::End) => return Ok(stream),
        Ok(StreamStep::Broken(reason)) => reason,
        Err(_) => "no event in time",
    };
    stream.place.settle(SendOutcome::Failed);
    Err(failure)
}

impl OpenStream {
    async fn step(&mut self) -> StreamStep {
        loop {
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
                Err(_) => return StreamStep::Broken("events missing"),
            }
        }
    }
}

/// What a stream needs to go on elsewhere.
pub struct StreamResume<Store, Dialect> {
    /// Relay that sends.
    pub relay: CallRelay<Store, Dialect>,
    /// The call.
    pub call: crate::relay::call::CallState,
    /// Upstreams that it was sent to.
    pub tried: Vec<UpstreamId>,
    /// Its line in the log.
    pub line: RequestLine,
}

/// Passes events on until the stream ends, its caller leaves or the time is up.
pub async fn relay_stream<Store, Dialect>(
    mut stream: OpenStream,
    mut resume: StreamResume<Store, Dialect>,
    parts: mpsc::Sender<Result<Bytes, BrokenBody>>,
) where
    Store: TableStore,
    Dialect: WireDialect,
{
    let first = std::mem::replace(&mut stream.first.bytes, Bytes::new());
    if !first.is_empty() && parts.send(Ok(first)).await.is_err() {
        resume.line.outcome = "caller_left";
        return;
    }
    let deadline = resume.call.request.deadline;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let step = tokio::select! {
            step = timeout(left.min(STREAM_SILENCE), stream.step()) => step,
            () = parts.closed() => {
                resume.line.outcome = "caller_left";
                return;
            }
        };
        let reason = match step {
            Ok(StreamStep::Events(batch)) => {
                if parts.send(Ok(batch.bytes)).await.is_err() {
                    resume.line.outcome = "caller_left";
                    return;
                }
                continue;
            }
            Ok(StreamStep::End) => {
                resume.line.outcome = "answered";
                return;
            }
            Ok(StreamStep::Broken(reason)) => reason,
            Err(_) if left <= STREAM_SILENCE => "time_up",
            Err(_) => "silent",
        };
        stream.place.settle(SendOutcome::Failed);
        let last = stream.splitter.last();
        let (id, upstream) = (&resume.call.request.id, stream.place.upstream());
        log::info!(request = id, upstream, last_event:? = last, reason; "stream broke off");
        drop(stream);
        let next = tokio::select! {
            next = resume.go_on(last, reason) => next,
            () = parts.closed() => None,
        };
        let Some(next) = next else {
            resume.line.outcome = "stream_broken";
            // The caller may have left; then there is nobody to tell.
            let _ = parts.send(Err(BrokenBody)).await;
            return;
        };
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
    async fn go_on(&mut self, last: Option<u64>, reason: &str) -> Option<OpenStream> {
        if !self.call.route.kind.is_retryable() || reason == "time_up" {
            return None;
        }
        let stream = self.relay.resume(&self.call, &mut self.tried, last).await?;
        self.line.sent_to.clone_from(&self.tried);
        Some(stream)
    }
}
