//! Requests that crash the upstreams that run them.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids::{ContentDigest, CustomerId};

/// Crashes after which a request is refused.
pub const CRASHES_TO_REFUSE: usize = 2;
/// Most suspects that are remembered.
pub const MAX_SUSPECTS: usize = 4096;

value_type! {
    /// Names a request by its customer and body.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct SuspectKey {
        /// Customer.
        pub customer: CustomerId,
        /// Digest of the body.
        pub body_digest: ContentDigest,
    }

    /// How a request may run.
    #[derive(Copy)]
    pub enum SuspectAdmission {
        /// As any other.
        Unrestricted,
        /// Alone on its upstream.
        RunAlone,
        /// Not at all for now.
        Refuse,
    }

    struct SuspectEntry {
        witnesses: BTreeSet<String>,
        until: Instant,
    }
}

/// Remembers the requests that were in flight at a crash.
#[derive(Debug)]
pub struct SuspectTracker {
    keep: Duration,
    suspects: HashMap<SuspectKey, SuspectEntry>,
    alone: BTreeSet<SuspectKey>,
}

impl SuspectTracker {
    /// A tracker that forgets a suspect `keep` after its last crash.
    #[must_use]
    pub fn new(keep: Duration) -> Self {
        Self {
            keep,
            suspects: HashMap::new(),
            alone: BTreeSet::new(),
        }
    }

    /// Takes news of crashes; each witness names one crash, so that it counts once. Returns
    /// whether this was new.
    pub fn record_crashes<Witnesses>(
        &mut self,
        key: SuspectKey,
        witnesses: Witnesses,
        now: Instant,
    ) -> bool
    where
        Witnesses: IntoIterator<Item = String>,
    {
        self.suspects.retain(|_, entry| entry.until > now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&key) {
            return false;
        }
        let until = now + self.keep;
        let entry = self.suspects.entry(key).or_insert_with(|| SuspectEntry {
            witnesses: BTreeSet::new(),
            until,
        });
        let known = entry.witnesses.len();
        let room = CRASHES_TO_REFUSE.saturating_sub(known);
        let fresh: Vec<String> = witnesses
            .into_iter()
            .filter(|witness| !entry.witnesses.contains(witness))
            .take(room)
            .collect();
        entry.witnesses.extend(fresh);
        let grown = entry.witnesses.len() > known;
        if grown {
            entry.until = until;
        }
        grown
    }

    /// How the request may run now.
    #[must_use]
    pub fn admission(&self, key: &SuspectKey, now: Instant) -> SuspectAdmission {
        let Some(entry) = self.suspects.get(key).filter(|entry| entry.until > now) else {
            return SuspectAdmission::Unrestricted;
        };
        if entry.witnesses.len() >= CRASHES_TO_REFUSE {
            return SuspectAdmission::Refuse;
        }
        SuspectAdmission::RunAlone
    }

    /// Starts a suspect unless it already runs here.
    #[must_use]
    pub fn try_run(&mut self, key: &SuspectKey) -> bool {
        self.alone.insert(key.clone())
    }

    /// Ends a suspect's run.
    pub fn end_run(&mut self, key: &SuspectKey) {
        self.alone.remove(key);
    }

    /// Suspects with their witnesses, to tell other entries.
    pub fn suspects(&self) -> impl Iterator<Item = (&SuspectKey, &BTreeSet<String>)> {
        self.suspects
            .iter()
            .map(|(key, entry)| (key, &entry.witnesses))
    }
}
