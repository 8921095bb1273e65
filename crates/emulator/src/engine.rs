//! Model engine: continuous batching, chunked prefill, prompt parts in a cache, memory shared by both, and preemption.

use std::collections::HashMap;
use std::time::Duration;

use tanagerford_core::dispatch::{PartId, PromptPart, ReportedLoad};

use crate::load::EnginePool;

/// Number of a request at the emulated servers.
pub type RequestNumber = u64;

/// Request as an engine sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRequest {
    /// Number of the request.
    pub number: RequestNumber,
    /// Urgency; 0 is served first.
    pub urgency: u8,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Tokens that were generated elsewhere before.
    pub resumed_tokens: u32,
}

/// What a step did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutput {
    /// A request has generated the tokens of one event.
    Event {
        /// Number of the request.
        number: RequestNumber,
        /// Whether the answer is complete.
        is_last: bool,
        /// Whether it is the first event that this engine made of the answer.
        is_first: bool,
    },
    /// A request was taken out of the batch to make room and is read in again later.
    Preempted {
        /// Number of the request.
        number: RequestNumber,
    },
}

#[derive(Debug)]
struct Run {
    request: EngineRequest,
    /// Order of admission; the newest request of the least urgent ones is preempted first.
    admitted: u64,
    /// Shared parts whose memory the request keeps from being evicted.
    kept: usize,
    prefill_left: u32,
    /// Prompt tokens that the step in progress reads.
    chunk: u32,
    /// Tokens in memory that belong to this request alone.
    own_tokens: u64,
    generated: u32,
    /// Tokens since the last event.
    unsent: u32,
    has_sent: bool,
}

#[derive(Debug)]
struct Held {
    tokens: u64,
    users: u32,
    last_use: u64,
    /// Whether the part has been read completely.
    is_ready: bool,
}

/// Emulated engine. Time is the caller's: [`Engine::begin_step`] tells how long a step takes, [`Engine::end_step`] what
/// it did.
#[derive(Debug)]
pub struct Engine {
    spec: EnginePool,
    speed: f64,
    slowness: f64,
    waiting: Vec<Run>,
    running: Vec<Run>,
    parts: HashMap<PartId, Held>,
    own_tokens: u64,
    part_tokens: u64,
    clock: u64,
    /// Prompt tokens read since the start.
    pub prefilled_tokens: u64,
    /// Preempted requests since the start.
    pub preempted: u64,
    is_stepping: bool,
}

