//! Directory of the upstreams that an entry knows. It combines the platform's list, the reports of
//! the agents, the load that other entries send, and the outcomes of this entry's own requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, InstanceId, RegionId, ServiceId, UpstreamId};
use crate::relay::catalog::WeightsVersion;
use crate::relay::notices::{BornMillis, LeavingUpstreams, UpstreamHold};
use crate::relay::request_size::OutputLoad;
use crate::relay::speed::{SpeedFactor, UpstreamSpeed};
use crate::relay::stated_limit::{LimitChange, RequestRate, UpstreamLimit};

/// Age from which an agent's report, or the load sent by another entry, is ignored.
pub const REPORT_TTL: Duration = Duration::from_millis(800);
/// Time for which an upstream is kept after it vanished from the list while the store was
/// unreachable, so that it can register again. The platform's rules for service discovery set it.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);
/// Duration of the first ejection of an upstream, during which no requests are sent to it. Each
/// further ejection without a valid answer in between lasts twice as long.
pub const MIN_EJECTION: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Number of consecutive failures that eject an upstream which still accepts connections.
pub const FAILURES_TO_EJECT: u32 = 3;

value_type! {
    /// An upstream as the platform's list describes it.
    pub struct UpstreamListing {
        /// Service whose requests the upstream serves.
        pub service: ServiceId,
        /// Address to which requests are sent.
        pub address: SocketAddr,
        /// Data centre in which the upstream runs.
        pub data_centre: DataCentreId,
        /// Region of the data centre.
        pub region: RegionId,
        /// Number of requests that the upstream can run concurrently.
        pub slots: u32,
        /// Whether the upstream is shutting down and takes no new requests.
        pub draining: bool,
        /// Remaining time of the upstream's cold start; zero if it is warm or the list gives no
        /// time.
        pub cold_left: Duration,
        /// Weights version that it has loaded completely, if any.
        pub weights: Option<WeightsVersion>,
        /// Start time of the upstream, in milliseconds since the Unix epoch; a new value means that
        /// it restarted.
        pub born: u64,
    }

    /// State of an engine as observed by its agent.
    #[derive(Default)]
    pub struct EngineReport {
        /// Whether the engine answered its agent.
        pub up: bool,
        /// Weights version that it has loaded completely, if any.
        pub weights: Option<WeightsVersion>,
        /// Whether the engine is executing an order to load or unload weights.
        pub busy: bool,
        /// Number of running requests.
        pub active: u32,
        /// Number of queued requests.
        pub queued: u32,
        /// Number of prompt tokens not yet prefilled, as far as the agent knows.
        pub unread: u32,
        /// Time that work takes at the engine as a multiple of the usual time, if it is reported.
        pub pace: Option<SpeedFactor>,
        /// Memory of the engine for prompts and answers, if it is reported.
        pub memory: Option<EngineMemory>,
    }

    /// Memory of an engine for prompts and answers, in tokens times layers.
    #[derive(Copy)]
    pub struct EngineMemory {
        /// Part that cannot be freed.
        pub used: u64,
        /// All of it.
        pub max: u64,
    }

    /// Load that one entry puts on one upstream.
    #[derive(Copy, Default)]
    pub struct EntryLoad {
        /// Number of requests in flight.
        pub in_flight: u32,
        /// Number of prompt tokens of the requests whose answer has not started.
        pub unread: u32,
    }

    /// Outcome of an attempt at an upstream.
    #[derive(Copy)]
    pub enum SendOutcome {
        /// The upstream sent a valid answer.
        Answered,
        /// The upstream refused the request without running it.
        NotRun,
        /// No connection to the upstream could be opened; nothing was sent.
        Unreachable,
        /// The answer broke off, was malformed or did not arrive.
        Failed,
        /// The caller disconnected; this says nothing about the upstream.
        Abandoned,
    }
}

