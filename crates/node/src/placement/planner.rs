//! Planner of the fleet's placement.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::ids::ServerId;
use tanagerford_core::placement::{Lease, ModelName, Placement, ServerReport};
use tanagerford_kv::kv::{Call, Commit, Kv, LeaseId, Refusal, Revision, Transaction, Write};

use super::record::{self, PLACEMENT_KEY, PLANNER_KEY, PlacementValue};
use super::{Clock, LeasePace};

/// Placement that is ready to be written.
#[derive(Debug, Clone)]
pub struct Plan {
    placement: Placement,
    /// Revision of the placement that the plan was made from.
    base: Revision,
}

/// Plans the placement while it holds the planner's lease.
pub struct PlannerRunner {
    kv: Arc<dyn Kv>,
    process_id: String,
    pace: LeasePace,
    lease_id: Option<LeaseId>,
    lease: Lease,
}

impl PlannerRunner {
    /// Creates a planner of the process `process_id`.
    #[must_use]
    pub fn new(kv: Arc<dyn Kv>, process_id: impl Into<String>, pace: LeasePace) -> Self {
        Self {
            kv,
            process_id: process_id.into(),
            pace,
            lease_id: None,
            lease: Lease::default(),
        }
    }

    /// Does one round: takes or renews the lease, reads the reports and writes the next placement that brings each
    /// model of `demand` closer to its count of servers. Returns whether a placement was written.
    pub fn step(&mut self, clock: Clock<'_>, demand: &BTreeMap<ModelName, usize>) -> bool {
        let plan = self.plan(clock, demand);
        plan.is_some_and(|plan| self.write(&plan))
    }

    /// Takes or renews the lease and plans; `None` if another process plans, nothing is to change, or the service gave
    /// no answer.
    pub fn plan(&mut self, clock: Clock<'_>, demand: &BTreeMap<ModelName, usize>) -> Option<Plan> {
        self.hold(clock);
        if !self.lease.is_valid(clock(), Duration::ZERO) {
            return None;
        }
        let timeout = self.pace.timeout;
        // The placement is read before the reports: a report that is newer than the placement only shows more.
        let found = record::read::<PlacementValue>(&*self.kv, PLACEMENT_KEY, timeout)?;
        let placement: Placement = found.value.map(Into::into).unwrap_or_default();
        let reports = record::read_reports(&*self.kv, timeout)?;
        let adopted = adopt(&placement, &reports);
        let next = adopted.next(&reports, demand);
        let placement = next.or_else(|| {
            (adopted.wanted != placement.wanted).then_some(Placement {
                generation: placement.generation + 1,
                wanted: adopted.wanted,
            })
        })?;
        Some(Plan {
            placement,
            base: found.revision,
        })
    }

    /// Writes a plan on condition that the placement has not changed since. Returns whether the write is known to have
    /// taken effect; after a lost answer the next plan starts from what is then stored.
    #[must_use]
    pub fn write(&self, plan: &Plan) -> bool {
        let value = PlacementValue::from(plan.placement.clone());
        let transaction = Transaction {
            compares: vec![record::unchanged(PLACEMENT_KEY.into(), plan.base)],
            writes: vec![record::put(PLACEMENT_KEY.into(), &value, None)],
        };
        let answer = self.kv.commit(&transaction, self.pace.timeout);
        matches!(answer, Call::Done(Commit::Applied(_)))
    }

    fn hold(&mut self, clock: Clock<'_>) {
        let Some(lease_id) = self.lease_id else {
            self.take(clock);
            return;
        };
        let sent_at = clock();
        match self.kv.renew_lease(lease_id, self.pace.timeout) {
            Call::Done(left) => self.lease.on_renewed(sent_at, left.min(self.pace.ttl)),
            Call::Refused(Refusal::LeaseExpired) => {
                self.lease.on_lost();
                self.lease_id = None;
            }
            Call::Refused(_) | Call::Unknown => {}
        }
    }

    fn take(&mut self, clock: Clock<'_>) {
        let LeasePace { ttl, timeout, .. } = self.pace;
        let Call::Done(None) = self.kv.get(PLANNER_KEY, timeout) else {
            return;
        };
        let sent_at = clock();
        let Call::Done(lease_id) = self.kv.grant_lease(ttl, timeout) else {
            return;
        };
        let transaction = Transaction {
            compares: vec![record::unchanged(PLANNER_KEY.into(), 0)],
            writes: vec![Write::Put {
                key: PLANNER_KEY.into(),
                value: self.process_id.clone().into_bytes(),
                lease: Some(lease_id),
            }],
        };
        if let Call::Done(Commit::Applied(_)) = self.kv.commit(&transaction, timeout) {
            self.lease_id = Some(lease_id);
            self.lease.on_renewed(sent_at, ttl);
        } else {
            // Deletes the key, too, if the commit took effect and only its answer was lost.
            self.kv.revoke_lease(lease_id, timeout);
        }
    }
}

/// Returns the placement with the models that servers without an entry have loaded already, so that the first plan that
/// names such a server takes nothing from it that no other server holds.
fn adopt(placement: &Placement, reports: &BTreeMap<ServerId, ServerReport>) -> Placement {
    let mut adopted = placement.clone();
    for (server, report) in reports {
        if !placement.wanted.contains_key(server) && !report.loaded.is_empty() {
            let since = placement.generation + 1;
            let models = report.loaded.iter().map(|model| (model.clone(), since));
            adopted.wanted.insert(server.clone(), models.collect());
        }
    }
    adopted
}
