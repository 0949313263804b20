//! Chooses an endpoint for each request of one node.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{Rng, RngExt};
use schema::settings::Endpoint;

use crate::baseline::{pick, Policy};
use crate::decision::{Candidate, Decision, RoutingRequest};
use crate::endpoint::{EndpointState, Reading};
use crate::prefix_index::{CacheEvent, PrefixIndex};
use crate::prompt::{BLOCK_BYTES, BYTES_PER_TOKEN};
use crate::rendezvous::weight;
use crate::score::{estimate, Estimate, PoolSummary, Rates};

/// Endpoints whose scores differ by at most this are chosen between at random, so that nodes with
/// the same stale reading do not all send to one endpoint.
const TIE_MS: f64 = 4.0;
/// Share of the earlier turns' tokens that is expected to be cached at the home endpoint when this
/// node did not send those turns itself.
const HOME_SHARE: f64 = 0.8;
/// Time an endpoint is skipped after its first failure. It doubles with each further failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// Upper limit of the time an endpoint is skipped after failures.
const MAX_SUSPICION: Duration = Duration::from_secs(8);
/// A new sample enters a running mean with a weight of one in this many.
const MEAN_WINDOW: f64 = 16.0;

/// All endpoints a node may send to, with their state.
#[derive(Debug, Default)]
pub struct Router {
    states: Vec<EndpointState>,
    position_by_name: HashMap<String, u32>,
    pools: BTreeMap<String, Vec<u32>>,
    rates: BTreeMap<String, Rates>,
    prefix_index: PrefixIndex,
    policy: Policy,
}

impl Router {
    /// Creates a router that chooses by `policy`. Only benchmarks use a policy other than the
    /// default.
    pub fn with_policy(policy: Policy) -> Self {
        Router {
            policy,
            ..Router::default()
        }
    }

    /// Applies the endpoints of a new configuration. The state of an endpoint whose name and
    /// address are unchanged is kept.
    pub fn configure(&mut self, endpoints: &[Endpoint]) {
        let mut known: HashMap<String, EndpointState> = std::mem::take(&mut self.states)
            .into_iter()
            .map(|state| (state.spec.name.clone(), state))
            .collect();
        let old_position_by_name = std::mem::take(&mut self.position_by_name);
        self.pools.clear();
        for (position, spec) in endpoints.iter().enumerate() {
            let state = match known.remove(&spec.name) {
                Some(state) if state.spec.address == spec.address => EndpointState {
                    spec: spec.clone(),
                    ..state
                },
                _ => EndpointState::new(spec.clone()),
            };
            self.states.push(state);
            self.position_by_name
                .insert(spec.name.clone(), position as u32);
            self.pools
                .entry(spec.pool.clone())
                .or_default()
                .push(position as u32);
        }
        if old_position_by_name
            .iter()
            .any(|(name, i)| self.position_by_name.get(name) != Some(i))
        {
            self.prefix_index = PrefixIndex::default();
        }
    }

