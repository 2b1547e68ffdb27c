//! Model of many entries that send to the few upstreams of a plain service, in simulated time. Entries
//! know their own requests in flight at once, and those of their region with a delay.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agatepin_core::ids::UpstreamId;
use agatepin_core::relay::chooser::{
    EntryLocation, UpstreamChoice, UpstreamCriteria, choose_upstream,
};
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::upstream_rates::UpstreamRates;
use agatepin_core::relay::upstreams::{SendOutcome, UpstreamDirectory};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::setups::listing;

/// Entries of each region.
const REGIONS: [(&str, usize); 3] = [("rajshahi", 14), ("kolkata", 17), ("dhaka", 13)];
/// Step of the simulated time, and number of steps between two exchanges of loads within a region.
const STEP: Duration = Duration::from_millis(5);
const EXCHANGE_STEPS: usize = 3;
const STEPS: usize = 4_000;
/// Requests a second of all callers, and the time of each from its choice to its answer.
const REQUESTS_PER_SECOND: f64 = 90.0;
const REQUEST_TIME: Duration = Duration::from_millis(25);
/// Time after which a connection to an upstream out of reach fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Requests that an upstream runs concurrently.
const SLOTS: u32 = 6;
/// Requests that an upstream accepts beyond those.
const UPSTREAM_QUEUE: usize = 24;

struct ModelEntry {
    region: &'static str,
    region_entries: usize,
    upstreams: UpstreamDirectory,
}

struct OpenRequest {
    entry: usize,
    upstream: UpstreamId,
    ends: Instant,
    outcome: SendOutcome,
}

/// Entries without reports, and the number of their upstreams, the last of which may be out of reach.
struct ServiceModel {
    entries: Vec<ModelEntry>,
    open: Vec<OpenRequest>,
    out_of_reach: Option<UpstreamId>,
    /// Requests by whether they got a place.
    placed: usize,
    refused: usize,
    /// Most requests in flight at one upstream.
    busiest: usize,
    random: ChaCha8Rng,
}

impl ServiceModel {
    fn new(upstreams: u16, is_one_out_of_reach: bool, seed: u64, now: Instant) -> Self {
        let entries = REGIONS.iter().flat_map(|(region, count)| {
            (0..*count).map(move |_| {
                let mut directory = UpstreamDirectory::default();
                for port in 1..=upstreams {
                    let (home, _) = REGIONS[usize::from(port) % REGIONS.len()];
                    let mut listing = listing("desk", port, home);
                    listing.slots = SLOTS;
                    listing.weights = None;
                    directory.list(&format!("u{port}"), listing, now);
                }
                ModelEntry {
                    region,
                    region_entries: *count,
                    upstreams: directory,
                }
            })
        });
        Self {
            entries: entries.collect(),
            open: Vec::new(),
            out_of_reach: is_one_out_of_reach.then(|| format!("u{upstreams}")),
            placed: 0,
            refused: 0,
            busiest: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn play(&mut self, mut now: Instant) {
        let per_step = REQUESTS_PER_SECOND * STEP.as_secs_f64();
        for step in 0..STEPS {
            now += STEP;
            self.end_requests(now);
            if step % EXCHANGE_STEPS == 0 {
                self.exchange_loads(now);
            }
            if self.random.random::<f64>() < per_step {
                self.arrive(now);
            }
        }
    }

    fn end_requests(&mut self, now: Instant) {
        let ended = self.open.extract_if(.., |request| request.ends <= now);
        for request in ended {
            let upstreams = &mut self.entries[request.entry].upstreams;
            upstreams.record_outcome(&request.upstream, request.outcome, 0, now);
        }
    }

    fn exchange_loads(&mut self, now: Instant) {
        for from in 0..self.entries.len() {
            let entry = &self.entries[from];
            let (name, region) = (format!("e{from}"), entry.region);
            let loads = entry.upstreams.own_loads();
            let loads: HashMap<_, _> = loads.map(|(id, load)| (id.clone(), load)).collect();
            for (to, peer) in self.entries.iter_mut().enumerate() {
                if to == from || peer.region != region {
                    continue;
                }
                peer.upstreams.record_peer_loads(&name, &loads, now);
            }
        }
    }

    fn arrive(&mut self, now: Instant) {
        let index = self.random.random_range(0..self.entries.len());
        let jitter = self.random.random();
        let entries = self.entries.len();
        let entry = &mut self.entries[index];
        let location = EntryLocation {
            data_centre: entry.region,
            region: entry.region,
            entries,
            region_entries: entry.region_entries,
            catalog: None,
        };
        let criteria = UpstreamCriteria {
            service: "desk",
            allowed_regions: [&[], &[]],
            tried: &[],
            weights: None,
            engine: None,
            tokens: 0,
            output: StatedOutput::default(),
            answer_time: Some(REQUEST_TIME),
            time_left: Duration::from_millis(1_500),
            answer_time_left: Duration::from_millis(1_500),
            cold_requests_per_second: 0,
            engine_queue: None,
        };
        let rates = UpstreamRates::default();
        let choice = choose_upstream(&entry.upstreams, &rates, &location, &criteria, now, || {
            jitter
        });
        let UpstreamChoice::Send(id) = choice else {
            self.refused += 1;
            return;
        };
        entry.upstreams.count_request(&id, 0);
        let (time, outcome) = if self.out_of_reach.as_ref() == Some(&id) {
            (CONNECT_TIMEOUT, SendOutcome::Unreachable)
        } else {
            (REQUEST_TIME, SendOutcome::Answered)
        };
        self.placed += 1;
        let at_upstream = self.open.iter().filter(|request| request.upstream == id);
        self.busiest = self.busiest.max(at_upstream.count() + 1);
        self.open.push(OpenRequest {
            entry: index,
            upstream: id,
            ends: now + time,
            outcome,
        });
    }
}

/// Guards against a small service that many entries share and that refuses requests although most of its
/// places are free: one request in flight from any entry of a region made an upstream full for all of them.
#[rstest]
#[case::one_upstream(1, false)]
#[case::three_upstreams(3, false)]
#[case::one_of_three_out_of_reach(3, true)]
fn a_small_service_with_free_places_refuses_nothing(
    #[case] upstreams: u16,
    #[case] is_one_out_of_reach: bool,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let now = Instant::now();
    let mut model = ServiceModel::new(upstreams, is_one_out_of_reach, seed, now);
    model.play(now);
    assert_eq!((model.refused, model.placed > 0), (0, true));
    let most = SLOTS as usize + UPSTREAM_QUEUE;
    assert!(model.busiest <= most, "{} in flight", model.busiest);
}
