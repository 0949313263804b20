//! Pool summaries received from other cells.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::Summary;

/// Upper limit of summaries queued to be relayed to the own cell.
const MAX_RELAYED_SUMMARIES: usize = 64;
/// Age at which a summary is dropped.
const SUMMARY_TTL: Duration = Duration::from_secs(120);

/// A summary and when it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownSummary {
    /// The summary as received.
    pub summary: Summary,
    /// When this node received it.
    pub received_at: Duration,
}

/// The newest summary of each pool of each other cell.
#[derive(Debug, Default)]
pub struct Summaries {
    known: BTreeMap<(String, String), KnownSummary>,
    relay_queue: Vec<Summary>,
}

impl Summaries {
    /// Stores a summary that is newer than the known one. Returns the endpoints that the known one
    /// listed as leaving and the new one does not, or `None` if the summary was not stored.
    ///
    /// A summary with a higher round is newer. Each speaker counts rounds from its own incarnation,
    /// so a summary from another speaker is also stored once the known one is older than a quarter
    /// of `SUMMARY_TTL`.
    pub fn receive(&mut self, now: Duration, summary: &Summary) -> Option<Vec<String>> {
        let key = (summary.cell.clone(), summary.pool.clone());
        let is_superseded = |known: &KnownSummary| match known.summary.speaker == summary.speaker {
            true => summary.round > known.summary.round,
            false => {
                summary.round > known.summary.round || now > known.received_at + SUMMARY_TTL / 4
            }
        };
        if !self.known.get(&key).is_none_or(is_superseded) {
            return None;
        }
        let known = KnownSummary {
            summary: summary.clone(),
            received_at: now,
        };
        let previous = self.known.insert(key, known);
        let was_leaving = previous.map(|k| k.summary.leaving).unwrap_or_default();
        let is_no_longer_leaving = |name: &String| !summary.leaving.contains(name);
        Some(
            was_leaving
                .into_iter()
                .filter(is_no_longer_leaving)
                .collect(),
        )
    }

    /// Queues summaries received from another cell, to be relayed to the own cell once.
    pub fn queue_for_relay<'a>(&mut self, summaries: impl Iterator<Item = &'a Summary>) {
        self.relay_queue.extend(summaries.cloned());
        self.relay_queue.truncate(MAX_RELAYED_SUMMARIES);
    }

    /// Drops summaries older than `SUMMARY_TTL` and returns the ones queued for the own cell.
    pub fn drain_relay_queue(&mut self, now: Duration) -> Vec<Summary> {
        self.known
            .retain(|_, k| now.saturating_sub(k.received_at) < SUMMARY_TTL);
        std::mem::take(&mut self.relay_queue)
    }

    /// All known summaries.
    pub fn iter(&self) -> impl Iterator<Item = &KnownSummary> {
        self.known.values()
    }
}