/// What an entry knows of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Latest row of the platform's list.
    pub listing: UpstreamListing,
    /// Load that this entry puts on the upstream.
    pub own: EntryLoad,
    /// Expected output of this entry's requests in flight.
    own_output: OutputLoad,
    /// Load that each other entry puts on the upstream, with the time at which it was received.
    peer_loads: BTreeMap<InstanceId, (EntryLoad, Instant)>,
    /// Latest report on the engine, with the time at which it was received.
    report: Option<(EngineReport, Instant)>,
    /// Number of requests that this entry sent since the last report.
    sent_since_report: u32,
    /// Number of requests that this entry sent before the last report and that the report may not
    /// include yet.
    sent_before_report: u32,
    /// Number of tokens, of prompts and expected outputs, of the requests in `sent_since_report`.
    tokens_since_report: u64,
    /// Number of tokens of the requests in `sent_before_report`.
    tokens_before_report: u64,
    /// End of the upstream's cold start.
    cold_until: Instant,
    /// When the upstream was last known to turn cold.
    cold_since: Instant,
    /// Number of consecutive failures since the last valid answer or ejection.
    failures: u32,
    /// Number of ejections since the last valid answer.
    ejections: u32,
    /// Time until which no requests are sent to the upstream because of its failures.
    ejected_until: Instant,
    /// Whether the upstream left the list while the store was unreachable.
    lapsed: bool,
    /// Whether the upstream itself said in an answer that it is leaving.
    leaving: bool,
    /// Time in which the upstream wants no requests from this entry.
    hold: UpstreamHold,
    /// Limit that the upstream states in its answers.
    limit: UpstreamLimit,
    /// Speed in the upstream's present life.
    speed: UpstreamSpeed,
}

impl UpstreamState {
    fn new(listing: UpstreamListing, now: Instant) -> Self {
        let cold_until = now + listing.cold_left;
        Self {
            listing,
            own: EntryLoad::default(),
            own_output: OutputLoad::default(),
            peer_loads: BTreeMap::new(),
            report: None,
            sent_since_report: 0,
            sent_before_report: 0,
            tokens_since_report: 0,
            tokens_before_report: 0,
            cold_until,
            cold_since: now,
            failures: 0,
            ejections: 0,
            ejected_until: now,
            lapsed: false,
            leaving: false,
            hold: UpstreamHold::default(),
            limit: UpstreamLimit::default(),
            speed: UpstreamSpeed::default(),
        }
    }

    fn set_report(&mut self, report: EngineReport, now: Instant) {
        if let Some(pace) = report.pace {
            self.speed.record_pace(pace, now);
        }
        self.report = Some((report, now));
    }

    /// Latest engine report; `None` if there is none younger than [`REPORT_TTL`].
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<&EngineReport> {
        let (report, at) = self.report.as_ref()?;
        (now.saturating_duration_since(*at) < REPORT_TTL).then_some(report)
    }

    /// Number of requests that are known to run or wait at the upstream.
    #[must_use]
    pub fn load(&self, now: Instant) -> u32 {
        let from_entries = self.entry_load(now).in_flight;
        match self.report(now) {
            Some(report) => {
                let sent = self.sent_since_report + self.sent_before_report;
                let reported = report.active.saturating_add(report.queued);
                let reported = reported.saturating_add(sent);
                reported.max(from_entries)
            }
            None => from_entries,
        }
    }

    /// Time that work takes at the upstream as a multiple of the usual time, from what is stated and
    /// measured.
    #[must_use]
    pub fn speed_factor(&self, now: Instant) -> SpeedFactor {
        self.speed.factor(self.own.unread > 0, now)
    }

    /// The same from what the upstream and its agent stated; none if they stated nothing.
    #[must_use]
    pub fn stated_speed(&self, now: Instant) -> Option<SpeedFactor> {
        self.speed.stated(now)
    }

    /// Expected output of this entry's requests in flight.
    #[must_use]
    pub fn own_output(&self) -> OutputLoad {
        self.own_output
    }

    /// Number of prompt tokens that are known to wait for their prefill at the upstream.
    #[must_use]
    pub fn unread(&self, now: Instant) -> u32 {
        let reported = self.report(now).map_or(0, |report| report.unread);
        self.entry_load(now).unread.max(reported)
    }

    /// Load from this entry plus the recent loads that other entries sent.
    fn entry_load(&self, now: Instant) -> EntryLoad {
        let mut sum = self.own;
        for (load, at) in self.peer_loads.values() {
            if now.saturating_duration_since(*at) < REPORT_TTL {
                sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
                sum.unread = sum.unread.saturating_add(load.unread);
            }
        }
        sum
    }

    /// Memory from a recent report.
    #[must_use]
    pub fn memory(&self, now: Instant) -> Option<EngineMemory> {
        self.report(now)?.memory
    }

    /// Whether the engine has memory for `tokens` more tokens of a model with this number of layers, beside
    /// what it held at its last report and what was sent to it since. True if the memory or the number of
    /// layers (0) is not known.
    #[must_use]
    pub fn has_memory(&self, tokens: u64, layers: u32, now: Instant) -> bool {
        let Some(memory) = self.memory(now).filter(|_| layers > 0) else {
            return true;
        };
        let sent = self.tokens_since_report + self.tokens_before_report;
        // Prompts that are not prefilled take memory later; other entries sent some of them.
        let coming = sent.max(u64::from(self.unread(now)));
        let needed = coming.saturating_add(tokens).saturating_mul(layers.into());
        memory.used.saturating_add(needed) <= memory.max
    }

