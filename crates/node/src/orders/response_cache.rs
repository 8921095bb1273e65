//! Cache of the responses of orders, bounded in bytes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tanagerford_core::order::OrderKey;

use super::StoredResponse;

/// Responses by key; evicts the oldest first.
#[derive(Debug, Default)]
pub(super) struct ResponseCache {
    by_key: HashMap<OrderKey, Arc<StoredResponse>>,
    /// Keys in the order of their insertion.
    oldest_first: VecDeque<OrderKey>,
    bytes: usize,
}

impl ResponseCache {
    /// Inserts a response, then evicts until the responses need at most `max_bytes`.
    pub(super) fn insert(
        &mut self,
        key: OrderKey,
        response: Arc<StoredResponse>,
        max_bytes: usize,
    ) {
        self.bytes += response.memory_bytes();
        if let Some(replaced) = self.by_key.insert(key, response) {
            self.bytes -= replaced.memory_bytes();
        } else {
            self.oldest_first.push_back(key);
        }
        while self.bytes > max_bytes {
            let Some(oldest) = self.oldest_first.pop_front() else {
                break;
            };
            if let Some(evicted) = self.by_key.remove(&oldest) {
                self.bytes -= evicted.memory_bytes();
            }
        }
    }

    pub(super) fn get(&self, key: &OrderKey) -> Option<Arc<StoredResponse>> {
        self.by_key.get(key).cloned()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
