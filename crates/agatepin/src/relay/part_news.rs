//! Message between entries about parts of prompts whose requests crash upstreams.

use std::time::Duration;

use agatepin_core::relay::part_evidence::{CrashId, PartKey};
use agatepin_core::relay::part_tracker::{CrashNews, PartNews, TrialNews};
use prost::Message;

/// Maximum number of parts in one message.
pub const MAX_PARTS_PER_DATAGRAM: usize = 16;

/// Evidence of an entry on parts of prompts.
#[derive(Clone, PartialEq, Message)]
pub struct EntryParts {
    /// Parts, at most [`MAX_PARTS_PER_DATAGRAM`].
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<PartRecord>,
}

/// Evidence on one part.
#[derive(Clone, PartialEq, Message)]
pub struct PartRecord {
    /// Service that the requests are for.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id of the part.
    #[prost(string, tag = "2")]
    pub part: String,
    /// Crashes of upstreams while they ran requests with the part.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<CrashRecord>,
    /// Time since the last first event that the sender itself received, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub first_event_ms: Option<u64>,
    /// The sender knows a first event that some entry received.
    #[prost(bool, tag = "5")]
    pub known_sound: bool,
    /// Trials that are running or ended recently.
    #[prost(message, repeated, tag = "6")]
    pub trials: Vec<TrialRecord>,
}

/// Crash of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CrashRecord {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Time since the request was sent, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub sent_ms: u64,
    /// Time since the crash was noticed, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// The request was a trial of this part alone.
    #[prost(bool, tag = "5")]
    pub sole: bool,
}

/// Trial of a part: a request that runs while no other one with the part may.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TrialRecord {
    /// Number of the trial.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Time since its start, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The trial has ended.
    #[prost(bool, tag = "3")]
    pub over: bool,
}

impl From<PartNews> for PartRecord {
    fn from(news: PartNews) -> Self {
        let crashes = news.crashes.into_iter().map(|crash| CrashRecord {
            upstream: crash.id.upstream,
            born: crash.id.born,
            sent_ms: millis(crash.sent_age),
            age_ms: millis(crash.age),
            sole: crash.sole,
        });
        let trials = news.trials.into_iter().map(|trial| TrialRecord {
            id: trial.id,
            age_ms: millis(trial.age),
            over: trial.over,
        });
        Self {
            service: news.key.service,
            part: news.key.part,
            crashes: crashes.collect(),
            first_event_ms: news.first_event.map(millis),
            known_sound: news.known_sound,
            trials: trials.collect(),
        }
    }
}

impl From<PartRecord> for PartNews {
    fn from(record: PartRecord) -> Self {
        let crashes = record.crashes.into_iter().map(|crash| CrashNews {
            id: CrashId {
                upstream: crash.upstream,
                born: crash.born,
            },
            sent_age: Duration::from_millis(crash.sent_ms),
            age: Duration::from_millis(crash.age_ms),
            sole: crash.sole,
        });
        let trials = record.trials.into_iter().map(|trial| TrialNews {
            id: trial.id,
            age: Duration::from_millis(trial.age_ms),
            over: trial.over,
        });
        Self {
            key: PartKey {
                service: record.service,
                part: record.part,
            },
            crashes: crashes.collect(),
            first_event: record.first_event_ms.map(Duration::from_millis),
            known_sound: record.known_sound,
            trials: trials.collect(),
        }
    }
}

/// `duration` in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
