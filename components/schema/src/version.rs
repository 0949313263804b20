//! Schema version of the messages between nodes.

/// Schema version in every packet. Nodes of different versions can run side by side: the schema
/// changes only by new optional fields, and a receiver skips unknown fields.
pub const SCHEMA_VERSION: i32 = 1;
