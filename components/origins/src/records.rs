//! Records of streams and the software versions that began them.

use std::time::Duration;

use lru::LruCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of records. Each takes about 150 bytes.
pub const MAX_RECORDS: usize = 65_536;

/// Identifies a stream: a hash of the team that asked for it and of the id of the attempt that brought its first event. The
/// team is a part of it, so that no team learns of another team's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of the stream that an attempt of a team began.
    pub fn new(team: Option<&str>, attempt: &str) -> Self {
        let team = xxh3_64_with_seed(team.unwrap_or_default().as_bytes(), 0);
        StreamKey(xxh3_64_with_seed(attempt.as_bytes(), team))
    }
}

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This version began it.
    Version(String),
    /// It cannot be known: reports differ, or the endpoint restarted with another version.
    Ambiguous,
}

#[derive(Clone, Debug)]
struct Record {
    origin: Origin,
    expires_at: Duration,
}

/// A bounded table of streams. The records that were written longest ago are dropped first.
#[derive(Debug)]
pub struct StreamRecords {
    records: LruCache<StreamKey, Record>,
    dropped: u64,
}

impl Default for StreamRecords {
    fn default() -> Self {
        StreamRecords {
            records: LruCache::unbounded(),
            dropped: 0,
        }
    }
}

impl StreamRecords {
    /// Records the origin of a stream for `lifetime`. A version other than the known one makes the origin ambiguous.
    pub fn record(&mut self, now: Duration, key: StreamKey, origin: Origin, lifetime: Duration) {
        self.drop_expired(now);
        let expires_at = now + lifetime;
        let record = match self.records.pop(&key) {
            Some(known) if known.expires_at > now => Record {
                origin: match known.origin == origin {
                    true => origin,
                    false => Origin::Ambiguous,
                },
                expires_at: expires_at.max(known.expires_at),
            },
            _ => Record { origin, expires_at },
        };
        self.records.put(key, record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_lru();
            self.dropped += 1;
        }
    }

    /// Origin of a stream, if it is recorded.
    pub fn origin(&self, now: Duration, key: StreamKey) -> Option<&Origin> {
        let record = self.records.peek(&key)?;
        (now < record.expires_at).then_some(&record.origin)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records that were dropped before they expired, since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    // Records of one service expire nearly in the order in which they were written.
    fn drop_expired(&mut self, now: Duration) {
        while self
            .records
            .peek_lru()
            .is_some_and(|(_, record)| record.expires_at <= now)
        {
            self.records.pop_lru();
        }
    }
}
