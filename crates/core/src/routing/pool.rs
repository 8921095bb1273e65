//! A pool of servers and each tier's view of it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::choose::{Chooser, ServersByDistance};
use super::rendezvous::RendezvousTrie;
use super::view::View;
use super::{Attempt, CacheEvent, ChoiceReason, ResponseMeasurements, RouterSettings, Server};
use crate::ids::{Fingerprint, ServerId, TierId};

/// Number of rendezvous candidates of a suspect, which exceeds the attempts of a request by far.
const SUSPECT_CANDIDATES: u64 = 16;

/// Server of the pool, or an unused slot. The index of a slot is the same in all tables of the pool.
#[derive(Debug)]
pub(super) struct Slot {
    server: Server,
    is_used: bool,
    /// Incremented when the slot is assigned another server or incarnation, so that late events of the old one are
    /// ignored.
    pub(super) epoch: u64,
    /// Start of the slow start; `None` for servers of the pool's first list.
    pub(super) slow_start_since: Option<Duration>,
    pub(super) distance: Distance,
}

impl Slot {
    /// Returns whether the slot holds a server that accepts new requests.
    pub(super) fn accepts_requests(&self) -> bool {
        self.is_used && !self.server.leaving
    }
}

/// Distance between the availability zones of a server and of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Distance {
    OwnZone,
    OwnRegion,
    OtherRegion,
}

impl Distance {
    fn new(settings: &RouterSettings, server: &Server) -> Self {
        if server.zone == settings.zone {
            Self::OwnZone
        } else if settings.region_zones.is_empty() || settings.region_zones.contains(&server.zone) {
            Self::OwnRegion
        } else {
            Self::OtherRegion
        }
    }
}

#[derive(Debug)]
pub(super) struct Pool {
    slots: Vec<Slot>,
    free: Vec<usize>,
    by_id: HashMap<ServerId, usize>,
    servers: ServersByDistance,
    views: Vec<View>,
}

