//! Tests of the events of streams.

use proptest::prelude::*;
use tanagerford_gateway::events::{EventError, EventSplitter};

/// Guards against events that are lost, doubled or torn, however the bytes of a stream are cut.
#[test]
fn a_missing_event_is_an_error_and_a_repeated_one_is_left_out() {
    let mut splitter = EventSplitter::after(Some(3));
    let whole = splitter
        .push(b"id: 3\ndata: c\n\nid: 4\r\ndata: d\r\n\r\n")
        .unwrap();
    assert_eq!(&whole[..], b"id: 4\r\ndata: d\r\n\r\n");
    let gap = splitter.push(b"id: 6\n\n");
    assert_eq!(gap, Err(EventError::Gap { after: 4, found: 6 }));
}

/// Guards against a buffer that grows without bound when a server never ends its event.
#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let results = (0..100).map(|_| splitter.push(&[b'x'; 8_192]));
    assert!(
        results
            .into_iter()
            .any(|result| result == Err(EventError::TooLong))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Guards against events that depend on how the bytes of a stream are cut into parts.
    #[test]
    fn any_cut_of_a_stream_gives_the_same_events(count in 1_u64..20, cuts in proptest::collection::vec(1_usize..30, 0..60)) {
        let events = (1..=count).map(|id| format!("id: {id}
data: {}

", "x".repeat(usize::try_from(id).unwrap())));
        let stream = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let mut rest = stream.as_bytes();
        let mut got = Vec::new();
        for cut in cuts {
            let (part, left) = rest.split_at(cut.min(rest.len()));
            got.extend_from_slice(&splitter.push(part).unwrap());
            rest = left;
        }
        got.extend_from_slice(&splitter.push(rest).unwrap());
        prop_assert_eq!(got, stream.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert!(!splitter.has_partial());
    }
}
