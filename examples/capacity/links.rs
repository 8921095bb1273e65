//! Threads and memory of links between processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tanagerford_link::message::Frame;
use tanagerford_link::{FleetKey, Identity, Link, LinkHandler, LinkOptions, LinkServer, connect};

use crate::fleet::ratio;
use crate::{processor_seconds, status_value};

/// Cost of one end of an idle link.
pub struct LinkCost {
    pub ends: usize,
    pub threads: f64,
    pub resident_bytes: f64,
    pub reserved_bytes: f64,
    pub core_percent: f64,
}

struct Ignore;

impl LinkHandler for Ignore {
    fn on_frame(&self, _: &Link, _: Frame) {}

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
        Arc::new(AtomicU64::new(1)),
    )
}

/// Opens links on loopback. Both ends are in this process.
pub fn link_cost() -> std::io::Result<LinkCost> {
    const LINKS: usize = 50;
    const TIME: Duration = Duration::from_secs(5);
    let server = LinkServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let mut handle = server.start(options("sidecar"), Arc::new(Ignore))?;
    let figures = || ["Threads:", "VmRSS:", "VmSize:"].map(status_value);
    let before = figures();
    let options = options("entry");
    let links: Vec<Link> = (0..LINKS)
        .filter_map(|_| connect(handle.address(), &options, Arc::new(Ignore)).ok())
        .collect();
    // The accepting side starts its threads after the handshake.
    std::thread::sleep(Duration::from_secs(1));
    let after = figures();
    let used = processor_seconds();
    std::thread::sleep(TIME);
    let used = processor_seconds() - used;
    let ends = 2 * links.len();
    let growth = |index: usize| ratio(after[index].saturating_sub(before[index]), ends);
    for link in &links {
        link.close();
    }
    handle.stop();
    Ok(LinkCost {
        ends,
        threads: growth(0),
        resident_bytes: growth(1) * 1024.0,
        reserved_bytes: growth(2) * 1024.0,
        core_percent: used / TIME.as_secs_f64() / ratio(ends, 1) * 100.0,
    })
}
