//! Which software version began a stream. Endpoints of several versions may serve one service, and a stream continues only
//! at the version that began it. Does no I/O; times are those of the caller's clock.

mod history;
mod records;

pub use history::VersionHistory;
pub use records::{Origin, StreamKey, StreamRecords, MAX_RECORDS};
