//! Assembly of one answer from its frames.

use agatepin_core::claim::{AnswerHeader, BufferedAnswer};
use agatepin_core::ids::RequestId;
use bytes::{Bytes, BytesMut};

use super::open_calls::{CallGuard, CallNews};
use super::placement::PlaceGuard;
use crate::wire::frames::{
    AnswerHead, AnswerTrailer, CallRefused, FailureKind, Header, RefusalReason, StoredAnswer,
};

/// Why an attempt gave no whole answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptError {
    /// The agent has not run it and will not run it.
    Refused(RefusalReason),
    /// The link was lost, or the frames do not make up a whole answer.
    Lost,
    /// The upstream may have run it.
    Unknown(String),
    /// The upstream crashed with it.
    Crashed,
}

/// An answer of which the rest is still to come.
#[derive(Debug)]
pub struct AnswerStream {
    guard: CallGuard,
    place: PlaceGuard,
    hasher: blake3::Hasher,
    bytes: u64,
    /// Load that came with the trailer or the refusal.
    pub load: Option<(u32, u32)>,
}

impl AnswerStream {
    /// Reads the answer of `guard`, whose call runs at `place`.
    #[must_use]
    pub fn new(guard: CallGuard, place: PlaceGuard) -> Self {
        Self {
            guard,
            place,
            hasher: blake3::Hasher::new(),
            bytes: 0,
            load: None,
        }
    }

    /// The agent that runs the call.
    #[must_use]
    pub fn place(&self) -> &PlaceGuard {
        &self.place
    }

    /// Name of the request.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.guard.id
    }

    /// Number of the request.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.guard.id.number
    }

    /// The status and headers.
    ///
    /// # Errors
    /// The call was refused, failed, or its link was lost.
    pub async fn head(&mut self) -> Result<AnswerHead, AttemptError> {
        match self.guard.recv().await {
            Some(CallNews::Head(head)) => Ok(head),
            Some(CallNews::Refused(refused)) => {
                let state = refused.state.as_ref();
                self.load = state.map(|state| (state.in_flight, state.limit));
                Err(AttemptError::Refused(refused.reason()))
            }
            Some(news) => Err(failure(news)),
            None => Err(AttemptError::Lost),
        }
    }

    /// The next part of the body; `None` once the trailer has matched.
    ///
    /// # Errors
    /// The rest of the answer does not come, or what came is not what was sent.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptError> {
        match self.guard.recv().await {
            Some(CallNews::Body(data)) => {
                self.hasher.update(&data);
                self.bytes += data.len() as u64;
                Ok(Some(data))
            }
            Some(CallNews::Trailer(trailer)) => self.check(&trailer).map(|()| None),
            Some(news) => Err(failure(news)),
            None => Err(AttemptError::Lost),
        }
    }

    /// The rest of the body, or its first part of more than `limit` bytes with `false`.
    ///
    /// # Errors
    /// As [`Self::next`].
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

    fn check(&mut self, trailer: &AnswerTrailer) -> Result<(), AttemptError> {
        self.load = Some((trailer.in_flight, trailer.limit));
        let digest = self.hasher.finalize();
        if trailer.bytes == self.bytes && trailer.digest == digest.as_bytes().as_slice() {
            return Ok(());
        }
        Err(AttemptError::Lost)
    }
}

fn failure(news: CallNews) -> AttemptError {
    match news {
        CallNews::Refused(refused) => AttemptError::Refused(reason(&refused)),
        CallNews::Failed(failed) => match failed.kind() {
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

/// A whole answer with the head `head`.
#[must_use]
pub fn whole(head: &AnswerHead, body: &[u8]) -> BufferedAnswer {
    BufferedAnswer {
        status: u16::try_from(head.status).unwrap_or(u16::MAX),
        headers: headers(&head.headers),
        body: body.to_vec(),
    }
}

/// An answer that an agent kept.
#[must_use]
pub fn stored(answer: &StoredAnswer) -> BufferedAnswer {
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
