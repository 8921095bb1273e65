//! State that the threads of an entry share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tanagerford_caller::class_gate::ClassGate;
use tanagerford_core::config::active::ActiveConfiguration;
use tanagerford_core::ids::ZoneId;
use tanagerford_core::retry::RetryBudget;
use tanagerford_link::message::{Frame, frame};
use tanagerford_link::{Identity, Link, LinkHandler};

use crate::attempts::Attempts;
use crate::exchange::ConfigExchange;
use crate::links::LinkPoolHandler;
use crate::metrics::Metrics;
use crate::suspects::Suspects;
use crate::sync::Flag;

use super::servers::{MAX_TIERS, Servers};

pub(crate) struct EntryState {
    pub(crate) identity: Identity,
    pub(crate) attempts: Arc<Attempts>,
    pub(crate) class_gate: Arc<ClassGate>,
    pub(crate) servers: Servers,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) metrics: Metrics,
    pub(crate) suspects: Suspects,
    /// Raised when the entry starts to drain.
    pub(crate) draining: Flag,
    /// Raised when the requests in flight have ended or timed out, so that the entry's threads end.
    pub(crate) stopped: Flag,
    /// Number of the next request id that the entry generates.
    pub(crate) next_request_number: AtomicU64,
    pub(crate) exchange: Arc<ConfigExchange>,
}

impl EntryState {
    pub(crate) fn new(identity: Identity, zone: ZoneId, exchange: Arc<ConfigExchange>) -> Self {
        Self {
            suspects: Suspects::new(&identity),
            identity,
            attempts: Arc::default(),
            class_gate: Arc::default(),
            servers: Servers::new(zone),
            retry_budget: Mutex::new(RetryBudget::new(MAX_TIERS)),
            metrics: Metrics::default(),
            draining: Flag::default(),
            stopped: Flag::default(),
            next_request_number: AtomicU64::new(1),
            exchange,
        }
    }

    pub(crate) fn configuration(&self) -> Arc<ActiveConfiguration> {
        self.exchange.feed().current()
    }

    /// Returns an id for a request whose caller set none.
    pub(crate) fn new_request_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}-{number}", rand::random::<u32>())
    }
}

/// Handler of the frames that arrive on the links of the entry.
pub(crate) struct FrameHandler(pub(crate) Arc<EntryState>);

impl LinkHandler for FrameHandler {
    fn on_frame(&self, link: &Link, frame: Frame) {
        if let Some(body) = self.0.exchange.on_frame(link, frame) {
            if matches!(body, frame::Body::Leaving(_)) {
                self.0.servers.set_leaving(&link.peer().process_id);
            }
            self.0.attempts.deliver(link, body);
        }
    }

    fn on_lost(&self, link: &Link) {
        self.0.attempts.on_link_lost(link);
    }
}

impl LinkPoolHandler for FrameHandler {
    fn is_idle(&self, link: &Link) -> bool {
        self.0.attempts.is_idle(link)
    }
}
