//! Fetches of prompt parts from the prefix cache of another engine.
//!
//! An engine that lacks the first parts of a prompt can copy them from another engine instead of processing them again. A
//! copy is worth its transfer only where processing takes longer. An engine carries out its transfers one after another,
//! so the estimate includes the transfers that were begun recently.

use std::time::Duration;

use super::cost::milliseconds;
use super::{Demand, PromptPart, ServerIndex, ServerState};

/// Fixed time of a transfer in milliseconds, independent of its length.
const SETUP_MS: f64 = 3.0;
/// Factor by which a transfer between availability zones takes longer, as the platform states it for moves.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// Share of the processing time of the parts that a fetch may take at most. Below it, an error of the estimate or a source
/// that has evicted a part costs more than a small gain.
const MAX_TIME_SHARE: f64 = 0.5;
/// Queued transfer time, in milliseconds, from which a server is not used as a source.
const BUSY_MS: f64 = 100.0;
/// Failure rate from which a server is not used as a source.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Smallest number of tokens that is fetched. A smaller transfer costs more messages and setup than it saves.
const MIN_TOKENS: u32 = 256;
/// Number of consecutive fetches without the expected effect after which a server is not used as a source for
/// [`DISTRUST_TIME`]. A single late first token has other causes.
const MAX_MISSES: u32 = 3;
/// Time for which a server without the expected parts is not used as a source.
const DISTRUST_TIME: Duration = Duration::from_secs(4);

/// Means by which the engines of a pool copy cached parts from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferLink {
    /// Bytes of cache memory for each token; 0 if the engines do not copy parts.
    pub bytes_per_token: u64,
    /// Rate of a transfer in bits per millisecond; 0 if the engines do not copy parts.
    pub bits_per_ms: u64,
}

impl TransferLink {
    /// Returns the rate of a transfer in tokens per millisecond; `None` if the engines do not copy parts.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_core::dispatch::TransferLink;
    ///
    /// let link = TransferLink { bytes_per_token: 125_000, bits_per_ms: 500_000_000 };
    /// assert_eq!(link.tokens_per_ms(), Some(500.0));
    /// let no_link = TransferLink { bits_per_ms: 0, ..link };
    /// assert_eq!(no_link.tokens_per_ms(), None);
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "rates need no more than 52 bits of precision"
    )]
    pub fn tokens_per_ms(self) -> Option<f64> {
        let is_usable = self.bytes_per_token > 0 && self.bits_per_ms > 0;
        is_usable.then(|| self.bits_per_ms as f64 / 8.0 / self.bytes_per_token as f64)
    }
}

/// Transfers of one server that this entry knows of.
#[derive(Debug, Default)]
pub(super) struct ServerTransfers {
    /// Time at which the last known transfer ends.
    busy_until: Duration,
    /// Consecutive fetches from this server without the expected effect.
    misses: u32,
    distrusted_until: Duration,
}

impl ServerTransfers {
    fn queued_ms(&self, now: Duration) -> f64 {
        milliseconds(self.busy_until.saturating_sub(now))
    }

    /// Records a transfer to or from the server that ends after `transfer_ms`.
    pub(super) fn begin(&mut self, now: Duration, transfer_ms: f64) {
        let ends_at = now + Duration::from_secs_f64(transfer_ms / 1_000.0);
        self.busy_until = self.busy_until.max(ends_at);
    }

    /// Records whether a fetch from the server saved the processing of the parts.
    pub(super) fn record_effect(&mut self, now: Duration, had_effect: bool) {
        if had_effect {
            self.misses = 0;
            return;
        }
        self.misses += 1;
        if self.misses >= MAX_MISSES {
            self.misses = 0;
            self.distrusted_until = now + DISTRUST_TIME;
        }
    }
}

/// Copy of the first parts of a prompt from another server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fetch {
    pub(super) source: ServerIndex,
    /// Tokens that the source has and the destination lacks.
    pub(super) tokens: u32,
    /// Estimated time until the transfer has ended, including the transfers before it, in milliseconds.
    pub(super) transfer_ms: f64,
    /// Time of the transfer itself, in milliseconds.
    pub(super) copy_ms: f64,
}

