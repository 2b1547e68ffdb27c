//! Entries' shares of the common retry limit, and of the rate of cold upstreams.

use std::time::{Duration, Instant};

use agatepin_core::relay::rate_share::{ColdRateShare, RetryLimit, RetryShare};
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

/// All entries want to send to an upstream that has just turned cold, all the time or only after a
/// while. With 50 entries, each once sent one request at once; the platform allows 1.5 times the
/// rate and 5 more in any second.
#[rstest]
#[case::few(6, 36, 0)]
#[case::some(32, 24, 0)]
#[case::many(50, 15, 0)]
#[case::many_after_a_while(50, 15, 7)]
#[case::very_many(200, 15, 3)]
fn all_entries_together_stay_within_the_rate_of_a_cold_upstream(
    #[case] entries: u64,
    #[case] per_second: u32,
    #[case] idle_s: u64,
) {
    const PLAYED: Duration = Duration::from_secs(20);
    let since = Instant::now();
    let id = "cold".to_owned();
    let count = usize::try_from(entries).unwrap();
    let mut shares: Vec<_> = (0..entries).map(ColdRateShare::new).collect();
    let mut sent = Vec::new();
    let begin = since + Duration::from_secs(idle_s);
    let mut now = begin;
    while now < begin + PLAYED {
        for share in &mut shares {
            if share.allows(&id, per_second, count, since, now) {
                share.take(&id, per_second, count, since, now);
                sent.push(now);
            }
        }
        now += Duration::from_millis(10);
    }
    let allowed = 1.5 * f64::from(per_second) + 5.0;
    for from in &sent {
        let second = sent
            .iter()
            .filter(|at| **at >= *from && **at < *from + Duration::from_secs(1));
        let second = u32::try_from(second.count()).unwrap();
        assert!(f64::from(second) <= allowed, "{second} in a second");
    }
    // Half of the rate is used at least.
    let most = PLAYED.as_secs_f64() * f64::from(per_second);
    let sent = f64::from(u32::try_from(sent.len()).unwrap());
    assert!(sent >= 0.5 * most, "{sent} of {most}");
}
