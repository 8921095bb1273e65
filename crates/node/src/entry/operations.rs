//! Operations of an entry for the operators' listener.

use std::sync::Arc;

use serde_json::{Value, json};
use tanagerford_gossip::Gossip;
use tanagerford_operator::listener::{OperatorApi, SettleRequest};

use crate::links::LinkPool;
use crate::stop::StopSignal;

use super::state::{EntryState, FrameHandler};

/// Operations of an entry: state dump, metrics, readiness and drain.
pub(crate) struct EntryOperations {
    pub(crate) state: Arc<EntryState>,
    pub(crate) links: Arc<LinkPool<FrameHandler>>,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) stop: StopSignal,
}

impl OperatorApi for EntryOperations {
    fn state(&self) -> Value {
        let state = &self.state;
        let servers: Vec<_> = self
            .links
            .targets()
            .into_iter()
            .map(|(target, open)| {
                json!({
                    "server": target.server,
                    "pool": target.pool,
                    "availability_zone": target.zone,
                    "address": target.address.to_string(),
                    "link_open": open,
                })
            })
            .collect();
        let classes: Vec<_> = state
            .class_gate
            .by_class()
            .into_iter()
            .map(|(class, in_flight)| json!({"class": class, "in_flight": in_flight}))
            .collect();
        json!({
            "role": "entry",
            "process_id": state.identity.process_id,
            "incarnation": state.identity.incarnation,
            "availability_zone": state.identity.availability_zone,
            "config_generation": state.configuration().generation(),
            "membership": self.gossip.dump(),
            "gossip_transport": self.gossip.transport_counters(),
            "config": state.exchange.feed().status(),
            "draining": state.draining.is_raised(),
            "attempts_in_flight": state.attempts.in_flight(),
            "late_frames": state.attempts.late_frames(),
            "suspects": state.suspects.len(),
            "classes": classes,
            "servers": servers,
        })
    }

    fn metrics(&self) -> String {
        let metrics = &self.state.metrics;
        metrics
            .generation
            .set(self.state.configuration().generation());
        metrics.encode()
    }

    fn is_ready(&self) -> bool {
        !self.state.draining.is_raised() && self.state.exchange.feed().is_ready()
    }

    fn drain(&self) {
        self.stop.raise();
    }

    fn settle_order(&self, _: &SettleRequest) -> Result<String, String> {
        Err("orders are settled at a sidecar of their pool".to_owned())
    }
}
