//! Evidence on one part of prompts: the crashes of upstreams while they ran requests with the part,
//! and the first events of such requests since.
//!
//! Crashes that may have one cause count as one wave: a crash opens a new wave only if its request
//! was sent after the crash of the wave before. Crashes whose request was sent before the part's
//! last known first event do not count.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{PartId, ServiceId, UpstreamId};
use crate::relay::notices::BornMillis;

/// Number of waves of crashes that incriminate a part of which no first event is known.
pub const WAVES_TO_REFUSE: usize = 3;
/// Number of waves that incriminate a part of which an earlier first event is known.
pub const WAVES_TO_REFUSE_SOUND: usize = 6;
/// Number of waves that make a part a suspect of which an earlier first event is known. Other parts
/// are suspects after one.
pub const WAVES_TO_DOUBT: usize = 2;
/// Time since its last crash for which an incriminated part is refused. Afterwards it is quarantined
/// again. Each further wave doubles the time, up to [`CRASH_RETENTION`].
pub const REFUSAL_TIME: Duration = Duration::from_mins(10);
/// Time since the last crash for which the crashes of a part are remembered.
pub const CRASH_RETENTION: Duration = Duration::from_hours(1);
/// Longest time for which a trial keeps other requests with the part from running, if nobody hears
/// of its end.
pub const TRIAL_TIME: Duration = Duration::from_secs(4);
/// Maximum number of crashes that are kept of one part; the latest ones are.
pub const MAX_CRASHES: usize = 8;
/// Maximum number of trials that are kept of one part.
pub const MAX_TRIALS: usize = 8;

/// Random number that tells a trial from others.
pub type TrialId = u64;

value_type! {
    /// Identifies a part of prompts. The same part at another service is another one.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct PartKey {
        /// Service that the requests are for.
        pub service: ServiceId,
        /// Id of the part in the requests' heads.
        pub part: PartId,
    }

    /// Identifies a crash by the life of the upstream that it ended.
    #[derive(PartialOrd, Ord)]
    pub struct CrashId {
        /// Id of the upstream.
        pub upstream: UpstreamId,
        /// Start of the upstream.
        pub born: BornMillis,
    }

    /// Crash of an upstream while it ran requests with the part.
    #[derive(Copy)]
    pub struct PartCrash {
        /// When the first of these requests was sent.
        pub sent: Instant,
        /// When the crash was noticed first.
        pub noticed: Instant,
        /// One of these requests was a trial of this part alone.
        pub sole: bool,
    }

    /// A request that runs while no other one with the part may.
    #[derive(Copy)]
    pub struct PartTrial {
        /// Start of the trial.
        pub started: Instant,
        /// Whether the trial has ended.
        pub over: bool,
    }

    /// Whether requests with a part may run.
    #[derive(Copy)]
    pub enum PartState {
        /// They may run like any other.
        Clear,
        /// One may run at a time, as a trial.
        Quarantined,
        /// None may run.
        Refused,
    }

    /// What is known of one part.
    #[derive(Default)]
    pub struct PartEvidence {
        crashes: BTreeMap<CrashId, PartCrash>,
        /// Time of the last known first event of a request with the part.
        first_event: Option<Instant>,
        /// Time of the last one that this entry itself received.
        own_first_event: Option<Instant>,
        /// Whether any entry knows a first event of a request with the part.
        known_sound: bool,
        trials: BTreeMap<TrialId, PartTrial>,
    }
}

impl PartEvidence {
    /// Adds a crash. Several reports of one crash are merged, in any order. Returns whether
    /// something changed.
    pub fn add_crash(&mut self, id: CrashId, crash: PartCrash) -> bool {
        let Some(known) = self.crashes.get_mut(&id) else {
            self.crashes.insert(id.clone(), crash);
            return !(self.crashes.len() > MAX_CRASHES && self.drop_first_crash() == Some(id));
        };
        let merged = PartCrash {
            sent: known.sent.min(crash.sent),
            noticed: known.noticed.min(crash.noticed),
            sole: known.sole || crash.sole,
        };
        let changed = *known != merged;
        *known = merged;
        changed
    }

    /// Forgets the crash that was noticed first, and returns its id.
    fn drop_first_crash(&mut self) -> Option<CrashId> {
        let first = self
            .crashes
            .iter()
            .min_by_key(|(id, crash)| (crash.noticed, *id))?;
        let id = first.0.clone();
        self.crashes.remove(&id);
        Some(id)
    }

    /// Adds a first event of a request with the part; `own` if this entry received it.
    pub fn add_first_event(&mut self, at: Instant, own: bool) {
        self.known_sound = true;
        self.first_event = self.first_event.max(Some(at));
        if own {
            self.own_first_event = self.own_first_event.max(Some(at));
        }
    }

    /// Records that some entry knows a first event of a request with the part.
    pub fn set_known_sound(&mut self) {
        self.known_sound = true;
    }

