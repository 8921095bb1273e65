//! What a sidecar offers to its operators.

use std::sync::Arc;

use serde_json::{Value, json};
use tanagerford_gossip::Gossip;
use tanagerford_operator::listener::Operated;

use crate::orders::OrderLog;
use crate::stop::StopSignal;

use super::state::SidecarState;

/// Operators' view of a sidecar.
pub(crate) struct SidecarOperations {
    pub(crate) state: Arc<SidecarState>,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) stop: StopSignal,
}

impl Operated for SidecarOperations {
    fn state(&self) -> Value {
        let state = &self.state;
        json!({
            "role": "sidecar",
            "process_id": state.identity.process_id,
            "incarnation": state.identity.incarnation,
            "availability_zone": state.identity.availability_zone,
            "config_generation": state.exchange.feed().generation(),
            "membership": self.gossip.dump(),
            "gossip_transport": self.gossip.transport_counters(),
            "config": state.exchange.feed().status(),
            "draining": state.is_leaving(),
            "suspects": state.suspects.len(),
            "orders": state.orders().map(|orders| order_state(orders)),
            "in_flight": state.in_flight(),
            "links": state.open_links(),
        })
    }

    fn metrics(&self) -> String {
        let metrics = &self.state.metrics;
        metrics
            .generation
            .set(self.state.exchange.feed().generation());
        if let Some(orders) = self.state.orders() {
            metrics.unknown_orders.set(orders.counts().unknown_orders);
        }
        metrics.encode()
    }

    fn is_ready(&self) -> bool {
        !self.state.is_leaving() && self.state.exchange.feed().is_ready()
    }

    fn drain(&self) {
        self.stop.raise();
    }
}

/// Unsettled orders that a state dump lists; the counts cover all.
const MAX_LISTED_ORDERS: usize = 100;

fn order_state(orders: &OrderLog) -> Value {
    let counts = orders.counts();
    let unsettled: Vec<_> = orders
        .unsettled()
        .into_iter()
        .take(MAX_LISTED_ORDERS)
        .map(|order| {
            json!({
                "key": order.key.to_string(),
                "server": order.claim.owner.server,
                "incarnation": order.claim.owner.incarnation,
                "claimed_at_unix_s": order.claimed_at.as_secs(),
                "owner_gone": order.owner_gone,
            })
        })
        .collect();
    json!({
        "store_calls": counts.calls,
        "store_writes": counts.writes,
        "conflicts": counts.conflicts,
        "lost_answers": counts.lost_answers,
        "keys": counts.keys,
        "pages": counts.pages,
        "unknown_orders": counts.unknown_orders,
        "answer_bytes": counts.answer_bytes,
        "unsettled": unsettled,
    })
}
