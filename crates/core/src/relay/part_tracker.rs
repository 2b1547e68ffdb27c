//! Tracks the parts of prompts whose requests crash upstreams, as one entry knows them: it decides
//! which requests may run, and exchanges its evidence with other entries.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::relay::part_evidence::{
    CrashId, MAX_CRASHES, MAX_TRIALS, PartCrash, PartEvidence, PartKey, PartState, PartTrial,
    TrialId,
};

/// Maximum number of parts that are tracked. Beyond it, those without crashes and those whose last
/// first event is oldest are forgotten first.
pub const MAX_PARTS: usize = 8_192;
/// Number of parts that are forgotten at once beyond [`MAX_PARTS`].
const FORGOTTEN_AT_ONCE: usize = MAX_PARTS / 8;
/// Longest id of a part, and of an upstream in a crash, in bytes.
pub const MAX_ID_BYTES: usize = 64;
/// Maximum number of changes that are kept for the log.
const MAX_CHANGES: usize = 32;

value_type! {
    /// Whether and how a request may run.
    pub enum PartAdmission {
        /// It may run like any other.
        Clear,
        /// It runs as a trial of these parts, which ends by [`PartTracker::end_trial`].
        Trial(Vec<PartKey>),
        /// It may not run now: another request is running as a trial of this part.
        OnTrial(PartKey),
        /// It may not run: this part crashes upstreams.
        Refused(PartKey),
    }

    /// An attempt of a request at an upstream that ended with a crash.
    pub struct CrashedAttempt<'call> {
        /// Life of the upstream that ended.
        pub crash: CrashId,
        /// When the request was sent.
        pub sent: Instant,
        /// Parts of which the request was a trial.
        pub trial: &'call [PartKey],
    }

    /// Change of a decision, for the log.
    pub struct PartChange {
        /// Part that the decision is about.
        pub key: PartKey,
        /// New decision.
        pub state: PartState,
        /// Number of crashes that are known of the part.
        pub crashes: usize,
        /// Number of waves of crashes that count.
        pub waves: usize,
        /// Time since the last crash that counts; none if there is none.
        pub last_crash: Option<Duration>,
        /// Time since the last known first event; none if there is none.
        pub first_event: Option<Duration>,
    }

    /// What an entry tells others of one part. Times are ages, since clocks of machines differ.
    pub struct PartNews {
        /// Part that the news is about.
        pub key: PartKey,
        /// Crashes that the sender knows.
        pub crashes: Vec<CrashNews>,
        /// Time since the last first event that the sender itself received. What it heard from
        /// others is not passed on, so that delays do not add up.
        pub first_event: Option<Duration>,
        /// Whether the sender knows a first event of any entry.
        pub known_sound: bool,
        /// Trials that are running or ended recently.
        pub trials: Vec<TrialNews>,
    }

    /// News of a crash.
    pub struct CrashNews {
        /// Life of the upstream that ended.
        pub id: CrashId,
        /// Time since the request was sent.
        pub sent_age: Duration,
        /// Time since the crash was noticed.
        pub age: Duration,
        /// The request was a trial of this part alone.
        pub sole: bool,
    }

    /// News of a trial.
    #[derive(Copy)]
    pub struct TrialNews {
        /// Number of the trial.
        pub id: TrialId,
        /// Time since its start.
        pub age: Duration,
        /// Whether it has ended.
        pub over: bool,
    }
}

/// Evidence on the parts of prompts that one entry knows.
#[derive(Debug, Default)]
pub struct PartTracker {
    parts: HashMap<PartKey, PartEvidence>,
    /// Parts that other entries are to be told of at once.
    due: BTreeSet<PartKey>,
    changes: Vec<PartChange>,
}

impl PartTracker {
    /// Decides whether a request with these `parts` may run, and starts the trial `trial` of those
    /// that are quarantined.
    pub fn admit(&mut self, parts: &[PartKey], trial: TrialId, now: Instant) -> PartAdmission {
        let admission = self.admission(parts, now);
        if let PartAdmission::Trial(suspects) = &admission {
            self.mark_trial(suspects, trial, false, now);
        }
        admission
    }

