//! Usage reports by the holder of the lease.

use std::time::Duration;

use replica::Revision;
use schema::messages::UsageRow;
use slog::info;
use usage::{Report, Step};

use crate::control::{ControlState, Shared};
use crate::ports::{OrderReply, Orders, Row, Store, StoreError, Topic};

/// Pause between checks of what is due.
const REPORT_CHECK_PAUSE: Duration = Duration::from_millis(250);

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Reports usage until the process ends, whenever this gateway holds the lease.
    pub async fn run_usage_reports(&self) {
        loop {
            tokio::time::sleep(REPORT_CHECK_PAUSE).await;
            self.report_usage().await;
        }
    }

    async fn report_usage(&self) {
        if self.holder().is_none() || !self.state.borrow().settings.reports_usage {
            return;
        }
        let wall = self.clock.wall_time();
        let step = {
            let mut state = self.state.borrow_mut();
            let oldest = state.reporter.oldest_window(wall);
            state.ledger.forget_before(oldest - 1);
            let ControlState {
                reporter, ledger, ..
            } = &*state;
            reporter.next_step(wall, ledger)
        };
        match step {
            None => {}
            Some(Step::Settle(report)) if self.predates_process(&report) => {
                self.state
                    .borrow_mut()
                    .reporter
                    .record_finished(report.window);
            }
            Some(Step::Settle(report)) if self.may_have_been_reported(&report) => {
                self.settle_from_store(report).await;
            }
            Some(Step::Settle(report)) => self.settle(report).await,
            Some(Step::Send(report)) => self.send_report(&report, wall).await,
        }
    }

    // Whether the window is older than this process and no other gateway reported counts for it.
    fn predates_process(&self, report: &Report) -> bool {
        let first = self.state.borrow().reporter.window_at(self.started_wall);
        report.counts.is_empty() && report.window < first
    }

    // Whether another gateway may have reported the window before a restore that lost its row. Settling the
    // window again could report it twice with different counts.
    fn may_have_been_reported(&self, report: &Report) -> bool {
        let state = self.state.borrow();
        let was_restored = state.newest_era.unwrap_or_default() > 0;
        let settles_at = state.reporter.settles_at(report.window);
        // No other gateway settles windows while this one holds the lease.
        let is_only_settler = state
            .lease_held_since
            .is_some_and(|since| since < settles_at);
        was_restored && !is_only_settler && settles_at < state.newest_era_seen_at
    }

    // Reports the window as its row says, or not at all if the store has no readable row for it.
    async fn settle_from_store(&self, report: Report) {
        let key = usage_key(report.window);
        let Ok(read) = self.store.read(Topic::Usage, &key).await else {
            return;
        };
        let settled = read.row.and_then(|row| stored_report(report.window, row));
        info!(self.log, "usage window due before the store restore was seen";
            "window" => report.window, "found" => settled.is_some());
        let mut state = self.state.borrow_mut();
        match settled {
            Some(report) => state.reporter.record_settled(report),
            None => state.reporter.record_finished(report.window),
        }
    }

    async fn settle(&self, report: Report) {
        let row = UsageRow {
            begun: report.counts.clone(),
        };
        let value = schema::encode(&row).unwrap_or_default();
        let key = usage_key(report.window);
        let written = self
            .store
            .write(Topic::Usage, &key, value, Some(Revision::ABSENT))
            .await;
        let sources = self.state.borrow().ledger.sources(report.window).count();
        info!(self.log, "usage settled"; "window" => report.window, "sources" => sources,
            "requests" => report.counts.values().sum::<i64>(), "written" => written.is_ok());
        let settled = match written {
            Ok(revision) if revision.era > self.state.borrow().newest_era.unwrap_or_default() => {
                // The row that the window had before the restore may be lost.
                self.state
                    .borrow_mut()
                    .reporter
                    .record_finished(report.window);
                None
            }
            Ok(_) => Some(report),
            Err(StoreError::Conflict(Some(row))) => stored_report(report.window, row),
            Err(_) => None,
        };
        if let Some(report) = settled {
            self.state.borrow_mut().reporter.record_settled(report);
        }
    }

    async fn send_report(&self, report: &Report, wall: Duration) {
        let Some(holder) = self.holder() else {
            return;
        };
        self.state.borrow_mut().orders.sent();
        let reply = self.orders.report(&holder, report).await;
        self.record_order_end(reply);
        info!(self.log, "usage reported"; "window" => report.window, "fence" => holder.fence,
            "reply" => ?reply);
        let mut state = self.state.borrow_mut();
        let is_overdue = report.window < state.reporter.oldest_window(wall);
        let is_final = matches!(reply, OrderReply::Done | OrderReply::Rejected(_));
        if is_final || is_overdue {
            state.reporter.record_finished(report.window);
        }
    }
}

fn usage_key(window: i64) -> String {
    format!("{window:012}")
}

fn stored_report(window: i64, row: Row) -> Option<Report> {
    let read = schema::decode::<UsageRow>(&row.value?).ok()?;
    Some(Report {
        window,
        counts: read.begun,
    })
}
