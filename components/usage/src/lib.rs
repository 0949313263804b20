//! Usage reports: counts of the requests that began to run, by time window and tenant, over all gateways.
//!
//! Each gateway reports its counts as totals of its process, so that lost and duplicate messages do
//! not change the result. No I/O and no clock: the caller passes the time in.

mod forwarding;
mod ledger;
mod reporter;

pub use forwarding::Forwarding;
pub use ledger::{Counts, Source, UsageLedger};
pub use reporter::{Report, Reporter, Step, WindowTiming};
