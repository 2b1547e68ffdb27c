//! Datagrams that an entry sends to other daemons: heartbeats, its requests in flight, summaries of
//! engines, and the roster (the list of live entries and agents, with announced weights).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ModelId, RegionId, ServiceId};
use agatepin_core::relay::admission_level::NEWS_INTERVAL;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::chooser;
use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::part_evidence::PartKey;
use agatepin_core::relay::row_version::RowVersion;
use agatepin_core::relay::subset;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until};

use crate::relay::admit;
use crate::relay::datagram::{
    AnnouncedWeights, CrashNews, Datagram, DatagramBody, EngineSummary, EntryHeartbeat,
    EntryRequests, FleetRoster, LeavingNews, LimitNews, LineRecord, RegionEngines, SuspectNews,
    TableVersion, UpstreamRequests,
};
use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::mirror::TableMirror;
use crate::relay::part_news::{EntryParts, MAX_PARTS_PER_DATAGRAM, PartRecord};
use crate::relay::ports::{MirrorTable, TableStore, WireDialect};

/// Longest time between two heartbeats of this entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which changes of this entry's requests in flight are collected before one report.
const REPORT_BATCH_INTERVAL: Duration = NEWS_INTERVAL;
/// Time after which this entry's requests in flight are reported again without a change.
const REPORT_REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two summaries of this region's engines for entries of other regions.
const ENGINE_SUMMARY_INTERVAL: Duration = chooser::REGION_SUMMARY_INTERVAL;
/// Time without a report after which an agent is no longer listed in rosters.
const AGENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Age up to which the news that an upstream is leaving is sent to other entries; then its row says so
/// too.
const LEAVING_NEWS_TIME: Duration = Duration::from_secs(10);
/// Maximum number of such news in one heartbeat.
const MAX_LEAVING_PER_DATAGRAM: usize = 32;
/// Age up to which the news that an upstream's limit has ended is sent to other entries.
const LIMIT_NEWS_TIME: Duration = Duration::from_secs(10);
/// Maximum number of limits of upstreams in one heartbeat; the latest observations are sent.
const MAX_LIMITS_PER_DATAGRAM: usize = 64;
/// Maximum number of services whose lines are told of in one datagram.
const MAX_LINES_PER_DATAGRAM: usize = 32;
/// Time for which changes of limits are collected before a heartbeat tells of them.
const LIMIT_BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which news of parts of prompts is collected before it is sent.
const PART_BATCH_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of parts that are told of periodically; those with the latest crashes are.
const MAX_PERIODIC_PARTS: usize = 32;
/// Maximum number of suspects (requests that crashed upstreams) in one heartbeat; those that are
/// refused, and then those with the latest news, are sent.
const MAX_SUSPECTS_PER_DATAGRAM: usize = 32;

/// Sends the state of an entry to other daemons.
#[derive(Clone)]
pub struct StateBroadcaster<Store, Dialect> {
    /// UDP socket of the entry for datagrams between daemons (its overlay address).
    pub socket: Rc<UdpSocket>,
    /// State of the fleet as the entry knows it.
    pub fleet: FleetHandle,
    /// Name of the entry.
    pub name: String,
    /// Listing of the entry itself: its incarnation, addresses, data centre and region.
    pub own: EntryListing,
    /// The entry's copy of the platform store's tables.
    pub mirror: TableMirror<Store, Dialect>,
}

