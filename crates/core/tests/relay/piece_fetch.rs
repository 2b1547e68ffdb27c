//! Fetch of a version by fleets of several sizes, in simulated time.

use std::time::Duration;

use rstest::rstest;

use super::fleet_model::{FleetFaults, FleetSpec, ORIGIN_CONNECTIONS, play};

#[rstest]
fn print_figures() {
    for (regions, agents, pieces, piece_bytes, agent_mbps, region_mbps, origin_mbps) in [
        (3, 20, 96, 24_576, 7.3, 21.0, 7.3),
        (3, 45, 96, 24_576, 7.3, 25.0, 7.3),
        (5, 156, 48, 49_152, 9.4, 36.0, 15.0),
        (6, 600, 48, 49_152, 9.4, 36.0, 15.0),
    ] {
        for (fetchers, parallel, uploads) in [(16, 4, 6)] {
            let spec = FleetSpec { regions, agents, pieces, piece_bytes, agent_mbps, region_mbps, origin_mbps, fetchers, parallel, uploads };
            let limit = Duration::from_secs(15);
            let none = FleetFaults::default();
            for (name, faults) in [
                ("none", none),
                ("dead", FleetFaults { dead_percent: 10, ..none }),
                ("views", FleetFaults { unknown_percent: 20, ..none }),
                ("alone", FleetFaults { alone: Duration::from_secs(1), ..none }),
                ("origin", FleetFaults { origin_down: Duration::from_secs(2), ..none }),
            ] {
                if name != "none" && (fetchers, parallel, uploads) != (16, 4, 6) { continue; }
                let outcome = play(spec, faults, limit, 7);
                println!("{agents} f={fetchers} p={parallel} u={uploads} {name}: {outcome:?}");
            }
        }
    }
    assert!(ORIGIN_CONNECTIONS == 48);
}
