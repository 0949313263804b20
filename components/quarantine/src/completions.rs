//! Contents and prompt parts that recently ran well.

use std::time::Duration;

use crate::Fingerprint;

/// How long after a completed run endpoints that end while running the content are ignored.
const COMPLETION_TTL: Duration = Duration::from_secs(60);
/// Number of entries; of contents with the same index, the newest is kept. 24 bytes each.
const TABLE_SIZE: usize = 1024;

/// A table of fixed size with contents or prompt parts that ran well. Content that many callers request completes often enough to
/// be found here, so an endpoint that ends while running it does not make it suspect.
#[derive(Debug)]
pub(crate) struct RecentCompletions {
    entries: Vec<Option<(Fingerprint, Duration)>>,
}

impl Default for RecentCompletions {
    fn default() -> Self {
        RecentCompletions {
            entries: vec![None; TABLE_SIZE],
        }
    }
}

impl RecentCompletions {
    /// Records a completed run.
    pub fn record(&mut self, now: Duration, content: Fingerprint) {
        self.entries[index_of(content)] = Some((content, now));
    }

    /// Whether a content completed within [`COMPLETION_TTL`], as far as the table still holds it.
    pub fn contains(&self, now: Duration, content: Fingerprint) -> bool {
        let entry = self.entries[index_of(content)];
        entry.is_some_and(|(recorded, at)| recorded == content && now < at + COMPLETION_TTL)
    }
}

fn index_of(content: Fingerprint) -> usize {
    (content.0 % TABLE_SIZE as u64) as usize
}
