//! Sidecar's side of engine orders: holds the slot of its server and carries out the placement.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tanagerford_core::ids::ServerId;
use tanagerford_core::placement::{
    EngineOrders, Fence, ModelName, ObservedPlacement, Placement, ServerReport, Slot, SlotAction,
    SlotRecord,
};
use tanagerford_engine::{
    EngineClient, EngineError, FencingToken, Models, OrderKind, OrderRequest,
};
use tanagerford_kv::kv::{Call, Commit, Kv, LeaseId, Refusal, Revision, Transaction};
use tanagerford_kv::weight_store::WeightStore;
use xxhash_rust::xxh3::xxh3_64;

use super::record::{self, PLACEMENT_KEY, PlacementValue, ReportValue, SlotValue};
use super::{Clock, LeasePace};

/// HTTP status with which an engine refuses an outdated fencing number.
const STATUS_CONFLICT: u16 = 409;

/// Settings of a [`SlotRunner`].
#[derive(Debug, Clone)]
pub struct SlotSettings {
    /// Name of the server.
    pub server: ServerId,
    /// Times of the slot's lease.
    pub pace: LeasePace,
    /// Rate limit of the weight store, which all live members share.
    pub weight_store: WeightStore,
}

/// Slot that is held with a lease.
#[derive(Debug, Clone, Copy)]
struct Held {
    lease_id: LeaseId,
    /// Revision of the slot's leased key.
    revision: Revision,
}

/// Models that the engine is to hold, from the last order of [`EngineOrders`].
#[derive(Debug, Clone)]
struct Target {
    fence: Fence,
    models: BTreeSet<ModelName>,
}