    /// Weights version that the upstream has loaded completely: from a recent report, else from the
    /// list.
    #[must_use]
    pub fn weights(&self, now: Instant) -> Option<WeightsVersion> {
        match self.report(now) {
            Some(report) => report.weights,
            None => self.listing.weights,
        }
    }

    /// Whether the upstream left the list while the store was unreachable, and may be listed again.
    #[must_use]
    pub fn is_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Whether the upstream's cold start is not over yet.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// When the upstream was last known to turn cold.
    #[must_use]
    pub fn cold_since(&self) -> Instant {
        self.cold_since
    }

    fn set_cold(&mut self, left: Duration, now: Instant) {
        if !self.is_cold(now) {
            self.cold_since = now;
        }
        self.cold_until = now + left;
    }

    /// Whether new requests may be sent to the upstream: it is not leaving, ejected, down or
    /// executing a load or unload order, and does not hold off requests.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_usable_after_hold(now) && !self.hold.is_held(now)
    }

    /// Whether new requests may be sent to the upstream, or may be once it stops to hold them off.
    #[must_use]
    pub fn is_usable_after_hold(&self, now: Instant) -> bool {
        let down = self.report(now).is_some_and(|r| !r.up || r.busy);
        !self.listing.draining && !self.leaving && now >= self.ejected_until && !down
    }

    /// Whether the upstream itself said in an answer that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Time in which the upstream wants no requests from this entry.
    #[must_use]
    pub fn hold(&self) -> UpstreamHold {
        self.hold
    }

    /// Limit that the upstream states in its answers.
    #[must_use]
    pub fn limit(&self) -> UpstreamLimit {
        self.limit
    }
}

/// All upstreams that an entry knows, by id and by address.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    by_address: HashMap<SocketAddr, UpstreamId>,
    /// Data centres that operators took out of use.
    evacuated_centres: BTreeSet<DataCentreId>,
    /// Upstreams that said in an answer that they are leaving.
    leaving: LeavingUpstreams,
}

impl UpstreamDirectory {
    /// Adds or updates an upstream from the platform's list. A restarted upstream loses its
    /// report, failures and ejection.
    pub fn list(&mut self, id: &UpstreamId, listing: UpstreamListing, now: Instant) {
        self.by_address.insert(listing.address, id.clone());
        let leaving = self.leaving.contains(id, listing.born);
        let Some(state) = self.upstreams.get_mut(id) else {
            let mut state = UpstreamState::new(listing, now);
            state.leaving = leaving;
            self.upstreams.insert(id.clone(), state);
            return;
        };
        if state.listing.born != listing.born {
            state.report = None;
            state.failures = 0;
            state.ejected_until = now;
            state.hold = UpstreamHold::default();
            state.limit = UpstreamLimit::default();
            state.speed = UpstreamSpeed::default();
            state.tokens_since_report = 0;
            state.tokens_before_report = 0;
        }
        state.leaving = leaving;
        if !listing.cold_left.is_zero() {
            state.set_cold(listing.cold_left, now);
        }
        state.lapsed = false;
        state.listing = listing;
    }

    /// Removes an upstream that is no longer in the platform's list. If its row may be missing only
    /// because the store was unreachable, the upstream counts as lapsed and stays in use until
    /// [`Self::remove_lapsed`].
    pub fn unlist(&mut self, id: &UpstreamId, may_have_lapsed: bool) {
        if may_have_lapsed && let Some(state) = self.upstreams.get_mut(id) {
            state.lapsed = true;
            return;
        }
        self.remove_upstream(id);
    }

