//! What a server would cost a call, in milliseconds.

use std::time::Duration;

use serde::Deserialize;

use super::{
    CallNumber, Demand, EntryLoad, Flight, PauseModel, PauseParts, PrefillModel, ServerPause,
    ServerState, WaitingTokens, decay,
};

/// Time in which half of the recent prefill work is forgotten.
pub(super) const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Age after which a reported load is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Cost of a plain service whose slots are all taken, in milliseconds: about the time of one call.
const FULL_SERVICE_MS: f64 = 15.0;
/// Cost of each request beyond the slots of a server, in milliseconds.
const FULL_PENALTY_MS: f64 = 400.0;
/// Share of the pause limit that is planned for; the rest covers the way of an event to its caller and what other
/// entries send at the same moment.
const PAUSE_SHARE: f64 = 0.8;
/// Excess over the planned pause at which a stream is certainly late.
const CERTAIN_EXCESS: f64 = 0.3;
/// Cost of a stream whose own events would come at twice the limit, in milliseconds.
const LATE_OWN_MS: f64 = 600.0;

/// Part of the waiting prompts of lower ranks, as a divisor, that is read before a call all the same.
const LOWER_RANKS_DIVISOR: u32 = 4;

/// Weights of the estimate.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CostSettings {
    /// Prompt tokens that a server reads in a millisecond beside the streams that it serves, until calls tell it.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first token beside queue and prefill, in milliseconds, until calls tell it.
    pub first_token_base_ms: f64,
    /// Tokens from which a prompt counts as long: more than one prefill chunk delays the streams of the server by more
    /// than one step.
    pub long_prompt_tokens: u32,
    /// Prompt tokens that a server reads between two steps of the running requests.
    pub chunk_tokens: u32,
    /// Time that a whole chunk adds to a step, in milliseconds.
    pub chunk_ms: f64,
    /// Time of a step of one request, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub step_request_ms: f64,
    /// Tokens that an event of a stream holds.
    pub event_tokens: u32,
    /// Longest pause between events with which a stream counts as on time, in milliseconds.
    pub pause_limit_ms: f64,
    /// Cost of each stream that pauses twice as long as its limit, in milliseconds; less for shorter pauses.
    pub late_stream_ms: f64,
    /// Cost of a long prompt for each stream of its server, in milliseconds.
    pub disturbed_stream_ms: f64,
    /// Cost of a stream on a server that spends its whole time on prefill, in milliseconds.
    pub busy_prefill_ms: f64,
    /// Time that one more running request adds to each step, in milliseconds, times the tokens of an event.
    pub running_request_ms: f64,
    /// Largest cost of the position in the common order, in milliseconds.
    pub order_ms: f64,
    /// Cost of leaving the availability zone, in milliseconds.
    pub other_zone_ms: f64,
    /// Cost of a kilobyte that leaves the availability zone, in milliseconds.
    pub other_zone_ms_per_kb: f64,
    /// Cost of reading a prompt that the server does not hold, beside the time it takes: a factor of that time.
    pub read_again_factor: f64,
    /// Cost of a server that fails every call, in milliseconds.
    pub failing_ms: f64,
    /// Whether the times of engines are learned from calls; otherwise they stay as assumed.
    pub learns: bool,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 55.0,
            first_token_base_ms: 70.0,
            long_prompt_tokens: 2_048,
            chunk_tokens: 2_048,
            chunk_ms: 30.0,
            step_ms: 3.0,
            step_request_ms: 0.12,
            event_tokens: 6,
            pause_limit_ms: 200.0,
            late_stream_ms: 100.0,
            disturbed_stream_ms: 20.0,
            busy_prefill_ms: 400.0,
            running_request_ms: 0.7,
            order_ms: 100.0,
            other_zone_ms: 5.0,
            other_zone_ms_per_kb: 3.0,
            read_again_factor: 5.0,
            failing_ms: 2_000.0,
            learns: true,
        }
    }
}

impl CostSettings {
    /// Returns whether the prompt of a call delays the streams of its server noticeably.
    #[must_use]
    pub fn is_long(&self, demand: &Demand) -> bool {
        demand.prompt_tokens >= self.long_prompt_tokens
    }

    /// Returns the parts of a pause between events while `running` requests run and `waiting_tokens` prompt tokens wait.
    fn pause_parts(&self, running: u32, waiting_tokens: u32) -> PauseParts {
        let chunks = waiting_tokens.div_ceil(self.chunk_tokens.max(1));
        let step_ms = self.step_ms + f64::from(running) * self.step_request_ms;
        PauseParts {
            steps_ms: f64::from(self.event_tokens) * step_ms,
            chunks_ms: f64::from(chunks.min(self.event_tokens)) * self.chunk_ms,
        }
    }
}

