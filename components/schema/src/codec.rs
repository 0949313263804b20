//! Encoding of generated structs in thrift's compact protocol.

use std::fmt;
use std::io::Cursor;

use thrift::protocol::TSerializable;
use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol};
use thrift::{TConfiguration, TConfigurationBuilder};

/// Largest encoded value that [`decode`] accepts, in bytes.
pub const MAX_ENCODED_BYTES: usize = 1 << 20;

/// A value that could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CodecError(pub String);

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a value of the schema: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

impl From<thrift::Error> for CodecError {
    fn from(error: thrift::Error) -> Self {
        CodecError(error.to_string())
    }
}

/// Encodes `value` in the compact protocol.
pub fn encode<T: TSerializable>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    value.write_to_out_protocol(&mut protocol)?;
    protocol.flush()?;
    drop(protocol);
    Ok(bytes)
}

/// Decodes a value; errors on malformed, truncated or oversized input.
pub fn decode<T: TSerializable>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_ENCODED_BYTES {
        return Err(CodecError(format!("{} bytes are too many", bytes.len())));
    }
    let mut protocol = TCompactInputProtocol::with_config(Cursor::new(bytes), bounds(bytes.len())?);
    Ok(T::read_from_in_protocol(&mut protocol)?)
}

// A hostile length field must not make the decoder reserve more than the input could hold.
fn bounds(len: usize) -> Result<TConfiguration, CodecError> {
    TConfigurationBuilder::default()
        .max_message_size(Some(MAX_ENCODED_BYTES))
        .max_frame_size(Some(MAX_ENCODED_BYTES))
        .max_string_size(Some(len))
        .max_container_size(Some(len))
        .build()
        .map_err(CodecError::from)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::LeaseRow;

    #[test]
    fn can_round_trip_a_row() {
        let row = LeaseRow {
            holder: "n1".into(),
            epoch: 7,
            write: "w".into(),
        };
        assert_eq!(decode::<LeaseRow>(&encode(&row).unwrap()).unwrap(), row);
    }

    #[test]
    fn errors_on_truncated_input() {
        let row = LeaseRow {
            holder: "n1".into(),
            epoch: 7,
            write: "w".into(),
        };
        let bytes = encode(&row).unwrap();
        for len in 0..bytes.len() {
            assert!(decode::<LeaseRow>(&bytes[..len]).is_err(), "{len}");
        }
    }
}
