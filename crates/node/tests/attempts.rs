//! Tests of the table of attempts in flight.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_lite::future::block_on;
use tanagerford_link::message::{Chunk, Frame, Submit, frame};
use tanagerford_link::{
    FleetKey, Identity, Link, LinkHandler, LinkOptions, LinkServer, LinkServerHandle, connect,
};
use tanagerford_node::attempts::{Attempts, Event};

/// Limit of the events that an attempt queues for a slow caller.
const MAX_QUEUED_EVENTS: u64 = 8 * 1024;

/// Number of attempts in flight in the memory test.
const ATTEMPTS: usize = 200;

/// Limit of the memory that `ATTEMPTS` attempts allocate. Full queues would allocate more than 200 MiB.
const MAX_GROWTH_KIB: u64 = 64 * 1024;

struct IgnoreFrames;

impl LinkHandler for IgnoreFrames {
    fn on_frame(&self, _link: &Link, _frame: Frame) {}

    fn on_lost(&self, _link: &Link) {}
}

fn options(process_id: &str) -> LinkOptions {
    let identity = Identity {
        process_id: process_id.to_owned(),
        incarnation: 1,
        availability_zone: "zone-a".to_owned(),
    };
    LinkOptions::new(
        identity,
        FleetKey::new(*b"key of the tests"),
        Arc::default(),
    )
}

fn open_link() -> (LinkServerHandle, Link) {
    let server = LinkServer::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("port is free");
    let handle = server
        .start(options("sidecar"), Arc::new(IgnoreFrames))
        .expect("server starts");
    let link = connect(handle.address(), &options("entry"), Arc::new(IgnoreFrames))
        .expect("link is opened");
    (handle, link)
}

fn chunk(attempt_id: u64, sequence: u64) -> frame::Body {
    frame::Body::Chunk(Chunk {
        attempt_id,
        sequence,
        data: Vec::new(),
        tokens: 1,
    })
}

/// Returns the size of the data segment of this process in KiB.
fn allocated_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status can be read");
    let line = status.lines().find(|line| line.starts_with("VmData:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value
        .and_then(|value| value.parse().ok())
        .expect("status names the data size")
}

/// Guards against an event queue without a limit, in which a caller that stops reading makes the entry's memory grow.
#[test]
fn an_attempt_fails_when_its_event_queue_is_full() {
    let (_server, link) = open_link();
    let attempts = Arc::new(Attempts::default());
    let mut attempt = attempts
        .submit(&link, Submit::default(), true)
        .expect("link is open");
    for sequence in 0..=MAX_QUEUED_EVENTS {
        attempts.deliver(&link, chunk(attempt.id(), sequence));
    }
    assert_eq!(attempts.in_flight(), 0);
    for _ in 0..MAX_QUEUED_EVENTS {
        assert!(matches!(block_on(attempt.next()), Event::Chunk { .. }));
    }
    assert!(matches!(block_on(attempt.next()), Event::Lost));
}

/// Guards against attempts that allocate their whole event queue when they start, which took 15% of the processor time
/// of relaying a request.
#[test]
fn an_attempt_allocates_little_memory_before_events_arrive() {
    let (_server, link) = open_link();
    let attempts = Arc::new(Attempts::default());
    let before = allocated_kib();
    let running: Vec<_> = (0..ATTEMPTS)
        .map(|_| attempts.submit(&link, Submit::default(), true))
        .collect();
    let growth = allocated_kib().saturating_sub(before);
    assert!(running.iter().all(Result::is_ok));
    assert!(growth < MAX_GROWTH_KIB, "attempts allocated {growth} KiB");
}
