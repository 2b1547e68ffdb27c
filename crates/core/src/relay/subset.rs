//! Subsets of entries that each agent communicates with. They keep the traffic of each process
//! bounded as the fleet grows.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::RegionId;
use crate::rank;

/// Number of entries that send an agent the roster (the known agents and entries, and the announced
/// weights versions). With three, two may fail at the same time.
pub const SENDERS_PER_AGENT: usize = 3;
/// Maximum number of entries of its region to which an agent reports each change.
pub const MAX_REPORT_RECEIVERS: usize = 16;

/// Shortest interval between two reports of an agent on its engine's load.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Longest such interval: half the age up to which entries use a report.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Number of reports a second that an entry receives from the agents of its region, at most, as long as
/// that needs no longer interval than [`MAX_REPORT_INTERVAL`].
const MAX_REPORTS_PER_SECOND: u32 = 300;

/// Entries that send the roster to `agent`: up to [`SENDERS_PER_AGENT`] of its region if there are
/// any, else as many of other regions. `entries` are the known entries with their regions.
#[must_use]
pub fn senders(
    agent: SocketAddr,
    region: &RegionId,
    entries: &[(SocketAddr, &RegionId)],
) -> Vec<SocketAddr> {
    let same_region = report_receivers(agent, region, entries);
    let mut chosen = if same_region.is_empty() {
        ranked(agent, entries.iter().map(|(entry, _)| *entry))
    } else {
        same_region
    };
    chosen.truncate(SENDERS_PER_AGENT);
    chosen
}

/// Entries of its region to which `agent` reports each change. `agent` is identified by its address
/// and runs in `region`. It reports to other entries less often.
#[must_use]
pub fn report_receivers(
    agent: SocketAddr,
    region: &RegionId,
    entries: &[(SocketAddr, &RegionId)],
) -> Vec<SocketAddr> {
    let same_region = entries
        .iter()
        .filter(|(_, entry_region)| *entry_region == region);
    let mut chosen = ranked(agent, same_region.map(|(entry, _)| *entry));
    chosen.truncate(MAX_REPORT_RECEIVERS);
    chosen
}

/// Entries in the order of their rendezvous hashing scores for `agent`, highest first.
fn ranked<Entries>(agent: SocketAddr, entries: Entries) -> Vec<SocketAddr>
where
    Entries: Iterator<Item = SocketAddr>,
{
    let own = seed(agent);
    let mut chosen: Vec<SocketAddr> = entries.collect();
    chosen.sort_unstable_by_key(|entry| (Reverse(rank::score_seeds(own, seed(*entry))), *entry));
    chosen
}

fn seed(address: SocketAddr) -> u64 {
    rank::seed(address.to_string().as_bytes())
}

/// Interval at which an agent reads its engine's load and reports a change, in a region with `agents`
/// agents. It grows with them, so that the work of an entry, which receives the reports of all, does
/// not.
#[must_use]
pub fn report_interval(agents: usize) -> Duration {
    let agents = u32::try_from(agents).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(agents) / MAX_REPORTS_PER_SECOND;
    interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
}
