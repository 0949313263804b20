//! A gateway's replica of the store's rows, and the schedule by which it is kept up to date.
//!
//! A few gateways of a cell long-poll the store. The others pull rows and confirmations from them, and call the store
//! themselves only when their last confirmation is too old. The crate does no I/O: rows, times and reports of other
//! gateways are passed in, and the next step is returned.

mod follower;
mod revision;
mod table;

pub use follower::{Digest, Follower, PreferredSource, Step};
pub use revision::Revision;
pub use table::{Change, FirstChanges, Table, TablePage};
