//! Prompt prefixes that one engine is believed to cache.

use std::num::NonZeroUsize;

use lru::LruCache;

/// Maximum number of prefixes per engine.
const MAX_PREFIXES: NonZeroUsize = NonZeroUsize::new(1024).unwrap();

/// Prefixes by hash in LRU order.
#[derive(Debug)]
pub struct PromptCache {
    // Tokens that each prefix adds to the next shorter one.
    prefixes: LruCache<u64, u32>,
    tokens: u64,
    capacity: u64,
}

impl PromptCache {
    /// Creates an empty cache of an engine that caches up to `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        PromptCache {
            prefixes: LruCache::new(MAX_PREFIXES),
            tokens: 0,
            capacity,
        }
    }

    /// Adds a prefix that is `tokens` longer than the prefix before it.
    pub fn insert(&mut self, prefix: u64, tokens: u32) {
        if self.prefixes.get(&prefix).is_some() {
            return;
        }
        self.tokens += u64::from(tokens);
        if let Some((_, dropped)) = self.prefixes.push(prefix, tokens) {
            self.tokens = self.tokens.saturating_sub(u64::from(dropped));
        }
        while self.tokens > self.capacity {
            match self.prefixes.pop_lru() {
                Some((_, dropped)) => self.tokens -= u64::from(dropped).min(self.tokens),
                None => return,
            }
        }
    }

    /// Whether the engine is believed to cache a prefix.
    pub fn contains(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }
}
