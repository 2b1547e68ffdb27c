//! Admission level of a service at one entry: which share of the requests of each priority is refused at
//! once while the service is overloaded, and which requests leave places to more urgent ones.
//!
//! An entry of a large fleet has only a few waiting requests of its own, so that it takes into account
//! what the other entries of its region tell it ([`PeerLines`]). The level is a share of all arriving
//! requests. It is taken from the least urgent ones first, so that it also works where all requests have
//! the same priority, and changes gradually.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use crate::relay::customer_shares::CustomerShares;
use crate::relay::peer_lines::{LineNews, PRIORITIES, PeerLines};
use crate::relay::recent_rate::RecentRate;

/// Period over which rates are averaged. An entry of a large fleet gets about 14 requests in it.
const RATE_PERIOD: Duration = Duration::from_secs(1);
/// Period over which the served share of each priority is measured.
const SHARE_PERIOD: Duration = Duration::from_secs(6);
/// Shortest and longest time for which requests must exceed the setpoint until the line stands.
const MIN_PERSISTENCE: Duration = Duration::from_millis(500);
const MAX_PERSISTENCE: Duration = Duration::from_secs(1);
/// Time in which an entry learns of the places that others have taken.
pub const NEWS_INTERVAL: Duration = Duration::from_millis(15);
/// Requests that may wait at an engine beside its slots while the service is congested. Without one, a
/// slot would be empty until the news of a finished answer has reached an entry.
pub const CONGESTED_QUEUE: u32 = 1;
/// Time since requests waited for which the service counts as congested.
const CONGESTION_TIME: Duration = Duration::from_secs(1);
/// Time constant with which the level approaches the measured excess. The news of other entries is up to
/// 300 ms old, and a faster response would react to its own past.
const RISE_TIME: Duration = Duration::from_millis(400);
/// Time constant with which the level falls once no line stands.
const FALL_TIME: Duration = Duration::from_secs(3);
/// Time for whose arrivals there must be free places for requests not to be refused although the level is
/// raised. It is longer than news of the other entries takes, even if one datagram is lost.
const SPARE_TIME: Duration = Duration::from_millis(250);
/// Share of the requests that is refused in addition to the excess, so that a standing line drains.
const DRAIN_SHARE: f64 = 0.05;
/// Level below which no request is refused.
const MIN_LEVEL: f64 = 0.01;
/// Highest level.
const MAX_LEVEL: f64 = 0.9;
/// Part of the entries in view whose lines must stand for the level to rise, as a divisor. A single
/// entry may have lost its upstreams.
const STANDING_DIVISOR: usize = 4;
/// Part of the mean served share that each priority and customer keeps. The platform demands a quarter;
/// the rest allows for the random choice of refusals.
const FLOOR: f64 = 0.4;
/// Maximum number of expected callers that are counted.
const MAX_PROMISED: usize = 4_096;
/// Number of recent requests of a priority below which its served share tells nothing.
const MIN_SAMPLE: f64 = 4.0;

/// Requests of one priority at this entry.
#[derive(Debug)]
struct PriorityRates {
    arrivals: RecentRate,
    /// Arrivals and places over the period for shares.
    offered: RecentRate,
    placed: RecentRate,
}

impl Default for PriorityRates {
    fn default() -> Self {
        Self {
            arrivals: RecentRate::new(RATE_PERIOD),
            offered: RecentRate::new(SHARE_PERIOD),
            placed: RecentRate::new(SHARE_PERIOD),
        }
    }
}

/// State of the admission level of one service.
#[derive(Debug)]
pub struct AdmissionLevel {
    rates: [PriorityRates; PRIORITIES],
    places: RecentRate,
    customers: [CustomerShares; PRIORITIES],
    /// First and last time at which a request had waited for longer than the setpoint, without a pause
    /// of the length of an answer.
    exceeded: Option<(Instant, Instant)>,
    /// Time until which this entry takes no place, as others take them.
    paused_until: Option<Instant>,
    /// Last time at which requests waited at an entry in view.
    waited: Option<Instant>,
    /// Share of the arriving requests that is to be refused.
    level: f64,
    updated: Option<Instant>,
    /// Times at which callers that were told to come back are expected, the earliest first.
    promised: BinaryHeap<Reverse<Instant>>,
    /// Lines of the other entries of the region.
    pub peers: PeerLines,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            rates: Default::default(),
            places: RecentRate::new(RATE_PERIOD),
            customers: Default::default(),
            exceeded: None,
            paused_until: None,
            waited: None,
            level: 0.0,
            updated: None,
            promised: BinaryHeap::new(),
            peers: PeerLines::default(),
        }
    }
}

