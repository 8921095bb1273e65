//! Concurrency limit per class, which keeps a slow class from using up the threads that a fast one needs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tanagerford_core::ids::{ClassId, TierId};
use tanagerford_sync::lock;

/// Number of requests in flight, by class and tier.
#[derive(Debug, Default)]
pub struct ClassGate {
    in_flight: Mutex<HashMap<ClassId, Vec<u32>>>,
}

/// Permit of one request in flight, released on drop.
#[derive(Debug)]
pub struct ClassPermit {
    gate: Arc<ClassGate>,
    class: ClassId,
    tier: TierId,
}

impl ClassGate {
    /// Acquires a permit for a request; returns `None` when `limit` or more requests of the class are in flight.
    ///
    /// Only requests of the same and of higher tiers (lower numbers) count against the limit, so lower tiers never
    /// displace higher ones. The requests in flight of all tiers together may exceed `limit`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use tanagerford_caller::class_gate::ClassGate;
    ///
    /// let gate = Arc::new(ClassGate::default());
    /// let low = gate.try_acquire("chat", 1, 1);
    /// let high = gate.try_acquire("chat", 0, 1);
    /// assert!(low.is_some() && high.is_some());
    /// assert!(gate.try_acquire("chat", 1, 1).is_none());
    /// ```
    #[must_use]
    pub fn try_acquire(
        self: &Arc<Self>,
        class: &str,
        tier: TierId,
        limit: u32,
    ) -> Option<ClassPermit> {
        let mut in_flight = lock(&self.in_flight);
        if !in_flight.contains_key(class) {
            in_flight.insert(class.to_owned(), Vec::new());
        }
        let by_tier = in_flight.get_mut(class)?;
        let index = usize::from(tier);
        if by_tier.len() <= index {
            by_tier.resize(index + 1, 0);
        }
        if by_tier[..=index].iter().sum::<u32>() >= limit {
            return None;
        }
        by_tier[index] += 1;
        Some(ClassPermit {
            gate: Arc::clone(self),
            class: class.to_owned(),
            tier,
        })
    }

    /// Returns the number of requests in flight over all classes and tiers.
    #[must_use]
    pub fn total(&self) -> u32 {
        let in_flight = lock(&self.in_flight);
        in_flight.values().flatten().sum()
    }

    /// Returns the number of requests in flight of each class that has had a request, sorted by class.
    #[must_use]
    pub fn by_class(&self) -> Vec<(ClassId, u32)> {
        let in_flight = lock(&self.in_flight);
        let mut counts: Vec<_> = in_flight
            .iter()
            .map(|(class, by_tier)| (class.clone(), by_tier.iter().sum()))
            .collect();
        counts.sort();
        counts
    }
}

impl Drop for ClassPermit {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.gate.in_flight);
        if let Some(by_tier) = in_flight.get_mut(&self.class) {
            by_tier[usize::from(self.tier)] -= 1;
        }
    }
}
