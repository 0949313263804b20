//! What a process holds for callers and endpoints, in bytes, against the memory of its VM.
//!
//! Bytes are reserved before they are read and given back when what holds them is dropped. Nothing here reads a clock or a
//! socket; times are passed in.

mod budget;
mod ledger;
mod patience;
mod pause;
mod rate;
mod slowest;

pub use budget::{Budget, Tables};
pub use ledger::{Account, Hold, Kind, Ledger};
pub use patience::body_patience;
pub use pause::{PauseGate, Turn};
pub use rate::ReleaseRate;
pub use slowest::{slowest, Delivery, Terms};
