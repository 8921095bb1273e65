//! Attempts that end without a complete response: their outcome for the call and the evidence about the server.

use std::time::Duration;

use tanagerford_caller::refusal::{Code, Refusal};
use tanagerford_core::retry::{AttemptOutcome, LinkPhase};
use tanagerford_link::message::{self, Outcome};

use super::relay::Relay;
use super::servers::load_hint;

#[derive(Debug)]
pub(super) enum Failure {
    /// The attempt ended without a complete response.
    Ended {
        outcome: AttemptOutcome,
        refusal: Refusal,
    },
    /// Another sidecar has claimed the order.
    ClaimedElsewhere(message::Claim),
}

impl Relay {
    pub(super) fn failure_of_finish(&mut self, finish: &message::Finish) -> Failure {
        self.state.suspects.merge(&finish.suspicion);
        let outcome = match finish.outcome() {
            Outcome::Preempted => AttemptOutcome::Preempted,
            Outcome::Crashed => AttemptOutcome::Crashed,
            Outcome::Cancelled => AttemptOutcome::Cancelled,
            Outcome::Unspecified | Outcome::Complete | Outcome::Failed => AttemptOutcome::Failed,
        };
        if let Some(chosen) = self.end_attempt() {
            match outcome {
                AttemptOutcome::Preempted | AttemptOutcome::Cancelled => {
                    let load = finish.load.as_ref().map(load_hint);
                    self.state.servers.on_refusal(chosen, load.as_ref());
                }
                _ => self.state.servers.on_failure(chosen),
            }
        }
        let message = format!(
            "backend server did not finish the request: {}",
            finish.detail
        );
        let code = match outcome {
            AttemptOutcome::Preempted => Code::PreemptedTooLong,
            _ => Code::ServerFailed,
        };
        let refusal = Refusal::new(code, message);
        Failure::Ended { outcome, refusal }
    }

    pub(super) fn failure_of_refused(&mut self, refused: message::Refused) -> Failure {
        if let Some(chosen) = self.end_attempt() {
            let load = refused.load.as_ref().map(load_hint);
            self.state.servers.on_refusal(chosen, load.as_ref());
        }
        if let Some(claim) = refused.claim {
            return Failure::ClaimedElsewhere(claim);
        }
        let mut refusal = Refusal::new(Code::from_wire(&refused.code), refused.detail);
        if refused.retry_after_ms > 0 {
            refusal = refusal.retry_after(Duration::from_millis(refused.retry_after_ms.into()));
        }
        let outcome = if refused.unknown {
            AttemptOutcome::RefusedUnknown
        } else {
            AttemptOutcome::RefusedNotRun
        };
        Failure::Ended { outcome, refusal }
    }

    pub(super) fn failure_of_lost_link(&mut self) -> Failure {
        let phase = self
            .running
            .as_ref()
            .map_or(LinkPhase::NotSent, |running| running.phase);
        if let Some(chosen) = self.end_attempt() {
            self.state.servers.on_failure(chosen);
        }
        let refusal = Refusal::new(Code::ServerFailed, "link to the sidecar was lost");
        let outcome = AttemptOutcome::LinkLost { phase };
        Failure::Ended { outcome, refusal }
    }

    /// Ends the attempt at the time limit of the call. The outcome is [`AttemptOutcome::Failed`], because the attempt
    /// may have run.
    pub(super) fn failure_of_deadline(&mut self) -> Failure {
        if let Some(chosen) = self.end_attempt() {
            self.state.servers.on_ended(chosen);
        }
        let refusal = Refusal::new(
            Code::DeadlineExceeded,
            "the time limit of the call has passed",
        );
        Failure::Ended {
            outcome: AttemptOutcome::Failed,
            refusal,
        }
    }
}
