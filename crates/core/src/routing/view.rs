//! State of a pool from the view of one tier, which includes only requests of this tier and higher ones.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;

use super::hint::{DecayingMean, Hint};
use super::{LoadHint, ResponseMeasurements};
use crate::ids::TierId;
use crate::straggler::SpeedTable;

/// Number of classes of prompt lengths, which are powers of two in tokens.
const PROMPT_SIZE_CLASSES: usize = 24;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Bound of the ratio of a server's latency to the pool's, in both directions, so that a few slow requests do not
/// outweigh the in-flight requests.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// Size of the table of cached prefixes. Of two prefixes with the same index, the later one replaces the earlier one.
const CACHE_ENTRIES: usize = 1024;
/// Time after which a cache event is ignored, because engines report evictions late and may omit some.
const CACHE_LIFETIME: Duration = Duration::from_mins(1);

/// Soft state of one server.
#[derive(Debug, Clone, Default)]
struct ServerView {
    in_flight: u32,
    hint: Option<Hint>,
    batch_limit: u32,
    latency_ratio: Option<f64>,
}

/// Sum and number of the known batch limits; an unknown limit is 0.
#[derive(Debug, Default)]
struct BatchLimits {
    sum: u64,
    count: u32,
}

impl BatchLimits {
    fn replace(&mut self, old: u32, new: u32) {
        self.sum = self.sum + u64::from(new) - u64::from(old);
        self.count = self.count + u32::from(new > 0) - u32::from(old > 0);
    }

    fn mean(&self) -> f64 {
        let sum = u32::try_from(self.sum).unwrap_or(u32::MAX);
        f64::from(sum) / f64::from(self.count.max(1))
    }
}

#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    prefix_hash: u64,
    slot: usize,
    epoch: u64,
    stored_at: Duration,
}

/// State of all servers of a pool for one tier.
#[derive(Debug)]
pub(super) struct View {
    tier: TierId,
    pub(super) rng: Pcg64Mcg,
    pub(super) speed: SpeedTable,
    servers: Vec<ServerView>,
    in_flight: u64,
    other_load: DecayingMean,
    batch_limits: BatchLimits,
    latency_by_size: [Option<f64>; PROMPT_SIZE_CLASSES],
    cached: Vec<Option<CachedPrefix>>,
}

impl View {
    pub(super) fn new(tier: TierId, seed: u64) -> Self {
        Self {
            tier,
            rng: Pcg64Mcg::seed_from_u64(seed.wrapping_add(u64::from(tier))),
            speed: SpeedTable::default(),
            servers: Vec::new(),
            in_flight: 0,
            other_load: DecayingMean::default(),
            batch_limits: BatchLimits::default(),
            latency_by_size: [None; PROMPT_SIZE_CLASSES],
            cached: vec![None; CACHE_ENTRIES],
        }
    }

    /// Clears the state of the server in `slot`.
    pub(super) fn reset(&mut self, slot: usize) {
        if self.servers.len() <= slot {
            self.servers.resize(slot + 1, ServerView::default());
        }
        let old = std::mem::take(&mut self.servers[slot]);
        self.in_flight -= u64::from(old.in_flight);
        self.batch_limits.replace(old.batch_limit, 0);
        if let Some(hint) = old.hint {
            self.other_load.remove(&hint);
        }
        self.speed.reset(slot);
    }

    pub(super) fn on_sent(&mut self, slot: usize) {
        self.servers[slot].in_flight += 1;
        self.in_flight += 1;
    }

    pub(super) fn on_response(
        &mut self,
        now: Duration,
        slot: usize,
        response: &ResponseMeasurements,
    ) {
        self.servers[slot].in_flight -= 1;
        self.in_flight -= 1;
        if let Some(load) = &response.load {
            self.on_load(now, slot, load);
        }
        if let Some(latency) = response.first_token {
            self.on_latency(slot, latency, response.prompt_tokens);
            self.speed.on_success(now, slot);
        }
        if let Some(pace) = &response.pace {
            self.speed.on_sample(now, slot, pace);
        }
    }

