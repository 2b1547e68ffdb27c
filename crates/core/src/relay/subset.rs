//! Which entries and agents talk to each other: subsets keep the traffic of a daemon bounded as the
//! fleet grows.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::ids::RegionId;
use crate::rank;

/// Entries that tell an agent of the fleet: two may fail at once.
pub const TELLERS: usize = 3;
/// Entries of its region that an agent reports each change to.
pub const WATCHERS: usize = 16;

/// Entries that tell `agent` of the fleet, of its region where there are any.
#[must_use]
pub fn senders(
    agent: SocketAddr,
    region: &RegionId,
    entries: &[(SocketAddr, &RegionId)],
) -> Vec<SocketAddr> {
    let near = report_receivers(agent, region, entries);
    let mut found = if near.is_empty() {
        ranked(agent, entries.iter().map(|(entry, _)| *entry))
    } else {
        near
    };
    found.truncate(TELLERS);
    found
}

/// Entries that `agent` reports each change to; others are told now and then.
#[must_use]
pub fn report_receivers(
    agent: SocketAddr,
    region: &RegionId,
    entries: &[(SocketAddr, &RegionId)],
) -> Vec<SocketAddr> {
    let near = entries.iter().filter(|(_, place)| *place == region);
    let mut found = ranked(agent, near.map(|(entry, _)| *entry));
    found.truncate(WATCHERS);
    found
}

fn ranked<Entries>(agent: SocketAddr, entries: Entries) -> Vec<SocketAddr>
where
    Entries: Iterator<Item = SocketAddr>,
{
    let own = seed(agent);
    let mut found: Vec<SocketAddr> = entries.collect();
    found.sort_unstable_by_key(|entry| (Reverse(rank::score_seeds(own, seed(*entry))), *entry));
    found
}

fn seed(address: SocketAddr) -> u64 {
    rank::seed(address.to_string().as_bytes())
}
