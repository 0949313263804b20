//! What coordinators tell each other of the engines that they saw.
//!
//! Each tells its own sums, cumulative by process, so a lost message is made good by the next one and nothing is
//! counted twice. Whoever takes the lease has them all and knows the law of the engines at once.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{AllowedPaces, Learnt, Sums};
use schema::messages::{EngineReport, Gossip};

use crate::control::Known;

/// Messages to coordinators of which one holds what was seen of engines: some 300 bytes for a service.
const ENGINES_EVERY: i64 = 3;
/// What a gateway told that says nothing any more is kept for this long: three times the half-life of samples, then it
/// weighs an eighth and is due to be forgotten.
const KEPT: Duration = Duration::from_secs(180);
/// Services of one report at most.
const MOST_SERVICES: usize = 4;

/// What other coordinators saw of engines.
#[derive(Debug, Default)]
pub(crate) struct EngineNews {
    // By gateway; only the newest report of each counts.
    told: BTreeMap<String, Told>,
    turn: i64,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    services: BTreeMap<String, Learnt>,
}

impl EngineNews {
    /// Whether the next message to coordinators holds what was seen here.
    pub fn is_turn(&mut self) -> bool {
        self.turn += 1;
        self.turn % ENGINES_EVERY == 1
    }

    /// Takes what another gateway said.
    pub fn receive(&mut self, now: Duration, gossip: &Gossip) {
        let Some(reports) = &gossip.engines else {
            return;
        };
        let reports = reports.iter().take(MOST_SERVICES);
        let services = reports.map(|report| (report.service_name.clone(), learnt_of(report)));
        let told = Told {
            at: now,
            services: services.collect(),
        };
        self.told.insert(gossip.gateway.clone(), told);
        self.told.retain(|_, told| now < told.at + KEPT);
    }

    fn add_to(&self, service: &str, learnt: &mut Learnt) {
        let told = self
            .told
            .values()
            .filter_map(|told| told.services.get(service));
        told.for_each(|seen| learnt.merge(seen));
    }
}

impl Known {
    /// What all gateways together saw of a service's engines, as far as it is known here.
    pub fn learnt_of(&self, service: &str) -> Learnt {
        let mut learnt = self
            .loads
            .get(service)
            .map_or(Learnt::default(), |l| l.learnt);
        self.engines.add_to(service, &mut learnt);
        learnt
    }

    /// What was seen here, as it is told.
    pub fn engine_reports(&self) -> Vec<EngineReport> {
        let seen = self
            .loads
            .iter()
            .filter(|(_, load)| load.learnt.steps.count > 0.0);
        seen.take(MOST_SERVICES)
            .map(|(service, load)| report_of(service, &load.learnt))
            .collect()
    }
}

fn report_of(service: &str, learnt: &Learnt) -> EngineReport {
    EngineReport {
        service_name: service.to_string(),
        steps: learnt.steps.moments().map(Into::into).to_vec(),
        allowed: learnt
            .allowed
            .counts()
            .iter()
            .copied()
            .map(Into::into)
            .collect(),
    }
}

fn learnt_of(report: &EngineReport) -> Learnt {
    let steps: Vec<f64> = report.steps.iter().map(|moment| moment.0).collect();
    let allowed: Vec<f64> = report.allowed.iter().map(|count| count.0).collect();
    Learnt {
        steps: Sums::of(&steps),
        allowed: AllowedPaces::of(&allowed),
    }
}
