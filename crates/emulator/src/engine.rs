//! Emulated model engine: continuous batching, chunked prefill, a prefix cache that shares the engine's memory with
//! running requests, and preemption.

use std::collections::HashMap;
use std::time::Duration;

use tanagerford_core::dispatch::{PartId, PromptPart, ReportedLoad};

use crate::load::EnginePool;

/// Number that identifies a request at the emulated servers; the simulation uses the number of the call.
pub type RequestNumber = u64;

/// Request as an engine sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRequest {
    /// Unique among the requests of the engine.
    pub number: RequestNumber,
    /// Priority in the queue; 0 is served first.
    pub urgency: u8,
    /// Cacheable parts at the beginning of the prompt, in order; may be empty.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt, including those of `parts`.
    pub prompt_tokens: u32,
    /// Tokens of the whole response, including `resumed_tokens`.
    pub output_tokens: u32,
    /// Tokens that other engines have already generated.
    pub resumed_tokens: u32,
}

/// Result of a step for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutput {
    /// The request has generated the tokens of one stream event.
    Event {
        /// The request's [`EngineRequest::number`].
        number: RequestNumber,
        /// Whether the response is complete.
        is_last: bool,
        /// Whether it is the first event of the response from this engine.
        is_first: bool,
    },
    /// The request was removed from the batch to free memory. It is queued again and its context is recomputed.
    Preempted {
        /// The request's [`EngineRequest::number`].
        number: RequestNumber,
    },
}

/// Request in the queue or in the batch.
#[derive(Debug)]
struct Sequence {
    request: EngineRequest,
    /// Logical time of admission; among the least urgent requests the newest is preempted first.
    admitted_at: u64,
    /// Count of parts that the request protects from eviction.
    pinned_parts: usize,
    /// Context tokens that are still to be prefilled.
    prefill_left: u32,
    /// Context tokens that the step in progress prefills.
    step_prefill_tokens: u32,
    /// Tokens in memory that are not in a shared part.
    own_tokens: u64,
    generated_tokens: u32,
    /// Tokens generated since the last event.
    unsent_tokens: u32,
    has_sent: bool,
}

/// Prompt part in the prefix cache.
#[derive(Debug)]
struct CachedPart {
    tokens: u64,
    /// Requests in the batch that use the part.
    users: u32,
    /// Logical time of the last use, for eviction.
    last_use: u64,
    /// Whether the part has been prefilled completely.
    is_ready: bool,
}

/// Emulated engine. The caller keeps the time: [`Engine::begin_step`] returns the duration of a step, and
/// [`Engine::end_step`], called after it, returns the results.
#[derive(Debug)]
pub struct Engine {
    spec: EnginePool,
    /// Factor of this engine on the times of `spec`.
    time_factor: f64,
    /// Further factor while a disturbance slows the engine; otherwise 1.
    slowness: f64,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    parts: HashMap<PartId, CachedPart>,
    own_tokens: u64,
    part_tokens: u64,
    /// Logical time that orders admissions and uses of parts.
    clock: u64,
    /// Tokens prefilled since the engine was created.
    pub prefilled_tokens: u64,
    /// Preemptions since the engine was created.
    pub(crate) preempted: u64,
    is_stepping: bool,
}

impl Engine {
    /// Creates an idle engine whose steps take `time_factor` times as long as given by `spec`.
    #[must_use]
    pub fn new(spec: &EnginePool, time_factor: f64) -> Self {
        Self {
            spec: spec.clone(),
            time_factor,
            slowness: 1.0,
            waiting: Vec::new(),
            running: Vec::new(),
            parts: HashMap::new(),
            own_tokens: 0,
            part_tokens: 0,
            clock: 0,
            prefilled_tokens: 0,
            preempted: 0,
            is_stepping: false,
        }
    }

    /// Makes every later step take `factor` times as long; 1 restores the normal speed.
    pub(crate) fn set_slowness(&mut self, factor: f64) {
        self.slowness = factor;
    }

