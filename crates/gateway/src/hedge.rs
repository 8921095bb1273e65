//! Sends a call to a second server while the first one is silent, and cancels the slower one.
//!
//! [`PoolHedging`] decides when a hedge is due and whether the entry's share allows it. This module sends it: only for calls
//! that may run again from the start, to a server with a free slot, within the attempts of the route and the retry budget
//! of the fleet. Both exchanges are in flight until one answers; the other's connection is closed at that moment.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use futures_lite::future::poll_once;
use tanagerford_core::dispatch::{
    CallNumber, CallOutcome, HedgeConditions, HedgeDenial, HedgeShare, MAX_ATTEMPTS_PER_CALL,
    PoolHedging, TakenRetry,
};
use tanagerford_core::ids::PoolId;
use tanagerford_sync::lock;
use tokio::time::timeout_at;

use crate::attempt::{Awaited, MIN_REMAINING, SentCall, Target};
use crate::call::{Call, RetryPolicy};
use crate::codec::Codec;
use crate::dispatch::Attempts;
use crate::fleet::PoolState;
use crate::gateway::Gateway;
use crate::in_flight::{Exchange, ExchangeResult};
use crate::limits::SelectedServer;
use crate::metrics::HedgeEvent;

/// Accounts and learned times of an entry that hedges calls.
#[derive(Debug)]
pub(crate) struct Hedging {
    share: HedgeShare,
    pools: Mutex<HashMap<PoolId, PoolHedging>>,
}

impl Hedging {
    /// Returns `None` if no call may be hedged.
    pub(crate) fn new(share: HedgeShare) -> Option<Self> {
        (!share.is_zero()).then(|| Self {
            share,
            pools: Mutex::default(),
        })
    }

    /// Applies a function to the account and the times of a pool.
    fn with_pool<T>(&self, pool: &PoolId, apply: impl FnOnce(&mut PoolHedging) -> T) -> T {
        let mut pools = lock(&self.pools);
        apply(
            pools
                .entry(pool.clone())
                .or_insert_with(|| PoolHedging::new(self.share)),
        )
    }
}

/// Hedge that was taken from the account and from the retry budget.
struct TakenHedge<C: Codec> {
    gateway: Arc<Gateway<C>>,
    pool: PoolId,
    /// `None` once the result of the hedge is known.
    retry: Option<TakenRetry>,
}

impl<C: Codec> TakenHedge<C> {
    /// Records the result of the hedge. What reached no server is returned to the account and to the budget.
    fn end(mut self, result: &ExchangeResult) {
        let retry = self.retry.take();
        let gateway = &self.gateway;
        gateway.metrics.on_hedge(match result {
            Ok((response, _)) if !response.head.status().is_server_error() => HedgeEvent::Won,
            _ => HedgeEvent::Failed,
        });
        let is_unsent = matches!(result, Err(error) if !error.may_have_arrived());
        if let Some(retry) = retry.filter(|_| is_unsent) {
            gateway.return_retry(&self.pool, retry);
            gateway.return_hedge(&self.pool);
        }
    }
}

impl<C: Codec> Drop for TakenHedge<C> {
    fn drop(&mut self) {
        if self.retry.is_some() {
            self.gateway.metrics.on_hedge(HedgeEvent::Cancelled);
        }
    }
}

impl<C: Codec> Gateway<C> {
    /// Adds a call to the account of its pool.
    pub(crate) fn count_call_for_hedges(&self, pool: &PoolId) {
        if let Some(hedging) = &self.hedging {
            hedging.with_pool(pool, PoolHedging::on_call);
        }
    }

    /// Records the time from sending a call until now, when its answer begins or another server has answered.
    pub(crate) fn learn_first_byte_time(&self, sent_call: &SentCall) {
        if let Some(hedging) = &self.hedging {
            let took = sent_call.sent_at.elapsed();
            let took = took.saturating_sub(self.own_delay());
            hedging.with_pool(&sent_call.server.pool, |pool| {
                pool.on_first_byte(self.fleet.now(), sent_call.kind, took);
            });
        }
    }

