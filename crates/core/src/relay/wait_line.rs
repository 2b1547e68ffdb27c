//! Line of the requests that wait in an entry for a place at an upstream of one service.
//!
//! A line that never empties delays every request and serves none more, so that it is controlled as a
//! queue is by `CoDel` (RFC 8289). The interval is the time in which the callers react: a refused one
//! comes back after at most a part of the time that it has left, and a request waits for as long as
//! that. Once one has waited in vain, the line stands, and requests wait only for the setpoint.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::relay::caller_time::RETURN_DIVISOR;
use crate::relay::peer_lines::PRIORITIES;

/// Maximum number of requests that wait.
const MAX_WAITING: usize = 4_096;
/// Part of the interval that a request may wait in a standing line: the upper end of the range that RFC
/// 8289 gives for the setpoint, 5 to 10 % of the interval.
const SETPOINT_DIVISOR: u32 = 10;
/// Weight of a new measurement in the mean time of answers, as in the round-trip time of RFC 6298.
const SAMPLE_DIVISOR: u32 = 8;

key_type! {
    /// Place in the line; the lowest is the first.
    struct LinePosition {
        /// Priority of the request; 0 is the highest.
        priority: u32,
        /// Number of the request's arrival.
        arrival: u64,
    }
}

#[derive(Debug)]
struct WaitingRequest<Item> {
    /// Time at which the request joined the line.
    since: Instant,
    /// Time until which the request may wait.
    until: Instant,
    /// Time in which its caller would come back.
    interval: Duration,
    item: Item,
}

impl<Item> WaitingRequest<Item> {
    fn exceeds_setpoint(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= self.interval / SETPOINT_DIVISOR
    }
}

/// Rate at which the requests of the line get places.
#[derive(Debug, Default)]
struct PlaceRate {
    /// Start of the interval in which places are being counted.
    since: Option<Instant>,
    /// Number of places in that interval.
    count: u32,
    /// Places a second in the interval before.
    per_second: Option<f64>,
}

/// Requests that wait for a place, the most urgent first and equally urgent ones by arrival, and the
/// measurements that tell how long they wait.
#[derive(Debug)]
pub struct WaitLine<Item> {
    waiting: BTreeMap<LinePosition, WaitingRequest<Item>>,
    /// Number of requests that have joined the line.
    arrivals: u64,
    /// Mean time for which an answer takes its place; none before the first one.
    answer_time: Option<Duration>,
    /// Time until which the line stands.
    standing_until: Option<Instant>,
    rate: PlaceRate,
    /// Time by which the callers that were told to come back are expected.
    last_return: Option<Instant>,
}

impl<Item> Default for WaitLine<Item> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
            answer_time: None,
            standing_until: None,
            rate: PlaceRate::default(),
            last_return: None,
        }
    }
}

impl<Item> WaitLine<Item> {
    /// Records for how long a complete answer took its place.
    pub fn record_answer(&mut self, time: Duration) {
        self.answer_time = Some(match self.answer_time {
            Some(mean) => mean * (SAMPLE_DIVISOR - 1) / SAMPLE_DIVISOR + time / SAMPLE_DIVISOR,
            None => time,
        });
    }

