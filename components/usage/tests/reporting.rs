//! Totals over all gateways, and one report per window.

use std::collections::BTreeMap;
use std::time::Duration;

use usage::{Report, Reporter, Source, Step, UsageLedger, WindowTiming};

const TIMING: WindowTiming = WindowTiming {
    window: Duration::from_secs(5),
    settle_delay: Duration::from_secs(2),
    due: Duration::from_secs(10),
};

fn source(gateway: &str, incarnation: i64) -> Source {
    Source {
        gateway: gateway.into(),
        incarnation,
    }
}

fn counts(list: &[(&str, i64)]) -> BTreeMap<String, i64> {
    list.iter().map(|(t, n)| (t.to_string(), *n)).collect()
}

#[test]
fn a_duplicate_or_outdated_total_counts_once() {
    let mut ledger = UsageLedger::default();
    let a = source("a", 1);
    ledger.merge(7, &a, &counts(&[("t", 3)]));
    ledger.merge(7, &a, &counts(&[("t", 5)]));
    ledger.merge(7, &a, &counts(&[("t", 4)]));
    assert_eq!(ledger.total(7), counts(&[("t", 5)]));
}

#[test]
fn both_processes_of_a_restarted_gateway_count() {
    let mut ledger = UsageLedger::default();
    ledger.merge(7, &source("a", 1), &counts(&[("t", 3)]));
    ledger.count(7, &source("a", 2), "t");
    ledger.count(7, &source("b", 1), "u");
    assert_eq!(ledger.total(7), counts(&[("t", 4), ("u", 1)]));
    ledger.forget_before(8);
    assert_eq!(ledger.total(7), counts(&[]));
}

#[test]
fn only_settled_counts_are_sent_and_stay_the_same() {
    let mut ledger = UsageLedger::default();
    let a = source("a", 1);
    ledger.merge(1, &a, &counts(&[("t", 3)]));
    let mut reporter = Reporter::new(TIMING);
    let wall = Duration::from_secs(12);
    reporter.record_finished(0);
    let ours = Report {
        window: 1,
        counts: counts(&[("t", 3)]),
    };
    assert_eq!(reporter.next_step(wall, &ledger), Some(Step::Settle(ours)));
    // Another gateway wrote its row first.
    let theirs = Report {
        window: 1,
        counts: counts(&[("t", 2)]),
    };
    reporter.record_settled(theirs.clone());
    ledger.merge(1, &a, &counts(&[("t", 9)]));
    assert_eq!(
        reporter.next_step(wall, &ledger),
        Some(Step::Send(theirs.clone()))
    );
    reporter.record_finished(1);
    reporter.record_settled(theirs);
    assert_eq!(reporter.next_step(wall, &ledger), None);
}

#[test]
fn a_window_is_settled_only_after_its_end_and_dropped_when_overdue() {
    let reporter = Reporter::new(TIMING);
    let ledger = UsageLedger::default();
    let window = |wall: u64| match reporter.next_step(Duration::from_secs(wall), &ledger) {
        Some(Step::Settle(report)) => Some(report.window),
        _ => None,
    };
    assert_eq!(window(6), None);
    assert_eq!(window(7), Some(0));
    assert_eq!(window(100), Some(17));
}
