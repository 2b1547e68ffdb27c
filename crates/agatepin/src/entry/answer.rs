//! Assembles the answer to a call from the frames that the agent sends, and verifies its length and
//! digest.

use agatepin_core::claim::{AnswerHeader, BufferedAnswer};
use agatepin_core::ids::RequestId;
use bytes::{Bytes, BytesMut};

use super::open_calls::{CallEvent, CallGuard};
use super::placement::SlotGuard;
use crate::wire::frames::{
    AnswerHead, AnswerTrailer, CallRefused, FailureKind, Header, RefusalReason, StoredAnswer,
};

/// Why an attempt has no complete answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptError {
    /// The agent has not executed the attempt and will not execute it later.
    Refused(RefusalReason),
    /// The link was lost, or the frames do not form a complete answer.
    Lost,
    /// The upstream may have executed the attempt; contains the agent's error message.
    Unknown(String),
    /// The upstream crashed while the attempt was in flight.
    Crashed,
}

/// Receives one answer, part by part.
#[derive(Debug)]
pub struct AnswerStream {
    guard: CallGuard,
    slot: SlotGuard,
    /// Hashes the body received so far.
    hasher: blake3::Hasher,
    /// Length of the body received so far.
    bytes: u64,
    /// Number of calls in flight at the agent, and the agent's maximum of that number, as reported
    /// with the trailer or the refusal; `None` before.
    pub load: Option<(u32, u32)>,
}

impl AnswerStream {
    /// Creates a stream for the answer to the call `guard`, which occupies `slot`.
    #[must_use]
    pub fn new(guard: CallGuard, slot: SlotGuard) -> Self {
        Self {
            guard,
            slot,
            hasher: blake3::Hasher::new(),
            bytes: 0,
            load: None,
        }
    }

    /// Returns the slot of the call, which holds the agent that runs it.
    #[must_use]
    pub fn slot(&self) -> &SlotGuard {
        &self.slot
    }

    /// Returns the id of the request.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.guard.id
    }

    /// Returns the number of the request, which is unique in this incarnation of the entry.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.guard.id.number
    }

    /// Receives the status and headers.
    ///
    /// # Errors
    /// The call was refused or failed, or its link was lost.
    pub async fn head(&mut self) -> Result<AnswerHead, AttemptError> {
        match self.guard.recv().await {
            Some(CallEvent::Head(head)) => Ok(head),
            Some(CallEvent::Refused(refused)) => {
                let state = refused.state.as_ref();
                self.load = state.map(|state| (state.in_flight, state.limit));
                Err(AttemptError::Refused(refused.reason()))
            }
            Some(event) => Err(attempt_error(event)),
            None => Err(AttemptError::Lost),
        }
    }

    /// Receives the next part of the body; returns `None` at the end, after length and digest have
    /// matched the trailer.
    ///
    /// # Errors
    /// The call failed, its link was lost, or length or digest differ from those in the trailer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptError> {
        match self.guard.recv().await {
            Some(CallEvent::Body(data)) => {
                self.hasher.update(&data);
                self.bytes += data.len() as u64;
                Ok(Some(data))
            }
            Some(CallEvent::Trailer(trailer)) => self.verify(&trailer).map(|()| None),
            Some(event) => Err(attempt_error(event)),
            None => Err(AttemptError::Lost),
        }
    }

    /// Receives the rest of the body, but stops once it has more than `limit` bytes. Returns the
    /// bytes received and whether the body is complete.
    ///
    /// # Errors
    /// The same errors as [`Self::next`].
    pub async fn collect(&mut self, limit: usize) -> Result<(Bytes, bool), AttemptError> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next().await? {
            body.extend_from_slice(&data);
            if body.len() > limit {
                return Ok((body.freeze(), false));
            }
        }
        Ok((body.freeze(), true))
    }

    fn verify(&mut self, trailer: &AnswerTrailer) -> Result<(), AttemptError> {
        self.load = Some((trailer.in_flight, trailer.limit));
        let digest = self.hasher.finalize();
        if trailer.bytes == self.bytes && trailer.digest == digest.as_bytes().as_slice() {
            return Ok(());
        }
        Err(AttemptError::Lost)
    }
}

fn attempt_error(event: CallEvent) -> AttemptError {
    match event {
        CallEvent::Refused(refused) => AttemptError::Refused(reason(&refused)),
        CallEvent::Failed(failed) => match failed.kind() {
            FailureKind::NotRun => AttemptError::Refused(RefusalReason::Unreachable),
            FailureKind::Crashed => AttemptError::Crashed,
            _ => AttemptError::Unknown(failed.message),
        },
        _ => AttemptError::Lost,
    }
}

fn reason(refused: &CallRefused) -> RefusalReason {
    refused.reason()
}

/// Creates an answer from its head and complete body.
#[must_use]
pub fn buffered(head: &AnswerHead, body: &[u8]) -> BufferedAnswer {
    BufferedAnswer {
        status: u16::try_from(head.status).unwrap_or(u16::MAX),
        headers: headers(&head.headers),
        body: body.to_vec(),
    }
}

/// Converts an answer that an agent has retained.
#[must_use]
pub fn from_stored(answer: &StoredAnswer) -> BufferedAnswer {
    BufferedAnswer {
        status: u16::try_from(answer.status).unwrap_or(u16::MAX),
        headers: headers(&answer.headers),
        body: answer.body.to_vec(),
    }
}

fn headers(headers: &[Header]) -> Vec<AnswerHeader> {
    let headers = headers.iter().map(|header| AnswerHeader {
        name: header.name.clone(),
        value: header.value.to_vec(),
    });
    headers.collect()
}
