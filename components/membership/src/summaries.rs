//! What other cells report of their pools.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::Summary;

/// Summaries that wait to be reported on.
const MAX_RELAYED: usize = 64;
/// Age at which a summary is forgotten.
const KEEP: Duration = Duration::from_secs(120);

/// A summary and when it was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownSummary {
    /// What was reported.
    pub summary: Summary,
    /// When it was heard here.
    pub heard: Duration,
}

/// The newest summary of each pool of each other cell.
#[derive(Debug, Default)]
pub struct Summaries {
    known: BTreeMap<(String, String), KnownSummary>,
    relayed: Vec<Summary>,
}

impl Summaries {
    /// Takes a summary; if it is gossip, names the endpoints that the one before had as leaving and
    /// this one has not. Of one speaker the higher round counts, and another
    /// speaker of the cell counts when it is heard directly or the known one is old.
    pub fn receive(&mut self, now: Duration, summary: &Summary) -> Option<Vec<String>> {
        let key = (summary.cell.clone(), summary.pool.clone());
        let stale = |known: &KnownSummary| match known.summary.speaker == summary.speaker {
            true => summary.round > known.summary.round,
            false => summary.round > known.summary.round || now > known.heard + KEEP / 4,
        };
        if !self.known.get(&key).is_none_or(stale) {
            return None;
        }
        let known = KnownSummary {
            summary: summary.clone(),
            heard: now,
        };
        let before = self.known.insert(key, known);
        let left = before.map(|k| k.summary.leaving).unwrap_or_default();
        let back = |name: &String| !summary.leaving.contains(name);
        Some(left.into_iter().filter(back).collect())
    }

    /// Keeps what another cell reported to this node, to be reported to the own cell once.
    pub fn relay<'a>(&mut self, summaries: impl Iterator<Item = &'a Summary>) {
        self.relayed.extend(summaries.cloned());
        self.relayed.truncate(MAX_RELAYED);
    }

    /// Summaries for the next packet to the own cell.
    pub fn take_relayed(&mut self, now: Duration) -> Vec<Summary> {
        self.known.retain(|_, k| now.saturating_sub(k.heard) < KEEP);
        std::mem::take(&mut self.relayed)
    }

    /// All summaries.
    pub fn iter(&self) -> impl Iterator<Item = &KnownSummary> {
        self.known.values()
    }
}
