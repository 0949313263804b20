//! Requests that end the endpoints which run them.

mod fingerprint;

pub use fingerprint::{Content, Fingerprint};
