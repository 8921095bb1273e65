//! Execution of the placement by a sidecar, which loads and unloads models while it holds the slot of its server.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::ids::ServerId;
use tanagerford_core::placement::{
    EngineOrders, FencingToken as PlacementToken, ModelName, ObservedPlacement, Placement,
    ServerReport, Slot, SlotAction, SlotRecord,
};
use tanagerford_engine::{
    EngineClient, EngineError, FencingToken, Models, OrderKind, OrderRequest,
};
use tanagerford_kv::kv::{Call, Commit, Kv, LeaseId, Refusal, Revision, Transaction};
use tanagerford_kv::weight_store::WeightStore;
use xxhash_rust::xxh3::xxh3_64;

use super::record::{self, PLACEMENT_KEY, PlacementValue, ReportValue, SlotValue};
use super::{Clock, LeaseTiming};

/// HTTP status with which an engine refuses an outdated fencing token.
const STATUS_CONFLICT: u16 = 409;

/// Settings of a [`SlotRunner`].
#[derive(Debug, Clone)]
pub struct SlotSettings {
    /// Name of the server, which is the process id of its sidecar.
    pub server: ServerId,
    /// Durations and timeouts of the slot's lease.
    pub lease_timing: LeaseTiming,
    /// Rate limit of loads from the weight store, divided among all live members.
    pub weight_store: WeightStore,
}

/// Slot whose lease this sidecar holds.
#[derive(Debug, Clone, Copy)]
struct HeldSlot {
    lease_id: LeaseId,
    /// Revision of the slot's leased key.
    revision: Revision,
}

/// Models that the engine should hold, from the last order that [`EngineOrders`] issued.
#[derive(Debug, Clone)]
struct Target {
    fence: PlacementToken,
    models: BTreeSet<ModelName>,
}

/// Runner that applies the placement to one engine while it holds the slot of the engine's server.
pub struct SlotRunner {
    kv: Arc<dyn Kv>,
    engine: Arc<EngineClient>,
    settings: SlotSettings,
    slot: Slot,
    held: Option<HeldSlot>,
    orders: EngineOrders,
    target: Option<Target>,
    next_load_at: Option<Duration>,
    applied_generation: u64,
    /// Report that is stored, if known.
    last_report: Option<ServerReport>,
}

impl SlotRunner {
    /// Creates a runner that does not hold the slot yet.
    #[must_use]
    pub fn new(kv: Arc<dyn Kv>, engine: Arc<EngineClient>, settings: SlotSettings) -> Self {
        Self {
            kv,
            engine,
            settings,
            slot: Slot::default(),
            held: None,
            orders: EngineOrders::default(),
            target: None,
            next_load_at: None,
            applied_generation: 0,
            last_report: None,
        }
    }

    /// Returns the slot as known locally; incarnation 0 means that the runner does not hold it.
    #[must_use]
    pub fn slot(&self) -> &Slot {
        &self.slot
    }

    /// Runs one round: acquires the slot or renews its lease, reads the placement, sends the orders that are due, and
    /// writes the report. `live_member_count` members share the rate of the weight store.
    pub fn step(&mut self, clock: Clock<'_>, live_member_count: u32) {
        self.init_load_time(clock, live_member_count);
        self.renew_or_acquire_slot(clock);
        if self.held.is_none() || !self.can_send_orders(clock) {
            return;
        }
        let observed = self.read_placement();
        let Ok(models) = self.engine.models() else {
            return;
        };
        if let Some(observed) = observed {
            self.update_target(clock, &observed, &models.loaded);
        }
        let is_changed = self.send_due_orders(clock, &models, live_member_count);
        let models = if is_changed {
            self.engine.models()
        } else {
            Ok(models)
        };
        if let Ok(models) = models {
            self.report(models);
        }
    }

    fn can_send_orders(&self, clock: Clock<'_>) -> bool {
        let margin = self.settings.lease_timing.order_margin;
        self.slot.lease.is_valid(clock(), margin)
    }

