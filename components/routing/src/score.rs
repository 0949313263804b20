//! Expected cost of running a request at an endpoint, in milliseconds of latency.

use std::time::Duration;

use crate::decision::RoutingRequest;
use crate::endpoint::EndpointState;

/// Cost of a price per slot of twice the pool's lowest, in milliseconds. The cost is proportional to
/// the excess over the lowest price.
const PRICE_RATIO_MS: f64 = 60.0;
/// Weight of each millisecond past the target.
const LATE_WEIGHT: f64 = 3.0;
/// Cost of sharing an endpoint with other requests, in milliseconds. It grows with the share of
/// slots in use up to this value.
const SHARING_MS: f64 = 30.0;
/// Spread of an endpoint's true load around the known load, in requests: other nodes send there
/// too, and readings lag.
const LOAD_SCATTER: f64 = 2.0;
/// Age from which a load reading says no more than the mean of the pool.
const MAX_READING_AGE: Duration = Duration::from_secs(15);

/// Measured rates of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prefill time per token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Mean time a request holds a slot, in milliseconds.
    pub hold_ms: f64,
    /// Probability that a reclaimable endpoint is reclaimed while a request runs there.
    pub reclaim_risk: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Rates {
            prefill_ms_per_token: 0.2,
            hold_ms: 3000.0,
            reclaim_risk: 0.001,
        }
    }
}

/// Estimated times and score of a request at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Prefill time of the tokens that are not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Prompt tokens that are expected to be cached there.
    pub cached_tokens: u32,
    /// Total cost in milliseconds; the lowest is best.
    pub score: f64,
}

/// Values over all usable endpoints of a pool for one decision.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolSummary {
    pub mean_load: f64,
    pub min_price: f64,
}

/// Estimates times and score of a request at one endpoint.
pub(crate) fn estimate(
    now: Duration,
    request: &RoutingRequest<'_>,
    state: &EndpointState,
    cached_tokens: u32,
    pool: PoolSummary,
    rates: Rates,
) -> Estimate {
    let slots = f64::from(state.spec.slots.max(1));
    let wait_ms = expected_wait_ms(now, state, slots, pool, rates);
    let uncached = request.prompt.tokens.saturating_sub(cached_tokens);
    let prefill_ms = f64::from(uncached) * rates.prefill_ms_per_token;
    let weight = f64::from(request.latency_weight.min(100)) / 100.0;
    let late_ms = (wait_ms + prefill_ms - request.target.as_secs_f64() * 1000.0).max(0.0);
    let price = price_ratio(state, pool) * PRICE_RATIO_MS;
    let risk = risk_ms(request, state, rates);
    Estimate {
        wait_ms,
        prefill_ms,
        cached_tokens,
        score: prefill_ms
            + risk
            + weight * wait_ms
            + (1.0 - weight) * price
            + LATE_WEIGHT * late_ms,
    }
}

fn expected_wait_ms(
    now: Duration,
    state: &EndpointState,
    slots: f64,
    pool: PoolSummary,
    rates: Rates,
) -> f64 {
    let age = now.saturating_sub(state.reading.at);
    let staleness = (age.as_secs_f64() / MAX_READING_AGE.as_secs_f64()).min(1.0);
    let load = f64::from(state.load());
    let load = load + (pool.mean_load - load).max(0.0) * staleness;
    let sharing = (load / slots).min(1.0) * SHARING_MS;
    sharing + expected_ahead(load - slots + 1.0) * rates.hold_ms / slots
}

// Returns the expected number of requests ahead in the queue, given how far the known load is past
// the last free slot. The true load scatters around the known one, so a wait is expected even
// before all slots are taken.
fn expected_ahead(past_last_slot: f64) -> f64 {
    LOAD_SCATTER * (past_last_slot / LOAD_SCATTER).exp().ln_1p()
}

fn price_ratio(state: &EndpointState, pool: PoolSummary) -> f64 {
    let per_slot = state.spec.price_milli as f64 / f64::from(state.spec.slots.max(1));
    per_slot / pool.min_price.max(1.0) - 1.0
}

// After a reclaim the whole prompt has to be read again at another endpoint.
fn risk_ms(request: &RoutingRequest<'_>, state: &EndpointState, rates: Rates) -> f64 {
    if !state.is_reclaimable() {
        return 0.0;
    }
    rates.reclaim_risk * f64::from(request.prompt.tokens) * rates.prefill_ms_per_token
}
