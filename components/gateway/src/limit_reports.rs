//! Encoding and decoding of endpoints' rate limits in messages between gateways.

use std::time::Duration;

use limits::SendRate;
use notices::LimitNotice;
use schema::messages::LimitReport;

/// Maximum number of limits in one message. They take some 30 bytes each, so a query stays one small datagram.
const MAX_LIMITS_PER_MESSAGE: usize = 8;

/// Limits that have not been reported yet, the newest of each endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingLimits {
    notices: Vec<LimitNotice>,
}

impl PendingLimits {
    /// Adds a limit; the oldest are dropped if there are too many.
    pub fn push(&mut self, notice: LimitNotice) {
        self.notices.retain(|known| known.start != notice.start);
        self.notices.push(notice);
        let older = self.notices.len().saturating_sub(MAX_LIMITS_PER_MESSAGE);
        self.notices.drain(..older);
    }

    /// Adds all limits of another list.
    pub fn extend(&mut self, other: PendingLimits) {
        other
            .notices
            .into_iter()
            .for_each(|notice| self.push(notice));
    }

    /// Returns the limits, encoded for a message, and clears the list.
    pub fn take(&mut self, now: Duration) -> Option<Vec<LimitReport>> {
        let notices = std::mem::take(&mut self.notices);
        let reports = notices.iter().map(|notice| report_of_limit(now, notice));
        let reports: Vec<LimitReport> = reports.collect();
        (!reports.is_empty()).then_some(reports)
    }
}

/// Encodes a limit for a message.
pub(crate) fn report_of_limit(now: Duration, notice: &LimitNotice) -> LimitReport {
    let age_ms = now
        .saturating_sub(notice.asked_at)
        .as_micros()
        .div_ceil(1000);
    LimitReport {
        endpoint: notice.start as i64,
        service_name: notice.service.clone(),
        asked_ms_ago: age_ms.min(i32::MAX as u128) as i32,
        per_s: notice.rate.map(|rate| rate.per_s().into()),
    }
}

/// Decodes a limit; `None` if the rate is invalid.
pub(crate) fn received_limit(now: Duration, report: &LimitReport) -> Option<LimitNotice> {
    let age = Duration::from_millis(report.asked_ms_ago.max(0) as u64);
    let rate = match report.per_s {
        None => None,
        Some(per_s) => Some(SendRate::from_per_s(per_s.into())?),
    };
    Some(LimitNotice {
        start: report.endpoint as u64,
        service: report.service_name.clone(),
        rate,
        asked_at: now.saturating_sub(age),
    })
}

/// Decodes limits; invalid ones are skipped.
pub(crate) fn received_limits(
    now: Duration,
    reports: Option<&Vec<LimitReport>>,
) -> Vec<LimitNotice> {
    let reports = reports.into_iter().flatten();
    reports
        .filter_map(|report| received_limit(now, report))
        .collect()
}
