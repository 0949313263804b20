//! Load of a service, as the number of endpoints that it keeps fully busy.
//!
//! An engine reads prompts (prefill) and generates tokens (decode) in the same steps, so the time
//! for both adds up. Prefill time does not depend on the other requests. Decode time per token
//! falls as more requests share a step. The load is therefore computed for the largest batch at
//! which pauses between tokens and whole answers still meet the bounds of nearly all streams on a
//! fully busy engine.

use engine::Law;

/// Maximum slot utilization of endpoints that are not engines. Gateways choose endpoints by gossip
/// that is slightly stale, so some run full while others have free slots.
const MAX_SLOT_UTILIZATION: f64 = 0.7;
/// Minimum fraction of an engine's slots that is assumed to be usable. Stream bounds that would
/// require a smaller fraction cannot be met by adding endpoints.
const MIN_SLOT_UTILIZATION: f64 = 0.125;

/// Demand on the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Prompt tokens to read per second.
    pub prompt_tokens_per_s: f64,
    /// Requests at the endpoints.
    pub requests: u32,
    /// Number of endpoints that the requests are spread over.
    pub endpoints: u32,
    /// Number of requests that one endpoint handles concurrently.
    pub slots: u32,
    /// Capacity lost to the rate limits that endpoints announce, in endpoints.
    pub limited_endpoints: f64,
    /// Capacity of an endpoint.
    pub bearing: Bearing,
}

/// How the capacity of an endpoint is determined.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Bearing {
    /// By its number of slots.
    #[default]
    Slots,
    /// The endpoints are engines, and there are too few samples to estimate their step time.
    Unknown,
    /// The endpoints are engines with a known step time.
    Engine {
        /// Step time of the engines.
        law: Law,
        /// Longest time per token that meets the bounds of the streams, in milliseconds.
        pace_ms: f64,
    },
}

/// Parts of a load, in fully busy endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadParts {
    /// Endpoints for reading prompts.
    pub prefill: f64,
    /// Endpoints for generating tokens, or for holding requests where there are no engines.
    pub decode: f64,
    /// Maximum number of concurrent requests at one endpoint.
    pub max_running: u32,
}

impl LoadParts {
    /// Number of fully busy endpoints.
    pub fn endpoints(self) -> f64 {
        self.prefill + self.decode
    }
}

impl Load {
    /// Parts of the load; `None` while the capacity of an endpoint is not known.
    pub fn parts(self) -> Option<LoadParts> {
        if self.requests == 0 && self.prompt_tokens_per_s <= 0.0 {
            return Some(LoadParts::default());
        }
        match self.bearing {
            Bearing::Slots => Some(self.slot_parts()),
            Bearing::Unknown => None,
            Bearing::Engine { law, pace_ms } => Some(self.engine_parts(law, pace_ms)),
        }
    }

    /// Number of fully busy endpoints plus the capacity lost to rate limits; `None` while the
    /// capacity of an endpoint is not known.
    pub fn endpoints_needed(self) -> Option<f64> {
        let busy = self.parts()?.endpoints();
        Some(match busy > 0.0 {
            true => busy + self.limited_endpoints,
            false => 0.0,
        })
    }

    fn slot_parts(self) -> LoadParts {
        let max_running = f64::from(self.slots.max(1)) * MAX_SLOT_UTILIZATION;
        LoadParts {
            prefill: 0.0,
            decode: f64::from(self.requests) / max_running,
            max_running: max_running as u32,
        }
    }

    fn engine_parts(self, law: Law, pace_ms: f64) -> LoadParts {
        let prefill = self.prompt_tokens_per_s / 1000.0 * law.per_read_ms;
        let generated = self.generated_per_ms(law, prefill);
        let parts = |max_running: u32| LoadParts {
            prefill,
            decode: generated * law.decode_step_ms(f64::from(max_running)) / f64::from(max_running),
            max_running,
        };
        let slots = self.slots.max(1);
        let min_running = (f64::from(slots) * MIN_SLOT_UTILIZATION).ceil() as u32;
        let meets_bounds = |parts: &LoadParts| busy_pace_ms(parts, law) <= pace_ms;
        let counts = (min_running..=slots).rev().map(parts);
        counts
            .into_iter()
            .find(meets_bounds)
            .unwrap_or(parts(min_running))
    }

    // Tokens that all endpoints together generate in a millisecond. Each running request gets one
    // per step, and steps pause while prompts are read.
    fn generated_per_ms(self, law: Law, prefill: f64) -> f64 {
        let endpoints = f64::from(self.endpoints.max(1));
        let running = f64::from(self.requests);
        let decode_fraction = (1.0 - prefill / endpoints).clamp(0.0, 1.0);
        running * decode_fraction / law.decode_step_ms(running / endpoints)
    }
}

// Time per token at fully busy endpoints, in milliseconds.
fn busy_pace_ms(parts: &LoadParts, law: Law) -> f64 {
    let step_ms = law.decode_step_ms(f64::from(parts.max_running));
    match parts.decode > 0.0 {
        true => step_ms * parts.endpoints() / parts.decode,
        false => step_ms,
    }
}
