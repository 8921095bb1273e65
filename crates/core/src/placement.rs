//! Placement of models on backend servers: planner lease, slot leases and engine orders with fencing.
//!
//! - [`Placement`] is the desired state computed by the planner. It is written by compare-and-swap and each write
//!   increments its generation, so that a planner that resumes after its lease has expired changes nothing.
//! - [`Slot`] is the ownership of a server by a sidecar. A sidecar issues orders to its engine only while its lease is
//!   valid, counted from before the renewal was sent. A replacement waits until the old lease has expired.
//! - [`EngineOrders`] issues orders in ascending generation.
//!
//! The time between the check of the lease and the arrival of the order at the engine must stay below the margin of the
//! lease. Engines that check fencing tokens do not need this bound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Generation, Incarnation, ServerId};

/// Name of a model, adapter or version that an engine can load.
pub type ModelName = String;

/// Desired assignment of models to servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Placement {
    /// Generation, incremented by each write.
    pub generation: Generation,
    /// Models assigned to each server, with the generation that assigned them.
    pub wanted: BTreeMap<ServerId, BTreeMap<ModelName, Generation>>,
}

/// State of a server as reported by its sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ServerReport {
    /// Generation of the last placement that was applied.
    pub applied: Generation,
    /// Models in the memory of the engine.
    pub loaded: BTreeSet<ModelName>,
    /// Largest number of models that fit on the server.
    pub capacity: usize,
}

impl Placement {
    /// Returns whether `model` is assigned to `server` and loaded there. A report from before the assignment does not
    /// count, because the model it lists may have been unloaded since.
    #[must_use]
    pub fn holds(&self, server: &str, report: &ServerReport, model: &str) -> bool {
        let since = self.wanted.get(server).and_then(|models| models.get(model));
        since.is_some_and(|since| report.applied >= *since && report.loaded.contains(model))
    }

    /// Returns the next placement, in which the number of servers of each model approaches `demand`, or `None` if
    /// nothing changes.
    ///
    /// A model is removed from a server only if another server holds it already and keeps it in the new placement, so
    /// that a model never loses its last server, even if reports are outdated. Servers without a report keep their
    /// assigned models.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use tanagerford_core::placement::{Placement, ServerReport};
    ///
    /// let report = ServerReport { capacity: 1, ..ServerReport::default() };
    /// let reports = BTreeMap::from([("w1".to_owned(), report)]);
    /// let demand = BTreeMap::from([("m".to_owned(), 1)]);
    /// let next = Placement::default().next(&reports, &demand).unwrap();
    /// assert_eq!(next.wanted["w1"]["m"], next.generation);
    /// assert_eq!(next.next(&reports, &demand), None);
    /// ```
    #[must_use]
    pub fn next(
        &self,
        reports: &BTreeMap<ServerId, ServerReport>,
        demand: &BTreeMap<ModelName, usize>,
    ) -> Option<Self> {
        let mut next = Self {
            generation: self.generation + 1,
            wanted: self.wanted.clone(),
        };
        for (model, count) in demand {
            self.remove_surplus(&mut next, reports, model, *count);
        }
        for (model, count) in demand {
            next.add_missing(reports, model, *count);
        }
        (next.wanted != self.wanted).then_some(next)
    }

    fn servers_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a ServerId> {
        let holders = self
            .wanted
            .iter()
            .filter(move |(_, models)| models.contains_key(model));
        holders.map(|(server, _)| server)
    }

    fn remove_surplus(
        &self,
        next: &mut Self,
        reports: &BTreeMap<ServerId, ServerReport>,
        model: &str,
        count: usize,
    ) {
        let holds = |server: &ServerId| {
            reports
                .get(server)
                .is_some_and(|report| self.holds(server, report, model))
        };
        let (holding, loading): (Vec<&ServerId>, Vec<&ServerId>) =
            self.servers_of(model).partition(|server| holds(server));
        let Some((retained, others)) = holding.split_first() else {
            return;
        };
        let has_report = |server: &&&ServerId| reports.contains_key(**server);
        let removable: Vec<&ServerId> = loading
            .iter()
            .chain(others.iter().rev())
            .filter(has_report)
            .copied()
            .collect();
        let total = holding.len() + loading.len();
        for server in removable
            .into_iter()
            .take(total.saturating_sub(count.max(1)))
        {
            debug_assert!(server != *retained);
            if let Some(models) = next.wanted.get_mut(server) {
                models.remove(model);
            }
        }
    }

