//! Requests that began to run, by window and tenant, merged over all gateways.
//!
//! Each gateway tells its counts as totals of its process, so that a message that is lost or comes
//! twice changes nothing. Pure: time comes in as values.

mod ledger;
mod reporter;

pub use ledger::{Ledger, Source};
pub use reporter::{Report, Reporter, Step, Terms};
