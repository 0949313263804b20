//! What endpoints say of themselves in their answers to this gateway: that they leave, that they want a pause, or
//! how many requests a second they take.
//!
//! Such a word is the process's that said it. It is kept by the endpoint's start, so that it outlives connections, the
//! endpoint's record and lists of endpoints, and ends with the process.

mod notices;

pub use notices::{Availability, LimitNotice, Notices};
