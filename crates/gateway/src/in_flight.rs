//! Exchanges of one call with servers that have not begun to answer.
//!
//! A silent server is not given up before another one answers: it may be sound and go on. So a call can be in flight at
//! several servers, and the first answer counts.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::future;
use tanagerford_core::dispatch::CallNumber;
use tanagerford_http::connection_pool::PooledResponse;

use crate::attempt::{AttemptError, SentCall};
use crate::handover::Handover;

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
    /// Whether an exchange ends soon after the next one was written, since both servers would work on one stream.
    is_exclusive: bool,
}

impl InFlight {
    /// Ends each exchange soon after the next one was written.
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

    /// Waits for the first result of any exchange and removes the exchange. Never returns if there is none.
    pub(crate) async fn first_result(&mut self) -> (SentCall, ExchangeResult) {
        loop {
            let next = self.exchanges.get(1).filter(|_| self.is_exclusive);
            let next = next.map(|exchange| Arc::clone(&exchange.handover));
            let result = async { Some(poll_fn(|context| self.poll_first_result(context)).await) };
            let expired = async {
                match &next {
                    Some(next) => next.expired().await,
                    None => future::pending().await,
                }
                None
            };
            match future::or(result, expired).await {
                Some(result) => return result,
                None => drop(self.exchanges.remove(0)),
            }
        }
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
