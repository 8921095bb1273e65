//! Decision of a sidecar about a submitted order, based on its gate and its view of the shard.

use super::{BodyDigest, ClaimId, Gate, LatestClaim, OrderKey, Owner, RecordState, Shard};

/// Decision about a submitted order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LookupOutcome {
    /// Claim the order if the gate permits it, replacing this claim, which is known not to have run.
    Claim(Option<ClaimId>),
    /// Wait, because the order is being claimed or is running on this sidecar.
    Wait,
    /// The order ran on this sidecar, which may still have the response.
    Answered,
    /// The key was used with a different call.
    BodyMismatch,
    /// Another sidecar claimed the order and must be queried.
    ClaimedElsewhere(ClaimId),
    /// The order ran on a sidecar that no longer exists, so the response is lost.
    AnswerLost,
    /// A sidecar that no longer exists claimed the order. Only an operator can determine whether it ran.
    OwnerGone,
    /// This sidecar sent the order and lost the response. Only an operator can determine whether it ran.
    CallLost,
    /// An operator settled the order as run.
    SettledRan,
}

/// Looks up a submitted order in the shard and the gate of the sidecar `local`.
///
/// `released` is a claim that its owner has reported as not run. `is_gone` returns true for sidecars that will never run
/// an order again.
///
/// ```
/// use tanagerford_core::order::{Gate, LookupOutcome, OrderKey, Owner, Shard, lookup};
///
/// let local = Owner { server: "w1".into(), incarnation: 1 };
/// let key = OrderKey::new("north", "burn-17");
/// let (shard, gate) = (Shard::default(), Gate::default());
/// assert_eq!(lookup(&local, &shard, &gate, &key, 5, None, |_| false), LookupOutcome::Claim(None));
/// ```
pub fn lookup(
    local: &Owner,
    shard: &Shard,
    gate: &Gate,
    key: &OrderKey,
    body: BodyDigest,
    released: Option<&ClaimId>,
    is_gone: impl Fn(&Owner) -> bool,
) -> LookupOutcome {
    let Some(found) = shard.find(key) else {
        return LookupOutcome::Claim(None);
    };
    if found.record.body != body {
        return LookupOutcome::BodyMismatch;
    }
    match found.record.state {
        RecordState::Released | RecordState::SettledNotRun => LookupOutcome::Claim(None),
        RecordState::SettledRan => LookupOutcome::SettledRan,
        RecordState::Done if found.owner == local => LookupOutcome::Answered,
        RecordState::Done if is_gone(found.owner) => LookupOutcome::AnswerLost,
        RecordState::Claimed if found.owner == local => lookup_own_claim(gate, key, &found),
        RecordState::Claimed if released == Some(&found.claim()) => {
            LookupOutcome::Claim(released.cloned())
        }
        RecordState::Claimed if is_gone(found.owner) => LookupOutcome::OwnerGone,
        RecordState::Done | RecordState::Claimed => LookupOutcome::ClaimedElsewhere(found.claim()),
    }
}

fn lookup_own_claim(gate: &Gate, key: &OrderKey, found: &LatestClaim<'_>) -> LookupOutcome {
    if gate.is_done(key) {
        LookupOutcome::Answered
    } else if gate.is_lost(key) {
        LookupOutcome::CallLost
    } else if gate.is_busy(key) {
        LookupOutcome::Wait
    } else if gate.attempt(key).is_none() {
        // Another process used the same incarnation, and whether it ran the order is unknown.
        LookupOutcome::OwnerGone
    } else {
        LookupOutcome::Claim(Some(found.claim()))
    }
}
