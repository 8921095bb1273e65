//! What a sidecar does with an order, as far as its gate and its view of the shard tell.

use super::{BodyDigest, ClaimId, Found, Gate, OrderKey, Owner, RecordState, Shard};

/// What to do with an order that is looked up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Look {
    /// Ask the gate, then claim the order; a claim that is known to be not run is replaced.
    Claim(Option<ClaimId>),
    /// Wait: the order is being claimed or runs here.
    Wait,
    /// The order was run here; its answer may be kept.
    Answered,
    /// The key was used with another body.
    OtherBody,
    /// Another sidecar claimed the order; it is to be asked.
    Elsewhere(ClaimId),
    /// The order was run by a sidecar that is gone; its answer is lost.
    AnswerLost,
    /// A sidecar that is gone claimed the order. Only an operator can tell whether it was run.
    OwnerGone,
    /// The order was sent from here and its answer was lost. Only an operator can tell whether it was run.
    CallLost,
    /// An operator stated that the order was run.
    SettledRan,
}

/// Looks up an order.
///
/// `released` is a claim of which its owner said that it was not run, and `is_gone` tells which sidecars will never run
/// an order again.
///
/// ```
/// use tanagerford_core::order::{Gate, Look, OrderKey, Owner, Shard, look};
///
/// let me = Owner { server: "w1".into(), incarnation: 1 };
/// let key = OrderKey::new("north", "burn-17");
/// let (shard, gate) = (Shard::default(), Gate::default());
/// assert_eq!(look(&me, &shard, &gate, &key, 5, None, |_| false), Look::Claim(None));
/// ```
pub fn look(
    me: &Owner,
    shard: &Shard,
    gate: &Gate,
    key: &OrderKey,
    body: BodyDigest,
    released: Option<&ClaimId>,
    is_gone: impl Fn(&Owner) -> bool,
) -> Look {
    let Some(found) = shard.find(key) else {
        return Look::Claim(None);
    };
    if found.record.body != body {
        return Look::OtherBody;
    }
    match found.record.state {
        RecordState::Released | RecordState::SettledNotRun => Look::Claim(None),
        RecordState::SettledRan => Look::SettledRan,
        RecordState::Done if found.owner == me => Look::Answered,
        RecordState::Done if is_gone(found.owner) => Look::AnswerLost,
        RecordState::Claimed if found.owner == me => look_at_own(gate, key, &found),
        RecordState::Claimed if released == Some(&found.claim()) => Look::Claim(released.cloned()),
        RecordState::Claimed if is_gone(found.owner) => Look::OwnerGone,
        RecordState::Done | RecordState::Claimed => Look::Elsewhere(found.claim()),
    }
}

fn look_at_own(gate: &Gate, key: &OrderKey, found: &Found<'_>) -> Look {
    if gate.is_done(key) {
        Look::Answered
    } else if gate.is_lost(key) {
        Look::CallLost
    } else if gate.is_busy(key) {
        Look::Wait
    } else if gate.attempt(key).is_none() {
        // Another process used the same incarnation; what it did with the claim is not known here.
        Look::OwnerGone
    } else {
        Look::Claim(Some(found.claim()))
    }
}
