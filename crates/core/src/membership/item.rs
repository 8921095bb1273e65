//! Opaque items that other modules spread through the membership protocol, for example summaries of suspicion tables.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Opaque value under a key; the highest version wins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key, chosen by the module that owns the item.
    pub key: u64,
    /// Version.
    pub version: u64,
    /// Value, at most the `item_bytes` of [`Params`](super::Params).
    pub value: Arc<[u8]>,
}

/// Why an item was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemError {
    /// The value is too long.
    TooLong,
    /// The same or a higher version is known.
    Outdated,
    /// The store is full.
    Full,
}

/// Bounded store of items.
#[derive(Debug, Default)]
pub(super) struct ItemStore {
    items: BTreeMap<u64, Stored>,
}

#[derive(Debug)]
struct Stored {
    item: Item,
    expires_at: Duration,
}

impl ItemStore {
    /// Stores an item until `expires_at`.
    pub fn put(
        &mut self,
        item: Item,
        expires_at: Duration,
        max_items: usize,
    ) -> Result<(), ItemError> {
        let known = self.items.get(&item.key);
        if known.is_some_and(|stored| stored.item.version >= item.version) {
            return Err(ItemError::Outdated);
        }
        if known.is_none() && self.items.len() >= max_items {
            return Err(ItemError::Full);
        }
        self.items.insert(item.key, Stored { item, expires_at });
        Ok(())
    }

    /// Forgets items whose time is over.
    pub fn expire(&mut self, now: Duration) {
        self.items.retain(|_, stored| stored.expires_at > now);
    }

    /// Returns all items.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.values().map(|stored| &stored.item)
    }

    /// Returns the count of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }
}
