//! Admission control: chooses an upstream for a request, or lets it wait in line for a free slot as long
//! as its caller gains by it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{CustomerId, RegionId, ServiceId, UpstreamId};
use agatepin_core::relay::admission_level::{AdmissionLevel, CONGESTED_QUEUE};
use agatepin_core::relay::caller_time::CallerTime;
use agatepin_core::relay::catalog::{RouteSpec, WeightsVersion};
use agatepin_core::relay::chooser::{self, EntryLocation, UpstreamChoice, UpstreamCriteria};
use agatepin_core::relay::full_cause::FullCause;
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::wait_line::WaitLine;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::relay::attempt::SlotGuard;
use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::metrics::RelayMetrics;
use crate::relay::refusal::RefusalReason;

/// Time after which waiting requests are offered slots again without a wakeup: not every change that
/// frees a slot wakes them, such as the end of a hold or of a report's validity.
const SLOT_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

agatepin_core::value_type! {
    /// Name and location of an entry, the process that callers send requests to.
    pub struct EntryIdentity {
        /// Name of the entry, unique in the fleet.
        pub name: String,
        /// Data centre that the entry runs in.
        pub data_centre: String,
        /// Region of the data centre.
        pub region: String,
    }
}

/// Criteria for the choice of an upstream for one request.
#[derive(Debug)]
pub struct AdmissionCriteria {
    /// Route of the request.
    pub route: Arc<RouteSpec>,
    /// Service that serves the request, drawn at random from those of the route.
    pub service: ServiceId,
    /// Regions that the customer allows; all if empty.
    pub allowed_regions: Vec<RegionId>,
    /// Upstreams of the request's earlier attempts; they are not chosen again.
    pub tried: Vec<UpstreamId>,
    /// Customer of the request; empty if anonymous.
    pub customer: CustomerId,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of output tokens, as the request states it.
    pub output: StatedOutput,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Time of the request's caller.
    pub time: CallerTime,
}

impl AdmissionCriteria {
    /// Whether both requests may use the same upstreams, so that one that finds these full waits for the
    /// other.
    fn shares_upstreams(&self, other: &Self) -> bool {
        self.route.home_regions == other.route.home_regions
            && self.allowed_regions == other.allowed_regions
            && self.tried == other.tried
    }

    /// Whether this is the first attempt of the entry with the request. Further ones have been admitted
    /// before.
    fn is_first_attempt(&self) -> bool {
        self.tried.is_empty()
    }

    /// Whether upstreams of `region` may serve the request.
    fn allows_region(&self, region: &str) -> bool {
        let lists = [&self.route.home_regions, &self.allowed_regions];
        let allows = |regions: &&Vec<RegionId>| {
            regions.is_empty() || regions.iter().any(|allowed| allowed == region)
        };
        lists.iter().all(allows)
    }
}

/// A request that waits for a slot.
pub struct SlotRequest {
    criteria: Rc<AdmissionCriteria>,
    /// Why the request did not get a slot at its arrival.
    refusal: RefusalReason,
    /// Whether there were slots for requests that take less work or have more time.
    is_late: bool,
    slot: oneshot::Sender<Result<SlotGuard, RefusalReason>>,
}

impl SlotRequest {
    /// Whether the request waits because upstreams of `region` are full.
    #[must_use]
    pub fn waits_in(&self, region: &str) -> bool {
        matches!(self.refusal, RefusalReason::Full(_))
            && !self.is_late
            && self.criteria.allows_region(region)
    }
}

