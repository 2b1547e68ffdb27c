//! What an entry tells other daemons: signs of life, its requests at upstreams, the fleet's roster.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RegionId;
use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::subset;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until};

use crate::relay::datagram::{
    AnnouncedWeights, Datagram, DatagramBody, EngineSummary, EntryHello, EntryRequests,
    FleetRoster, RegionEngines, SuspectNews, TableChange, UpstreamRequests,
};
use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::mirror::TableMirror;
use crate::relay::ports::{TableStore, WireDialect};

/// Time between two signs of life.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which changes of an entry's requests are gathered before others are told.
const TELL_INTERVAL: Duration = Duration::from_millis(15);
/// Time after which they are told again without a change.
const TELL_AGAIN: Duration = Duration::from_millis(300);
/// Time between two summaries of a region's engines for entries of other regions.
const ENGINES_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which an agent is forgotten.
const AGENT_SILENCE: Duration = Duration::from_millis(2_500);
/// Most suspects told in one datagram.
const MAX_SUSPECTS_TOLD: usize = 32;

/// Tells the other daemons that this entry lives, and what it knows.
#[derive(Clone)]
pub struct Speaker<Store, Dialect> {
    /// Socket of the entry.
    pub socket: Rc<UdpSocket>,
    /// What the entry believes.
    pub fleet: FleetHandle,
    /// Name of the entry.
    pub name: String,
    /// The entry.
    pub own: EntryListing,
    /// Its copy of the store's tables.
    pub mirror: TableMirror<Store, Dialect>,
}

