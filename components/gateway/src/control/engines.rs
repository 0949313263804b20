//! Exchange of engine statistics between coordinators.
//!
//! The next holder of the lease already has the statistics of all coordinators and can estimate the engines'
//! performance at once.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{EngineStats, PaceHistogram, PeerReports, StepMoments};
use schema::messages::{EngineReport, Gossip};

use crate::control::ControlState;

/// One in this many messages to coordinators holds engine statistics, which take some 300 bytes per service.
const REPORT_EVERY: u32 = 3;
/// Upper limit of services in one message, so that it fits into one datagram.
const MAX_SERVICES: usize = 2;

/// Engine statistics of the other coordinators, and the count of messages that decides when this one's are
/// sent.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    reports: PeerReports,
    messages: u32,
}

impl Engines {
    /// Records the statistics in another gateway's message.
    pub fn receive(&mut self, now: Duration, gossip: &Gossip) {
        let Some(reports) = &gossip.engines else {
            return;
        };
        let services = reports.iter().take(MAX_SERVICES);
        let services = services.map(|report| (report.service_name.clone(), stats_of(report)));
        let services: BTreeMap<String, EngineStats> = services.collect();
        self.reports.receive(now, &gossip.gateway, services);
    }
}

impl ControlState {
    /// Statistics of a service's engines, merged over all gateways that reported any.
    pub fn engine_stats_of(&self, service: &str) -> EngineStats {
        let own = self.loads.get(service).map(|load| load.engine_stats);
        self.engines
            .reports
            .merged_with(own.unwrap_or_default(), service)
    }

    /// This gateway's statistics for a message to coordinators; `None` for most messages.
    pub fn engine_reports(&mut self) -> Option<Vec<EngineReport>> {
        self.engines.messages = self.engines.messages.wrapping_add(1);
        if self.engines.messages % REPORT_EVERY != 1 {
            return None;
        }
        let seen = self.loads.iter();
        let seen = seen.filter(|(_, load)| load.engine_stats.steps.count > 0.0);
        let reports = seen.take(MAX_SERVICES);
        let reports = reports.map(|(service, load)| report_of(service, &load.engine_stats));
        Some(reports.collect())
    }
}

fn report_of(service: &str, learnt: &EngineStats) -> EngineReport {
    let allowed = learnt.allowed_paces.counts().iter();
    EngineReport {
        service_name: service.to_string(),
        steps: learnt.steps.values().map(Into::into).to_vec(),
        allowed: allowed.map(|count| (*count).into()).collect(),
    }
}

fn stats_of(report: &EngineReport) -> EngineStats {
    let steps: Vec<f64> = report.steps.iter().map(|moment| moment.0).collect();
    let allowed: Vec<f64> = report.allowed.iter().map(|count| count.0).collect();
    EngineStats {
        steps: StepMoments::from_values(&steps),
        allowed_paces: PaceHistogram::from_counts(&allowed),
    }
}
