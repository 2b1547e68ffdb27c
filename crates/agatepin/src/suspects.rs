//! Frames that exchange suspects: requests that were in flight when an upstream crashed.
//!
//! The agent whose upstream crashed sends the suspects to all entries that are linked to it. The
//! entries forward them to the agents that they are linked to. An agent runs a suspect alone, with
//! no other call in flight, or refuses it.

use std::time::{Duration, Instant};

use agatepin_core::ids::{ContentDigest, RequestId};
use agatepin_core::poison::{SuspectKey, SuspectTracker};
use bytes::Bytes;

use crate::wire::frames::{CallStart, SuspectNews, SuspectRecord};

/// Time for which a suspect is retained after its last crash.
pub const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

/// Identifier of a crash of the upstream of the agent `instance`, whose process has the incarnation
/// number `incarnation`.
///
/// All calls that were in flight get the same identifier, so that they count as one crash. A
/// suspect that ran alone, whose request is `alone`, gets an identifier of its own: its crash
/// counts separately.
#[must_use]
pub fn witness(instance: &str, incarnation: u64, alone: Option<RequestId>) -> String {
    match alone {
        Some(id) => format!("{instance}/{incarnation}/{}/{}", id.entry, id.number),
        None => format!("{instance}/{incarnation}"),
    }
}

/// Key under which the request of `call` is tracked; `None` if its body digest is malformed.
#[must_use]
pub fn suspect_key(call: &CallStart) -> Option<SuspectKey> {
    Some(SuspectKey {
        customer: call.customer.clone(),
        body_digest: ContentDigest::from_slice(&call.body_digest)?,
    })
}

/// Builds the message that lists all suspects in `tracker`.
#[must_use]
pub fn all_records(tracker: &SuspectTracker) -> SuspectNews {
    let records = tracker.suspects().map(|(key, witnesses)| SuspectRecord {
        customer: key.customer.clone(),
        body_digest: Bytes::copy_from_slice(key.body_digest.as_bytes()),
        crashes: u32::try_from(witnesses.len()).unwrap_or(u32::MAX),
        witnesses: witnesses.iter().cloned().collect(),
    });
    SuspectNews {
        records: records.collect(),
    }
}

/// Builds the message that lists only the suspect `key`; it is empty if `tracker` has no such
/// suspect.
#[must_use]
pub fn record_of(tracker: &SuspectTracker, key: &SuspectKey) -> SuspectNews {
    let mut all = all_records(tracker);
    all.records.retain(|record| {
        record.customer == key.customer && record.body_digest == key.body_digest.as_bytes()[..]
    });
    all
}

/// Records in `tracker` the crashes that a peer reported; returns the records with a crash that
/// `tracker` did not have yet, which are to be forwarded.
///
/// Records with a malformed digest are skipped.
pub fn record_crashes(
    tracker: &mut SuspectTracker,
    news: SuspectNews,
    now: Instant,
) -> SuspectNews {
    let mut new_records = Vec::new();
    for record in news.records {
        let Some(body_digest) = ContentDigest::from_slice(&record.body_digest) else {
            continue;
        };
        let key = SuspectKey {
            customer: record.customer.clone(),
            body_digest,
        };
        if tracker.record_crashes(key, record.witnesses.iter().cloned(), now) {
            new_records.push(record);
        }
    }
    SuspectNews {
        records: new_records,
    }
}
