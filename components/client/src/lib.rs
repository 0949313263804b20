//! A small client for callers: it goes on with a stream at another node when one dies, and sends a
//! call that must not be repeated again only where that is safe.

mod call_once;
mod chat;
mod client;
mod error;

pub use call_once::Outcome;
pub use chat::{Answer, Chat};
pub use client::Client;
pub use error::ClientError;