    fn return_hedge(&self, pool: &PoolId) {
        if let Some(hedging) = &self.hedging {
            hedging.with_pool(pool, PoolHedging::return_hedge);
        }
    }

    /// Waits until `expiry` for the result of the attempt `number` like `await_result`, and asks a second server if the
    /// first one is silent for too long.
    pub(crate) async fn await_hedged_result(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &mut Attempts,
        number: CallNumber,
        expiry: Instant,
    ) -> Awaited {
        let hedge_at = self.hedge_time(call, attempts, number);
        let Some(hedge_at) = hedge_at.filter(|hedge_at| *hedge_at < expiry) else {
            return self.await_result(attempts, number, expiry).await;
        };
        match self.await_result(attempts, number, hedge_at).await {
            Awaited::Own(None) => {}
            ended => return ended,
        }
        if let Err(denial) = self.send_hedge(call, pool, attempts, number).await {
            self.metrics.on_hedge_denied(denial.name());
            return self.await_result(attempts, number, expiry).await;
        }
        match self.await_result(attempts, number, expiry).await {
            Awaited::Own(Some((sent_call, result))) if is_failure(&result) => {
                self.outlast_failure(attempts, sent_call, result, expiry)
                    .await
            }
            Awaited::Other(started) => {
                if let Some(first) = attempts.in_flight.call(number) {
                    self.on_overtaken(first);
                }
                Awaited::Other(started)
            }
            ended @ Awaited::Own(_) => ended,
        }
    }

    /// Returns the time at which a hedge of the attempt `number` is due; `None` if the call must not be hedged.
    fn hedge_time(
        &self,
        call: &Call,
        attempts: &mut Attempts,
        number: CallNumber,
    ) -> Option<Instant> {
        let hedging = self.hedging.as_ref()?;
        // The attempt in flight and its hedge are two more possible runs.
        let is_allowed = call.retry_policy() == RetryPolicy::Idempotent
            && !call.route.is_stream
            && attempts.in_flight.len() == 1
            && attempts.possible_runs + 2 <= call.route.max_attempts
            && attempts.sends < MAX_ATTEMPTS_PER_CALL;
        let first = attempts.in_flight.call(number).filter(|_| is_allowed)?;
        let after = hedging.with_pool(&first.server.pool, |pool| {
            pool.hedge_after(self.fleet.now(), first.kind)
        })?;
        Some(first.sent_at + after + self.own_delay())
    }

    /// Sends the call to a second server if one can take it at once.
    async fn send_hedge(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &mut Attempts,
        first: CallNumber,
    ) -> Result<(), HedgeDenial> {
        let (Some(hedging), Some(first)) = (&self.hedging, attempts.in_flight.call(first)) else {
            return Err(HedgeDenial::NoServer);
        };
        let (first_server, pool_name) = (first.server.id.clone(), first.server.pool.clone());
        let silent = first.sent_at.elapsed();
        let remaining = call.deadline().saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING {
            return Err(HedgeDenial::NoServer);
        }
        let now = self.fleet.now();
        if self.quarantine.is_suspect(now, call) {
            return Err(HedgeDenial::Suspect);
        }
        let conditions = HedgeConditions {
            is_processor_busy: self.processor.is_busy(),
            has_room: pool.load_view().has_room(now),
        };
        hedging.with_pool(&pool_name, |pool| pool.try_hedge(conditions))?;
        let taken = match self.take_hedge(call, pool, attempts, &pool_name).await {
            Ok(taken) => taken,
            Err(denial) => {
                self.return_hedge(&pool_name);
                return Err(denial);
            }
        };
        let (sent_call, selected, retry) = taken;
        self.metrics.on_hedge(HedgeEvent::Sent);
        let server = Arc::clone(&sent_call.server);
        self.summaries.on_call_sent(&server, &call.demand);
        attempts.tried_servers.push(server.id.clone());
        attempts.sends += 1;
        attempts.may_have_arrived = true;
        // Counted at once, so that the call never runs at more servers than its route allows. A refusal takes it back.
        attempts.record_possible_run();
        tracing::info!(
            request = call.id,
            route = call.route.name,
            workspace = call.workspace_name(),
            server = server.id,
            first_server,
            silent_ms = silent.as_millis(),
            sends = attempts.sends,
            in_flight = selected.choice.in_flight,
            remaining_ms = remaining.as_millis(),
            "hedge sent"
        );
        let target = Target::new(&sent_call, attempts, selected.fetch_from);
        let handover = Arc::clone(&target.handovers[0]);
        let exchange = Arc::clone(self).send_to_server(Arc::clone(call), target, remaining, None);
        let hedge = TakenHedge {
            gateway: Arc::clone(self),
            pool: pool_name,
            retry: Some(retry),
        };
        let exchange = async move {
            // Counts the call among the first ones after a rest of the server.
            let _selected = selected;
            let result = exchange.await;
            hedge.end(&result);
            result
        };
        attempts
            .in_flight
            .push(Exchange::new(sent_call, handover, exchange));
        Ok(())
    }