    /// Adds a trial, or its end.
    pub fn add_trial(&mut self, id: TrialId, trial: PartTrial, now: Instant) -> bool {
        self.trials.retain(|_, known| known.is_recent(now));
        if !trial.is_recent(now) {
            return false;
        }
        if let Some(known) = self.trials.get_mut(&id) {
            let changed = trial.over && !known.over;
            known.over |= trial.over;
            return changed;
        }
        if self.trials.len() >= MAX_TRIALS && !self.drop_first_ended_trial() {
            return false;
        }
        self.trials.insert(id, trial);
        true
    }

    /// Forgets the trial that started first of those that are over. Returns false if none is.
    fn drop_first_ended_trial(&mut self) -> bool {
        let ended = self.trials.iter().filter(|(_, trial)| trial.over);
        let Some((id, _)) = ended.min_by_key(|(id, trial)| (trial.started, **id)) else {
            return false;
        };
        let id = *id;
        self.trials.remove(&id).is_some()
    }

    /// Forgets what is too old to matter. Returns whether anything is left.
    pub fn expire(&mut self, now: Instant) -> bool {
        if !self.has_recent_crash(now) {
            self.crashes.clear();
        }
        self.trials.retain(|_, trial| trial.is_recent(now));
        let event_age = self.first_event.map(|at| now.saturating_duration_since(at));
        let sound = event_age.is_some_and(|age| age < CRASH_RETENTION);
        sound || !self.crashes.is_empty() || !self.trials.is_empty()
    }

    /// Crashes that count as evidence against the part.
    fn counted(&self, now: Instant) -> impl Iterator<Item = &PartCrash> {
        let cleared = self.first_event;
        let recent = self.has_recent_crash(now);
        self.crashes
            .values()
            .filter(move |crash| recent && Some(crash.sent) > cleared)
    }

    fn has_recent_crash(&self, now: Instant) -> bool {
        let last = self.crashes.values().map(|crash| crash.noticed).max();
        last.is_some_and(|at| now.saturating_duration_since(at) < CRASH_RETENTION)
    }

    /// Number of waves of crashes that count against the part.
    #[must_use]
    pub fn waves(&self, now: Instant) -> usize {
        let mut crashes: Vec<&PartCrash> = self.counted(now).collect();
        crashes.sort_by_key(|crash| crash.noticed);
        let mut waves = 0;
        let mut last = None;
        for crash in crashes {
            if last.is_some_and(|last| crash.sent <= last) {
                continue;
            }
            waves += 1;
            last = Some(crash.noticed);
        }
        waves
    }

    /// When the last crash was noticed that counts against the part; none if there is none.
    #[must_use]
    pub fn last_crash(&self, now: Instant) -> Option<Instant> {
        self.counted(now).map(|crash| crash.noticed).max()
    }

    /// Whether there were so many waves of crashes, and the last one so recently, that this part, or
    /// one that its requests have as well, crashes upstreams.
    #[must_use]
    pub fn is_incriminated(&self, now: Instant) -> bool {
        let Some(last) = self.last_crash(now) else {
            return false;
        };
        let needed = if self.known_sound {
            WAVES_TO_REFUSE_SOUND
        } else {
            WAVES_TO_REFUSE
        };
        let Some(further) = self.waves(now).checked_sub(needed) else {
            return false;
        };
        let refusal = REFUSAL_TIME * (1 << further.min(MAX_CRASHES));
        now.saturating_duration_since(last) < refusal.min(CRASH_RETENTION)
    }

    /// Whether requests with the part may run. An incriminated part is refused only after a crash in
    /// a trial of its own: until then, it may be another part of the same requests that is at fault.
    #[must_use]
    pub fn state(&self, now: Instant) -> PartState {
        let waves = self.waves(now);
        let needed = if self.known_sound { WAVES_TO_DOUBT } else { 1 };
        if waves < needed {
            return PartState::Clear;
        }
        if self.is_incriminated(now) && self.counted(now).any(|crash| crash.sole) {
            return PartState::Refused;
        }
        PartState::Quarantined
    }

    /// Whether a request with the part is running as a trial.
    #[must_use]
    pub fn is_on_trial(&self, now: Instant) -> bool {
        let mut trials = self.trials.values();
        trials.any(|trial| !trial.over && trial.is_recent(now))
    }

    /// Crashes, also those that do not count any more.
    #[must_use]
    pub fn crashes(&self) -> &BTreeMap<CrashId, PartCrash> {
        &self.crashes
    }

    /// Trials, also those that are over.
    #[must_use]
    pub fn trials(&self) -> &BTreeMap<TrialId, PartTrial> {
        &self.trials
    }

    /// Time of the last known first event of a request with the part.
    #[must_use]
    pub fn first_event(&self) -> Option<Instant> {
        self.first_event
    }

    /// Time of the last first event that this entry itself received.
    #[must_use]
    pub fn own_first_event(&self) -> Option<Instant> {
        self.own_first_event
    }

    /// Whether any entry knows a first event of a request with the part.
    #[must_use]
    pub fn is_known_sound(&self) -> bool {
        self.known_sound
    }
}

impl PartTrial {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < TRIAL_TIME
    }
}
