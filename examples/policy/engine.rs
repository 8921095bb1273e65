//! Emulated model engine with continuous batching, chunked prefill and a prefix cache of limited size.

use std::collections::BTreeMap;
use std::time::Duration;

/// Fixed time of a step.
const STEP_BASE_SECS: f64 = 0.010;
/// Time that each request that generates a token adds to a step.
const STEP_PER_REQUEST_SECS: f64 = 0.001;
/// Time that each token of a prompt adds to a step.
const STEP_PER_PROMPT_TOKEN_SECS: f64 = 0.000_05;
/// Prompt tokens that one step processes at most.
const PREFILL_CHUNK_TOKENS: u32 = 512;
/// Capacity of the prefix cache.
const CACHE_CAPACITY_TOKENS: u32 = 60_000;
/// Batch size at which the capacity of an engine counts as load 1.
const NOMINAL_BATCH: f64 = 28.0;
/// Engine time of one prompt token relative to that of one generated token.
pub const PROMPT_TOKEN_WORK: f64 =
    STEP_PER_PROMPT_TOKEN_SECS / (STEP_BASE_SECS / NOMINAL_BATCH + STEP_PER_REQUEST_SECS);

/// Returns the engine time of a request whose shared prefix is cached, in a batch of nominal size.
pub fn nominal_secs(own_prompt: u32, response: u32) -> f64 {
    let per_token = STEP_BASE_SECS / NOMINAL_BATCH + STEP_PER_REQUEST_SECS;
    f64::from(own_prompt) * STEP_PER_PROMPT_TOKEN_SECS + f64::from(response) * per_token
}

/// Request in the engine's batch.
struct Slot {
    id: u64,
    prefill_left: u32,
    /// Prompt tokens that the step in progress processes.
    chunk: u32,
    /// Tokens of the prompt and of the response so far.
    context: u32,
    /// Cache key and tokens of the prefix that other requests share.
    shared_prefix: (u64, u32),
    is_decoding: bool,
}

/// Result of a step for one request.
pub struct StepResult {
    pub id: u64,
    /// Prompt tokens processed.
    pub prefilled: u32,
    /// Whether a token was generated.
    pub has_token: bool,
}

pub struct Engine {
    slots: Vec<Slot>,
    /// Cached tokens and last use by key; the key is the hash of a shared prefix or derived from the number of a
    /// preempted request.
    cache: BTreeMap<u64, (u32, u64)>,
    /// Logical clock of the uses of the cache.
    uses: u64,
    pub is_stepping: bool,
    /// Factor on the duration of a step.
    pub slowness: f64,
    /// Counts steps and crashes, so that the end of a step interrupted by a crash can be recognized.
    pub steps: u64,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            cache: BTreeMap::new(),
            uses: 0,
            is_stepping: false,
            slowness: 1.0,
            steps: 0,
        }
    }

    /// Clears all state, as a crash does.
    pub fn reset(&mut self) {
        self.slots.clear();
        self.cache.clear();
        self.is_stepping = false;
        self.steps += 1;
    }

    pub fn running(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Adds a request of `context` tokens to the batch. `shared_prefix` is the key and the size of the prefix that may be
    /// cached.
    pub fn start(&mut self, id: u64, context: u32, shared_prefix: (u64, u32)) {
        let cached_state = self
            .cache
            .remove(&state_key(id))
            .map_or(0, |(tokens, _)| tokens);
        let cached_prefix = if self.cache.contains_key(&shared_prefix.0) {
            shared_prefix.1
        } else {
            0
        };
        self.touch(shared_prefix.0, shared_prefix.1, false);
        let prefill_left = context
            .saturating_sub(cached_state.max(cached_prefix))
            .max(1);
        self.slots.push(Slot {
            id,
            prefill_left,
            chunk: 0,
            context,
            shared_prefix,
            is_decoding: false,
        });
    }

    /// Removes a request from the batch. If `keep_state` is set and prefill is complete, its context stays cached for a
    /// later restart.
    pub fn stop(&mut self, id: u64, keep_state: bool) {
        let Some(index) = self.slots.iter().position(|slot| slot.id == id) else {
            return;
        };
        let slot = self.slots.remove(index);
        if keep_state && slot.prefill_left == 0 {
            self.touch(state_key(id), slot.context, true);
        }
    }

    /// Begins a step and returns its duration; `None` if there is no work.
    pub fn begin_step(&mut self) -> Option<Duration> {
        let mut budget = PREFILL_CHUNK_TOKENS;
        let mut decoding_count = 0.0;
        for slot in &mut self.slots {
            slot.is_decoding = slot.prefill_left == 0;
            slot.chunk = slot.prefill_left.min(budget);
            budget -= slot.chunk;
            decoding_count += f64::from(u8::from(slot.is_decoding));
        }
        let prompt = f64::from(PREFILL_CHUNK_TOKENS - budget);
        let secs = STEP_BASE_SECS
            + decoding_count * STEP_PER_REQUEST_SECS
            + prompt * STEP_PER_PROMPT_TOKEN_SECS;
        self.is_stepping = !self.slots.is_empty();
        self.is_stepping
            .then(|| Duration::from_secs_f64(secs * self.slowness))
    }

    /// Ends the step in progress and returns its results.
    pub fn end_step(&mut self) -> Vec<StepResult> {
        let mut results = Vec::new();
        let mut cached = Vec::new();
        for slot in &mut self.slots {
            let prefilled = std::mem::take(&mut slot.chunk);
            slot.prefill_left -= prefilled;
            let has_token = slot.is_decoding || (prefilled > 0 && slot.prefill_left == 0);
            if prefilled > 0 && slot.prefill_left == 0 {
                cached.push(slot.shared_prefix);
            }
            slot.context += u32::from(has_token);
            results.push(StepResult {
                id: slot.id,
                prefilled,
                has_token,
            });
        }
        for (key, tokens) in cached {
            self.touch(key, tokens, true);
        }
        results
    }

    /// Marks a cache entry as used, inserts it if `insert` is set, and evicts the least recently used entries while the
    /// cache exceeds its capacity.
    fn touch(&mut self, key: u64, tokens: u32, insert: bool) {
        self.uses += 1;
        if insert || self.cache.contains_key(&key) {
            self.cache.insert(key, (tokens, self.uses));
        }
        while self.cache.values().map(|(tokens, _)| tokens).sum::<u32>() > CACHE_CAPACITY_TOKENS {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, (_, used))| *used)
                .map(|(key, _)| *key);
            oldest.and_then(|key| self.cache.remove(&key));
        }
    }
}

/// Returns the cache key for the state of a preempted request; the top bit distinguishes it from prefix hashes.
fn state_key(id: u64) -> u64 {
    id | 1 << 63
}
