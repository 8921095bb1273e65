//! Estimates of output length from streaming quantiles.
//!
//! Lengths are recorded per (tier, class, model, workspace), with a fallback per (tier, class, model) and a configured
//! prior. The tier is part of every key and every tier has its own memory limit, so the estimates of one tier do not
//! depend on the requests of another. Samples are stored in `hdrhistogram` histograms of two alternating generations,
//! so that old samples expire.

use std::collections::BTreeMap;
use std::hash::Hasher;

use hdrhistogram::Histogram;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::TierId;

/// Largest output length that a histogram records, in tokens; longer outputs are recorded with this length.
const MAX_RECORDED_TOKENS: u64 = 1 << 17;

/// Samples after which a histogram starts a new generation.
const SAMPLES_PER_GENERATION: u64 = 256;

/// Number of samples from which an estimate is used instead of the next fallback.
const MIN_SAMPLES: u64 = 12;

/// Attributes of a request that determine its estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EstimateKey<'a> {
    /// Estimates of different tiers are independent; 0 is the highest tier.
    pub tier: TierId,
    /// Request class, as named in the configuration.
    pub class: &'a str,
    /// Requested model, as named by the caller.
    pub model: &'a str,
    /// Workspace of the caller; ignored by the fallback.
    pub workspace: &'a str,
}

impl EstimateKey<'_> {
    fn exact(&self) -> u64 {
        hash_parts(&[self.class, self.model, self.workspace])
    }

    fn fallback(&self) -> u64 {
        hash_parts(&[self.class, self.model])
    }
}

fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0xff);
    }
    hasher.write_usize(parts.len());
    hasher.finish()
}

/// Two generations of samples of one key.
#[derive(Debug)]
struct LengthSamples {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    current_sum: u64,
    previous_sum: u64,
    last_use: u64,
}

impl LengthSamples {
    fn new() -> Self {
        Self {
            current: empty_histogram(),
            previous: empty_histogram(),
            current_sum: 0,
            previous_sum: 0,
            last_use: 0,
        }
    }

    fn record(&mut self, tokens: u64) {
        if self.current.len() >= SAMPLES_PER_GENERATION {
            self.previous = std::mem::replace(&mut self.current, empty_histogram());
            self.previous_sum = std::mem::take(&mut self.current_sum);
        }
        let tokens = tokens.clamp(1, MAX_RECORDED_TOKENS);
        self.current.saturating_record(tokens);
        self.current_sum += tokens;
    }

    fn samples(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn mean(&self) -> u64 {
        (self.current_sum + self.previous_sum) / self.samples().max(1)
    }

    /// Returns the mean length of the samples above `tokens`, or `None` if there are none.
    fn mean_above(&self, tokens: u64) -> Option<u64> {
        let mut count = 0;
        let mut sum = 0;
        for histogram in [&self.current, &self.previous] {
            for value in histogram.iter_recorded() {
                if value.value_iterated_to() > tokens {
                    count += value.count_at_value().into_u64();
                    sum += value.count_at_value().into_u64() * value.value_iterated_to();
                }
            }
        }
        (count > 0).then(|| sum / count)
    }

    fn quantile(&self, quantile: f64) -> u64 {
        let mut both = self.current.clone();
        if both.add(&self.previous).is_err() {
            return self.mean();
        }
        both.value_at_quantile(quantile)
    }
}

/// Conversion of histogram counts, which are `u32` here, to `u64`.
trait IntoU64 {
    fn into_u64(self) -> u64;
}

impl IntoU64 for u32 {
    fn into_u64(self) -> u64 {
        u64::from(self)
    }
}

fn empty_histogram() -> Histogram<u32> {
    // The bounds and the precision are constants within the documented range of the library.
    Histogram::new_with_bounds(1, MAX_RECORDED_TOKENS, 1)
        .expect("constant histogram bounds are valid")
}

/// Streaming estimates of output lengths with bounded memory.
///
/// ```
/// use tanagerford_core::estimate::{EstimateKey, OutputEstimator};
///
/// let mut estimator = OutputEstimator::new(200, 64);
/// let key = EstimateKey { tier: 0, class: "chat", model: "small", workspace: "acme" };
/// assert_eq!(estimator.expected(key, 1_000), 200);
/// for _ in 0..50 {
///     estimator.record(key, 40);
/// }
/// assert_eq!(estimator.expected(key, 1_000), 40);
/// assert!((9..=12).contains(&estimator.remaining(key, 30, 1_000)));
/// assert_eq!(estimator.len(), 2);
/// assert!(!estimator.is_empty());
/// ```
#[derive(Debug)]
pub struct OutputEstimator {
    prior_tokens: u32,
    keys_per_tier: usize,
    exact: BTreeMap<TierId, BTreeMap<u64, LengthSamples>>,
    fallback: BTreeMap<TierId, BTreeMap<u64, LengthSamples>>,
}

impl OutputEstimator {
    /// Creates an estimator that returns `prior_tokens` until it has samples. It stores at most `keys_per_tier` exact
    /// and as many fallback keys per tier.
    #[must_use]
    pub fn new(prior_tokens: u32, keys_per_tier: usize) -> Self {
        Self {
            prior_tokens,
            keys_per_tier: keys_per_tier.max(1),
            exact: BTreeMap::new(),
            fallback: BTreeMap::new(),
        }
    }