/// Finds an upstream with a free slot, and counts the request as in flight at that upstream. A request
/// waits in line while a slot is likely in the time that its caller can spare; otherwise it is refused
/// at once. `metrics` count what becomes of it.
///
/// # Errors
/// [`RefusalReason::Full`], [`RefusalReason::HeldOff`], [`RefusalReason::RateLimited`] or
/// [`RefusalReason::NoUpstream`] if no slot is free in time.
pub async fn admit(
    fleet: &FleetHandle,
    identity: &Rc<EntryIdentity>,
    metrics: &RelayMetrics,
    criteria: AdmissionCriteria,
) -> Result<SlotGuard, RefusalReason> {
    let criteria = Rc::new(criteria);
    let priority = criteria.priority;
    let now = Instant::now();
    let arrival = fleet.with(|state| {
        let free = free_places(state, &criteria, now);
        let level = state.levels.entry(criteria.service.clone()).or_default();
        let mut lines_up = false;
        if criteria.is_first_attempt() {
            level.record_arrival(priority, &criteria.customer, now);
            if level.refuses(priority, &criteria.customer, free, rand::random(), now) {
                return Arrival::Refused(RefusalReason::Full(FullCause::Level));
            }
            lines_up = level.lines_up(priority, free, now);
        }
        let engine_queue = engine_queue(level, now);
        let line = state.lines.entry(criteria.service.clone()).or_default();
        let mut ahead = line.ahead(criteria.priority);
        let is_ahead =
            ahead.any(|other| !other.is_late && other.criteria.shares_upstreams(&criteria));
        drop(ahead);
        let limits = (line.answer_time(), engine_queue);
        let choice = if is_ahead {
            UpstreamChoice::Full(FullCause::Line)
        } else if lines_up {
            UpstreamChoice::Full(FullCause::PeerLines)
        } else {
            choose_upstream(state, identity, &criteria, limits, now)
        };
        let is_late = choice == UpstreamChoice::Late;
        let refusal = match choice {
            UpstreamChoice::Send(id) => {
                let level = state.levels.entry(criteria.service.clone()).or_default();
                level.record_place(priority, now);
                return Arrival::Slot(id);
            }
            UpstreamChoice::Full(cause) => RefusalReason::Full(cause),
            UpstreamChoice::Late => RefusalReason::Full(FullCause::Late),
            UpstreamChoice::HeldOff(hold) => RefusalReason::HeldOff(hold),
            UpstreamChoice::RateLimited(wait) => RefusalReason::RateLimited(wait),
            UpstreamChoice::None => return Arrival::Refused(RefusalReason::NoUpstream),
        };
        wait_or_refuse(state, identity, criteria.clone(), (refusal, is_late), now)
    });
    let answer = match arrival {
        Arrival::Slot(id) => {
            metrics.record_admission(priority, "admitted");
            return Ok(new_slot(fleet, id, &criteria));
        }
        Arrival::Refused(refusal) => {
            metrics.record_admission(priority, "refused_at_once");
            return Err(refusal);
        }
        Arrival::Waits(answer) => answer,
    };
    // Other entries learn that a request waits.
    fleet.unreported.set(true);
    if !fleet.serves_lines.replace(true) {
        actix_rt::spawn(serve_lines(fleet.clone(), identity.clone()));
    }
    let slot = answer
        .await
        .unwrap_or(Err(RefusalReason::Full(FullCause::Line)));
    let outcome = if slot.is_ok() {
        "admitted"
    } else {
        "refused_after_wait"
    };
    metrics.record_admission(priority, outcome);
    slot
}

agatepin_core::value_type! {
    /// What an entry knows of the places of a service, for the log of a refusal.
    pub struct PlaceSnapshot {
        /// Upstreams that take requests and hold weights that may serve.
        pub usable: u32,
        /// Those of them whose load a recent report tells.
        pub reported: u32,
        /// Their slots and queues.
        pub places: u32,
        /// Requests that are known at them.
        pub load: u32,
        /// Thousandths of the arriving requests that are refused at once.
        pub level: u32,
    }
}

/// What this entry knows of the places of `service` now.
pub fn place_snapshot(state: &FleetState, service: &str, now: Instant) -> PlaceSnapshot {
    let level = state.levels.get(service);
    let oldest = oldest_weights(state, service, now);
    let mut snapshot = PlaceSnapshot {
        usable: 0,
        reported: 0,
        places: 0,
        load: 0,
        level: level.map_or(0, AdmissionLevel::thousandths),
    };
    for (_, upstream) in state.upstreams.iter() {
        let listing = &upstream.listing;
        if listing.service != service || !upstream.is_usable(now) || upstream.weights(now) < oldest
        {
            continue;
        }
        snapshot.usable += 1;
        snapshot.reported += u32::from(upstream.report(now).is_some());
        let places = upstream.listing.slots.saturating_add(CONGESTED_QUEUE);
        snapshot.places = snapshot.places.saturating_add(places);
        snapshot.load = snapshot.load.saturating_add(upstream.load(now));
    }
    snapshot
}

/// Oldest version of the weights that may serve requests for `service`; none if all may.
fn oldest_weights(state: &FleetState, service: &str, now: Instant) -> Option<WeightsVersion> {
    let catalog = state.catalog.as_ref()?;
    let engine = catalog.service(service)?.engine.as_ref()?;
    state.weights.get(&engine.model)?.required(now)
}

