//! Estimated cost of a call on a server, in milliseconds.

use std::time::Duration;

use serde::Deserialize;

use super::fetch::Fetch;
use super::{
    CallNumber, CostParts, Demand, EntryLoad, InFlightCall, PauseComponents, PauseModel,
    PendingFetch, PrefillModel, ServerPause, ServerState, WaitingTokens, decay,
};

/// Half-life of the recent prefill work.
pub(super) const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Age after which a load reported by a server is ignored.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Cost of a plain service whose slots are all taken, in milliseconds: about the duration of one call.
const FULL_SERVICE_MS: f64 = 15.0;
/// Cost of each request beyond the slots of a server, in milliseconds.
const EXCESS_REQUEST_MS: f64 = 400.0;
/// Share of the pause limit that is used for planning. The rest covers the delivery of an event to its caller and calls
/// that other entries send at the same moment.
const PLANNED_PAUSE_SHARE: f64 = 0.8;
/// Excess over the planned pause, as a share of the pause limit, at which a stream is certain to be late.
const CERTAINLY_LATE_EXCESS: f64 = 0.3;
/// Cost of a stream whose own pauses exceed the plan by a whole pause limit, in milliseconds.
const SLOW_STREAM_MS: f64 = 600.0;

/// Multiple of the estimated time to the first token after which the parts of a prompt are assumed to be in the cache of its
/// server. A fetch that comes too early copies nothing.
const HELD_AFTER_FACTOR: f64 = 1.5;

/// Divisor of the waiting prompt tokens of lower ranks that are processed before a call of a higher rank.
const LOWER_RANKS_DIVISOR: u32 = 4;

/// Weights of the cost estimate and initial values of the learned times.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CostSettings {
    /// Prompt tokens that a server processes per millisecond while it serves streams; initial value until observed.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first token without queue and prefill, in milliseconds; initial value until observed.
    pub first_token_base_ms: f64,
    /// Number of tokens from which a prompt counts as long: a prompt of more than one prefill chunk delays the streams
    /// of its server by more than one step.
    pub long_prompt_tokens: u32,
    /// Prompt tokens that a server processes between two steps of the running requests.
    pub chunk_tokens: u32,
    /// Time that a whole chunk adds to a step, in milliseconds.
    pub chunk_ms: f64,
    /// Base duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub step_request_ms: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Longest pause between events of a stream that counts as on time, in milliseconds.
    pub pause_limit_ms: f64,
    /// Cost of each stream whose pauses exceed the planned pause by a whole pause limit if the server accepts the call,
    /// in milliseconds; proportional for other excesses.
    pub late_stream_ms: f64,
    /// Cost of a long prompt for each stream on its server, in milliseconds.
    pub disturbed_stream_ms: f64,
    /// Cost of a stream on a server that spends all its time on prefill, in milliseconds.
    pub busy_prefill_ms: f64,
    /// Cost of each running request in milliseconds: the time that it adds to a step, times the tokens of an event.
    pub running_request_ms: f64,
    /// Largest cost of a server's position in the common order, in milliseconds.
    pub order_ms: f64,
    /// Cost of a call to another availability zone, in milliseconds.
    pub other_zone_ms: f64,
    /// Cost of each kilobyte sent to another availability zone, in milliseconds.
    pub other_zone_ms_per_kb: f64,
    /// Cost of a call that needs a new connection, in milliseconds. A server whose places are taken accepts connections
    /// late, and a call that waits there cannot be withdrawn.
    pub new_connection_ms: f64,
    /// Additional cost of processing uncached prompt tokens, as a multiple of their prefill time.
    pub read_again_factor: f64,
    /// Cost of a server that fails every call, in milliseconds.
    pub failing_ms: f64,
    /// Whether the times of engines are learned from calls. If not, the initial values are used throughout.
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
            new_connection_ms: 15.0,
            read_again_factor: 5.0,
            failing_ms: 2_000.0,
            learns: true,
        }
    }
}

impl CostSettings {
    /// Returns whether the prompt of a call is long enough to delay the streams of its server noticeably.
    #[must_use]
    pub fn is_long(&self, demand: &Demand) -> bool {
        demand.prompt_tokens >= self.long_prompt_tokens
    }

