//! State of one tier: queue, running requests, capacity and learned speeds.

use std::collections::BTreeMap;
use std::time::Duration;

use super::queue::{ServiceRate, TierQueue, Waiting};
use super::settings::AdmissionSettings;
use crate::capacity::Capacity;
use crate::ids::{AttemptId, ClassId};

/// Weight of one sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Time constant of the average of offered tokens.
const OFFER_WINDOW_SECS: f64 = 5.0;

/// Factor on the mean time to the first token that covers its spread.
const FIRST_TOKEN_MARGIN: f64 = 1.5;

/// Time to the first token that is assumed until there are observations.
const PRIOR_FIRST_TOKEN_SECS: f64 = 0.1;

/// Time for which a tier's places have to be filled before the time between tokens counts for its capacity. Lower
/// tiers start nothing in the meantime, and most of their running requests end.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A request at the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Running {
    /// Tokens that were expected at the start.
    pub expected: u32,
    started_at: Duration,
    last_token_at: Option<Duration>,
    resumed: bool,
    suspected: bool,
}

impl Running {
    pub fn new(now: Duration, waiting: &Waiting, suspected: bool) -> Self {
        Self {
            expected: waiting.tokens,
            started_at: now,
            last_token_at: None,
            resumed: waiting.preempted,
            suspected,
        }
    }
}

#[derive(Debug)]
pub(super) struct Tier {
    pub queue: TierQueue,
    /// Waiting requests that may run with bounded company only, in order of arrival.
    pub suspects: Vec<Waiting>,
    pub running: BTreeMap<AttemptId, Running>,
    pub capacity: Capacity,
    pub reviewed_at: Duration,
    /// Time since which the tier and higher ones use nearly all their places.
    filled_since: Option<Duration>,
    secs_per_token: f64,
    first_token_secs: BTreeMap<ClassId, f64>,
    offered_at: Duration,
    offered_per_sec: f64,
    mean_tokens: f64,
}

impl Tier {
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self {
            queue: TierQueue::default(),
            suspects: Vec::new(),
            running: BTreeMap::new(),
            capacity: Capacity::new(settings.capacity()),
            reviewed_at: Duration::ZERO,
            filled_since: None,
            secs_per_token: settings.token_gap.as_secs_f64(),
            first_token_secs: first_token_priors(settings),
            offered_at: Duration::ZERO,
            offered_per_sec: 0.0,
            mean_tokens: f64::from(settings.prior_tokens),
        }
    }

    /// Takes over new settings and keeps what was learned.
    pub fn set_settings(&mut self, settings: &AdmissionSettings) {
        self.capacity.set_settings(settings.capacity());
        let learned = std::mem::replace(&mut self.first_token_secs, first_token_priors(settings));
        for (class, secs) in learned {
            self.first_token_secs
                .entry(class)
                .and_modify(|prior| *prior = secs);
        }
    }

    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub fn running_suspects(&self) -> impl Iterator<Item = AttemptId> {
        let suspected = self.running.iter().filter(|(_, running)| running.suspected);
        suspected.map(|(id, _)| *id)
    }

    pub fn waiting(&self) -> usize {
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

    /// Removes the waiting requests whose longest wait has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let expired = self
            .suspects
            .extract_if(.., |suspect| suspect.start_by <= now);
        expired.chain(self.queue.expire(now)).collect()
    }

    /// Counts an offer of work.
    pub fn count_offer(&mut self, now: Duration, tokens: u32) {
        let passed = now.saturating_sub(self.offered_at).as_secs_f64();
        self.offered_at = now;
        let tokens = f64::from(tokens);
        self.offered_per_sec =
            self.offered_per_sec * (-passed / OFFER_WINDOW_SECS).exp() + tokens / OFFER_WINDOW_SECS;
        average(&mut self.mean_tokens, tokens);
    }

    /// Counts a complete answer.
    pub fn count_finish(&mut self, now: Duration, running: &Running, tokens: u32) {
        if running.resumed || tokens == 0 {
            return;
        }
        let took = now.saturating_sub(running.started_at).as_secs_f64();
        average(&mut self.secs_per_token, took / f64::from(tokens));
    }

    /// Returns the time per token since the last report of a request; `None` for the first.
    pub fn token_gap(
        &mut self,
        now: Duration,
        id: AttemptId,
        class: &str,
        tokens: u32,
    ) -> Option<Duration> {
        let running = self.running.get_mut(&id)?;
        let Some(last) = running.last_token_at.replace(now) else {
            let took = now.saturating_sub(running.started_at).as_secs_f64();
            // Only classes of the configuration have an average, so the map is bounded.
            if let Some(mean) = self.first_token_secs.get_mut(class) {
                average(mean, took);
            }
            return None;
        };
        (tokens > 0).then(|| now.saturating_sub(last) / tokens)
    }

    /// Returns the time from the start to the first token that is likely kept.
    pub fn first_token(&self, class: &str) -> Duration {
        let mean = self
            .first_token_secs
            .get(class)
            .copied()
            .unwrap_or(PRIOR_FIRST_TOKEN_SECS);
        Duration::from_secs_f64(mean * FIRST_TOKEN_MARGIN)
    }

    /// Returns whether the places have been filled for long enough that lower tiers have drained to the places kept for
    /// them. Before that, the time between tokens is also due to lower tiers.
    pub fn is_settled(&mut self, now: Duration, is_filled: bool) -> bool {
        if !is_filled {
            self.filled_since = None;
            return false;
        }
        let since = *self.filled_since.get_or_insert(now);
        now.saturating_sub(since) >= SETTLING_TIME
    }

    /// Returns the speed at which waiting work is served with the given places.
    pub fn rate(&self, places: u32) -> ServiceRate {
        let free = places > self.running();
        let speed = f64::from(places.max(1)) / self.secs_per_token;
        ServiceRate {
            places,
            secs_per_token: self.secs_per_token,
            residual_tokens: if free { 0.0 } else { self.mean_tokens },
            utilisation: self.offered_per_sec / speed,
        }
    }
}

fn first_token_priors(settings: &AdmissionSettings) -> BTreeMap<ClassId, f64> {
    let classes = settings.classes.keys().cloned();
    classes
        .map(|class| (class, PRIOR_FIRST_TOKEN_SECS))
        .collect()
}

fn average(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}
