//! At-most-once execution of non-idempotent calls, by means of claim rows in the table service.
//!
//! For each customer and idempotency key, one row holds the only attempt that may be executed and
//! the agent incarnation that may execute it. The row is written before the call is dispatched. A
//! call costs two table writes, the claim and the finished answer; each takeover of another claim,
//! and each refusal after dispatch, adds one.

use crate::ids::{AttemptId, ContentDigest, CustomerId, IncarnationId, InstanceId};

/// Maximum length of an answer body that is stored in a claim row, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum number of claim writes for one call. A call that needs more ends as
/// [`ClaimOutcome::Unknown`], or as [`ClaimOutcome::NotRun`] if the row does not exist.
pub const MAX_CLAIM_WRITES: u32 = 8;

value_type! {
    /// Identifies a claim row.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ClaimKey {
        /// Customer that made the call.
        pub customer: CustomerId,
        /// Idempotency key that the caller supplied.
        pub key: String,
    }

    /// The agent incarnation that may execute an attempt.
    #[derive(Hash)]
    pub struct ClaimTarget {
        /// Instance name of the agent.
        pub instance: InstanceId,
        /// Incarnation of the agent; after a restart the agent does not accept the attempt.
        pub incarnation: IncarnationId,
    }

    /// A header of an answer.
    pub struct AnswerHeader {
        /// Header name.
        pub name: String,
        /// Header value; need not be UTF-8.
        pub value: Vec<u8>,
    }

    /// An answer with its complete body.
    pub struct BufferedAnswer {
        /// HTTP status code.
        pub status: u16,
        /// Headers in the order in which they were received.
        pub headers: Vec<AnswerHeader>,
        /// Complete body.
        pub body: Vec<u8>,
    }

    /// The content of a claim row.
    pub struct ClaimRecord {
        /// Digest of the call's target, method, path and body.
        pub body_digest: ContentDigest,
        /// Identifier of the only attempt that may be executed.
        pub attempt: AttemptId,
        /// Sequence number of the attempt among those made for the idempotency key, counted from 1.
        pub number: u32,
        /// The agent that may execute the attempt; `None` if no attempt so far has been executed or
        /// can be.
        pub target: Option<ClaimTarget>,
        /// The finished answer, if its body has at most [`MAX_STORED_ANSWER_BYTES`].
        pub answer: Option<BufferedAnswer>,
    }

    /// A compare-and-set of a claim row.
    pub struct ClaimWrite {
        /// Version that the row must have for the write to take effect; `None` if the row must not
        /// exist.
        pub expected: Option<u64>,
        /// New content of the row.
        pub record: ClaimRecord,
    }

    /// A claim row as read from the table.
    pub struct ClaimRow {
        /// Version of the row; every write of the row changes it.
        pub version: u64,
        /// Content of the row.
        pub record: ClaimRecord,
    }

    /// Status of an attempt, as its agent reports it.
    pub enum AttemptStatus {
        /// The attempt has not been executed and will not be.
        Refused,
        /// The attempt is being executed.
        Running,
        /// The attempt has been executed; contains the answer if the agent has retained the answer.
        Done(Option<BufferedAnswer>),
        /// The attempt may have been executed.
        Unknown,
        /// The agent could not be reached, or the connection was lost before it answered.
        Unreachable,
    }

    /// The result of a [`ClaimAction`].
    pub enum ClaimEvent {
        /// A target was chosen for a new attempt.
        Picked {
            /// The agent incarnation to send the attempt to.
            target: ClaimTarget,
            /// Newly generated random identifier of the attempt.
            attempt: AttemptId,
        },
        /// No target is left to try.
        NoTarget {
            /// Newly generated random identifier, for the record that states that no attempt has
            /// been executed.
            attempt: AttemptId,
        },
        /// The write took effect.
        Written {
            /// New version of the row.
            version: u64,
        },
        /// The write was rejected: the row does not have the expected version.
        Conflict,
        /// The write was sent, but its result is not known: it may take effect, now or later.
        Indeterminate,
        /// The table service did not perform the write, or did not answer the read.
        Unavailable,
        /// The row was read; `None` if it does not exist.
        Row(Option<ClaimRow>),
        /// The agent's answer to a dispatch or query, or that it could not be reached.
        Status(AttemptStatus),
    }

    /// What the caller of [`ClaimMachine`] does next.
    pub enum ClaimAction {
        /// Choose a target that has not been tried yet.
        Pick,
        /// Write the claim row.
        Write(ClaimWrite),
        /// Read the claim row.
        Read,
        /// Send the call to the agent.
        Dispatch {
            /// The agent incarnation that the row holds.
            target: ClaimTarget,
            /// The attempt that the row holds.
            attempt: AttemptId,
        },
        /// Ask the agent for the status of the attempt.
        Query {
            /// The agent incarnation that the row holds.
            target: ClaimTarget,
            /// The attempt that the row holds.
            attempt: AttemptId,
        },
        /// Report the outcome to the client that made the call.
        Finish(ClaimOutcome),
    }

    /// Outcome of a call, as reported to the client.
    pub enum ClaimOutcome {
        /// The call has been answered, now or by an earlier call with the same idempotency key.
        Answered(BufferedAnswer),
        /// The call has not been executed.
        NotRun,
        /// This call has not been executed. It is unknown whether an earlier call with the key was,
        /// since the table service is unavailable.
        TableUnavailable,
        /// A call with the same idempotency key is being executed.
        InProgress,
        /// The call may have been executed; it is not executed again.
        Unknown,
        /// The idempotency key was used before for a call with another target, method, path or
        /// body.
        OtherBody,
    }

    /// The kind of action whose result the state machine expects next.
    enum ClaimStep {
        Picking,
        Writing,
        Reading,
        Dispatched,
        Querying,
        Finished,
    }
}