    /// Returns the components of a pause between events with `running` requests and `waiting_tokens` waiting prompt
    /// tokens.
    fn pause_components(&self, running: u32, waiting_tokens: u32) -> PauseComponents {
        let chunks = waiting_tokens.div_ceil(self.chunk_tokens.max(1));
        let step_ms = self.step_ms + f64::from(running) * self.step_request_ms;
        PauseComponents {
            steps_ms: f64::from(self.event_tokens) * step_ms,
            chunks_ms: f64::from(chunks.min(self.event_tokens)) * self.chunk_ms,
        }
    }
}

/// Assumed and learned times of the engines of a pool.
#[derive(Debug)]
pub(super) struct EngineModel {
    pub(super) settings: CostSettings,
    prefill: PrefillModel,
    pause: PauseModel,
    /// Rate at which engines copy cached parts from each other; `None` if they do not.
    pub(super) transfer_tokens_per_ms: Option<f64>,
}

impl EngineModel {
    pub(super) fn new(settings: CostSettings) -> Self {
        let prefill =
            PrefillModel::new(settings.first_token_base_ms, settings.prefill_tokens_per_ms);
        Self {
            settings,
            prefill,
            pause: PauseModel::default(),
            transfer_tokens_per_ms: None,
        }
    }

    pub(super) fn prefill_tokens_per_ms(&self) -> f64 {
        self.prefill.tokens_per_ms()
    }

    /// Returns the time from which a server is assumed to have processed a prompt behind `tokens` prompt tokens.
    pub(super) fn held_at(&self, now: Duration, tokens: u32) -> Duration {
        let first_token_ms = self.prefill.first_token_ms(tokens);
        now + Duration::from_secs_f64(first_token_ms * HELD_AFTER_FACTOR / 1_000.0)
    }

    /// Returns whether a fetch of `fetched_tokens` saved their processing, by the time that the server needed for them and
    /// `tokens` others.
    pub(super) fn had_effect(&self, fetched_tokens: u32, tokens: u32, processing_ms: f64) -> bool {
        let limit = tokens.saturating_add(fetched_tokens / 2);
        processing_ms <= self.prefill.first_token_ms(limit)
    }

    /// Updates the prefill model with the time to the first token of a call behind `tokens` prompt tokens.
    pub(super) fn on_first_token(&mut self, now: Duration, tokens: u32, first_token_ms: f64) {
        if self.settings.learns {
            self.prefill.observe(now, tokens, first_token_ms);
        }
    }

    /// Updates the pause model with a pause of a stream on a server.
    pub(super) fn on_pause(
        &mut self,
        now: Duration,
        snapshot: LoadSnapshot,
        server: &mut ServerPause,
        pause_ms: f64,
    ) {
        if self.settings.learns {
            let waiting_tokens = snapshot.load.waiting.total();
            let components = self
                .settings
                .pause_components(snapshot.running, waiting_tokens);
            self.pause.observe(now, components, server, pause_ms);
        }
    }

    /// Returns the excess of the streams' pauses over the planned pause, as a share of the pause limit.
    fn pause_excess(&self, components: PauseComponents, server_factor: f64) -> f64 {
        let pause_ms = self.pause.pause_ms(components, server_factor);
        (pause_ms / self.settings.pause_limit_ms - PLANNED_PAUSE_SHARE).max(0.0)
    }
}

/// Returns the prompt tokens that a server processes before those of a call. Prompts of lower ranks wait, but the part
/// that is already being processed is not interrupted.
fn tokens_ahead(waiting: WaitingTokens, demand: &Demand) -> u32 {
    let ahead = waiting.up_to(demand.rank);
    let behind = waiting.total() - ahead;
    ahead.saturating_add(behind / LOWER_RANKS_DIVISOR)
}

/// Returns `part / whole` for counts; a `whole` of 0 counts as 1.
pub(super) fn ratio(part: usize, whole: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole.max(1)).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}

pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Load of a server as seen by a new call.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSnapshot {
    /// Load of all entries.
    pub(super) load: EntryLoad,
    /// Requests in flight at the server: the known ones, or the number that the server recently reported if larger.
    pub(super) running: u32,
    /// Prompt tokens of the call that are neither in the server's cache nor fetched.
    pub(super) uncached_tokens: u32,
    /// Copy of parts from another server before the prompt is processed.
    pub(super) fetch: Option<Fetch>,
    /// Prompt tokens that the server processes before those of the call.
    pub(super) tokens_ahead: u32,
    /// Factor by which the pauses of the server are longer than those of its pool.
    pub(super) pause_factor: f64,
}

