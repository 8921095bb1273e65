//! Isolation of requests that are suspected of crashing engines: a suspect runs beside a bounded number of other
//! requests.
//!
//! While a suspect waits, its tier and lower ones start no requests beyond that number, so the suspect starts within
//! its wait limit. While it runs, requests of lower tiers are preempted down to that number. Higher tiers are not
//! limited; when their requests exceed the number, the suspect is preempted.

use std::time::Duration;

use super::tier::Tier;
use super::{Action, Admission};
use crate::ids::AttemptId;

impl Admission {
    /// Returns how many of `slots` a tier may fill by starting requests while suspects wait or run.
    pub(super) fn start_limit_with_suspects(&self, tier: usize, above: u32, slots: u32) -> u32 {
        let tiers = &self.tiers[..=tier];
        let running = tiers.iter().flat_map(Tier::running_suspects);
        // A waiting suspect that is blocked by a running one does not limit other requests yet.
        let waiting = tiers
            .iter()
            .filter_map(|tier| tier.suspects.first().map(|suspect| suspect.id));
        let limiting_waiting = if self.is_suspect_running(tier + 1) {
            None
        } else {
            Some(waiting)
        };
        let limiting = running.chain(limiting_waiting.into_iter().flatten());
        let max_others = limiting.filter_map(|id| self.max_other_requests(id)).min();
        max_others.map_or(slots, |max_others| {
            slots.min((max_others + 1).saturating_sub(above))
        })
    }

    /// Returns how many of `slots` a tier may keep occupied while a suspect of a higher tier runs.
    pub(super) fn retain_limit_with_suspects(&self, tier: usize, above: u32, slots: u32) -> u32 {
        let running = self.tiers[..tier].iter().flat_map(Tier::running_suspects);
        let max_others = running.filter_map(|id| self.max_other_requests(id)).min();
        max_others.map_or(slots, |max_others| {
            slots.min((max_others + 1).saturating_sub(above))
        })
    }

    /// Preempts the running suspect of a tier if requests of higher tiers exceed its limit of other requests, or if a
    /// suspect of a higher tier runs.
    pub(super) fn preempt_suspect(
        &mut self,
        now: Duration,
        tier: usize,
        above: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.tiers[tier].running_suspects().next() else {
            return;
        };
        let others = above + self.tiers[tier].running_count() - 1;
        let exceeds_limit = self
            .max_other_requests(id)
            .is_some_and(|max_others| above > 0 && others > max_others);
        if exceeds_limit || self.is_suspect_running(tier) {
            self.preempt(now, tier, id, actions);
        }
    }

    /// Starts the first waiting suspect if no more other requests run than it allows and no other suspect runs.
    pub(super) fn start_suspect(
        &mut self,
        now: Duration,
        tier: usize,
        above: u32,
        slots: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.tiers[tier].suspects.first().map(|suspect| suspect.id) else {
            return;
        };
        let running = self.tiers[tier].running_count();
        let exceeds_limit = self
            .max_other_requests(id)
            .is_some_and(|max_others| above + running > max_others);
        if exceeds_limit || running >= slots || self.is_suspect_running(tier + 1) {
            return;
        }
        let suspect = self.tiers[tier].suspects.remove(0);
        self.start(now, tier, &suspect, actions);
    }

    /// Returns whether a suspect of a tier above `tier` runs.
    fn is_suspect_running(&self, tier: usize) -> bool {
        self.tiers[..tier]
            .iter()
            .any(|tier| tier.running_suspects().next().is_some())
    }

    fn max_other_requests(&self, id: AttemptId) -> Option<u32> {
        self.entries.get(&id)?.request.max_other_requests
    }
}