impl AdmissionLevel {
    /// Records the arrival of a request, before it is decided on.
    pub fn record_arrival(&mut self, priority: u32, customer: &str, now: Instant) {
        let index = index_of(priority);
        self.rates[index].arrivals.record(now);
        self.rates[index].offered.record(now);
        self.customers[index].record(customer, now);
    }

    /// Records that a request got a place.
    pub fn record_place(&mut self, priority: u32, now: Instant) {
        self.places.record(now);
        self.rates[index_of(priority)].placed.record(now);
    }

    /// Whether more than one request waits in view, `waiting` of them at this entry. A single one does not
    /// delay others, as in RFC 8289 a single packet.
    #[must_use]
    pub fn has_line(&self, waiting: u32, now: Instant) -> bool {
        u64::from(waiting) + self.waiting_elsewhere(PRIORITIES, now) > 1
    }

    /// Records that requests have waited for longer than the setpoint.
    pub fn record_exceeded(&mut self, answer_time: Option<Duration>, now: Instant) {
        let persistence = persistence(answer_time);
        self.exceeded = Some(match self.exceeded {
            Some((first, last)) if now.saturating_duration_since(last) < persistence => {
                (first, now)
            }
            _ => (now, now),
        });
    }

    /// Whether this entry's line stands: requests have exceeded the setpoint for longer than an answer
    /// takes its place. A burst that the upstreams absorb is over by then.
    #[must_use]
    pub fn is_standing(&self, answer_time: Option<Duration>, now: Instant) -> bool {
        let persistence = persistence(answer_time);
        self.exceeded.is_some_and(|(first, last)| {
            last.saturating_duration_since(first) >= persistence
                && now.saturating_duration_since(last) < persistence
        })
    }

    /// Whether requests waited at an entry in view recently. All upstreams were full then, and requests
    /// should wait in the entries' lines, which have an order, rather than at upstreams.
    #[must_use]
    pub fn is_congested(&self, now: Instant) -> bool {
        let waited = self.waited;
        waited.is_some_and(|at| now.saturating_duration_since(at) < CONGESTION_TIME)
    }

    /// Whether a request that arrives lines up, although there are `free` places in view: the requests
    /// that wait at other entries, and are at least as urgent, take all of them.
    #[must_use]
    pub fn lines_up(&self, priority: u32, free: u32, now: Instant) -> bool {
        let others = self.waiting_elsewhere(index_of(priority) + 1, now);
        others > 0 && others >= u64::from(free)
    }

    /// Number of requests of the first `priorities` that wait at other entries in view.
    fn waiting_elsewhere(&self, priorities: usize, now: Instant) -> u64 {
        let waiting = self.peers.fresh(now);
        let waiting = waiting.flat_map(|news| news.waiting[..priorities].iter());
        waiting.map(|count| u64::from(*count)).sum()
    }

    /// Whether the first of `waiting` requests at this entry may take one of `free` places now. All
    /// entries in view see the same places, so that each takes its part of them by the number of its
    /// requests. If it may not, it may not before other entries know of the places taken meanwhile.
    /// `random` is between 0 and 1.
    pub fn may_take(&mut self, waiting: usize, free: u32, random: f64, now: Instant) -> bool {
        let others = self.waiting_elsewhere(PRIORITIES, now);
        if others == 0 {
            return true;
        }
        if self.paused_until.is_some_and(|until| now < until) {
            return false;
        }
        // Far fewer requests than 2^32 wait.
        let all = u32::try_from(waiting as u64 + others).unwrap_or(u32::MAX);
        let takes = random * f64::from(all) < f64::from(free);
        if !takes {
            self.paused_until = Some(now + NEWS_INTERVAL);
        }
        takes
    }

