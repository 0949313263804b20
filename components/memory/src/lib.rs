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

pub use accept_gate::{AcceptChange, AcceptGate};
pub use body_wait::max_body_wait;
pub use budget::{Budget, TableSizes};
pub use eviction::{eviction_candidate, Delivery, EndpointTimeouts};
pub use ledger::{Account, Kind, Ledger, Reservation};
pub use release_rate::ReleaseRate;
