//! What an entry knows of the upstreams: the list of the platform, what the agents report, what
//! the answers showed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, InstanceId, RegionId, ServiceId, UpstreamId};
use crate::relay::catalog::WeightsVersion;

/// Time after which the last report of an agent says nothing of the load any more.
pub const REPORT_TTL: Duration = Duration::from_millis(800);
/// Time in which an upstream that vanished from the list while the store was away may come back;
/// the platform's page on service discovery.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);
/// First time that an upstream is left alone after a failure.
pub const EJECT_BASE: Duration = Duration::from_millis(400);
/// Longest time that an upstream is left alone.
pub const EJECT_MAX: Duration = Duration::from_secs(4);
/// Failures in a row that eject an upstream whose connections are still accepted.
pub const FAILURES_TO_EJECT: u32 = 3;

value_type! {
    /// An upstream as the platform lists it.
    pub struct UpstreamListing {
        /// Service that it belongs to.
        pub service: ServiceId,
        /// Address.
        pub address: SocketAddr,
        /// Data centre.
        pub data_centre: DataCentreId,
        /// Region of the data centre.
        pub region: RegionId,
        /// Requests that it runs at once.
        pub slots: u32,
        /// It is leaving.
        pub draining: bool,
        /// How much longer it is cold.
        pub cold_left: Duration,
        /// Version of the weights whose layers it holds completely.
        pub weights: Option<WeightsVersion>,
        /// Unix milliseconds of its start.
        pub born: u64,
    }

    /// What the agent beside an engine saw of it.
    pub struct EngineReport {
        /// The engine answered its agent.
        pub up: bool,
        /// Version of the weights whose layers it holds completely.
        pub weights: Option<WeightsVersion>,
        /// An order is in progress.
        pub busy: bool,
        /// Requests that run.
        pub active: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Prompt tokens of requests whose answer has not begun, where they are known.
        pub unread: u32,
    }

    /// Requests of one entry at one upstream.
    #[derive(Copy, Default)]
    pub struct EntryLoad {
        /// Requests in flight.
        pub in_flight: u32,
        /// Prompt tokens of those whose answer has not begun.
        pub unread: u32,
    }

    /// How a send to an upstream ended.
    #[derive(Copy)]
    pub enum SendOutcome {
        /// It answered as it should.
        Answered,
        /// It refused, and did not run the request.
        NotRun,
        /// It could not be reached; nothing was sent.
        Unreachable,
        /// It broke off, answered rubbish or did not answer.
        Failed,
        /// The caller left; nothing is learnt.
        Abandoned,
    }
}

/// State of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// As the platform lists it.
    pub listing: UpstreamListing,
    /// Requests of this entry.
    pub own: EntryLoad,
    peers: BTreeMap<InstanceId, (EntryLoad, Instant)>,
    report: Option<(EngineReport, Instant)>,
    /// Requests that this entry sent since the last report.
    sent_since_report: u32,
    /// Requests that it sent before, which the report may not count yet.
    sent_before_report: u32,
    cold_until: Instant,
    failures: u32,
    ejections: u32,
    ejected_until: Instant,
    lapsed: bool,
}

impl UpstreamState {
    fn new(listing: UpstreamListing, now: Instant) -> Self {
        let cold_until = now + listing.cold_left;
        Self {
            listing,
            own: EntryLoad::default(),
            peers: BTreeMap::new(),
            report: None,
            sent_since_report: 0,
            sent_before_report: 0,
            cold_until,
            failures: 0,
            ejections: 0,
            ejected_until: now,
            lapsed: false,
        }
    }

    /// The agent's report, while it is fresh.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<&EngineReport> {
        let (report, at) = self.report.as_ref()?;
        (now.saturating_duration_since(*at) < REPORT_TTL).then_some(report)
    }

    /// Requests that are known to be at the upstream.
    #[must_use]
    pub fn load(&self, now: Instant) -> u32 {
        let shared = self.shared(now).in_flight;
        match self.report(now) {
            Some(report) => {
                let sent = self.sent_since_report + self.sent_before_report;
                let reported = report.active + report.queued + sent;
                reported.max(shared)
            }
            None => shared,
        }
    }

    /// Prompt tokens that are known to wait at the upstream.
    #[must_use]
    pub fn unread(&self, now: Instant) -> u32 {
        let reported = self.report(now).map_or(0, |report| report.unread);
        self.shared(now).unread.max(reported)
    }

    /// Requests of this entry and of those that tell it theirs.
    fn shared(&self, now: Instant) -> EntryLoad {
        let mut sum = self.own;
        for (load, at) in self.peers.values() {
            if now.saturating_duration_since(*at) < REPORT_TTL {
                sum.in_flight += load.in_flight;
                sum.unread += load.unread;
            }
        }
        sum
    }

    /// Version of the weights that it holds completely.
    #[must_use]
    pub fn weights(&self, now: Instant) -> Option<WeightsVersion> {
        match self.report(now) {
            Some(report) => report.weights,
            None => self.listing.weights,
        }
    }

    /// Whether it is in cold start.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Whether it may be sent new requests at all.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let down = self.report(now).is_some_and(|r| !r.up || r.busy);
        !self.listing.draining && now >= self.ejected_until && !down
    }
}