    /// Adapts the level to the lines in view. `waiting` tells whether requests wait at this entry.
    pub fn update(&mut self, waiting: bool, answer_time: Option<Duration>, now: Instant) {
        let mut peers = self.peers.fresh(now);
        if waiting || peers.any(|news| news.waiting.iter().any(|count| *count > 0)) {
            self.waited = Some(now);
        }
        drop(peers);
        let Some(updated) = self.updated.replace(now) else {
            return;
        };
        self.forget_promised(now);
        let passed = now.saturating_duration_since(updated);
        let standing = usize::from(self.is_standing(answer_time, now));
        let peers = self.peers.fresh(now);
        let (entries, standing) = peers.fold((1, standing), |(entries, standing), news| {
            (entries + 1, standing + usize::from(news.is_standing))
        });
        let (target, time) = if standing * STANDING_DIVISOR >= entries && standing > 0 {
            (self.excess(DRAIN_SHARE, now), RISE_TIME)
        } else if self.is_congested(now) {
            // The places are in use; less is refused until the line shows that it is too little.
            (self.excess(-DRAIN_SHARE, now).min(self.level), FALL_TIME)
        } else {
            (0.0, FALL_TIME)
        };
        let weight = 1.0 - (-passed.as_secs_f64() / time.as_secs_f64()).exp();
        self.level += (target - self.level) * weight;
    }

    /// Share of the arriving requests for which there are no places, in view, and `more`.
    fn excess(&self, more: f64, now: Instant) -> f64 {
        let arrivals: f64 = self.arrivals_in_view(now).iter().sum();
        let places = self.places_in_view(now);
        if arrivals <= 0.0 {
            return 0.0;
        }
        (1.0 - places / arrivals + more).clamp(0.0, MAX_LEVEL)
    }

    /// Requests of each priority that arrive in a second at the entries in view.
    fn arrivals_in_view(&self, now: Instant) -> [f64; PRIORITIES] {
        let own = self.rates.each_ref();
        let mut arrivals = own.map(|rates| rates.arrivals.per_second(now));
        for news in self.peers.fresh(now) {
            for (sum, rate) in arrivals.iter_mut().zip(news.arrivals_per_1000_s) {
                *sum += f64::from(rate) / 1_000.0;
            }
        }
        arrivals
    }

    /// Places that are given in a second by the entries in view.
    #[must_use]
    pub fn places_in_view(&self, now: Instant) -> f64 {
        let peers = self.peers.fresh(now);
        let peers = peers.map(|news| f64::from(news.places_per_1000_s) / 1_000.0);
        self.places.per_second(now) + peers.sum::<f64>()
    }

    /// Share of all arriving requests that is refused at once.
    #[must_use]
    pub fn level(&self) -> f64 {
        if self.level < MIN_LEVEL {
            0.0
        } else {
            self.level
        }
    }

