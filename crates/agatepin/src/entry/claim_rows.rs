//! Claim rows in the table service. Writes that arrive within a short time share a transaction.

use std::collections::HashSet;
use std::time::Duration;

use agatepin_core::claim::{
    AnswerHeader, BufferedAnswer, ClaimEvent, ClaimKey, ClaimRecord, ClaimRow, ClaimTarget,
    ClaimWrite,
};
use agatepin_core::ids::ContentDigest;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::claims::ClaimTable;
use crate::platform::table::{
    MAX_TRANSACTION_ROWS, RowExpectation, RowPut, TableError, TableStore,
};

/// Name of the table that holds the claims.
pub const CLAIM_TABLE: &str = "agatepin";

/// Time for which writes are collected into a transaction.
const BATCH_WINDOW: Duration = Duration::from_millis(2);
/// Maximum number of writes queued for the next transactions; further ones wait.
const WRITE_QUEUE_LENGTH: usize = 4096;

/// JSON encoding of a claim row. `number` counts the attempts for the idempotency key, from 1;
/// `target` is the agent incarnation that may execute the attempt. Header values
/// and bodies of answers are in base64, digests in hexadecimal.
#[derive(Serialize, Deserialize)]
struct ClaimBody {
    body_digest: String,
    attempt: String,
    number: u32,
    target: Option<TargetBody>,
    answer: Option<AnswerBody>,
}

#[derive(Serialize, Deserialize)]
struct TargetBody {
    instance: String,
    incarnation: u64,
}

#[derive(Serialize, Deserialize)]
struct AnswerBody {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

impl From<ClaimRecord> for ClaimBody {
    fn from(record: ClaimRecord) -> Self {
        Self {
            body_digest: record.body_digest.to_string(),
            attempt: record.attempt,
            number: record.number,
            target: record.target.map(|target| TargetBody {
                instance: target.instance,
                incarnation: target.incarnation,
            }),
            answer: record.answer.map(AnswerBody::from),
        }
    }
}

impl From<BufferedAnswer> for AnswerBody {
    fn from(answer: BufferedAnswer) -> Self {
        let headers = answer.headers.into_iter();
        Self {
            status: answer.status,
            headers: headers
                .map(|header| (header.name, STANDARD.encode(header.value)))
                .collect(),
            body: STANDARD.encode(answer.body),
        }
    }
}

/// The value of a row is not a valid claim.
struct MalformedClaim;

impl TryFrom<ClaimBody> for ClaimRecord {
    type Error = MalformedClaim;

    fn try_from(body: ClaimBody) -> Result<Self, MalformedClaim> {
        Ok(Self {
            body_digest: ContentDigest::from_hex(&body.body_digest).ok_or(MalformedClaim)?,
            attempt: body.attempt,
            number: body.number,
            target: body.target.map(|target| ClaimTarget {
                instance: target.instance,
                incarnation: target.incarnation,
            }),
            answer: body.answer.map(BufferedAnswer::try_from).transpose()?,
        })
    }
}

impl TryFrom<AnswerBody> for BufferedAnswer {
    type Error = MalformedClaim;