    fn on_load(&mut self, now: Duration, slot: usize, load: &LoadHint) {
        let busy: u32 = load
            .busy_by_tier
            .iter()
            .take(usize::from(self.tier) + 1)
            .sum();
        let server = &mut self.servers[slot];
        let other_load = f64::from(busy.saturating_sub(server.in_flight));
        let hint = Hint {
            other_load,
            received_at: now,
        };
        if let Some(old) = server.hint.replace(hint) {
            self.other_load.remove(&old);
        }
        self.other_load.add(&hint);
        if load.batch_limit > 0 {
            self.batch_limits
                .replace(server.batch_limit, load.batch_limit);
            server.batch_limit = load.batch_limit;
        }
    }

    fn on_latency(&mut self, slot: usize, latency: Duration, prompt_tokens: u32) {
        let size_class =
            PROMPT_SIZE_CLASSES.min(32 - prompt_tokens.leading_zeros() as usize + 1) - 1;
        let sample = latency.as_secs_f64().max(1e-6);
        let mean = self.latency_by_size[size_class].get_or_insert(sample);
        *mean += (sample - *mean) * SAMPLE_WEIGHT;
        let ratio = (sample / *mean).clamp(1.0 / MAX_LATENCY_RATIO, MAX_LATENCY_RATIO);
        let average = self.servers[slot].latency_ratio.get_or_insert(1.0);
        *average += (ratio - *average) * SAMPLE_WEIGHT;
    }

    pub(super) fn on_cache_stored(
        &mut self,
        now: Duration,
        prefix_hash: u64,
        slot: usize,
        epoch: u64,
    ) {
        self.cached[cache_index(prefix_hash)] = Some(CachedPrefix {
            prefix_hash,
            slot,
            epoch,
            stored_at: now,
        });
    }

    pub(super) fn on_cache_removed(&mut self, prefix_hash: u64, slot: usize) {
        let entry = &mut self.cached[cache_index(prefix_hash)];
        if entry.is_some_and(|cached| cached.prefix_hash == prefix_hash && cached.slot == slot) {
            *entry = None;
        }
    }

    /// Returns slot and epoch of the server that last reported the prefix as cached.
    pub(super) fn cached_at(&self, now: Duration, prefix_hash: u64) -> Option<(usize, u64)> {
        let cached = self.cached[cache_index(prefix_hash)]?;
        let is_valid = cached.prefix_hash == prefix_hash
            && now.saturating_sub(cached.stored_at) < CACHE_LIFETIME;
        is_valid.then_some((cached.slot, cached.epoch))
    }

    pub(super) fn in_flight(&self, slot: usize) -> u32 {
        self.servers[slot].in_flight
    }

    /// Returns the number of requests of this tier and higher ones at the server: those of this entry and an estimate
    /// of those of other entries.
    pub(super) fn load(&self, now: Duration, slot: usize) -> f64 {
        let server = &self.servers[slot];
        let mean = self.other_load.value();
        let other_load = server.hint.map_or(mean, |hint| hint.decayed(now, mean));
        f64::from(server.in_flight) + other_load
    }

    /// Returns the mean load of the pool, which has `count` servers.
    pub(super) fn mean_load(&self, count: usize) -> f64 {
        let in_flight = f64::from(u32::try_from(self.in_flight).unwrap_or(u32::MAX));
        let count = f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
        in_flight / count + self.other_load.value()
    }

    /// Returns the batch limit that the server last reported; 0 when unknown.
    pub(super) fn batch_limit(&self, slot: usize) -> f64 {
        f64::from(self.servers[slot].batch_limit)
    }

    /// Returns the batch limit of the server relative to the pool's mean, from 0.25 to 4; 1 when unknown.
    pub(super) fn relative_capacity(&self, slot: usize) -> f64 {
        let mean = self.batch_limits.mean();
        let own = self.batch_limit(slot);
        if mean < 1.0 || own < 1.0 {
            return 1.0;
        }
        (own / mean).clamp(0.25, 4.0)
    }

    /// Returns the latency of the server relative to the pool's mean, from 0.5 to 2; 1 when unknown.
    pub(super) fn relative_latency(&self, slot: usize) -> f64 {
        self.servers[slot].latency_ratio.unwrap_or(1.0)
    }
}

fn cache_index(prefix_hash: u64) -> usize {
    super::rendezvous::scale(
        prefix_hash.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        CACHE_ENTRIES,
    )
}
