//! The choice itself, for one tier's view of a pool.

use std::time::Duration;

use rand_pcg::rand_core::Rng;

use super::ChoiceReason;
use super::pool::{Distance, Slot};
use super::ring::{Ring, scale};
use super::view::View;
use crate::straggler::SpeedState;

/// A server within affinity may carry this much more than the mean load; 1.25 keeps most prefixes in place while no
/// server exceeds the mean by more than a quarter.
const BOUND_FACTOR: f64 = 1.25;
/// Below this share of its batch limit a server starts a request at once, so the cached prefix is worth more than an
/// even load.
const FREE_BATCH_SHARE: f64 = 0.5;
/// Rendezvous candidates that are tried before affinity is given up.
const CANDIDATES: u64 = 3;
/// A server of another availability zone must cost less than this share of the own zone's candidate. Zones are about
/// 1 ms apart, which is little against the wait at a busier server; with 0.6, small zones stayed overloaded.
const OTHER_ZONE_ADVANTAGE: f64 = 0.8;
/// Random draws before a scan looks for a usable server.
const DRAWS: usize = 8;
/// Time in which a fresh server rises to its full weight.
const SLOW_START: Duration = Duration::from_secs(30);
/// Weight of a server that has just started.
const SLOW_START_WEIGHT: f64 = 0.1;

/// Servers of a pool by distance.
#[derive(Debug, Default)]
pub(super) struct Rings {
    pub(super) own: Ring,
    pub(super) near: Ring,
    pub(super) far: Ring,
    pub(super) all: Ring,
}

/// One choice under way.
pub(super) struct Chooser<'a> {
    pub(super) now: Duration,
    pub(super) slots: &'a [Slot],
    pub(super) rings: &'a Rings,
    pub(super) exclude: &'a [usize],
    pub(super) allow_ejected: bool,
    pub(super) view: &'a mut View,
}

impl Chooser<'_> {
    pub(super) fn choose(&mut self, prefix_hash: Option<u64>) -> Option<(usize, ChoiceReason)> {
        if let Some(slot) = self.trial() {
            return Some((slot, ChoiceReason::Trial));
        }
        if let Some(found) = prefix_hash.and_then(|prefix_hash| self.by_prefix(prefix_hash)) {
            return Some(found);
        }
        if let Some(found) = self.by_load() {
            return Some(found);
        }
        self.allow_ejected = true;
        let (slot, _) = self.by_load()?;
        Some((slot, ChoiceReason::LastResort))
    }

    /// A server due for a trial. A request that was already tried elsewhere is not put at risk again.
    fn trial(&mut self) -> Option<usize> {
        if !self.exclude.is_empty() {
            return None;
        }
        let slot = self.view.speed.take_trial()?;
        let usable =
            self.slots[slot].takes_work() && self.slots[slot].distance != Distance::OtherRegion;
        (usable && self.view.in_flight(slot) == 0).then_some(slot)
    }

    fn by_prefix(&mut self, prefix_hash: u64) -> Option<(usize, ChoiceReason)> {
        let rings = self.rings;
        let bound = BOUND_FACTOR * self.view.mean_load(rings.all.len()) + 1.0;
        if let Some(slot) = self
            .cached_at(prefix_hash)
            .filter(|&slot| self.is_within(slot, bound))
        {
            return Some((slot, ChoiceReason::CacheHint));
        }
        // Entries of all zones would agree on the same candidate outside of their own zones and overload it.
        let ring = if rings.own.len() > 0 {
            &rings.own
        } else {
            &rings.near
        };
        let mut candidates = (0..CANDIDATES).filter_map(|salt| ring.pick(prefix_hash, salt));
        let slot = candidates.find(|&slot| self.is_usable(slot) && self.is_within(slot, bound))?;
        Some((slot, ChoiceReason::Affinity))
    }

    fn cached_at(&self, prefix_hash: u64) -> Option<usize> {
        let (slot, epoch) = self.view.cached_at(self.now, prefix_hash)?;
        let known =
            self.slots[slot].epoch == epoch && self.slots[slot].distance == Distance::OwnZone;
        (known && self.is_usable(slot)).then_some(slot)
    }

    fn is_within(&self, slot: usize, bound: f64) -> bool {
        let weight = self.weight(slot);
        let load = self.view.load(self.now, slot);
        load < bound * weight * self.view.relative_capacity(slot)
            || load < self.view.batch_limit(slot) * FREE_BATCH_SHARE * weight
    }

    fn by_load(&mut self) -> Option<(usize, ChoiceReason)> {
        let rings = self.rings;
        let own = self.better_of_two(&rings.own);
        let near = self.better_of_two(&rings.near);
        match (own, near) {
            (Some((own, own_cost)), Some((near, near_cost))) => {
                if near_cost < own_cost * OTHER_ZONE_ADVANTAGE {
                    return Some((near, ChoiceReason::OtherZone));
                }
                Some((own, ChoiceReason::LeastLoaded))
            }
            (Some((own, _)), None) => Some((own, ChoiceReason::LeastLoaded)),
            (None, Some((near, _))) => Some((near, ChoiceReason::OtherZone)),
            (None, None) => {
                let (far, _) = self.better_of_two(&rings.far)?;
                Some((far, ChoiceReason::OtherZone))
            }
        }
    }

    fn better_of_two(&mut self, ring: &Ring) -> Option<(usize, f64)> {
        let first = self.sample(ring, None)?;
        let first_cost = self.cost(first);
        let Some(second) = self.sample(ring, Some(first)) else {
            return Some((first, first_cost));
        };
        let second_cost = self.cost(second);
        if second_cost < first_cost {
            return Some((second, second_cost));
        }
        Some((first, first_cost))
    }

    /// Draws a usable server other than `other`.
    fn sample(&mut self, ring: &Ring, other: Option<usize>) -> Option<usize> {
        let count = ring.len();
        if count == 0 {
            return None;
        }
        for _ in 0..DRAWS {
            let slot = ring.slot(scale(self.view.rng.next_u64(), count));
            if Some(slot) != other && self.is_usable(slot) {
                return Some(slot);
            }
        }
        let start = scale(self.view.rng.next_u64(), count);
        let mut slots = (0..count).map(|step| ring.slot((start + step) % count));
        slots.find(|&slot| Some(slot) != other && self.is_usable(slot))
    }

    fn is_usable(&self, slot: usize) -> bool {
        let is_active = self.allow_ejected || self.view.speed.state(slot) == SpeedState::Active;
        is_active && self.slots[slot].takes_work() && !self.exclude.contains(&slot)
    }

    fn cost(&self, slot: usize) -> f64 {
        let load = self.view.load(self.now, slot) + 1.0;
        load * self.view.relative_latency(slot)
            / (self.weight(slot) * self.view.relative_capacity(slot))
    }

    fn weight(&self, slot: usize) -> f64 {
        let fresh_since = self.slots[slot]
            .fresh_since
            .max(self.view.speed.restored_at(slot));
        self.view.speed.weight(slot) * slow_start_weight(self.now, fresh_since)
    }
}

fn slow_start_weight(now: Duration, fresh_since: Option<Duration>) -> f64 {
    let Some(fresh_since) = fresh_since else {
        return 1.0;
    };
    let elapsed = now.saturating_sub(fresh_since).as_secs_f64();
    let progress = (elapsed / SLOW_START.as_secs_f64()).min(1.0);
    SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * progress
}
