//! Servers that have given no sign since the first of several unanswered calls.
//!
//! A server that stops reading, because its process or its machine hangs, cannot be told from a slow one before calls time
//! out. What was written to it meanwhile cannot be taken back: it runs all of it when it goes on, long after the callers
//! have left. So a server that stays silent for longer than its pool usually takes gets only a few calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CallNumber, Pool, ServerIndex, ServerState};

/// Unanswered calls from which a silent server is left out. The platform's rules allow a few calls that reach a server after
/// their callers have left.
const MAX_UNANSWERED: usize = 3;
/// Time after the last call to a silent server before it gets another one; doubles with each such call. Callers leave after
/// two seconds without an event.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Upper bound of the doublings, which bounds the time for which a server that recovered is left out.
const MAX_DOUBLINGS: u32 = 2;
/// Shortest silence that counts. Scheduling stops sound servers for shorter times. With 200 ms, seven calls of review case 5
/// reached a server that had stopped: at 30 calls a second that prefer one server, each 33 ms are a call.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// Signs after which the usual time is known well enough.
const MIN_SAMPLES: u32 = 16;
/// Weight of a new time in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Mean deviations above the mean up to which a time to a first sign is usual.
const DEVIATION_FACTOR: f64 = 3.0;

/// Usual time from a call to the first byte of its answer, of the servers of one pool.
#[derive(Debug, Default)]
pub(super) struct FirstSign {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl FirstSign {
    fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        // The first times count equally, so that the averages do not depend on the very first one for long.
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.deviation_s += weight * ((took_s - self.mean_s).abs() - self.deviation_s);
        self.mean_s += weight * (took_s - self.mean_s);
    }

    /// Returns the longest usual time; `None` until it is known.
    fn patience(&self) -> Option<Duration> {
        let patience_s = self.mean_s + DEVIATION_FACTOR * self.deviation_s;
        let patience = Duration::try_from_secs_f64(patience_s).unwrap_or(Duration::MAX);
        (self.samples >= MIN_SAMPLES).then_some(patience.max(MIN_PATIENCE))
    }
}

/// Unanswered calls of this entry at one server.
#[derive(Debug, Default)]
pub(super) struct Silence {
    /// Calls without a byte of their answer, with the times at which they were sent.
    waiting: BTreeMap<CallNumber, Duration>,
    /// Calls since the last sign that ended without an answer after an unusually long time.
    given_up: usize,
    /// Time at which the first of the calls in `given_up` was sent.
    given_up_since: Option<Duration>,
    last_sign: Duration,
    last_sent: Duration,
    /// Calls that were sent although the server was silent.
    trials: u32,
}

impl Silence {
    fn on_sent(&mut self, now: Duration, call: CallNumber, patience: Option<Duration>) {
        self.trials += u32::from(self.is_silent(now, patience));
        self.last_sent = now;
        self.waiting.insert(call, now);
    }

    fn on_sign(&mut self, now: Duration) {
        self.last_sign = now;
        self.given_up = 0;
        self.given_up_since = None;
        self.trials = 0;
    }

    fn on_given_up(&mut self, call: CallNumber, waited: Duration, patience: Option<Duration>) {
        let Some(sent_at) = self.waiting.remove(&call) else {
            return;
        };
        // A call whose caller left early shows nothing about the server.
        if sent_at >= self.last_sign && patience.is_some_and(|patience| waited >= patience) {
            self.given_up += 1;
            self.given_up_since.get_or_insert(sent_at);
        }
    }

    fn is_silent(&self, now: Duration, patience: Option<Duration>) -> bool {
        let Some(patience) = patience else {
            return false;
        };
        let first = self.waiting.values().copied().chain(self.given_up_since);
        let since = first.min().unwrap_or(now).max(self.last_sign);
        self.waiting.len() + self.given_up >= MAX_UNANSWERED
            && now.saturating_sub(since) >= patience
    }

    /// Returns whether the server gets no call now.
    fn is_left_out(&self, now: Duration, patience: Option<Duration>) -> bool {
        let factor = 1 << self.trials.min(MAX_DOUBLINGS);
        self.is_silent(now, patience) && now < self.last_sent + TRIAL_INTERVAL * factor
    }
}

impl Pool {
    /// Records that a byte of the answer to a call has arrived; `took` is the time since the call was sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{CostSettings, Demand, Pool, ServerSpec};
    ///
    /// let mut pool = Pool::new("zone-a", CostSettings::default());
    /// let spec = ServerSpec { id: "s-1".into(), zone: "zone-a".into(), slots: 4, memory_tokens: 0 };
    /// pool.set_servers(&[spec]);
    /// pool.on_start(Duration::ZERO, "s-1", 1, &Demand::default());
    /// pool.on_sign(Duration::from_millis(40), "s-1", 1, Duration::from_millis(40));
    /// assert_eq!(pool.silent_servers(Duration::from_secs(9)), 0);
    /// ```
    pub fn on_sign(&mut self, now: Duration, server: &str, call: CallNumber, took: Duration) {
        let Some(state) = self.state(server) else {
            return;
        };
        state.silence.on_sign(now);
        if state.silence.waiting.remove(&call).is_some() {
            self.first_sign.record(took);
        }
    }

    /// Records that a call ends which waited for so long; a call that was answered is ignored.
    pub fn on_given_up(&mut self, server: &str, call: CallNumber, waited: Duration) {
        let patience = self.first_sign.patience();
        if let Some(state) = self.state(server) {
            state.silence.on_given_up(call, waited, patience);
        }
    }

    /// Returns the number of servers that get no calls now because they are silent.
    #[must_use]
    pub fn silent_servers(&self, now: Duration) -> usize {
        let patience = self.first_sign.patience();
        let servers = self.servers.iter();
        let silent = servers.filter(|state| state.silence.is_left_out(now, patience));
        silent.count()
    }

    pub(super) fn record_sent(&mut self, now: Duration, server: &str, call: CallNumber) {
        let patience = self.first_sign.patience();
        if let Some(state) = self.state(server) {
            state.silence.on_sent(now, call, patience);
        }
    }

    /// Returns the candidates that are not silent, or all if most of the pool is silent: then the cause is more likely this
    /// entry or the network than the servers.
    pub(super) fn without_silent<'a>(
        &self,
        now: Duration,
        candidates: Vec<(ServerIndex, &'a ServerState)>,
    ) -> Vec<(ServerIndex, &'a ServerState)> {
        let patience = self.first_sign.patience();
        let is_heard = |state: &ServerState| !state.silence.is_left_out(now, patience);
        let heard: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|(_, state)| is_heard(state))
            .collect();
        if heard.is_empty() || heard.len() * 2 < candidates.len() {
            return candidates;
        }
        heard
    }
}

impl ServerState {
    /// Records that the server sent an event of a running stream.
    pub(super) fn on_event(&mut self, now: Duration) {
        self.silence.on_sign(now);
    }
}
