//! Detection of poison requests: requests that crash the upstreams that execute them.
//!
//! A request that was in flight when an upstream crashed is a suspect. A suspect runs with no other
//! request on its upstream, so that a further crash can be attributed to it; after
//! [`CRASHES_TO_REFUSE`] crashes it is refused.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids::{ContentDigest, CustomerId};

/// Number of crashes after which a request is refused.
pub const CRASHES_TO_REFUSE: usize = 2;
/// Maximum number of suspects that are tracked; crashes of further requests are ignored.
pub const MAX_SUSPECTS: usize = 4096;

value_type! {
    /// Identifies a request by its customer and body.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct SuspectKey {
        /// Customer that sent the request.
        pub customer: CustomerId,
        /// Digest of the request body.
        pub body_digest: ContentDigest,
    }

    /// Whether and how a request may run.
    #[derive(Copy)]
    pub enum SuspectAdmission {
        /// The request may run like any other, since it is not a suspect.
        Unrestricted,
        /// The request may run only while no other call is in flight on its upstream.
        RunAlone,
        /// The request may not run until the tracker has forgotten its crashes.
        Refuse,
    }

    struct SuspectEntry {
        /// Identifiers of the crashes during which the request was in flight, at most
        /// [`CRASHES_TO_REFUSE`].
        witnesses: BTreeSet<String>,
        /// Time at which the suspect is forgotten.
        forget_at: Instant,
    }
}

/// Tracks the requests that were in flight when an upstream crashed.
#[derive(Debug)]
pub struct SuspectTracker {
    /// Time since its last recorded crash after which a suspect is forgotten.
    retention: Duration,
    suspects: HashMap<SuspectKey, SuspectEntry>,
    /// Suspects that are running in this process now.
    running_suspects: BTreeSet<SuspectKey>,
}

impl SuspectTracker {
    /// Creates a tracker that forgets a suspect when `retention` has passed since its last crash.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            suspects: HashMap::new(),
            running_suspects: BTreeSet::new(),
        }
    }

    /// Records crashes during which the request was in flight. Each witness identifies one crash,
    /// so that a crash reported by several processes counts once. Returns whether any crash was new
    /// and has been recorded.
    pub fn record_crashes<Witnesses>(
        &mut self,
        key: SuspectKey,
        witnesses: Witnesses,
        now: Instant,
    ) -> bool
    where
        Witnesses: IntoIterator<Item = String>,
    {
        self.suspects.retain(|_, entry| entry.forget_at > now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&key) {
            return false;
        }
        let until = now + self.retention;
        let entry = self.suspects.entry(key).or_insert_with(|| SuspectEntry {
            witnesses: BTreeSet::new(),
            forget_at: until,
        });
        let known_count = entry.witnesses.len();
        let capacity = CRASHES_TO_REFUSE.saturating_sub(known_count);
        let added: Vec<String> = witnesses
            .into_iter()
            .filter(|witness| !entry.witnesses.contains(witness))
            .take(capacity)
            .collect();
        entry.witnesses.extend(added);
        let grown = entry.witnesses.len() > known_count;
        if grown {
            entry.forget_at = until;
        }
        grown
    }

    /// Returns whether and how the request may run now.
    #[must_use]
    pub fn admission(&self, key: &SuspectKey, now: Instant) -> SuspectAdmission {
        let Some(entry) = self.suspects.get(key).filter(|entry| entry.forget_at > now) else {
            return SuspectAdmission::Unrestricted;
        };
        if entry.witnesses.len() >= CRASHES_TO_REFUSE {
            return SuspectAdmission::Refuse;
        }
        SuspectAdmission::RunAlone
    }

    /// Marks a suspect as running in this process; returns `false` if it already runs here.
    #[must_use]
    pub fn try_run(&mut self, key: &SuspectKey) -> bool {
        self.running_suspects.insert(key.clone())
    }

    /// Marks a suspect as no longer running in this process.
    pub fn end_run(&mut self, key: &SuspectKey) {
        self.running_suspects.remove(key);
    }

    /// Returns the suspects with their witnesses, the one with the latest crash first.
    #[must_use]
    pub fn newest_suspects(&self) -> Vec<(&SuspectKey, &BTreeSet<String>)> {
        let mut newest: Vec<_> = self.suspects.iter().collect();
        newest.sort_by_key(|(key, entry)| (Reverse(entry.forget_at), *key));
        let newest = newest.into_iter();
        newest.map(|(key, entry)| (key, &entry.witnesses)).collect()
    }

    /// Returns all suspects with their witnesses, to be sent to other processes.
    pub fn suspects(&self) -> impl Iterator<Item = (&SuspectKey, &BTreeSet<String>)> {
        self.suspects
            .iter()
            .map(|(key, entry)| (key, &entry.witnesses))
    }
}
