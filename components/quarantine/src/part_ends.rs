//! Ends of endpoints, and the prompt parts that may have caused them.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::Fingerprint;

/// How long an ended run makes its parts suspect.
const SUSPICION_TTL: Duration = Duration::from_secs(600);
/// Ends that are closer together count once, unless the later run was sent after the earlier end: endpoints that end
/// together for another reason than their requests make suspects of all parts that ran there.
const MIN_END_SPACING: Duration = Duration::from_millis(100);
/// Maximum number of runs; the oldest are dropped first. At most 200 bytes each.
const MAX_RUNS: usize = 1024;

/// Which ends of endpoints on a part are separate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndSpacing {
    /// All of different endpoints.
    Any,
    /// Those that are [`MIN_END_SPACING`] apart, or of which the later run was sent after the earlier end.
    Apart,
}

/// A run whose endpoint ended when it could just have begun to write the answer.
#[derive(Clone, Debug)]
struct SuspectRun {
    endpoint: u64,
    ended_at: Duration,
    sent_at: Duration,
    /// Parts that ran at no other endpoint since.
    parts: Vec<Fingerprint>,
}

impl SuspectRun {
    fn has(&self, part: Fingerprint) -> bool {
        self.parts.contains(&part)
    }
}

/// Runs whose endpoints ended, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PartEnds {
    runs: VecDeque<SuspectRun>,
}

impl PartEnds {
    /// Records a run whose endpoint ended. Returns whether it is news.
    pub fn record(
        &mut self,
        now: Duration,
        endpoint: u64,
        ran_for: Duration,
        parts: &[Fingerprint],
    ) -> bool {
        self.runs
            .retain(|run| now < run.ended_at + SUSPICION_TTL && !run.parts.is_empty());
        let is_known = |run: &SuspectRun| run.endpoint == endpoint && run.parts == parts;
        if parts.is_empty() || self.runs.iter().any(is_known) {
            return false;
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(SuspectRun {
            endpoint,
            ended_at: now,
            sent_at: now.saturating_sub(ran_for),
            parts: parts.to_vec(),
        });
        true
    }

    /// Records that an endpoint went on after it had begun to write an answer on this part. Returns whether the part was
    /// suspect.
    pub fn clear(&mut self, part: Fingerprint) -> bool {
        let was_suspect = self.is_suspect(part);
        if was_suspect {
            for run in &mut self.runs {
                run.parts.retain(|suspect| *suspect != part);
            }
        }
        was_suspect
    }

    /// Whether an endpoint ended on this part, and none went on since.
    pub fn is_suspect(&self, part: Fingerprint) -> bool {
        self.runs.iter().any(|run| run.has(part))
    }

    /// All suspect parts, those of the newest ends first.
    pub fn parts(&self) -> Vec<Fingerprint> {
        let newest_first = self
            .runs
            .iter()
            .rev()
            .flat_map(|run| run.parts.iter().copied());
        let mut known = BTreeSet::new();
        newest_first.filter(|part| known.insert(*part)).collect()
    }

    /// Number of separate ends of endpoints on a part. Not counted are ends on which one of the `explanations` ran too: groups
    /// of parts that are known to end endpoints.
    pub fn count_ends(
        &self,
        part: Fingerprint,
        spacing: EndSpacing,
        explanations: &[Vec<Fingerprint>],
    ) -> usize {
        let is_explained = |run: &SuspectRun| {
            let explains = |group: &Vec<Fingerprint>| group.iter().all(|part| run.has(*part));
            explanations.iter().any(explains)
        };
        let explained = self.runs.iter().filter(|run| is_explained(run));
        let mut ended: BTreeSet<u64> = explained.map(|run| run.endpoint).collect();
        let mut last_end = None;
        let mut count = 0;
        for run in self.runs.iter().filter(|run| run.has(part)) {
            if !ended.insert(run.endpoint) {
                continue;
            }
            let is_separate = last_end.is_none_or(|last_end| {
                spacing == EndSpacing::Any
                    || run.sent_at >= last_end
                    || run.ended_at >= last_end + MIN_END_SPACING
            });
            if is_separate {
                count += 1;
                last_end = Some(run.ended_at);
            }
        }
        count
    }

    /// The suspect parts that every run with this part has, in order: what ends endpoints is this part or another one of
    /// these.
    pub fn inseparable(&self, part: Fingerprint) -> Vec<Fingerprint> {
        let mut with_part = self.runs.iter().filter(|run| run.has(part));
        let mut common = with_part
            .next()
            .map_or_else(Vec::new, |run| run.parts.clone());
        for run in with_part {
            common.retain(|other| run.has(*other));
        }
        common.sort_unstable();
        common.dedup();
        common
    }

    /// Whether each end on these parts could as well have been caused by another part that ran at the endpoint.
    pub fn has_other_suspects(&self, parts: &[Fingerprint]) -> bool {
        let is_on_parts = |run: &&SuspectRun| parts.iter().all(|part| run.has(*part));
        let ended: BTreeSet<u64> = self
            .runs
            .iter()
            .filter(is_on_parts)
            .map(|run| run.endpoint)
            .collect();
        let has_other = |endpoint: &u64| {
            let mut runs = self.runs.iter().filter(|run| run.endpoint == *endpoint);
            runs.any(|run| run.parts.iter().any(|part| !parts.contains(part)))
        };
        ended.iter().all(has_other)
    }
}
