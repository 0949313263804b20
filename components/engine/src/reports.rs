//! What the gateways reported to each other of the engines that they saw.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::learner::Learnt;

/// What a gateway reported is kept for this long: three times the half-life of samples, so it would weigh an eighth by then.
const KEPT: Duration = Duration::from_secs(180);

/// What other gateways saw, by service. Each one reports sums over all it saw since its start, so only its newest report
/// counts: a lost one does no harm, and nothing counts twice.
#[derive(Debug, Default)]
pub struct Reports {
    reports: BTreeMap<String, Report>,
}

#[derive(Debug)]
struct Report {
    at: Duration,
    services: BTreeMap<String, Learnt>,
}

impl Reports {
    /// Takes what a gateway reported.
    pub fn receive(&mut self, now: Duration, gateway: &str, services: BTreeMap<String, Learnt>) {
        let report = Report { at: now, services };
        self.reports.insert(gateway.to_string(), report);
        self.reports.retain(|_, report| now < report.at + KEPT);
    }

    /// What all gateways saw of a service's engines, `own` among it.
    pub fn with(&self, own: Learnt, service: &str) -> Learnt {
        let mut learnt = own;
        let reports = self.reports.values();
        let of_service = reports.filter_map(|report| report.services.get(service));
        of_service.for_each(|seen| learnt.merge(seen));
        learnt
    }
}
