//! Orders at the sidecar: the claim before the call, the answer after it, and questions about both.

use std::time::Duration;

use tanagerford_core::ids::Incarnation;
use tanagerford_core::order::{ClaimId, OrderKey, Owner};
use tanagerford_link::message::{self, OrderStatus as WireStatus, Submit};

use crate::orders::{ClaimDecision, KeptAnswer, OrderLog, OrderRequest, OrderStatus};
use crate::wire::milliseconds;

use super::refusal::{not_run, unknown};
use super::work::Work;

/// Advice when an order still runs.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What follows from a claim.
pub(super) enum Claimed {
    /// The call has to be sent now.
    Run,
    /// The order ran before; this is its answer.
    Answered(std::sync::Arc<KeptAnswer>),
    /// The order is refused.
    Refused(message::Refused),
}

/// Claims an order, waiting as long as the work may wait.
pub(super) fn claim(orders: &OrderLog, key: OrderKey, work: &Work) -> Claimed {
    let request = OrderRequest {
        key,
        body: work.submit.body_digest,
        released: released(&work.submit),
    };
    let refusal = match orders.claim(&request, work.wait_left()) {
        ClaimDecision::Run(_) => return Claimed::Run,
        ClaimDecision::Answered(answer) => return Claimed::Answered(answer),
        ClaimDecision::InProgress => message::Refused {
            retry_after_ms: milliseconds(IN_PROGRESS_RETRY_AFTER),
            ..unknown("order_in_progress", "the order still runs")
        },
        ClaimDecision::RefusedOtherBody => not_run(
            "idempotency_key_reused",
            "the same Idempotency-Key was used with another call",
            None,
            None,
        ),
        ClaimDecision::NotRun { code, retry_after } => not_run(
            code.code(),
            "the claim of the order was not written",
            Some(retry_after),
            None,
        ),
        ClaimDecision::OwnedElsewhere(claim) => message::Refused {
            claim: Some(wire_claim(claim)),
            ..unknown("order_in_progress", "another sidecar has claimed the order")
        },
        ClaimDecision::Unknown { code } => {
            unknown(code.code(), "it is not known what became of the order")
        }
    };
    Claimed::Refused(refusal)
}

/// Answers an entry that asks what became of an order.
pub(super) fn answer_query(
    orders: Option<&OrderLog>,
    query: &message::OrderQuery,
) -> message::OrderAnswer {
    let key = OrderKey::from_bytes(&query.order_key);
    let status = match (orders, key) {
        (Some(orders), Some(key)) => orders.query(&key),
        _ => OrderStatus::Unknown,
    };
    let mut answer = message::OrderAnswer {
        query_id: query.query_id,
        ..message::OrderAnswer::default()
    };
    let status = match status {
        OrderStatus::Running => WireStatus::Running,
        OrderStatus::NotRun => WireStatus::NotRun,
        OrderStatus::Unknown => WireStatus::Unknown,
        OrderStatus::Done(kept) => {
            if let Some(kept) = kept {
                answer.answer_status = kept.status.into();
                answer.answer_headers = wire_headers(&kept);
                answer.answer_body = kept.body.to_vec();
            }
            WireStatus::Done
        }
    };
    answer.set_status(status);
    answer
}

/// Returns the headers of a kept answer.
pub(super) fn wire_headers(answer: &KeptAnswer) -> Vec<message::Header> {
    let headers = answer.headers.iter().map(|(name, value)| message::Header {
        name: name.clone(),
        value: value.clone().into_bytes(),
    });
    headers.collect()
}

fn released(submit: &Submit) -> Option<ClaimId> {
    let claim = submit.released.as_ref()?;
    Some(ClaimId {
        owner: Owner {
            server: claim.server.clone(),
            incarnation: Incarnation::from(claim.incarnation),
        },
        attempt: claim.attempt,
    })
}

fn wire_claim(claim: ClaimId) -> message::Claim {
    message::Claim {
        server: claim.owner.server,
        incarnation: claim.owner.incarnation,
        attempt: claim.attempt,
    }
}
