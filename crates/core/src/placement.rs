//! Placement of models on backend servers: planner lease, slot leases and engine orders with fencing.
//!
//! - [`Placement`] is what the planner wants. It is written by compare-and-swap and its generation rises by one with
//!   each write, so a planner that was paused past its lease changes nothing when it resumes.
//! - [`Slot`] is a sidecar's hold on its server. A sidecar gives orders to its engine only while its lease, counted from
//!   before the renewal was sent, is valid, and a replacement waits until the old lease has ended.
//! - [`EngineOrders`] gives orders in rising generation.
//!
//! The time between the check of the lease and the arrival of the order at the engine must stay below the lease's
//! margin; engines that check fencing numbers need no such bound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Generation, Incarnation, ServerId};

/// Name of a model, adapter or version that an engine can load.
pub type ModelName = String;

/// Models that servers are to hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Placement {
    /// Rises by one with each write.
    pub generation: Generation,
    /// Models of each server, with the generation since which the server is to hold the model.
    pub wanted: BTreeMap<ServerId, BTreeMap<ModelName, Generation>>,
}

/// What the sidecar of a server reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct ServerReport {
    /// Generation of the last placement that was carried out.
    pub applied: Generation,
    /// Models that are loaded.
    pub loaded: BTreeSet<ModelName>,
    /// Largest count of models that the server can hold.
    pub capacity: usize,
}

impl Placement {
    /// Returns whether `server` holds `model` under this placement: it is wanted there, and the report is recent enough
    /// to show that it was loaded for that reason and not for an earlier one.
    #[must_use]
    pub fn holds(&self, server: &str, report: &ServerReport, model: &str) -> bool {
        let since = self.wanted.get(server).and_then(|models| models.get(model));
        since.is_some_and(|since| report.applied >= *since && report.loaded.contains(model))
    }

    /// Returns the placement that brings each model of `demand` closer to its count of servers, or `None` if nothing
    /// changes.
    ///
    /// A model is taken from a server only if another server holds it already and keeps it in the new placement, so
    /// the last server of a model is never taken away, also when reports are old. Servers without a report keep what
    /// they are to hold.
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
        let Some((kept, others)) = holding.split_first() else {
            return;
        };
        let known = |server: &&&ServerId| reports.contains_key(**server);
        let removable: Vec<&ServerId> = loading
            .iter()
            .chain(others.iter().rev())
            .filter(known)
            .copied()
            .collect();
        let total = holding.len() + loading.len();
        for server in removable
            .into_iter()
            .take(total.saturating_sub(count.max(1)))
        {
            debug_assert!(server != *kept);
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
        let load =
            |placement: &Self, server: &str| placement.wanted.get(server).map_or(0, BTreeMap::len);
        while missing > 0 {
            let has = |server: &str| {
                self.wanted
                    .get(server)
                    .is_some_and(|models| models.contains_key(model))
            };
            let free = reports
                .iter()
                .filter(|(server, report)| load(self, server) < report.capacity && !has(server));
            let Some((server, _)) = free.min_by_key(|(server, _)| load(self, server)) else {
                return;
            };
            let models = self.wanted.entry(server.clone()).or_default();
            models.insert(model.to_owned(), self.generation);
            missing -= 1;
        }
    }
}

/// Hold of one process on something that the key-value service leases: the planner's role or a server's slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Lease {
    valid_until: Duration,
}

impl Lease {
    /// Notes that the service granted or renewed the lease for `ttl` in answer to a call that was sent at `sent_at`.
    ///
    /// The service counts from the arrival of the call, which is later, so the holder's view ends first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::placement::Lease;
    ///
    /// let mut lease = Lease::default();
    /// lease.renewed(Duration::from_secs(10), Duration::from_secs(5));
    /// let margin = Duration::from_secs(1);
    /// assert!(lease.is_valid(Duration::from_secs(13), margin));
    /// assert!(!lease.is_valid(Duration::from_secs(14), margin));
    /// ```
    pub fn renewed(&mut self, sent_at: Duration, ttl: Duration) {
        self.valid_until = self.valid_until.max(sent_at + ttl);
    }

    /// Notes that the service does not know the lease any more.
    pub fn lost(&mut self) {
        self.valid_until = Duration::ZERO;
    }

    /// Returns whether the lease is valid for at least `margin` from `now`.
    #[must_use]
    pub fn is_valid(&self, now: Duration, margin: Duration) -> bool {
        now + margin < self.valid_until
    }
}

/// What a new sidecar finds in its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SlotRecord {
    /// Incarnation of the last sidecar that took the slot; survives the lease.
    pub incarnation: Incarnation,
    /// Whether the leased key of that sidecar still exists.
    pub leased: bool,
}

