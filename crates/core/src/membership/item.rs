//! Opaque items that other modules disseminate through the membership protocol, for example summaries of suspicion
//! tables.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Opaque versioned value; a higher version replaces a lower one of the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Unique in the fleet; chosen by the module that publishes the item.
    pub key: u64,
    /// Must increase with each publication under the same key.
    pub version: u64,
    /// Limited to `item_bytes` of [`Params`](super::Params).
    pub value: Arc<[u8]>,
}

/// Reason why an item was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemError {
    /// The value is longer than `item_bytes` of [`Params`](super::Params).
    TooLong,
    /// The same or a higher version is already stored.
    Outdated,
    /// `max_items` of [`Params`](super::Params) other items are stored.
    Full,
}

/// Items by key, with an expiry time and a bounded number.
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
    /// Stores an item until `expires_at` if it is newer than the stored one.
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

    /// Removes expired items.
    pub fn expire(&mut self, now: Duration) {
        self.items.retain(|_, stored| stored.expires_at > now);
    }

    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.values().map(|stored| &stored.item)
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }
}