/// Limit of the requests that wait at an engine, if it is lower than usual.
fn engine_queue(level: &AdmissionLevel, now: Instant) -> Option<u32> {
    level.is_congested(now).then_some(CONGESTED_QUEUE)
}

/// Places that are free for a request at its upstreams, as far as this entry knows.
fn free_places(state: &FleetState, criteria: &AdmissionCriteria, now: Instant) -> u32 {
    let upstreams = state.upstreams.iter().map(|(_, upstream)| upstream);
    let usable = upstreams.filter(|upstream| {
        let listing = &upstream.listing;
        listing.service == criteria.service
            && upstream.is_usable(now)
            && criteria.allows_region(&listing.region)
    });
    let free = usable.map(|upstream| {
        let places = upstream.listing.slots.saturating_add(CONGESTED_QUEUE);
        places.saturating_sub(upstream.load(now))
    });
    free.fold(0, u32::saturating_add)
}

/// Adapts the admission level of a service to the requests that wait now.
pub fn update_level(state: &mut FleetState, region: &str, service: &ServiceId, now: Instant) {
    let Some(level) = state.levels.get_mut(service) else {
        return;
    };
    let line = state.lines.entry(service.clone()).or_default();
    let answer_time = line.answer_time();
    level.peers.check(now);
    let waits = |request: &SlotRequest| request.waits_in(region);
    let waiting: u32 = line.waiting_by_priority(waits).iter().sum();
    if level.has_line(waiting, now) && line.exceeds_setpoint(now, waits) {
        level.record_exceeded(answer_time, now);
    }
    let was_raised = level.is_raised();
    level.update(waiting > 0, answer_time, now);
    if level.is_raised() == was_raised {
        return;
    }
    if was_raised {
        log::info!(service, waiting; "admission level back to zero");
    } else {
        // Requests are refused at once from now on, the least urgent first.
        let places_per_s = level.places_in_view(now);
        log::info!(service, waiting, places_per_s; "admission level raised");
    }
}

/// What becomes of a request at its arrival.
enum Arrival {
    /// It is sent to this upstream, at which it has been counted.
    Slot(UpstreamId),
    /// It waits in line for the answer of this channel.
    Waits(oneshot::Receiver<Result<SlotGuard, RefusalReason>>),
    /// It is refused.
    Refused(RefusalReason),
}

/// Adds a request that has no slot for the reason `refusal`, or because its first event would be late
/// everywhere (`is_late`), to the line of its service, or refuses it if no slot is likely in the time that
/// its caller can spare.
fn wait_or_refuse(
    state: &mut FleetState,
    identity: &EntryIdentity,
    criteria: Rc<AdmissionCriteria>,
    (refusal, is_late): (RefusalReason, bool),
    now: Instant,
) -> Arrival {
    let left = criteria.time.left(now);
    let work = own_work(state, &criteria);
    let answer_left = criteria.time.answer_left(now);
    let answer_work = work.saturating_add(output_work(state, &criteria));
    let spare = left.saturating_sub(work);
    let spare = spare.min(answer_left.saturating_sub(answer_work));
    let places = own_places(state, identity, &criteria.service, now);
    let line = state.lines.entry(criteria.service.clone()).or_default();
    let (next_place, hold) = match refusal {
        RefusalReason::RateLimited(wait) => (wait, wait),
        RefusalReason::HeldOff(hold) => (Duration::ZERO, hold),
        _ => (Duration::ZERO, Duration::ZERO),
    };
    let limit = line.wait_limit(spare, next_place, now);
    let expected = line.expected_wait(criteria.priority, places);
    if limit.is_zero() || expected.unwrap_or_default().max(hold) > limit {
        line.record_refusal(spare, now);
        return Arrival::Refused(refusal);
    }
    let (sender, receiver) = oneshot::channel();
    let priority = criteria.priority;
    let request = SlotRequest {
        criteria,
        refusal,
        is_late,
        slot: sender,
    };
    // The receiver of a request that is removed gets an error, and refuses the request.
    drop(line.join(priority, limit, spare, now, request));
    Arrival::Waits(receiver)
}

/// Time after which a refused caller of the service is told to come back, at most `latest`. None if
/// nothing tells when a place is likely.
pub fn return_delay(
    state: &mut FleetState,
    identity: &EntryIdentity,
    service: &ServiceId,
    latest: Duration,
    now: Instant,
) -> Option<Duration> {
    let places = own_places(state, identity, service, now);
    let line = state.lines.get_mut(service)?;
    let level = state.levels.get_mut(service);
    let spread =
        level.and_then(|level| level.return_delay(line.len(), latest, rand::random(), now));
    if spread.is_some() {
        return spread;
    }
    line.return_delay(places, latest, now)
}

