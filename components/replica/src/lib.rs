//! A gateway's copy of the store's rows, and who asks the store for changes.
//!
//! A few gateways of a cell hold calls at the store; the others take rows and confirmations from
//! them, and ask the store themselves only when they hear nothing fresh. Pure: rows, times and what
//! others report come in as values, the next step comes out.

mod follower;
mod revision;
mod table;

pub use follower::{Digest, Follower, PreferredSource, Step};
pub use revision::Revision;
pub use table::{Change, Table, TablePage};
