//! The load of a service, in endpoints that would be busy all the time.
//!
//! An engine reads prompts and makes tokens in the same steps, so what the two take of its time adds up. Reading takes
//! the same time whatever runs beside; making a token takes the less the more requests share its step. So the load is
//! counted at the most requests that an engine may run: at that number pauses and whole answers are still in time for
//! nearly all streams while the engine is busy all the time.

use engine::Law;

/// Part of the slots of plain endpoints that their requests should need at most: gateways choose by gossip that is a
/// little old, so some endpoints run full while others have room.
const MAX_SLOT_UTILIZATION: f64 = 0.7;
/// Least part of its slots that an engine is taken to bear: bounds that are tighter than that cannot be held by more
/// endpoints.
const MIN_SLOT_UTILIZATION: f64 = 0.125;

/// What is asked of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Tokens of prompts that are to be read in a second.
    pub prompt_tokens_per_s: f64,
    /// Requests at the endpoints.
    pub requests: u32,
    /// Endpoints that they are spread over.
    pub endpoints: u32,
    /// Requests that one endpoint works on at once.
    pub slots: u32,
    /// What the limits that endpoints name take away of them, in endpoints.
    pub limited_endpoints: f64,
    /// What the endpoints can bear.
    pub bearing: Bearing,
}

/// What endpoints can bear.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Bearing {
    /// As many requests as they have slots.
    #[default]
    Slots,
    /// Engines of which not enough was seen yet.
    Unknown,
    /// Engines that follow a law.
    Engine {
        /// Time of their steps.
        law: Law,
        /// Longest time for a token that keeps streams within their bounds, in milliseconds.
        pace_ms: f64,
    },
}

/// A load by its parts, in endpoints that would be busy all the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadParts {
    /// For reading prompts.
    pub prefill: f64,
    /// For making tokens, or for holding requests where nothing is read.
    pub decode: f64,
    /// Requests that one endpoint bears.
    pub max_running: u32,
}

impl LoadParts {
    /// Endpoints that would be busy all the time.
    pub fn endpoints(self) -> f64 {
        self.prefill + self.decode
    }
}

impl Load {
    /// The load; `None` while it is not known what the endpoints can bear.
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

    /// Endpoints that the load would keep busy all the time, and those that stand in for what limits take away; `None` while
    /// it is not known what the endpoints can bear.
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

    // Tokens that all endpoints together make in a millisecond: each running request gets one in each step, and steps
    // wait while prompts are read.
    fn generated_per_ms(self, law: Law, prefill: f64) -> f64 {
        let endpoints = f64::from(self.endpoints.max(1));
        let running = f64::from(self.requests);
        let decode_fraction = (1.0 - prefill / endpoints).clamp(0.0, 1.0);
        running * decode_fraction / law.decode_step_ms(running / endpoints)
    }
}

// Time for a token at endpoints that are busy all the time, in milliseconds.
fn busy_pace_ms(parts: &LoadParts, law: Law) -> f64 {
    let step_ms = law.decode_step_ms(f64::from(parts.max_running));
    match parts.decode > 0.0 {
        true => step_ms * parts.endpoints() / parts.decode,
        false => step_ms,
    }
}
