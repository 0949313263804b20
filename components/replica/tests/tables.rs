//! Copies of the store's rows that gateways pull from each other.

use quickcheck::{Gen, QuickCheck, TestResult};
use replica::{Change, FirstChanges, Revision, Table};

const SEED: u64 = 20261202;
const CASES: u64 = 2000;

// A revision of a store that was never restored.
fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn change(key: u8, value: Option<u8>, revision: u64) -> Change {
    Change {
        key: format!("k{key}"),
        value: value.map(|value| vec![value]),
        revision: rev(revision),
    }
}

// Rows of a store after some writes: one row or tombstone per key, at the revision of its last write.
fn written(writes: &[(u8, Option<u8>)]) -> Vec<Change> {
    let mut rows: Vec<Change> = Vec::new();
    for (revision, (key, value)) in (1..).zip(writes) {
        let row = change(key % 8, *value, revision);
        rows.retain(|other| other.key != row.key);
        rows.push(row);
    }
    rows
}

fn without_tombstones(rows: &[Change]) -> Vec<Change> {
    let mut rows: Vec<Change> = rows.iter().filter(|r| r.value.is_some()).cloned().collect();
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows
}

#[test]
fn an_older_change_never_overwrites_a_newer_one() {
    let mut table = Table::default();
    table.apply_changes(vec![change(1, Some(2), 9)], rev(9));
    assert!(table
        .apply_changes(vec![change(1, Some(1), 5)], rev(5))
        .is_empty());
    assert!(table
        .apply_changes(vec![change(1, None, 8)], rev(8))
        .is_empty());
    assert_eq!(table.live_rows(), [change(1, Some(2), 9)]);
    assert_eq!(table.known_to(), Some(rev(9)));
}

#[test]
fn a_row_missing_from_a_list_is_deleted_unless_it_is_newer_than_the_list() {
    let mut table = Table::default();
    table.apply_changes(vec![change(1, Some(1), 3), change(2, Some(1), 12)], rev(12));
    let new_changes = table.apply_list(vec![change(3, Some(1), 7)], rev(10));
    assert_eq!(new_changes, [change(1, None, 10), change(3, Some(1), 7)]);
    let live_rows = table.live_rows();
    assert_eq!(live_rows, [change(2, Some(1), 12), change(3, Some(1), 7)]);
}

#[test]
fn a_reader_behind_the_first_list_of_a_copy_gets_all_rows() {
    let mut table = Table::default();
    table.apply_list(vec![change(1, Some(1), 3)], rev(10));
    assert_eq!(table.changes_since(rev(9)), None);
    table.apply_changes(vec![change(2, None, 11)], rev(11));
    assert_eq!(
        table.changes_since(rev(10)),
        Some(vec![change(2, None, 11)])
    );
}

#[test]
fn a_row_deleted_before_a_copy_was_listed_is_deleted_in_stale_copies_that_pull_from_it() {
    let mut stale = Table::default();
    stale.apply_list(
        vec![change(1, Some(1), 40), change(2, Some(1), 140)],
        rev(155),
    );
    // Row 1 was deleted at revision 160, before the first list of this copy.
    let mut fresh = Table::default();
    fresh.apply_list(vec![change(2, Some(1), 140)], rev(170));
    assert!(!stale.has_changes_up_to(fresh.changed_at()));
    pull(&mut stale, &fresh);
    assert_eq!(stale.live_rows(), [change(2, Some(1), 140)]);
    assert!(stale.has_changes_up_to(fresh.changed_at()));
}

// Guards against counting a tombstone of the source as a listed row, which kept a deleted row at the reader.
#[test]
fn a_row_is_deleted_when_a_full_pull_has_only_an_older_tombstone_of_it() {
    let mut source = Table::default();
    source.apply_changes(vec![change(1, None, 1)], rev(1));
    let mut reader = Table::default();
    reader.apply_list(vec![change(1, Some(2), 2)], rev(2));
    // The row was deleted again at revision 3 and is not listed, so the source keeps only the tombstone of revision 1.
    source.apply_list(Vec::new(), rev(3));
    pull(&mut reader, &source);
    assert!(reader.live_rows().is_empty());
}

#[test]
fn an_older_copy_that_advanced_past_the_list_of_a_newer_copy_has_all_its_changes() {
    let mut older = Table::default();
    older.apply_list(vec![change(1, Some(1), 40)], rev(100));
    older.advance(rev(200));
    let mut fresh = Table::default();
    fresh.apply_list(vec![change(1, Some(1), 40)], rev(170));
    assert!(older.has_changes_up_to(fresh.changed_at()));
}

#[test]
fn a_copy_whose_store_lost_its_history_still_serves_readers() {
    let mut table = Table::default();
    table.apply_list(vec![change(1, Some(1), 3)], rev(10));
    table.require_list();
    assert!(!table.can_poll_changes());
    assert_eq!(table.known_to(), Some(rev(10)));
    assert_eq!(table.changes_since(rev(10)), Some(Vec::new()));
    table.apply_list(vec![change(1, Some(1), 3)], rev(12));
    assert!(table.can_poll_changes());
}

#[test]
fn old_tombstones_are_pruned_and_readers_behind_them_get_all_rows() {
    let mut table = Table::default();
    for revision in 1..=5000 {
        let deleted = Change {
            key: format!("k{revision}"),
            value: None,
            revision: rev(revision),
        };
        table.apply_changes(vec![deleted], rev(revision));
    }
    assert_eq!(table.changes_since(rev(0)), None);
    let kept = table.changes_since(rev(4990)).map(|rows| rows.len());
    assert_eq!(kept, Some(10));
}