/// State machine that takes one non-idempotent call from its claim to its outcome.
#[derive(Debug)]
pub struct ClaimMachine {
    /// Digest of this call's target, method, path and body.
    body_digest: ContentDigest,
    /// Kind of the action whose result [`Self::handle`] expects next.
    step: ClaimStep,
    /// The claim row as last read or written; `None` before that.
    row: Option<ClaimRow>,
    /// The claim write whose result is not known yet.
    pending_write: Option<ClaimWrite>,
    /// Number of claim writes for this call so far.
    write_count: u32,
    /// Whether another call is known to have written a claim for the same idempotency key.
    contended: bool,
    /// The write that stores the new answer in the claim row, until [`Self::take_settlement`] takes
    /// it.
    settlement: Option<ClaimWrite>,
}

impl ClaimMachine {
    /// Creates a state machine for a call with this digest; its first action is
    /// [`ClaimAction::Pick`].
    #[must_use]
    pub fn new(body_digest: ContentDigest) -> Self {
        Self {
            body_digest,
            step: ClaimStep::Picking,
            row: None,
            pending_write: None,
            write_count: 0,
            contended: false,
            settlement: None,
        }
    }

    /// Takes the write that stores the answer; `None` unless the machine has finished with an
    /// answer that is new and short enough to be stored.
    pub fn take_settlement(&mut self) -> Option<ClaimWrite> {
        self.settlement.take()
    }