    fn add_missing(
        &mut self,
        reports: &BTreeMap<ServerId, ServerReport>,
        model: &str,
        count: usize,
    ) {
        let mut missing = count.saturating_sub(self.servers_of(model).count());
        let model_count =
            |placement: &Self, server: &str| placement.wanted.get(server).map_or(0, BTreeMap::len);
        while missing > 0 {
            let has = |server: &str| {
                self.wanted
                    .get(server)
                    .is_some_and(|models| models.contains_key(model))
            };
            let candidates = reports.iter().filter(|(server, report)| {
                model_count(self, server) < report.capacity && !has(server)
            });
            let Some((server, _)) = candidates.min_by_key(|(server, _)| model_count(self, server))
            else {
                return;
            };
            let models = self.wanted.entry(server.clone()).or_default();
            models.insert(model.to_owned(), self.generation);
            missing -= 1;
        }
    }
}

/// Local view of a lease in the key-value service, for the planner role or the slot of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Lease {
    valid_until: Duration,
}

impl Lease {
    /// Records that the service granted or renewed the lease for `ttl` in response to a call sent at `sent_at`.
    ///
    /// The service counts from the arrival of the call, which is later, so the lease expires first in the local view.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::placement::Lease;
    ///
    /// let mut lease = Lease::default();
    /// lease.on_renewed(Duration::from_secs(10), Duration::from_secs(5));
    /// let margin = Duration::from_secs(1);
    /// assert!(lease.is_valid(Duration::from_secs(13), margin));
    /// assert!(!lease.is_valid(Duration::from_secs(14), margin));
    /// ```
    pub fn on_renewed(&mut self, sent_at: Duration, ttl: Duration) {
        self.valid_until = self.valid_until.max(sent_at + ttl);
    }

    /// Records that the lease no longer exists in the service.
    pub fn on_lost(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Returns whether the lease is valid for at least `margin` from `now`.
    #[must_use]
    pub fn is_valid(&self, now: Duration, margin: Duration) -> bool {
        now + margin < self.valid_until
    }
}

/// State of a slot as read by a new sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SlotRecord {
    /// Incarnation of the last sidecar that acquired the slot. It outlives the lease.
    pub incarnation: Incarnation,
    /// Whether the key bound to the lease of that sidecar still exists.
    pub is_leased: bool,
}

/// Next action of a new sidecar to acquire its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotAction {
    /// Wait until the old lease has expired, then read the slot again.
    Wait,
    /// Acquire the slot with this incarnation if the record is unchanged and the leased key does not exist.
    Take(Incarnation),
}

/// Ownership of the slot of a server by its sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Slot {
    /// Incarnation with which the slot was acquired; 0 before the first acquisition.
    pub incarnation: Incarnation,
    /// Lease to which the ownership is bound.
    pub lease: Lease,
}

impl Slot {
    /// Returns the next action for a slot with this record, or `None` if it has never been acquired.
    ///
    /// ```
    /// use tanagerford_core::placement::{Slot, SlotAction, SlotRecord};
    ///
    /// let held = SlotRecord { incarnation: 4, is_leased: true };
    /// assert_eq!(Slot::on_found(Some(held)), SlotAction::Wait);
    /// assert_eq!(Slot::on_found(Some(SlotRecord { is_leased: false, ..held })), SlotAction::Take(5));
    /// assert_eq!(Slot::on_found(None), SlotAction::Take(1));
    /// ```
    #[must_use]
    pub fn on_found(found: Option<SlotRecord>) -> SlotAction {
        match found {
            Some(record) if record.is_leased => SlotAction::Wait,
            Some(record) => SlotAction::Take(record.incarnation + 1),
            None => SlotAction::Take(1),
        }
    }

    /// Records that a call sent at `sent_at` acquired the slot.
    pub fn on_taken(&mut self, incarnation: Incarnation, sent_at: Duration, ttl: Duration) {
        self.incarnation = incarnation;
        self.lease.on_renewed(sent_at, ttl);
    }
}

