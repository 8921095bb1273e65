//! Threads and memory of links between processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use tanagerford_link::message::Frame;
use tanagerford_link::{
    FleetKey, Identity, Link, LinkHandler, LinkOptions, LinkServer, connect, encode,
};

use crate::fleet::ratio;
use crate::{processor_seconds, status_value};

/// Cost of one end of an idle link.
pub struct LinkCost {
    pub ends: usize,
    pub threads: f64,
    pub resident_bytes: f64,
    pub reserved_bytes: f64,
    pub core_percent: f64,
    /// Sent plus received.
    pub frames_per_second: f64,
    /// Sent plus received, with headers and without acknowledgements of TCP.
    pub bytes_per_second: f64,
}

/// Headers of IPv4 and of TCP with timestamps.
const HEADER_BYTES: usize = 52;

/// Counts received frames.
#[derive(Default)]
struct Count {
    frames: AtomicUsize,
    bytes: AtomicUsize,
}

impl LinkHandler for Count {
    fn on_frame(&self, _: &Link, frame: Frame) {
        let mut buffer = BytesMut::new();
        if encode(&frame, &mut buffer).is_ok() {
            let bytes = buffer.len() + HEADER_BYTES;
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
            self.frames.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn on_lost(&self, _: &Link) {}
}

fn options(name: &str) -> LinkOptions {
    let identity = Identity {
        process_id: name.into(),
        incarnation: 1,
        availability_zone: "zone-0".into(),
    };
    LinkOptions::new(
        identity,
        FleetKey::new(*b"fleet key"),
        Arc::new(AtomicU64::new(90_000)),
    )
}

/// Opens links on loopback. Both ends are in this process.
pub fn link_cost() -> std::io::Result<LinkCost> {
    const LINKS: usize = 50;
    const TIME: Duration = Duration::from_secs(5);
    let server = LinkServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let count = Arc::new(Count::default());
    let mut handle = server.start(options("sidecar"), Arc::clone(&count))?;
    let figures = || ["Threads:", "VmRSS:", "VmSize:"].map(status_value);
    let before = figures();
    let options = options("entry");
    let links: Vec<Link> = (0..LINKS)
        .filter_map(|_| connect(handle.address(), &options, Arc::clone(&count)).ok())
        .collect();
    // The accepting side starts its threads after the handshake.
    std::thread::sleep(Duration::from_secs(1));
    let after = figures();
    let received = || [&count.frames, &count.bytes].map(|figure| figure.load(Ordering::Relaxed));
    let (used, received_before) = (processor_seconds(), received());
    std::thread::sleep(TIME);
    let received_after = received();
    let used = processor_seconds() - used;
    let ends = 2 * links.len();
    let growth = |index: usize| ratio(after[index].saturating_sub(before[index]), ends);
    // Both ends count what they receive, and all of it was sent by one of them: one end has twice its share.
    let rate = |index: usize| {
        let received: usize = received_after[index] - received_before[index];
        2.0 * ratio(received, ends) / TIME.as_secs_f64()
    };
    for link in &links {
        link.close();
    }
    handle.stop();
    Ok(LinkCost {
        ends,
        threads: growth(0),
        resident_bytes: growth(1) * 1024.0,
        reserved_bytes: growth(2) * 1024.0,
        frames_per_second: rate(0),
        bytes_per_second: rate(1),
        core_percent: used / TIME.as_secs_f64() / ratio(ends, 1) * 100.0,
    })
}