    /// Whether a request with these `parts` may run now.
    #[must_use]
    pub fn admission(&self, parts: &[PartKey], now: Instant) -> PartAdmission {
        let mut suspects = Vec::new();
        let mut on_trial = None;
        let mut incriminated = 0;
        for key in parts {
            let Some(evidence) = self.parts.get(key) else {
                continue;
            };
            // One of two incriminated parts of one request crashes upstreams, whichever it is.
            incriminated += usize::from(evidence.is_incriminated(now));
            match evidence.state(now) {
                PartState::Clear => continue,
                PartState::Refused => return PartAdmission::Refused(key.clone()),
                PartState::Quarantined if incriminated > 1 => {
                    return PartAdmission::Refused(key.clone());
                }
                PartState::Quarantined => suspects.push(key.clone()),
            }
            if evidence.is_on_trial(now) {
                on_trial = Some(key.clone());
            }
        }
        if let Some(key) = on_trial {
            return PartAdmission::OnTrial(key);
        }
        if suspects.is_empty() {
            return PartAdmission::Clear;
        }
        PartAdmission::Trial(suspects)
    }

    /// Ends the trial `trial` of `parts`.
    pub fn end_trial(&mut self, parts: &[PartKey], trial: TrialId, now: Instant) {
        self.mark_trial(parts, trial, true, now);
    }

    fn mark_trial(&mut self, parts: &[PartKey], id: TrialId, over: bool, now: Instant) {
        let trial = PartTrial { started: now, over };
        for key in parts {
            let Some(evidence) = self.parts.get_mut(key) else {
                continue;
            };
            if evidence.add_trial(id, trial, now) {
                self.due.insert(key.clone());
            }
        }
    }

    /// Whether no part is quarantined or refused.
    #[must_use]
    pub fn is_clear(&self, parts: &[PartKey], now: Instant) -> bool {
        let mut known = parts.iter().filter_map(|key| self.parts.get(key));
        known.all(|evidence| evidence.state(now) == PartState::Clear)
    }

    /// Records that an upstream crashed before the first event of a request with `parts`.
    pub fn record_crash(&mut self, parts: &[PartKey], attempt: &CrashedAttempt<'_>, now: Instant) {
        for key in parts {
            let crash = PartCrash {
                sent: attempt.sent,
                noticed: now,
                sole: attempt.trial == [key.clone()],
            };
            let id = attempt.crash.clone();
            let changed = self.update(key, now, |evidence| evidence.add_crash(id, crash));
            if changed {
                self.due.insert(key.clone());
            }
        }
    }

    /// Records that the answer to a request with `parts` began, which clears them.
    pub fn record_first_event(&mut self, parts: &[PartKey], now: Instant) {
        for key in parts {
            let was_suspect = self.update(key, now, |evidence| {
                let was_suspect = evidence.waves(now) > 0;
                evidence.add_first_event(now, true);
                was_suspect
            });
            if was_suspect {
                self.due.insert(key.clone());
            }
        }
    }

    /// Applies what another entry knows of a part. Returns whether this entry knows first events
    /// that the sender does not know, so that it should be told.
    pub fn merge(&mut self, news: PartNews, now: Instant) -> bool {
        if !is_valid_id(&news.key.part) || !is_valid_id(&news.key.service) {
            return false;
        }
        let crashes = news.crashes.into_iter().take(MAX_CRASHES);
        let crashes = crashes.filter_map(|crash| Some((crash.times(now)?, crash)));
        let crashes: Vec<(PartCrash, CrashNews)> = crashes.collect();
        let sender_knows = news.known_sound;
        let heard = news.first_event.and_then(|age| now.checked_sub(age));
        self.update(&news.key, now, |evidence| {
            let known_sound = evidence.is_known_sound();
            let own = evidence.own_first_event();
            let cleared_here = crashes.iter().any(|(crash, _)| own > Some(crash.sent));
            for (crash, news) in crashes {
                if is_valid_id(&news.id.upstream) {
                    evidence.add_crash(news.id, crash);
                }
            }
            if let Some(at) = heard {
                evidence.add_first_event(at, false);
            }
            if sender_knows {
                evidence.set_known_sound();
            }
            for news in news.trials.into_iter().take(MAX_TRIALS) {
                let Some(started) = now.checked_sub(news.age) else {
                    continue;
                };
                let over = news.over;
                evidence.add_trial(news.id, PartTrial { started, over }, now);
            }
            cleared_here && own > heard || known_sound && !sender_knows
        })
    }

