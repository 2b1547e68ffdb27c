//! Model of a fleet of entries that exchange evidence on parts of prompts, in simulated time.
//! Messages take a while and some are lost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::relay::part_evidence::{CrashId, PartKey, TrialId};
use agatepin_core::relay::part_tracker::{CrashedAttempt, PartAdmission, PartNews, PartTracker};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Delay of messages between entries, in milliseconds, and the share of them that is lost.
const DELAY_MS: std::ops::Range<u64> = 5..50;
const LOST: f64 = 0.02;
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time from the sending of a request to its first event, in milliseconds.
const PREFILL_MS: std::ops::Range<u64> = 100..700;
/// Time for which an upstream is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Sound requests a second, and those a second with each deadly part.
const SOUND_RATE: f64 = 60.0;
const DEADLY_RATE: f64 = 5.0;
/// Part of all requests with a deadly part, and others that they may have.
const FIRST_PARTS: u32 = 4;
const SECOND_PARTS: u32 = 40;
/// Time after which sound requests with a new part come, in place of the one before.
const FRESH_PART_TIME: Duration = Duration::from_secs(3);
/// Start of the requests with deadly parts, and of faults.
const DISRUPTION: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(30);
/// Time after the fifth crash from which few requests with a deadly part may reach upstreams.
const CONTACT: Duration = Duration::from_secs(3);

/// What crashes upstreams.
#[derive(Clone, Copy, PartialEq)]
pub enum CrashCause {
    /// Each request with one of so many parts.
    Parts(u32),
    /// A quarter of the upstreams ends at once.
    Rack,
    /// One upstream after the other is killed, one in this time.
    Roll(Duration),
    /// Upstreams end at random, one in this time.
    Random(Duration),
}

/// Outcome of a run.
#[derive(Debug, Default)]
pub struct PartOutcome {
    /// Upstreams that requests with deadly parts crashed.
    pub crashes: usize,
    /// Such requests that reached upstreams [`CONTACT`] after the fifth crash of their part, or the
    /// last one if there were fewer.
    pub late: usize,
    /// Sound requests, and those of them that were refused, without and with a new part.
    pub sound: [usize; 2],
    pub refused: [usize; 2],
    /// Sound requests that were refused because a part of theirs is said to crash upstreams.
    pub blamed: usize,
    /// Sound requests that were refused for a part that a quarter of all requests have.
    pub popular: usize,
}

enum Event {
    Sound,
    Deadly(u32),
    Crash(u32),
    Back(usize),
    Begin(u64),
    Heartbeat(usize),
    News {
        from: usize,
        to: usize,
        news: Rc<Vec<PartNews>>,
    },
}

struct Running {
    entry: usize,
    upstream: usize,
    sent: Instant,
    parts: Vec<PartKey>,
    trial: TrialId,
    trial_parts: Vec<PartKey>,
    deadly: Option<u32>,
}

#[derive(Clone, Copy)]
struct Upstream {
    born: u64,
    up: bool,
}

struct Fleet {
    rng: ChaCha8Rng,
    cause: CrashCause,
    entries: Vec<PartTracker>,
    upstreams: Vec<Upstream>,
    running: BTreeMap<u64, Running>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    start: Instant,
    now: Instant,
    number: u64,
    /// Times at which requests with each deadly part reached upstreams, and crashed them.
    sent: BTreeMap<u32, Vec<Instant>>,
    crashed: BTreeMap<u32, Vec<Instant>>,
    outcome: PartOutcome,
}

