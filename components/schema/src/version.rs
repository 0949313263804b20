//! The version of the messages between nodes.

/// Version written into each packet. Nodes of two versions work side by side: fields are only
/// ever added, as optional ones, and a receiver skips what it does not know.
pub const SCHEMA_VERSION: i32 = 1;
