//! Record of what callers and backend servers observe of each request, and of violated guarantees.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// Requests of one seed.
#[derive(Debug, Default)]
pub struct RequestLog {
    requests: Mutex<HashMap<String, RequestState>>,
    violations: Mutex<Vec<String>>,
    /// Begin and end of each unplanned fault; the end is absent while the fault lasts.
    faults: Mutex<Vec<(Instant, Option<Instant>)>>,
    /// End of the latest time in which a server was silent.
    silent_until: Mutex<Option<Instant>>,
}

#[derive(Debug, Default)]
struct RequestState {
    runs: u32,
    /// Whether the caller was told that the request has not run and never will.
    is_reported_not_run: bool,
    /// Time at which its caller had the whole answer, and the seal of the answer.
    answer: Option<(Instant, String)>,
}

impl RequestLog {
    pub fn add_violation(&self, text: impl Into<String>) {
        self.violations.lock().expect("lock").push(text.into());
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("lock").clone()
    }

    /// Records that a server runs a request.
    pub fn record_run(&self, id: &str, may_repeat: bool) {
        let mut requests = self.requests.lock().expect("lock");
        let state = requests.entry(id.to_owned()).or_default();
        state.runs += 1;
        let (runs, is_reported_not_run) = (state.runs, state.is_reported_not_run);
        drop(requests);
        if runs > 1 && !may_repeat {
            self.add_violation(format!("{id} runs {runs} times"));
        }
        if is_reported_not_run {
            self.add_violation(format!(
                "{id} runs after its caller was told that it never will"
            ));
        }
    }

    /// Records that a caller was told that its request has not run and never will.
    pub fn record_not_run(&self, id: &str, status: &str, may_repeat: bool) {
        let mut requests = self.requests.lock().expect("lock");
        let state = requests.entry(id.to_owned()).or_default();
        state.is_reported_not_run = true;
        let runs = state.runs;
        drop(requests);
        if runs > 0 && !may_repeat {
            self.add_violation(format!("{id} got {status} and has run"));
        }
    }

    /// Records that a caller got a whole answer with this seal.
    pub fn record_answer(&self, id: &str, seal: &str) {
        let mut requests = self.requests.lock().expect("lock");
        let state = requests.entry(id.to_owned()).or_default();
        state.answer = Some((Instant::now(), seal.to_owned()));
    }

    /// Returns the time and the seal of the answer that a caller got.
    pub fn answer(&self, id: &str) -> Option<(Instant, String)> {
        let requests = self.requests.lock().expect("lock");
        requests.get(id)?.answer.clone()
    }

    pub fn runs(&self, id: &str) -> u32 {
        let requests = self.requests.lock().expect("lock");
        requests.get(id).map_or(0, |state| state.runs)
    }

    pub fn begin_fault(&self) -> usize {
        let mut faults = self.faults.lock().expect("lock");
        faults.push((Instant::now(), None));
        faults.len() - 1
    }

    pub fn end_fault(&self, fault: usize) {
        self.faults.lock().expect("lock")[fault].1 = Some(Instant::now());
    }

    /// Records that a server sends nothing until a time.
    pub fn record_silence(&self, until: Instant) {
        let mut latest = self.silent_until.lock().expect("lock");
        *latest = (*latest).max(Some(until));
    }

    /// Returns whether a server has been silent since `begin`.
    pub fn was_silent(&self, begin: Instant) -> bool {
        let latest = *self.silent_until.lock().expect("lock");
        latest.is_some_and(|until| until > begin)
    }

    /// Returns whether an unplanned fault has been active since `begin` or ended less than [`super::SETTLE_TIME`]
    /// before.
    pub fn was_disturbed(&self, begin: Instant) -> bool {
        let faults = self.faults.lock().expect("lock");
        faults
            .iter()
            .any(|(_, end)| end.is_none_or(|end| end + super::SETTLE_TIME > begin))
    }
}