/// Plays [`END`] of requests at `entries` entries and `upstreams` upstreams.
pub fn play(entries: usize, upstreams: usize, cause: CrashCause, seed: u64) -> PartOutcome {
    let start = Instant::now() + Duration::from_hours(2);
    let mut fleet = Fleet {
        rng: ChaCha8Rng::seed_from_u64(seed),
        cause,
        entries: (0..entries).map(|_| PartTracker::default()).collect(),
        upstreams: vec![Upstream { born: 0, up: true }; upstreams],
        running: BTreeMap::new(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        start,
        now: start,
        number: 0,
        sent: BTreeMap::new(),
        crashed: BTreeMap::new(),
        outcome: PartOutcome::default(),
    };
    fleet.plan(Duration::ZERO, Event::Sound);
    for entry in 0..entries {
        let offset = HEARTBEAT * u32::try_from(entry).unwrap() / u32::try_from(entries).unwrap();
        fleet.plan(offset, Event::Heartbeat(entry));
    }
    if let CrashCause::Parts(count) = cause {
        (0..count).for_each(|part| fleet.plan(DISRUPTION, Event::Deadly(part)));
    } else {
        fleet.plan(DISRUPTION, Event::Crash(0));
    }
    while let Some(Reverse((at, number))) = fleet.queue.pop() {
        if at > start + END {
            break;
        }
        fleet.now = at;
        if let Some(event) = fleet.events.remove(&number) {
            fleet.handle(event);
        }
    }
    fleet.count_late();
    fleet.outcome
}

fn key(part: &str) -> PartKey {
    PartKey {
        service: "chat".to_owned(),
        part: part.to_owned(),
    }
}

impl Fleet {
    fn plan(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + after, self.number)));
        self.events.insert(self.number, event);
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Time until the next of events that come at random, `rate` a second.
    fn pause(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-self.rng.random::<f64>().max(1e-9).ln() / rate)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sound => {
                let pause = self.pause(SOUND_RATE);
                self.plan(pause, Event::Sound);
                self.request(None);
            }
            Event::Deadly(part) => {
                let pause = self.pause(DEADLY_RATE);
                self.plan(pause, Event::Deadly(part));
                self.request(Some(part));
            }
            Event::Crash(count) => self.crash_next(count),
            Event::Back(upstream) => {
                self.upstreams[upstream].born += 1;
                self.upstreams[upstream].up = true;
            }
            Event::Begin(request) => self.begin(request),
            Event::Heartbeat(entry) => {
                self.plan(HEARTBEAT, Event::Heartbeat(entry));
                let suspects = self.entries[entry].suspects(self.now);
                let keys = suspects.into_iter().take(32).map(|(key, _)| key.clone());
                let keys: Vec<PartKey> = keys.collect();
                self.tell(entry, &keys, None);
            }
            Event::News { from, to, news } => {
                let mut replies = Vec::new();
                for news in news.iter() {
                    let key = news.key.clone();
                    if self.entries[to].merge(news.clone(), self.now) {
                        replies.push(key);
                    }
                }
                self.tell(to, &replies, Some(from));
            }
        }
    }

    /// Tells entry `to`, or all others, what `from` knows of parts.
    fn tell(&mut self, from: usize, keys: &[PartKey], to: Option<usize>) {
        let tracker = &self.entries[from];
        let news = keys.iter().filter_map(|key| tracker.news_of(key, self.now));
        let news: Rc<Vec<PartNews>> = Rc::new(news.collect());
        if news.is_empty() {
            return;
        }
        for peer in 0..self.entries.len() {
            if peer == from || to.is_some_and(|to| to != peer) || self.rng.random_bool(LOST) {
                continue;
            }
            let delay = self.millis(DELAY_MS);
            let (to, news) = (peer, news.clone());
            self.plan(delay, Event::News { from, to, news });
        }
    }

    fn tell_due(&mut self, entry: usize) {
        let due: Vec<PartKey> = self.entries[entry].take_due().into_iter().collect();
        self.tell(entry, &due, None);
    }

    fn request(&mut self, deadly: Option<u32>) {
        let first = self.rng.random_range(0..FIRST_PARTS);
        let second = self.rng.random_range(0..SECOND_PARTS);
        let mut parts = vec![
            key(&format!("first{first}")),
            key(&format!("second{second}")),
        ];
        let fresh = deadly.is_none() && self.rng.random_bool(0.1);
        if fresh {
            let age = self.now.duration_since(self.start).as_millis();
            let number = age / FRESH_PART_TIME.as_millis();
            parts[1] = key(&format!("fresh{number}"));
        }
        if let Some(part) = deadly {
            let place = self.rng.random_range(1..=2);
            parts[0] = key("first0");
            parts.insert(place, key(&format!("deadly{part}")));
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let trial = self.rng.random();
        let admission = self.entries[entry].admit(&parts, trial, self.now);
        if deadly.is_none() {
            self.outcome.sound[usize::from(fresh)] += 1;
        }
        let trial_parts = match admission {
            PartAdmission::Clear => Vec::new(),
            PartAdmission::Trial(parts) => parts,
            PartAdmission::OnTrial(ref key) | PartAdmission::Refused(ref key) => {
                if deadly.is_none() {
                    self.outcome.refused[usize::from(fresh)] += 1;
                    let blamed = matches!(admission, PartAdmission::Refused(_));
                    self.outcome.blamed += usize::from(blamed);
                    let popular = key.part.starts_with("first");
                    self.outcome.popular += usize::from(popular);
                }
                return;
            }
        };
        self.tell_due(entry);
        let up = (0..self.upstreams.len()).filter(|upstream| self.upstreams[*upstream].up);
        let up: Vec<usize> = up.collect();
        let Some(upstream) = up.get(self.rng.random_range(0..up.len().max(1))) else {
            return;
        };
        if let Some(part) = deadly {
            self.sent.entry(part).or_default().push(self.now);
        }
        let prefill = self.millis(PREFILL_MS);
        let running = Running {
            entry,
            upstream: *upstream,
            sent: self.now,
            parts,
            trial,
            trial_parts,
            deadly,
        };
        self.plan(prefill, Event::Begin(self.number + 1));
        self.running.insert(self.number, running);
    }

    /// A request begins to write, or crashes its upstream.
    fn begin(&mut self, request: u64) {
        let Some(running) = self.running.get(&request) else {
            return;
        };
        if let Some(part) = running.deadly {
            let upstream = running.upstream;
            self.crashed.entry(part).or_default().push(self.now);
            self.outcome.crashes += 1;
            return self.crash(upstream);
        }
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        let tracker = &mut self.entries[running.entry];
        tracker.record_first_event(&running.parts, self.now);
        tracker.end_trial(&running.trial_parts, running.trial, self.now);
        self.tell_due(running.entry);
    }

    fn crash(&mut self, upstream: usize) {
        if !std::mem::take(&mut self.upstreams[upstream].up) {
            return;
        }
        self.plan(DOWN, Event::Back(upstream));
        let born = self.upstreams[upstream].born;
        let lost: Vec<Running> = self
            .running
            .extract_if(.., |_, running| running.upstream == upstream)
            .map(|(_, running)| running)
            .collect();
        for running in lost {
            let attempt = CrashedAttempt {
                crash: CrashId {
                    upstream: upstream.to_string(),
                    born,
                },
                sent: running.sent,
                trial: &running.trial_parts,
            };
            let tracker = &mut self.entries[running.entry];
            tracker.record_crash(&running.parts, &attempt, self.now);
            tracker.end_trial(&running.trial_parts, running.trial, self.now);
            self.tell_due(running.entry);
        }
    }

    /// Crashes upstreams for another cause than requests.
    fn crash_next(&mut self, count: u32) {
        let all = self.upstreams.len();
        match self.cause {
            CrashCause::Parts(_) => {}
            CrashCause::Rack => (0..all / 4).for_each(|upstream| self.crash(upstream)),
            CrashCause::Roll(pause) => {
                self.crash(count as usize % all);
                self.plan(pause, Event::Crash(count + 1));
            }
            CrashCause::Random(pause) => {
                let upstream = self.rng.random_range(0..all);
                self.crash(upstream);
                self.plan(pause, Event::Crash(count + 1));
            }
        }
    }

    fn count_late(&mut self) {
        for (part, sent) in &self.sent {
            let crashed = self.crashed.get(part).map_or(&[][..], Vec::as_slice);
            let Some(proof) = crashed.iter().take(5).next_back() else {
                continue;
            };
            let late = sent.iter().filter(|at| **at > *proof + CONTACT);
            self.outcome.late += late.count();
        }
    }
}
