//! Subsets of entries that each agent communicates with.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use agatepin_core::ids::RegionId;
use agatepin_core::relay::subset::{
    MAX_REPORT_RECEIVERS, SENDERS_PER_AGENT, report_interval, report_receivers, senders,
};
use agatepin_core::relay::upstreams::REPORT_TTL;

fn entries(regions: &[RegionId], per_region: u8) -> Vec<(SocketAddr, &RegionId)> {
    let numbered = regions.iter().zip(0u8..);
    let all = numbered.flat_map(|(region, region_index)| {
        (0..per_region).map(move |at| (SocketAddr::from(([10, region_index, 0, at], 7700)), region))
    });
    all.collect()
}

fn agent(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 64, at], 7700))
}

fn regions() -> Vec<RegionId> {
    vec!["a".to_owned(), "b".to_owned()]
}

#[test]
fn an_agent_has_a_bounded_number_of_senders_and_receivers_in_its_region() {
    let regions = regions();
    let entries = entries(&regions, 200);
    for at in 0..100 {
        let senders = senders(agent(at), &regions[1], &entries);
        let report_receivers = report_receivers(agent(at), &regions[1], &entries);
        assert_eq!(
            (senders.len(), report_receivers.len()),
            (SENDERS_PER_AGENT, MAX_REPORT_RECEIVERS)
        );
        assert!(report_receivers.starts_with(&senders));
        assert!(
            report_receivers
                .iter()
                .all(|entry| entry.to_string().starts_with("10.1.0."))
        );
    }
}

#[test]
fn agents_are_distributed_evenly_over_their_senders() {
    let regions = regions();
    let entries = entries(&regions, 10);
    let mut agents_by_sender: HashMap<SocketAddr, usize> = HashMap::new();
    for at in 0..100 {
        for sender in senders(agent(at), &regions[1], &entries) {
            *agents_by_sender.entry(sender).or_default() += 1;
        }
    }
    assert_eq!(agents_by_sender.len(), 10);
    // Each of the ten entries sends to 30 agents on average.
    assert!(
        agents_by_sender.values().all(|count| *count < 60),
        "{agents_by_sender:?}"
    );
}

#[test]
fn an_agent_without_an_entry_in_its_region_has_senders_elsewhere() {
    let regions = regions();
    let mut entries = entries(&regions, 4);
    entries.retain(|(_, region)| **region == regions[0]);
    assert_eq!(
        senders(agent(1), &regions[1], &entries).len(),
        SENDERS_PER_AGENT
    );
    assert!(report_receivers(agent(1), &regions[1], &entries).is_empty());
}

#[test]
fn removing_an_entry_changes_only_the_senders_of_its_agents() {
    let regions = regions();
    let all = entries(&regions, 10);
    let lost = all[13].0;
    let remaining: Vec<_> = all
        .iter()
        .copied()
        .filter(|(entry, _)| *entry != lost)
        .collect();
    for at in 0..100 {
        let before = senders(agent(at), &regions[1], &all);
        let after = senders(agent(at), &regions[1], &remaining);
        if before.contains(&lost) {
            assert!(
                before
                    .iter()
                    .filter(|e| **e != lost)
                    .all(|e| after.contains(e))
            );
        } else {
            assert_eq!(before, after);
        }
    }
}

/// Each agent of a region reports to each entry of it.
#[test]
fn an_entry_gets_a_bounded_number_of_reports_a_second() {
    for agents in [1, 4, 20, 31, 53, 100] {
        let reports = 1.0 / report_interval(agents).as_secs_f64();
        let all = reports * f64::from(u32::try_from(agents).unwrap());
        assert!(all <= 301.0, "{agents} agents send {all} reports a second");
    }
    // Small regions have the load as fresh as before, large ones while it is still used.
    assert_eq!(report_interval(20), Duration::from_millis(80));
    assert!(report_interval(10_000) * 2 <= REPORT_TTL);
}
