//! The state that traffic threads share: routing, admission and budgets of one node.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use limits::{
    AdmissionDecision, AdmissionQueue, AttemptBudget, LimitExceeded, TeamLimits, TeamMeter, Waiter,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{Decision, Router, RoutingRequest};
use schema::settings::{Configuration, Priority, Team};

use crate::attempt::RunEvent;

/// Extra attempts a node may make at once after a quiet time.
const RETRY_BURST: u64 = 20;
/// Retries earned by each success, in thousandths: at most one request in ten is retried.
const RETRIES_PER_SUCCESS_MILLI: u64 = 100;
const HEDGE_BURST: u64 = 5;
/// Hedges earned by each success, in thousandths.
const HEDGES_PER_SUCCESS_MILLI: u64 = 20;
const WHOLE_MILLI: u64 = 1000;

/// A request that runs here.
#[derive(Clone, Debug)]
pub struct Live {
    /// Endpoint of its current attempt.
    pub endpoint: String,
    /// Stream at that endpoint, once it is known.
    pub stream: Option<String>,
    /// Pool.
    pub pool: String,
    /// Number of its current attempt.
    pub attempt: u32,
    /// Class.
    pub priority: Priority,
    /// Deadline.
    pub deadline: Duration,
    /// When it started.
    pub started: Duration,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens given to the caller so far.
    pub given: Arc<AtomicU64>,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether it is a model stream.
    pub streams: bool,
    /// Where its thread is reported gossip.
    pub events: Sender<RunEvent>,
}

/// Routing, admission and budgets.
pub struct Traffic {
    pub router: Router,
    pub live: HashMap<u64, Live>,
    gates: BTreeMap<String, AdmissionQueue>,
    meters: BTreeMap<String, TeamMeter>,
    parts_milli: BTreeMap<String, u64>,
    waiting: HashMap<u64, Sender<RunEvent>>,
    retries: AttemptBudget,
    hedges: AttemptBudget,
    rng: ChaCha8Rng,
    in_flight: usize,
}

impl Traffic {
    /// Traffic state with nothing configured. `seed` feeds the choices among equals.
    pub fn new(seed: u64) -> Self {
        Traffic {
            router: Router::default(),
            live: HashMap::new(),
            gates: BTreeMap::new(),
            meters: BTreeMap::new(),
            parts_milli: BTreeMap::new(),
            waiting: HashMap::new(),
            retries: AttemptBudget::new(RETRY_BURST, RETRIES_PER_SUCCESS_MILLI),
            hedges: AttemptBudget::new(HEDGE_BURST, HEDGES_PER_SUCCESS_MILLI),
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: 0,
        }
    }

    /// Takes a new configuration.
    pub fn configure(&mut self, now: Duration, configuration: &Configuration) {
        self.router.configure(&configuration.endpoints);
        let names: Vec<&String> = configuration.teams.iter().map(|t| &t.name).collect();
        self.meters.retain(|name, _| names.contains(&name));
        for team in &configuration.teams {
            let limits = self.limits_of(team);
            let meter = self.meters.entry(team.name.clone());
            let meter = meter.or_insert_with(|| TeamMeter::new(now, limits));
            meter.set_limits(now, limits);
        }
        for pool in &configuration.pools {
            self.gates.entry(pool.name.clone()).or_default();
        }
    }

    /// Sets this node's part of a team's limits, in thousandths of the whole.
    pub fn set_part(&mut self, now: Duration, team: &Team, part_milli: u64) {
        self.parts_milli.insert(team.name.clone(), part_milli);
        let limits = self.limits_of(team);
        if let Some(meter) = self.meters.get_mut(&team.name) {
            meter.set_limits(now, limits);
        }
    }

    fn limits_of(&self, team: &Team) -> TeamLimits {
        let part = self
            .parts_milli
            .get(&team.name)
            .copied()
            .unwrap_or(WHOLE_MILLI);
        TeamLimits {
            rate_milli: team.rate as u64 * part,
            concurrency: (team.concurrency as u64 * part).div_ceil(WHOLE_MILLI),
            budget_milli: team.budget_milli as u64 * part / WHOLE_MILLI,
        }
    }

