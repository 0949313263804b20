//! The known rows of one topic.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::follower::Digest;
use crate::revision::Revision;

/// The last known change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// Its value, `None` if the row was deleted (a tombstone).
    pub value: Option<Vec<u8>>,
    /// Revision of the store that made the change.
    pub revision: Revision,
}

impl Change {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// The first changes of a longer list, in the order in which they were made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstChanges {
    /// The changes.
    pub changes: Vec<Change>,
    /// Revision up to which they are all changes; `None` if none was left out.
    pub complete_to: Option<Revision>,
}

impl FirstChanges {
    /// Takes changes of at most `max_bytes` bytes, but at least all of one revision.
    pub fn take(mut changes: Vec<Change>, max_bytes: usize) -> Self {
        changes.sort_by_key(|change| change.revision);
        let mut bytes = 0;
        let mut complete_to = None;
        for (at, change) in changes.iter().enumerate() {
            bytes += change.bytes();
            let before = at.checked_sub(1).map(|before| changes[before].revision);
            if let Some(before) = before.filter(|before| *before < change.revision) {
                if bytes > max_bytes {
                    complete_to = Some(before);
                    break;
                }
            }
        }
        if let Some(last) = complete_to {
            changes.retain(|change| change.revision <= last);
        }
        FirstChanges {
            changes,
            complete_to,
        }
    }
}

/// Some rows of a table, in ascending order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TablePage {
    /// The rows.
    pub rows: Vec<Change>,
    /// Whether the page is of all rows, instead of the requested changes.
    pub whole: bool,
    /// Whether rows with higher keys follow.
    pub more: bool,
}

/// Most tombstones kept. A reader whose known revision is older than the oldest of them gets all rows.
const MAX_TOMBSTONES: usize = 512;

/// Rows by key. Tombstones are kept so that an older change never overwrites a newer one.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Change>,
    // Every change between this revision and `known_to` is known.
    history_start: Revision,
    // That of the newest known change.
    newest_change: Revision,
    known_to: Option<Revision>,
    // The store no longer has the changes after `known_to`, so its rows have to be listed.
    needs_list: bool,
}

impl Table {
    /// Revision up to which all changes are known, `None` before the first answer.
    pub fn known_to(&self) -> Option<Revision> {
        self.known_to
    }

    /// Revision after which nothing changed up to [`Table::known_to`]: that of the newest known change or of the last
    /// list, whichever is later. A list does not show when the rows missing from it were deleted.
    pub fn changed_at(&self) -> Revision {
        self.newest_change.max(self.history_start)
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

    /// Records that nothing changed between the known revision and one of the same era. Other eras are ignored.
    pub fn advance(&mut self, known_to: Revision) {
        if self.known_to.is_none() || self.is_same_era(known_to) {
            self.known_to = self.known_to.max(Some(known_to));
        }
    }

    /// Applies the changes up to a revision and returns those that were not known. Changes of another era are ignored;
    /// after changes of a later era the rows have to be listed.
    pub fn apply_changes(&mut self, changes: Vec<Change>, known_to: Revision) -> Vec<Change> {
        if self.known_to.is_some() && !self.is_same_era(known_to) {
            self.needs_list |= !self.has_changes_up_to(known_to);
            return Vec::new();
        }
        let new_changes: Vec<Change> = changes
            .into_iter()
            .filter(|change| self.is_newer(change))
            .collect();
        for change in &new_changes {
            self.newest_change = self.newest_change.max(change.revision);
            self.rows.insert(change.key.clone(), change.clone());
        }
        self.advance(known_to);
        self.prune_tombstones();
        new_changes
    }

    /// Applies a list of all rows at a revision and returns what changed. Known rows that are older than the list and
    /// missing from it become tombstones. A list of an earlier era is ignored.
    pub fn apply_list(&mut self, rows: Vec<Change>, known_to: Revision) -> Vec<Change> {
        let is_of_later_era = |known: Revision| known.era > known_to.era;
        if self.known_to.is_some_and(is_of_later_era) {
            return Vec::new();
        }
        // A tombstone does not count as listed: a newer value of its row may be known here.
        let live = rows.iter().filter(|row| row.value.is_some());
        let listed: BTreeSet<String> = live.map(|row| row.key.clone()).collect();
        let unlisted = self.rows.values().filter(|row| {
            row.value.is_some() && row.revision <= known_to && !listed.contains(&row.key)
        });
        let deleted: Vec<Change> = unlisted
            .map(|row| Change {
                key: row.key.clone(),
                value: None,
                revision: known_to,
            })
            .collect();
        for change in &deleted {
            self.rows.insert(change.key.clone(), change.clone());
        }
        self.history_start = self.history_start.max(known_to);
        self.known_to = self.known_to.max(Some(known_to));
        self.needs_list = false;
        let mut new_changes = deleted;
        new_changes.extend(self.apply_changes(rows, known_to));
        // Gateways send one era for all rows, so tombstones of earlier eras are removed.
        self.rows.retain(|_, row| row.revision.era == known_to.era);
        new_changes
    }

    /// The changes after a revision, or `None` if not all of them are known.
    pub fn changes_since(&self, after: Revision) -> Option<Vec<Change>> {
        if after < self.history_start {
            return None;
        }
        let changes = self.rows.values().filter(|row| row.revision > after);
        Some(changes.cloned().collect())
    }

    /// Returns a page of the changes after a revision, or of all rows if not all of these changes are known. It starts
    /// after the key `after_key` and has at most `max_bytes` bytes, but at least one row if there is any.
    pub fn page(&self, after: Revision, after_key: Option<&str>, max_bytes: usize) -> TablePage {
        let whole = after < self.history_start;
        let begin = after_key.map_or(Bound::Unbounded, Bound::Excluded);
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
            if next.is_some_and(|bytes| bytes > max_bytes) {
                page.more = true;
                break;
            }
        }
        page
    }

    /// The row with a key, or its tombstone.
    pub fn row(&self, key: &str) -> Option<&Change> {
        self.rows.get(key)
    }

    /// All rows without the tombstones.
    pub fn live_rows(&self) -> Vec<Change> {
        let live = self.rows.values().filter(|row| row.value.is_some());
        live.cloned().collect()
    }

    /// All rows and the tombstones kept, from which a reader reaches the known revision of this table.
    pub fn rows_with_tombstones(&self) -> Vec<Change> {
        self.rows.values().cloned().collect()
    }

    /// Requires a list of all rows, because the store no longer has the history. The known rows stay available.
    pub fn require_list(&mut self) {
        self.needs_list = true;
    }

    /// Whether the store can be asked for changes; otherwise all rows have to be listed.
    pub fn can_poll_changes(&self) -> bool {
        self.known_to.is_some() && !self.needs_list
    }

    fn is_newer(&self, change: &Change) -> bool {
        let known = self.rows.get(&change.key);
        known.is_none_or(|known| known.revision < change.revision)
    }

    fn prune_tombstones(&mut self) {
        let tombstones = self.rows.values().filter(|row| row.value.is_none());
        let mut revisions: Vec<Revision> = tombstones.map(|row| row.revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() - MAX_TOMBSTONES / 2];
        self.history_start = self.history_start.max(oldest_kept);
        self.rows
            .retain(|_, row| row.value.is_some() || row.revision >= oldest_kept);
    }
}
