//! The decisions of one entry node in a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::{AdmissionQueue, AttemptBudget};
use routing::{Policy, Rates, Router};
use schema::settings::Endpoint;

use crate::engine::PREFILL_US;

const RETRY_BURST: u64 = 20;
const RETRIES_PER_SUCCESS_MILLI: u64 = 100;
const HEDGE_BURST: u64 = 5;
const HEDGES_PER_SUCCESS_MILLI: u64 = 20;

/// One node.
pub struct Node {
    /// Its routing.
    pub router: Router,
    /// The gate of each pool.
    pub gates: BTreeMap<String, AdmissionQueue>,
    /// Its budget of retries.
    pub retries: AttemptBudget,
    /// Its budget of hedges.
    pub hedges: AttemptBudget,
}

impl Node {
    /// A node that knows these endpoints.
    pub fn new(endpoints: &[Endpoint], policy: Policy) -> Self {
        let mut router = Router::with_policy(policy);
        router.configure(endpoints);
        for pool in endpoints.iter().map(|e| &e.pool) {
            let rates = Rates {
                prefill_ms_per_token: PREFILL_US as f64 / 1000.0,
                ..Rates::default()
            };
            router.set_rates(pool, rates);
        }
        Node {
            router,
            gates: BTreeMap::new(),
            retries: AttemptBudget::new(RETRY_BURST, RETRIES_PER_SUCCESS_MILLI),
            hedges: AttemptBudget::new(HEDGE_BURST, HEDGES_PER_SUCCESS_MILLI),
        }
    }

    /// Utilization of a pool and its gate.
    pub fn gate(&mut self, now: Duration, pool: &str) -> (u64, &mut AdmissionQueue) {
        let utilization = self.router.utilization_milli(now, pool);
        (utilization, self.gates.entry(pool.to_string()).or_default())
    }
}
