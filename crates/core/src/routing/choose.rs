//! Selection of a server from one tier's view of a pool.

use std::time::Duration;

use rand_pcg::rand_core::Rng;

use super::ChoiceReason;
use super::pool::{Distance, Slot};
use super::rendezvous::{RendezvousTrie, scale};
use super::view::View;
use crate::straggler::SpeedState;

/// Bound of the load of a server that is chosen by prefix, relative to the mean load. With 1.25, most prefixes stay on
/// their server while no server exceeds the mean by more than a quarter.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// A server with a load below this share of its batch limit starts a request at once, so the cached prefix outweighs an
/// even load.
const FREE_BATCH_SHARE: f64 = 0.5;
/// Number of rendezvous candidates that are tried before the request is routed by load.
const AFFINITY_CANDIDATES: u64 = 3;
/// A server of another availability zone is chosen if its cost is below this share of the cost of the candidate in the
/// entry's zone. The latency between zones is about 1 ms, which is small compared with the wait at a busier server;
/// with 0.6, small zones stay overloaded.
const OTHER_ZONE_MAX_COST_RATIO: f64 = 0.8;
/// Number of random draws before a linear scan searches for a usable server.
const MAX_DRAWS: usize = 8;
/// Time in which the weight of a new server rises linearly to 1.
const SLOW_START: Duration = Duration::from_secs(30);
/// Weight of a server at the beginning of its slow start.
const SLOW_START_MIN_WEIGHT: f64 = 0.1;

/// Servers of a pool that accept requests, by distance.
#[derive(Debug, Default)]
pub(super) struct ServersByDistance {
    pub(super) own_zone: RendezvousTrie,
    pub(super) own_region: RendezvousTrie,
    pub(super) other_regions: RendezvousTrie,
    pub(super) all: RendezvousTrie,
}

/// Selection of a server for one request.
pub(super) struct Chooser<'a> {
    pub(super) now: Duration,
    pub(super) slots: &'a [Slot],
    pub(super) servers: &'a ServersByDistance,
    pub(super) exclude: &'a [usize],
    pub(super) allow_ejected: bool,
    pub(super) view: &'a mut View,
}

