//! Quarantine of requests that crash the endpoints which run them.
//!
//! State is kept by a request's content, not its id, so it outlives the attempt, the connection and the caller's retry with
//! a new id. All gateways that have the same observations come to the same result.
//!
//! A part that several requests share may crash endpoints whatever else the requests hold. Of the parts on which endpoints
//! ended, those count that no endpoint has begun to answer since; requests that have all parts which can't be told apart are
//! held back, and others are sent, which clears the sound ones.

mod completions;
mod fingerprint;
mod holds;
mod part_ends;
mod part_holds;
mod quarantine;

pub use fingerprint::{prompt_part, Content, Fingerprint};
pub use part_holds::{HeldParts, PartQuarantine, PartsVerdict};
pub use quarantine::{EndedRun, Held, Observation, Quarantine};