impl LoadSnapshot {
    /// Lets the server fetch the first parts that it lacks.
    pub(super) fn set_fetch(&mut self, fetch: Option<Fetch>) {
        let tokens = fetch.map_or(0, |fetch| fetch.tokens);
        self.uncached_tokens = self.uncached_tokens.saturating_sub(tokens);
        self.fetch = fetch;
    }

    fn transfer_ms(&self) -> f64 {
        self.fetch.map_or(0.0, |fetch| fetch.transfer_ms)
    }

    /// Returns the waiting prompt tokens including those of the call.
    fn waiting_tokens(&self) -> u32 {
        self.load
            .waiting
            .total()
            .saturating_add(self.uncached_tokens)
    }

    /// Returns the excess of the streams' pauses, as a share of the pause limit, if the server accepts the call.
    fn pause_excess(&self, model: &EngineModel) -> f64 {
        let components = model
            .settings
            .pause_components(self.running + 1, self.waiting_tokens());
        model.pause_excess(components, self.pause_factor)
    }

    /// Returns the expected number of streams on the server that are late if it accepts the call.
    pub(super) fn late_streams(&self, model: &EngineModel, demand: &Demand) -> f64 {
        if !model.settings.is_long(demand) {
            return 0.0;
        }
        let excess = self.pause_excess(model);
        f64::from(self.load.streams) * (excess / CERTAINLY_LATE_EXCESS).min(1.0)
    }

    /// Returns the estimated time to the first token.
    pub(super) fn first_token_ms(&self, model: &EngineModel, demand: &Demand) -> f64 {
        if demand.prompt_tokens == 0 {
            return 0.0;
        }
        model.prefill.first_token_ms(self.tokens_before()) + self.transfer_ms()
    }

    /// Returns the estimated time to the first token without the prompts of lower ranks.
    pub(super) fn ranked_first_token_ms(&self, model: &EngineModel, demand: &Demand) -> f64 {
        if demand.prompt_tokens == 0 {
            return 0.0;
        }
        let ahead = self.load.waiting.up_to(demand.rank);
        let tokens = ahead.saturating_add(self.uncached_tokens);
        model.prefill.first_token_ms(tokens) + self.transfer_ms()
    }

    /// Returns the prompt tokens that are processed before the call's first token.
    fn tokens_before(&self) -> u32 {
        self.tokens_ahead.saturating_add(self.uncached_tokens)
    }
}

impl ServerState {
    pub(super) fn snapshot(&self, now: Duration, demand: &Demand) -> LoadSnapshot {
        let load = self.load();
        let running = match self.reported {
            Some((at, reported)) if now.saturating_sub(at) < REPORT_TTL => load
                .in_flight
                .max(reported.running.saturating_add(reported.waiting)),
            _ => load.in_flight,
        };
        LoadSnapshot {
            load,
            running,
            uncached_tokens: self.uncached_tokens(demand),
            fetch: None,
            tokens_ahead: tokens_ahead(load.waiting, demand),
            pause_factor: self.pause.factor(now),
        }
    }

    fn uncached_tokens(&self, demand: &Demand) -> u32 {
        self.cache
            .uncached_tokens(&demand.parts, demand.prompt_tokens)
    }

    pub(super) fn cost_ms(
        &self,
        model: &EngineModel,
        zone: &str,
        now: Duration,
        demand: &Demand,
        snapshot: LoadSnapshot,
    ) -> f64 {
        self.cost_parts(model, zone, now, demand, snapshot)
            .total_ms()
    }

    pub(super) fn cost_parts(
        &self,
        model: &EngineModel,
        zone: &str,
        now: Duration,
        demand: &Demand,
        snapshot: LoadSnapshot,
    ) -> CostParts {
        let settings = &model.settings;
        let work_ms = if demand.prompt_tokens == 0 {
            self.plain_service_ms(snapshot)
        } else {
            self.engine_ms(model, now, demand, snapshot)
        };
        let connecting_ms = if now < self.connected_until {
            0.0
        } else {
            settings.new_connection_ms
        };
        CostParts {
            work_ms,
            slowness: self.health.slowness(now).max(snapshot.pause_factor),
            failing_ms: self.health.failure_rate(now) * settings.failing_ms,
            other_zone_ms: self.cross_zone_ms(settings, zone, demand),
            connecting_ms,
        }
    }

