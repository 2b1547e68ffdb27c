//! Link budgets never grant more than their burst and rate allow.

use std::time::{Duration, Instant};

use agatepin_core::budget::LinkBudget;
use proptest::prelude::*;

/// Burst of the budgets, in bytes.
const BURST: u64 = 1_000;

#[test]
fn rate_of_zero_does_not_limit() {
    let now = Instant::now();
    let mut budget = LinkBudget::new(0, BURST, now);
    for _ in 0..1_000 {
        assert_eq!(budget.try_take(u64::MAX, now), Ok(()));
    }
}

proptest! {
    /// The bytes granted in any interval are at most the sum of the burst, the size of the last
    /// grant and the rate times the interval.
    #[test]
    fn grants_in_any_interval_stay_within_burst_and_rate(
        rate in 1u64..1_000_000,
        requests in prop::collection::vec((1u64..3_000, 0u64..20_000_000), 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut budget = LinkBudget::new(rate, BURST, start);
        let mut granted: Vec<(Duration, u64)> = Vec::new();
        for (bytes, pause) in requests {
            now += Duration::from_nanos(pause);
            if budget.try_take(bytes, now).is_ok() {
                granted.push((now.saturating_duration_since(start), bytes));
            }
        }
        for first in 0..granted.len() {
            let mut sum = 0;
            for (at, bytes) in &granted[first..] {
                sum += u128::from(*bytes);
                let span = at.saturating_sub(granted[first].0).as_nanos();
                let refilled = span * u128::from(rate) / 1_000_000_000;
                prop_assert!(sum <= u128::from(BURST + bytes) + refilled + 1);
            }
        }
    }

    #[test]
    fn request_is_granted_after_the_returned_wait(rate in 1u64..1_000_000, first in 1u64..5_000, second in 1u64..5_000) {
        let now = Instant::now();
        let mut budget = LinkBudget::new(rate, BURST, now);
        prop_assert!(budget.try_take(first, now).is_ok());
        if let Err(wait) = budget.try_take(second, now) {
            prop_assert!(budget.try_take(second, now + wait).is_ok());
        }
    }
}