/// What is assumed and learned of the engines of a pool.
#[derive(Debug)]
pub(super) struct EngineModel {
    pub(super) settings: CostSettings,
    prefill: PrefillModel,
    pause: PauseModel,
}

impl EngineModel {
    pub(super) fn new(settings: CostSettings) -> Self {
        let prefill =
            PrefillModel::new(settings.first_token_base_ms, settings.prefill_tokens_per_ms);
        Self {
            settings,
            prefill,
            pause: PauseModel::default(),
        }
    }

    /// Learns from the time to the first token of a call after `tokens` prompt tokens.
    pub(super) fn on_first_token(&mut self, now: Duration, tokens: u32, first_token_ms: f64) {
        if self.settings.learns {
            self.prefill.observe(now, tokens, first_token_ms);
        }
    }

    /// Learns from a pause of a stream at a server in the given situation.
    pub(super) fn on_pause(
        &mut self,
        now: Duration,
        situation: Situation,
        server: &mut ServerPause,
        pause_ms: f64,
    ) {
        if self.settings.learns {
            let waiting_tokens = situation.load.waiting.total();
            let parts = self.settings.pause_parts(situation.running, waiting_tokens);
            self.pause.observe(now, parts, server, pause_ms);
        }
    }

    /// Returns by which share of the pause limit the events of a server's streams would come too late.
    fn pause_excess(&self, parts: PauseParts, server_factor: f64) -> f64 {
        let pause_ms = self.pause.pause_ms(parts, server_factor);
        (pause_ms / self.settings.pause_limit_ms - PAUSE_SHARE).max(0.0)
    }
}

/// Returns the prompt tokens that a server reads before those of a call. Prompts of lower ranks wait, but what is being
/// read of them is not put back.
fn tokens_ahead(waiting: WaitingTokens, demand: &Demand) -> u32 {
    let ahead = waiting.up_to(demand.rank);
    let behind = waiting.total() - ahead;
    ahead.saturating_add(behind / LOWER_RANKS_DIVISOR)
}

/// Returns `part / whole` for counts.
pub(super) fn ratio(part: usize, whole: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole.max(1)).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}

pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// What a call would meet at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Situation {
    /// Load of all entries.
    pub(super) load: EntryLoad,
    /// Requests at the server: those that are known of, or more if the server recently said so.
    pub(super) running: u32,
    /// Prompt tokens of the call that the server has to read.
    pub(super) missing_tokens: u32,
    /// Prompt tokens that it reads before those of the call.
    pub(super) tokens_ahead: u32,
    /// Factor by which its pauses are longer than those of its pool.
    pub(super) pause_factor: f64,
}

impl Situation {
    /// Prompt tokens that wait once the call has been sent.
    fn waiting_tokens(&self) -> u32 {
        self.load
            .waiting
            .total()
            .saturating_add(self.missing_tokens)
    }

    /// Returns by which share of the pause limit events would come too late if the server took the call now.
    fn pause_excess(&self, model: &EngineModel) -> f64 {
        let parts = model
            .settings
            .pause_parts(self.running + 1, self.waiting_tokens());
        model.pause_excess(parts, self.pause_factor)
    }

    /// Returns the streams of the server that would probably be late if it took the call now.
    pub(super) fn harmed_streams(&self, model: &EngineModel, demand: &Demand) -> f64 {
        if !model.settings.is_long(demand) {
            return 0.0;
        }
        let excess = self.pause_excess(model);
        f64::from(self.load.streams) * (excess / CERTAIN_EXCESS).min(1.0)
    }

    /// Returns the estimated time to the first token.
    pub(super) fn first_token_ms(&self, model: &EngineModel, demand: &Demand) -> f64 {
        if demand.prompt_tokens == 0 {
            return 0.0;
        }
        model.prefill.first_token_ms(self.tokens_before())
    }

    /// Returns the estimated time to the first token without the prompts of lower ranks.
    pub(super) fn ranked_first_token_ms(&self, model: &EngineModel, demand: &Demand) -> f64 {
        if demand.prompt_tokens == 0 {
            return 0.0;
        }
        let ahead = self.load.waiting.up_to(demand.rank);
        model
            .prefill
            .first_token_ms(ahead.saturating_add(self.missing_tokens))
    }

    /// Prompt tokens that are read before the call's first token.
    fn tokens_before(&self) -> u32 {
        self.tokens_ahead.saturating_add(self.missing_tokens)
    }
}

