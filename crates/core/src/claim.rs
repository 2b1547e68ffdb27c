//! At-most-once execution of non-idempotent calls by claims in the table.
//!
//! One row for each customer and key names the attempt that may run, and the agent incarnation
//! that may run it. The row is written before the call is dispatched. A call costs two table
//! writes: the claim and the finished answer; each takeover or refusal after dispatch adds one.

use crate::ids::{AttemptId, ContentDigest, CustomerId, IncarnationId, InstanceId};

/// Longest answer that a claim keeps, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;
/// Times that one machine writes before it gives up.
pub const MAX_CLAIM_WRITES: u32 = 8;

value_type! {
    /// Names a claim row.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ClaimKey {
        /// Customer.
        pub customer: CustomerId,
        /// The key that the caller gave.
        pub key: String,
    }

    /// The agent incarnation that may run an attempt.
    #[derive(Hash)]
    pub struct ClaimTarget {
        /// Agent.
        pub instance: InstanceId,
        /// Its incarnation.
        pub incarnation: IncarnationId,
    }

    /// A header of an answer.
    pub struct AnswerHeader {
        /// Name.
        pub name: String,
        /// Value.
        pub value: Vec<u8>,
    }

    /// A whole answer.
    pub struct BufferedAnswer {
        /// HTTP status.
        pub status: u16,
        /// Headers.
        pub headers: Vec<AnswerHeader>,
        /// Body.
        pub body: Vec<u8>,
    }

    /// The content of a claim row.
    pub struct ClaimRecord {
        /// Digest of the call's method, path and body.
        pub body_digest: ContentDigest,
        /// The attempt that may run.
        pub attempt: AttemptId,
        /// Number of the attempt.
        pub number: u32,
        /// Who may run it; `None` where no attempt so far has run or can run.
        pub target: Option<ClaimTarget>,
        /// The finished answer, if it is short enough.
        pub answer: Option<BufferedAnswer>,
    }

    /// A compare-and-set of a claim row.
    pub struct ClaimWrite {
        /// Version that the row must have; `None` where it must be absent.
        pub expected: Option<u64>,
        /// New content.
        pub record: ClaimRecord,
    }

    /// A claim row as it was read.
    pub struct ClaimRow {
        /// Its version.
        pub version: u64,
        /// Its content.
        pub record: ClaimRecord,
    }

    /// What an agent says of an attempt.
    pub enum AttemptStatus {
        /// It has not run and will not run.
        Refused,
        /// It runs.
        Running,
        /// It has run; the answer is there if the agent kept it.
        Done(Option<BufferedAnswer>),
        /// It may have run.
        Unknown,
        /// The agent did not say.
        Unreachable,
    }

    /// What happened.
    pub enum ClaimEvent {
        /// A target was chosen for a new attempt.
        Picked {
            /// The target.
            target: ClaimTarget,
            /// Fresh random name of the attempt.
            attempt: AttemptId,
        },
        /// No target is left to try.
        NoTarget {
            /// Fresh random name, for the record that closes the last attempt.
            attempt: AttemptId,
        },
        /// The write took effect.
        Written {
            /// Version of the row.
            version: u64,
        },
        /// The row has another version.
        Conflict,
        /// The write may have taken effect.
        Indeterminate,
        /// The table did not take the write, or did not answer the read.
        Unavailable,
        /// The row was read.
        Row(Option<ClaimRow>),
        /// What became of the attempt.
        Status(AttemptStatus),
    }

    /// What to do next.
    pub enum ClaimAction {
        /// Choose a target that was not tried yet.
        Pick,
        /// Write the row.
        Write(ClaimWrite),
        /// Read the row.
        Read,
        /// Send the call to the agent.
        Dispatch {
            /// The agent.
            target: ClaimTarget,
            /// The attempt.
            attempt: AttemptId,
        },
        /// Ask the agent what became of the attempt.
        Query {
            /// The agent.
            target: ClaimTarget,
            /// The attempt.
            attempt: AttemptId,
        },
        /// Tell the caller.
        Finish(ClaimOutcome),
    }

    /// What the caller is told.
    pub enum ClaimOutcome {
        /// The answer, now or from before.
        Answered(BufferedAnswer),
        /// The call has not run.
        NotRun,
        /// This call has not run; the table cannot say whether an earlier one with the key did.
        TableUnavailable,
        /// The call runs.
        InProgress,
        /// The call may have run; it is not run again.
        Unknown,
        /// The key was used with another body.
        OtherBody,
    }

    enum ClaimStep {
        Picking,
        Writing,
        Reading,
        Dispatched,
        Querying,
        Finished,
    }
}

/// Takes one non-idempotent call from its claim to its outcome.
#[derive(Debug)]
pub struct ClaimMachine {
    body_digest: ContentDigest,
    step: ClaimStep,
    row: Option<ClaimRow>,
    pending: Option<ClaimWrite>,
    writes: u32,
    /// Another claim is known to exist or to have existed.
    contended: bool,
    settlement: Option<ClaimWrite>,
}

