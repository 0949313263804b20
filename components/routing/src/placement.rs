//! Places requests on endpoints that other gateways send to as well.
//!
//! Each gateway keeps a [`Balancer`]: for each endpoint the queued prompts, the running requests
//! and the prompt prefixes it is believed to cache. Gateways report to each other what they sent,
//! so their balancers agree except for the delay of these reports.

mod balancer;
mod cache;
mod choice;
mod chunks;
mod engines;
mod entry;
mod exclusion;
mod halls;
mod index;
mod mix;
mod network_cost;
mod queue;
mod region_link;
mod service;
mod sight;
mod slowdown;
mod speed;
mod timings;
mod unreported;

pub use balancer::{Balancer, Placement, Ticket};
pub use cache::PromptCache;
pub use engines::HallLoad;
pub use exclusion::Exclusion;
pub use network_cost::NetworkCosts;
pub use queue::PromptQueue;
pub use region_link::link_bytes;
pub use sight::Sight;
pub use slowdown::Slowdown;

use std::time::Duration;

/// One part of a prompt. A part that occurs in several prompts has the same id in all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id that all occurrences of the part share.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// What placement has to know of a request.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Name of the service that runs the request.
    pub service: String,
    /// Parts of the prompt in order. The last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens; 0 for a request without a prompt.
    pub prompt_tokens: u32,
    /// Estimated length of the answer in tokens; 0 if unknown.
    pub answer_tokens: u32,
    /// Size of the request body in bytes.
    pub body_bytes: u32,
}

/// Versions of a service's software that may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions<'a> {
    /// All versions.
    Any,
    /// All versions except this one.
    Not(&'a str),
    /// Only this version.
    Only(&'a str),
    /// Only this version, and only on the first endpoints up to this number, so that each of them
    /// is as loaded as the endpoints of the other version.
    Few(&'a str, usize),
}

impl Versions<'_> {
    /// Whether an endpoint of this version may run the request.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Versions::Any => true,
            Versions::Not(other) => version != *other,
            Versions::Only(only) | Versions::Few(only, _) => version == *only,
        }
    }
}

/// Returns the hashes of a prompt's prefixes: the one at `i` covers the parts up to and including
/// `i`.
pub fn prefix_hashes(parts: &[PromptPart]) -> Vec<u64> {
    let mut hash = 0;
    let mut hashes = Vec::with_capacity(parts.len());
    for part in parts {
        hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        hashes.push(hash);
    }
    hashes
}

/// Returns the hash by which gateways refer to an endpoint in messages.
pub fn endpoint_hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

/// Returns the hash by which gateways refer to one run of an endpoint's process in messages. What
/// they report about a run does not apply to the next one. `born_ms` is the start time of the
/// process, if known.
pub fn incarnation(id: &str, born_ms: Option<u64>) -> u64 {
    let id_hash = endpoint_hash(id);
    match born_ms {
        Some(born) => xxhash_rust::xxh3::xxh3_64_with_seed(&born.to_le_bytes(), id_hash),
        None => id_hash,
    }
}

/// A request that another gateway sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerDispatch {
    /// [`incarnation`] of the endpoint.
    pub endpoint: u64,
    /// Prompt tokens that the endpoint is expected to read, that is, without the cached ones.
    pub unread_tokens: u32,
    /// Hash of the prompt's shared prefix, 0 if it has none.
    pub shared_prompt: u64,
    /// Time it was sent, on this gateway's clock.
    pub sent_at: Duration,
    /// Expected time from sending the request to its end.
    pub hold: Duration,
}

/// Classifies a request that was dropped before its endpoint answered.
///
/// `waited` is the time since it was sent, `expected` the expected time to the first token and
/// `given` the time limit of the request. Callers give up shortly before the limit, so a wait of
/// half of it already counts as no response.
pub fn signal_without_answer(
    waited: Duration,
    expected: Duration,
    given: Duration,
) -> HealthSignal {
    const MIN_SILENCE: Duration = Duration::from_secs(1);
    const EXPECTED_FACTOR: u32 = 4;
    let min_silence = MIN_SILENCE.max(expected * EXPECTED_FACTOR);
    match waited >= min_silence.min(given / 2) {
        true => HealthSignal::Unresponsive,
        false => HealthSignal::Inconclusive,
    }
}

/// What the end of a request shows about the health of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The endpoint answered without an error.
    Healthy,
    /// The endpoint answered with an error of its own or broke off its answer.
    Faulty,
    /// The endpoint could not be reached or did not respond.
    Unresponsive,
    /// Shows nothing about the endpoint: the caller left, or the endpoint had no room.
    Inconclusive,
}
