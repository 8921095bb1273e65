//! Model of the prompt parts in a server's prefix cache.

use std::collections::HashMap;
use std::time::Duration;

use super::{PartId, PromptPart};

/// Fraction of a server's memory that is assumed to hold cached parts; running requests use the rest.
const CACHE_SHARE: (u64, u64) = (7, 10);

/// Prompt parts assumed to be cached by one server, with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct PartCache {
    capacity_tokens: u64,
    cached_tokens: u64,
    parts: HashMap<PartId, CachedPart>,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    last_use: Duration,
    /// Time from which the server is assumed to have processed the part, so that others can copy it.
    held_at: Duration,
}

impl PartCache {
    /// Creates an empty cache for a server with `memory_tokens` tokens of memory.
    #[must_use]
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            capacity_tokens: memory_tokens * CACHE_SHARE.0 / CACHE_SHARE.1,
            ..Self::default()
        }
    }

    /// Returns the number of prompt tokens that are not cached. A part counts as cached only if all parts before it are
    /// cached.
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
    /// assert_eq!(cache.uncached_tokens(&parts, 400), 100);
    /// ```
    #[must_use]
    pub fn uncached_tokens(&self, parts: &[PromptPart], prompt_tokens: u32) -> u32 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        let cached_tokens: u32 = cached.map(|part| part.tokens).sum();
        prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Returns the number of prompt tokens that the server has processed, from the first part on, so that others can copy
    /// them.
    pub(super) fn held_tokens(&self, now: Duration, parts: &[PromptPart]) -> u32 {
        let is_held = |part: &&PromptPart| {
            let cached = self.parts.get(&part.id);
            cached.is_some_and(|cached| cached.held_at <= now)
        };
        let held = parts.iter().take_while(is_held);
        held.fold(0, |tokens, part| tokens.saturating_add(part.tokens))
    }

    /// Records that the server processes a prompt.
    pub fn insert(&mut self, now: Duration, parts: &[PromptPart]) {
        self.insert_processed(now, now, parts);
    }

    /// Records that the server processes a prompt and has processed it at `held_at`.
    pub(super) fn insert_processed(
        &mut self,
        now: Duration,
        held_at: Duration,
        parts: &[PromptPart],
    ) {
        for part in parts {
            let known = self.parts.get(&part.id);
            let cached = CachedPart {
                tokens: part.tokens,
                last_use: now,
                held_at: known.map_or(held_at, |known| known.held_at.min(held_at)),
            };
            self.cached_tokens += u64::from(part.tokens);
            if let Some(old) = self.parts.insert(part.id, cached) {
                self.cached_tokens -= u64::from(old.tokens);
            }
        }
        while self.cached_tokens > self.capacity_tokens {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(id, cached)| (cached.last_use, **id));
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            if let Some(cached) = self.parts.remove(&id) {
                self.cached_tokens -= u64::from(cached.tokens);
            }
        }
    }

    /// Removes all parts, for a server that has restarted.
    pub(crate) fn clear(&mut self) {
        self.parts.clear();
        self.cached_tokens = 0;
    }
}
