//! Fleets in which parts of prompts, or other causes, crash upstreams.

use std::time::Duration;

use rstest::rstest;

use super::part_model::{CrashCause, PartOutcome, play};

/// Entries and upstreams of a fleet, and the number of runs.
type FleetSize = (usize, usize, u64);

const SMALL: FleetSize = (9, 16, 40);
const LARGE: FleetSize = (50, 400, 5);

fn outcomes((entries, upstreams, runs): FleetSize, cause: CrashCause) -> Vec<PartOutcome> {
    (0..runs)
        .map(|seed| play(entries, upstreams, cause, seed))
        .collect()
}

/// Checks that hardly any sound requests were refused, and none for ten minutes.
fn check_sound_requests(outcomes: &[PartOutcome]) {
    let sum = |count: fn(&PartOutcome) -> usize| outcomes.iter().map(count).sum::<usize>();
    assert_eq!(sum(|outcome| outcome.blamed), 0);
    let popular = sum(|outcome| outcome.popular);
    let known = (
        sum(|outcome| outcome.refused[0]),
        sum(|outcome| outcome.sound[0]),
    );
    let new = (
        sum(|outcome| outcome.refused[1]),
        sum(|outcome| outcome.sound[1]),
    );
    assert!(10_000 * popular < known.1, "{popular} of {known:?}");
    assert!(1_000 * known.0 < known.1, "{known:?}");
    assert!(300 * new.0 < new.1, "{new:?}");
}

#[rstest]
#[case::small(SMALL, 1)]
#[case::large(LARGE, 1)]
#[case::two_parts(SMALL, 2)]
fn few_requests_with_a_deadly_part_reach_upstreams_and_sound_ones_are_not_refused(
    #[case] size: FleetSize,
    #[case] parts: u32,
) {
    let outcomes = outcomes(size, CrashCause::Parts(parts));
    let limit = 8 * parts as usize;
    for (seed, outcome) in outcomes.iter().enumerate() {
        assert!(
            outcome.crashes <= limit && outcome.late == 0,
            "{seed}: {outcome:?}"
        );
    }
    check_sound_requests(&outcomes);
}

/// Guards against sound parts that are blamed for crashes that happen while their requests run.
#[rstest]
#[case::rack(CrashCause::Rack)]
#[case::roll(CrashCause::Roll(Duration::from_secs(1)))]
#[case::random(CrashCause::Random(Duration::from_secs(1)))]
fn crashes_for_other_causes_refuse_no_sound_requests(
    #[case] cause: CrashCause,
    #[values(SMALL, LARGE)] size: FleetSize,
) {
    check_sound_requests(&outcomes(size, cause));
}