    /// The level in thousandths.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn thousandths(&self) -> u32 {
        // The level is between 0 and 1.
        (self.level() * 1_000.0).round() as u32
    }

    /// Whether requests are refused at once.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.level() > 0.0
    }

    /// Share of the requests of `priority` that is refused at once: the level, taken from the least
    /// urgent requests first.
    #[must_use]
    pub fn refused_share(&self, priority: u32, now: Instant) -> f64 {
        let level = self.level();
        if level <= 0.0 {
            return 0.0;
        }
        let arrivals = self.arrivals_in_view(now);
        let most = 1.0 - FLOOR * (1.0 - level);
        let mut left = level * arrivals.iter().sum::<f64>();
        for (index, rate) in arrivals.iter().enumerate().rev() {
            let refused = left.min(rate * most);
            if index == index_of(priority) {
                return if *rate > 0.0 { refused / rate } else { 0.0 };
            }
            left -= refused;
        }
        0.0
    }

    /// Whether a request that arrives is refused at once, if there are `free` places for it. `random` is
    /// between 0 and 1.
    #[must_use]
    pub fn refuses(
        &self,
        priority: u32,
        customer: &str,
        free: u32,
        random: f64,
        now: Instant,
    ) -> bool {
        let share = self.refused_share(priority, now);
        if share <= 0.0 || self.has_spare_places(free, now) {
            return false;
        }
        let customers = &self.customers[index_of(priority)];
        let served = FLOOR * (1.0 - self.level());
        random
            < customers
                .refused_share(customer, share, now)
                .min(1.0 - served)
    }

    /// Whether `free` places are enough for the next requests at all entries in view although the level
    /// has not fallen yet, as after upstreams have come back.
    fn has_spare_places(&self, free: u32, now: Instant) -> bool {
        let arrivals: f64 = self.arrivals_in_view(now).iter().sum();
        !self.is_congested(now) && f64::from(free) > arrivals * SPARE_TIME.as_secs_f64()
    }

    /// Whether a waiting request of `priority` leaves the `free` places to more urgent requests, which
    /// wait at other entries.
    #[must_use]
    pub fn yields(&self, priority: u32, free: u32, now: Instant) -> bool {
        let urgent = self.waiting_elsewhere(index_of(priority), now);
        urgent > 0 && urgent >= u64::from(free) && !self.is_starved(priority, now)
    }

    /// Priorities whose requests get the next place although more urgent ones wait, as they get places
    /// too rarely.
    #[must_use]
    pub fn starved(&self, now: Instant) -> Vec<u32> {
        let priorities = 0..u32::try_from(PRIORITIES).unwrap_or(u32::MAX);
        priorities
            .filter(|priority| self.is_starved(*priority, now))
            .collect()
    }

    /// Whether requests of `priority` get places so rarely that the next place is theirs.
    fn is_starved(&self, priority: u32, now: Instant) -> bool {
        let count = |rate: &RecentRate| rate.count(now);
        let offered: f64 = self.rates.iter().map(|rates| count(&rates.offered)).sum();
        let placed: f64 = self.rates.iter().map(|rates| count(&rates.placed)).sum();
        let own = &self.rates[index_of(priority)];
        let own_offered = count(&own.offered);
        own_offered >= MIN_SAMPLE && count(&own.placed) / own_offered < FLOOR * placed / offered
    }

    /// Time after which a refused caller is told to come back while requests are refused at once, at most
    /// `latest`; none otherwise. `waiting` is the number of waiting requests, and `random` is between 0
    /// and 1. New requests take places too, so that a place is likely only once the overload is over: the
    /// callers are spread over the later half of their time, or from when the known ones have places.
    pub fn return_delay(
        &mut self,
        waiting: usize,
        latest: Duration,
        random: f64,
        now: Instant,
    ) -> Option<Duration> {
        if !self.is_raised() {
            return None;
        }
        let peers = self.peers.fresh(now);
        let peers = peers.map(|news| {
            news.waiting
                .iter()
                .sum::<u32>()
                .saturating_add(news.promised)
        });
        let others: u64 = peers.map(u64::from).sum();
        let ahead = others + (waiting + self.promised.len()) as u64 + 1;
        // The counts are bounded by the number of entries times that of waiting and expected callers.
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let known = Duration::try_from_secs_f64(ahead / self.places_in_view(now));
        let known = known.unwrap_or(Duration::MAX);
        let from = known.clamp(latest / 2, latest * 3 / 4);
        let delay = from + latest.saturating_sub(from).mul_f64(random);
        if self.promised.len() < MAX_PROMISED {
            self.promised.push(Reverse(now + delay));
        }
        Some(delay)
    }

    /// Forgets the callers whose time to come back has passed.
    fn forget_promised(&mut self, now: Instant) {
        while self.promised.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.promised.pop();
        }
    }

    /// What this entry tells the others. `waiting` is the number of waiting requests by priority.
    #[must_use]
    pub fn news(
        &self,
        waiting: [u32; PRIORITIES],
        answer_time: Option<Duration>,
        now: Instant,
    ) -> LineNews {
        let rates = self.rates.each_ref();
        LineNews {
            waiting,
            arrivals_per_1000_s: rates.map(|rates| per_1000_s(rates.arrivals.per_second(now))),
            places_per_1000_s: per_1000_s(self.places.per_second(now)),
            promised: u32::try_from(self.promised.len()).unwrap_or(u32::MAX),
            is_standing: self.is_standing(answer_time, now),
        }
    }
}

/// Index of a priority; those beyond the range of the wire count as the least urgent.
fn index_of(priority: u32) -> usize {
    (priority as usize).min(PRIORITIES - 1)
}

/// Time for which requests must exceed the setpoint until the line stands.
fn persistence(answer_time: Option<Duration>) -> Duration {
    let time = answer_time.unwrap_or(MAX_PERSISTENCE);
    time.clamp(MIN_PERSISTENCE, MAX_PERSISTENCE)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn per_1000_s(rate: f64) -> u32 {
    // Rates are finite and not negative, and the cast saturates.
    (rate * 1_000.0).round() as u32
}
