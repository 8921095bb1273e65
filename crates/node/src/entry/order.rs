//! Queries of the sidecar that has claimed an order for the order's outcome.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_link::message::{self, OrderStatus};

use crate::attempts::Event;

use super::relay::{Relay, ResponseStart};

/// Interval between queries of an order that is still running.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Value of `Retry-After` when the order is still running or its owner cannot be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Relay {
    /// Queries the owner of a claim until the order has ended or the wait limit of the call has passed. Returns the
    /// order's response, or `None` if the order did not run there and may be claimed again.
    pub(super) async fn query_owner(
        &mut self,
        claim: message::Claim,
    ) -> Result<Option<ResponseStart>, Refusal> {
        loop {
            let response = self.send_query(&claim).await?;
            match response.status() {
                OrderStatus::Done if response.answer_status > 0 => {
                    return Ok(Some(to_response_start(response)));
                }
                OrderStatus::Done => {
                    let text = "the order ran, but its answer is not kept any more";
                    return Err(Refusal::new(Code::OrderAnswerLost, text).with_unknown_outcome());
                }
                OrderStatus::NotRun => {
                    self.released_claim = Some(claim);
                    self.tried_servers.clear();
                    return Ok(None);
                }
                OrderStatus::Running if !self.call.remaining_wait().is_zero() => {
                    Timer::after(QUERY_INTERVAL).await;
                }
                OrderStatus::Running => {
                    let text = "the order still runs";
                    let refusal = Refusal::new(Code::OrderInProgress, text);
                    return Err(refusal.retry_after(RETRY_AFTER).with_unknown_outcome());
                }
                OrderStatus::Unknown | OrderStatus::Unspecified => {
                    let text = "the sidecar that claimed the order is gone";
                    return Err(Refusal::new(Code::OrderOwnerGone, text).with_unknown_outcome());
                }
            }
        }
    }

    /// Sends one query to the sidecar of `claim` and waits for its response.
    async fn send_query(&self, claim: &message::Claim) -> Result<message::OrderAnswer, Refusal> {
        let unreachable = || {
            let text = "the sidecar that claimed the order cannot be reached";
            let refusal = Refusal::new(Code::OrderOwnerUnreachable, text);
            refusal.retry_after(RETRY_AFTER).with_unknown_outcome()
        };
        let link = self
            .links
            .get_or_open(&claim.server)
            .ok_or_else(unreachable)?;
        if link.peer().incarnation != claim.incarnation {
            let text = "the sidecar that claimed the order has restarted";
            return Err(Refusal::new(Code::OrderOwnerGone, text).with_unknown_outcome());
        }
        let key = self.call.submit.order_key.clone();
        let query = self.state.attempts.query_order(&link, key);
        let mut query = query.map_err(|_| unreachable())?;
        match query.next().await {
            Event::OrderAnswer(response) => Ok(response),
            _ => Err(unreachable()),
        }
    }
}

fn to_response_start(response: message::OrderAnswer) -> ResponseStart {
    ResponseStart {
        head: message::Head {
            attempt_id: response.query_id,
            status: response.answer_status,
            headers: response.answer_headers,
        },
        first_chunk: Bytes::from(response.answer_body),
    }
}
