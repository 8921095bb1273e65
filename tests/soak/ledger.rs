//! What callers and backend servers saw of each request, and what of it breaks a promise.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// Requests of one run.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: Mutex<HashMap<String, Seen>>,
    violations: Mutex<Vec<String>>,
    /// Begin and end of the unplanned faults; without an end for those that last.
    faults: Mutex<Vec<(Instant, Option<Instant>)>>,
}

#[derive(Debug, Default)]
struct Seen {
    runs: u32,
    is_promised: bool,
}

impl Ledger {
    pub fn violation(&self, text: impl Into<String>) {
        self.violations.lock().expect("lock").push(text.into());
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("lock").clone()
    }

    /// Records that a server runs a request.
    pub fn run(&self, id: &str, may_repeat: bool) {
        let mut requests = self.requests.lock().expect("lock");
        let seen = requests.entry(id.to_owned()).or_default();
        seen.runs += 1;
        let (runs, is_promised) = (seen.runs, seen.is_promised);
        drop(requests);
        if runs > 1 && !may_repeat {
            self.violation(format!("{id} runs {runs} times"));
        }
        if is_promised {
            self.violation(format!(
                "{id} runs after its caller was told that it never will"
            ));
        }
    }

    /// Records that a caller was told that its request has not run and never will.
    pub fn promise(&self, id: &str, status: &str, may_repeat: bool) {
        let mut requests = self.requests.lock().expect("lock");
        let seen = requests.entry(id.to_owned()).or_default();
        seen.is_promised = true;
        let runs = seen.runs;
        drop(requests);
        if runs > 0 && !may_repeat {
            self.violation(format!("{id} got {status} and has run"));
        }
    }

    pub fn runs(&self, id: &str) -> u32 {
        let requests = self.requests.lock().expect("lock");
        requests.get(id).map_or(0, |seen| seen.runs)
    }

    pub fn begin_fault(&self) -> usize {
        let mut faults = self.faults.lock().expect("lock");
        faults.push((Instant::now(), None));
        faults.len() - 1
    }

    pub fn end_fault(&self, fault: usize) {
        self.faults.lock().expect("lock")[fault].1 = Some(Instant::now());
    }

    /// Returns whether an unplanned fault fell into the time since `begin` or ended a moment before.
    pub fn was_disturbed(&self, begin: Instant) -> bool {
        let faults = self.faults.lock().expect("lock");
        faults
            .iter()
            .any(|(_, end)| end.is_none_or(|end| end + super::SETTLE_TIME > begin))
    }
}