/// What a new sidecar does about its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotAction {
    /// Wait until the old lease has ended, then read again.
    Wait,
    /// Take the slot with this incarnation, on condition that the record has not changed and the leased key is gone.
    Take(Incarnation),
}

/// A sidecar's hold on the slot of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Slot {
    /// Incarnation with which the slot is held; 0 before.
    pub incarnation: Incarnation,
    /// Lease of the slot.
    pub lease: Lease,
}

impl Slot {
    /// Decides what to do with the slot as found.
    ///
    /// ```
    /// use tanagerford_core::placement::{Slot, SlotAction, SlotRecord};
    ///
    /// let held = SlotRecord { incarnation: 4, leased: true };
    /// assert_eq!(Slot::on_found(Some(held)), SlotAction::Wait);
    /// assert_eq!(Slot::on_found(Some(SlotRecord { leased: false, ..held })), SlotAction::Take(5));
    /// assert_eq!(Slot::on_found(None), SlotAction::Take(1));
    /// ```
    #[must_use]
    pub fn on_found(found: Option<SlotRecord>) -> SlotAction {
        match found {
            Some(record) if record.leased => SlotAction::Wait,
            Some(record) => SlotAction::Take(record.incarnation + 1),
            None => SlotAction::Take(1),
        }
    }

    /// Notes that the slot was taken by a call that was sent at `sent_at`.
    pub fn taken(&mut self, incarnation: Incarnation, sent_at: Duration, ttl: Duration) {
        self.incarnation = incarnation;
        self.lease.renewed(sent_at, ttl);
    }
}

/// Number that an engine with fencing compares; a lower one is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fence {
    /// Generation of the placement.
    pub generation: Generation,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
}

/// Order of a sidecar to its engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EngineOrder {
    /// Fencing number.
    pub fence: Fence,
    /// Models to load.
    pub load: BTreeSet<ModelName>,
    /// Models to unload, after the others are loaded if the engine has room.
    pub unload: BTreeSet<ModelName>,
}

/// Placement as a sidecar read it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct SeenPlacement {
    /// Placement.
    pub placement: Placement,
    /// Incarnation with which the sidecar held its slot when it sent the read; 0 if it held none.
    ///
    /// A placement that was read before the slot was taken may be older than an order of the sidecar that held the slot
    /// in between. The model check found this: two sidecars start, the second takes the slot, gives an order and loses
    /// the slot to the first, which still has the older placement.
    pub read_under: Incarnation,
}

/// Gives orders to one engine in rising generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct EngineOrders {
    given: Generation,
}

impl EngineOrders {
    /// Returns the order that carries out `seen` at `server`, or `None` if the slot's lease is not valid for `margin`,
    /// the placement was read before the slot was taken, or one of this or a later generation was carried out before.
    ///
    /// ```
    /// use std::collections::{BTreeMap, BTreeSet};
    /// use std::time::Duration;
    /// use tanagerford_core::placement::{EngineOrders, Placement, SeenPlacement, Slot};
    ///
    /// let (now, margin) = (Duration::from_secs(1), Duration::from_secs(1));
    /// let mut slot = Slot::default();
    /// let placement = Placement { generation: 3, wanted: BTreeMap::new() };
    /// let seen = SeenPlacement { placement, read_under: 1 };
    /// let mut orders = EngineOrders::default();
    /// let loaded = BTreeSet::from(["old".to_owned()]);
    /// assert_eq!(orders.give(now, margin, &slot, &seen, "w1", &loaded), None);
    /// slot.taken(1, now, Duration::from_secs(9));
    /// let order = orders.give(now, margin, &slot, &seen, "w1", &loaded).unwrap();
    /// assert_eq!(order.unload, loaded);
    /// assert_eq!(orders.give(now, margin, &slot, &seen, "w1", &loaded), None);
    /// ```
    pub fn give(
        &mut self,
        now: Duration,
        margin: Duration,
        slot: &Slot,
        seen: &SeenPlacement,
        server: &str,
        loaded: &BTreeSet<ModelName>,
    ) -> Option<EngineOrder> {
        let placement = &seen.placement;
        let read_under_slot = seen.read_under == slot.incarnation;
        if !slot.lease.is_valid(now, margin)
            || !read_under_slot
            || placement.generation <= self.given
        {
            return None;
        }
        self.given = placement.generation;
        let wanted = placement.wanted.get(server);
        let wanted: BTreeSet<ModelName> = wanted
            .into_iter()
            .flat_map(BTreeMap::keys)
            .cloned()
            .collect();
        Some(EngineOrder {
            fence: Fence {
                generation: placement.generation,
                incarnation: slot.incarnation,
            },
            load: wanted.difference(loaded).cloned().collect(),
            unload: loaded.difference(&wanted).cloned().collect(),
        })
    }
}

/// Time between two loads of one server from the weight store, so that all servers together keep the store's rate
/// without talking to each other.
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