    /// Returns the endpoint for a request, or `None` if no endpoint of the pool is usable.
    pub fn choose(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Decision> {
        let members = self.pools.get(request.pool)?;
        let usable: Vec<u32> = members
            .iter()
            .copied()
            .filter(|i| self.is_usable(*i, now, request))
            .collect();
        let passed_over = (members.len() - usable.len()) as u32;
        if self.policy != Policy::Scored {
            let chosen = pick(self.policy, &usable, &self.states, rng)?;
            return Some(self.decision(
                chosen,
                Estimate::default(),
                None,
                (usable.len() as u32, passed_over),
            ));
        }
        let estimates = self.estimates(now, request, &usable);
        let (first, second) = best_two(&estimates, rng)?;
        let runner_up = second.map(|(i, e)| self.candidate(i, e));
        Some(self.decision(
            first.0,
            first.1,
            runner_up,
            (usable.len() as u32, passed_over),
        ))
    }

    /// Records that a request was sent to an endpoint.
    pub fn sent(&mut self, endpoint: &str, request: &RoutingRequest<'_>) {
        let Some(&i) = self.position_by_name.get(endpoint) else {
            return;
        };
        self.states[i as usize].own += 1;
        self.prefix_index.store(i, &request.prompt.blocks);
    }

    /// Records that a request ended after it held its slot for `held`.
    pub fn ended(&mut self, endpoint: &str, held: Duration) {
        let Some(&i) = self.position_by_name.get(endpoint) else {
            return;
        };
        let state = &mut self.states[i as usize];
        state.own = state.own.saturating_sub(1);
        let rates = self.rates.entry(state.spec.pool.clone()).or_default();
        rates.hold_ms += (held.as_secs_f64() * 1000.0 - rates.hold_ms) / MEAN_WINDOW;
    }

    /// Records that an endpoint answered, which ends its suspicion.
    pub fn answered(&mut self, endpoint: &str) {
        if let Some(state) = self.state_mut(endpoint) {
            state.failures = 0;
            state.suspected_until = Duration::ZERO;
        }
    }

    /// Records a failure. The endpoint is skipped for a backoff time, and its cached prefixes count
    /// as lost.
    pub fn failed(&mut self, now: Duration, endpoint: &str) {
        let Some(&i) = self.position_by_name.get(endpoint) else {
            return;
        };
        let state = &mut self.states[i as usize];
        let backoff = FIRST_SUSPICION * (1 << state.failures.min(5));
        state.failures += 1;
        state.suspected_until = now + backoff.min(MAX_SUSPICION);
        self.prefix_index.forget(i);
    }

    /// Records a load reading of an endpoint, unless a newer one is known.
    pub fn record_reading(&mut self, endpoint: &str, reading: Reading) {
        if let Some(state) = self.state_mut(endpoint) {
            state.take_reading(reading);
        }
    }

    /// Records that an endpoint's VM goes away at `at`. Of several times the earliest counts; only
    /// [`Router::replaced`] takes it back.
    pub fn leave(&mut self, endpoint: &str, at: Duration) {
        if let Some(state) = self.state_mut(endpoint) {
            let known = state.leaving_at.unwrap_or(at);
            state.leaving_at = Some(known.min(at));
        }
    }

    /// Makes an endpoint usable again after its VM was replaced by a new one.
    pub fn replaced(&mut self, endpoint: &str) {
        let Some(&i) = self.position_by_name.get(endpoint) else {
            return;
        };
        self.states[i as usize].leaving_at = None;
        self.prefix_index.forget(i);
    }

    /// Applies one cache event of an endpoint.
    pub fn apply_cache_event(&mut self, endpoint: &str, event: &CacheEvent) {
        if let Some(&i) = self.position_by_name.get(endpoint) {
            self.prefix_index.take_event(i, event);
        }
    }

    /// Sets the measured rates of a pool.
    pub fn set_rates(&mut self, pool: &str, rates: Rates) {
        self.rates.insert(pool.to_string(), rates);
    }

    /// Returns the load of a pool's usable endpoints in thousandths of their slots; above 1000
    /// requests wait, and `u64::MAX` means that no endpoint is usable.
    pub fn utilization_milli(&self, now: Duration, pool: &str) -> u64 {
        let members = self.pools.get(pool).map(Vec::as_slice).unwrap_or_default();
        let usable = members.iter().map(|i| &self.states[*i as usize]);
        let usable = usable.filter(|s| s.is_usable(now));
        let (load, slots) = usable.fold((0, 0), |(load, slots), s| {
            (
                load + u64::from(s.load()),
                slots + s.spec.slots.max(1) as u64,
            )
        });
        match slots {
            0 => u64::MAX,
            slots => load * 1000 / slots,
        }
    }

    /// Returns the number of prompt blocks that some endpoint is believed to have cached.
    pub fn cached_blocks(&self) -> usize {
        self.prefix_index.len()
    }

    /// Returns the state of an endpoint.
    pub fn state(&self, endpoint: &str) -> Option<&EndpointState> {
        self.position_by_name
            .get(endpoint)
            .map(|i| &self.states[*i as usize])
    }

    /// Returns the states of all endpoints in configuration order.
    pub fn states(&self) -> &[EndpointState] {
        &self.states
    }

    fn state_mut(&mut self, endpoint: &str) -> Option<&mut EndpointState> {
        let i = *self.position_by_name.get(endpoint)?;
        Some(&mut self.states[i as usize])
    }

    fn is_usable(&self, i: u32, now: Duration, request: &RoutingRequest<'_>) -> bool {
        let state = &self.states[i as usize];
        state.is_usable(now) && !request.exclude.contains(&state.spec.name)
    }

    fn estimates(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        usable: &[u32],
    ) -> Vec<(u32, Estimate)> {
        let cached = self.cached_tokens(request, usable);
        let pool_summary = self.pool_summary(usable);
        let rates = self.rates.get(request.pool).copied().unwrap_or_default();
        let estimate_at = |(i, cached): (&u32, u32)| {
            let state = &self.states[*i as usize];
            (
                *i,
                estimate(now, request, state, cached, pool_summary, rates),
            )
        };
        usable.iter().zip(cached).map(estimate_at).collect()
    }

    fn pool_summary(&self, usable: &[u32]) -> PoolSummary {
        let states = usable.iter().map(|i| &self.states[*i as usize]);
        let mut pool_summary = PoolSummary {
            mean_load: 0.0,
            min_price: f64::MAX,
        };
        for state in states {
            let per_slot = state.spec.price_milli as f64 / f64::from(state.spec.slots.max(1));
            pool_summary.mean_load += f64::from(state.load()) / usable.len() as f64;
            pool_summary.min_price = pool_summary.min_price.min(per_slot);
        }
        pool_summary
    }

    fn cached_tokens(&self, request: &RoutingRequest<'_>, usable: &[u32]) -> Vec<u32> {
        let mut cached = vec![0; usable.len()];
        if request.prompt.tokens == 0 {
            return cached;
        }
        if let Some(home) = self.home(request, usable) {
            cached[home] = (f64::from(request.prompt.earlier_tokens) * HOME_SHARE) as u32;
        }
        self.prefix_index
            .holders(&request.prompt.blocks, |endpoint, depth| {
                if let Ok(position) = usable.binary_search(&endpoint) {
                    let tokens = (depth * BLOCK_BYTES / BYTES_PER_TOKEN) as u32;
                    cached[position] = cached[position].max(tokens);
                }
            });
        cached
    }

    fn home(&self, request: &RoutingRequest<'_>, usable: &[u32]) -> Option<usize> {
        let name = |i: u32| self.states[i as usize].spec.name.as_str();
        let positions = 0..usable.len();
        positions.max_by_key(|p| weight(request.prompt.home, name(usable[*p])))
    }

    fn candidate(&self, i: u32, estimate: Estimate) -> Candidate {
        Candidate {
            endpoint: self.states[i as usize].spec.name.clone(),
            estimate,
        }
    }

    fn decision(
        &self,
        chosen: u32,
        estimate: Estimate,
        runner_up: Option<Candidate>,
        (weighed, passed_over): (u32, u32),
    ) -> Decision {
        Decision {
            chosen: self.candidate(chosen, estimate),
            runner_up,
            weighed,
            passed_over,
        }
    }
}

type EndpointEstimate = (u32, Estimate);

// Returns the best endpoint, chosen at random among those within `TIE_MS` of the lowest score, and
// the best of the others.
fn best_two(
    estimates: &[EndpointEstimate],
    rng: &mut impl Rng,
) -> Option<(EndpointEstimate, Option<EndpointEstimate>)> {
    let lowest_score = estimates
        .iter()
        .map(|(_, e)| e.score)
        .fold(f64::MAX, f64::min);
    let tied: Vec<&EndpointEstimate> = estimates
        .iter()
        .filter(|(_, e)| e.score <= lowest_score + TIE_MS)
        .collect();
    if tied.is_empty() {
        return None;
    }
    let chosen = *tied[rng.random_range(0..tied.len())];
    let others = estimates.iter().filter(|(i, _)| *i != chosen.0);
    let second = others.min_by(|a, b| a.1.score.total_cmp(&b.1.score));
    Some((chosen, second.copied()))
}
