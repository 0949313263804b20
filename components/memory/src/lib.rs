//! Accounting of the bytes that a process holds for callers and endpoints, against the memory of its VM.
//!
//! Bytes are reserved before they are read, and released when their reservation is dropped. The crate reads no clock and
//! does no I/O; times are passed in.

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
