//! An attempt in progress and the timestamps from which the speed of its server is measured.

use std::time::Instant;

use tanagerford_core::retry::LinkPhase;
use tanagerford_core::straggler::PaceSample;
use tanagerford_link::message;

use crate::attempts::Attempt;

use super::call::{Call, CallKind};
use super::servers::ChosenServer;

#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) attempt: Attempt,
    pub(super) chosen: ChosenServer,
    pub(super) phase: LinkPhase,
    pub(super) submitted_at: Instant,
    pub(super) first_token_at: Option<Instant>,
    pub(super) last_token_at: Option<Instant>,
    pub(super) tokens: u32,
}

impl RunningAttempt {
    pub(super) fn new(attempt: Attempt, chosen: ChosenServer) -> Self {
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

    /// Returns the speed of the complete response; `None` for a model response of fewer than two tokens.
    pub(super) fn pace(&self, call: &Call, load: Option<&message::Load>) -> Option<PaceSample> {
        if let CallKind::Service = call.kind {
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
