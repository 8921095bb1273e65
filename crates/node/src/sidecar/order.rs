//! Translation between the order log and the messages of a link: claims, stored responses and queries.

use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::ids::Incarnation;
use tanagerford_core::order::{ClaimId, OrderKey, Owner};
use tanagerford_link::message::{self, OrderStatus as WireStatus, Submit};

use crate::orders::{ClaimDecision, OrderLog, OrderRequest, OrderStatus, StoredResponse};
use crate::wire::milliseconds;

use super::refusal::{not_run, unknown};
use super::work::Work;

/// Retry advice for an order that is still running.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Consequence of a claim for the work that requested it.
pub(super) enum ClaimOutcome {
    /// The call must be sent to the backend server.
    Run,
    /// The order ran earlier and had this response.
    Answered(Arc<StoredResponse>),
    Refused(message::Refused),
}

/// Claims an order. Blocks at most for the remaining wait limit of the work.
pub(super) fn claim(orders: &OrderLog, key: OrderKey, work: &Work) -> ClaimOutcome {
    let request = OrderRequest {
        key,
        body: work.submit.body_digest,
        released: released_claim(&work.submit),
    };
    let refusal = match orders.claim(&request, work.remaining_wait()) {
        ClaimDecision::Run(_) => return ClaimOutcome::Run,
        ClaimDecision::Answered(response) => return ClaimOutcome::Answered(response),
        ClaimDecision::InProgress => message::Refused {
            retry_after_ms: milliseconds(IN_PROGRESS_RETRY_AFTER),
            ..unknown("order_in_progress", "the order still runs")
        },
        ClaimDecision::BodyMismatch => not_run(
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
        ClaimDecision::ClaimedElsewhere(claim) => message::Refused {
            claim: Some(wire_claim(claim)),
            ..unknown("order_in_progress", "another sidecar has claimed the order")
        },
        ClaimDecision::Unknown { code } => {
            unknown(code.code(), "it is not known what became of the order")
        }
    };
    ClaimOutcome::Refused(refusal)
}

/// Returns the response to an entry's query about the state of an order.
pub(super) fn respond_to_query(
    orders: Option<&OrderLog>,
    query: &message::OrderQuery,
) -> message::OrderAnswer {
    let key = OrderKey::from_bytes(&query.order_key);
    let status = match (orders, key) {
        (Some(orders), Some(key)) => orders.query(&key),
        _ => OrderStatus::Unknown,
    };
    let mut response = message::OrderAnswer {
        query_id: query.query_id,
        ..message::OrderAnswer::default()
    };
    let status = match status {
        OrderStatus::Running => WireStatus::Running,
        OrderStatus::NotRun => WireStatus::NotRun,
        OrderStatus::Unknown => WireStatus::Unknown,
        OrderStatus::Done(stored) => {
            if let Some(stored) = stored {
                response.answer_status = stored.status.into();
                response.answer_headers = wire_headers(&stored);
                response.answer_body = stored.body.to_vec();
            }
            WireStatus::Done
        }
    };
    response.set_status(status);
    response
}

pub(super) fn wire_headers(response: &StoredResponse) -> Vec<message::Header> {
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| message::Header {
            name: name.clone(),
            value: value.clone().into_bytes(),
        });
    headers.collect()
}

fn released_claim(submit: &Submit) -> Option<ClaimId> {
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
