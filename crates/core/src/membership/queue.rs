//! Queue of data to spread, each sent a bounded number of times, the least sent first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

type Rank = (u32, Reverse<u64>);

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

    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Adds or replaces the value of `key`.
    pub fn push(&mut self, key: u64, value: V) {
        self.remove(key);
        self.insert(key, value, 0);
    }

    /// Removes the value of `key`.
    pub fn remove(&mut self, key: u64) {
        if let Some(rank) = self.ranks.remove(&key) {
            self.values.remove(&rank);
        }
    }

    /// Offers values to `add`, the least sent first, until it refuses one. Accepted values count as sent once more and
    /// are dropped after `limit` times.
    pub fn take(&mut self, limit: u32, mut add: impl FnMut(&V) -> bool) {
        let mut sent = Vec::new();
        while let Some((rank, (key, value))) = self.values.pop_first() {
            if !add(&value) {
                self.values.insert(rank, (key, value));
                break;
            }
            self.ranks.remove(&key);
            sent.push((key, value, rank.0 + 1));
        }
        for (key, value, transmissions) in sent {
            if transmissions < limit {
                self.insert(key, value, transmissions);
            }
        }
    }

    fn insert(&mut self, key: u64, value: V, transmissions: u32) {
        let rank = (transmissions, Reverse(self.next_number));
        self.next_number += 1;
        self.ranks.insert(key, rank);
        self.values.insert(rank, (key, value));
    }
}
