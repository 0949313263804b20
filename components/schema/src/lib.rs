//! Messages, rows and settings, generated from the files under `thrift/`.
//!
//! `.ci/generate` regenerates the code; `schema.sha256` holds the checksums that CI compares.

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
