//! Rates of the links, scaled down in proportion to the model.
//!
//! In the time window the origin's link carries four copies of the model and the link of each
//! machine two. The link between regions carries two as well: this is the case of a model of 470 MB
//! that has to be distributed in five minutes over a link of 25 Mbit/s. The senders of a region
//! share that link in equal parts.

use std::time::Duration;

/// Size of the model in bytes.
pub const MODEL_BYTES: u64 = 4 * 1024 * 1024;
/// Size of a chunk in bytes.
pub const CHUNK_BYTES: u64 = 64 * 1024;
/// Copies of the model that the origin's link carries in the window.
const ORIGIN_COPIES: u64 = 4;
/// Copies that the uplink of a machine carries in the window.
const MACHINE_COPIES: u64 = 2;
/// Copies that the link between regions carries in the window, each way.
const REGION_COPIES: u64 = 2;
/// Agents of a region that fetch from other regions at once.
const FETCHERS_PER_REGION: u64 = 4;

/// Rates of the links in bytes per second, and the time limit after which agents fetch a chunk
/// themselves.
#[derive(Clone, Debug)]
pub struct LinkScale {
    /// Rate of the origin, over all of its clients.
    pub origin_bytes: u64,
    /// Rate of a machine's uplink.
    pub uplink_bytes: u64,
    /// Rate of the link between regions, each way.
    pub region_bytes: u64,
    /// Time without progress after which the next agent in rank fetches a chunk itself.
    pub takeover: Duration,
}

impl LinkScale {
    /// Rates for a window of `window` seconds.
    pub fn new(window: u64) -> Self {
        Self {
            origin_bytes: ORIGIN_COPIES * MODEL_BYTES / window,
            uplink_bytes: MACHINE_COPIES * MODEL_BYTES / window,
            region_bytes: REGION_COPIES * MODEL_BYTES / window,
            takeover: Duration::from_secs(1),
        }
    }

    /// Rate at which each agent may send to other regions: an equal share of the link between
    /// regions, as four agents of a region fetch for all others in it.
    pub fn region_share(&self) -> u64 {
        self.region_bytes / FETCHERS_PER_REGION
    }

    /// Lower bound, in seconds, of the time to distribute the model to `count` agents: it has to
    /// leave the origin once, to cross the link between regions once, and the uplinks of all agents
    /// together have to carry a copy for each agent but one.
    #[allow(clippy::cast_precision_loss)]
    pub fn lower_bound(&self, count: usize) -> f64 {
        let model = MODEL_BYTES as f64;
        let count = count as f64;
        let origin = model / self.origin_bytes as f64;
        let region = model / self.region_bytes as f64;
        let uplinks = model * (count - 1.0) / (count * self.uplink_bytes as f64);
        origin.max(region).max(uplinks)
    }
}
