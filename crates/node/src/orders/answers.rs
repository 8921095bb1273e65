//! Answers of orders, kept in bounded memory.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use tanagerford_core::order::OrderKey;

use super::KeptAnswer;

/// Answers in the order in which they were kept; the oldest are dropped first.
#[derive(Debug, Default)]
pub(super) struct Answers {
    by_key: HashMap<OrderKey, Arc<KeptAnswer>>,
    oldest_first: VecDeque<OrderKey>,
    bytes: usize,
}

impl Answers {
    pub(super) fn keep(&mut self, key: OrderKey, answer: Arc<KeptAnswer>, max_bytes: usize) {
        self.bytes += answer.kept_bytes();
        if let Some(replaced) = self.by_key.insert(key, answer) {
            self.bytes -= replaced.kept_bytes();
        } else {
            self.oldest_first.push_back(key);
        }
        while self.bytes > max_bytes {
            let Some(oldest) = self.oldest_first.pop_front() else {
                break;
            };
            if let Some(dropped) = self.by_key.remove(&oldest) {
                self.bytes -= dropped.kept_bytes();
            }
        }
    }

    pub(super) fn get(&self, key: &OrderKey) -> Option<Arc<KeptAnswer>> {
        self.by_key.get(key).cloned()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}