    /// Takes a place among the requests held at this node, if there is one.
    pub fn take_place(&mut self, most: usize) -> bool {
        if self.in_flight >= most {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Gives the place back.
    pub fn free_place(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests held.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Admits a request by its team's limits.
    pub fn admit(
        &mut self,
        now: Duration,
        team: &str,
        cost_milli: u64,
    ) -> Result<(), LimitExceeded> {
        match self.meters.get_mut(team) {
            Some(meter) => meter.admit(now, cost_milli),
            None => Ok(()),
        }
    }

    /// Notes that a request of the team ended, and what of its charge was not spent.
    pub fn release_team(&mut self, now: Duration, team: &str, unspent_milli: u64) {
        if let Some(meter) = self.meters.get_mut(team) {
            meter.release(now, unspent_milli);
        }
    }

    /// Requests each team asked for since the last call.
    pub fn take_demand(&mut self) -> BTreeMap<String, u64> {
        let meters = self.meters.iter_mut();
        meters
            .map(|(team, meter)| (team.clone(), meter.take_demand()))
            .collect()
    }

    /// Asks a pool's gate for admission; a waiter is reported by [`RunEvent::Admitted`].
    pub fn enter(
        &mut self,
        now: Duration,
        pool: &str,
        waiter: Waiter,
        events: &Sender<RunEvent>,
    ) -> AdmissionDecision {
        let utilization = self.router.utilization_milli(now, pool);
        let gate = self.gates.entry(pool.to_string()).or_default();
        let verdict = gate.admit(waiter, utilization);
        if verdict == AdmissionDecision::Wait {
            self.waiting.insert(waiter.id, events.clone());
            self.ask_to_yield(pool, utilization);
        }
        verdict
    }

    /// Takes out all that is kept of a request that is over.
    pub fn forget(&mut self, id: u64) {
        self.live.remove(&id);
        if self.waiting.remove(&id).is_some() {
            self.gates.values_mut().for_each(|gate| gate.remove(id));
        }
    }

    /// Lets waiters in while the pools have room.
    pub fn release_waiters(&mut self, now: Duration) {
        let pools: Vec<String> = self.gates.keys().cloned().collect();
        for pool in pools {
            self.release_pool(now, &pool);
        }
    }

    fn release_pool(&mut self, now: Duration, pool: &str) {
        let utilization = self.router.utilization_milli(now, pool);
        let Some(gate) = self.gates.get_mut(pool) else {
            return;
        };
        // One at a time: the utilization changes only once the released request is sent.
        if let Some(waiter) = gate.admit_next(utilization) {
            if let Some(events) = self.waiting.remove(&waiter.id) {
                let _ = events.send(RunEvent::Admitted);
            }
        }
    }

    fn ask_to_yield(&mut self, pool: &str, utilization: u64) {
        let in_pool = self
            .live
            .iter()
            .filter(|(_, l)| l.pool == pool && l.streams);
        let running: Vec<(Priority, u64, Duration)> = in_pool
            .map(|(id, l)| (l.priority, *id, l.started))
            .collect();
        let gate = self.gates.get(pool);
        let yielding = gate.and_then(|g| g.preemption_victim(&running, utilization));
        if let Some(live) = yielding.and_then(|id| self.live.get(&id)) {
            let _ = live.events.send(RunEvent::Yield {
                attempt: live.attempt,
            });
        }
    }

    /// Chooses an endpoint, notes the request as sent there, and reports its address.
    pub fn route(&mut self, now: Duration, ask: &RoutingRequest<'_>) -> Option<(Decision, String)> {
        let decision = self.router.choose(now, ask, &mut self.rng)?;
        let endpoint = &decision.chosen.endpoint;
        self.router.sent(endpoint, ask);
        let address = self.router.state(endpoint)?.spec.address.clone();
        Some((decision, address))
    }

    /// Notes that an attempt ended.
    pub fn ended(&mut self, now: Duration, endpoint: &str, held: Duration) {
        self.router.ended(endpoint, held);
        self.release_waiters(now);
    }

    /// Notes a request answered whole.
    pub fn succeeded(&mut self) {
        self.retries.record_success();
        self.hedges.record_success();
    }

    /// Takes a retry from the budget.
    pub fn may_retry(&mut self) -> bool {
        self.retries.try_spend()
    }

    /// Takes a hedge from the budget.
    pub fn may_hedge(&mut self) -> bool {
        self.hedges.try_spend()
    }
}
