//! Quarantine of requests that crash the endpoints which run them.
//!
//! State is kept by a request's content, not its id, so it outlives the attempt, the connection and the caller's retry with
//! a new id. All gateways that have the same observations come to the same result.

mod completions;
mod fingerprint;
mod quarantine;

pub use fingerprint::{Content, Fingerprint};
pub use quarantine::{Held, Observation, Quarantine};
