//! Placement of requests on endpoints that other gateways send to as well.
//!
//! Each gateway keeps a board: for every endpoint the prompts ahead that are still to be read, the
//! requests that run there, and the prompt parts it keeps. Gateways report to each other what they sent,
//! so the boards agree but for the age of the gossip.

mod balancer;
mod cache;
mod choice;
mod departure;
mod engines;
mod exclusion;
mod halls;
mod mix;
mod network_cost;
mod pace;
mod queue;
mod service;
mod sight;
mod slot;
mod slowdown;
mod speed;
mod unknown;

pub use balancer::{Balancer, Placement, Ticket};
pub use cache::PromptCache;
pub use departure::link_bytes;
pub use engines::HallLoad;
pub use exclusion::Exclusion;
pub use network_cost::NetworkCosts;
pub use queue::PromptQueue;
pub use sight::Sight;
pub use slowdown::Slowdown;

use std::time::Duration;

/// One part of a prompt; parts that stand in several prompts have one id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What is to be placed.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Service that runs it.
    pub service: String,
    /// Parts of its prompt in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt, 0 for a plain request.
    pub prompt_tokens: u32,
    /// Tokens of the answer as far as can be guessed, 0 if unknown.
    pub answer_tokens: u32,
    /// Bytes of its body.
    pub body_bytes: u32,
}

/// Which versions of its service's software may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions<'a> {
    /// All.
    Any,
    /// All but this one.
    Not(&'a str),
    /// This one.
    Only(&'a str),
    /// This one, on so many of its endpoints only, so that these are loaded as the others are.
    Few(&'a str, usize),
}

impl Versions<'_> {
    /// Whether an endpoint of a version may run it.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Versions::Any => true,
            Versions::Not(other) => version != *other,
            Versions::Only(only) | Versions::Few(only, _) => version == *only,
        }
    }
}

/// Hashes of a prompt's beginnings: the one at `i` stands for the parts up to `i`.
pub fn beginnings(parts: &[PromptPart]) -> Vec<u64> {
    let mut hash = 0;
    let mut list = Vec::with_capacity(parts.len());
    for part in parts {
        hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        list.push(hash);
    }
    list
}

/// Hash under which gateways name an endpoint to each other.
pub fn endpoint_hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

/// Hash under which gateways name one start of an endpoint to each other: what they say of it ends with the process.
pub fn incarnation(id: &str, born_ms: Option<u64>) -> u64 {
    let id_hash = endpoint_hash(id);
    match born_ms {
        Some(born) => xxhash_rust::xxh3::xxh3_64_with_seed(&born.to_le_bytes(), id_hash),
        None => id_hash,
    }
}

/// What another gateway sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerDispatch {
    /// [`incarnation`] of the endpoint.
    pub endpoint: u64,
    /// Tokens that the endpoint is expected to read.
    pub unread_tokens: u32,
    /// Hash of the prompt's shared beginning, 0 if it has none.
    pub shared_prompt: u64,
    /// When it was sent, on this gateway's clock.
    pub sent_at: Duration,
    /// Time that it is expected to run.
    pub hold: Duration,
}

/// A request that is dropped before its endpoint said anything: whether that speaks of the endpoint.
/// Callers leave a little before the time of their requests is over, so the time itself says little.
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

/// How a request at an endpoint ended, as far as it speaks of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered well.
    Healthy,
    /// It answered with an error of its own, or broke its answer off.
    Faulty,
    /// It could not be reached or said nothing.
    Unresponsive,
    /// Says nothing of the endpoint: the caller left, or it had no room.
    Inconclusive,
}
