//! Exchanges of one call with servers that have not begun to answer.
//!
//! A silent server is not given up before another one answers: it may be sound and go on. So a call can be in flight at
//! several servers, and the first answer counts.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tanagerford_core::dispatch::CallNumber;
use tanagerford_http::connection_pool::PooledResponse;

use crate::attempt::{AttemptError, SentCall};
use crate::handover::{GivenUp, Handover, Overlap};

/// Checked head and first chunk of a response.
pub(crate) type ExchangeResult = Result<(PooledResponse, Option<Bytes>), AttemptError>;

/// Exchange with one server until the first chunk of its response.
pub(crate) struct Exchange {
    pub(crate) sent_call: SentCall,
    handover: Arc<Handover>,
    result: Pin<Box<dyn Future<Output = ExchangeResult> + Send>>,
}

impl Exchange {
    pub(crate) fn new(
        sent_call: SentCall,
        handover: Arc<Handover>,
        result: impl Future<Output = ExchangeResult> + Send + 'static,
    ) -> Self {
        Self {
            sent_call,
            handover,
            result: Box::pin(result),
        }
    }
}

/// Exchanges of one call, the newest last. Dropping an exchange closes its connection.
#[derive(Default)]
pub(crate) struct InFlight {
    exchanges: Vec<Exchange>,
    /// Whether one of two exchanges ends soon after the second was written, since both servers would work on one stream.
    is_exclusive: bool,
}

impl InFlight {
    /// Ends one of two exchanges soon after the second was written.
    pub(crate) fn set_exclusive(&mut self) {
        self.is_exclusive = true;
    }

    pub(crate) fn push(&mut self, exchange: Exchange) {
        self.exchanges.push(exchange);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.exchanges.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.exchanges.len()
    }

    /// Returns the call of the exchange with this number.
    pub(crate) fn call(&mut self, number: CallNumber) -> Option<&mut SentCall> {
        let calls = self
            .exchanges
            .iter_mut()
            .map(|exchange| &mut exchange.sent_call);
        calls.into_iter().find(|call| call.number == number)
    }

    /// Ends all exchanges; returns the number of those whose outcome was not recorded.
    pub(crate) fn abandon(&mut self) -> usize {
        let exchanges = std::mem::take(&mut self.exchanges);
        let unrecorded = exchanges
            .iter()
            .filter(|exchange| !exchange.sent_call.is_end_logged);
        unrecorded.count()
    }

    /// Returns the overlap of the two oldest exchanges if they must not go on side by side.
    pub(crate) fn overlap(&self) -> Option<Overlap> {
        let [earlier, later, ..] = &self.exchanges[..] else {
            return None;
        };
        self.is_exclusive.then(|| Overlap {
            call: Arc::clone(&earlier.sent_call.call),
            earlier: Arc::clone(&earlier.sent_call.server),
            handover: Arc::clone(&later.handover),
        })
    }

    /// Ends one of the two oldest exchanges; returns its call.
    pub(crate) fn give_up(&mut self, given_up: GivenUp) -> SentCall {
        let position = match given_up {
            GivenUp::Earlier => 0,
            GivenUp::Later => 1,
        };
        self.exchanges.remove(position).sent_call
    }

    /// Waits for the first result of any exchange and removes the exchange. Never returns if there is none.
    pub(crate) async fn first_result(&mut self) -> (SentCall, ExchangeResult) {
        poll_fn(|context| self.poll_first_result(context)).await
    }

    fn poll_first_result(&mut self, context: &mut Context<'_>) -> Poll<(SentCall, ExchangeResult)> {
        for position in 0..self.exchanges.len() {
            if let Poll::Ready(result) = self.exchanges[position].result.as_mut().poll(context) {
                let exchange = self.exchanges.remove(position);
                return Poll::Ready((exchange.sent_call, result));
            }
        }
        Poll::Pending
    }
}