/// Server that holds the first parts of a prompt.
#[derive(Debug, Clone, Copy)]
struct Source<'a> {
    server: ServerIndex,
    zone: &'a str,
    held_tokens: u32,
    queued_ms: f64,
}

/// Servers that hold the first parts of a prompt: the best one of each availability zone.
#[derive(Debug)]
pub(super) struct Sources<'a> {
    by_zone: Vec<Source<'a>>,
    tokens_per_ms: f64,
}

impl<'a> Sources<'a> {
    /// Finds the servers from which parts of the prompt can be fetched.
    pub(super) fn find(
        tokens_per_ms: f64,
        now: Duration,
        demand: &Demand,
        servers: impl Iterator<Item = (ServerIndex, &'a ServerState)>,
    ) -> Self {
        let mut by_zone: Vec<Source<'a>> = Vec::new();
        for (index, state) in servers {
            let Some(source) = source(now, &demand.parts, index, state) else {
                continue;
            };
            let best = by_zone.iter_mut().find(|best| best.zone == source.zone);
            match best {
                Some(best) if source.is_better_than(best) => *best = source,
                Some(_) => {}
                None => by_zone.push(source),
            }
        }
        Self {
            by_zone,
            tokens_per_ms,
        }
    }

    /// Returns the fetch that saves a destination most time, or `None` if processing the prompt is not slower.
    /// `uncached_tokens` are the tokens of the prompt that the destination lacks.
    pub(super) fn best_fetch(
        &self,
        now: Duration,
        (index, state): (ServerIndex, &ServerState),
        demand: &Demand,
        uncached_tokens: u32,
        prefill_tokens_per_ms: f64,
    ) -> Option<Fetch> {
        let cached_tokens = demand.prompt_tokens.saturating_sub(uncached_tokens);
        let mut best: Option<(f64, Fetch)> = None;
        for source in self.by_zone.iter().filter(|source| source.server != index) {
            let tokens = source.held_tokens.saturating_sub(cached_tokens);
            let tokens = tokens.min(uncached_tokens);
            if tokens < MIN_TOKENS {
                continue;
            }
            let is_same_zone = source.zone == state.spec.zone;
            let zone_factor = if is_same_zone { 1.0 } else { CROSS_ZONE_FACTOR };
            let queued_ms = source.queued_ms.max(state.transfers.queued_ms(now));
            let copy_ms = f64::from(tokens) / self.tokens_per_ms * zone_factor;
            let transfer_ms = queued_ms + SETUP_MS + copy_ms;
            let prefill_ms = f64::from(tokens) / prefill_tokens_per_ms;
            let saved_ms = prefill_ms - transfer_ms;
            let is_best = best.is_none_or(|(most_saved_ms, _)| saved_ms > most_saved_ms);
            if transfer_ms <= prefill_ms * MAX_TIME_SHARE && is_best {
                let fetch = Fetch {
                    source: source.server,
                    tokens,
                    transfer_ms,
                    copy_ms,
                };
                best = Some((saved_ms, fetch));
            }
        }
        best.map(|(_, fetch)| fetch)
    }
}

impl Source<'_> {
    fn is_better_than(&self, other: &Self) -> bool {
        let is_equal = self.held_tokens == other.held_tokens;
        self.held_tokens > other.held_tokens || (is_equal && self.queued_ms < other.queued_ms)
    }
}

fn source<'a>(
    now: Duration,
    parts: &[PromptPart],
    server: ServerIndex,
    state: &'a ServerState,
) -> Option<Source<'a>> {
    let queued_ms = state.transfers.queued_ms(now);
    let is_usable = queued_ms < BUSY_MS
        && now >= state.transfers.distrusted_until
        && !state.health.is_ejected(now)
        && state.health.failure_rate(now) < MAX_FAILURE_RATE;
    let held_tokens = state.cache.held_tokens(now, parts);
    (is_usable && held_tokens >= MIN_TOKENS).then(|| Source {
        server,
        zone: &state.spec.zone,
        held_tokens,
        queued_ms,
    })
}