/// Time from a free slot to the answer of a request: for an engine to the first event, with all other
/// slots taken.
fn own_work(state: &FleetState, criteria: &AdmissionCriteria) -> Duration {
    let catalog = state.catalog.as_ref();
    let service = catalog.and_then(|catalog| catalog.service(&criteria.service));
    if let Some(engine) = service.and_then(|service| service.engine.as_ref()) {
        return chooser::prefill_time(&engine.timing, criteria.prompt_tokens);
    }
    let line = state.lines.get(&criteria.service);
    line.and_then(WaitLine::answer_time).unwrap_or_default()
}

/// Time from the first event of a request's answer to its end, at an engine with no other requests; zero
/// at a plain service.
fn output_work(state: &FleetState, criteria: &AdmissionCriteria) -> Duration {
    let catalog = state.catalog.as_ref();
    let service = catalog.and_then(|catalog| catalog.service(&criteria.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(Duration::ZERO, |engine| {
        chooser::decode_steps(&engine.timing, 1, criteria.output.estimated())
    })
}

/// Slots of the service's usable upstreams and of those that hold off requests, divided among the live
/// entries.
fn own_places(state: &FleetState, identity: &EntryIdentity, service: &str, now: Instant) -> f64 {
    let upstreams = state.upstreams.iter();
    let usable = upstreams.filter(|(_, upstream)| {
        upstream.listing.service == service && upstream.is_usable_after_hold(now)
    });
    let slots = usable.map(|(_, upstream)| f64::from(upstream.listing.slots));
    // Far fewer entries than 2^32 are alive.
    let entries = u32::try_from(state.entries.alive(&identity.name, now).count() + 1);
    slots.sum::<f64>() / f64::from(entries.unwrap_or(u32::MAX))
}

/// Gives slots to waiting requests as they come free, and refuses those whose time to wait is over,
/// until no request waits.
async fn serve_lines(fleet: FleetHandle, identity: Rc<EntryIdentity>) {
    loop {
        let _ = timeout(SLOT_RECHECK_INTERVAL, fleet.slot_freed.notified()).await;
        let now = Instant::now();
        let services: Vec<ServiceId> = fleet.with(|state| {
            let waiting = state.lines.iter().filter(|(_, line)| !line.is_empty());
            waiting.map(|(service, _)| service.clone()).collect()
        });
        if services.is_empty() {
            fleet.serves_lines.set(false);
            return;
        }
        for service in services {
            serve_line(&fleet, &identity, &service, now);
        }
    }
}

/// Gives the free slots of a service to the requests that wait in its line, in their order.
fn serve_line(fleet: &FleetHandle, identity: &EntryIdentity, service: &ServiceId, now: Instant) {
    let (expired, placed) = fleet.with(|state| {
        update_level(state, &identity.region, service, now);
        let mut line = state.lines.remove(service).unwrap_or_default();
        let mut level = state.levels.remove(service).unwrap_or_default();
        let placed = place_requests(state, identity, (&mut line, &mut level), now);
        let mut expired = line.expire(now, |request| request.slot.is_closed());
        if level.is_standing(line.answer_time(), now) {
            let waits = |request: &SlotRequest| request.waits_in(&identity.region);
            expired.extend(line.expire_standing(now, waits));
        }
        state.levels.insert(service.clone(), level);
        state.lines.insert(service.clone(), line);
        (expired, placed)
    });
    if !expired.is_empty() || !placed.is_empty() {
        fleet.unreported.set(true);
    }
    for (request, id) in placed {
        let slot = new_slot(fleet, id, &request.criteria);
        // The guard of a request whose caller has left gives its slot back.
        drop(request.slot.send(Ok(slot)));
    }
    for request in expired {
        // Sending fails only if the caller has left.
        let _ = request.slot.send(Err(request.refusal));
    }
}

/// The guard of a request that was counted at `upstream`.
fn new_slot(fleet: &FleetHandle, upstream: UpstreamId, criteria: &AdmissionCriteria) -> SlotGuard {
    let output = fleet.with(|state| {
        let output = expected_output(state, criteria);
        state.upstreams.count_output(&upstream, output);
        output
    });
    SlotGuard::new(fleet.clone(), upstream, criteria.prompt_tokens, output)
}

/// Expected number of output tokens of a request; 0 if it is not known.
fn expected_output(state: &FleetState, criteria: &AdmissionCriteria) -> u32 {
    let catalog = state.catalog.as_ref();
    let service = catalog.and_then(|catalog| catalog.service(&criteria.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    let mean = engine.map_or(0, |engine| engine.mean_answer_tokens);
    criteria.output.expected(mean)
}

/// Removes the requests that get slots from a service's line, and returns them with their upstreams.
fn place_requests(
    state: &mut FleetState,
    identity: &EntryIdentity,
    (line, level): (&mut WaitLine<SlotRequest>, &mut AdmissionLevel),
    now: Instant,
) -> Vec<(SlotRequest, UpstreamId)> {
    let limits = (line.answer_time(), engine_queue(level, now));
    let mut placed = Vec::new();
    // Requests that found no slot; others with the same upstreams do not overtake them. Where there
    // are slots but the first event would be late, others may still gain by these.
    let mut passed: Vec<Rc<AdmissionCriteria>> = Vec::new();
    let mut starved = level.starved(now).into_iter().map(Some).chain([None]);
    let mut only = starved.next().flatten();
    loop {
        let mut chosen = None;
        let waiting = line.len();
        let request = line.take_first(
            |request| {
                let criteria = &request.criteria;
                if only.is_some_and(|priority| priority != criteria.priority)
                    || passed.iter().any(|other| other.shares_upstreams(criteria))
                {
                    return false;
                }
                if criteria.is_first_attempt() {
                    let free = free_places(state, criteria, now);
                    let yields = level.yields(criteria.priority, free, now);
                    if yields || !level.may_take(waiting, free, rand::random(), now) {
                        passed.push(criteria.clone());
                        return false;
                    }
                }
                match choose_upstream(state, identity, criteria, limits, now) {
                    UpstreamChoice::Send(id) => chosen = Some(id),
                    UpstreamChoice::Late => {}
                    _ => passed.push(criteria.clone()),
                }
                chosen.is_some()
            },
            now,
        );
        if let (Some(request), Some(id)) = (request, chosen) {
            level.record_place(request.criteria.priority, now);
            placed.push((request, id));
        } else if only.is_none() {
            return placed;
        }
        only = starved.next().flatten();
    }
}

/// Chooses an upstream and, if there is one, counts the request as in flight at that upstream.
/// `answer_time` is the mean time for which an answer of the service takes its slot, and `engine_queue`
/// a lower limit of the requests that wait at an engine.
fn choose_upstream(
    fleet: &mut FleetState,
    identity: &EntryIdentity,
    criteria: &AdmissionCriteria,
    (answer_time, engine_queue): (Option<Duration>, Option<u32>),
    now: Instant,
) -> UpstreamChoice {
    let Some(catalog) = fleet.catalog.clone() else {
        return UpstreamChoice::None;
    };
    let Some(service) = catalog.service(&criteria.service) else {
        return UpstreamChoice::None;
    };
    // Numbers of live entries, and of those in the region, including this one.
    let (mut entries, mut region_entries) = (1, 1);
    for listing in fleet.entries.alive(&identity.name, now) {
        entries += 1;
        region_entries += usize::from(listing.region == identity.region);
    }
    let upstream_criteria = UpstreamCriteria {
        service: &criteria.service,
        allowed_regions: [&criteria.route.home_regions, &criteria.allowed_regions],
        tried: &criteria.tried,
        weights: oldest_weights(fleet, &criteria.service, now),
        engine: service.engine.as_ref(),
        tokens: criteria.prompt_tokens,
        output: criteria.output,
        answer_time,
        time_left: criteria.time.left(now),
        answer_time_left: criteria.time.answer_left(now),
        cold_requests_per_second: service.cold_requests_per_second,
        engine_queue,
    };
    let entry_location = EntryLocation {
        data_centre: &identity.data_centre,
        region: &identity.region,
        entries,
        region_entries,
        catalog: Some(&catalog),
    };
    let choice = chooser::choose_upstream(
        &fleet.upstreams,
        &fleet.rates,
        &entry_location,
        &upstream_criteria,
        now,
        rand::random::<f64>,
    );
    if let UpstreamChoice::Send(id) = &choice {
        if fleet.upstreams.take_hold_end(id, now) {
            log::info!(upstream = id; "hold over");
        }
        if let Some(state) = fleet.upstreams.get(id) {
            let cold_rate = service.cold_requests_per_second;
            fleet.rates.take(id, state, cold_rate, entries, now);
        }
        fleet.upstreams.count_request(id, criteria.prompt_tokens);
    }
    choice
}
