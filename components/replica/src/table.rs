//! The rows of one topic as far as they are known here.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::follower::Digest;
use crate::revision::Revision;

/// One row as it was last changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// Its value, `None` once it was dropped.
    pub value: Option<Vec<u8>>,
    /// Revision of the store that changed it.
    pub revision: Revision,
}

impl Change {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Rows of a table by rising key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TablePage {
    /// The rows.
    pub rows: Vec<Change>,
    /// Whether they are of all rows, or of the changes asked for.
    pub whole: bool,
    /// Whether rows with higher keys follow.
    pub more: bool,
}

/// Dropped rows that are remembered at most; a reader behind the oldest of them gets all rows.
const MOST_DROPPED: usize = 512;

/// Rows by key, dropped ones included, so that older gossip never undoes newer ones.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Change>,
    // Every change after this revision is known.
    base: Revision,
    known_to: Option<Revision>,
    // The store does not know the changes since then any more: its rows have to be listed.
    restarted: bool,
}

impl Table {
    /// Revision up to which all changes are known, `None` before the first answer.
    pub fn known_to(&self) -> Option<Revision> {
        self.known_to
    }

    /// Revision after which nothing changed up to [`Table::known_to`]: that of the newest change, or of
    /// the list that this copy began with, which does not show when the rows it lacks were dropped.
    pub fn changed_at(&self) -> Revision {
        let revisions = self.rows.values().map(|row| row.revision);
        revisions.max().unwrap_or_default().max(self.base)
    }

    /// Whether all changes up to a revision are known.
    pub fn has_changes_up_to(&self, revision: Revision) -> bool {
        self.known_to.is_some_and(|known_to| known_to >= revision)
    }

    /// Whether a digest confirms that the known rows are current. A digest of another era does not, even if its
    /// revision numbers are higher.
    pub fn is_confirmed_by(&self, reported: &Digest) -> bool {
        self.has_changes_up_to(reported.changed_at) && self.is_same_era(reported.known_to)
    }

    /// Whether the known rows are of the era of a revision.
    pub fn is_same_era(&self, revision: Revision) -> bool {
        self.known_to
            .is_some_and(|known_to| known_to.era == revision.era)
    }

    /// Nothing changed between what is known here and a revision of the same era. Other eras are ignored.
    pub fn advance(&mut self, known_to: Revision) {
        if self.known_to.is_none() || self.is_same_era(known_to) {
            self.known_to = self.known_to.max(Some(known_to));
        }
    }

    /// Takes changes up to a revision and returns those that were not known. Changes of another era are
    /// ignored; those of a later era require a list first.
    pub fn apply_changes(&mut self, changes: Vec<Change>, known_to: Revision) -> Vec<Change> {
        if self.known_to.is_some() && !self.is_same_era(known_to) {
            self.restarted |= !self.has_changes_up_to(known_to);
            return Vec::new();
        }
        let gossip: Vec<Change> = changes
            .into_iter()
            .filter(|change| self.is_newer(change))
            .collect();
        for change in &gossip {
            self.rows.insert(change.key.clone(), change.clone());
        }
        self.advance(known_to);
        self.forget_dropped();
        gossip
    }

    /// Takes all rows as they stood at a revision and returns what changed; rows that are not
    /// among them and are older have been dropped. Rows of an earlier era are ignored.
    pub fn apply_list(&mut self, rows: Vec<Change>, known_to: Revision) -> Vec<Change> {
        let is_of_later_era = |known: Revision| known.era > known_to.era;
        if self.known_to.is_some_and(is_of_later_era) {
            return Vec::new();
        }
        // A dropped row does not count as listed: a newer value of it may be known here.
        let standing = rows.iter().filter(|row| row.value.is_some());
        let listed: BTreeSet<String> = standing.map(|row| row.key.clone()).collect();
        let unlisted = self.rows.values().filter(|row| {
            row.value.is_some() && row.revision <= known_to && !listed.contains(&row.key)
        });
        let dropped: Vec<Change> = unlisted
            .map(|row| Change {
                key: row.key.clone(),
                value: None,
                revision: known_to,
            })
            .collect();
        for change in &dropped {
            self.rows.insert(change.key.clone(), change.clone());
        }
        self.base = self.base.max(known_to);
        self.known_to = self.known_to.max(Some(known_to));
        self.restarted = false;
        let mut gossip = dropped;
        gossip.extend(self.apply_changes(rows, known_to));
        // Gateways send one era for all rows, so tombstones of earlier eras must not remain.
        self.rows.retain(|_, row| row.revision.era == known_to.era);
        gossip
    }

    /// The changes after a revision, or `None` if not all of them are known.
    pub fn changes_since(&self, after: Revision) -> Option<Vec<Change>> {
        if after < self.base {
            return None;
        }
        let changes = self.rows.values().filter(|row| row.revision > after);
        Some(changes.cloned().collect())
    }

    /// Some rows by rising key, after `from`: the changes after a revision, or all rows if not all changes are known.
    /// At least one row, and no more once they have `most` bytes.
    pub fn page(&self, after: Revision, from: Option<&str>, most: usize) -> TablePage {
        let whole = after < self.base;
        let begin = from.map_or(Bound::Unbounded, Bound::Excluded);
        let rows = self.rows.range::<str, _>((begin, Bound::Unbounded));
        let mut wanted = rows
            .map(|(_, row)| row)
            .filter(|row| whole || row.revision > after)
            .peekable();
        let mut page = TablePage {
            rows: Vec::new(),
            whole,
            more: false,
        };
        let mut bytes = 0;
        while let Some(row) = wanted.next() {
            bytes += row.bytes();
            page.rows.push(row.clone());
            let next = wanted.peek().map(|next| bytes + next.bytes());
            if next.is_some_and(|bytes| bytes > most) {
                page.more = true;
                break;
            }
        }
        page
    }

    /// The row with a key, including a dropped one.
    pub fn row(&self, key: &str) -> Option<&Change> {
        self.rows.get(key)
    }

    /// All rows that stand.
    pub fn live_rows(&self) -> Vec<Change> {
        let standing = self.rows.values().filter(|row| row.value.is_some());
        standing.cloned().collect()
    }

    /// All rows, with those dropped that are remembered: a reader gets as far as this copy.
    pub fn rows_with_tombstones(&self) -> Vec<Change> {
        self.rows.values().cloned().collect()
    }

    /// The store's history is gone. What is known stays, also for others.
    pub fn require_list(&mut self) {
        self.restarted = true;
    }

    /// Whether the store can be asked for changes, and not only for all rows.
    pub fn can_poll_changes(&self) -> bool {
        self.known_to.is_some() && !self.restarted
    }

    fn is_newer(&self, change: &Change) -> bool {
        let known = self.rows.get(&change.key);
        known.is_none_or(|known| known.revision < change.revision)
    }

    fn forget_dropped(&mut self) {
        let dropped = self.rows.values().filter(|row| row.value.is_none());
        let mut revisions: Vec<Revision> = dropped.map(|row| row.revision).collect();
        if revisions.len() <= MOST_DROPPED {
            return;
        }
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() - MOST_DROPPED / 2];
        self.base = self.base.max(oldest_kept);
        self.rows
            .retain(|_, row| row.value.is_some() || row.revision >= oldest_kept);
    }
}
