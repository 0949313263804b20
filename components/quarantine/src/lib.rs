//! Requests that end the endpoints which run them, and what is sent to no endpoint any more.
//!
//! What is known belongs to a request's content: it outlives the attempt, the connection and the caller's next try with a
//! new id, and every gateway reckons the same from the same observations.

mod completions;
mod fingerprint;
mod quarantine;

pub use fingerprint::{Content, Fingerprint};
pub use quarantine::{Held, Observation, Quarantine};
