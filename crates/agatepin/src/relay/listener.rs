//! What an entry hears from other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin_core::ids::ContentDigest;
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::upstreams::{EngineReport, EntryLoad};

use crate::relay::datagram::{DatagramBody, EngineLoad, EntryHello, EntryRequests, RegionEngines};
use crate::relay::fleet::{AgentState, FleetHandle};

/// Takes a datagram of another daemon.
pub fn hear(fleet: &FleetHandle, region: &str, from: SocketAddr, body: DatagramBody) {
    match body {
        DatagramBody::Hello(hello) => take_hello(fleet, region, from, hello),
        DatagramBody::Load(load) => take_load(fleet, from, load),
        DatagramBody::Requests(requests) => take_requests(fleet, requests),
        DatagramBody::Engines(engines) => take_engines(fleet, region, &engines),
        DatagramBody::Roster(_) => {}
    }
}

fn take_hello(fleet: &FleetHandle, region: &str, from: SocketAddr, hello: EntryHello) {
    let now = Instant::now();
    let listing = match hello.listing(from) {
        Ok(listing) => listing,
        Err(err) => return log::debug!("sign of life from {from} left out: {err}"),
    };
    let claim = hello.claim();
    fleet.with(|fleet| {
        let near = listing.region == region;
        if fleet.readers.update(&hello.name, from, near, claim, now) {
            fleet.heard_rows.notify_waiters();
        }
        fleet
            .entries
            .record_heartbeat(&hello.name, listing, hello.ready, now);
        for named in hello.weights {
            let age = Duration::from_millis(named.age_ms);
            fleet.learn_weights(&named.model, named.version, age, now);
        }
        for news in hello.suspects {
            let Some(digest) = ContentDigest::from_slice(&news.digest) else {
                continue;
            };
            let key = SuspectKey {
                customer: news.customer,
                body_digest: digest,
            };
            fleet.suspects.record_crashes(key, news.witnesses, now);
        }
    });
}

fn take_requests(fleet: &FleetHandle, requests: EntryRequests) {
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
        fleet.upstreams.peer(&requests.name, &loads, now);
        for call in requests.refused {
            fleet.refused.record_peer_refusal(call, now);
        }
    });
    fleet.freed.notify_one();
}

fn take_load(fleet: &FleetHandle, from: SocketAddr, load: EngineLoad) {
    let now = Instant::now();
    let Ok(engine) = load.engine.parse::<SocketAddr>() else {
        return log::debug!("report from {from} names no engine");
    };
    let report = EngineReport {
        up: load.up,
        weights: Some(load.weights).filter(|version| *version > 0),
        busy: load.busy,
        active: load.active,
        queued: load.queued,
        unread: 0,
    };
    let agent = AgentState {
        region: load.region,
        holds: Some(load.holds).filter(|version| *version > 0),
        heard: now,
    };
    fleet.with(|fleet| {
        fleet.upstreams.report(engine, report, now);
        fleet.agents.insert(from, agent);
    });
    fleet.freed.notify_one();
}

/// Takes the load of another region's engines; those of this region report by themselves.
fn take_engines(fleet: &FleetHandle, region: &str, engines: &RegionEngines) {
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
    fleet.freed.notify_one();
}