    /// Removes the upstreams that lapsed, as described at [`Self::unlist`], and were not listed
    /// again.
    pub fn remove_lapsed(&mut self) {
        let lapsed = self.upstreams.iter().filter(|(_, state)| state.lapsed);
        let ids: Vec<UpstreamId> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.remove_upstream(&id);
        }
    }

    fn remove_upstream(&mut self, id: &UpstreamId) {
        let Some(state) = self.upstreams.remove(id) else {
            return;
        };
        let address = state.listing.address;
        if self.by_address.get(&address) == Some(id) {
            self.by_address.remove(&address);
        }
    }

    /// Takes a data centre out of use (`out`), or puts it back into use.
    pub fn evacuate(&mut self, data_centre: &DataCentreId, out: bool) {
        if out {
            self.evacuated_centres.insert(data_centre.clone());
        } else {
            self.evacuated_centres.remove(data_centre);
        }
    }

    /// Whether operators took the data centre out of use.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated_centres.contains(data_centre)
    }

    /// Data centres that operators took out of use.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuated_centres.iter()
    }

    /// Applies the agent's report on the engine at `address`; an unknown address is ignored.
    pub fn report(&mut self, address: SocketAddr, report: EngineReport, now: Instant) {
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        let Some(state) = self.upstreams.get_mut(id) else {
            return;
        };
        state.set_report(report, now);
        state.sent_since_report = 0;
        state.sent_before_report = 0;
        state.tokens_since_report = 0;
        state.tokens_before_report = 0;
    }

    /// Service of the upstream that is listed at `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddr) -> Option<&ServiceId> {
        let state = self.upstreams.get(self.by_address.get(&address)?)?;
        Some(&state.listing.service)
    }

    /// Applies the summary that an entry of another region sent of the agent's reports on the
    /// engine at `address`. Engines of `own_region` are ignored: their agents report directly. The
    /// summary may not include yet what this entry sent before it, so those requests count until
    /// the next summary.
    pub fn apply_summary(
        &mut self,
        address: SocketAddr,
        own_region: &str,
        report: EngineReport,
        now: Instant,
    ) {
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        let Some(state) = self.upstreams.get_mut(id) else {
            return;
        };
        if state.listing.region == own_region {
            return;
        }
        state.set_report(report, now);
        state.sent_before_report = state.sent_since_report;
        state.sent_since_report = 0;
        state.tokens_before_report = state.tokens_since_report;
        state.tokens_since_report = 0;
    }

    /// Records that the upstream reported `left` as the remaining time of its cold start.
    pub fn record_cold_start(&mut self, id: &str, left: Duration, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.set_cold(left, now);
        }
    }

    /// Records that the upstream said `age` ago, in its life `born`, that it is leaving. Until it
    /// starts again, no row of the list brings it back into use. Returns whether this is news.
    pub fn record_leaving(
        &mut self,
        id: &str,
        born: BornMillis,
        age: Duration,
        now: Instant,
    ) -> bool {
        if let Some(state) = self.upstreams.get_mut(id)
            && state.listing.born == born
        {
            state.leaving = true;
        }
        self.leaving.record(id, born, age, now)
    }

    /// Upstreams that said that they are leaving.
    #[must_use]
    pub fn leaving(&self) -> &LeavingUpstreams {
        &self.leaving
    }

    /// Records that the upstream wants no requests from this entry for `time`. Returns whether a
    /// hold begins.
    pub fn record_hold(&mut self, id: &str, time: Duration, now: Instant) -> bool {
        let state = self.upstreams.get_mut(id);
        state.is_some_and(|state| state.hold.extend(time, now))
    }

    /// Records that the upstream had the limit `rate`, or none, in its life `born` at the time `at`, as
    /// described at [`UpstreamLimit::record`].
    pub fn record_limit(
        &mut self,
        id: &str,
        born: BornMillis,
        rate: Option<RequestRate>,
        at: Instant,
        is_first_hand: bool,
        now: Instant,
    ) -> LimitChange {
        match self.upstreams.get_mut(id) {
            Some(state) if state.listing.born == born => {
                let change = state.limit.record(rate, at, is_first_hand, now);
                if change == LimitChange::Ended {
                    state.hold.begin_recovery(now);
                }
                change
            }
            _ => LimitChange::Unchanged,
        }
    }

    /// Limits that are in force, and those that ended less than `max_age` ago, where an answer to this
    /// entry made the latest observation: each with the upstream's life, the rate, or none, and the time
    /// of the observation.
    pub fn first_hand_limits(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&UpstreamId, BornMillis, Option<RequestRate>, Instant)> {
        self.upstreams.iter().filter_map(move |(id, state)| {
            let (rate, at) = state.limit.first_hand()?;
            let changed = now.saturating_duration_since(state.limit.changed_at()?);
            let is_news = rate.is_some() || changed < max_age;
            is_news.then_some((id, state.listing.born, rate, at))
        })
    }

    /// Records that an answer of the upstream stated a malformed limit. Returns true for the first one
    /// of its life.
    pub fn record_unreadable_limit(&mut self, id: &str) -> bool {
        let state = self.upstreams.get_mut(id);
        state.is_some_and(|state| state.limit.record_unreadable())
    }

    /// Returns true once after each hold of the upstream has ended.
    pub fn take_hold_end(&mut self, id: &str, now: Instant) -> bool {
        let state = self.upstreams.get_mut(id);
        state.is_some_and(|state| state.hold.take_end(now))
    }

    /// Records the speed that the upstream stated in an answer, in its life `born`.
    pub fn record_speed(&mut self, id: &str, born: BornMillis, speed: SpeedFactor, now: Instant) {
        if let Some(state) = self.life(id, born) {
            state.speed.record_figure(speed, now);
        }
    }

    /// Records that the upstream sent the first event of an answer after `measured` instead of
    /// `expected`, in its life `born`.
    pub fn record_first_event(
        &mut self,
        id: &str,
        born: BornMillis,
        measured: Duration,
        expected: Duration,
        now: Instant,
    ) {
        if let Some(state) = self.life(id, born) {
            state.speed.record_first_event(measured, expected, now);
        }
    }

    /// State of the upstream if it is still in its life `born`.
    fn life(&mut self, id: &str, born: BornMillis) -> Option<&mut UpstreamState> {
        let state = self.upstreams.get_mut(id)?;
        (state.listing.born == born).then_some(state)
    }

    /// Counts a request with `tokens` prompt tokens that is about to be sent.
    pub fn count_request(&mut self, id: &str, tokens: u32) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.own.in_flight += 1;
            state.own.unread = state.own.unread.saturating_add(tokens);
            state.sent_since_report += 1;
            state.tokens_since_report += u64::from(tokens);
        }
    }

    /// Counts the expected output of a request that was counted with [`Self::count_request`].
    pub fn count_output(&mut self, id: &str, tokens: u32) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.own_output.add(tokens);
            state.tokens_since_report += u64::from(tokens);
        }
    }

    /// Removes the expected output of a request that ended, as it was counted.
    pub fn remove_output(&mut self, id: &str, tokens: u32) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.own_output.remove(tokens);
        }
    }

    /// Records that an answer started, so its `tokens` prompt tokens are prefilled.
    pub fn answer_started(&mut self, id: &str, tokens: u32) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.own.unread = state.own.unread.saturating_sub(tokens);
        }
    }

    /// Records the loads that another entry sent. Upstreams missing in `loads` have none from it.
    pub fn record_peer_loads(
        &mut self,
        entry: &InstanceId,
        loads: &HashMap<UpstreamId, EntryLoad>,
        now: Instant,
    ) {
        for (id, state) in &mut self.upstreams {
            match loads.get(id) {
                Some(load) => drop(state.peer_loads.insert(entry.clone(), (*load, now))),
                None => drop(state.peer_loads.remove(entry)),
            }
        }
    }

    /// Loads from this entry, for sending to other entries; upstreams without load are left out.
    pub fn own_loads(&self) -> impl Iterator<Item = (&UpstreamId, EntryLoad)> {
        let all = self.upstreams.iter();
        let busy = all.filter(|(_, state)| state.own != EntryLoad::default());
        busy.map(|(id, state)| (id, state.own))
    }

    /// Records the outcome of an attempt; `unread` is the number of its prompt tokens that are
    /// still counted as not prefilled.
    pub fn record_outcome(&mut self, id: &str, outcome: SendOutcome, unread: u32, now: Instant) {
        let Some(state) = self.upstreams.get_mut(id) else {
            return;
        };
        state.own.in_flight = state.own.in_flight.saturating_sub(1);
        state.own.unread = state.own.unread.saturating_sub(unread);
        match outcome {
            SendOutcome::Answered => {
                state.failures = 0;
                state.ejections = 0;
            }
            SendOutcome::NotRun | SendOutcome::Abandoned => {}
            SendOutcome::Unreachable => eject(state, now),
            SendOutcome::Failed => {
                state.failures += 1;
                if state.failures >= FAILURES_TO_EJECT {
                    eject(state, now);
                }
            }
        }
    }

    /// State of the upstream `id`, if it is known.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&UpstreamState> {
        self.upstreams.get(id)
    }

    /// All upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamState)> {
        self.upstreams.iter()
    }
}

/// Excludes an upstream for a time that doubles with each ejection since its last valid answer.
fn eject(state: &mut UpstreamState, now: Instant) {
    let duration = MIN_EJECTION * (1 << state.ejections.min(4));
    state.ejected_until = now + duration.min(MAX_EJECTION);
    state.ejections += 1;
    state.failures = 0;
}