impl ClaimMachine {
    /// A machine for a call; its first action is [`ClaimAction::Pick`].
    #[must_use]
    pub fn new(body_digest: ContentDigest) -> Self {
        Self {
            body_digest,
            step: ClaimStep::Picking,
            row: None,
            pending: None,
            writes: 0,
            contended: false,
            settlement: None,
        }
    }

    /// The write that keeps the answer, once the machine has finished with one.
    pub fn take_settlement(&mut self) -> Option<ClaimWrite> {
        self.settlement.take()
    }

    /// Takes an event that answers the last action.
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match (&self.step, event) {
            (ClaimStep::Picking, ClaimEvent::Picked { target, attempt }) => {
                self.write(Some(target), attempt)
            }
            (ClaimStep::Picking, ClaimEvent::NoTarget { attempt }) => self.close(attempt),
            (ClaimStep::Writing, ClaimEvent::Written { version }) => self.written(version),
            (ClaimStep::Writing, ClaimEvent::Conflict) => {
                self.contended = true;
                self.read()
            }
            (ClaimStep::Writing, ClaimEvent::Indeterminate) => self.read(),
            (ClaimStep::Writing | ClaimStep::Reading, ClaimEvent::Unavailable) => self.table_down(),
            (ClaimStep::Reading, ClaimEvent::Row(Some(row))) => self.found(row),
            (ClaimStep::Reading, ClaimEvent::Row(None)) => self.absent(),
            (ClaimStep::Dispatched | ClaimStep::Querying, ClaimEvent::Status(fate)) => {
                self.resolve(fate)
            }
            _ => self.finish(ClaimOutcome::Unknown),
        }
    }

    fn write(&mut self, target: Option<ClaimTarget>, attempt: AttemptId) -> ClaimAction {
        if self.writes >= MAX_CLAIM_WRITES {
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
        self.writes += 1;
        self.pending = Some(write.clone());
        self.step = ClaimStep::Writing;
        ClaimAction::Write(write)
    }

    /// Marks that no attempt so far has run, so that "not run" is true of the key.
    fn close(&mut self, attempt: AttemptId) -> ClaimAction {
        let open = self
            .row
            .as_ref()
            .is_none_or(|row| row.record.target.is_none());
        if open {
            return self.finish(ClaimOutcome::NotRun);
        }
        self.write(None, attempt)
    }

    fn written(&mut self, version: u64) -> ClaimAction {
        let Some(write) = self.pending.take() else {
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

    fn table_down(&mut self) -> ClaimAction {
        if self.contended || self.row.is_some() {
            return self.finish(ClaimOutcome::Unknown);
        }
        self.finish(ClaimOutcome::TableUnavailable)
    }

    fn found(&mut self, row: ClaimRow) -> ClaimAction {
        let ours = self
            .pending
            .as_ref()
            .is_some_and(|write| write.record.attempt == row.record.attempt);
        if ours && row.record.answer.is_none() {
            return self.written(row.version);
        }
        self.contended = true;
        self.pending = None;
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

    /// The write was lost; a copy that arrives later carries the same attempt.
    fn absent(&mut self) -> ClaimAction {
        let lost = self
            .pending
            .clone()
            .filter(|write| write.expected.is_none());
        let Some(write) = lost else {
            return self.finish(ClaimOutcome::Unknown);
        };
        if self.writes >= MAX_CLAIM_WRITES {
            return self.finish(ClaimOutcome::NotRun);
        }
        self.writes += 1;
        self.step = ClaimStep::Writing;
        ClaimAction::Write(write)
    }

    fn resolve(&mut self, fate: AttemptStatus) -> ClaimAction {
        let dispatched = self.step == ClaimStep::Dispatched;
        match fate {
            AttemptStatus::Refused => {
                self.step = ClaimStep::Picking;
                ClaimAction::Pick
            }
            AttemptStatus::Running => self.finish(ClaimOutcome::InProgress),
            AttemptStatus::Done(Some(answer)) => self.answered(answer),
            AttemptStatus::Unreachable if dispatched => self.query(),
            AttemptStatus::Done(None) | AttemptStatus::Unknown | AttemptStatus::Unreachable => {
                self.finish(ClaimOutcome::Unknown)
            }
        }
    }

    fn query(&mut self) -> ClaimAction {
        let record = self.row.as_ref().map(|row| row.record.clone());
        let Some((target, attempt)) = record.and_then(|rec| Some((rec.target?, rec.attempt)))
        else {
            return self.finish(ClaimOutcome::Unknown);
        };
        self.step = ClaimStep::Querying;
        ClaimAction::Query { target, attempt }
    }

    fn answered(&mut self, answer: BufferedAnswer) -> ClaimAction {
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
