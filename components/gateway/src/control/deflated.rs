//! Rows between gateways, deflated: a configuration names the same fields in each route and team, and shrinks to a third
//! or less, so that it need not come from the store for each gateway of a hall.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use schema::MAX_ENCODED_BYTES;

/// Shorter replies fit into a few packets as they are.
const LEAST_BYTES: usize = 4 << 10;

/// A reply as it is sent: deflated where that is worth its processor time, and whether it is.
pub(crate) fn deflate(bytes: Vec<u8>) -> (Bytes, bool) {
    if bytes.len() < LEAST_BYTES {
        return (bytes.into(), false);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(&bytes).and_then(|()| encoder.finish());
    match written {
        Ok(deflated) if deflated.len() < bytes.len() => (deflated.into(), true),
        _ => (bytes.into(), false),
    }
}

/// The reply that was deflated; `None` if it was not, or is larger than any may be.
pub(crate) fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut inflated = Vec::new();
    let most = MAX_ENCODED_BYTES as u64 + 1;
    let mut decoder = ZlibDecoder::new(bytes).take(most);
    decoder.read_to_end(&mut inflated).ok()?;
    (inflated.len() <= MAX_ENCODED_BYTES).then_some(inflated)
}
