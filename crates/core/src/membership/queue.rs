//! Queue of data to spread, each sent a bounded number of times, the least sent first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Class, count of transmissions and age; the smallest is sent first.
type Rank = (Class, u32, Reverse<u64>);

/// How urgent a value is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Sent whenever dissemination may send.
    Urgent,
    /// Sent while the byte budget is ample.
    Patient,
}

/// Queue with at most one value per key; a newer value replaces the older one and starts again.
#[derive(Debug)]
pub(super) struct SpreadQueue<V> {
    ranks: BTreeMap<u64, Rank>,
    values: BTreeMap<Rank, (u64, V)>,
    next_number: u64,
}

impl<V> SpreadQueue<V> {
    pub fn new() -> Self {
        Self {
            ranks: BTreeMap::new(),
            values: BTreeMap::new(),
            next_number: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns whether a value of at most `class` waits.
    pub fn has(&self, class: Class) -> bool {
        self.values
            .keys()
            .next()
            .is_some_and(|rank| rank.0 <= class)
    }

    /// Adds or replaces the value of `key`.
    pub fn push(&mut self, key: u64, value: V, class: Class) {
        self.remove(key);
        self.insert(key, value, (class, 0));
    }

    /// Counts a copy of a patient value that arrived from another member as one transmission: what others repeat is
    /// widely known (feedback of Demers et al. 1987). Urgent values are not cut short, because with 20% loss the
    /// feedback left one of 160 members without news of a leaving one for 3 s.
    pub fn heard(&mut self, key: u64, limit: u32) {
        let Some(rank) = self.ranks.get(&key).copied() else {
            return;
        };
        if rank.0 == Class::Urgent {
            return;
        }
        self.ranks.remove(&key);
        if let Some((key, value)) = self.values.remove(&rank)
            && rank.1 + 1 < limit
        {
            self.insert(key, value, (rank.0, rank.1 + 1));
        }
    }

    /// Removes the value of `key`.
    pub fn remove(&mut self, key: u64) {
        if let Some(rank) = self.ranks.remove(&key) {
            self.values.remove(&rank);
        }
    }

    /// Offers values of at most `class` to `add`, the least sent first, until it refuses one. Accepted values count as
    /// sent once more and are dropped after `limit` times.
    pub fn take(&mut self, class: Class, limit: u32, mut add: impl FnMut(&V) -> bool) {
        let mut sent = Vec::new();
        while let Some((rank, (key, value))) = self.values.pop_first() {
            if rank.0 > class || !add(&value) {
                self.values.insert(rank, (key, value));
                break;
            }
            self.ranks.remove(&key);
            sent.push((key, value, (rank.0, rank.1 + 1)));
        }
        for (key, value, rank) in sent {
            if rank.1 < limit {
                self.insert(key, value, rank);
            }
        }
    }

    fn insert(&mut self, key: u64, value: V, (class, transmissions): (Class, u32)) {
        let rank = (class, transmissions, Reverse(self.next_number));
        self.next_number += 1;
        self.ranks.insert(key, rank);
        self.values.insert(rank, (key, value));
    }
}
