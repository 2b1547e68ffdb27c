//! Entries' shares of the common retry limit, and of the rate of cold upstreams.

use std::time::{Duration, Instant};

use agatepin_core::relay::rate_share::{RateShare, RetryLimit, RetryShare, SharedRate};
use agatepin_core::relay::stated_limit::RequestRate;
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
    let rate = SharedRate::cold(per_second, since);
    let id = "cold".to_owned();
    let count = usize::try_from(entries).unwrap();
    let mut shares: Vec<_> = (0..entries).map(RateShare::new).collect();
    let mut sent = Vec::new();
    let begin = since + Duration::from_secs(idle_s);
    let mut now = begin;
    while now < begin + PLAYED {
        for share in &mut shares {
            if share.wait(&id, &rate, count, now).is_zero() {
                share.take(&id, &rate, count, now);
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

/// Length of the span in which the requests to an upstream with a stated limit are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Requests that entries send to an upstream which states a limit, in simulated time.
struct LimitedUpstream {
    rate: RequestRate,
    since: Instant,
    shares: Vec<RateShare>,
    /// Times of the requests of all entries.
    sent: Vec<Instant>,
}

impl LimitedUpstream {
    fn new(entries: usize, per_second: f64, since: Instant) -> Self {
        let seeds = 0..u64::try_from(entries).unwrap();
        Self {
            rate: RequestRate::from_per_second(per_second).unwrap(),
            since,
            shares: seeds.map(RateShare::new).collect(),
            sent: Vec::new(),
        }
    }

    /// Lets the entries that `is_busy` names by their number want to send in each step of `span`.
    fn play<Busy>(&mut self, from: Instant, span: Duration, is_busy: Busy)
    where
        Busy: Fn(usize) -> bool,
    {
        let id = "limited".to_owned();
        let rate = SharedRate::stated(self.rate, self.since);
        let entries = self.shares.len();
        let mut now = from;
        while now < from + span {
            let busy = self.shares.iter_mut().enumerate();
            for (_, share) in busy.filter(|(number, _)| is_busy(*number)) {
                if share.wait(&id, &rate, entries, now).is_zero() {
                    share.take(&id, &rate, entries, now);
                    self.sent.push(now);
                }
            }
            now += STEP;
        }
    }

    /// Checks the platform's bound in each span.
    fn check(&self) {
        let allowed = 1.5 * self.rate.per_second() * SPAN.as_secs_f64() + 5.0;
        for from in &self.sent {
            let within = self
                .sent
                .iter()
                .filter(|at| **at >= *from && **at < *from + SPAN);
            let within = u32::try_from(within.count()).unwrap();
            assert!(f64::from(within) <= allowed, "{within} of {allowed}");
        }
    }
}

/// Guards against entries that each send the whole limit, or a first request each, to an upstream that
/// states one: all the time, only after a while, and only some of them.
#[rstest]
fn all_entries_together_stay_within_a_stated_limit(
    #[values(1, 2, 9, 30, 50, 200)] entries: usize,
    #[values(0.0, 0.01, 0.5, 4.0, 14.0, 100.0)] per_second: f64,
    #[values(0, 7)] idle_s: u64,
    #[values(1, 3)] busy_share: usize,
) {
    let since = Instant::now();
    let mut upstream = LimitedUpstream::new(entries, per_second, since);
    let begin = since + Duration::from_secs(idle_s);
    let is_busy = |number| number % busy_share == 0;
    upstream.play(begin, Duration::from_secs(20), is_busy);
    // A pause in which unused tokens could pile up, and then all entries at once.
    upstream.play(
        begin + Duration::from_mins(1),
        Duration::from_secs(10),
        |_| true,
    );
    upstream.check();
}

/// Guards against shares that leave most of a limit unused while callers wait.
#[rstest]
fn entries_that_are_busy_use_a_stated_limit(
    #[values(1, 9, 50)] entries: usize,
    #[values(4.0, 14.0, 100.0)] per_second: f64,
) {
    const PLAYED: Duration = Duration::from_mins(1);
    let since = Instant::now();
    let mut upstream = LimitedUpstream::new(entries, per_second, since);
    upstream.play(since, PLAYED, |_| true);
    let sent = f64::from(u32::try_from(upstream.sent.len()).unwrap());
    let stated = per_second * PLAYED.as_secs_f64();
    assert!(sent >= 0.9 * stated, "{sent} of {stated}");
}

/// Guards against an upstream of which nobody learns that its limit has ended, as it gets no request.
#[test]
fn an_upstream_that_wants_no_requests_is_asked_now_and_then() {
    let since = Instant::now();
    let mut upstream = LimitedUpstream::new(9, 0.0, since);
    upstream.play(since, Duration::from_mins(1), |_| true);
    assert!(
        (2..=10).contains(&upstream.sent.len()),
        "{}",
        upstream.sent.len()
    );
}