/// Fencing token of an order, compared by generation first. An engine that checks fencing tokens refuses an order with
/// a lower token than an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken {
    /// Generation of the placement from which the order is derived.
    pub generation: Generation,
    /// Incarnation of the sidecar that issued the order.
    pub incarnation: Incarnation,
}

/// Order of a sidecar to its engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EngineOrder {
    /// Fencing token of the order.
    pub fence: FencingToken,
    /// Models to load.
    pub load: BTreeSet<ModelName>,
    /// Models to unload, after the loads if the engine has enough capacity.
    pub unload: BTreeSet<ModelName>,
}

/// Placement as read by a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ObservedPlacement {
    /// Placement in the key-value service at the time of the read.
    pub placement: Placement,
    /// Incarnation with which the sidecar owned its slot when it sent the read; 0 if it did not own the slot.
    ///
    /// A placement that was read before the slot was acquired may be older than an order of a sidecar that owned the
    /// slot in between. The model check found this case: two sidecars start, the second acquires the slot, issues an
    /// order and loses the slot to the first, which still has the older placement.
    pub read_incarnation: Incarnation,
}

/// Issues orders to one engine in ascending generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct EngineOrders {
    last_issued: Generation,
}

impl EngineOrders {
    /// Returns the order that applies `observed` to `server`. Returns `None` if the lease of the slot is not valid for
    /// `margin`, if the placement was read before the slot was acquired, or if an order of this or a later generation
    /// was issued before.
    ///
    /// ```
    /// use std::collections::{BTreeMap, BTreeSet};
    /// use std::time::Duration;
    /// use tanagerford_core::placement::{EngineOrders, Placement, ObservedPlacement, Slot};
    ///
    /// let (now, margin) = (Duration::from_secs(1), Duration::from_secs(1));
    /// let mut slot = Slot::default();
    /// let placement = Placement { generation: 3, wanted: BTreeMap::new() };
    /// let observed = ObservedPlacement { placement, read_incarnation: 1 };
    /// let mut orders = EngineOrders::default();
    /// let loaded = BTreeSet::from(["old".to_owned()]);
    /// assert_eq!(orders.issue(now, margin, &slot, &observed, "w1", &loaded), None);
    /// slot.on_taken(1, now, Duration::from_secs(9));
    /// let order = orders.issue(now, margin, &slot, &observed, "w1", &loaded).unwrap();
    /// assert_eq!(order.unload, loaded);
    /// assert_eq!(orders.issue(now, margin, &slot, &observed, "w1", &loaded), None);
    /// ```
    pub fn issue(
        &mut self,
        now: Duration,
        margin: Duration,
        slot: &Slot,
        observed: &ObservedPlacement,
        server: &str,
        loaded: &BTreeSet<ModelName>,
    ) -> Option<EngineOrder> {
        let placement = &observed.placement;
        let was_read_under_slot = observed.read_incarnation == slot.incarnation;
        if !slot.lease.is_valid(now, margin)
            || !was_read_under_slot
            || placement.generation <= self.last_issued
        {
            return None;
        }
        self.last_issued = placement.generation;
        let wanted = placement.wanted.get(server);
        let wanted: BTreeSet<ModelName> = wanted
            .into_iter()
            .flat_map(BTreeMap::keys)
            .cloned()
            .collect();
        Some(EngineOrder {
            fence: FencingToken {
                generation: placement.generation,
                incarnation: slot.incarnation,
            },
            load: wanted.difference(loaded).cloned().collect(),
            unload: loaded.difference(&wanted).cloned().collect(),
        })
    }
}

/// Returns the minimum interval between two loads of a server from the weight store. It keeps the total rate of all
/// servers within the limit of the store without coordination.
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::placement::load_interval;
///
/// assert_eq!(load_interval(10, 860), Duration::from_secs(86));
/// ```
#[must_use]
pub fn load_interval(loads_per_s: u32, live_servers: u32) -> Duration {
    Duration::from_secs(1) * live_servers.max(1) / loads_per_s.max(1)
}