    fn try_from(answer: AnswerBody) -> Result<Self, MalformedClaim> {
        let mut headers = Vec::new();
        for (name, value) in answer.headers {
            let value = STANDARD.decode(value).map_err(|_| MalformedClaim)?;
            headers.push(AnswerHeader { name, value });
        }
        Ok(Self {
            status: answer.status,
            headers,
            body: STANDARD.decode(answer.body).map_err(|_| MalformedClaim)?,
        })
    }
}

/// Decodes the value of a claim row; returns `None` if it is not a valid claim.
#[must_use]
pub fn decode_record(value: &[u8]) -> Option<ClaimRecord> {
    let body: ClaimBody = serde_json::from_slice(value).ok()?;
    ClaimRecord::try_from(body).ok()
}

/// A write waiting for its transaction.
#[derive(Debug)]
struct WriteJob {
    put: RowPut,
    /// Receives the result of the write.
    reply: oneshot::Sender<ClaimEvent>,
}

/// Reads and writes claim rows in the table service; the writes of all clones share batches.
#[derive(Clone, Debug)]
pub struct ClaimRows<Store> {
    store: Store,
    jobs: mpsc::Sender<WriteJob>,
}

impl<Store> ClaimRows<Store>
where
    Store: TableStore,
{
    /// Starts the task that batches the writes, on the current runtime.
    #[must_use]
    pub fn start(store: Store) -> Self {
        let (jobs, queue) = mpsc::channel(WRITE_QUEUE_LENGTH);
        tokio::spawn(batch_writes(store.clone(), queue));
        Self { store, jobs }
    }
}

impl<Store> ClaimTable for ClaimRows<Store>
where
    Store: TableStore,
{
    async fn write(&self, key: &ClaimKey, write: ClaimWrite) -> ClaimEvent {
        let (reply, written) = oneshot::channel();
        let Some(put) = row_put(key, write) else {
            return ClaimEvent::Unavailable;
        };
        if self.jobs.send(WriteJob { put, reply }).await.is_err() {
            return ClaimEvent::Unavailable;
        }
        written.await.unwrap_or(ClaimEvent::Indeterminate)
    }

    async fn read(&self, key: &ClaimKey) -> ClaimEvent {
        let Ok(row) = self.store.get(CLAIM_TABLE, &row_key(key)).await else {
            return ClaimEvent::Unavailable;
        };
        let Some(row) = row else {
            return ClaimEvent::Row(None);
        };
        let Some(record) = decode_record(&row.value) else {
            return ClaimEvent::Unavailable;
        };
        ClaimEvent::Row(Some(ClaimRow {
            version: row.version,
            record,
        }))
    }
}

async fn batch_writes<Store>(store: Store, mut queue: mpsc::Receiver<WriteJob>)
where
    Store: TableStore,
{
    while let Some(first) = queue.recv().await {
        let mut keys = HashSet::from([first.put.key.clone()]);
        let mut batch = vec![first];
        let window = tokio::time::sleep(BATCH_WINDOW);
        tokio::pin!(window);
        while batch.len() < MAX_TRANSACTION_ROWS {
            let job = tokio::select! {
                () = &mut window => break,
                job = queue.recv() => job,
            };
            let Some(job) = job else {
                break;
            };
            if keys.insert(job.put.key.clone()) {
                batch.push(job);
                continue;
            }
            // A transaction may not contain a row twice, so the second write has its own.
            tokio::spawn(write_single(store.clone(), job));
        }
        tokio::spawn(write_batch(store.clone(), batch));
    }
}

async fn write_batch<Store>(store: Store, batch: Vec<WriteJob>)
where
    Store: TableStore,
{
    let puts: Vec<RowPut> = batch.iter().map(|job| job.put.clone()).collect();
    let single = batch.len() == 1;
    let written = store.transact(puts).await;
    let refused = matches!(
        written,
        Err(TableError::Conflict(_) | TableError::Refused(_))
    );
    for (index, job) in batch.into_iter().enumerate() {
        let conflicts =
            matches!(&written, Err(TableError::Conflict(rows)) if rows.contains(&index));
        if refused && !single && !conflicts {
            // The transaction wrote nothing, but this row is not known to be the cause, so it is
            // written alone.
            tokio::spawn(write_single(store.clone(), job));
            continue;
        }
        let event = write_event(&written, job.put.new_version);
        // Sending fails if the call has ended in the meantime.
        let _ = job.reply.send(event);
    }
}

async fn write_single<Store>(store: Store, job: WriteJob)
where
    Store: TableStore,
{
    let version = job.put.new_version;
    let written = store.transact(vec![job.put]).await;
    // Sending fails if the call has ended in the meantime.
    let _ = job.reply.send(write_event(&written, version));
}

fn write_event(written: &Result<(), TableError>, version: u64) -> ClaimEvent {
    match written {
        Ok(()) => ClaimEvent::Written { version },
        Err(TableError::Conflict(_)) => ClaimEvent::Conflict,
        Err(TableError::Unknown(_)) => ClaimEvent::Indeterminate,
        Err(TableError::Unavailable(_) | TableError::Refused(_)) => ClaimEvent::Unavailable,
    }
}

fn row_put(key: &ClaimKey, write: ClaimWrite) -> Option<RowPut> {
    let expect = write
        .expected
        .map_or(RowExpectation::Absent, RowExpectation::Version);
    let value = serde_json::to_vec(&ClaimBody::from(write.record)).ok()?;
    Some(RowPut {
        table: CLAIM_TABLE.to_owned(),
        key: row_key(key),
        value: value.into(),
        expect,
        new_version: write.expected.unwrap_or(0) + 1,
    })
}

fn row_key(key: &ClaimKey) -> String {
    format!("claim/{}/{}", key.customer, key.key)
}
