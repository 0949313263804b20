//! Replays recorded traces through the pure decisions, with fake engines in virtual time, and
//! compares the result with the outcomes that the trace states.
//!
//! The engines are small: slots, a fixed token rate, prefill in proportion to what is not cached,
//! and an LRU prefix cache. Batching effects and network delays are not modelled.

mod engine;
mod generate;
mod node;
mod report;
mod request;
mod trace;
mod world;

pub use generate::{generate, Deployment, Story};
pub use report::Report;
pub use trace::{parse, write, Expect, Line, TraceError};
pub use world::{replay, Options};
