//! A sorted list in chunks: a change moves the items of one chunk only, and reading all items in order reads memory in order.

use std::cmp::Ordering;

/// Maximum number of items in a chunk.
const MAX_CHUNK: usize = 128;
/// A position is the index of the chunk times this, plus the index within the chunk. Positions are in the order of the items
/// and valid until the next insertion or removal.
const CHUNK_STRIDE: usize = MAX_CHUNK * 2;

/// A sorted list of large items.
#[derive(Debug)]
pub(crate) struct Chunks<T> {
    // None of them is empty.
    chunks: Vec<Vec<T>>,
}

impl<T> Default for Chunks<T> {
    fn default() -> Self {
        Chunks { chunks: Vec::new() }
    }
}

impl<T> Chunks<T> {
    /// Returns the item at a position.
    pub fn at(&self, position: usize) -> &T {
        &self.chunks[position / CHUNK_STRIDE][position % CHUNK_STRIDE]
    }

    /// Returns the item at a position for changes.
    pub fn at_mut(&mut self, position: usize) -> &mut T {
        &mut self.chunks[position / CHUNK_STRIDE][position % CHUNK_STRIDE]
    }

    /// Iterates over all items and their positions, in order.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        let chunks = self.chunks.iter().enumerate();
        chunks.flat_map(|(chunk, items)| {
            let items = items.iter().enumerate();
            items.map(move |(index, item)| (chunk * CHUNK_STRIDE + index, item))
        })
    }

    /// Iterates over all items for changes, in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.chunks.iter_mut().flatten()
    }

    /// Returns the position of an item, or the position at which to insert it. `compare` compares an item with the wanted one.
    pub fn search(&self, compare: impl Fn(&T) -> Ordering) -> Result<usize, usize> {
        let is_after = |chunk: &Vec<T>| compare(&chunk[0]) == Ordering::Greater;
        let chunk = self.chunks.partition_point(|chunk| !is_after(chunk));
        let chunk = chunk.saturating_sub(1);
        let items = self.chunks.get(chunk).map(Vec::as_slice);
        let found = items.unwrap_or_default().binary_search_by(compare);
        let position = |index| chunk * CHUNK_STRIDE + index;
        found.map(position).map_err(position)
    }

    /// Inserts an item at a position that [`Chunks::search`] returned for it.
    pub fn insert(&mut self, position: usize, item: T) {
        let (chunk, index) = (position / CHUNK_STRIDE, position % CHUNK_STRIDE);
        let Some(items) = self.chunks.get_mut(chunk) else {
            self.chunks.push(vec![item]);
            return;
        };
        items.insert(index, item);
        if items.len() > MAX_CHUNK {
            let rest = items.split_off(MAX_CHUNK / 2);
            self.chunks.insert(chunk + 1, rest);
        }
    }

    /// Removes the item at a position.
    pub fn remove(&mut self, position: usize) -> T {
        let (chunk, index) = (position / CHUNK_STRIDE, position % CHUNK_STRIDE);
        let item = self.chunks[chunk].remove(index);
        if self.chunks[chunk].is_empty() {
            self.chunks.remove(chunk);
        }
        item
    }
}
