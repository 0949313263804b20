//! A fake endpoint in virtual time.

use std::collections::BTreeSet;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use schema::settings::Endpoint;

/// Prefill of one token that is not cached, in microseconds.
pub const PREFILL_US: u64 = 200;
/// Time between tokens.
pub const TOKEN_INTERVAL: Duration = Duration::from_millis(30);
/// Time of a service call.
pub const SERVICE_TIME: Duration = Duration::from_millis(8);
/// Blocks that an engine's prefix cache holds.
const CACHE_BLOCKS: usize = 1500;

/// Where a stream waits: by class, then by arrival.
type Place = (i32, u64, usize);

/// One endpoint.
pub struct Engine {
    /// What it is.
    pub spec: Endpoint,
    /// Streams that run.
    pub running: BTreeSet<usize>,
    /// Streams that wait.
    pub queue: BTreeSet<Place>,
    /// When its notice came, if it leaves.
    pub noticed_at: Option<Duration>,
    /// Whether its VM is gone.
    pub gone: bool,
    /// Time for which its VM was paid.
    pub held: Duration,
    /// When it was last paid for.
    pub paid_from: Duration,
    cache: LruCache<u64, ()>,
    places: u64,
}

impl Engine {
    /// An endpoint with an empty cache.
    pub fn new(spec: Endpoint) -> Self {
        let blocks = NonZeroUsize::new(CACHE_BLOCKS).unwrap_or(NonZeroUsize::MIN);
        Engine {
            spec,
            running: BTreeSet::new(),
            queue: BTreeSet::new(),
            noticed_at: None,
            gone: false,
            held: Duration::ZERO,
            paid_from: Duration::ZERO,
            cache: LruCache::new(blocks),
            places: 0,
        }
    }

    /// Takes a stream into the queue.
    pub fn enqueue(&mut self, class: i32, stream: usize) {
        self.places += 1;
        self.queue.insert((class, self.places, stream));
    }

    /// Takes out a stream, whether it runs or waits.
    pub fn remove(&mut self, stream: usize) {
        self.running.remove(&stream);
        self.queue.retain(|(_, _, s)| *s != stream);
    }

    /// The next stream to start, if a slot is free.
    pub fn next(&mut self) -> Option<usize> {
        if self.gone || self.running.len() >= self.spec.slots.max(1) as usize {
            return None;
        }
        let (_, _, stream) = self.queue.pop_first()?;
        self.running.insert(stream);
        Some(stream)
    }

    /// Leading blocks that are cached; all of them are cached afterwards.
    pub fn prefill(&mut self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|b| self.cache.contains(b)).count();
        for block in blocks {
            self.cache.put(*block, ());
        }
        cached
    }

    /// A new VM bears the name: its cache is empty.
    pub fn replace(&mut self, now: Duration) {
        self.cache.clear();
        self.noticed_at = None;
        self.gone = false;
        self.paid_from = now;
    }

    /// The VM goes.
    pub fn go(&mut self, now: Duration) {
        self.gone = true;
        self.held += now - self.paid_from;
    }

    /// Time paid for until now.
    pub fn paid(&self, now: Duration) -> Duration {
        match self.gone {
            true => self.held,
            false => self.held + (now - self.paid_from),
        }
    }
}