    /// Mean time for which an answer takes its place; none before the first complete answer.
    #[must_use]
    pub fn answer_time(&self) -> Option<Duration> {
        self.answer_time
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The waiting requests that a new one of `priority` does not overtake, in their order.
    pub fn ahead(&self, priority: u32) -> impl Iterator<Item = &Item> {
        let waiting = self.waiting.iter();
        let ahead = waiting.take_while(move |(position, _)| position.priority <= priority);
        ahead.map(|(_, request)| &request.item)
    }

    /// Longest time that a request may wait if its caller can spare `spare` and the next place is known
    /// to come after `next_place`, or may come at any time (zero).
    #[must_use]
    pub fn wait_limit(&self, spare: Duration, next_place: Duration, now: Instant) -> Duration {
        let interval = spare / RETURN_DIVISOR;
        let limit = match self.standing_until {
            Some(until) if now < until => interval / SETPOINT_DIVISOR,
            _ => interval,
        };
        limit.max(next_place).min(spare)
    }

    /// Records that a request whose caller could spare `spare` was refused as no place was likely in
    /// time.
    pub fn record_refusal(&mut self, spare: Duration, now: Instant) {
        self.stand(spare / RETURN_DIVISOR, now);
    }

    /// Lets the line stand for `interval`, as a request has waited in vain.
    fn stand(&mut self, interval: Duration, now: Instant) {
        let until = now + interval;
        self.standing_until = Some(self.standing_until.map_or(until, |known| known.max(until)));
    }

    /// Expected time until a new request of `priority` gets a place. `places` is this entry's part of
    /// all places of the service, which tells the rate while none was measured. None if nothing tells
    /// it.
    #[must_use]
    pub fn expected_wait(&self, priority: u32, places: f64) -> Option<Duration> {
        let ahead = self.ahead(priority).count();
        self.time_of_places(ahead + 1, places)
    }

    /// Time in which this number of places come free.
    fn time_of_places(&self, number: usize, places: f64) -> Option<Duration> {
        let turnover = |answer: Duration| places / answer.as_secs_f64();
        let rate = self.rate.per_second;
        let rate = rate.or_else(|| self.answer_time.map(turnover))?;
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        // A rate of zero gives an infinite time.
        Some(Duration::try_from_secs_f64(f64::from(number) / rate).unwrap_or(Duration::MAX))
    }

    /// Time after which a refused caller is told to come back, at most `max`: that in which the waiting
    /// requests, and the callers that were told so before, get places. `places` is as described at
    /// [`Self::expected_wait`]. None if nothing tells the time.
    pub fn return_delay(&mut self, places: f64, max: Duration, now: Instant) -> Option<Duration> {
        // Times that never end do not fit into the clock.
        let place = self.time_of_places(1, places)?.min(max);
        let waiting = self.time_of_places(self.len(), places)?.min(max);
        let last = self.last_return.unwrap_or(now).max(now + waiting);
        let delay = (last + place).saturating_duration_since(now).min(max);
        self.last_return = Some(now + delay);
        Some(delay)
    }

    /// Adds a request that may wait for `limit`, and whose caller can spare `spare`. A full line removes
    /// the request that would wait longest, possibly the new one, and returns it.
    pub fn join(
        &mut self,
        priority: u32,
        limit: Duration,
        spare: Duration,
        now: Instant,
        item: Item,
    ) -> Option<Item> {
        if self.waiting.is_empty() {
            self.rate.since = Some(now);
        }
        self.arrivals += 1;
        let position = LinePosition {
            priority,
            arrival: self.arrivals,
        };
        let request = WaitingRequest {
            since: now,
            until: now + limit,
            interval: spare / RETURN_DIVISOR,
            item,
        };
        self.waiting.insert(position, request);
        if self.waiting.len() <= MAX_WAITING {
            return None;
        }
        let (_, last) = self.waiting.pop_last()?;
        Some(last.item)
    }

    /// Removes the first request for which `takes` returns true, as it gets a place.
    pub fn take_first<Takes>(&mut self, mut takes: Takes, now: Instant) -> Option<Item>
    where
        Takes: FnMut(&Item) -> bool,
    {
        let mut waiting = self.waiting.iter();
        let found =
            waiting.find_map(|(position, request)| takes(&request.item).then_some(*position));
        let request = self.waiting.remove(&found?)?;
        self.rate.count += 1;
        self.end_wait();
        self.roll_interval(now);
        Some(request.item)
    }

    /// Removes the requests whose time to wait is over, and those that `is_gone`.
    pub fn expire<Gone>(&mut self, now: Instant, mut is_gone: Gone) -> Vec<Item>
    where
        Gone: FnMut(&Item) -> bool,
    {
        self.roll_interval(now);
        let mut longest = None;
        let expired = self.waiting.extract_if(.., |_, request| {
            let is_late = request.until <= now;
            if is_late {
                longest = longest.max(Some(request.interval));
            }
            is_late || is_gone(&request.item)
        });
        let expired = expired.map(|(_, request)| request.item).collect();
        if let Some(interval) = longest {
            self.stand(interval, now);
        }
        self.end_wait();
        expired
    }

    /// Lets the line stand for as long as its waiting requests' callers take to come back, and removes
    /// the requests that have waited for the setpoint and that `may_leave`.
    pub fn expire_standing<Leaves>(&mut self, now: Instant, mut may_leave: Leaves) -> Vec<Item>
    where
        Leaves: FnMut(&Item) -> bool,
    {
        let expired = self.waiting.extract_if(.., |_, request| {
            request.exceeds_setpoint(now) && may_leave(&request.item)
        });
        let expired: Vec<WaitingRequest<Item>> = expired.map(|(_, request)| request).collect();
        let longest = expired.iter().map(|request| request.interval).max();
        if let Some(interval) = longest {
            self.stand(interval, now);
        }
        self.end_wait();
        expired.into_iter().map(|request| request.item).collect()
    }

    /// Whether a request that `counts` has waited for longer than the setpoint.
    pub fn exceeds_setpoint<Counts>(&self, now: Instant, mut counts: Counts) -> bool
    where
        Counts: FnMut(&Item) -> bool,
    {
        let mut waiting = self.waiting.values();
        waiting.any(|request| request.exceeds_setpoint(now) && counts(&request.item))
    }

    /// Number of waiting requests by priority that `counts`.
    pub fn waiting_by_priority<Counts>(&self, mut counts: Counts) -> [u32; PRIORITIES]
    where
        Counts: FnMut(&Item) -> bool,
    {
        let mut waiting = [0; PRIORITIES];
        for (position, request) in &self.waiting {
            if counts(&request.item) {
                waiting[(position.priority as usize).min(PRIORITIES - 1)] += 1;
            }
        }
        waiting
    }

    fn end_wait(&mut self) {
        if self.waiting.is_empty() {
            // Without waiting requests, places are taken as requests come, not as they come free.
            self.rate = PlaceRate::default();
        }
    }

    /// Starts a new interval of the rate once the current one is as long as an answer takes.
    fn roll_interval(&mut self, now: Instant) {
        let (Some(since), Some(interval)) = (self.rate.since, self.answer_time) else {
            return;
        };
        let passed = now.saturating_duration_since(since);
        if passed <= interval {
            return;
        }
        self.rate = PlaceRate {
            since: Some(now),
            count: 0,
            per_second: Some(f64::from(self.rate.count) / passed.as_secs_f64()),
        };
    }
}