    /// Records the length of a complete response in tokens.
    pub fn record(&mut self, key: EstimateKey<'_>, tokens: u32) {
        let limit = self.keys_per_tier;
        record_in(
            self.exact.entry(key.tier).or_default(),
            key.exact(),
            limit,
            tokens,
        );
        record_in(
            self.fallback.entry(key.tier).or_default(),
            key.fallback(),
            limit,
            tokens,
        );
    }

    /// Returns the expected length of a response in tokens, from 1 to `max_tokens`.
    #[must_use]
    pub fn expected(&self, key: EstimateKey<'_>, max_tokens: u32) -> u32 {
        let tokens = self
            .lengths(key)
            .map_or(u64::from(self.prior_tokens), LengthSamples::mean);
        clamp_tokens(tokens, max_tokens)
    }

    /// Returns the length that the given share of responses does not exceed, from 1 to `max_tokens`.
    ///
    /// ```
    /// use tanagerford_core::estimate::{EstimateKey, OutputEstimator};
    ///
    /// let mut estimator = OutputEstimator::new(200, 64);
    /// let key = EstimateKey { tier: 0, class: "chat", model: "small", workspace: "acme" };
    /// (1..=100).for_each(|tokens| estimator.record(key, tokens));
    /// assert!((88..=96).contains(&estimator.quantile(key, 0.9, 1_000)));
    /// ```
    #[must_use]
    pub fn quantile(&self, key: EstimateKey<'_>, quantile: f64, max_tokens: u32) -> u32 {
        let tokens = self
            .lengths(key)
            .map_or(u64::from(self.prior_tokens), |lengths| {
                lengths.quantile(quantile)
            });
        clamp_tokens(tokens, max_tokens)
    }

    /// Returns the expected number of further tokens after `generated` tokens, at least 1.
    #[must_use]
    pub fn remaining(&self, key: EstimateKey<'_>, generated: u32, max_tokens: u32) -> u32 {
        let left = max_tokens.saturating_sub(generated).max(1);
        let generated = u64::from(generated);
        let total = self
            .lengths(key)
            .and_then(|lengths| lengths.mean_above(generated))
            // Beyond all samples, assume half as many tokens again, as for a long-tailed distribution.
            .unwrap_or_else(|| u64::from(self.prior_tokens).max(generated + generated / 2));
        clamp_tokens(total.saturating_sub(generated), left)
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub fn len(&self) -> usize {
        let exact: usize = self.exact.values().map(BTreeMap::len).sum();
        let fallback: usize = self.fallback.values().map(BTreeMap::len).sum();
        exact + fallback
    }

    /// Returns whether nothing has been recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lengths(&self, key: EstimateKey<'_>) -> Option<&LengthSamples> {
        let exact = self
            .exact
            .get(&key.tier)
            .and_then(|keys| keys.get(&key.exact()));
        let fallback = self
            .fallback
            .get(&key.tier)
            .and_then(|keys| keys.get(&key.fallback()));
        exact
            .filter(|lengths| lengths.samples() >= MIN_SAMPLES)
            .or_else(|| fallback.filter(|lengths| lengths.samples() >= MIN_SAMPLES))
    }
}

fn record_in(keys: &mut BTreeMap<u64, LengthSamples>, key: u64, limit: usize, tokens: u32) {
    let latest_use = keys
        .values()
        .map(|lengths| lengths.last_use)
        .max()
        .unwrap_or(0);
    if keys.len() >= limit && !keys.contains_key(&key) {
        let oldest = keys
            .iter()
            .min_by_key(|(_, lengths)| lengths.last_use)
            .map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            keys.remove(&oldest);
        }
    }
    let lengths = keys.entry(key).or_insert_with(LengthSamples::new);
    lengths.record(u64::from(tokens));
    lengths.last_use = latest_use + 1;
}

fn clamp_tokens(tokens: u64, max_tokens: u32) -> u32 {
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    tokens.clamp(1, max_tokens.max(1))
}