    /// Queues a request. Returns `false` if the queue is full or the request never fits into memory.
    pub fn submit(&mut self, request: EngineRequest) -> bool {
        let is_too_large = u64::from(request.prompt_tokens) + u64::from(request.output_tokens)
            > self.spec.memory_tokens;
        if is_too_large || self.waiting.len() >= self.spec.queue {
            return false;
        }
        let sequence = Sequence {
            prefill_left: 0,
            admitted_at: 0,
            pinned_parts: 0,
            step_prefill_tokens: 0,
            own_tokens: 0,
            generated_tokens: request.resumed_tokens,
            unsent_tokens: 0,
            has_sent: false,
            request,
        };
        self.enqueue(sequence);
        true
    }

    /// Returns the prompt tokens that the prefix cache holds, from the first part on.
    pub(crate) fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let is_ready = |part: &&PromptPart| {
            let cached_part = self.parts.get(&part.id);
            cached_part.is_some_and(|cached_part| cached_part.is_ready)
        };
        parts
            .iter()
            .take_while(is_ready)
            .map(|part| part.tokens)
            .sum()
    }

    /// Adds parts that were copied from another engine to the prefix cache, as far as memory can be freed. Returns the tokens
    /// that were added.
    pub(crate) fn add_copied_parts(&mut self, parts: &[PromptPart]) -> u32 {
        let mut added = 0;
        for part in parts {
            if self.parts.contains_key(&part.id) {
                continue;
            }
            let tokens = u64::from(part.tokens);
            if !self.can_free_memory(tokens) || !self.evict(tokens) {
                break;
            }
            self.clock += 1;
            self.part_tokens += tokens;
            let copied = CachedPart {
                tokens,
                users: 0,
                last_use: self.clock,
                is_ready: true,
            };
            self.parts.insert(part.id, copied);
            added += part.tokens;
        }
        added
    }

    /// Inserts a sequence behind those of the same urgency.
    fn enqueue(&mut self, sequence: Sequence) {
        let urgency = sequence.request.urgency;
        let position = self
            .waiting
            .iter()
            .position(|other| other.request.urgency > urgency);
        self.waiting
            .insert(position.unwrap_or(self.waiting.len()), sequence);
    }

    /// Cancels a queued or running request and frees its memory.
    pub(crate) fn cancel(&mut self, number: RequestNumber) {
        self.waiting
            .retain(|sequence| sequence.request.number != number);
        if let Some(index) = self.find_running(number) {
            self.release(index);
        }
    }

    /// Clears all state, as a crash does. Returns the lost requests.
    pub fn crash(&mut self) -> Vec<RequestNumber> {
        let sequences = self.waiting.drain(..).chain(self.running.drain(..));
        let lost = sequences.map(|sequence| sequence.request.number).collect();
        self.parts.clear();
        self.own_tokens = 0;
        self.part_tokens = 0;
        self.is_stepping = false;
        lost
    }

    /// Returns the load that the engine reports in its responses.
    #[must_use]
    pub fn load(&self) -> ReportedLoad {
        let count = |sequences: &[Sequence]| u32::try_from(sequences.len()).unwrap_or(u32::MAX);
        ReportedLoad {
            running: count(&self.running),
            waiting: count(&self.waiting),
            ..ReportedLoad::default()
        }
    }

    /// Returns whether a step has begun and not ended.
    pub(crate) fn is_stepping(&self) -> bool {
        self.is_stepping
    }

    /// Begins a step and returns its duration; `None` if there is no work.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        let mut budget = self.spec.chunk_tokens;
        let mut prefill_ms = 0.0;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|index| {
            let sequence = &self.running[*index];
            (sequence.request.urgency, sequence.admitted_at)
        });
        let mut context_tokens = 0_u64;
        for index in order {
            let sequence = &mut self.running[index];
            sequence.step_prefill_tokens = sequence.prefill_left.min(budget);
            budget -= sequence.step_prefill_tokens;
            let prefilled = sequence
                .request
                .prompt_tokens
                .saturating_sub(sequence.prefill_left);
            context_tokens += u64::from(prefilled) + u64::from(sequence.generated_tokens);
            let step_prefill_tokens = f64::from(sequence.step_prefill_tokens);
            let token_pairs_millions =
                step_prefill_tokens * (f64::from(prefilled) + step_prefill_tokens / 2.0) / 1e6;
            prefill_ms += step_prefill_tokens / self.spec.prefill_tokens_per_ms
                + token_pairs_millions * self.spec.pairs_ms_per_m;
        }
        self.is_stepping = !self.running.is_empty();
        if !self.is_stepping {
            return None;
        }
        let running = f64::from(self.load().running);
        let context_k = f64::from(u32::try_from(context_tokens / 1_000).unwrap_or(u32::MAX));
        let step_ms = self.spec.step_ms
            + running * self.spec.step_request_ms
            + context_k * self.spec.context_ms_per_k
            + prefill_ms;
        let factor = self.time_factor * self.slowness;
        Some(Duration::from_secs_f64(step_ms * factor / 1_000.0))
    }

    /// Ends the step in progress and returns its results. Preempts requests if memory is exceeded.
    pub fn end_step(&mut self) -> Vec<StepOutput> {
        self.is_stepping = false;
        self.clock += 1;
        let mut outputs = Vec::new();
        let mut ended = Vec::new();
        for index in 0..self.running.len() {
            let sequence = &mut self.running[index];
            let step_prefill_tokens = std::mem::take(&mut sequence.step_prefill_tokens);
            if sequence.prefill_left > 0 {
                sequence.prefill_left -= step_prefill_tokens;
                self.prefilled_tokens += u64::from(step_prefill_tokens);
                if sequence.prefill_left > 0 {
                    continue;
                }
                let parts: Vec<PartId> = sequence.request.parts[..sequence.pinned_parts]
                    .iter()
                    .map(|part| part.id)
                    .collect();
                for part in parts {
                    if let Some(cached_part) = self.parts.get_mut(&part) {
                        cached_part.is_ready = true;
                    }
                }
            }
            if let Some(output) = self.generate(index) {
                if let StepOutput::Event { is_last: true, .. } = output {
                    ended.push(self.running[index].request.number);
                }
                outputs.push(output);
            }
        }
        for number in ended {
            if let Some(index) = self.find_running(number) {
                self.release(index);
            }
        }
        self.free_memory(0, &mut outputs);
        outputs
    }

    /// Generates a token for a sequence. Returns the event that the token completes.
    fn generate(&mut self, index: usize) -> Option<StepOutput> {
        let sequence = &mut self.running[index];
        sequence.generated_tokens += 1;
        sequence.unsent_tokens += 1;
        sequence.own_tokens += 1;
        self.own_tokens += 1;
        let is_last = sequence.generated_tokens >= sequence.request.output_tokens;
        if sequence.unsent_tokens < self.spec.event_tokens && !is_last {
            return None;
        }
        sequence.unsent_tokens = 0;
        let is_first = !std::mem::replace(&mut sequence.has_sent, true);
        Some(StepOutput::Event {
            number: sequence.request.number,
            is_last,
            is_first,
        })
    }

    fn find_running(&self, number: RequestNumber) -> Option<usize> {
        self.running
            .iter()
            .position(|sequence| sequence.request.number == number)
    }

    /// Removes a sequence from the batch and frees its memory; shared parts stay cached until they are evicted.
    fn release(&mut self, index: usize) -> Sequence {
        let sequence = self.running.swap_remove(index);
        self.own_tokens -= sequence.own_tokens;
        for part in &sequence.request.parts[..sequence.pinned_parts] {
            if let Some(cached_part) = self.parts.get_mut(&part.id) {
                cached_part.users -= 1;
                cached_part.last_use = self.clock;
                // An incompletely prefilled part without users has no cached content.
                if cached_part.users == 0 && !cached_part.is_ready {
                    self.part_tokens -= cached_part.tokens;
                    self.parts.remove(&part.id);
                }
            }
        }
        sequence
    }

    /// Moves waiting sequences into the batch while slots and memory are available.
    fn admit(&mut self) {
        while self.running.len() < self.spec.slots && !self.waiting.is_empty() {
            let request = &self.waiting[0].request;
            let cached = request.parts.iter().take_while(|part| {
                self.parts
                    .get(&part.id)
                    .is_some_and(|cached_part| cached_part.is_ready)
            });
            let cached: u32 = cached.map(|part| part.tokens).sum();
            let context = request.prompt_tokens + self.waiting[0].generated_tokens;
            let needed =
                u64::from(context.saturating_sub(cached)) + u64::from(self.spec.event_tokens);
            if !self.can_free_memory(needed) && !self.running.is_empty() {
                return;
            }
            self.evict(needed);
            let sequence = self.waiting.remove(0);
            self.start(sequence, context, cached);
        }
    }

    /// Returns whether `needed` tokens are free or can be freed by evicting unused parts.
    fn can_free_memory(&self, needed: u64) -> bool {
        let used = self
            .parts
            .values()
            .filter(|cached_part| cached_part.users > 0);
        let fixed = self.own_tokens + used.map(|cached_part| cached_part.tokens).sum::<u64>();
        fixed + needed <= self.spec.memory_tokens
    }

    fn start(&mut self, mut sequence: Sequence, context: u32, cached: u32) {
        self.clock += 1;
        sequence.admitted_at = self.clock;
        sequence.prefill_left = context.saturating_sub(cached).max(1);
        let mut shared = 0;
        for part in &sequence.request.parts {
            shared += part.tokens;
            let cached_part = self.parts.entry(part.id).or_insert_with(|| {
                self.part_tokens += u64::from(part.tokens);
                CachedPart {
                    tokens: u64::from(part.tokens),
                    users: 0,
                    last_use: 0,
                    is_ready: false,
                }
            });
            cached_part.users += 1;
            cached_part.last_use = self.clock;
        }
        sequence.pinned_parts = sequence.request.parts.len();
        sequence.own_tokens = u64::from(context.saturating_sub(shared));
        self.own_tokens += sequence.own_tokens;
        self.running.push(sequence);
    }

    /// Evicts the least recently used parts until `needed` tokens are free. Returns whether that succeeded.
    fn evict(&mut self, needed: u64) -> bool {
        while self.own_tokens + self.part_tokens + needed > self.spec.memory_tokens {
            let idle = self
                .parts
                .iter()
                .filter(|(_, cached_part)| cached_part.users == 0);
            let oldest = idle.min_by_key(|(id, cached_part)| (cached_part.last_use, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return false;
            };
            if let Some(cached_part) = self.parts.remove(&id) {
                self.part_tokens -= cached_part.tokens;
            }
        }
        true
    }

    /// Evicts parts, then preempts the newest of the least urgent requests, until `needed` tokens are free.
    fn free_memory(&mut self, needed: u64, outputs: &mut Vec<StepOutput>) {
        while !self.evict(needed) && self.running.len() > 1 {
            let victim = (0..self.running.len()).max_by_key(|index| {
                let sequence = &self.running[*index];
                (sequence.request.urgency, sequence.admitted_at)
            });
            let Some(index) = victim else {
                return;
            };
            let mut sequence = self.release(index);
            outputs.push(StepOutput::Preempted {
                number: sequence.request.number,
            });
            self.preempted += 1;
            sequence.pinned_parts = 0;
            sequence.own_tokens = 0;
            self.enqueue(sequence);
        }
    }
}