impl<Store, Dialect> StateBroadcaster<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Starts the tasks that send this entry's state.
    pub fn spawn_tasks(self) {
        actix_rt::spawn(self.clone().report_requests());
        actix_rt::spawn(self.clone().report_engines());
        actix_rt::spawn(self.clone().report_parts());
        actix_rt::spawn(self.run());
    }

    /// Sends heartbeats and rosters until the task is dropped: at each interval, and at once after
    /// an announcement of weights. After each read of changed rows of the store, and after changes of
    /// upstreams' limits, only heartbeats are sent.
    pub async fn run(self) {
        let (heartbeat_due, rows_read, limits_changed) = self.fleet.with(|fleet| {
            let (due, read) = (fleet.heartbeat_due.clone(), fleet.rows_read.clone());
            (due, read, fleet.limits_changed.clone())
        });
        loop {
            self.broadcast();
            let next = Instant::now() + HEARTBEAT_INTERVAL;
            // Rows that change continuously must not delay the rosters for agents.
            loop {
                tokio::select! {
                    () = sleep_until(next.into()) => break,
                    // Agents fetch new weights as soon as a roster announces them.
                    () = heartbeat_due.notified() => break,
                    // Entries that read the store through this one learn from its heartbeat that
                    // they can pull newer rows.
                    () = rows_read.notified() => self.send_heartbeats(Instant::now()),
                    () = limits_changed.notified() => {
                        sleep(LIMIT_BATCH_INTERVAL).await;
                        self.send_heartbeats(Instant::now());
                    }
                }
            }
        }
    }

    /// Reports this entry's requests in flight to the entries of its region, until the task is dropped:
    /// soon after a change, and periodically.
    pub async fn report_requests(self) {
        let mut reported = Instant::now();
        loop {
            sleep(REPORT_BATCH_INTERVAL).await;
            let now = Instant::now();
            self.fleet
                .with(|fleet| update_levels(fleet, &self.own.region, now));
            let refresh = now.saturating_duration_since(reported) >= REPORT_REFRESH_INTERVAL;
            if !self.fleet.unreported.replace(false) && !refresh {
                continue;
            }
            reported = now;
            let (data, peers) = self.fleet.with(|fleet| {
                let loads = fleet
                    .upstreams
                    .own_loads()
                    .map(|(upstream, load)| UpstreamRequests {
                        upstream: upstream.clone(),
                        in_flight: load.in_flight,
                        unread: load.unread,
                    });
                let requests = EntryRequests {
                    name: self.name.clone(),
                    loads: loads.collect(),
                    lines: line_records(fleet, &self.own.region, now),
                };
                let data = Datagram {
                    body: Some(DatagramBody::Requests(requests)),
                };
                let alive = fleet.entries.alive(&self.name, now);
                let same_region = alive.filter(|listing| listing.region == self.own.region);
                let peers: Vec<SocketAddr> = same_region.map(|listing| listing.overlay).collect();
                (data.encode_to_vec(), peers)
            });
            for peer in peers {
                if let Err(err) = self.socket.try_send_to(&data, peer) {
                    log::debug!("report of requests in flight to {peer} not sent: {err}");
                }
            }
        }
    }

    /// Tells all other entries of parts of prompts whose requests crash upstreams, until the task is
    /// dropped: at once after news, and all suspects periodically.
    pub async fn report_parts(self) {
        let parts_due = self.fleet.with(|fleet| fleet.parts_due.clone());
        loop {
            let next = Instant::now() + HEARTBEAT_INTERVAL;
            loop {
                tokio::select! {
                    () = sleep_until(next.into()) => break,
                    () = parts_due.notified() => sleep(PART_BATCH_INTERVAL).await,
                }
                self.send_due_parts();
            }
            let now = Instant::now();
            let suspects: BTreeSet<PartKey> = self.fleet.with(|fleet| {
                let suspects = fleet.parts.suspects(now).into_iter();
                let keys = suspects.map(|(key, _)| key.clone());
                keys.take(MAX_PERIODIC_PARTS).collect()
            });
            self.send_parts(&suspects, &self.other_entries());
        }
    }

    /// Sends the news of parts that are due to all other entries, and replies to single ones.
    fn send_due_parts(&self) {
        let (due, replies) = self.fleet.with(|fleet| {
            let replies = std::mem::take(&mut fleet.part_replies);
            (fleet.parts.take_due(), replies)
        });
        self.send_parts(&due, &self.other_entries());
        for (peer, parts) in replies {
            self.send_parts(&parts, &BTreeSet::from([peer]));
        }
    }

    /// Sends what this entry knows of `parts` to `peers`.
    fn send_parts(&self, parts: &BTreeSet<PartKey>, peers: &BTreeSet<SocketAddr>) {
        let now = Instant::now();
        let records: Vec<PartRecord> = self.fleet.with(|fleet| {
            let news = parts.iter().filter_map(|key| fleet.parts.news_of(key, now));
            news.map(PartRecord::from).collect()
        });
        for records in records.chunks(MAX_PARTS_PER_DATAGRAM) {
            let parts = records.to_vec();
            self.send_datagram(DatagramBody::Parts(EntryParts { parts }), peers.clone());
        }
    }

    /// Sends summaries of this region's engines to entries of other regions, until the task is
    /// dropped. Each of those entries receives the summaries from one entry of this region.
    pub async fn report_engines(self) {
        loop {
            sleep(ENGINE_SUMMARY_INTERVAL).await;
            let now = Instant::now();
            let (engines, peers) = self.fleet.with(|fleet| {
                let region = &self.own.region;
                let upstreams = fleet.upstreams.iter().map(|(_, state)| state);
                let same_region = upstreams.filter(|state| state.listing.region == *region);
                let engines = same_region
                    .filter_map(|state| EngineSummary::new(state.listing.address, state, now));
                let engines: Vec<EngineSummary> = engines.collect();
                let entries = self.alive_entries(fleet, now);
                let other_regions = entries.iter().filter(|(_, other)| *other != region);
                let receivers = other_regions.filter(|(entry, _)| {
                    subset::senders(*entry, region, &entries).first() == Some(&self.own.overlay)
                });
                let peers: BTreeSet<SocketAddr> = receivers.map(|(entry, _)| *entry).collect();
                (engines, peers)
            });
            if !engines.is_empty() {
                self.send_datagram(DatagramBody::Engines(RegionEngines { engines }), peers);
            }
        }
    }

    /// Overlay addresses and regions of the entries that are alive, including this one.
    fn alive_entries<'fleet>(
        &'fleet self,
        fleet: &'fleet FleetState,
        now: Instant,
    ) -> Vec<(SocketAddr, &'fleet RegionId)> {
        let alive = fleet.entries.alive(&self.name, now);
        let alive = alive.map(|entry| (entry.overlay, &entry.region));
        let own = std::iter::once((self.own.overlay, &self.own.region));
        alive.chain(own).collect()
    }

    /// Sends a heartbeat to the other entries, and the roster to the agents that this entry is
    /// responsible for.
    pub fn broadcast(&self) {
        let now = Instant::now();
        self.send_heartbeats(now);
        self.send_datagram(
            DatagramBody::Roster(self.build_roster(now)),
            self.roster_receivers(now),
        );
    }

    /// Sends a heartbeat to all other entries, also to those that do not count as alive.
    fn send_heartbeats(&self, now: Instant) {
        let heartbeat = DatagramBody::Hello(self.build_heartbeat(now));
        self.send_datagram(heartbeat, self.other_entries());
    }

    /// Overlay addresses of all other entries, also of those that do not count as alive.
    fn other_entries(&self) -> BTreeSet<SocketAddr> {
        self.fleet.with(|fleet| {
            let others = fleet.entries.others(&self.name);
            others.map(|(_, listing)| listing.overlay).collect()
        })
    }

    /// Sends one datagram to each of `peers`; failures are only logged.
    fn send_datagram(&self, body: DatagramBody, peers: BTreeSet<SocketAddr>) {
        let data = Datagram { body: Some(body) }.encode_to_vec();
        for peer in peers {
            if let Err(err) = self.socket.try_send_to(&data, peer) {
                log::debug!("datagram to {peer} not sent: {err}");
            }
        }
    }

    /// Builds a heartbeat from the current state of this entry.
    fn build_heartbeat(&self, now: Instant) -> EntryHeartbeat {
        let ready = self.fleet.is_ready();
        let copy_status = self.mirror.copy_status();
        let answered_ms = copy_status.answered_for.as_millis();
        self.fleet.with(|fleet| {
            let suspects = fleet.suspects.news(now).into_iter();
            let suspects = suspects.take(MAX_SUSPECTS_PER_DATAGRAM);
            let suspects = suspects.map(|(key, record)| {
                let crashes = record.crashes().iter();
                SuspectNews {
                    customer: key.customer.clone(),
                    digest: key.body_digest.as_bytes().to_vec(),
                    crashes: crashes.map(|crash| CrashNews::new(crash, now)).collect(),
                    is_sound: record.is_sound(),
                }
            });
            let leaving = fleet.upstreams.leaving().recent(LEAVING_NEWS_TIME, now);
            let leaving = leaving.map(|(upstream, born, age)| LeavingNews {
                upstream: upstream.clone(),
                born,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            });
            EntryHeartbeat {
                limits: limit_news(fleet, now),
                leaving: leaving.take(MAX_LEAVING_PER_DATAGRAM).collect(),
                name: self.name.clone(),
                incarnation: self.own.incarnation,
                ready,
                weights: dated_weights(fleet, now),
                suspects: suspects.collect(),
                front: self.own.front.to_string(),
                data_centre: self.own.data_centre.clone(),
                region: self.own.region.clone(),
                reads_store: copy_status.reads_store,
                changes: table_versions(&copy_status.changes),
                full_reads: table_versions(&copy_status.full_reads),
                answered_ms: u64::try_from(answered_ms).unwrap_or(u64::MAX),
            }
        })
    }

    /// Builds the roster, and forgets agents that stopped reporting.
    fn build_roster(&self, now: Instant) -> FleetRoster {
        self.fleet.with(|fleet| {
            fleet
                .agents
                .retain(|_, agent| now.saturating_duration_since(agent.last_seen) < AGENT_TIMEOUT);
            let mut roster = FleetRoster {
                weights: announced_weights(fleet, now),
                knows_weights: fleet.catalog.is_some(),
                ..FleetRoster::default()
            };
            roster.add_entry(self.own.overlay, &self.own.region);
            for entry in fleet.entries.alive(&self.name, now) {
                roster.add_entry(entry.overlay, &entry.region);
            }
            for (overlay, agent) in &fleet.agents {
                roster.add_agent(*overlay, &agent.region, agent.holds);
            }
            roster
        })
    }

    /// Overlay addresses of the agents that this entry sends the roster to. Candidates are the agents
    /// that report to this entry and the agents beside listed engines; the latter are assumed to use
    /// the same overlay port as this entry.
    fn roster_receivers(&self, now: Instant) -> BTreeSet<SocketAddr> {
        self.fleet.with(|fleet| {
            let entries = self.alive_entries(fleet, now);
            let reporting = fleet.agents.iter();
            let reporting = reporting.map(|(overlay, agent)| (*overlay, &agent.region));
            let engines = fleet.upstreams.iter().map(|(_, state)| &state.listing);
            let engines = engines.filter(|listing| listing.weights.is_some());
            let port = self.own.overlay.port();
            let listed = engines.map(|listing| {
                let overlay = SocketAddr::new(listing.address.ip(), port);
                (overlay, &listing.region)
            });
            let agents = reporting.chain(listed);
            let receivers = agents.filter(|(agent, region)| {
                subset::senders(*agent, region, &entries).contains(&self.own.overlay)
            });
            receivers.map(|(agent, _)| agent).collect()
        })
    }
}

