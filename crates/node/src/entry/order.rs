//! Asks the sidecar that has claimed an order what became of it.

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_link::message::{self, OrderStatus};

use crate::attempts::Event;

use super::relay::{Relay, Start};

/// Pause between two questions about an order that still runs.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Advice when the order still runs or its owner cannot be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Relay {
    /// Asks the owner of a claim about the order. Returns the order's answer, or `None` when the order did not run there
    /// and may be claimed again.
    pub(super) async fn ask_owner(
        &mut self,
        claim: message::Claim,
    ) -> Result<Option<Start>, Refusal> {
        loop {
            let answer = self.query(&claim).await?;
            match answer.status() {
                OrderStatus::Done if answer.answer_status > 0 => return Ok(Some(start_of(answer))),
                OrderStatus::Done => {
                    let text = "the order ran, but its answer is not kept any more";
                    return Err(Refusal::new(Code::OrderAnswerLost, text).with_unknown_outcome());
                }
                OrderStatus::NotRun => {
                    self.released = Some(claim);
                    self.tried.clear();
                    return Ok(None);
                }
                OrderStatus::Running if !self.call.wait_left().is_zero() => {
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

    async fn query(&self, claim: &message::Claim) -> Result<message::OrderAnswer, Refusal> {
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
        let query = self.state.attempts.query(&link, key);
        let mut query = query.map_err(|_| unreachable())?;
        match query.next().await {
            Event::OrderAnswer(answer) => Ok(answer),
            _ => Err(unreachable()),
        }
    }
}

fn start_of(answer: message::OrderAnswer) -> Start {
    Start {
        head: message::Head {
            attempt_id: answer.query_id,
            status: answer.answer_status,
            headers: answer.answer_headers,
        },
        first: Bytes::from(answer.answer_body),
    }
}