impl Pool {
    pub(super) fn new(tiers: u8, seed: u64) -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            servers: ServersByDistance::default(),
            views: (0..tiers).map(|tier| View::new(tier, seed)).collect(),
        }
    }

    pub(super) fn server_id(&self, slot: usize) -> &ServerId {
        &self.slots[slot].server.id
    }

    pub(super) fn epoch(&self, slot: usize) -> u64 {
        self.slots[slot].epoch
    }

    pub(super) fn in_flight(&self, server: &str, tier: TierId) -> u32 {
        let slot = self.by_id.get(server);
        let view = self.views.get(usize::from(tier));
        slot.zip(view)
            .map_or(0, |(&slot, view)| view.in_flight(slot))
    }

    pub(super) fn set_servers(
        &mut self,
        now: Duration,
        settings: &RouterSettings,
        servers: impl IntoIterator<Item = Server>,
    ) {
        // Servers of the first list are new only to this entry, and a slow start of all of them would only disable
        // affinity.
        let slow_start_since = (!self.by_id.is_empty()).then_some(now);
        let mut listed = HashSet::new();
        for server in servers {
            listed.insert(server.id.clone());
            self.upsert(server, settings, slow_start_since);
        }
        self.remove_unlisted(&listed);
        self.rebuild_server_sets();
    }

    fn upsert(
        &mut self,
        server: Server,
        settings: &RouterSettings,
        slow_start_since: Option<Duration>,
    ) {
        let Some(&slot) = self.by_id.get(&server.id) else {
            self.insert(server, settings, slow_start_since);
            return;
        };
        let current = &mut self.slots[slot];
        if server.incarnation < current.server.incarnation {
            return;
        }
        let is_restarted = server.incarnation > current.server.incarnation;
        let leaving = server.leaving || (current.server.leaving && !is_restarted);
        current.distance = Distance::new(settings, &server);
        current.server = Server { leaving, ..server };
        if is_restarted {
            current.slow_start_since = slow_start_since;
            self.reset(slot);
        }
    }

    fn insert(
        &mut self,
        server: Server,
        settings: &RouterSettings,
        slow_start_since: Option<Duration>,
    ) {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        self.by_id.insert(server.id.clone(), slot);
        let entry = Slot {
            distance: Distance::new(settings, &server),
            server,
            is_used: true,
            epoch: self.slots.get(slot).map_or(0, |old| old.epoch),
            slow_start_since,
        };
        if slot == self.slots.len() {
            self.slots.push(entry);
        } else {
            self.slots[slot] = entry;
        }
        self.reset(slot);
    }

    fn reset(&mut self, slot: usize) {
        self.slots[slot].epoch += 1;
        for view in &mut self.views {
            view.reset(slot);
        }
    }

    fn remove_unlisted(&mut self, listed: &HashSet<ServerId>) {
        for slot in 0..self.slots.len() {
            let entry = &mut self.slots[slot];
            if !entry.is_used || listed.contains(&entry.server.id) {
                continue;
            }
            entry.is_used = false;
            self.by_id.remove(&entry.server.id);
            self.free.push(slot);
            self.reset(slot);
        }
    }

    fn rebuild_server_sets(&mut self) {
        self.servers.own_zone = self.trie(&[Distance::OwnZone]);
        self.servers.own_region = self.trie(&[Distance::OwnRegion]);
        self.servers.other_regions = self.trie(&[Distance::OtherRegion]);
        self.servers.all = self.trie(&[
            Distance::OwnZone,
            Distance::OwnRegion,
            Distance::OtherRegion,
        ]);
        let slots = self.slots.iter().enumerate();
        let accepting = slots.filter(|(_, slot)| slot.accepts_requests());
        let accepting: Vec<usize> = accepting.map(|(index, _)| index).collect();
        for view in &mut self.views {
            view.speed.set_pool(accepting.clone());
        }
    }

    fn trie(&self, distances: &[Distance]) -> RendezvousTrie {
        let slots = self.slots.iter().enumerate();
        let members =
            slots.filter(|(_, slot)| slot.accepts_requests() && distances.contains(&slot.distance));
        RendezvousTrie::new(members.map(|(index, slot)| (slot.server.id.as_str(), index)))
    }

    pub(super) fn on_tick(&mut self, now: Duration) {
        for view in &mut self.views {
            view.speed.on_tick(now);
        }
    }

    pub(super) fn set_leaving(&mut self, server: &str) {
        let Some(&slot) = self.by_id.get(server) else {
            return;
        };
        if !self.slots[slot].server.leaving {
            self.slots[slot].server.leaving = true;
            self.rebuild_server_sets();
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Duration,
        tier: TierId,
        prefix_hash: Option<u64>,
        exclude: &[ServerId],
    ) -> Option<(usize, ChoiceReason)> {
        let exclude: Vec<usize> = exclude
            .iter()
            .filter_map(|id| self.by_id.get(id).copied())
            .collect();
        let mut chooser = Chooser {
            now,
            slots: &self.slots,
            servers: &self.servers,
            exclude: &exclude,
            allow_ejected: false,
            view: &mut self.views[usize::from(tier)],
        };
        let (slot, reason) = chooser.choose(prefix_hash)?;
        self.on_sent(slot, tier);
        Some((slot, reason))
    }

    pub(super) fn choose_for_suspect(
        &mut self,
        tier: TierId,
        fingerprint: Fingerprint,
        exclude: &[ServerId],
    ) -> Option<usize> {
        let mut candidates =
            (0..SUSPECT_CANDIDATES).filter_map(|salt| self.servers.all.pick(fingerprint, salt));
        let slot = candidates.find(|&slot| !exclude.contains(self.server_id(slot)))?;
        self.on_sent(slot, tier);
        Some(slot)
    }

    fn on_sent(&mut self, slot: usize, tier: TierId) {
        for view in &mut self.views[usize::from(tier)..] {
            view.on_sent(slot);
        }
    }

    pub(super) fn on_response(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        response: &ResponseMeasurements,
    ) {
        let Attempt {
            slot, epoch, tier, ..
        } = *attempt;
        if self.slots[slot].epoch != epoch {
            return;
        }
        for view in &mut self.views[usize::from(tier)..] {
            view.on_response(now, slot, response);
        }
        if response.load.as_ref().is_some_and(|load| load.leaving) {
            let id = self.slots[slot].server.id.clone();
            self.set_leaving(&id);
        }
    }

    pub(super) fn on_failure(&mut self, now: Duration, attempt: &Attempt) {
        if self.slots[attempt.slot].epoch != attempt.epoch {
            return;
        }
        for view in &mut self.views[usize::from(attempt.tier)..] {
            view.speed.on_failure(now, attempt.slot);
        }
    }

    pub(super) fn on_cache_event(
        &mut self,
        now: Duration,
        server: &str,
        tier: TierId,
        prefix_hash: u64,
        event: CacheEvent,
    ) {
        let Some(&slot) = self.by_id.get(server) else {
            return;
        };
        let epoch = self.slots[slot].epoch;
        for view in self.views.iter_mut().skip(usize::from(tier)) {
            match event {
                CacheEvent::Stored => view.on_cache_stored(now, prefix_hash, slot, epoch),
                CacheEvent::Removed => view.on_cache_removed(prefix_hash, slot),
            }
        }
    }
}
