//! What the gateways reported to each other of the engines that they saw.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::learner::EngineStats;

/// What a gateway reported is kept for this long: three times the half-life of samples, so it would weigh an eighth by then.
const REPORT_RETENTION: Duration = Duration::from_secs(180);

/// What other gateways saw, by service. Each one reports sums over all it saw since its start, so only its newest report
/// counts: a lost one does no harm, and nothing counts twice.
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
    /// Takes what a gateway reported.
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

    /// What all gateways saw of a service's engines, `own` among it.
    pub fn merged_with(&self, own: EngineStats, service: &str) -> EngineStats {
        let mut merged = own;
        let reports = self.reports.values();
        let service_reports = reports.filter_map(|report| report.services.get(service));
        service_reports.for_each(|stats| merged.merge(stats));
        merged
    }
}