    /// Returns the cost on a plain service, which depends on the share of its slots that are taken.
    fn plain_service_ms(&self, snapshot: LoadSnapshot) -> f64 {
        let slots = f64::from(self.spec.slots.max(1));
        let taken = f64::from(snapshot.running) / slots;
        taken * FULL_SERVICE_MS + (taken - 1.0).max(0.0) * EXCESS_REQUEST_MS
    }

    fn engine_ms(
        &self,
        model: &EngineModel,
        now: Duration,
        demand: &Demand,
        snapshot: LoadSnapshot,
    ) -> f64 {
        let LoadSnapshot {
            load,
            running,
            uncached_tokens,
            tokens_ahead,
            ..
        } = snapshot;
        let EngineModel {
            settings, prefill, ..
        } = model;
        let tokens_per_ms = prefill.tokens_per_ms();
        let prefill_ms = f64::from(uncached_tokens) / tokens_per_ms;
        let backlog_ms = f64::from(tokens_ahead) / tokens_per_ms;
        let excess_requests = f64::from((running + 1).saturating_sub(self.spec.slots));
        // A copy occupies the links of two servers and is weighted like the processing that it replaces.
        let fetch_ms = snapshot.fetch.map_or(0.0, |fetch| {
            fetch.transfer_ms + fetch.copy_ms * settings.read_again_factor
        });
        let own_ms = backlog_ms
            + prefill_ms * (1.0 + settings.read_again_factor)
            + fetch_ms
            + f64::from(running) * settings.running_request_ms
            + excess_requests * EXCESS_REQUEST_MS;
        let excess = snapshot.pause_excess(model);
        let interference_ms = if settings.is_long(demand) {
            let streams = f64::from(load.streams);
            streams * (settings.disturbed_stream_ms + excess * settings.late_stream_ms)
                + (1.0 - self.order_position) * settings.order_ms
        } else {
            excess * SLOW_STREAM_MS
                + self.prefill_share(now) * settings.busy_prefill_ms
                + self.order_position * settings.order_ms
        };
        own_ms + interference_ms
    }

    fn cross_zone_ms(&self, settings: &CostSettings, zone: &str, demand: &Demand) -> f64 {
        if self.spec.zone == zone {
            return 0.0;
        }
        let kilobytes = ratio(demand.body_bytes, 1_000);
        settings.other_zone_ms + kilobytes * settings.other_zone_ms_per_kb
    }

    /// Returns the share of the recent time that the server spent on prefill.
    fn prefill_share(&self, now: Duration) -> f64 {
        let window_ms = milliseconds(RECENT_HALF_LIFE) / std::f64::consts::LN_2;
        self.recent_prefill(now) / window_ms
    }

    fn recent_prefill(&self, now: Duration) -> f64 {
        self.recent_prefill_ms
            * decay::remaining_weight(now, self.recent_prefill_at, RECENT_HALF_LIFE)
    }

    pub(super) fn start(
        &mut self,
        model: &EngineModel,
        now: Duration,
        call: CallNumber,
        demand: &Demand,
        fetch: Option<PendingFetch>,
    ) {
        let EngineModel {
            settings, prefill, ..
        } = model;
        let is_long = settings.is_long(demand);
        let mut snapshot = self.snapshot(now, demand);
        let fetched_tokens = fetch.map_or(0, |fetch| fetch.tokens);
        snapshot.uncached_tokens = snapshot.uncached_tokens.saturating_sub(fetched_tokens);
        let uncached_tokens = snapshot.uncached_tokens;
        let load = EntryLoad {
            in_flight: 1,
            streams: u32::from(demand.prompt_tokens > 0 && !is_long),
            waiting: WaitingTokens::of(demand.rank, uncached_tokens),
        };
        self.own_load = self.own_load.add(load);
        let in_flight_call = InFlightCall {
            load,
            sent_at: now,
            tokens_before: snapshot.tokens_before(),
            fetch,
        };
        self.calls.insert(call, in_flight_call);
        if is_long {
            let prefill_ms = f64::from(uncached_tokens) / prefill.tokens_per_ms();
            self.recent_prefill_ms = self.recent_prefill(now) + prefill_ms;
            self.recent_prefill_at = now;
        }
        if let Some(fetch) = fetch {
            self.transfers.begin(now, fetch.transfer_ms);
        }
        let held_at = model.held_at(now, snapshot.tokens_before());
        self.cache.insert_processed(now, held_at, &demand.parts);
    }
}
