//! Parses INI settings and validates them into the settings types of the schema.
//!
//! All validation errors of a file are reported at once, each with its line and its remedy.

mod configuration;
mod gateway;
mod node;
mod reader;
mod validation_error;

pub use configuration::{credential_hash, read_configuration};
pub use gateway::read_gateway;
pub use node::read_node;
pub use validation_error::{ValidationError, ValidationErrors};
