//! Client library for callers. It resumes a stream at another node when a node fails, and retries a
//! non-idempotent call only when the retry is safe.

mod call_once;
mod chat;
mod client;
mod error;

pub use call_once::ServiceAnswer;
pub use chat::{AnswerPart, ChatStream};
pub use client::Client;
pub use error::ClientError;
