//! Attempt in progress, with the times that tell how fast its server is.

use std::time::Instant;

use tanagerford_core::retry::LinkPhase;
use tanagerford_core::straggler::PaceSample;
use tanagerford_link::message;

use crate::attempts::Attempt;

use super::call::{Call, Kind};
use super::servers::Chosen;

/// Attempt in progress.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) attempt: Attempt,
    pub(super) chosen: Chosen,
    pub(super) phase: LinkPhase,
    pub(super) submitted_at: Instant,
    pub(super) first_token_at: Option<Instant>,
    pub(super) last_token_at: Option<Instant>,
    pub(super) tokens: u32,
}

impl Running {
    pub(super) fn new(attempt: Attempt, chosen: Chosen) -> Self {
        Self {
            attempt,
            chosen,
            phase: LinkPhase::Sent,
            submitted_at: Instant::now(),
            first_token_at: None,
            last_token_at: None,
            tokens: 0,
        }
    }

    pub(super) fn count_tokens(&mut self, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let now = Instant::now();
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
        self.tokens += tokens;
    }

    /// Returns the speed of the finished answer; `None` when it is too short to tell.
    pub(super) fn pace(&self, call: &Call, load: Option<&message::Load>) -> Option<PaceSample> {
        if let Kind::Service = call.kind {
            return Some(PaceSample::Call {
                kind: call.class_kind,
                elapsed: self.submitted_at.elapsed(),
            });
        }
        let elapsed = self.last_token_at?.duration_since(self.first_token_at?);
        let batch = load.map_or(1, |load| load.running + 1);
        (self.tokens > 1).then_some(PaceSample::Tokens {
            tokens: self.tokens - 1,
            elapsed,
            batch,
        })
    }
}
