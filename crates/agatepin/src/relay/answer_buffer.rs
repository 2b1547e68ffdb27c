//! Memory for answers that are read completely before any of them is forwarded.

use std::rc::Rc;

use agatepin_core::relay::byte_budget::grown_capacity;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use crate::relay::body_budget::BodyBudget;

/// Largest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of parts (chunks) of an answer that is buffered: tiny ones take processor time.
pub const MAX_ANSWER_PARTS: usize = 16 * 1024;
/// Size up to which any number of answers is buffered at a time, in bytes.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;
/// Number of larger answers that are buffered at a time; they take 32 MiB at most.
const PARALLEL_LARGE_ANSWERS: usize = 8;

/// Reason why an answer was not buffered completely.
#[derive(Debug)]
pub enum BufferError {
    /// The connection broke, or the body is malformed.
    Broken(hyper::Error),
    /// The answer is larger than [`MAX_ANSWER_BYTES`], or has more parts than [`MAX_ANSWER_PARTS`].
    TooLarge,
}

impl std::fmt::Display for BufferError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(err) => write!(f, "broken body: {err}"),
            Self::TooLarge => write!(
                f,
                "body of more than {MAX_ANSWER_BYTES} bytes or {MAX_ANSWER_PARTS} parts"
            ),
        }
    }
}

/// Limits how much memory all buffered answers of an entry take together.
#[derive(Clone, Debug)]
pub struct AnswerBuffers {
    /// Permits for answers of more than [`SMALL_ANSWER_BYTES`].
    large: Rc<Semaphore>,
    /// Memory that they share with the bodies of requests.
    budget: BodyBudget,
}

impl AnswerBuffers {
    /// Buffers whose memory is counted in `budget`.
    #[must_use]
    pub fn new(budget: BodyBudget) -> Self {
        Self {
            large: Rc::new(Semaphore::new(PARALLEL_LARGE_ANSWERS)),
            budget,
        }
    }

    /// Reads `body` to its end. A large one is not read further until there is memory for it.
    ///
    /// # Errors
    /// The body broke off, is malformed or is too large.
    pub async fn collect(&self, mut body: Incoming) -> Result<Bytes, BufferError> {
        let mut data = Vec::new();
        let memory = self.budget.open_answer();
        let mut permit = None;
        let mut parts = 0;
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(BufferError::Broken)?.into_data() else {
                continue;
            };
            let length = data.len() + part.len();
            parts += 1;
            if length > MAX_ANSWER_BYTES || parts > MAX_ANSWER_PARTS {
                return Err(BufferError::TooLarge);
            }
            if length > SMALL_ANSWER_BYTES && permit.is_none() {
                // The semaphore is never closed.
                permit = self.large.acquire().await.ok();
            }
            if length > data.capacity() {
                let capacity = grown_capacity(data.capacity(), length, MAX_ANSWER_BYTES);
                memory.take(capacity);
                data.reserve_exact(capacity - data.len());
            }
            data.extend_from_slice(&part);
        }
        Ok(memory.attach(data))
    }
}
