//! Fake model engine: continuous batching, chunked prefill and a prefix cache of limited size.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time of a step without work.
const STEP_BASE_SECS: f64 = 0.010;
/// Time that each decoding request adds to a step.
const STEP_PER_REQUEST_SECS: f64 = 0.001;
/// Time that each token of a prompt adds to a step.
const STEP_PER_PROMPT_TOKEN_SECS: f64 = 0.000_05;
/// Prompt tokens that one step processes at most.
const PREFILL_CHUNK: u32 = 512;
/// Tokens that the prefix cache holds.
const CACHE_TOKENS: u32 = 60_000;
/// Batch size at which capacity is counted as 1.
const NOMINAL_BATCH: f64 = 28.0;
/// Work of one prompt token in units of one generated token.
pub const PROMPT_WORK: f64 =
    STEP_PER_PROMPT_TOKEN_SECS / (STEP_BASE_SECS / NOMINAL_BATCH + STEP_PER_REQUEST_SECS);

/// Returns the engine time of a request whose shared prefix is cached.
pub fn nominal_secs(own_prompt: u32, answer: u32) -> f64 {
    let per_token = STEP_BASE_SECS / NOMINAL_BATCH + STEP_PER_REQUEST_SECS;
    f64::from(own_prompt) * STEP_PER_PROMPT_TOKEN_SECS + f64::from(answer) * per_token
}

/// A request in the engine's batch.
struct Slot {
    id: u64,
    prefill_left: u32,
    /// Prompt tokens that the step in progress processes.
    chunk: u32,
    context: u32,
    shared: (u64, u32),
    decodes: bool,
}

/// What a step did for a request.
pub struct StepResult {
    pub id: u64,
    pub prefilled: u32,
    /// Whether a token was generated.
    pub token: bool,
}

pub struct Engine {
    slots: Vec<Slot>,
    /// Cached tokens and last use by key: a hash of a shared prefix or the number of a preempted request.
    cache: BTreeMap<u64, (u32, u64)>,
    uses: u64,
    pub stepping: bool,
    pub slowness: f64,
    pub steps: u64,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            cache: BTreeMap::new(),
            uses: 0,
            stepping: false,
            slowness: 1.0,
            steps: 0,
        }
    }

    /// Loses all state, as after a crash.
    pub fn reset(&mut self) {
        self.slots.clear();
        self.cache.clear();
        self.stepping = false;
        self.steps += 1;
    }

    pub fn running(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Adds a request whose context is `context` tokens, of which `shared` may be cached under a prefix key.
    pub fn start(&mut self, id: u64, context: u32, shared: (u64, u32)) {
        let state = self
            .cache
            .remove(&state_key(id))
            .map_or(0, |(tokens, _)| tokens);
        let prefix = if self.cache.contains_key(&shared.0) {
            shared.1
        } else {
            0
        };
        self.touch(shared.0, shared.1, false);
        let prefill_left = context.saturating_sub(state.max(prefix)).max(1);
        self.slots.push(Slot {
            id,
            prefill_left,
            chunk: 0,
            context,
            shared,
            decodes: false,
        });
    }

    /// Removes a request; a preempted one leaves its state in the cache.
    pub fn stop(&mut self, id: u64, keep_state: bool) {
        let Some(index) = self.slots.iter().position(|slot| slot.id == id) else {
            return;
        };
        let slot = self.slots.remove(index);
        if keep_state && slot.prefill_left == 0 {
            self.touch(state_key(id), slot.context, true);
        }
    }

    /// Begins a step and returns its length; `None` when there is no work.
    pub fn begin_step(&mut self) -> Option<Duration> {
        let mut budget = PREFILL_CHUNK;
        let mut decoding = 0.0;
        for slot in &mut self.slots {
            slot.decodes = slot.prefill_left == 0;
            slot.chunk = slot.prefill_left.min(budget);
            budget -= slot.chunk;
            decoding += f64::from(u8::from(slot.decodes));
        }
        let prompt = f64::from(PREFILL_CHUNK - budget);
        let secs =
            STEP_BASE_SECS + decoding * STEP_PER_REQUEST_SECS + prompt * STEP_PER_PROMPT_TOKEN_SECS;
        self.stepping = !self.slots.is_empty();
        self.stepping
            .then(|| Duration::from_secs_f64(secs * self.slowness))
    }

    /// Ends the step in progress.
    pub fn end_step(&mut self) -> Vec<StepResult> {
        let mut results = Vec::new();
        let mut cached = Vec::new();
        for slot in &mut self.slots {
            let prefilled = std::mem::take(&mut slot.chunk);
            slot.prefill_left -= prefilled;
            let token = slot.decodes || (prefilled > 0 && slot.prefill_left == 0);
            if prefilled > 0 && slot.prefill_left == 0 {
                cached.push(slot.shared);
            }
            slot.context += u32::from(token);
            results.push(StepResult {
                id: slot.id,
                prefilled,
                token,
            });
        }
        for (key, tokens) in cached {
            self.touch(key, tokens, true);
        }
        results
    }

    /// Marks a cache entry as used, inserts it if asked to, and evicts the least recently used entries.
    fn touch(&mut self, key: u64, tokens: u32, insert: bool) {
        self.uses += 1;
        if insert || self.cache.contains_key(&key) {
            self.cache.insert(key, (tokens, self.uses));
        }
        while self.cache.values().map(|(tokens, _)| tokens).sum::<u32>() > CACHE_TOKENS {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, (_, used))| *used)
                .map(|(key, _)| *key);
            oldest.and_then(|key| self.cache.remove(&key));
        }
    }
}

fn state_key(id: u64) -> u64 {
    id | 1 << 63
}