    /// What this entry knows of a part; none if that is nothing.
    #[must_use]
    pub fn news_of(&self, key: &PartKey, now: Instant) -> Option<PartNews> {
        let evidence = self.parts.get(key)?;
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = evidence.crashes().iter().map(|(id, crash)| CrashNews {
            id: id.clone(),
            sent_age: age(crash.sent),
            age: age(crash.noticed),
            sole: crash.sole,
        });
        let trials = evidence.trials().iter().map(|(id, trial)| TrialNews {
            id: *id,
            age: age(trial.started),
            over: trial.over,
        });
        Some(PartNews {
            key: key.clone(),
            crashes: crashes.collect(),
            first_event: evidence.own_first_event().map(age),
            known_sound: evidence.is_known_sound(),
            trials: trials.collect(),
        })
    }

    /// Whether other entries are to be told something at once.
    #[must_use]
    pub fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Takes the parts that other entries are to be told of at once.
    pub fn take_due(&mut self) -> BTreeSet<PartKey> {
        std::mem::take(&mut self.due)
    }

    /// Takes the changes of decisions since the last call. Only the first [`MAX_CHANGES`] are kept.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Parts with crashes that count against them, the last crash first.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<(&PartKey, &PartEvidence)> {
        let known = self.parts.iter();
        let suspects = known.filter_map(|(key, evidence)| {
            let last = evidence.last_crash(now)?;
            Some((last, key, evidence))
        });
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_by_key(|(last, key, _)| (std::cmp::Reverse(*last), *key));
        let sorted = suspects.into_iter();
        sorted.map(|(_, key, evidence)| (key, evidence)).collect()
    }

    /// Number of tracked parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Changes the evidence on a part by `act`, and notes a change of the decision.
    fn update<Act, Out>(&mut self, key: &PartKey, now: Instant, act: Act) -> Out
    where
        Act: FnOnce(&mut PartEvidence) -> Out,
    {
        if !self.parts.contains_key(key) {
            self.make_room(now);
            self.parts.insert(key.clone(), PartEvidence::default());
        }
        let evidence = self.parts.entry(key.clone()).or_default();
        let before = evidence.state(now);
        let out = act(evidence);
        let state = evidence.state(now);
        if state != before && self.changes.len() < MAX_CHANGES {
            let age = |at: Instant| now.saturating_duration_since(at);
            self.changes.push(PartChange {
                key: key.clone(),
                state,
                crashes: evidence.crashes().len(),
                waves: evidence.waves(now),
                last_crash: evidence.last_crash(now).map(age),
                first_event: evidence.first_event().map(age),
            });
        }
        out
    }

    /// Forgets parts if there are as many as may be tracked.
    fn make_room(&mut self, now: Instant) {
        if self.parts.len() < MAX_PARTS {
            return;
        }
        self.parts.retain(|_, evidence| evidence.expire(now));
        let excess = (self.parts.len() + FORGOTTEN_AT_ONCE).saturating_sub(MAX_PARTS);
        let ranked = self.parts.iter().map(|(key, evidence)| {
            let last = evidence.last_crash(now);
            (last, evidence.first_event(), key.clone())
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort();
        for (_, _, key) in ranked.into_iter().take(excess) {
            self.parts.remove(&key);
        }
    }
}

impl CrashNews {
    /// Times of the crash on this machine's clock; none if they are before its start.
    fn times(&self, now: Instant) -> Option<PartCrash> {
        Some(PartCrash {
            sent: now.checked_sub(self.sent_age)?,
            noticed: now.checked_sub(self.age)?,
            sole: self.sole,
        })
    }
}

/// Whether an id is short enough to be tracked, and not empty.
#[must_use]
pub fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len())
}