/// All upstreams that an entry knows of.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    by_address: HashMap<SocketAddr, UpstreamId>,
    evacuated: BTreeSet<DataCentreId>,
}

impl UpstreamDirectory {
    /// Takes an entry of the list.
    pub fn list(&mut self, id: &UpstreamId, listing: UpstreamListing, now: Instant) {
        self.by_address.insert(listing.address, id.clone());
        let Some(state) = self.upstreams.get_mut(id) else {
            let state = UpstreamState::new(listing, now);
            self.upstreams.insert(id.clone(), state);
            return;
        };
        if state.listing.born != listing.born {
            state.report = None;
            state.failures = 0;
            state.ejected_until = now;
        }
        if !listing.cold_left.is_zero() {
            state.cold_until = now + listing.cold_left;
        }
        state.lapsed = false;
        state.listing = listing;
    }

    /// Takes the removal of an entry. While entries may have lapsed with the store away, the
    /// upstream stays in use until [`Self::remove_lapsed`].
    pub fn unlist(&mut self, id: &UpstreamId, may_have_lapsed: bool) {
        if may_have_lapsed && let Some(state) = self.upstreams.get_mut(id) {
            state.lapsed = true;
            return;
        }
        self.drop_upstream(id);
    }

    /// Drops the upstreams that lapsed and did not come back.
    pub fn remove_lapsed(&mut self) {
        let lapsed = self.upstreams.iter().filter(|(_, state)| state.lapsed);
        let ids: Vec<UpstreamId> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.drop_upstream(&id);
        }
    }

    fn drop_upstream(&mut self, id: &UpstreamId) {
        let Some(state) = self.upstreams.remove(id) else {
            return;
        };
        let address = state.listing.address;
        if self.by_address.get(&address) == Some(id) {
            self.by_address.remove(&address);
        }
    }

    /// Takes a data centre out of use, or back.
    pub fn evacuate(&mut self, data_centre: &DataCentreId, out: bool) {
        if out {
            self.evacuated.insert(data_centre.clone());
        } else {
            self.evacuated.remove(data_centre);
        }
    }

    /// Whether operators took a data centre out of use.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Data centres that are out of use.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        self.evacuated.iter()
    }

    /// Takes the report of the agent beside the engine at `address`.
    pub fn report(&mut self, address: SocketAddr, report: EngineReport, now: Instant) {
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        let Some(state) = self.upstreams.get_mut(id) else {
            return;
        };
        state.report = Some((report, now));
        state.sent_since_report = 0;
        state.sent_before_report = 0;
    }

    /// Takes what an entry of another region than `own` says of the engine at `address`. What was
    /// sent there of late may not have reached that entry yet.
    pub fn apply_summary(
        &mut self,
        address: SocketAddr,
        own: &str,
        report: EngineReport,
        now: Instant,
    ) {
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        let Some(state) = self.upstreams.get_mut(id) else {
            return;
        };
        if state.listing.region == own {
            return;
        }
        state.report = Some((report, now));
        state.sent_before_report = state.sent_since_report;
        state.sent_since_report = 0;
    }

    /// Notes that an upstream says how much longer it is cold.
    pub fn cold(&mut self, id: &str, left: Duration, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.cold_until = now + left;
        }
    }

    /// Notes a request of `tokens` prompt tokens that is about to be sent.
    pub fn count_request(&mut self, id: &str, tokens: u32) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.own.in_flight += 1;
            state.own.unread += tokens;
            state.sent_since_report += 1;
        }
    }

    /// Notes that an answer began, so that its prompt has been read.
    pub fn answer_started(&mut self, id: &str, tokens: u32) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.own.unread = state.own.unread.saturating_sub(tokens);
        }
    }

    /// Takes what another entry says of its requests. Upstreams that it does not name have none.
    pub fn peer(
        &mut self,
        entry: &InstanceId,
        loads: &HashMap<UpstreamId, EntryLoad>,
        now: Instant,
    ) {
        for (id, state) in &mut self.upstreams {
            match loads.get(id) {
                Some(load) => drop(state.peers.insert(entry.clone(), (*load, now))),
                None => drop(state.peers.remove(entry)),
            }
        }
    }

    /// Requests of this entry, by upstream, for other entries.
    pub fn own_loads(&self) -> impl Iterator<Item = (&UpstreamId, EntryLoad)> {
        let all = self.upstreams.iter();
        let busy = all.filter(|(_, state)| state.own != EntryLoad::default());
        busy.map(|(id, state)| (id, state.own))
    }

    /// Notes how a send ended; `unread` prompt tokens of it had not been read.
    pub fn end(&mut self, id: &str, outcome: SendOutcome, unread: u32, now: Instant) {
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

    /// One upstream.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&UpstreamState> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamState)> {
        self.upstreams.iter()
    }
}

fn eject(state: &mut UpstreamState, now: Instant) {
    let wait = EJECT_BASE * (1 << state.ejections.min(4));
    state.ejected_until = now + wait.min(EJECT_MAX);
    state.ejections += 1;
    state.failures = 0;
}
