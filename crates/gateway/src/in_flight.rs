//! Exchanges of one call with servers that have not begun to answer.
//!
//! A silent server is not given up before another one answers: it may be sound and go on. So a call can be in flight at
//! several servers, and the first answer counts.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tanagerford_core::dispatch::CallNumber;
use tanagerford_http::connection_pool::PooledResponse;

use crate::attempt::{AttemptError, SentCall};

/// Checked head and first chunk of a response.
pub(crate) type ExchangeResult = Result<(PooledResponse, Option<Bytes>), AttemptError>;

/// Exchange with one server until the first chunk of its response.
pub(crate) struct Exchange {
    pub(crate) sent_call: SentCall,
    result: Pin<Box<dyn Future<Output = ExchangeResult> + Send>>,
}

impl Exchange {
    pub(crate) fn new(
        sent_call: SentCall,
        result: impl Future<Output = ExchangeResult> + Send + 'static,
    ) -> Self {
        Self {
            sent_call,
            result: Box::pin(result),
        }
    }
}

/// Exchanges of one call, the newest last. Dropping an exchange closes its connection.
#[derive(Default)]
pub(crate) struct InFlight(Vec<Exchange>);

impl InFlight {
    pub(crate) fn push(&mut self, exchange: Exchange) {
        self.0.push(exchange);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the call of the exchange with this number.
    pub(crate) fn call(&mut self, number: CallNumber) -> Option<&mut SentCall> {
        let calls = self.0.iter_mut().map(|exchange| &mut exchange.sent_call);
        calls.into_iter().find(|call| call.number == number)
    }

    /// Ends all exchanges; returns the number of those whose outcome was not recorded.
    pub(crate) fn abandon(&mut self) -> usize {
        let exchanges = std::mem::take(&mut self.0);
        let unrecorded = exchanges
            .iter()
            .filter(|exchange| !exchange.sent_call.is_end_logged);
        unrecorded.count()
    }

    /// Waits for the first result of any exchange and removes the exchange. Never returns if there is none.
    pub(crate) async fn first_result(&mut self) -> (SentCall, ExchangeResult) {
        poll_fn(|context| self.poll_first_result(context)).await
    }

    fn poll_first_result(&mut self, context: &mut Context<'_>) -> Poll<(SentCall, ExchangeResult)> {
        for position in 0..self.0.len() {
            if let Poll::Ready(result) = self.0[position].result.as_mut().poll(context) {
                let exchange = self.0.remove(position);
                return Poll::Ready((exchange.sent_call, result));
            }
        }
        Poll::Pending
    }
}
