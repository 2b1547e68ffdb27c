//! Requests that are taken during a shutdown.

use std::time::{Duration, Instant};

use agatepin_core::relay::catalog::RequestKind;
use agatepin_core::relay::shutdown::ShutdownTimes;
use rstest::rstest;

#[rstest]
#[case::early_and_short(1, 2, true, true)]
#[case::early_and_long(1, 9, true, false)]
#[case::late_and_short(4, 5, true, true)]
#[case::late_and_long(4, 9, false, false)]
#[case::after_the_end(7, 8, false, false)]
fn requests_taken_during_a_shutdown(
    #[case] arrival_s: u64,
    #[case] deadline_s: u64,
    #[case] repeatable: bool,
    #[case] others: bool,
) {
    let begin = Instant::now();
    let at = |seconds| begin + Duration::from_secs(seconds);
    let times = ShutdownTimes {
        cached_until: at(3),
        stop_at: at(6),
    };
    for (kind, taken) in [
        (RequestKind::Idempotent, repeatable),
        (RequestKind::ResumableStream, repeatable),
        (RequestKind::NonIdempotent, others),
        (RequestKind::Stream, others),
    ] {
        let admitted = times.admits(kind, at(deadline_s), at(arrival_s));
        assert_eq!(admitted, taken, "{kind:?}");
    }
}
