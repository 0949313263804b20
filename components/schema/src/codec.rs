//! Codec of the generated structs: Thrift's compact protocol.

use std::fmt;
use std::io::Cursor;

use thrift::protocol::TSerializable;
use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol};
use thrift::{TConfiguration, TConfigurationBuilder};

/// Largest encoded value that [`decode`] accepts, in bytes.
pub const MAX_ENCODED_BYTES: usize = 1 << 20;

/// Error of encoding or decoding a value; holds the cause.
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

/// Encodes a value in the compact protocol.
pub fn encode<T: TSerializable>(value: &T) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    value.write_to_out_protocol(&mut protocol)?;
    protocol.flush()?;
    drop(protocol);
    Ok(bytes)
}

/// Decodes a value. Malformed or truncated input and input over [`MAX_ENCODED_BYTES`] is an error.
pub fn decode<T: TSerializable>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > MAX_ENCODED_BYTES {
        return Err(CodecError(format!("{} bytes are too many", bytes.len())));
    }
    let mut protocol =
        TCompactInputProtocol::with_config(Cursor::new(bytes), decoder_limits(bytes.len())?);
    Ok(T::read_from_in_protocol(&mut protocol)?)
}

// Limits strings and containers to the input's length, so that a forged length field cannot make
// the decoder allocate more than the input could contain.
fn decoder_limits(input_bytes: usize) -> Result<TConfiguration, CodecError> {
    TConfigurationBuilder::default()
        .max_message_size(Some(MAX_ENCODED_BYTES))
        .max_frame_size(Some(MAX_ENCODED_BYTES))
        .max_string_size(Some(input_bytes))
        .max_container_size(Some(input_bytes))
        .build()
        .map_err(CodecError::from)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::LeaseRow;

    #[test]
    fn a_row_round_trips() {
        let row = LeaseRow {
            holder: "n1".into(),
            epoch: 7,
            write: "w".into(),
        };
        assert_eq!(decode::<LeaseRow>(&encode(&row).unwrap()).unwrap(), row);
    }

    #[test]
    fn truncated_input_is_an_error() {
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
