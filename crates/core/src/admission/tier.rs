//! State of one tier: queue, running requests, capacity estimate and latency averages.

use std::collections::BTreeMap;
use std::time::Duration;

use super::queue::{ServiceRate, TierQueue, Waiting};
use super::settings::AdmissionSettings;
use crate::capacity::Capacity;
use crate::ids::{AttemptId, ClassId};

/// Weight of one sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Time constant of the exponential average of offered tokens per second.
const OFFER_WINDOW_SECS: f64 = 5.0;

/// Factor on the mean time to the first token that accounts for its variance.
const FIRST_TOKEN_MARGIN: f64 = 1.5;

/// Time to the first token assumed until a class has been observed.
const PRIOR_FIRST_TOKEN_SECS: f64 = 0.1;

/// Time for which a tier has to be saturated before inter-token latency updates its capacity estimate. Lower tiers
/// start no requests in the meantime, and most of their running requests end.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A request at the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Running {
    pub expected_tokens: u32,
    started_at: Duration,
    last_token_at: Option<Duration>,
    is_resumed: bool,
    is_suspect: bool,
}

impl Running {
    pub fn new(now: Duration, waiting: &Waiting, is_suspect: bool) -> Self {
        Self {
            expected_tokens: waiting.tokens,
            started_at: now,
            last_token_at: None,
            is_resumed: waiting.is_preempted,
            is_suspect,
        }
    }
}

#[derive(Debug)]
pub(super) struct Tier {
    pub queue: TierQueue,
    /// Waiting requests that are suspected of crashing engines, in order of arrival.
    pub suspects: Vec<Waiting>,
    pub running: BTreeMap<AttemptId, Running>,
    pub capacity: Capacity,
    /// Time of the last check for requests that are predicted to start too late.
    pub late_checked_at: Duration,
    /// Time since which the tier has been saturated; `None` while it is not.
    saturated_since: Option<Duration>,
    secs_per_token: f64,
    first_token_secs: BTreeMap<ClassId, f64>,
    offered_at: Duration,
    offered_tokens_per_sec: f64,
    mean_tokens: f64,
}

impl Tier {
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self {
            queue: TierQueue::default(),
            suspects: Vec::new(),
            running: BTreeMap::new(),
            capacity: Capacity::new(settings.capacity()),
            late_checked_at: Duration::ZERO,
            saturated_since: None,
            secs_per_token: settings.token_gap.as_secs_f64(),
            first_token_secs: first_token_priors(settings),
            offered_at: Duration::ZERO,
            offered_tokens_per_sec: 0.0,
            mean_tokens: f64::from(settings.prior_tokens),
        }
    }

    /// Applies new settings and keeps the averages of classes that remain.
    pub fn set_settings(&mut self, settings: &AdmissionSettings) {
        self.capacity.set_settings(settings.capacity());
        let observed = std::mem::replace(&mut self.first_token_secs, first_token_priors(settings));
        for (class, secs) in observed {
            self.first_token_secs
                .entry(class)
                .and_modify(|prior| *prior = secs);
        }
    }

    pub fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub fn running_suspects(&self) -> impl Iterator<Item = AttemptId> {
        let suspects = self
            .running
            .iter()
            .filter(|(_, running)| running.is_suspect);
        suspects.map(|(id, _)| *id)
    }

    pub fn waiting_count(&self) -> usize {
        self.queue.len() + self.suspects.len()
    }

    pub fn waiting_ids(&self) -> Vec<AttemptId> {
        let suspects = self.suspects.iter().map(|suspect| suspect.id);
        self.queue.ids().into_iter().chain(suspects).collect()
    }

    pub fn remove_waiting(&mut self, id: AttemptId) {
        self.queue.remove(id);
        self.suspects.retain(|suspect| suspect.id != id);
    }

    pub fn next_expiry(&self) -> Option<Duration> {
        let suspects = self.suspects.iter().map(|suspect| suspect.start_by);
        suspects.chain(self.queue.next_expiry()).min()
    }

    /// Removes and returns the waiting requests whose `start_by` has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let expired = self
            .suspects
            .extract_if(.., |suspect| suspect.start_by <= now);
        expired.chain(self.queue.expire(now)).collect()
    }

    /// Records a request of `tokens` expected tokens in the offered load.
    pub fn record_offer(&mut self, now: Duration, tokens: u32) {
        let elapsed = now.saturating_sub(self.offered_at).as_secs_f64();
        self.offered_at = now;
        let tokens = f64::from(tokens);
        self.offered_tokens_per_sec = self.offered_tokens_per_sec
            * (-elapsed / OFFER_WINDOW_SECS).exp()
            + tokens / OFFER_WINDOW_SECS;
        update_average(&mut self.mean_tokens, tokens);
    }

    /// Records the time per token of a complete response. A resumed request is skipped, because part of its tokens was
    /// generated before its last start.
    pub fn record_finish(&mut self, now: Duration, running: &Running, tokens: u32) {
        if running.is_resumed || tokens == 0 {
            return;
        }
        let elapsed = now.saturating_sub(running.started_at).as_secs_f64();
        update_average(&mut self.secs_per_token, elapsed / f64::from(tokens));
    }

    /// Records generated tokens and returns the time per token since the last report of the request; `None` for its
    /// first report.
    pub fn record_tokens(
        &mut self,
        now: Duration,
        id: AttemptId,
        class: &str,
        tokens: u32,
    ) -> Option<Duration> {
        let running = self.running.get_mut(&id)?;
        let Some(last) = running.last_token_at.replace(now) else {
            let elapsed = now.saturating_sub(running.started_at).as_secs_f64();
            // Only configured classes have an average, so the map is bounded.
            if let Some(mean) = self.first_token_secs.get_mut(class) {
                update_average(mean, elapsed);
            }
            return None;
        };
        (tokens > 0).then(|| now.saturating_sub(last) / tokens)
    }

    /// Returns a conservative estimate of the time from the start to the first token.
    pub fn first_token_estimate(&self, class: &str) -> Duration {
        let mean = self
            .first_token_secs
            .get(class)
            .copied()
            .unwrap_or(PRIOR_FIRST_TOKEN_SECS);
        Duration::from_secs_f64(mean * FIRST_TOKEN_MARGIN)
    }

    /// Returns whether the tier has been saturated for long enough that lower tiers have drained to the slots reserved
    /// for them. Before that, requests of lower tiers also affect inter-token latency.
    pub fn is_settled(&mut self, now: Duration, is_saturated: bool) -> bool {
        if !is_saturated {
            self.saturated_since = None;
            return false;
        }
        let since = *self.saturated_since.get_or_insert(now);
        now.saturating_sub(since) >= SETTLING_TIME
    }

    /// Returns the rate at which the queue is served with the given number of slots.
    pub fn rate(&self, slots: u32) -> ServiceRate {
        let has_free_slot = slots > self.running_count();
        let tokens_per_sec = f64::from(slots.max(1)) / self.secs_per_token;
        ServiceRate {
            slots,
            secs_per_token: self.secs_per_token,
            residual_tokens: if has_free_slot { 0.0 } else { self.mean_tokens },
            utilisation: self.offered_tokens_per_sec / tokens_per_sec,
        }
    }
}

fn first_token_priors(settings: &AdmissionSettings) -> BTreeMap<ClassId, f64> {
    let classes = settings.classes.keys().cloned();
    classes
        .map(|class| (class, PRIOR_FIRST_TOKEN_SECS))
        .collect()
}

fn update_average(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}