/// Adapts the admission levels of all services to the requests that wait now.
fn update_levels(fleet: &mut FleetState, region: &str, now: Instant) {
    let services: Vec<ServiceId> = fleet.levels.keys().cloned().collect();
    for service in services {
        admit::update_level(fleet, region, &service, now);
    }
}

/// Lines of waiting requests, for the other entries of this entry's `region`.
fn line_records(fleet: &FleetState, region: &str, now: Instant) -> Vec<LineRecord> {
    let records = fleet.levels.iter().filter_map(|(service, level)| {
        let line = fleet.lines.get(service)?;
        let waiting = line.waiting_by_priority(|request| request.waits_in(region));
        LineRecord::new(service, &level.news(waiting, line.answer_time(), now))
    });
    records.take(MAX_LINES_PER_DATAGRAM).collect()
}

/// Limits of upstreams that this entry tells others of, the latest observations first.
fn limit_news(fleet: &FleetState, now: Instant) -> Vec<LimitNews> {
    let limits = fleet.upstreams.first_hand_limits(LIMIT_NEWS_TIME, now);
    let news = limits.map(|(upstream, born, rate, at)| {
        let age = now.saturating_duration_since(at).as_millis();
        LimitNews {
            upstream: upstream.clone(),
            born,
            per_1000_s: rate.map(|rate| rate.0),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        }
    });
    let mut news: Vec<LimitNews> = news.collect();
    news.sort_by_key(|news| news.age_ms);
    news.truncate(MAX_LIMITS_PER_DATAGRAM);
    news
}

/// All announced versions of weights, with the age of each announcement, 0 where it is not known.
fn announced_weights(fleet: &FleetState, now: Instant) -> Vec<AnnouncedWeights> {
    let announced = fleet.weights.iter().flat_map(|(model, schedule)| {
        let announced = schedule.announced(now);
        announced.map(|(version, age)| announcement(model, version, age.unwrap_or_default()))
    });
    announced.collect()
}

/// The announced versions of weights whose age is known.
fn dated_weights(fleet: &FleetState, now: Instant) -> Vec<AnnouncedWeights> {
    let announced = fleet.weights.iter().flat_map(|(model, schedule)| {
        let dated = schedule.announced(now);
        dated.filter_map(|(version, age)| Some(announcement(model, version, age?)))
    });
    announced.collect()
}

fn announcement(model: &ModelId, version: WeightsVersion, age: Duration) -> AnnouncedWeights {
    AnnouncedWeights {
        model: model.clone(),
        version,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Versions of tables, for a heartbeat.
fn table_versions(versions: &BTreeMap<MirrorTable, RowVersion>) -> Vec<TableVersion> {
    let versions = versions.iter().map(|(table, version)| TableVersion {
        table: table.number(),
        version: version.number,
        era: version.era,
    });
    versions.collect()
}