#[test]
fn a_copy_pulled_in_steps_from_another_copy_has_the_rows_of_the_store() {
    fn property(
        writes: Vec<(u8, Option<u8>)>,
        listed_after: u8,
        pulled_after: Vec<u8>,
    ) -> TestResult {
        if writes.is_empty() {
            return TestResult::discard();
        }
        // The first copy lists the rows halfway and applies each later change.
        let list_at = usize::from(listed_after) % writes.len();
        let mut first = Table::default();
        let mut second = Table::default();
        first.apply_list(
            without_tombstones(&written(&writes[..list_at])),
            rev(list_at as u64),
        );
        for count in list_at..writes.len() {
            let rows = written(&writes[..=count]);
            let newest = rows
                .into_iter()
                .filter(|row| row.revision > rev(count as u64));
            first.apply_changes(newest.collect(), rev(count as u64 + 1));
            let is_last = count + 1 == writes.len();
            if is_last || pulled_after.contains(&(count as u8)) {
                pull(&mut second, &first);
            }
        }
        let expected = without_tombstones(&written(&writes));
        let agree = first.live_rows() == expected && second.live_rows() == expected;
        TestResult::from_bool(agree && second.has_changes_up_to(first.changed_at()))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(property as fn(Vec<(u8, Option<u8>)>, u8, Vec<u8>) -> TestResult);
}

fn pull(reader: &mut Table, source: &Table) {
    let known_to = source.known_to().unwrap_or_default();
    match source.changes_since(reader.known_to().unwrap_or_default()) {
        Some(changes) => reader.apply_changes(changes, known_to),
        None => reader.apply_list(source.rows_with_tombstones(), known_to),
    };
}

#[test]
fn pages_of_any_size_have_all_rows_of_the_table() {
    fn property(writes: Vec<(u8, Option<u8>)>, max_bytes: u8, after: u8) -> TestResult {
        let mut table = Table::default();
        table.apply_changes(written(&writes), rev(writes.len() as u64));
        let (after, max_bytes) = (rev(u64::from(after) % 20), usize::from(max_bytes % 9));
        let mut rows: Vec<Change> = Vec::new();
        loop {
            let from = rows.last().map(|row| row.key.clone());
            let page = table.page(after, from.as_deref(), max_bytes);
            rows.extend(page.rows);
            if !page.more {
                break;
            }
        }
        TestResult::from_bool(table.changes_since(after) == Some(rows))
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(20, SEED))
        .quickcheck(property as fn(Vec<(u8, Option<u8>)>, u8, u8) -> TestResult);
}

#[test]
fn a_reader_behind_the_list_of_a_copy_gets_pages_of_all_rows() {
    let mut table = Table::default();
    table.apply_list(vec![change(1, Some(1), 3), change(2, Some(2), 4)], rev(5));
    let page = table.page(rev(4), None, 1);
    assert!(page.whole && page.more);
    assert_eq!(page.rows, [change(1, Some(1), 3)]);
    let page = table.page(rev(5), None, 1);
    assert!(!page.whole && !page.more && page.rows.is_empty());
}

// A part that ended within a transaction would claim changes that the reader did not get.
#[test]
fn the_first_changes_of_a_list_end_at_a_revision_and_lead_to_the_rest() {
    for (rows, max_bytes) in [(1_u64, 0), (7, 1), (40, 8), (40, 20), (40, 10_000)] {
        // Three rows in each transaction, listed by key and not by revision.
        let in_any_order = (0..rows).map(|row| row * 3 % rows);
        let all: Vec<Change> = in_any_order
            .map(|row| change(row as u8, Some(1), row / 3 + 1))
            .collect();
        let mut table = Table::default();
        table.apply_list(Vec::new(), rev(0));
        loop {
            let known_to = table.known_to().unwrap();
            let left = all.iter().filter(|change| change.revision > known_to);
            let first = FirstChanges::take(left.cloned().collect(), max_bytes);
            assert!(!first.changes.is_empty());
            let complete_to = first.complete_to;
            table.apply_changes(first.changes, complete_to.unwrap_or(rev(100)));
            let missing = all
                .iter()
                .filter(|change| change.revision <= table.known_to().unwrap());
            missing.for_each(|change| assert_eq!(table.row(&change.key), Some(change)));
            if complete_to.is_none() {
                break;
            }
        }
        assert_eq!(table.live_rows().len(), all.len());
    }
}

// Each message to another gateway names it, so it is not searched among all rows.
#[test]
fn the_newest_change_is_that_of_the_newest_row() {
    let newest_row = |table: &Table| {
        let rows = table.rows_with_tombstones().into_iter();
        rows.map(|row| row.revision).max()
    };
    let mut table = Table::default();
    for round in 1..200_u64 {
        let key = (round * 7 % 11) as u8;
        let value = (round % 3 > 0).then_some(1);
        table.apply_changes(vec![change(key, value, round * 2)], rev(round * 2 + 1));
        assert_eq!(Some(table.changed_at()), newest_row(&table));
    }
    table.apply_list(vec![change(1, Some(1), 3)], rev(1000));
    assert_eq!(table.changed_at(), rev(1000));
    table.apply_changes(vec![change(2, Some(1), 990)], rev(1001));
    assert_eq!(table.changed_at(), rev(1000));
}
