//! Memory of engines for prompts and answers, and its effect on the choice.

use std::time::Instant;

use agatepin_core::relay::chooser::UpstreamChoice;
use agatepin_core::relay::full_cause::FullCause;
use agatepin_core::relay::request_size::StatedOutput;
use agatepin_core::relay::upstreams::{
    EngineMemory, EngineReport, REPORT_TTL, UpstreamDirectory, UpstreamState,
};
use rstest::rstest;

use super::setups::{engine, listing};
use super::speed::chosen_with;

/// Upstream of the tests; the model of [`engine`] has 16 layers.
const ID: &str = "u1";
const LAYERS: u32 = 16;

/// The upstream with a report of this memory, in tokens; 0 for none.
fn upstream(used: u64, max: u64, now: Instant) -> UpstreamDirectory {
    let mut upstreams = UpstreamDirectory::default();
    upstreams.list(&ID.to_owned(), listing("desk", 1, "thies"), now);
    let layers = u64::from(LAYERS);
    upstreams.report(
        listing("desk", 1, "thies").address,
        report(used * layers, max * layers),
        now,
    );
    upstreams
}

fn report(used: u64, max: u64) -> EngineReport {
    EngineReport {
        up: true,
        weights: Some(1),
        memory: (max > 0).then_some(EngineMemory { used, max }),
        ..EngineReport::default()
    }
}

fn state(upstreams: &UpstreamDirectory) -> &UpstreamState {
    upstreams.get(ID).unwrap()
}

/// Guards against engines that crash, or preempt requests, as more is sent than their memory holds. The
/// request has a prompt of 1,000 tokens and the mean of 120 output tokens unless it states another number.
#[rstest]
#[case::fits(8_880, 10_000, None, true)]
#[case::too_long_by_a_token(8_881, 10_000, None, false)]
#[case::hint(8_500, 10_000, Some(501), false)]
#[case::not_reported(0, 0, Some(1_000_000), true)]
#[case::more_used_than_there_is(20_000, 10_000, None, false)]
fn an_engine_without_memory_for_the_request_is_full(
    #[case] used: u64,
    #[case] max: u64,
    #[case] hint: Option<u32>,
    #[case] is_sent: bool,
) {
    let now = Instant::now();
    let spec = engine();
    let output = StatedOutput { hint, limit: None };
    let expected = if is_sent {
        UpstreamChoice::Send(ID.to_owned())
    } else {
        UpstreamChoice::Full(FullCause::Memory)
    };
    let upstreams = upstream(used, max, now);
    assert_eq!(chosen_with(&upstreams, Some(&spec), output, now), expected);
}

/// Guards against several requests that are sent into the same free memory between two reports.
#[test]
fn requests_sent_since_the_report_take_memory_until_the_next_one() {
    let now = Instant::now();
    let mut upstreams = upstream(0, 10_000, now);
    let fits =
        |upstreams: &UpstreamDirectory, tokens| state(upstreams).has_memory(tokens, LAYERS, now);
    upstreams.count_request(ID, 1_000);
    upstreams.count_output(ID, 500);
    assert!(fits(&upstreams, 8_500) && !fits(&upstreams, 8_501));
    // Their prompts are prefilled, and the next report counts them.
    upstreams.answer_started(ID, 1_000);
    assert!(!fits(&upstreams, 8_501));
    let address = listing("desk", 1, "thies").address;
    upstreams.report(address, report(0, 160_000), now);
    assert!(fits(&upstreams, 10_000));
    // A summary of another region may not include yet what was sent before it.
    upstreams.count_request(ID, 1_000);
    upstreams.answer_started(ID, 1_000);
    upstreams.apply_summary(address, "dakar", report(0, 160_000), now);
    assert!(!fits(&upstreams, 9_001));
    upstreams.apply_summary(address, "dakar", report(0, 160_000), now);
    assert!(fits(&upstreams, 10_000));
}

#[test]
fn memory_of_a_stale_report_or_an_earlier_life_does_not_count() {
    let now = Instant::now();
    let mut upstreams = upstream(10_000, 10_000, now);
    assert!(!state(&upstreams).has_memory(1, LAYERS, now));
    // Without the number of layers, the memory that a token takes is not known.
    assert!(state(&upstreams).has_memory(1, 0, now));
    assert!(state(&upstreams).has_memory(1, LAYERS, now + REPORT_TTL));
    let mut restarted = listing("desk", 1, "thies");
    restarted.born = 2;
    upstreams.list(&ID.to_owned(), restarted, now);
    assert!(state(&upstreams).has_memory(1, LAYERS, now));
}

#[test]
fn the_largest_figures_do_not_overflow() {
    let now = Instant::now();
    let mut upstreams = upstream(0, 1, now);
    let address = listing("desk", 1, "thies").address;
    upstreams.report(address, report(u64::MAX, u64::MAX), now);
    upstreams.count_request(ID, u32::MAX);
    upstreams.count_output(ID, u32::MAX);
    assert!(state(&upstreams).has_memory(u64::MAX, u32::MAX, now));
}