impl Engine {
    /// Creates an idle engine that takes `speed` times as long as `spec` says.
    #[must_use]
    pub fn new(spec: &EnginePool, speed: f64) -> Self {
        Self {
            spec: spec.clone(),
            speed,
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

    /// Makes every step take `factor` times as long.
    pub fn set_slowness(&mut self, factor: f64) {
        self.slowness = factor;
    }

    /// Takes a request; returns whether there is room in the queue.
    pub fn submit(&mut self, request: EngineRequest) -> bool {
        let is_too_large = u64::from(request.prompt_tokens) + u64::from(request.output_tokens)
            > self.spec.memory_tokens;
        if is_too_large || self.waiting.len() >= self.spec.queue {
            return false;
        }
        let run = Run {
            prefill_left: 0,
            admitted: 0,
            kept: 0,
            chunk: 0,
            own_tokens: 0,
            generated: request.resumed_tokens,
            unsent: 0,
            has_sent: false,
            request,
        };
        self.enqueue(run);
        true
    }

    /// Puts a run behind those of the same urgency.
    fn enqueue(&mut self, run: Run) {
        let urgency = run.request.urgency;
        let position = self
            .waiting
            .iter()
            .position(|other| other.request.urgency > urgency);
        self.waiting
            .insert(position.unwrap_or(self.waiting.len()), run);
    }

    /// Drops a request whose caller has left.
    pub fn cancel(&mut self, number: RequestNumber) {
        self.waiting.retain(|run| run.request.number != number);
        if let Some(index) = self.find(number) {
            self.release(index);
        }
    }

    /// Loses everything; returns the requests that were lost.
    pub fn crash(&mut self) -> Vec<RequestNumber> {
        let runs = self.waiting.drain(..).chain(self.running.drain(..));
        let lost = runs.map(|run| run.request.number).collect();
        self.parts.clear();
        self.own_tokens = 0;
        self.part_tokens = 0;
        self.is_stepping = false;
        lost
    }

    /// Returns the load that the engine tells in its answers.
    #[must_use]
    pub fn load(&self) -> ReportedLoad {
        let count = |runs: &[Run]| u32::try_from(runs.len()).unwrap_or(u32::MAX);
        ReportedLoad {
            running: count(&self.running),
            waiting: count(&self.waiting),
        }
    }

    /// Returns whether a step is in progress.
    #[must_use]
    pub fn is_stepping(&self) -> bool {
        self.is_stepping
    }

    /// Begins a step and returns its length; `None` when there is no work.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        let mut budget = self.spec.chunk_tokens;
        let mut prefill_ms = 0.0;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|index| {
            let run = &self.running[*index];
            (run.request.urgency, run.admitted)
        });
        let mut context_tokens = 0_u64;
        for index in order {
            let run = &mut self.running[index];
            run.chunk = run.prefill_left.min(budget);
            budget -= run.chunk;
            let read = run.request.prompt_tokens.saturating_sub(run.prefill_left);
            context_tokens += u64::from(read) + u64::from(run.generated);
            let chunk = f64::from(run.chunk);
            let pairs_m = chunk * (f64::from(read) + chunk / 2.0) / 1e6;
            prefill_ms +=
                chunk / self.spec.prefill_tokens_per_ms + pairs_m * self.spec.pairs_ms_per_m;
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
        let factor = self.speed * self.slowness;
        Some(Duration::from_secs_f64(step_ms * factor / 1_000.0))
    }

    /// Ends the step in progress.
    pub fn end_step(&mut self) -> Vec<StepOutput> {
        self.is_stepping = false;
        self.clock += 1;
        let mut outputs = Vec::new();
        let mut ended = Vec::new();
        for index in 0..self.running.len() {
            let run = &mut self.running[index];
            let chunk = std::mem::take(&mut run.chunk);
            if run.prefill_left > 0 {
                run.prefill_left -= chunk;
                self.prefilled_tokens += u64::from(chunk);
                if run.prefill_left > 0 {
                    continue;
                }
                let parts: Vec<PartId> = run.request.parts[..run.kept]
                    .iter()
                    .map(|part| part.id)
                    .collect();
                for part in parts {
                    if let Some(held) = self.parts.get_mut(&part) {
                        held.is_ready = true;
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
            if let Some(index) = self.find(number) {
                self.release(index);
            }
        }
        self.make_room(0, &mut outputs);
        outputs
    }

    /// Generates a token of a run; returns the event that it completes.
    fn generate(&mut self, index: usize) -> Option<StepOutput> {
        let run = &mut self.running[index];
        run.generated += 1;
        run.unsent += 1;
        run.own_tokens += 1;
        self.own_tokens += 1;
        let is_last = run.generated >= run.request.output_tokens;
        if run.unsent < self.spec.event_tokens && !is_last {
            return None;
        }
        run.unsent = 0;
        let is_first = !std::mem::replace(&mut run.has_sent, true);
        Some(StepOutput::Event {
            number: run.request.number,
            is_last,
            is_first,
        })
    }

    fn find(&self, number: RequestNumber) -> Option<usize> {
        self.running
            .iter()
            .position(|run| run.request.number == number)
    }

    /// Takes a run out of the batch and frees its memory; shared parts stay until they are evicted.
    fn release(&mut self, index: usize) -> Run {
        let run = self.running.swap_remove(index);
        self.own_tokens -= run.own_tokens;
        for part in &run.request.parts[..run.kept] {
            if let Some(held) = self.parts.get_mut(&part.id) {
                held.users -= 1;
                held.last_use = self.clock;
                // A part that nobody reads to its end holds nothing.
                if held.users == 0 && !held.is_ready {
                    self.part_tokens -= held.tokens;
                    self.parts.remove(&part.id);
                }
            }
        }
        run
    }

    /// Moves waiting runs into the batch while slots and memory allow it.
    fn admit(&mut self) {
        while self.running.len() < self.spec.slots && !self.waiting.is_empty() {
            let request = &self.waiting[0].request;
            let cached = request
                .parts
                .iter()
                .take_while(|part| self.parts.get(&part.id).is_some_and(|held| held.is_ready));
            let cached: u32 = cached.map(|part| part.tokens).sum();
            let context = request.prompt_tokens + self.waiting[0].generated;
            let needed =
                u64::from(context.saturating_sub(cached)) + u64::from(self.spec.event_tokens);
            if !self.has_room(needed) && !self.running.is_empty() {
                return;
            }
            self.evict(needed);
            let run = self.waiting.remove(0);
            self.start(run, context, cached);
        }
    }

    /// Returns whether `needed` tokens are free or held by parts that nobody uses.
    fn has_room(&self, needed: u64) -> bool {
        let used = self.parts.values().filter(|held| held.users > 0);
        let fixed = self.own_tokens + used.map(|held| held.tokens).sum::<u64>();
        fixed + needed <= self.spec.memory_tokens
    }

    fn start(&mut self, mut run: Run, context: u32, cached: u32) {
        self.clock += 1;
        run.admitted = self.clock;
        run.prefill_left = context.saturating_sub(cached).max(1);
        let mut shared = 0;
        for part in &run.request.parts {
            shared += part.tokens;
            let held = self.parts.entry(part.id).or_insert_with(|| {
                self.part_tokens += u64::from(part.tokens);
                Held {
                    tokens: u64::from(part.tokens),
                    users: 0,
                    last_use: 0,
                    is_ready: false,
                }
            });
            held.users += 1;
            held.last_use = self.clock;
        }
        run.kept = run.request.parts.len();
        run.own_tokens = u64::from(context.saturating_sub(shared));
        self.own_tokens += run.own_tokens;
        self.running.push(run);
    }

    /// Evicts the least recently used parts until `needed` tokens are free; returns whether they are.
    fn evict(&mut self, needed: u64) -> bool {
        while self.own_tokens + self.part_tokens + needed > self.spec.memory_tokens {
            let idle = self.parts.iter().filter(|(_, held)| held.users == 0);
            let oldest = idle.min_by_key(|(id, held)| (held.last_use, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return false;
            };
            if let Some(held) = self.parts.remove(&id) {
                self.part_tokens -= held.tokens;
            }
        }
        true
    }

    /// Evicts parts, then preempts the newest of the least urgent requests, until memory suffices.
    fn make_room(&mut self, needed: u64, outputs: &mut Vec<StepOutput>) {
        while !self.evict(needed) && self.running.len() > 1 {
            let victim = (0..self.running.len()).max_by_key(|index| {
                let run = &self.running[*index];
                (run.request.urgency, run.admitted)
            });
            let Some(index) = victim else {
                return;
            };
            let mut run = self.release(index);
            outputs.push(StepOutput::Preempted {
                number: run.request.number,
            });
            self.preempted += 1;
            run.kept = 0;
            run.own_tokens = 0;
            self.enqueue(run);
        }
    }
}
