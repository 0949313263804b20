//! What a process holds for callers and endpoints, in bytes, against the memory of its VM.
//!
//! Bytes are reserved before they are read and given back when what holds them is dropped. Nothing here reads a clock or a
//! socket; times are passed in.

mod accept_gate;
mod body_wait;
mod budget;
mod eviction;
mod ledger;
mod release_rate;

pub use accept_gate::{PauseGate, Turn};
pub use body_wait::body_patience;
pub use budget::{Budget, Tables};
pub use eviction::{slowest, Delivery, Terms};
pub use ledger::{Account, Hold, Kind, Ledger};
pub use release_rate::ReleaseRate;
