//! Splitting and resumption of event streams.

use agatepin_core::relay::events::{
    EventError, EventSplitter, MAX_EVENT_BYTES, MAX_UNNUMBERED_BYTES,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A stream of the events `from..=to`; every third one has CRLF line ends.
fn stream(from: u64, to: u64) -> Vec<u8> {
    let mut out = Vec::new();
    for id in from..=to {
        let end = if id % 3 == 0 { "\r\n" } else { "\n" };
        out.extend_from_slice(format!("id: {id}{end}data: token {id}{end}{end}").as_bytes());
    }
    out
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// However a stream is split into reads, all its bytes come out in order.
    #[test]
    fn split_reads_do_not_change_a_stream(cuts in prop::collection::vec(1_usize..40, 1..60)) {
        let whole = stream(1, 12);
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = whole.as_slice();
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            out.extend_from_slice(&splitter.push(now).unwrap().bytes);
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(out, whole);
        prop_assert!(splitter.is_between_events());
    }

    /// A stream that breaks off at any byte and is resumed contains each event once.
    #[test]
    fn a_resumed_stream_contains_each_event_once(broken in 0_usize..300, overlap in 0_u64..3) {
        let whole = stream(1, 12);
        let mut splitter = EventSplitter::default();
        let mut out = splitter.push(&whole[..broken.min(whole.len())]).unwrap().bytes.to_vec();
        let last = splitter.last();
        splitter = EventSplitter::after(last);
        let from = last.map_or(1, |last| (last + 1).saturating_sub(overlap).max(1));
        out.extend_from_slice(&splitter.push(&stream(from, 12)).unwrap().bytes);
        prop_assert_eq!(out, whole);
    }
}

#[test]
fn a_missing_event_is_an_error() {
    let mut splitter = EventSplitter::after(Some(3));
    let err = splitter.push(&stream(5, 5)).unwrap_err();
    assert_eq!(err, EventError::Gap { after: 3, got: 5 });
}

/// Guards against the text of an error in the middle of a resumed stream.
#[test]
fn events_without_an_id_before_the_next_event_of_a_resumed_stream_are_skipped() {
    for text in [
        "oops\n\n",
        "HTTP/1.1 500 Oops\r\n\r\n",
        "data: oops\n\n",
        "\n\n",
    ] {
        let mut splitter = EventSplitter::after(Some(3));
        assert_eq!(splitter.push(text.as_bytes()).unwrap().events, 0);
        let batch = splitter.push(&stream(4, 4)).unwrap();
        assert_eq!(batch.bytes, stream(4, 4));
        let batch = splitter.push(b": comment\n\n").unwrap();
        assert_eq!(batch.events, 1);
    }
}

/// Guards against the head and text of another answer among the events of a stream.
#[test]
fn bytes_that_are_no_event_are_an_error() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
    for text in [
        head,
        "oops\n\n",
        "{\"error\":\"oops\"}\n\n",
        "\u{0}\r\n\r\n",
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(&stream(1, 2)).unwrap();
        let end = splitter.push(text.as_bytes());
        assert_eq!(end, Err(EventError::Malformed), "{text:?}");
    }
    for text in [
        ": ping\n\n",
        "event: end\r\ndata:\r\n\r\n",
        "some-counts: 3\n\n",
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(&stream(1, 2)).unwrap();
        let batch = splitter.push(text.as_bytes()).unwrap();
        assert_eq!(batch.bytes, text.as_bytes());
    }
}

#[test]
fn an_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    let batch = splitter.push(b"id: 1\ndata: x\n").unwrap();
    assert_eq!(batch.events, 0);
    assert!(!splitter.is_between_events());
    assert_eq!(splitter.push(b"\n").unwrap().events, 1);
}

/// Guards against an upstream that sends bytes without end that are no numbered events.
#[test]
fn events_without_an_id_end_a_stream_that_has_too_many_bytes_of_them() {
    for filler in [": comment\n\n", "\n", "\r\n", "data: x\n\n"] {
        let mut splitter = EventSplitter::default();
        splitter.push(&stream(1, 2)).unwrap();
        let endless = filler.repeat(100);
        let mut forwarded = 0;
        let end = loop {
            match splitter.push(endless.as_bytes()) {
                Ok(batch) => forwarded += batch.bytes.len(),
                Err(err) => break err,
            }
        };
        assert_eq!(end, EventError::Unnumbered, "{filler:?}");
        assert!(forwarded <= MAX_UNNUMBERED_BYTES, "{filler:?}");
    }
}

#[test]
fn a_numbered_event_allows_further_events_without_an_id() {
    let mut splitter = EventSplitter::default();
    let comment = format!(": {}\n\n", "x".repeat(MAX_UNNUMBERED_BYTES / 2));
    for id in 1..8 {
        assert!(splitter.push(comment.as_bytes()).is_ok());
        assert!(splitter.push(&stream(id, id)).is_ok());
    }
}

#[test]
fn a_line_without_end_ends_a_stream() {
    let mut splitter = EventSplitter::default();
    let part = [b'x'; 64];
    let mut parts = 0;
    while splitter.push(&part).is_ok() {
        parts += 1;
    }
    assert_eq!(parts, MAX_EVENT_BYTES / part.len());
}

/// Guards against events that are lost because an error follows them in the same bytes.
#[test]
fn events_before_an_error_are_returned_first() {
    let mut splitter = EventSplitter::default();
    let mut data = stream(1, 3);
    data.extend_from_slice(&stream(5, 6));
    assert_eq!(splitter.push(&data).unwrap().bytes, stream(1, 3));
    assert_eq!(splitter.last(), Some(3));
    assert!(!splitter.is_between_events());
    let gap = EventError::Gap { after: 3, got: 5 };
    assert_eq!(splitter.error(), Some(&gap));
    assert_eq!(splitter.push(&stream(4, 4)), Err(gap));
}
