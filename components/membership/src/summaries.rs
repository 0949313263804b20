//! What other cells tell of their pools.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::Summary;

/// Summaries in one packet.
const MAX_PER_PACKET: usize = 3;
/// Age at which a summary is forgotten.
const KEEP: Duration = Duration::from_secs(120);

/// A summary and when it was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownSummary {
    /// What was told.
    pub summary: Summary,
    /// When it was heard here.
    pub heard: Duration,
}

/// The newest summary of each pool of each other cell.
#[derive(Debug, Default)]
pub struct Summaries {
    known: BTreeMap<(String, String), KnownSummary>,
    next: usize,
}

impl Summaries {
    /// Takes a summary; `true` if it is news. Of one speaker the higher round counts, and another
    /// speaker of the cell counts when it is heard directly or the known one is old.
    pub fn hear(&mut self, now: Duration, summary: &Summary) -> bool {
        let key = (summary.cell.clone(), summary.pool.clone());
        let stale = |known: &KnownSummary| match known.summary.speaker == summary.speaker {
            true => summary.round > known.summary.round,
            false => summary.round > known.summary.round || now > known.heard + KEEP / 4,
        };
        if !self.known.get(&key).is_none_or(stale) {
            return false;
        }
        let known = KnownSummary {
            summary: summary.clone(),
            heard: now,
        };
        self.known.insert(key, known);
        true
    }

    /// Summaries for the next packet to the own cell, in turn.
    pub fn next(&mut self, now: Duration) -> Vec<Summary> {
        self.known.retain(|_, k| now.saturating_sub(k.heard) < KEEP);
        let count = self.known.len().min(MAX_PER_PACKET);
        let values: Vec<&KnownSummary> = self.known.values().collect();
        let turn = (0..count).map(|i| values[(self.next + i) % values.len()].summary.clone());
        let summaries = turn.collect();
        self.next = self.next.wrapping_add(count);
        summaries
    }

    /// All summaries.
    pub fn iter(&self) -> impl Iterator<Item = &KnownSummary> {
        self.known.values()
    }

    /// Number of summaries.
    pub fn len(&self) -> usize {
        self.known.len()
    }
}
