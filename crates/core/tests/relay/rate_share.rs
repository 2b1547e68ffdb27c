//! Entries' shares of the common retry limit.

use std::time::{Duration, Instant};

use agatepin_core::relay::rate_share::{RetryLimit, RetryShare};
use rstest::rstest;

/// Window in which retries are limited.
const WINDOW: Duration = Duration::from_secs(10);

fn retry_limit() -> RetryLimit {
    RetryLimit {
        per_thousand: 200,
        extra: 100,
        window: WINDOW,
    }
}

/// All entries together stay within the platform's limit in any window, even if each entry retries
/// whenever its share allows it.
#[rstest]
#[case(1)]
#[case(6)]
#[case(9)]
fn all_entries_together_stay_within_the_retry_limit(#[case] entries: usize) {
    let start = Instant::now();
    let mut shares: Vec<_> = (0..entries)
        .map(|_| RetryShare::new(retry_limit(), start))
        .collect();
    let mut retries = Vec::new();
    for tick in 0..3_000_u32 {
        let now = start + Duration::from_millis(10) * tick;
        for share in &mut shares {
            share.record_request();
            if share.try_retry(entries, now) {
                retries.push(now);
            }
        }
    }
    let requests_per_window = 1_000 * entries;
    let allowed = requests_per_window / 5 + 100;
    let most = retries.iter().map(|from| {
        let within = retries
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW);
        within.count()
    });
    assert!(most.max().unwrap() <= allowed);
    assert!(retries.len() > allowed, "the shares should be used up");
}
