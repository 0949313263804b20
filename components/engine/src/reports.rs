//! What the gateways told each other of the engines that they saw.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::learner::Learnt;

/// What a gateway told is kept for this long: three times the half-life of samples, so it would weigh an eighth by then.
const KEPT: Duration = Duration::from_secs(180);

/// What other gateways saw, by service. Each one tells sums over all it saw since its start, so only its newest report
/// counts: a lost one does no harm, and nothing counts twice.
#[derive(Debug, Default)]
pub struct Reports {
    told: BTreeMap<String, Told>,
}

#[derive(Debug)]
struct Told {
    at: Duration,
    services: BTreeMap<String, Learnt>,
}

impl Reports {
    /// Takes what a gateway told.
    pub fn receive(&mut self, now: Duration, gateway: &str, services: BTreeMap<String, Learnt>) {
        let told = Told { at: now, services };
        self.told.insert(gateway.to_string(), told);
        self.told.retain(|_, told| now < told.at + KEPT);
    }

    /// What all gateways saw of a service's engines, `own` among it.
    pub fn with(&self, own: Learnt, service: &str) -> Learnt {
        let mut learnt = own;
        let told = self.told.values();
        let told = told.filter_map(|told| told.services.get(service));
        told.for_each(|seen| learnt.merge(seen));
        learnt
    }
}
