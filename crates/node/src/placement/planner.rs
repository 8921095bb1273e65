//! Planner of the placement of models on servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::ids::ServerId;
use tanagerford_core::placement::{Lease, ModelName, Placement, ServerReport};
use tanagerford_kv::kv::{Call, Commit, Kv, LeaseId, Refusal, Revision, Transaction, Write};

use super::record::{self, PLACEMENT_KEY, PLANNER_KEY, PlacementValue};
use super::{Clock, LeaseTiming};

/// Next placement, not written yet.
#[derive(Debug, Clone)]
pub struct Plan {
    placement: Placement,
    /// Revision of the placement that the plan replaces.
    base_revision: Revision,
}

/// Planner of the placement. Of all planners of a fleet, only the holder of the planner's lease writes placements.
pub struct PlannerRunner {
    kv: Arc<dyn Kv>,
    process_id: String,
    lease_timing: LeaseTiming,
    lease_id: Option<LeaseId>,
    lease: Lease,
}

impl PlannerRunner {
    /// Creates a planner without a lease. `process_id` identifies the holder of the lease to operators.
    #[must_use]
    pub fn new(kv: Arc<dyn Kv>, process_id: impl Into<String>, lease_timing: LeaseTiming) -> Self {
        Self {
            kv,
            process_id: process_id.into(),
            lease_timing,
            lease_id: None,
            lease: Lease::default(),
        }
    }

    /// Runs one round: acquires or renews the lease, reads the servers' reports and writes a placement that brings each
    /// model closer to its number of servers in `demand`. Returns whether a placement was written.
    pub fn step(&mut self, clock: Clock<'_>, demand: &BTreeMap<ModelName, usize>) -> bool {
        let plan = self.plan(clock, demand);
        plan.is_some_and(|plan| self.write(&plan))
    }

    /// Acquires or renews the lease and computes the next placement. Returns `None` if another process holds the lease,
    /// no change is needed, or a call to the key-value service failed.
    pub fn plan(&mut self, clock: Clock<'_>, demand: &BTreeMap<ModelName, usize>) -> Option<Plan> {
        self.renew_or_acquire_lease(clock);
        if !self.lease.is_valid(clock(), Duration::ZERO) {
            return None;
        }
        let timeout = self.lease_timing.call_timeout;
        // The placement is read before the reports, because a report that is newer than the placement only shows more
        // progress.
        let stored = record::read::<PlacementValue>(&*self.kv, PLACEMENT_KEY, timeout)?;
        let placement: Placement = stored.value.map(Into::into).unwrap_or_default();
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
            base_revision: stored.revision,
        })
    }

    /// Writes a plan if the placement has not changed since it was read. Returns whether the write certainly took
    /// effect. After a lost response, the next plan starts from the placement that is then stored.
    #[must_use]
    pub fn write(&self, plan: &Plan) -> bool {
        let value = PlacementValue::from(plan.placement.clone());
        let transaction = Transaction {
            compares: vec![record::compare_revision(
                PLACEMENT_KEY.into(),
                plan.base_revision,
            )],
            writes: vec![record::put_json(PLACEMENT_KEY.into(), &value, None)],
        };
        let response = self.kv.commit(&transaction, self.lease_timing.call_timeout);
        matches!(response, Call::Done(Commit::Applied(_)))
    }

    fn renew_or_acquire_lease(&mut self, clock: Clock<'_>) {
        let Some(lease_id) = self.lease_id else {
            self.acquire_lease(clock);
            return;
        };
        let sent_at = clock();
        match self
            .kv
            .renew_lease(lease_id, self.lease_timing.call_timeout)
        {
            Call::Done(remaining) => self
                .lease
                .on_renewed(sent_at, remaining.min(self.lease_timing.ttl)),
            Call::Refused(Refusal::LeaseExpired) => {
                self.lease.on_lost();
                self.lease_id = None;
            }
            Call::Refused(_) | Call::Unknown => {}
        }
    }

    fn acquire_lease(&mut self, clock: Clock<'_>) {
        let LeaseTiming {
            ttl,
            call_timeout: timeout,
            ..
        } = self.lease_timing;
        let Call::Done(None) = self.kv.get(PLANNER_KEY, timeout) else {
            return;
        };
        let sent_at = clock();
        let Call::Done(lease_id) = self.kv.grant_lease(ttl, timeout) else {
            return;
        };
        let transaction = Transaction {
            compares: vec![record::compare_revision(PLANNER_KEY.into(), 0)],
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
            // If the transaction took effect and only its response was lost, this also deletes the key.
            self.kv.revoke_lease(lease_id, timeout);
        }
    }
}

/// Adds an entry to the placement for each server that reports models but has no entry, with these models. Otherwise
/// the first placement with an entry for the server could unload the only copy of a model.
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