    fn renew_or_acquire_slot(&mut self, clock: Clock<'_>) {
        let Some(held) = self.held else {
            self.acquire_slot(clock);
            return;
        };
        let LeaseTiming {
            ttl,
            call_timeout: timeout,
            ..
        } = self.settings.lease_timing;
        let sent_at = clock();
        match self.kv.renew_lease(held.lease_id, timeout) {
            Call::Done(remaining) => self.slot.lease.on_renewed(sent_at, remaining.min(ttl)),
            Call::Refused(Refusal::LeaseExpired) => self.reset_slot(),
            Call::Refused(_) | Call::Unknown => {}
        }
    }

    /// Drops the slot and the state that belongs to its incarnation. The next incarnation reads the placement again.
    fn reset_slot(&mut self) {
        self.slot = Slot::default();
        self.held = None;
        self.orders = EngineOrders::default();
        self.target = None;
        self.applied_generation = 0;
        self.last_report = None;
    }

    fn acquire_slot(&mut self, clock: Clock<'_>) {
        let LeaseTiming {
            ttl,
            call_timeout: timeout,
            ..
        } = self.settings.lease_timing;
        let slot_key = record::slot_key(&self.settings.server);
        let held_key = record::held_key(&self.settings.server);
        let Some(held) = record::read::<SlotValue>(&*self.kv, &held_key, timeout) else {
            return;
        };
        let Some(last) = record::read::<SlotValue>(&*self.kv, &slot_key, timeout) else {
            return;
        };
        let record = last.value.map(|value| SlotRecord {
            incarnation: value.incarnation,
            is_leased: held.value.is_some(),
        });
        let SlotAction::Take(incarnation) = Slot::on_found(record) else {
            return;
        };
        let sent_at = clock();
        let Call::Done(lease_id) = self.kv.grant_lease(ttl, timeout) else {
            return;
        };
        let value = SlotValue { incarnation };
        let transaction = Transaction {
            compares: vec![
                record::compare_revision(slot_key.clone(), last.revision),
                record::compare_revision(held_key.clone(), 0),
            ],
            writes: vec![
                record::put_json(slot_key, &value, None),
                record::put_json(held_key, &value, Some(lease_id)),
            ],
        };
        if let Call::Done(Commit::Applied(revision)) = self.kv.commit(&transaction, timeout) {
            self.held = Some(HeldSlot { lease_id, revision });
            self.slot.on_taken(incarnation, sent_at, ttl);
        } else {
            // If the transaction took effect and only its response was lost, this also deletes the leased key.
            self.kv.revoke_lease(lease_id, timeout);
        }
    }

    fn read_placement(&self) -> Option<ObservedPlacement> {
        let read_incarnation = self.slot.incarnation;
        let timeout = self.settings.lease_timing.call_timeout;
        let stored = record::read::<PlacementValue>(&*self.kv, PLACEMENT_KEY, timeout)?;
        let placement: Placement = stored.value?.into();
        // A placement without an entry for this server was computed before its first report and does not apply to the
        // models that the engine already holds.
        if !placement.wanted.contains_key(&self.settings.server) {
            return None;
        }
        Some(ObservedPlacement {
            placement,
            read_incarnation,
        })
    }

    fn update_target(
        &mut self,
        clock: Clock<'_>,
        observed: &ObservedPlacement,
        loaded: &BTreeSet<ModelName>,
    ) {
        let margin = self.settings.lease_timing.order_margin;
        let server = &self.settings.server;
        let order = self
            .orders
            .issue(clock(), margin, &self.slot, observed, server, loaded);
        if let Some(order) = order {
            let remaining = loaded.difference(&order.unload).cloned();
            self.target = Some(Target {
                fence: order.fence,
                models: remaining.chain(order.load).collect(),
            });
        }
    }

