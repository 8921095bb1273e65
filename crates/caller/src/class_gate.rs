//! Bounds the requests in flight of each class, so that a slow class never takes the threads of a fast one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tanagerford_core::ids::{ClassId, TierId};
use tanagerford_sync::lock;

/// Counts of requests in flight, by class and tier.
#[derive(Debug, Default)]
pub struct ClassGate {
    in_flight: Mutex<HashMap<ClassId, Vec<u32>>>,
}

/// Place of one request; it is given back when dropped.
#[derive(Debug)]
pub struct Place {
    gate: Arc<ClassGate>,
    class: ClassId,
    tier: TierId,
}

impl ClassGate {
    /// Takes a place for a request, or returns `None` when the class is full as seen by `tier`.
    ///
    /// Only work of the same and of higher tiers counts, so a lower tier never takes the place of a higher one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use tanagerford_caller::class_gate::ClassGate;
    ///
    /// let gate = Arc::new(ClassGate::default());
    /// let low = gate.enter("chat", 1, 1);
    /// let high = gate.enter("chat", 0, 1);
    /// assert!(low.is_some() && high.is_some());
    /// assert!(gate.enter("chat", 1, 1).is_none());
    /// ```
    #[must_use]
    pub fn enter(self: &Arc<Self>, class: &str, tier: TierId, limit: u32) -> Option<Place> {
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
        Some(Place {
            gate: Arc::clone(self),
            class: class.to_owned(),
            tier,
        })
    }

    /// Returns the requests in flight of all classes.
    #[must_use]
    pub fn total(&self) -> u32 {
        let in_flight = lock(&self.in_flight);
        in_flight.values().flatten().sum()
    }

    /// Returns the requests in flight by class.
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

impl Drop for Place {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.gate.in_flight);
        if let Some(by_tier) = in_flight.get_mut(&self.class) {
            by_tier[usize::from(self.tier)] -= 1;
        }
    }
}
