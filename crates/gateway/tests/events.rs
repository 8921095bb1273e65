//! Tests of the splitter of event streams.

use proptest::prelude::*;
use tanagerford_gateway::events::{EventError, EventSplitter};

/// Guards against lost and duplicated events after a stream resumes at another server.
#[test]
fn a_missing_event_is_an_error_and_a_duplicate_is_dropped() {
    let mut splitter = EventSplitter::after(Some(3));
    let complete = splitter
        .push(b"id: 3\ndata: c\n\nid: 4\r\ndata: d\r\n\r\n")
        .unwrap();
    assert_eq!(&complete[..], b"id: 4\r\ndata: d\r\n\r\n");
    let gap = splitter.push(b"id: 6\n\n");
    assert_eq!(gap, Err(EventError::Gap { after: 4, found: 6 }));
}

/// Guards against an event that is lost because the chunk that completes it has a gap behind it: a stream that resumes after
/// the last accepted event would never bring it again.
#[test]
fn events_before_a_gap_in_the_same_chunk_are_returned() {
    let mut splitter = EventSplitter::after(Some(4));
    let complete = splitter.push(b"id: 5\n\nid: 7\n\n").unwrap();
    assert_eq!(&complete[..], b"id: 5\n\n");
    assert_eq!(splitter.last_id(), Some(5));
    assert!(splitter.has_partial());
    let gap = splitter.push(b"");
    assert_eq!(gap, Err(EventError::Gap { after: 5, found: 7 }));
}

/// Guards against a buffer that grows without bound when a server never terminates an event.
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

    /// Guards against events that are lost, duplicated or truncated depending on the chunks in which a stream arrives.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(count in 1_u64..20, chunk_sizes in proptest::collection::vec(1_usize..30, 0..60)) {
        let events = (1..=count).map(|id| format!("id: {id}
data: {}

", "x".repeat(usize::try_from(id).unwrap())));
        let stream = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let mut rest = stream.as_bytes();
        let mut received = Vec::new();
        for chunk_size in chunk_sizes {
            let (chunk, remaining) = rest.split_at(chunk_size.min(rest.len()));
            received.extend_from_slice(&splitter.push(chunk).unwrap());
            rest = remaining;
        }
        received.extend_from_slice(&splitter.push(rest).unwrap());
        prop_assert_eq!(received, stream.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(count));
        prop_assert!(!splitter.has_partial());
    }
}