    /// Sends the orders that bring the engine closer to the target: all unloads, once all loads are complete or the
    /// engine has no free capacity, and at most one load, as the rate of the weight store allows. This also loads the
    /// models that a restarted engine has lost. Returns whether an order succeeded.
    fn send_due_orders(
        &mut self,
        clock: Clock<'_>,
        models: &Models,
        live_member_count: u32,
    ) -> bool {
        let Some(target) = self.target.clone() else {
            return false;
        };
        let present: BTreeSet<_> = models.loaded.union(&models.loading).cloned().collect();
        let missing = target.models.difference(&present).next();
        let has_room = present.len() < models.capacity;
        let mut is_changed = false;
        if (missing.is_none() && models.loading.is_empty()) || !has_room {
            for model in models.loaded.difference(&target.models) {
                is_changed |= self.send_order(clock, OrderKind::Unload, model, target.fence);
            }
        }
        if let Some(model) = missing
            && (has_room || is_changed)
            && self.next_load_at.is_some_and(|at| clock() >= at)
        {
            let interval = self.settings.weight_store.load_interval(live_member_count);
            self.next_load_at = Some(clock() + interval);
            is_changed |= self.send_order(clock, OrderKind::Load, model, target.fence);
        }
        is_changed
    }

    /// Sets the earliest time of the first load, at the first step. The delay is a fraction of the load interval that
    /// depends on the server's name, because all servers of a restarting fleet would otherwise load at the same time.
    fn init_load_time(&mut self, clock: Clock<'_>, live_member_count: u32) {
        if self.next_load_at.is_none() {
            let interval = self.settings.weight_store.load_interval(live_member_count);
            let hash = xxh3_64(self.settings.server.as_bytes());
            let permille = u32::try_from(hash % 1_000).unwrap_or(0);
            self.next_load_at = Some(clock() + interval * permille / 1_000);
        }
    }

    /// Sends an order if the lease is still valid, and returns whether it succeeded. An engine that refuses the fencing
    /// token has received a later one, so the target is outdated and is dropped.
    fn send_order(
        &mut self,
        clock: Clock<'_>,
        kind: OrderKind,
        model: &str,
        fence: PlacementToken,
    ) -> bool {
        if self.target.is_none() || !self.can_send_orders(clock) {
            return false;
        }
        let request = OrderRequest {
            kind,
            model: model.to_owned(),
            fence: FencingToken {
                generation: fence.generation,
                incarnation: fence.incarnation,
            },
        };
        match self.engine.order(&request) {
            Ok(()) => true,
            Err(error) => {
                let is_outdated = matches!(error, EngineError::Refused { status, .. } if status == STATUS_CONFLICT);
                if is_outdated {
                    self.target = None;
                }
                tracing::warn!(server = self.settings.server, model, %error, "engine order failed");
                false
            }
        }
    }

    /// Writes the report if it has changed and the slot is still held.
    fn report(&mut self, models: Models) {
        let Some(held) = self.held else {
            return;
        };
        if let Some(target) = &self.target
            && models.loaded == target.models
        {
            self.applied_generation = target.fence.generation;
        }
        let report = ServerReport {
            applied: self.applied_generation,
            loaded: models.loaded,
            capacity: models.capacity,
        };
        if self.last_report.as_ref() == Some(&report) {
            return;
        }
        let server = &self.settings.server;
        let value = ReportValue::from(report.clone());
        let transaction = Transaction {
            compares: vec![record::compare_revision(
                record::held_key(server),
                held.revision,
            )],
            writes: vec![record::put_json(
                record::report_key(server),
                &value,
                Some(held.lease_id),
            )],
        };
        match self
            .kv
            .commit(&transaction, self.settings.lease_timing.call_timeout)
        {
            Call::Done(Commit::Applied(_)) => self.last_report = Some(report),
            Call::Done(Commit::Conflict) | Call::Refused(Refusal::LeaseExpired) => {
                self.reset_slot();
            }
            Call::Refused(_) | Call::Unknown => self.last_report = None,
        }
    }
}
