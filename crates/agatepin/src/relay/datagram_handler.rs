//! Applies the datagrams of other daemons (entries and agents) to the state of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin_core::ids::ContentDigest;
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::part_tracker::PartNews;
use agatepin_core::relay::speed::SpeedFactor;
use agatepin_core::relay::stated_limit::{LimitChange, RequestRate};
use agatepin_core::relay::upstreams::{EngineReport, EntryLoad};

use crate::relay::datagram::{
    DatagramBody, EngineLoad, EntryHeartbeat, EntryRequests, RegionEngines,
};
use crate::relay::fleet::{AgentState, FleetHandle};
use crate::relay::part_news::{EntryParts, MAX_PARTS_PER_DATAGRAM};
use crate::relay::part_watch::change_parts;

/// Longest time from an announcement of weights until the rosters of entries tell of it: the platform's
/// bound for changes by operators.
const NEWS_DELAY: Duration = Duration::from_secs(2);

/// Applies the datagram `body`, sent by the daemon at `from`, to the state of an entry in `region`.
pub fn handle_datagram(fleet: &FleetHandle, region: &str, from: SocketAddr, body: DatagramBody) {
    match body {
        DatagramBody::Hello(heartbeat) => apply_heartbeat(fleet, region, from, heartbeat),
        DatagramBody::Load(load) => apply_load(fleet, from, load),
        DatagramBody::Requests(requests) => apply_requests(fleet, requests),
        DatagramBody::Engines(engines) => apply_engines(fleet, region, &engines),
        DatagramBody::Parts(parts) => apply_parts(fleet, from, parts),
        // Rosters are meant for agents.
        DatagramBody::Roster(_) => {}
    }
}

/// Records the heartbeat of another entry, with the weights and suspects that it reports.
fn apply_heartbeat(fleet: &FleetHandle, region: &str, from: SocketAddr, heartbeat: EntryHeartbeat) {
    let now = Instant::now();
    let listing = match heartbeat.listing(from) {
        Ok(listing) => listing,
        Err(err) => return log::debug!("heartbeat from {from} ignored: {err}"),
    };
    let copy_status = heartbeat.copy_status();
    fleet.with(|fleet| {
        let same_region = listing.region == region;
        if fleet
            .table_copies
            .update(&heartbeat.name, from, same_region, copy_status, now)
        {
            fleet.peer_rows_changed.notify_waiters();
        }
        fleet
            .entries
            .record_heartbeat(&heartbeat.name, listing, heartbeat.ready, now);
        for announced in heartbeat.weights {
            let age = Duration::from_millis(announced.age_ms);
            fleet.record_weights(&announced.model, announced.version, age, now);
        }
        for news in heartbeat.leaving {
            let age = Duration::from_millis(news.age_ms);
            let (upstreams, id) = (&mut fleet.upstreams, &news.upstream);
            if upstreams.record_leaving(id, news.born, age, now) {
                // Heard from another entry, which had it from the upstream `age_ms` ago.
                log::info!(upstream = id, born = news.born, age_ms = news.age_ms, from:%;
                    "upstream is leaving");
            }
        }
        for news in heartbeat.limits {
            let age = Duration::from_millis(news.age_ms);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let (id, rate) = (&news.upstream, news.per_1000_s.map(RequestRate));
            let upstreams = &mut fleet.upstreams;
            let change = upstreams.record_limit(id, news.born, rate, at, false, now);
            if change != LimitChange::Unchanged {
                // None if the limit has ended.
                let per_second = rate.map(RequestRate::per_second);
                log::info!(upstream = id, born = news.born, per_second, age_ms = news.age_ms, from:%;
                    "stated limit changed");
            }
        }
        for suspect in heartbeat.suspects {
            let Some(digest) = ContentDigest::from_slice(&suspect.digest) else {
                continue;
            };
            let key = SuspectKey {
                customer: suspect.customer,
                body_digest: digest,
            };
            for crash in suspect.crashes {
                fleet.suspects.record_crash(&key, crash.crash(now), now);
            }
            if suspect.is_sound {
                fleet.suspects.record_sound(&key, now);
            }
        }
    });
}

/// Records the requests in flight of another entry.
fn apply_requests(fleet: &FleetHandle, requests: EntryRequests) {
    let now = Instant::now();
    let loads = requests.loads.into_iter().map(|load| {
        let entry_load = EntryLoad {
            in_flight: load.in_flight,
            unread: load.unread,
        };
        (load.upstream, entry_load)
    });
    let loads: HashMap<_, _> = loads.collect();
    fleet.with(|fleet| {
        fleet
            .upstreams
            .record_peer_loads(&requests.name, &loads, now);
        for record in &requests.lines {
            let catalog = fleet.catalog.as_ref();
            if catalog.is_none_or(|catalog| catalog.service(&record.service).is_none()) {
                continue;
            }
            let level = fleet.levels.entry(record.service.clone()).or_default();
            level.peers.record(&requests.name, record.into(), now);
        }
    });
    fleet.slot_freed.notify_one();
}

/// Records an engine's load, as the agent at `from` reports it.
fn apply_load(fleet: &FleetHandle, from: SocketAddr, load: EngineLoad) {
    let now = Instant::now();
    let Ok(engine) = load.engine.parse::<SocketAddr>() else {
        return log::debug!("load report from {from} ignored: malformed address of the engine");
    };
    let report = EngineReport {
        up: load.up,
        weights: Some(load.weights).filter(|version| *version > 0),
        busy: load.busy,
        active: load.active,
        queued: load.queued,
        unread: 0,
        pace: load.pace.and_then(SpeedFactor::from_thousandths),
        memory: load.memory(),
    };
    let agent = AgentState {
        region: load.region,
        holds: Some(load.holds).filter(|version| *version > 0),
        last_seen: now,
    };
    fleet.with(|fleet| {
        for newest in load.newest {
            let age = Duration::from_millis(newest.age_ms).saturating_add(NEWS_DELAY);
            if let Some(at) = now.checked_sub(age) {
                fleet.record_newest_weights(engine, newest.version, at);
            }
        }
        fleet.upstreams.report(engine, report, now);
        fleet.agents.insert(from, agent);
    });
    fleet.slot_freed.notify_one();
}

/// Applies the load of another region's engines. Summaries of engines in this entry's own `region`
/// are ignored, since the agents of those engines report directly.
fn apply_engines(fleet: &FleetHandle, region: &str, engines: &RegionEngines) {
    let now = Instant::now();
    fleet.with(|fleet| {
        for engine in &engines.engines {
            let Some(address) = engine.address() else {
                continue;
            };
            fleet
                .upstreams
                .apply_summary(address, region, engine.report(), now);
        }
    });
    fleet.slot_freed.notify_one();
}

/// Applies the evidence of the entry at `from` on parts of prompts. That entry is told of parts that
/// it suspects although this entry knows that they are sound.
fn apply_parts(fleet: &FleetHandle, from: SocketAddr, news: EntryParts) {
    let now = Instant::now();
    for record in news.parts.into_iter().take(MAX_PARTS_PER_DATAGRAM) {
        let news = PartNews::from(record);
        let key = news.key.clone();
        if !change_parts(fleet, |parts| parts.merge(news, now)) {
            continue;
        }
        fleet.with(|fleet| {
            fleet.part_replies.entry(from).or_default().insert(key);
            fleet.parts_due.notify_one();
        });
    }
}
