//! Requests that began to run, by window and tenant, merged over all gateways.
//!
//! Each gateway reports its counts as totals of its process, so that a message that is lost or comes
//! twice changes nothing. Pure: time comes in as values.

mod forwarding;
mod ledger;
mod reporter;

pub use forwarding::Forwarding;
pub use ledger::{Counts, Source, UsageLedger};
pub use reporter::{Report, Reporter, Step, WindowTiming};
