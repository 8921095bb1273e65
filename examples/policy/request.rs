//! State of a request during the simulation.

use std::time::Duration;

use tanagerford_core::retry::RetryState;
use tanagerford_core::routing::Attempt;
use tanagerford_core::straggler::PaceSample;

use crate::engine::PROMPT_TOKEN_WORK;
use crate::scenario::{ClassSpec, Job, TOKEN_GAP_MS};

/// Request with its attempts and result.
pub struct RequestState {
    pub job: Job,
    pub retry: RetryState,
    /// Names of the servers of earlier attempts.
    pub tried: Vec<String>,
    pub attempt: Option<Attempt>,
    /// Position of the server of the latest attempt.
    pub server: usize,
    pub attempts: u64,
    /// Whether a server crashed while it ran the request, so that prefill is repeated work.
    pub has_crashed: bool,
    /// Time of the first token of the current attempt, and the tokens generated up to it over all attempts.
    pub attempt_first_token: Option<(Duration, u32)>,
    pub generated: u32,
    pub first_token: Option<Duration>,
    pub ended_at: Option<Duration>,
    pub is_complete: bool,
    /// Work of backend servers: in units of a generated token for model requests, in milliseconds for calls.
    pub work_done: f64,
    /// Part of `work_done` that was repeated or discarded.
    pub work_wasted: f64,
}

impl RequestState {
    pub fn new(job: Job) -> Self {
        Self {
            retry: RetryState::new(job.tier),
            job,
            tried: Vec::new(),
            attempt: None,
            server: 0,
            attempts: 0,
            has_crashed: false,
            attempt_first_token: None,
            generated: 0,
            first_token: None,
            ended_at: None,
            is_complete: false,
            work_done: 0.0,
            work_wasted: 0.0,
        }
    }

    pub fn prefix_hash(&self) -> Option<u64> {
        (self.job.call_time == Duration::ZERO)
            .then(|| hash(&self.job.workspace) ^ self.job.class as u64)
    }

    /// Returns the identity of the request body: all poison requests have the same body, all others differ.
    pub fn fingerprint(&self, index: usize) -> u64 {
        if self.job.is_poison {
            u64::MAX
        } else {
            index as u64
        }
    }

    /// Returns the remaining part of the longest wait. After the first token, every attempt may take the full wait.
    pub fn remaining_wait(&self, spec: &ClassSpec, now: Duration) -> Duration {
        let longest = Duration::from_millis(spec.longest_wait_ms);
        if self.generated > 0 {
            longest
        } else {
            (self.job.at + longest).saturating_sub(now)
        }
    }

    pub fn on_prefill(&mut self, tokens: u32, is_repeated: bool) {
        let work = f64::from(tokens) * PROMPT_TOKEN_WORK;
        self.work_done += work;
        if is_repeated || self.generated > 0 {
            self.work_wasted += work;
        }
    }

    pub fn on_token(&mut self, now: Duration) {
        self.generated += 1;
        self.work_done += 1.0;
        self.first_token.get_or_insert(now);
        self.attempt_first_token
            .get_or_insert((now, self.generated));
    }

    pub fn pace_sample(&self, spec: &ClassSpec, now: Duration, batch: u32) -> Option<PaceSample> {
        if spec.call_ms > 0.0 {
            let kind = u8::try_from(self.job.class).unwrap_or(0);
            return Some(PaceSample::Call {
                kind,
                elapsed: now.saturating_sub(self.job.at),
            });
        }
        let (at, count) = self.attempt_first_token?;
        let tokens = self.generated - count;
        Some(PaceSample::Tokens {
            tokens,
            elapsed: now.saturating_sub(at),
            batch,
        })
    }

    /// Returns whether the response is complete and met its latency targets.
    pub fn is_on_time(&self, spec: &ClassSpec) -> bool {
        let (Some(first), Some(end), true) = (self.first_token, self.ended_at, self.is_complete)
        else {
            return false;
        };
        let target = Duration::from_millis(spec.target_ms);
        let token_time = Duration::from_millis(TOKEN_GAP_MS) * self.generated.saturating_sub(1);
        first.saturating_sub(self.job.at) <= target && end.saturating_sub(first) <= token_time
    }
}

pub fn hash(name: &str) -> u64 {
    name.bytes().fold(17, |hash: u64, byte| {
        hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    })
}
