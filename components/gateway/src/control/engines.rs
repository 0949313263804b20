//! What coordinators tell each other of the engines that they saw.
//!
//! Whoever takes the lease has heard of all of them, and knows the law of the engines at once.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{EngineStats, PaceHistogram, PeerReports, StepMoments};
use schema::messages::{EngineReport, Gossip};

use crate::control::Known;

/// Messages to coordinators of which one holds what was seen of engines: some 300 bytes for a service.
const REPORT_EVERY: u32 = 3;
/// Services of one message at most, so that it fits into one datagram.
const MOST_SERVICES: usize = 2;

/// What other coordinators saw of engines, and when it is this one's turn to tell.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    reports: PeerReports,
    messages: u32,
}

impl Engines {
    /// Takes what another gateway said.
    pub fn receive(&mut self, now: Duration, gossip: &Gossip) {
        let Some(reports) = &gossip.engines else {
            return;
        };
        let services = reports.iter().take(MOST_SERVICES);
        let services = services.map(|report| (report.service_name.clone(), learnt_of(report)));
        let services: BTreeMap<String, EngineStats> = services.collect();
        self.reports.receive(now, &gossip.gateway, services);
    }
}

impl Known {
    /// What all gateways together saw of a service's engines, as far as it is known here.
    pub fn learnt_of(&self, service: &str) -> EngineStats {
        let own = self.loads.get(service).map(|load| load.engine_stats);
        self.engines
            .reports
            .merged_with(own.unwrap_or_default(), service)
    }

    /// What was seen here, for a message to coordinators; nothing in most of them.
    pub fn engine_reports(&mut self) -> Option<Vec<EngineReport>> {
        self.engines.messages = self.engines.messages.wrapping_add(1);
        if self.engines.messages % REPORT_EVERY != 1 {
            return None;
        }
        let seen = self.loads.iter();
        let seen = seen.filter(|(_, load)| load.engine_stats.steps.count > 0.0);
        let reports = seen.take(MOST_SERVICES);
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

fn learnt_of(report: &EngineReport) -> EngineStats {
    let steps: Vec<f64> = report.steps.iter().map(|moment| moment.0).collect();
    let allowed: Vec<f64> = report.allowed.iter().map(|count| count.0).collect();
    EngineStats {
        steps: StepMoments::from_values(&steps),
        allowed_paces: PaceHistogram::from_counts(&allowed),
    }
}
