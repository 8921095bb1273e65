//! Cache of the answers of orders, bounded in bytes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tanagerford_core::order::OrderKey;

use super::StoredAnswer;

/// Answers by key; evicts the oldest first.
#[derive(Debug, Default)]
pub(super) struct AnswerCache {
    by_key: HashMap<OrderKey, Arc<StoredAnswer>>,
    /// Keys in the order of their insertion.
    oldest_first: VecDeque<OrderKey>,
    bytes: usize,
}

impl AnswerCache {
    /// Inserts an answer, then evicts until the answers need at most `max_bytes`.
    pub(super) fn insert(&mut self, key: OrderKey, answer: Arc<StoredAnswer>, max_bytes: usize) {
        self.bytes += answer.memory_bytes();
        if let Some(replaced) = self.by_key.insert(key, answer) {
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

    pub(super) fn get(&self, key: &OrderKey) -> Option<Arc<StoredAnswer>> {
        self.by_key.get(key).cloned()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
