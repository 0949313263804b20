//! Wire messages, table rows and settings types, generated from the Thrift files under `thrift/`,
//! with their codec.
//!
//! `.ci/generate` regenerates the code. `schema.sha256` has the checksums of the Thrift files and of
//! the generated code, which CI compares.

#[allow(clippy::all, unused_imports, missing_docs)]
#[rustfmt::skip]
pub mod messages;
#[allow(clippy::all, unused_imports, missing_docs)]
#[rustfmt::skip]
pub mod settings;

mod codec;
mod version;

pub use codec::{decode, encode, CodecError, MAX_ENCODED_BYTES};
pub use version::SCHEMA_VERSION;