    /// Selects a server with a free slot without waiting, and takes a repeat from the retry budget.
    async fn take_hedge(
        &self,
        call: &Arc<Call>,
        pool: &Arc<PoolState>,
        attempts: &mut Attempts,
        pool_name: &PoolId,
    ) -> Result<(SentCall, SelectedServer, TakenRetry), HedgeDenial> {
        let selecting = self.select_server(call, pool, &attempts.tried_servers, attempts.version);
        let Some(Ok((mut sent_call, selected))) = poll_once(selecting).await else {
            return Err(HedgeDenial::NoServer);
        };
        // The log lines of a hedge are its own.
        sent_call.is_end_logged = true;
        if selected.choice.in_flight >= selected.server.slots {
            return Err(HedgeDenial::NoRoom);
        }
        let retry = self.take_retry(pool_name);
        let retry = retry.ok_or(HedgeDenial::RetryBudget)?;
        Ok((sent_call, selected, retry))
    }

    /// Waits until `expiry` for the other server of a hedged call whose first server has failed.
    async fn outlast_failure(
        self: &Arc<Self>,
        attempts: &mut Attempts,
        mut failed: SentCall,
        failure: ExchangeResult,
        expiry: Instant,
    ) -> Awaited {
        while !attempts.in_flight.is_empty() {
            let result = timeout_at(expiry.into(), attempts.first_result(self)).await;
            let Ok((sent_call, result)) = result else {
                break;
            };
            match self.on_late_result(attempts, sent_call, result) {
                Some(started) if started.is_server_failure() => attempts.keep_failure(started),
                Some(started) => {
                    self.metrics.on_attempt(match &failure {
                        Ok(_) => "failed",
                        Err(error) => error.name(),
                    });
                    failed.is_end_logged = true;
                    attempts.record_possible_run();
                    if let Some(failure) = self.on_late_result(attempts, failed, failure) {
                        attempts.keep_failure(failure);
                    }
                    return Awaited::Other(started);
                }
                None => {}
            }
        }
        Awaited::Own(Some((failed, failure)))
    }

    /// Records that another server answered a call first. Its server was at least as slow as the time until now.
    fn on_overtaken(&self, sent_call: &SentCall) {
        self.learn_first_byte_time(sent_call);
        let slowness = sent_call.slowness(self.own_delay());
        let mut load_view = sent_call.pool.load_view();
        let outcome = CallOutcome::Overtaken { slowness };
        load_view.on_outcome(self.fleet.now(), &sent_call.server.id, outcome);
    }
}

fn is_failure(result: &ExchangeResult) -> bool {
    match result {
        Ok((response, _)) => response.head.status().is_server_error(),
        Err(_) => true,
    }
}
