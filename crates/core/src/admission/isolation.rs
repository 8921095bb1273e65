//! Requests that are suspected of crashing engines and run with bounded company.
//!
//! While a suspect waits, its tier and lower ones start nothing beyond the allowed company, so the suspect gets its turn
//! within its longest wait. While it runs, lower tiers are preempted down to that company. Higher tiers are not held
//! back; when they outgrow the company, the suspect is preempted.

use std::time::Duration;

use super::tier::Tier;
use super::{Action, Admission};
use crate::ids::AttemptId;

impl Admission {
    /// Returns the places that a tier may fill by starting requests, out of `places`.
    pub(super) fn places_beside_suspects(&self, tier: usize, above: u32, places: u32) -> u32 {
        let tiers = &self.tiers[..=tier];
        let running = tiers.iter().flat_map(Tier::running_suspects);
        // A waiting suspect that has to wait for another one does not hold anything back yet.
        let waiting = tiers
            .iter()
            .filter_map(|tier| tier.suspects.first().map(|suspect| suspect.id));
        let first_waiting = if self.suspect_runs(tier + 1) {
            None
        } else {
            Some(waiting)
        };
        let holding = running.chain(first_waiting.into_iter().flatten());
        let company = holding.filter_map(|id| self.max_company(id)).min();
        company.map_or(places, |company| {
            places.min((company + 1).saturating_sub(above))
        })
    }

    /// Returns the places that a tier may keep filled, out of `places`, beside a running suspect of a higher tier.
    pub(super) fn places_kept_beside_suspects(&self, tier: usize, above: u32, places: u32) -> u32 {
        let running = self.tiers[..tier].iter().flat_map(Tier::running_suspects);
        let company = running.filter_map(|id| self.max_company(id)).min();
        company.map_or(places, |company| {
            places.min((company + 1).saturating_sub(above))
        })
    }

    /// Preempts a running suspect that has got too much company from higher tiers, or company of another suspect.
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
        let beside = above + self.tiers[tier].running() - 1;
        let crowded = self
            .max_company(id)
            .is_some_and(|company| above > 0 && beside > company);
        if crowded || self.suspect_runs(tier) {
            self.preempt(now, tier, id, actions);
        }
    }

    /// Starts the first waiting suspect if its company is small enough.
    pub(super) fn start_suspect(
        &mut self,
        now: Duration,
        tier: usize,
        above: u32,
        places: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.tiers[tier].suspects.first().map(|suspect| suspect.id) else {
            return;
        };
        let running = self.tiers[tier].running();
        let crowded = self
            .max_company(id)
            .is_some_and(|company| above + running > company);
        if crowded || running >= places || self.suspect_runs(tier + 1) {
            return;
        }
        let suspect = self.tiers[tier].suspects.remove(0);
        self.begin(now, tier, &suspect, actions);
    }

    /// Returns whether a suspect of the tiers above `tier` runs.
    fn suspect_runs(&self, tier: usize) -> bool {
        self.tiers[..tier]
            .iter()
            .any(|tier| tier.running_suspects().next().is_some())
    }

    fn max_company(&self, id: AttemptId) -> Option<u32> {
        self.entries.get(&id)?.request.max_company
    }
}