    /// Processes the result of the last action and returns the next action. An event that does not
    /// fit the last action finishes the call with [`ClaimOutcome::Unknown`].
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match (&self.step, event) {
            (ClaimStep::Picking, ClaimEvent::Picked { target, attempt }) => {
                self.write(Some(target), attempt)
            }
            (ClaimStep::Picking, ClaimEvent::NoTarget { attempt }) => self.finish_not_run(attempt),
            (ClaimStep::Writing, ClaimEvent::Written { version }) => self.handle_written(version),
            (ClaimStep::Writing, ClaimEvent::Conflict) => {
                self.contended = true;
                self.read()
            }
            (ClaimStep::Writing, ClaimEvent::Indeterminate) => self.read(),
            (ClaimStep::Writing | ClaimStep::Reading, ClaimEvent::Unavailable) => {
                self.finish_without_table()
            }
            (ClaimStep::Reading, ClaimEvent::Row(Some(row))) => self.handle_row(row),
            (ClaimStep::Reading, ClaimEvent::Row(None)) => self.handle_no_row(),
            (ClaimStep::Dispatched | ClaimStep::Querying, ClaimEvent::Status(status)) => {
                self.handle_status(status)
            }
            _ => self.finish(ClaimOutcome::Unknown),
        }
    }

    fn write(&mut self, target: Option<ClaimTarget>, attempt: AttemptId) -> ClaimAction {
        if self.write_count >= MAX_CLAIM_WRITES {
            return self.finish(ClaimOutcome::Unknown);
        }
        let number = self.row.as_ref().map_or(0, |row| row.record.number);
        let write = ClaimWrite {
            expected: self.row.as_ref().map(|row| row.version),
            record: ClaimRecord {
                body_digest: self.body_digest,
                attempt,
                number: number + 1,
                target,
                answer: None,
            },
        };
        self.write_count += 1;
        self.pending_write = Some(write.clone());
        self.step = ClaimStep::Writing;
        ClaimAction::Write(write)
    }

    /// Finishes the call as not executed. If the row still holds a refused attempt, it is replaced
    /// first by a record without a target, so that "not executed" holds for every call with the
    /// same idempotency key, too.
    fn finish_not_run(&mut self, attempt: AttemptId) -> ClaimAction {
        let no_target = self
            .row
            .as_ref()
            .is_none_or(|row| row.record.target.is_none());
        if no_target {
            return self.finish(ClaimOutcome::NotRun);
        }
        self.write(None, attempt)
    }

    fn handle_written(&mut self, version: u64) -> ClaimAction {
        let Some(write) = self.pending_write.take() else {
            return self.finish(ClaimOutcome::Unknown);
        };
        let record = write.record;
        self.row = Some(ClaimRow {
            version,
            record: record.clone(),
        });
        let Some(target) = record.target else {
            return self.finish(ClaimOutcome::NotRun);
        };
        self.step = ClaimStep::Dispatched;
        ClaimAction::Dispatch {
            target,
            attempt: record.attempt,
        }
    }

    fn read(&mut self) -> ClaimAction {
        self.step = ClaimStep::Reading;
        ClaimAction::Read
    }

    fn finish_without_table(&mut self) -> ClaimAction {
        if self.contended || self.row.is_some() {
            return self.finish(ClaimOutcome::Unknown);
        }
        self.finish(ClaimOutcome::TableUnavailable)
    }

    fn handle_row(&mut self, row: ClaimRow) -> ClaimAction {
        let own_write = self
            .pending_write
            .as_ref()
            .is_some_and(|write| write.record.attempt == row.record.attempt);
        if own_write && row.record.answer.is_none() {
            return self.handle_written(row.version);
        }
        self.contended = true;
        self.pending_write = None;
        if row.record.body_digest != self.body_digest {
            return self.finish(ClaimOutcome::OtherBody);
        }
        if let Some(answer) = row.record.answer {
            return self.finish(ClaimOutcome::Answered(answer));
        }
        let target = row.record.target.clone();
        let attempt = row.record.attempt.clone();
        self.row = Some(row);
        let Some(target) = target else {
            self.step = ClaimStep::Picking;
            return ClaimAction::Pick;
        };
        self.step = ClaimStep::Querying;
        ClaimAction::Query { target, attempt }
    }

    /// Repeats the write of the idempotency key's first claim if a read after that write finds no
    /// row. The repeated write holds the same attempt, so that the table cannot come to hold a
    /// second attempt if the lost write takes effect later.
    fn handle_no_row(&mut self) -> ClaimAction {
        let first_claim = self
            .pending_write
            .clone()
            .filter(|write| write.expected.is_none());
        let Some(write) = first_claim else {
            return self.finish(ClaimOutcome::Unknown);
        };
        if self.write_count >= MAX_CLAIM_WRITES {
            return self.finish(ClaimOutcome::NotRun);
        }
        self.write_count += 1;
        self.step = ClaimStep::Writing;
        ClaimAction::Write(write)
    }

    fn handle_status(&mut self, status: AttemptStatus) -> ClaimAction {
        let dispatched = self.step == ClaimStep::Dispatched;
        match status {
            AttemptStatus::Refused => {
                self.step = ClaimStep::Picking;
                ClaimAction::Pick
            }
            AttemptStatus::Running => self.finish(ClaimOutcome::InProgress),
            AttemptStatus::Done(Some(answer)) => self.finish_answered(answer),
            AttemptStatus::Unreachable if dispatched => self.query(),
            AttemptStatus::Done(None) | AttemptStatus::Unknown | AttemptStatus::Unreachable => {
                self.finish(ClaimOutcome::Unknown)
            }
        }
    }

    fn query(&mut self) -> ClaimAction {
        let record = self.row.as_ref().map(|row| row.record.clone());
        let Some((target, attempt)) =
            record.and_then(|record| Some((record.target?, record.attempt)))
        else {
            return self.finish(ClaimOutcome::Unknown);
        };
        self.step = ClaimStep::Querying;
        ClaimAction::Query { target, attempt }
    }

    fn finish_answered(&mut self, answer: BufferedAnswer) -> ClaimAction {
        if let Some(row) = &self.row
            && answer.body.len() <= MAX_STORED_ANSWER_BYTES
        {
            let record = ClaimRecord {
                answer: Some(answer.clone()),
                ..row.record.clone()
            };
            self.settlement = Some(ClaimWrite {
                expected: Some(row.version),
                record,
            });
        }
        self.finish(ClaimOutcome::Answered(answer))
    }

    fn finish(&mut self, outcome: ClaimOutcome) -> ClaimAction {
        self.step = ClaimStep::Finished;
        ClaimAction::Finish(outcome)
    }
}
