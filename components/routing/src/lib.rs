//! Chooses the endpoint that runs a request, by prefix affinity, load, price and reclaim risk.
//!
//! The library does no I/O: time and randomness are passed in as values. Baseline policies stand
//! beside the router so that benchmarks can compare against them.

mod baseline;
mod decision;
mod endpoint;
pub mod placement;
mod prefix_index;
mod prompt;
mod rendezvous;
mod router;
mod score;

pub use baseline::Policy;
pub use decision::{Candidate, Decision, RoutingRequest};
pub use endpoint::{EndpointState, Reading};
pub use prefix_index::{CacheEvent, CacheUpdate, PrefixIndex};
pub use prompt::{Prompt, BLOCK_BYTES, BYTES_PER_TOKEN};
pub use rendezvous::{rank, weight};
pub use router::Router;
pub use score::{Estimate, Rates};
