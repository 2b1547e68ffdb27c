//! Subsets of the fleet that talk to each other.

use std::collections::HashMap;
use std::net::SocketAddr;

use agatepin_core::ids::RegionId;
use agatepin_core::relay::subset::{TELLERS, WATCHERS, report_receivers, senders};

fn entries(regions: &[RegionId], each: u8) -> Vec<(SocketAddr, &RegionId)> {
    let numbered = regions.iter().zip(0u8..);
    let all = numbered.flat_map(|(region, zone)| {
        (0..each).map(move |at| (SocketAddr::from(([10, zone, 0, at], 7700)), region))
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
fn an_agent_has_a_bounded_number_of_tellers_and_watchers_in_its_region() {
    let regions = regions();
    let entries = entries(&regions, 200);
    for at in 0..100 {
        let senders = senders(agent(at), &regions[1], &entries);
        let report_receivers = report_receivers(agent(at), &regions[1], &entries);
        assert_eq!((senders.len(), report_receivers.len()), (TELLERS, WATCHERS));
        assert!(report_receivers.starts_with(&senders));
        assert!(
            report_receivers
                .iter()
                .all(|entry| entry.to_string().starts_with("10.1.0."))
        );
    }
}

#[test]
fn no_entry_tells_many_more_agents_than_others() {
    let regions = regions();
    let entries = entries(&regions, 10);
    let mut told: HashMap<SocketAddr, usize> = HashMap::new();
    for at in 0..100 {
        for teller in senders(agent(at), &regions[1], &entries) {
            *told.entry(teller).or_default() += 1;
        }
    }
    assert_eq!(told.len(), 10);
    // 30 each on average.
    assert!(told.values().all(|count| *count < 60), "{told:?}");
}

#[test]
fn an_agent_whose_region_has_no_entry_is_told_from_elsewhere() {
    let regions = regions();
    let mut entries = entries(&regions, 4);
    entries.retain(|(_, region)| **region == regions[0]);
    assert_eq!(senders(agent(1), &regions[1], &entries).len(), TELLERS);
    assert!(report_receivers(agent(1), &regions[1], &entries).is_empty());
}

#[test]
fn the_loss_of_an_entry_moves_only_its_agents() {
    let regions = regions();
    let all = entries(&regions, 10);
    let lost = all[13].0;
    let left: Vec<_> = all
        .iter()
        .copied()
        .filter(|(entry, _)| *entry != lost)
        .collect();
    for at in 0..100 {
        let before = senders(agent(at), &regions[1], &all);
        let after = senders(agent(at), &regions[1], &left);
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
