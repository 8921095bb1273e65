//! Prompt parts that a server is believed to hold.

use std::collections::HashMap;
use std::time::Duration;

use super::{PartId, PromptPart};

/// Share of a server's memory that is taken as room for cached parts, as a fraction; running requests use the rest.
const CACHE_SHARE: (u64, u64) = (7, 10);

/// Cached prompt parts of one server, least recently used first to go.
#[derive(Debug, Default)]
pub struct PartCache {
    capacity_tokens: u64,
    held_tokens: u64,
    parts: HashMap<PartId, Held>,
}

#[derive(Debug)]
struct Held {
    tokens: u32,
    last_use: Duration,
}

impl PartCache {
    /// Creates the empty cache of a server with `memory_tokens` of memory.
    #[must_use]
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            capacity_tokens: memory_tokens * CACHE_SHARE.0 / CACHE_SHARE.1,
            ..Self::default()
        }
    }

    /// Returns how many tokens of a prompt have to be read: a part counts as cached only if all parts before it are.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerford_core::dispatch::{PartCache, PromptPart};
    ///
    /// let parts = [PromptPart { id: 1, tokens: 300 }, PromptPart { id: 2, tokens: 100 }];
    /// let mut cache = PartCache::new(10_000);
    /// cache.insert(Duration::ZERO, &parts[..1]);
    /// assert_eq!(cache.missing_tokens(&parts, 400), 100);
    /// ```
    #[must_use]
    pub fn missing_tokens(&self, parts: &[PromptPart], prompt_tokens: u32) -> u32 {
        let held = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        let held_tokens: u32 = held.map(|part| part.tokens).sum();
        prompt_tokens.saturating_sub(held_tokens)
    }

    /// Records that the server reads a prompt.
    pub fn insert(&mut self, now: Duration, parts: &[PromptPart]) {
        for part in parts {
            let held = Held {
                tokens: part.tokens,
                last_use: now,
            };
            self.held_tokens += u64::from(part.tokens);
            if let Some(old) = self.parts.insert(part.id, held) {
                self.held_tokens -= u64::from(old.tokens);
            }
        }
        while self.held_tokens > self.capacity_tokens {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(id, held)| (held.last_use, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            if let Some(held) = self.parts.remove(&id) {
                self.held_tokens -= u64::from(held.tokens);
            }
        }
    }

    /// Forgets everything, as a restart of the server does.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.held_tokens = 0;
    }
}
