//! A request on its way through the deployment.

use std::time::Duration;

use tanagerford_core::retry::RetryState;
use tanagerford_core::routing::Attempt;
use tanagerford_core::straggler::PaceSample;

use crate::engine::PROMPT_WORK;
use crate::scenario::{ClassSpec, Job, TOKEN_GAP_MS};

/// A request and what became of it.
pub struct Work {
    pub job: Job,
    pub retry: RetryState,
    pub tried: Vec<String>,
    pub attempt: Option<Attempt>,
    pub server: usize,
    pub attempts: u64,
    pub started_before: bool,
    pub attempt_first: Option<(Duration, u32)>,
    pub generated: u32,
    pub first_token: Option<Duration>,
    pub ended_at: Option<Duration>,
    pub complete: bool,
    /// Work of backend servers and the part that was repeated or discarded, in generated tokens or milliseconds.
    pub done: f64,
    pub wasted: f64,
}

impl Work {
    pub fn new(job: Job) -> Self {
        Self {
            retry: RetryState::new(job.tier),
            job,
            tried: Vec::new(),
            attempt: None,
            server: 0,
            attempts: 0,
            started_before: false,
            attempt_first: None,
            generated: 0,
            first_token: None,
            ended_at: None,
            complete: false,
            done: 0.0,
            wasted: 0.0,
        }
    }

    pub fn prefix_hash(&self) -> Option<u64> {
        (self.job.call == Duration::ZERO).then(|| hash(&self.job.workspace) ^ self.job.class as u64)
    }

    /// Poison requests are repetitions of the same body; all others differ.
    pub fn fingerprint(&self, index: usize) -> u64 {
        if self.job.poison {
            u64::MAX
        } else {
            index as u64
        }
    }

    /// Returns the time that is left of the longest wait. A stream that was delivered in part waits anew.
    pub fn wait_left(&self, spec: &ClassSpec, now: Duration) -> Duration {
        let longest = Duration::from_millis(spec.longest_wait_ms);
        if self.generated > 0 {
            longest
        } else {
            (self.job.at + longest).saturating_sub(now)
        }
    }

    pub fn prefilled(&mut self, tokens: u32, repeated: bool) {
        let work = f64::from(tokens) * PROMPT_WORK;
        self.done += work;
        if repeated || self.generated > 0 {
            self.wasted += work;
        }
    }

    pub fn token(&mut self, now: Duration) {
        self.generated += 1;
        self.done += 1.0;
        self.first_token.get_or_insert(now);
        self.attempt_first.get_or_insert((now, self.generated));
    }

    pub fn pace(&self, spec: &ClassSpec, now: Duration, batch: u32) -> Option<PaceSample> {
        if spec.call_ms > 0.0 {
            let kind = u8::try_from(self.job.class).unwrap_or(0);
            return Some(PaceSample::Call {
                kind,
                elapsed: now.saturating_sub(self.job.at),
            });
        }
        let (at, count) = self.attempt_first?;
        let tokens = self.generated - count;
        Some(PaceSample::Tokens {
            tokens,
            elapsed: now.saturating_sub(at),
            batch,
        })
    }

    /// Returns whether the answer is complete and met its latency target.
    pub fn on_time(&self, spec: &ClassSpec) -> bool {
        let (Some(first), Some(end), true) = (self.first_token, self.ended_at, self.complete)
        else {
            return false;
        };
        let target = Duration::from_millis(spec.target_ms);
        let gaps = Duration::from_millis(TOKEN_GAP_MS) * self.generated.saturating_sub(1);
        first.saturating_sub(self.job.at) <= target && end.saturating_sub(first) <= gaps
    }
}

pub fn hash(name: &str) -> u64 {
    name.bytes().fold(17, |hash: u64, byte| {
        hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    })
}
