//! Threads, memory, processor time and traffic of idle links between processes.

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
    /// Virtual address space (`VmSize`).
    pub address_space_bytes: f64,
    pub core_percent: f64,
    /// Frames that the end sends plus frames that it receives.
    pub frames_per_second: f64,
    /// Bytes that the end sends plus bytes that it receives, with IP and TCP headers but without TCP acknowledgements.
    pub bytes_per_second: f64,
}

/// Length of the IPv4 header plus the TCP header with timestamps.
const HEADER_BYTES: usize = 52;

/// Counts received frames and their bytes.
#[derive(Default)]
struct FrameCounter {
    frames: AtomicUsize,
    bytes: AtomicUsize,
}

impl LinkHandler for FrameCounter {
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

/// Measures idle links on loopback, with both ends in this process.
pub fn link_cost() -> std::io::Result<LinkCost> {
    const LINKS: usize = 50;
    const MEASURE_TIME: Duration = Duration::from_secs(5);
    let server = LinkServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let counter = Arc::new(FrameCounter::default());
    let mut handle = server.start(options("sidecar"), Arc::clone(&counter))?;
    let read_status = || ["Threads:", "VmRSS:", "VmSize:"].map(status_value);
    let before = read_status();
    let options = options("entry");
    let links: Vec<Link> = (0..LINKS)
        .filter_map(|_| connect(handle.address(), &options, Arc::clone(&counter)).ok())
        .collect();
    // The accepting side starts its threads only after the handshake.
    std::thread::sleep(Duration::from_secs(1));
    let after = read_status();
    let received = || [&counter.frames, &counter.bytes].map(|value| value.load(Ordering::Relaxed));
    let (processor_before, received_before) = (processor_seconds(), received());
    std::thread::sleep(MEASURE_TIME);
    let received_after = received();
    let used = processor_seconds() - processor_before;
    let ends = 2 * links.len();
    let growth = |index: usize| ratio(after[index].saturating_sub(before[index]), ends);
    // The counters hold the frames that all ends receive. Each frame is also sent by an end, so the sent plus received
    // frames per end are twice the received frames per end.
    let rate = |index: usize| {
        let received: usize = received_after[index] - received_before[index];
        2.0 * ratio(received, ends) / MEASURE_TIME.as_secs_f64()
    };
    for link in &links {
        link.close();
    }
    handle.stop();
    Ok(LinkCost {
        ends,
        threads: growth(0),
        resident_bytes: growth(1) * 1024.0,
        address_space_bytes: growth(2) * 1024.0,
        frames_per_second: rate(0),
        bytes_per_second: rate(1),
        core_percent: used / MEASURE_TIME.as_secs_f64() / ratio(ends, 1) * 100.0,
    })
}
