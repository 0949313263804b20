//! The rows of one topic as far as they are known here.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// One row as it was last changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// Its value, `None` once it was dropped.
    pub value: Option<Vec<u8>>,
    /// Revision of the store that changed it.
    pub revision: u64,
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
    base: u64,
    known_to: Option<u64>,
    // The store does not know the changes since then any more: its rows have to be listed.
    restarted: bool,
}

impl Table {
    /// Revision up to which all changes are known, `None` before the first answer.
    pub fn known_to(&self) -> Option<u64> {
        self.known_to
    }

    /// Revision after which nothing changed up to [`Table::known_to`]: that of the newest change, or of
    /// the list that this copy began with, which does not show when the rows it lacks were dropped.
    pub fn changed_at(&self) -> u64 {
        let revisions = self.rows.values().map(|row| row.revision);
        revisions.max().unwrap_or(0).max(self.base)
    }

    /// Whether all changes up to a revision are known.
    pub fn covers(&self, revision: u64) -> bool {
        self.known_to.is_some_and(|known_to| known_to >= revision)
    }

    /// Nothing changed between what is known here and a revision.
    pub fn advance(&mut self, known_to: u64) {
        self.known_to = self.known_to.max(Some(known_to));
    }

    /// Takes changes up to a revision and returns those that were not known.
    pub fn take(&mut self, changes: Vec<Change>, known_to: u64) -> Vec<Change> {
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
    /// among them and are older have been dropped.
    pub fn take_all(&mut self, rows: Vec<Change>, known_to: u64) -> Vec<Change> {
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
        self.restarted = false;
        let mut gossip = dropped;
        gossip.extend(self.take(rows, known_to));
        gossip
    }

    /// The changes after a revision, or `None` if not all of them are known.
    pub fn since(&self, after: u64) -> Option<Vec<Change>> {
        if after < self.base {
            return None;
        }
        let changes = self.rows.values().filter(|row| row.revision > after);
        Some(changes.cloned().collect())
    }

    /// Some rows by rising key, after `from`: the changes after a revision, or all rows if not all changes are known.
    /// At least one row, and no more once they have `most` bytes.
    pub fn page(&self, after: u64, from: Option<&str>, most: usize) -> TablePage {
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

    /// All rows that stand.
    pub fn standing(&self) -> Vec<Change> {
        let standing = self.rows.values().filter(|row| row.value.is_some());
        standing.cloned().collect()
    }

    /// All rows, with those dropped that are remembered: a reader gets as far as this copy.
    pub fn all(&self) -> Vec<Change> {
        self.rows.values().cloned().collect()
    }

    /// The store's history is gone. What is known stays, also for others.
    pub fn restart(&mut self) {
        self.restarted = true;
    }

    /// Whether the store can be asked for changes, and not only for all rows.
    pub fn can_go_on(&self) -> bool {
        self.known_to.is_some() && !self.restarted
    }

    fn is_newer(&self, change: &Change) -> bool {
        let known = self.rows.get(&change.key);
        known.is_none_or(|known| known.revision < change.revision)
    }

    fn forget_dropped(&mut self) {
        let dropped = self.rows.values().filter(|row| row.value.is_none());
        let mut revisions: Vec<u64> = dropped.map(|row| row.revision).collect();
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