impl ServerState {
    pub(super) fn situation(&self, now: Duration, demand: &Demand) -> Situation {
        let load = self.load();
        let running = match self.reported {
            Some((at, reported)) if now.saturating_sub(at) < REPORT_LIFETIME => {
                load.flights.max(reported.running + reported.waiting)
            }
            _ => load.flights,
        };
        Situation {
            load,
            running,
            missing_tokens: self.missing_tokens(demand),
            tokens_ahead: tokens_ahead(load.waiting, demand),
            pause_factor: self.pause.factor(now),
        }
    }

    fn missing_tokens(&self, demand: &Demand) -> u32 {
        self.cache
            .missing_tokens(&demand.parts, demand.prompt_tokens)
    }

    pub(super) fn cost_ms(
        &self,
        model: &EngineModel,
        zone: &str,
        now: Duration,
        demand: &Demand,
        situation: Situation,
    ) -> f64 {
        let settings = &model.settings;
        let work_ms = if demand.prompt_tokens == 0 {
            self.queue_ms(situation)
        } else {
            self.engine_ms(model, now, demand, situation)
        };
        let slowness = self.health.slowness(now).max(situation.pause_factor);
        let failing_ms = self.health.failure_share(now) * settings.failing_ms;
        work_ms * slowness + failing_ms + self.distance_ms(settings, zone, demand)
    }

    /// Cost at a plain service: the share of its slots that is taken.
    fn queue_ms(&self, situation: Situation) -> f64 {
        let slots = f64::from(self.spec.slots.max(1));
        let taken = f64::from(situation.running) / slots;
        taken * FULL_SERVICE_MS + (taken - 1.0).max(0.0) * FULL_PENALTY_MS
    }

    fn engine_ms(
        &self,
        model: &EngineModel,
        now: Duration,
        demand: &Demand,
        situation: Situation,
    ) -> f64 {
        let Situation {
            load,
            running,
            missing_tokens,
            tokens_ahead,
            ..
        } = situation;
        let EngineModel {
            settings, prefill, ..
        } = model;
        let tokens_per_ms = prefill.tokens_per_ms();
        let prefill_ms = f64::from(missing_tokens) / tokens_per_ms;
        let backlog_ms = f64::from(tokens_ahead) / tokens_per_ms;
        let full = f64::from((running + 1).saturating_sub(self.spec.slots));
        let own_ms = backlog_ms
            + prefill_ms * (1.0 + settings.read_again_factor)
            + f64::from(running) * settings.running_request_ms
            + full * FULL_PENALTY_MS;
        let excess = situation.pause_excess(model);
        let neighbours_ms = if settings.is_long(demand) {
            let streams = f64::from(load.streams);
            streams * (settings.disturbed_stream_ms + excess * settings.late_stream_ms)
                + (1.0 - self.rank) * settings.order_ms
        } else {
            excess * LATE_OWN_MS
                + self.prefill_share(now) * settings.busy_prefill_ms
                + self.rank * settings.order_ms
        };
        own_ms + neighbours_ms
    }

    fn distance_ms(&self, settings: &CostSettings, zone: &str, demand: &Demand) -> f64 {
        if self.spec.zone == zone {
            return 0.0;
        }
        let kilobytes = ratio(demand.body_bytes, 1_000);
        settings.other_zone_ms + kilobytes * settings.other_zone_ms_per_kb
    }

    /// Share of the recent time that the server spent on prefill.
    fn prefill_share(&self, now: Duration) -> f64 {
        let window_ms = milliseconds(RECENT_HALF_LIFE) / std::f64::consts::LN_2;
        self.recent_prefill(now) / window_ms
    }

    fn recent_prefill(&self, now: Duration) -> f64 {
        self.recent_prefill_ms * decay::remaining(now, self.recent_at, RECENT_HALF_LIFE)
    }

    pub(super) fn start(
        &mut self,
        model: &EngineModel,
        now: Duration,
        call: CallNumber,
        demand: &Demand,
    ) {
        let EngineModel {
            settings, prefill, ..
        } = model;
        let is_long = settings.is_long(demand);
        let situation = self.situation(now, demand);
        let missing = situation.missing_tokens;
        let load = EntryLoad {
            flights: 1,
            streams: u32::from(demand.prompt_tokens > 0 && !is_long),
            waiting: WaitingTokens::of(demand.rank, missing),
        };
        self.own = self.own.add(load);
        let flight = Flight {
            load,
            sent: now,
            tokens_before: situation.tokens_before(),
        };
        self.flights.insert(call, flight);
        if is_long {
            let prefill_ms = f64::from(missing) / prefill.tokens_per_ms();
            self.recent_prefill_ms = self.recent_prefill(now) + prefill_ms;
            self.recent_at = now;
        }
        self.cache.insert(now, &demand.parts);
    }
}
