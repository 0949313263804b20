//! Observations of engines that other gateways report.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::learner::EngineStats;

/// How long a report is kept: three half-lives of a sample, after which it would weigh an eighth.
const REPORT_RETENTION: Duration = Duration::from_secs(180);

/// Observations of other gateways, by service. Each report covers everything that its gateway
/// observed since its start. Only the newest one of each gateway counts, so a lost report does no
/// harm and nothing is counted twice.
#[derive(Debug, Default)]
pub struct PeerReports {
    reports: BTreeMap<String, Report>,
}

#[derive(Debug)]
struct Report {
    received_at: Duration,
    services: BTreeMap<String, EngineStats>,
}

impl PeerReports {
    /// Stores the report of a gateway and drops expired reports.
    pub fn receive(
        &mut self,
        now: Duration,
        gateway: &str,
        services: BTreeMap<String, EngineStats>,
    ) {
        let report = Report {
            received_at: now,
            services,
        };
        self.reports.insert(gateway.to_string(), report);
        self.reports
            .retain(|_, report| now < report.received_at + REPORT_RETENTION);
    }

    /// Merges `own` with the reports of all other gateways about a service.
    pub fn merged_with(&self, own: EngineStats, service: &str) -> EngineStats {
        let mut merged = own;
        let reports = self.reports.values();
        let service_reports = reports.filter_map(|report| report.services.get(service));
        service_reports.for_each(|stats| merged.merge(stats));
        merged
    }
}
