//! What an entry hears from other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{ContentDigest, RegionId};
use agatepin_core::poison::SuspectKey;
use agatepin_core::relay::book::{EngineReport, EntryLoad};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::relay::datagram::{
    Datagram, DatagramBody, EngineLoad, EntryHello, EntryRequests, MAX_DATAGRAM_BYTES,
    RegionEngines,
};
use crate::relay::fleet::{AgentState, FleetHandle};

/// Pause after a failure of the socket.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Takes the datagrams of other daemons for good.
pub async fn hear(socket: Rc<UdpSocket>, fleet: FleetHandle, region: RegionId) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!(err:%; "datagram not received");
                sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        let body = match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => datagram.body,
            Err(err) => {
                log::debug!("datagram from {from} left out: {err}");
                continue;
            }
        };
        match body {
            Some(DatagramBody::Hello(hello)) => take_hello(&fleet, &region, from, hello),
            Some(DatagramBody::Load(load)) => take_load(&fleet, from, load),
            Some(DatagramBody::Requests(requests)) => take_requests(&fleet, requests),
            Some(DatagramBody::Engines(engines)) => take_engines(&fleet, &region, &engines),
            Some(DatagramBody::Roster(_)) | None => {}
        }
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
        if fleet.readers.hear(&hello.name, from, near, claim, now) {
            fleet.heard_rows.notify_waiters();
        }
        fleet.entries.heard(&hello.name, listing, hello.ready, now);
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
            fleet.suspects.learn(key, news.witnesses, now);
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
        fleet.book.peer(&requests.name, &loads, now);
        for call in requests.refused {
            fleet.refused.hear(call, now);
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
        fleet.book.report(engine, report, now);
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
            fleet.book.summarize(address, region, engine.report(), now);
        }
    });
    fleet.freed.notify_one();
}
