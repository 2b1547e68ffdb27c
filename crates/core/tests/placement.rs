//! Placement of models: number of replicas, allowed data centres and stability.

use std::collections::BTreeSet;

use agatepin_core::config::{ClusterConfig, DataCentreSpec, ModelSpec, UpstreamKind, UpstreamSpec};
use agatepin_core::placement::{self, PlacementMap};
use proptest::prelude::*;
use rstest::rstest;

fn cluster(engines: usize, models: &[(&str, u32)]) -> ClusterConfig {
    let mut config = ClusterConfig {
        revision: 1,
        ..ClusterConfig::default()
    };
    for centre in 0..3 {
        let spec = DataCentreSpec {
            region: format!("r{}", centre / 2),
            out: false,
        };
        config.data_centres.insert(format!("d{centre}"), spec);
    }
    for index in 0..engines {
        let spec = UpstreamSpec {
            data_centre: format!("d{}", index % 3),
            kind: UpstreamKind::Engine,
            checks_order_numbers: true,
            reports_load: true,
            may_repeat_calls: true,
            cold_limit: 1,
            warm_limit: 4,
            memory_bytes: 0,
        };
        config.upstreams.insert(format!("u{index:03}"), spec);
    }
    for (name, replicas) in models {
        let spec = ModelSpec {
            version: "v1".into(),
            replicas: *replicas,
            data_centres: Vec::new(),
            base: None,
        };
        config.models.insert((*name).into(), spec);
    }
    config
}

fn names(config: &ClusterConfig) -> BTreeSet<String> {
    config.upstreams.keys().cloned().collect()
}

fn holders(placed: &PlacementMap, model: &str) -> Vec<String> {
    let held = placed.iter().filter(|(_, held)| *held == model);
    held.map(|(name, _)| name.clone()).collect()
}

#[rstest]
#[case::enough(9, 4, 4)]
#[case::all(9, 9, 9)]
#[case::too_few(9, 20, 9)]
#[case::none(9, 0, 0)]
fn replicas_are_limited_by_the_number_of_engines(
    #[case] engines: usize,
    #[case] replicas: u32,
    #[case] placed: usize,
) {
    let config = cluster(engines, &[("press", replicas)]);
    let map = placement::place_all(&config, &names(&config));
    assert_eq!(holders(&map, "press").len(), placed);
}

#[test]
fn replicas_are_spread_over_data_centres() {
    let config = cluster(30, &[("press", 6)]);
    let map = placement::place_all(&config, &names(&config));
    let mut counts = [0; 3];
    for name in holders(&map, "press") {
        let index: usize = name[1..].parse().unwrap();
        counts[index % 3] += 1;
    }
    assert_eq!(counts, [2, 2, 2]);
}

#[test]
fn only_engines_in_allowed_data_centres_hold_a_model() {
    let mut config = cluster(9, &[("press", 9)]);
    config.models.get_mut("press").unwrap().data_centres = vec!["d1".into()];
    config.upstreams.get_mut("u001").unwrap().kind = UpstreamKind::Service("desk".into());
    let map = placement::place_all(&config, &names(&config));
    assert_eq!(holders(&map, "press"), ["u004", "u007"]);
}

#[test]
fn replicas_in_a_data_centre_out_of_service_stay_and_are_replaced() {
    let mut config = cluster(30, &[("desk", 6), ("press", 6)]);
    let live = names(&config);
    let before = placement::place_all(&config, &live);
    config.data_centres.get_mut("d0").unwrap().out = true;
    let after = placement::place_all(&config, &live);
    for (name, model) in &before {
        assert_eq!(after.get(name), Some(model));
    }
    for name in after.keys().filter(|name| !before.contains_key(*name)) {
        assert_ne!(config.upstreams[name].data_centre, "d0");
    }
    for model in ["desk", "press"] {
        let held = holders(&after, model);
        let serving = held
            .iter()
            .filter(|name| config.upstreams[*name].data_centre != "d0");
        assert_eq!(serving.count(), 6);
    }
}

#[test]
fn new_version_does_not_change_the_placement() {
    let mut config = cluster(30, &[("press", 6)]);
    let live = names(&config);
    let before = placement::place_all(&config, &live);
    config.models.get_mut("press").unwrap().version = "v2".into();
    assert_eq!(placement::place_all(&config, &live), before);
    let holder = holders(&before, "press").remove(0);
    let placed = placement::place(&config, &live, &holder).unwrap();
    assert_eq!(placed.version, "v2");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn dead_upstreams_move_no_model_between_live_ones(
        engines in 6usize..40,
        desk in 1u32..6,
        press in 1u32..6,
        dead in prop::collection::btree_set(0usize..40, 0..6),
    ) {
        let config = cluster(engines, &[("desk", desk), ("press", press)]);
        let all = names(&config);
        let before = placement::place_all(&config, &all);
        let mut live = all.clone();
        for index in dead {
            live.remove(&format!("u{index:03}"));
        }
        let after = placement::place_all(&config, &live);
        for name in &live {
            if let Some(model) = before.get(name) {
                prop_assert_eq!(after.get(name), Some(model));
            }
        }
        let wanted = (desk + press) as usize;
        let held = after.keys().filter(|name| live.contains(*name)).count();
        prop_assert_eq!(held, wanted.min(live.len()));
    }
}
