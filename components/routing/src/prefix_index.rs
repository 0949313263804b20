//! Index of the prompt prefixes that endpoints are believed to have cached.
//!
//! A prompt that this node sent is indexed at once. Cache events of the engines may arrive late,
//! twice or with gaps, and only correct the index. A gap in the events drops all entries of the
//! endpoint.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;

/// Maximum number of blocks over all endpoints; about 4 MB.
const MAX_BLOCKS: usize = 32_768;
/// Maximum number of endpoints per block.
const MAX_HOLDERS: usize = 8;

/// A change of an endpoint's cache, with block hashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheUpdate {
    /// Blocks were stored.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
    /// The whole cache was dropped.
    Cleared,
}

/// A numbered cache event of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number given by the endpoint, which counts its events without gaps.
    pub sequence: u64,
    /// What changed.
    pub update: CacheUpdate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    endpoint: u32,
    generation: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    generation: u32,
    next_sequence: Option<u64>,
}

/// Cached blocks of all endpoints of a node, bounded in size.
#[derive(Debug)]
pub struct PrefixIndex {
    blocks: LruCache<u64, Vec<Holder>>,
    progress: HashMap<u32, Progress>,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        let capacity = NonZeroUsize::new(MAX_BLOCKS).unwrap_or(NonZeroUsize::MIN);
        PrefixIndex {
            blocks: LruCache::new(capacity),
            progress: HashMap::new(),
        }
    }
}

impl PrefixIndex {
    /// Adds an endpoint as a holder of these blocks.
    pub fn store(&mut self, endpoint: u32, blocks: &[u64]) {
        let generation = self.generation(endpoint);
        let holder = Holder {
            endpoint,
            generation,
        };
        for block in blocks {
            let holders = self.blocks.get_or_insert_mut(*block, Vec::new);
            holders.retain(|h| h.endpoint != endpoint);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(holder);
        }
    }

    /// Drops all entries of an endpoint.
    pub fn forget(&mut self, endpoint: u32) {
        self.progress.entry(endpoint).or_default().generation += 1;
    }

    /// Applies one cache event. Old and duplicate events change nothing.
    pub fn take_event(&mut self, endpoint: u32, event: &CacheEvent) {
        let expected = self.progress.entry(endpoint).or_default().next_sequence;
        if expected.is_some_and(|next| event.sequence < next) {
            return;
        }
        if expected.is_some_and(|next| event.sequence > next) {
            self.forget(endpoint);
        }
        self.progress.entry(endpoint).or_default().next_sequence = Some(event.sequence + 1);
        match &event.update {
            CacheUpdate::Stored(blocks) => self.store(endpoint, blocks),
            CacheUpdate::Evicted(blocks) => self.evict(endpoint, blocks),
            CacheUpdate::Cleared => self.forget(endpoint),
        }
    }

    /// Calls `found(endpoint, count)` for each endpoint that holds leading blocks, with rising
    /// counts.
    pub fn holders(&self, blocks: &[u64], mut found: impl FnMut(u32, usize)) {
        let mut holding: Vec<u32> = Vec::new();
        for (depth, block) in blocks.iter().enumerate() {
            let Some(holders) = self.blocks.peek(block) else {
                return;
            };
            let current = holders.iter().filter(|h| self.is_current(h));
            let mut holding_next: Vec<u32> = current.map(|h| h.endpoint).collect();
            // An engine can reuse a prefix only up to the first missing block.
            holding_next.retain(|e| depth == 0 || holding.contains(e));
            if holding_next.is_empty() {
                return;
            }
            holding_next.iter().for_each(|e| found(*e, depth + 1));
            holding = holding_next;
        }
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn evict(&mut self, endpoint: u32, blocks: &[u64]) {
        for block in blocks {
            if let Some(holders) = self.blocks.peek_mut(block) {
                holders.retain(|h| h.endpoint != endpoint);
            }
        }
    }

    fn generation(&self, endpoint: u32) -> u32 {
        self.progress.get(&endpoint).map_or(0, |p| p.generation)
    }

    fn is_current(&self, holder: &Holder) -> bool {
        holder.generation == self.generation(holder.endpoint)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn depth(index: &PrefixIndex, endpoint: u32, blocks: &[u64]) -> usize {
        let mut best = 0;
        index.holders(blocks, |e, depth| {
            if e == endpoint {
                best = depth;
            }
        });
        best
    }

    fn event(sequence: u64, update: CacheUpdate) -> CacheEvent {
        CacheEvent { sequence, update }
    }

    #[test]
    fn finds_the_longest_prefix_without_missing_blocks() {
        let mut index = PrefixIndex::default();
        index.store(1, &[10, 20, 30]);
        index.store(2, &[10, 30]);
        assert_eq!(depth(&index, 1, &[10, 20, 30, 40]), 3);
        assert_eq!(depth(&index, 2, &[10, 20, 30]), 1);
    }

    #[test]
    fn a_gap_in_the_events_drops_all_entries_of_the_endpoint() {
        let mut index = PrefixIndex::default();
        index.take_event(1, &event(5, CacheUpdate::Stored(vec![10])));
        index.take_event(1, &event(7, CacheUpdate::Stored(vec![11])));
        assert_eq!(depth(&index, 1, &[10]), 0);
        assert_eq!(depth(&index, 1, &[11]), 1);
    }

    #[test]
    fn late_and_duplicate_events_change_nothing() {
        let mut index = PrefixIndex::default();
        index.take_event(1, &event(5, CacheUpdate::Stored(vec![10])));
        index.take_event(1, &event(6, CacheUpdate::Evicted(vec![10])));
        index.take_event(1, &event(5, CacheUpdate::Stored(vec![10])));
        assert_eq!(depth(&index, 1, &[10]), 0);
    }

    #[test]
    fn the_index_stays_within_its_bound() {
        let mut index = PrefixIndex::default();
        let blocks: Vec<u64> = (0..MAX_BLOCKS as u64 * 2).collect();
        index.store(1, &blocks);
        assert_eq!(index.len(), MAX_BLOCKS);
    }
}
