//! News of suspects between processes.
//!
//! The agent whose upstream crashed tells all entries that are linked to it; these tell the agents
//! that they are linked to, which admit a suspect alone or not at all.

use std::time::{Duration, Instant};

use agatepin_core::ids::{ContentDigest, RequestId};
use agatepin_core::poison::{SuspectKey, SuspectTracker};
use bytes::Bytes;

use crate::wire::frames::{CallStart, SuspectNews, SuspectRecord};

/// Time for which a suspect is remembered after its last crash.
pub const SUSPECT_RETENTION: Duration = Duration::from_mins(10);

/// Names the crash of the upstream beside the agent `instance`. All calls that share it count as
/// one crash; a suspect that ran alone has a crash of its own.
#[must_use]
pub fn witness(instance: &str, incarnation: u64, alone: Option<RequestId>) -> String {
    match alone {
        Some(id) => format!("{instance}/{incarnation}/{}/{}", id.entry, id.number),
        None => format!("{instance}/{incarnation}"),
    }
}

/// Names the request of `call`.
#[must_use]
pub fn suspect_key(call: &CallStart) -> Option<SuspectKey> {
    Some(SuspectKey {
        customer: call.customer.clone(),
        body_digest: ContentDigest::from_slice(&call.body_digest)?,
    })
}

/// All suspects in `tracker`.
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

/// The suspect `key` in `tracker`.
#[must_use]
pub fn record_of(tracker: &SuspectTracker, key: &SuspectKey) -> SuspectNews {
    let mut all = all_records(tracker);
    all.records.retain(|record| {
        record.customer == key.customer && record.body_digest == key.body_digest.as_bytes()[..]
    });
    all
}

/// Takes news; returns the records that said something new.
pub fn record_crashes(
    tracker: &mut SuspectTracker,
    news: SuspectNews,
    now: Instant,
) -> SuspectNews {
    let mut fresh = Vec::new();
    for record in news.records {
        let Some(body_digest) = ContentDigest::from_slice(&record.body_digest) else {
            continue;
        };
        let key = SuspectKey {
            customer: record.customer.clone(),
            body_digest,
        };
        if tracker.record_crashes(key, record.witnesses.iter().cloned(), now) {
            fresh.push(record);
        }
    }
    SuspectNews { records: fresh }
}