impl Chooser<'_> {
    pub(super) fn choose(&mut self, prefix_hash: Option<u64>) -> Option<(usize, ChoiceReason)> {
        if let Some(slot) = self.choose_for_trial() {
            return Some((slot, ChoiceReason::Trial));
        }
        if let Some(found) = prefix_hash.and_then(|prefix_hash| self.choose_by_prefix(prefix_hash))
        {
            return Some(found);
        }
        if let Some(found) = self.choose_by_load() {
            return Some(found);
        }
        self.allow_ejected = true;
        let (slot, _) = self.choose_by_load()?;
        Some((slot, ChoiceReason::LastResort))
    }

    /// Returns a server that is due for a trial request. A retried request is not used as a trial, because the server
    /// may fail it again.
    fn choose_for_trial(&mut self) -> Option<usize> {
        if !self.exclude.is_empty() {
            return None;
        }
        let slot = self.view.speed.take_trial()?;
        let can_try = self.slots[slot].accepts_requests()
            && self.slots[slot].distance != Distance::OtherRegion;
        (can_try && self.view.in_flight(slot) == 0).then_some(slot)
    }

    fn choose_by_prefix(&mut self, prefix_hash: u64) -> Option<(usize, ChoiceReason)> {
        let servers = self.servers;
        let bound = AFFINITY_LOAD_FACTOR * self.view.mean_load(servers.all.len()) + 1.0;
        if let Some(slot) = self
            .cached_at(prefix_hash)
            .filter(|&slot| self.is_within(slot, bound))
        {
            return Some((slot, ChoiceReason::CacheHint));
        }
        // Affinity does not extend to other zones while the own zone has servers: entries of all zones would select the
        // same candidate there and overload it.
        let trie = if servers.own_zone.len() > 0 {
            &servers.own_zone
        } else {
            &servers.own_region
        };
        let mut candidates =
            (0..AFFINITY_CANDIDATES).filter_map(|salt| trie.pick(prefix_hash, salt));
        let slot = candidates.find(|&slot| self.is_usable(slot) && self.is_within(slot, bound))?;
        Some((slot, ChoiceReason::Affinity))
    }

    fn cached_at(&self, prefix_hash: u64) -> Option<usize> {
        let (slot, epoch) = self.view.cached_at(self.now, prefix_hash)?;
        let is_valid =
            self.slots[slot].epoch == epoch && self.slots[slot].distance == Distance::OwnZone;
        (is_valid && self.is_usable(slot)).then_some(slot)
    }

    /// Returns whether the load of a server is within `bound`, scaled by its weight and capacity, or the server has
    /// free batch slots.
    fn is_within(&self, slot: usize, bound: f64) -> bool {
        let weight = self.weight(slot);
        let load = self.view.load(self.now, slot);
        load < bound * weight * self.view.relative_capacity(slot)
            || load < self.view.batch_limit(slot) * FREE_BATCH_SHARE * weight
    }

    fn choose_by_load(&mut self) -> Option<(usize, ChoiceReason)> {
        let servers = self.servers;
        let own = self.better_of_two(&servers.own_zone);
        let region = self.better_of_two(&servers.own_region);
        match (own, region) {
            (Some((own, own_cost)), Some((region, region_cost))) => {
                if region_cost < own_cost * OTHER_ZONE_MAX_COST_RATIO {
                    return Some((region, ChoiceReason::OtherZone));
                }
                Some((own, ChoiceReason::LeastLoaded))
            }
            (Some((own, _)), None) => Some((own, ChoiceReason::LeastLoaded)),
            (None, Some((region, _))) => Some((region, ChoiceReason::OtherZone)),
            (None, None) => {
                let (other, _) = self.better_of_two(&servers.other_regions)?;
                Some((other, ChoiceReason::OtherZone))
            }
        }
    }

    fn better_of_two(&mut self, trie: &RendezvousTrie) -> Option<(usize, f64)> {
        let first = self.sample(trie, None)?;
        let first_cost = self.cost(first);
        let Some(second) = self.sample(trie, Some(first)) else {
            return Some((first, first_cost));
        };
        let second_cost = self.cost(second);
        if second_cost < first_cost {
            return Some((second, second_cost));
        }
        Some((first, first_cost))
    }

    /// Draws a random usable server except `excluded`.
    fn sample(&mut self, trie: &RendezvousTrie, excluded: Option<usize>) -> Option<usize> {
        let count = trie.len();
        if count == 0 {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let slot = trie.slot(scale(self.view.rng.next_u64(), count));
            if Some(slot) != excluded && self.is_usable(slot) {
                return Some(slot);
            }
        }
        let start = scale(self.view.rng.next_u64(), count);
        let mut slots = (0..count).map(|step| trie.slot((start + step) % count));
        slots.find(|&slot| Some(slot) != excluded && self.is_usable(slot))
    }

    fn is_usable(&self, slot: usize) -> bool {
        let is_active = self.allow_ejected || self.view.speed.state(slot) == SpeedState::Active;
        is_active && self.slots[slot].accepts_requests() && !self.exclude.contains(&slot)
    }

    fn cost(&self, slot: usize) -> f64 {
        let load = self.view.load(self.now, slot) + 1.0;
        load * self.view.relative_latency(slot)
            / (self.weight(slot) * self.view.relative_capacity(slot))
    }

    fn weight(&self, slot: usize) -> f64 {
        let slow_start_since = self.slots[slot]
            .slow_start_since
            .max(self.view.speed.restored_at(slot));
        self.view.speed.weight(slot) * slow_start_weight(self.now, slow_start_since)
    }
}

fn slow_start_weight(now: Duration, slow_start_since: Option<Duration>) -> f64 {
    let Some(slow_start_since) = slow_start_since else {
        return 1.0;
    };
    let elapsed = now.saturating_sub(slow_start_since).as_secs_f64();
    let progress = (elapsed / SLOW_START.as_secs_f64()).min(1.0);
    SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * progress
}
