use std::time::{Duration, Instant};

use agatepin_core::relay::rate_share::{RetryLimit, RetryShare};
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);

fn retry_limit() -> RetryLimit {
    RetryLimit {
        per_thousand: 200,
        extra: 100,
        window: WINDOW,
    }
}

/// All entries together stay below what the platform allows in any window, with every entry
/// repeating whenever its share lets it.
#[rstest]
#[case(1)]
#[case(6)]
#[case(9)]
fn entries_together_keep_the_fleets_allowance(#[case] entries: usize) {
    let start = Instant::now();
    let mut shares: Vec<_> = (0..entries)
        .map(|_| RetryShare::new(retry_limit(), start))
        .collect();
    let mut repeats = Vec::new();
    for tick in 0..3_000_u32 {
        let now = start + Duration::from_millis(10) * tick;
        for rate_share in &mut shares {
            rate_share.request();
            if rate_share.try_retry(entries, now) {
                repeats.push(now);
            }
        }
    }
    let requests_a_window = 1_000 * entries;
    let allowed = requests_a_window / 5 + 100;
    let most = repeats.iter().map(|from| {
        let within = repeats
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW);
        within.count()
    });
    assert!(most.max().unwrap() <= allowed);
    assert!(repeats.len() > allowed, "the share is spent, not hoarded");
}
