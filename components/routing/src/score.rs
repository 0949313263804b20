//! The expected cost of running a request at an endpoint, in milliseconds of latency.

use std::time::Duration;

use crate::decision::RoutingRequest;
use crate::endpoint::EndpointState;

/// Prices are weighed against the cheapest endpoint of the pool: this many milliseconds a factor.
const PRICE_MS: f64 = 60.0;
/// Weight of a millisecond past the target.
const LATE_WEIGHT: f64 = 3.0;
/// Cost of sharing an endpoint that still has a free slot, at the last slot.
const SHARING_MS: f64 = 30.0;
/// How far an endpoint's true load scatters around the load known here, in requests: other nodes
/// send there too, and readings lag.
const LOAD_SCATTER: f64 = 2.0;
/// Age at which a reading says nothing more than the mean of the pool does.
const READING_LIFE: Duration = Duration::from_secs(15);

/// Speeds that an owner measures and routing reckons with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prefill of one token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Mean time a request holds a slot, in milliseconds.
    pub hold_ms: f64,
    /// Chance that a reclaimable endpoint is reclaimed while a request runs there.
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

/// What is expected of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Prefill of what is not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Tokens believed cached.
    pub cached_tokens: u32,
    /// The whole cost; the least wins.
    pub score: f64,
}

/// What a pool's endpoints have in common in one decision.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolView {
    pub mean_load: f64,
    pub least_price: f64,
}

/// Weighs one endpoint.
pub(crate) fn estimate(
    now: Duration,
    request: &RoutingRequest<'_>,
    state: &EndpointState,
    cached_tokens: u32,
    view: PoolView,
    rates: Rates,
) -> Estimate {
    let slots = f64::from(state.spec.slots.max(1));
    let wait_ms = wait(now, state, slots, view, rates);
    let uncached = request.prompt.tokens.saturating_sub(cached_tokens);
    let prefill_ms = f64::from(uncached) * rates.prefill_ms_per_token;
    let weight = f64::from(request.latency_weight.min(100)) / 100.0;
    let late = (wait_ms + prefill_ms - request.target.as_secs_f64() * 1000.0).max(0.0);
    let price = price_ratio(state, view) * PRICE_MS;
    let risk = risk_ms(request, state, rates);
    Estimate {
        wait_ms,
        prefill_ms,
        cached_tokens,
        score: prefill_ms + risk + weight * wait_ms + (1.0 - weight) * price + LATE_WEIGHT * late,
    }
}

fn wait(now: Duration, state: &EndpointState, slots: f64, view: PoolView, rates: Rates) -> f64 {
    let age = now.saturating_sub(state.reading.at);
    let staleness = (age.as_secs_f64() / READING_LIFE.as_secs_f64()).min(1.0);
    let load = f64::from(state.load());
    let load = load + (view.mean_load - load).max(0.0) * staleness;
    let sharing = (load / slots).min(1.0) * SHARING_MS;
    sharing + ahead(load - slots + 1.0) * rates.hold_ms / slots
}

// Requests expected ahead in the queue, given how far the load known here is past the last free
// slot. The true load scatters around it, so a wait is expected before the slots are all taken.
fn ahead(past_last_slot: f64) -> f64 {
    LOAD_SCATTER * (past_last_slot / LOAD_SCATTER).exp().ln_1p()
}

fn price_ratio(state: &EndpointState, view: PoolView) -> f64 {
    let per_slot = state.spec.price_milli as f64 / f64::from(state.spec.slots.max(1));
    per_slot / view.least_price.max(1.0) - 1.0
}

// A reclaim makes the whole prompt be computed again elsewhere.
fn risk_ms(request: &RoutingRequest<'_>, state: &EndpointState, rates: Rates) -> f64 {
    if !state.is_reclaimable() {
        return 0.0;
    }
    rates.reclaim_risk * f64::from(request.prompt.tokens) * rates.prefill_ms_per_token
}
