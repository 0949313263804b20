//! Which window is reported next, and with which counts.
//!
//! Counts are first written into the store under the condition that the window has no row yet.
//! Only the counts of that row are ever reported, so whoever reports, and however often, reports
//! the same.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ledger::{Counts, UsageLedger};

/// Fixed terms of reporting.
#[derive(Clone, Copy, Debug)]
pub struct WindowTiming {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window until it is settled: late counts of others have come.
    pub settle_delay: Duration,
    /// Time after the end of a window after which a report is of no use.
    pub due: Duration,
}

/// What is to be reported for a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of the window.
    pub window: i64,
    /// Requests by tenant.
    pub counts: Counts,
}

/// What the holder of the lease does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write these counts as the window's, unless it has a row already.
    Settle(Report),
    /// Send this settled report.
    Send(Report),
}

/// Progress of this process as the reporting gateway.
#[derive(Debug)]
pub struct Reporter {
    timing: WindowTiming,
    // Settled and not yet accepted.
    settled: Option<Report>,
    done: BTreeSet<i64>,
}

impl Reporter {
    /// Nothing reported yet.
    pub fn new(timing: WindowTiming) -> Self {
        Reporter {
            timing,
            settled: None,
            done: BTreeSet::new(),
        }
    }

    /// Wall-clock time from which a window may be settled.
    pub fn settles_at(&self, window: i64) -> Duration {
        let window_ms = self.timing.window.as_millis() as u64;
        let end_ms = window_ms.saturating_mul(window.max(0) as u64 + 1);
        Duration::from_millis(end_ms).saturating_add(self.timing.settle_delay)
    }

    /// Number of the window that a wall-clock time falls into.
    pub fn window_at(&self, wall: Duration) -> i64 {
        (wall.as_millis() / self.timing.window.as_millis().max(1)) as i64
    }

    /// The next step at a wall-clock time, if there is one.
    pub fn next_step(&self, wall: Duration, ledger: &UsageLedger) -> Option<Step> {
        if let Some(report) = &self.settled {
            return Some(Step::Send(report.clone()));
        }
        let window = self.open_window(wall)?;
        let counts = ledger.total(window);
        Some(Step::Settle(Report { window, counts }))
    }

    /// The store holds these counts for the window, ours or another's.
    pub fn record_settled(&mut self, report: Report) {
        if !self.done.contains(&report.window) {
            self.settled = Some(report);
        }
    }

    /// The report of a window was accepted, or is of no use any more.
    pub fn record_finished(&mut self, window: i64) {
        self.settled.take_if(|report| report.window == window);
        self.done.insert(window);
        let oldest = window - self.kept_windows();
        self.done = self.done.split_off(&oldest);
    }

    /// The oldest window that may still be asked for.
    pub fn oldest_window(&self, wall: Duration) -> i64 {
        self.window_at(wall.saturating_sub(self.timing.due + self.timing.window))
    }

    fn open_window(&self, wall: Duration) -> Option<i64> {
        let last = self.window_at(wall.saturating_sub(self.timing.settle_delay)) - 1;
        let first = self.oldest_window(wall);
        (first..=last).find(|window| !self.done.contains(window))
    }

    fn kept_windows(&self) -> i64 {
        let span = self.timing.due + self.timing.window;
        2 * (span.as_millis() / self.timing.window.as_millis().max(1)) as i64 + 2
    }
}
