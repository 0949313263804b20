//! Which window is reported next, and with which counts.
//!
//! Counts are first written to the store, on the condition that the window has no row yet; this
//! settles the window. Only the counts of that row are ever reported, so that all reports of a
//! window are the same, even if several gateways send them or one is sent again.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ledger::{Counts, UsageLedger};

/// When a window ends, is settled and is due.
#[derive(Clone, Copy, Debug)]
pub struct WindowTiming {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which it may be settled, by when late counts of other gateways have arrived.
    pub settle_delay: Duration,
    /// Time after the end of a window within which it has to be reported; a later report is of no use.
    pub due: Duration,
}

/// The usage report of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of the window.
    pub window: i64,
    /// Requests by tenant.
    pub counts: Counts,
}

/// What the holder of the reporting lease does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write these counts to the store, unless the window already has a row.
    Settle(Report),
    /// Send this settled report.
    Send(Report),
}

/// Progress of this process as the reporting gateway.
#[derive(Debug)]
pub struct Reporter {
    timing: WindowTiming,
    // Settled, and not yet accepted by the receiver.
    settled: Option<Report>,
    finished: BTreeSet<i64>,
}

impl Reporter {
    /// A state in which nothing was reported.
    pub fn new(timing: WindowTiming) -> Self {
        Reporter {
            timing,
            settled: None,
            finished: BTreeSet::new(),
        }
    }

    /// Wall-clock time at which a window may be settled.
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
        let window = self.next_open_window(wall)?;
        let counts = ledger.total(window);
        Some(Step::Settle(Report { window, counts }))
    }

    /// Records that the store holds these counts for the window, written by this gateway or another.
    pub fn record_settled(&mut self, report: Report) {
        if !self.finished.contains(&report.window) {
            self.settled = Some(report);
        }
    }

    /// Records that the report of a window was accepted or is no longer needed.
    pub fn record_finished(&mut self, window: i64) {
        self.settled.take_if(|report| report.window == window);
        self.finished.insert(window);
        let oldest = window - self.retained_windows();
        self.finished = self.finished.split_off(&oldest);
    }

    /// The oldest window whose report may still be due.
    pub fn oldest_window(&self, wall: Duration) -> i64 {
        self.window_at(wall.saturating_sub(self.timing.due + self.timing.window))
    }

    fn next_open_window(&self, wall: Duration) -> Option<i64> {
        let last = self.window_at(wall.saturating_sub(self.timing.settle_delay)) - 1;
        let first = self.oldest_window(wall);
        (first..=last).find(|window| !self.finished.contains(window))
    }

    fn retained_windows(&self) -> i64 {
        let reportable_span = self.timing.due + self.timing.window;
        2 * (reportable_span.as_millis() / self.timing.window.as_millis().max(1)) as i64 + 2
    }
}
