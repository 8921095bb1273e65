//! Operators' interface of a sidecar: state dump, metrics, drain and settlement of orders.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tanagerford_core::order::{OrderKey, Owner, Settlement};
use tanagerford_gossip::Gossip;
use tanagerford_operator::listener::{OperatorApi, SettleRequest};

use crate::orders::{OrderLog, SettleOutcome};
use crate::stop::StopSignal;

use super::state::SidecarState;

pub(crate) struct SidecarOperations {
    pub(crate) state: Arc<SidecarState>,
    pub(crate) gossip: Arc<Gossip>,
    pub(crate) stop: StopSignal,
}

impl OperatorApi for SidecarOperations {
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

    fn settle_order(&self, request: &SettleRequest) -> Result<String, String> {
        let orders = self.state.orders();
        let orders = orders.ok_or("this backend server takes no orders")?;
        let key: OrderKey = request.key.parse().map_err(|_| "key is malformed")?;
        if let Some(gone) = &request.gone {
            orders.observe_gone(&Owner {
                server: gone.server.clone(),
                incarnation: gone.incarnation,
            });
        }
        let settlement = if request.ran {
            Settlement::Ran
        } else {
            Settlement::NotRun
        };
        let outcome = orders.settle(&key, settlement, SETTLE_TIMEOUT);
        tracing::info!(
            key = request.key,
            ran = request.ran,
            ?outcome,
            "operator requested the settlement of an order"
        );
        match outcome {
            SettleOutcome::Settled => Ok("settled".to_owned()),
            SettleOutcome::NotUnsettled => Err("order is not unsettled here".to_owned()),
            SettleOutcome::OwnerAlive => {
                Err("the process that claimed the order is not known to be gone".to_owned())
            }
            SettleOutcome::NotWritten => {
                Err("not settled: the key-value service did not take the write".to_owned())
            }
            SettleOutcome::Unresolved => {
                Err("the result of the write is not known yet; repeat the command".to_owned())
            }
        }
    }
}

/// Time limit for writing an operator's settlement.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of unsettled orders listed in a state dump; its counts include all.
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
                "is_unknown": order.is_unknown,
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
