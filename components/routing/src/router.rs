//! The router of one node.

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
use crate::score::{estimate, Estimate, PoolView, Rates};

/// Choices this close in score are distinguished at random, so that nodes with the same stale
/// reading do not all send to one endpoint.
const TIE_MS: f64 = 4.0;
/// Share of an earlier turn's tokens expected at the home when this node did not send that turn.
const HOME_SHARE: f64 = 0.8;
/// First time an endpoint is passed over after failures; it doubles with each one.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// Longest time an endpoint is passed over.
const MAX_SUSPICION: Duration = Duration::from_secs(8);
/// Weight of a new sample in the running means, one part in this many.
const MEAN_SAMPLES: f64 = 16.0;

/// All endpoints a node may send to and what it knows of them.
#[derive(Debug, Default)]
pub struct Router {
    states: Vec<EndpointState>,
    index: HashMap<String, u32>,
    pools: BTreeMap<String, Vec<u32>>,
    rates: BTreeMap<String, Rates>,
    prefix_index: PrefixIndex,
    policy: Policy,
}

impl Router {
    /// A router that chooses by `policy`; only measurements use another than the default.
    pub fn with_policy(policy: Policy) -> Self {
        Router {
            policy,
            ..Router::default()
        }
    }

    /// Takes the endpoints of a new configuration; what is known of those that stay is kept.
    pub fn configure(&mut self, endpoints: &[Endpoint]) {
        let mut known: HashMap<String, EndpointState> = std::mem::take(&mut self.states)
            .into_iter()
            .map(|state| (state.spec.name.clone(), state))
            .collect();
        let old_index = std::mem::take(&mut self.index);
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
            self.index.insert(spec.name.clone(), position as u32);
            self.pools
                .entry(spec.pool.clone())
                .or_default()
                .push(position as u32);
        }
        if old_index
            .iter()
            .any(|(name, i)| self.index.get(name) != Some(i))
        {
            self.prefix_index = PrefixIndex::default();
        }
    }

    /// The endpoint for a request, or `None` if no endpoint of the pool is usable.
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
            .filter(|i| self.usable(*i, now, request))
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
        let weighed = self.weigh(now, request, &usable);
        let (first, second) = best_two(&weighed, rng)?;
        let runner_up = second.map(|(i, e)| self.candidate(i, e));
        Some(self.decision(
            first.0,
            first.1,
            runner_up,
            (usable.len() as u32, passed_over),
        ))
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, endpoint: &str, request: &RoutingRequest<'_>) {
        let Some(&i) = self.index.get(endpoint) else {
            return;
        };
        self.states[i as usize].own += 1;
        self.prefix_index.store(i, &request.prompt.blocks);
    }

    /// Notes that a request ended; `held` is how long it had a slot.
    pub fn ended(&mut self, endpoint: &str, held: Duration) {
        let Some(&i) = self.index.get(endpoint) else {
            return;
        };
        let state = &mut self.states[i as usize];
        state.own = state.own.saturating_sub(1);
        let rates = self.rates.entry(state.spec.pool.clone()).or_default();
        rates.hold_ms += (held.as_secs_f64() * 1000.0 - rates.hold_ms) / MEAN_SAMPLES;
    }

    /// Notes that an endpoint answered.
    pub fn answered(&mut self, endpoint: &str) {
        if let Some(state) = self.state_mut(endpoint) {
            state.failures = 0;
            state.suspected_until = Duration::ZERO;
        }
    }

    /// Notes a failure: the endpoint is passed over for a while.
    pub fn failed(&mut self, now: Duration, endpoint: &str) {
        let Some(&i) = self.index.get(endpoint) else {
            return;
        };
        let state = &mut self.states[i as usize];
        let pause = FIRST_SUSPICION * (1 << state.failures.min(5));
        state.failures += 1;
        state.suspected_until = now + pause.min(MAX_SUSPICION);
        self.prefix_index.forget(i);
    }

    /// Takes a reading of an endpoint's load.
    pub fn record_reading(&mut self, endpoint: &str, reading: Reading) {
        if let Some(state) = self.state_mut(endpoint) {
            state.take_reading(reading);
        }
    }

    /// Notes that an endpoint leaves; no later message takes this back.
    pub fn leave(&mut self, endpoint: &str, at: Duration) {
        if let Some(state) = self.state_mut(endpoint) {
            let known = state.leaving_at.unwrap_or(at);
            state.leaving_at = Some(known.min(at));
        }
    }

    /// Takes back a leave, when the endpoint's VM was replaced by a new one.
    pub fn replaced(&mut self, endpoint: &str) {
        let Some(&i) = self.index.get(endpoint) else {
            return;
        };
        self.states[i as usize].leaving_at = None;
        self.prefix_index.forget(i);
    }

    /// Takes one cache event of an endpoint.
    pub fn apply_cache_event(&mut self, endpoint: &str, event: &CacheEvent) {
        if let Some(&i) = self.index.get(endpoint) {
            self.prefix_index.take_event(i, event);
        }
    }

    /// Sets the speeds of a pool.
    pub fn set_rates(&mut self, pool: &str, rates: Rates) {
        self.rates.insert(pool.to_string(), rates);
    }

    /// Share of a pool's usable slots in use, in thousandths; above 1000 requests wait.
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

    /// Blocks of prompts that some endpoint is believed to have cached.
    pub fn cached_blocks(&self) -> usize {
        self.prefix_index.len()
    }

    /// What is known of an endpoint.
    pub fn state(&self, endpoint: &str) -> Option<&EndpointState> {
        self.index.get(endpoint).map(|i| &self.states[*i as usize])
    }

    /// All endpoints in the order of the configuration.
    pub fn states(&self) -> &[EndpointState] {
        &self.states
    }

    fn state_mut(&mut self, endpoint: &str) -> Option<&mut EndpointState> {
        let i = *self.index.get(endpoint)?;
        Some(&mut self.states[i as usize])
    }

    fn usable(&self, i: u32, now: Duration, request: &RoutingRequest<'_>) -> bool {
        let state = &self.states[i as usize];
        state.is_usable(now) && !request.exclude.contains(&state.spec.name)
    }

    fn weigh(
        &self,
        now: Duration,
        request: &RoutingRequest<'_>,
        usable: &[u32],
    ) -> Vec<(u32, Estimate)> {
        let cached = self.cached_tokens(request, usable);
        let view = self.view(usable);
        let rates = self.rates.get(request.pool).copied().unwrap_or_default();
        let weigh = |(i, cached): (&u32, u32)| {
            let state = &self.states[*i as usize];
            (*i, estimate(now, request, state, cached, view, rates))
        };
        usable.iter().zip(cached).map(weigh).collect()
    }

    fn view(&self, usable: &[u32]) -> PoolView {
        let states = usable.iter().map(|i| &self.states[*i as usize]);
        let mut view = PoolView {
            mean_load: 0.0,
            least_price: f64::MAX,
        };
        for state in states {
            let per_slot = state.spec.price_milli as f64 / f64::from(state.spec.slots.max(1));
            view.mean_load += f64::from(state.load()) / usable.len() as f64;
            view.least_price = view.least_price.min(per_slot);
        }
        view
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

type Weighed = (u32, Estimate);

// The best, chosen from its near equals at random, and the next best.
fn best_two(weighed: &[Weighed], rng: &mut impl Rng) -> Option<(Weighed, Option<Weighed>)> {
    let least = weighed
        .iter()
        .map(|(_, e)| e.score)
        .fold(f64::MAX, f64::min);
    let near: Vec<&Weighed> = weighed
        .iter()
        .filter(|(_, e)| e.score <= least + TIE_MS)
        .collect();
    if near.is_empty() {
        return None;
    }
    let chosen = *near[rng.random_range(0..near.len())];
    let others = weighed.iter().filter(|(i, _)| *i != chosen.0);
    let second = others.min_by(|a, b| a.1.score.total_cmp(&b.1.score));
    Some((chosen, second.copied()))
}
