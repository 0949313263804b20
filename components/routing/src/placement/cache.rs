//! Prompt beginnings that one engine is believed to keep.

use std::num::NonZeroUsize;

use lru::LruCache;

/// Beginnings remembered for each engine.
const MOST_BEGINNINGS: NonZeroUsize = NonZeroUsize::new(1024).unwrap();

/// Beginnings by hash, the one unused longest given up first.
#[derive(Debug)]
pub struct PromptCache {
    // Tokens that each beginning adds to the one before.
    beginnings: LruCache<u64, u32>,
    tokens: u64,
    capacity: u64,
}

impl PromptCache {
    /// An empty cache of an engine that keeps so many tokens.
    pub fn new(capacity: u64) -> Self {
        PromptCache {
            beginnings: LruCache::new(MOST_BEGINNINGS),
            tokens: 0,
            capacity,
        }
    }

    /// Notes a beginning that adds `tokens` to the one before it.
    pub fn keep(&mut self, beginning: u64, tokens: u32) {
        if self.beginnings.get(&beginning).is_some() {
            return;
        }
        self.tokens += u64::from(tokens);
        if let Some((_, dropped)) = self.beginnings.push(beginning, tokens) {
            self.tokens = self.tokens.saturating_sub(u64::from(dropped));
        }
        while self.tokens > self.capacity {
            match self.beginnings.pop_lru() {
                Some((_, dropped)) => self.tokens -= u64::from(dropped).min(self.tokens),
                None => return,
            }
        }
    }

    /// Whether the engine is believed to keep a beginning.
    pub fn keeps(&self, beginning: u64) -> bool {
        self.beginnings.contains(&beginning)
    }
}