impl<Store, Dialect> Speaker<Store, Dialect>
where
    Store: TableStore,
    Dialect: WireDialect,
{
    /// Tells for good.
    pub async fn run(self) {
        let (news, row_news) = self
            .fleet
            .with(|fleet| (fleet.news.clone(), fleet.row_news.clone()));
        loop {
            self.speak();
            let next = Instant::now() + HELLO_INTERVAL;
            // Rows that change all the time must not put off what agents are told.
            loop {
                tokio::select! {
                    () = sleep_until(next.into()) => break,
                    // Agents fetch new weights from the moment that they hear of them.
                    () = news.notified() => break,
                    // Entries that rely on this one take its rows.
                    () = row_news.notified() => self.greet(Instant::now()),
                }
            }
        }
    }

    /// Tells the entries of the region this entry's requests, soon after they change.
    pub async fn tell_requests(self) {
        let mut told = Instant::now();
        loop {
            sleep(TELL_INTERVAL).await;
            let now = Instant::now();
            let old = now.saturating_duration_since(told) >= TELL_AGAIN;
            if !self.fleet.untold.replace(false) && !old {
                continue;
            }
            told = now;
            let (data, peers) = self.fleet.with(|fleet| {
                let refused = fleet.refused.take_unsent();
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
                    refused,
                };
                let data = Datagram {
                    body: Some(DatagramBody::Requests(requests)),
                };
                let alive = fleet.entries.alive(&self.name, now);
                let near = alive.filter(|listing| listing.region == self.own.region);
                let peers: Vec<SocketAddr> = near.map(|listing| listing.overlay).collect();
                (data.encode_to_vec(), peers)
            });
            for peer in peers {
                if let Err(err) = self.socket.try_send_to(&data, peer) {
                    log::debug!("requests not told to {peer}: {err}");
                }
            }
        }
    }

    /// Tells entries of other regions the load of this region's engines. Each has one entry of
    /// this region that tells it.
    pub async fn tell_engines(self) {
        loop {
            sleep(ENGINES_INTERVAL).await;
            let now = Instant::now();
            let (engines, peers) = self.fleet.with(|fleet| {
                let region = &self.own.region;
                let near = fleet.upstreams.iter().map(|(_, state)| state);
                let near = near.filter(|state| state.listing.region == *region);
                let engines =
                    near.filter_map(|state| EngineSummary::new(state.listing.address, state, now));
                let engines: Vec<EngineSummary> = engines.collect();
                let entries = self.entries(fleet, now);
                let far = entries.iter().filter(|(_, place)| *place != region);
                let told = far.filter(|(entry, _)| {
                    subset::senders(*entry, region, &entries).first() == Some(&self.own.overlay)
                });
                let peers: BTreeSet<SocketAddr> = told.map(|(entry, _)| *entry).collect();
                (engines, peers)
            });
            if !engines.is_empty() {
                self.send(DatagramBody::Engines(RegionEngines { engines }), peers);
            }
        }
    }

    /// Entries that are alive, with this one.
    fn entries<'fleet>(
        &'fleet self,
        fleet: &'fleet FleetState,
        now: Instant,
    ) -> Vec<(SocketAddr, &'fleet RegionId)> {
        let alive = fleet.entries.alive(&self.name, now);
        let alive = alive.map(|entry| (entry.overlay, &entry.region));
        let own = std::iter::once((self.own.overlay, &self.own.region));
        alive.chain(own).collect()
    }

    /// Gives a sign of life to the other entries, and the roster to the agents that this entry
    /// tells of the fleet.
    pub fn speak(&self) {
        let now = Instant::now();
        self.greet(now);
        self.send(DatagramBody::Roster(self.roster(now)), self.agents(now));
    }

    /// Gives a sign of life to the other entries.
    fn greet(&self, now: Instant) {
        let entries = self.fleet.with(|fleet| {
            let others = fleet.entries.others(&self.name);
            others.map(|(_, listing)| listing.overlay).collect()
        });
        self.send(DatagramBody::Hello(self.hello(now)), entries);
    }

    fn send(&self, body: DatagramBody, peers: BTreeSet<SocketAddr>) {
        let data = Datagram { body: Some(body) }.encode_to_vec();
        for peer in peers {
            if let Err(err) = self.socket.try_send_to(&data, peer) {
                log::debug!("sign of life to {peer} not sent: {err}");
            }
        }
    }

    fn hello(&self, now: Instant) -> EntryHello {
        let ready = self.fleet.is_ready();
        let claim = self.mirror.claim();
        let changes = claim
            .changes
            .into_iter()
            .map(|(table, version)| TableChange {
                table: table.number(),
                version,
            });
        self.fleet.with(|fleet| {
            let suspects = fleet.suspects.suspects().take(MAX_SUSPECTS_TOLD);
            let suspects = suspects.map(|(key, witnesses)| SuspectNews {
                customer: key.customer.clone(),
                digest: key.body_digest.as_bytes().to_vec(),
                witnesses: witnesses.iter().cloned().collect(),
            });
            EntryHello {
                name: self.name.clone(),
                incarnation: self.own.incarnation,
                ready,
                weights: named_weights(fleet, now),
                suspects: suspects.collect(),
                front: self.own.front.to_string(),
                data_centre: self.own.data_centre.clone(),
                region: self.own.region.clone(),
                reads_store: claim.reads_store,
                changes: changes.collect(),
            }
        })
    }

    fn roster(&self, now: Instant) -> FleetRoster {
        self.fleet.with(|fleet| {
            fleet
                .agents
                .retain(|_, agent| now.saturating_duration_since(agent.heard) < AGENT_SILENCE);
            let mut roster = FleetRoster {
                weights: named_weights(fleet, now),
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

    /// Agents that this entry tells of the fleet, of those that were heard and those beside listed
    /// engines.
    fn agents(&self, now: Instant) -> BTreeSet<SocketAddr> {
        self.fleet.with(|fleet| {
            let entries = self.entries(fleet, now);
            let heard = fleet.agents.iter();
            let heard = heard.map(|(overlay, agent)| (*overlay, &agent.region));
            let engines = fleet.upstreams.iter().map(|(_, state)| &state.listing);
            let engines = engines.filter(|listing| listing.weights.is_some());
            let port = self.own.overlay.port();
            let listed = engines.map(|listing| {
                let overlay = SocketAddr::new(listing.address.ip(), port);
                (overlay, &listing.region)
            });
            let agents = heard.chain(listed);
            let told = agents.filter(|(agent, region)| {
                subset::senders(*agent, region, &entries).contains(&self.own.overlay)
            });
            told.map(|(agent, _)| agent).collect()
        })
    }
}

fn named_weights(fleet: &FleetState, now: Instant) -> Vec<AnnouncedWeights> {
    let named = fleet.weights.iter().flat_map(|(model, schedule)| {
        schedule
            .announced(now)
            .map(|(version, age)| AnnouncedWeights {
                model: model.clone(),
                version,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
    });
    named.collect()
}