/// Carries out the placement at one engine while it holds the slot of its server.
pub struct SlotRunner {
    kv: Arc<dyn Kv>,
    engine: Arc<EngineClient>,
    settings: SlotSettings,
    slot: Slot,
    held: Option<Held>,
    orders: EngineOrders,
    target: Option<Target>,
    next_load_at: Option<Duration>,
    applied: u64,
    reported: Option<ServerReport>,
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
            applied: 0,
            reported: None,
        }
    }

    /// Returns the slot as the runner knows it.
    #[must_use]
    pub fn slot(&self) -> &Slot {
        &self.slot
    }

    /// Does one round: takes or renews the slot, reads the placement, gives the orders that are due, and reports.
    pub fn step(&mut self, clock: Clock<'_>, live_members: u32) {
        self.start_loads(clock, live_members);
        self.hold(clock);
        if self.held.is_none() || !self.may_order(clock) {
            return;
        }
        let seen = self.read_placement();
        let Ok(models) = self.engine.models() else {
            return;
        };
        if let Some(seen) = seen {
            self.aim(clock, &seen, &models.loaded);
        }
        let is_changed = self.order_due(clock, &models, live_members);
        let models = if is_changed {
            self.engine.models()
        } else {
            Ok(models)
        };
        if let Ok(models) = models {
            self.report(models);
        }
    }

    fn may_order(&self, clock: Clock<'_>) -> bool {
        let margin = self.settings.pace.margin;
        self.slot.lease.is_valid(clock(), margin)
    }

    fn hold(&mut self, clock: Clock<'_>) {
        let Some(held) = self.held else {
            self.take(clock);
            return;
        };
        let LeasePace { ttl, timeout, .. } = self.settings.pace;
        let sent_at = clock();
        match self.kv.renew_lease(held.lease_id, timeout) {
            Call::Done(left) => self.slot.lease.on_renewed(sent_at, left.min(ttl)),
            Call::Refused(Refusal::LeaseExpired) => self.lose(),
            Call::Refused(_) | Call::Unknown => {}
        }
    }

    /// Forgets the slot and all that was known under it; a later incarnation reads the placement anew.
    fn lose(&mut self) {
        self.slot = Slot::default();
        self.held = None;
        self.orders = EngineOrders::default();
        self.target = None;
        self.applied = 0;
        self.reported = None;
    }

    fn take(&mut self, clock: Clock<'_>) {
        let LeasePace { ttl, timeout, .. } = self.settings.pace;
        let slot_key = record::slot_key(&self.settings.server);
        let held_key = record::held_key(&self.settings.server);
        let Some(held) = record::read::<SlotValue>(&*self.kv, &held_key, timeout) else {
            return;
        };
        let Some(last) = record::read::<SlotValue>(&*self.kv, &slot_key, timeout) else {
            return;
        };
        let found = last.value.map(|value| SlotRecord {
            incarnation: value.incarnation,
            is_leased: held.value.is_some(),
        });
        let SlotAction::Take(incarnation) = Slot::on_found(found) else {
            return;
        };
        let sent_at = clock();
        let Call::Done(lease_id) = self.kv.grant_lease(ttl, timeout) else {
            return;
        };
        let value = SlotValue { incarnation };
        let transaction = Transaction {
            compares: vec![
                record::unchanged(slot_key.clone(), last.revision),
                record::unchanged(held_key.clone(), 0),
            ],
            writes: vec![
                record::put(slot_key, &value, None),
                record::put(held_key, &value, Some(lease_id)),
            ],
        };
        if let Call::Done(Commit::Applied(revision)) = self.kv.commit(&transaction, timeout) {
            self.held = Some(Held { lease_id, revision });
            self.slot.on_taken(incarnation, sent_at, ttl);
        } else {
            // Deletes the key, too, if the commit took effect and only its answer was lost.
            self.kv.revoke_lease(lease_id, timeout);
        }
    }

    fn read_placement(&self) -> Option<ObservedPlacement> {
        let read_incarnation = self.slot.incarnation;
        let timeout = self.settings.pace.timeout;
        let found = record::read::<PlacementValue>(&*self.kv, PLACEMENT_KEY, timeout)?;
        let placement: Placement = found.value?.into();
        // A placement without an entry for this server was made before its first report; it says nothing about the
        // models that the engine holds already.
        if !placement.wanted.contains_key(&self.settings.server) {
            return None;
        }
        Some(ObservedPlacement {
            placement,
            read_incarnation,
        })
    }

    fn aim(&mut self, clock: Clock<'_>, seen: &ObservedPlacement, loaded: &BTreeSet<ModelName>) {
        let margin = self.settings.pace.margin;
        let server = &self.settings.server;
        let order = self
            .orders
            .issue(clock(), margin, &self.slot, seen, server, loaded);
        if let Some(order) = order {
            let kept = loaded.difference(&order.unload).cloned();
            self.target = Some(Target {
                fence: order.fence,
                models: kept.chain(order.load).collect(),
            });
        }
    }

    /// Gives the orders that bring the engine to the target: all unloads once the loads are done or when the engine has
    /// no room, and at most one load, as the weight store's rate allows. Also restores what a restarted engine lost.
    fn order_due(&mut self, clock: Clock<'_>, models: &Models, live_members: u32) -> bool {
        let Some(target) = self.target.clone() else {
            return false;
        };
        let present: BTreeSet<_> = models.loaded.union(&models.loading).cloned().collect();
        let missing = target.models.difference(&present).next();
        let has_room = present.len() < models.capacity;
        let mut is_changed = false;
        if (missing.is_none() && models.loading.is_empty()) || !has_room {
            for model in models.loaded.difference(&target.models) {
                is_changed |= self.order(clock, OrderKind::Unload, model, target.fence);
            }
        }
        if let Some(model) = missing
            && (has_room || is_changed)
            && self.next_load_at.is_some_and(|at| clock() >= at)
        {
            let interval = self.settings.weight_store.load_interval(live_members);
            self.next_load_at = Some(clock() + interval);
            is_changed |= self.order(clock, OrderKind::Load, model, target.fence);
        }
        is_changed
    }

    /// Sets the time of the first load at the first step. It is a part of the interval that depends on the server's
    /// name: without it, all servers of a fleet that restarts would load at once.
    fn start_loads(&mut self, clock: Clock<'_>, live_members: u32) {
        if self.next_load_at.is_none() {
            let interval = self.settings.weight_store.load_interval(live_members);
            let hash = xxh3_64(self.settings.server.as_bytes());
            let part = u32::try_from(hash % 1_000).unwrap_or(0);
            self.next_load_at = Some(clock() + interval * part / 1_000);
        }
    }

    /// Gives one order if the lease is still valid. An engine that refuses the fencing number has seen a later one, so
    /// the target is dropped.
    fn order(&mut self, clock: Clock<'_>, kind: OrderKind, model: &str, fence: Fence) -> bool {
        if self.target.is_none() || !self.may_order(clock) {
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

    /// Writes the report if it changed, on condition that the slot is still held.
    fn report(&mut self, models: Models) {
        let Some(held) = self.held else {
            return;
        };
        if let Some(target) = &self.target
            && models.loaded == target.models
        {
            self.applied = target.fence.generation;
        }
        let report = ServerReport {
            applied: self.applied,
            loaded: models.loaded,
            capacity: models.capacity,
        };
        if self.reported.as_ref() == Some(&report) {
            return;
        }
        let server = &self.settings.server;
        let value = ReportValue::from(report.clone());
        let transaction = Transaction {
            compares: vec![record::unchanged(record::held_key(server), held.revision)],
            writes: vec![record::put(
                record::report_key(server),
                &value,
                Some(held.lease_id),
            )],
        };
        match self.kv.commit(&transaction, self.settings.pace.timeout) {
            Call::Done(Commit::Applied(_)) => self.reported = Some(report),
            Call::Done(Commit::Conflict) | Call::Refused(Refusal::LeaseExpired) => self.lose(),
            Call::Refused(_) | Call::Unknown => self.reported = None,
        }
    }
}
