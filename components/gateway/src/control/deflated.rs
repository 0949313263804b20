//! Rows between gateways, deflated: a configuration names the same fields in each route and team, and shrinks to a third
//! or less, so that it need not come from the store for each gateway of a hall.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use schema::messages::RowsReply;
use schema::MAX_ENCODED_BYTES;

/// Shorter replies fit into a few packets as they are.
const LEAST_BYTES: usize = 4 << 10;

/// A reply as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// Its bytes.
    pub bytes: Bytes,
    /// Whether they are deflated.
    pub is_deflated: bool,
}

impl Encoded {
    /// As it is.
    pub fn plain(bytes: Vec<u8>) -> Self {
        Encoded {
            bytes: bytes.into(),
            is_deflated: false,
        }
    }

    // Deflated where that is worth its processor time.
    fn deflated(bytes: Vec<u8>) -> Self {
        if bytes.len() < LEAST_BYTES {
            return Encoded::plain(bytes);
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(&bytes).and_then(|()| encoder.finish());
        match written {
            Ok(deflated) if deflated.len() < bytes.len() => Encoded {
                bytes: deflated.into(),
                is_deflated: true,
            },
            _ => Encoded::plain(bytes),
        }
    }
}

/// The reply that was deflated last: all gateways of a hall ask for the same change within a moment, and a small VM takes
/// some ms to deflate it.
#[derive(Debug, Default)]
pub struct LastDeflated {
    last: Option<(RowsReply, Encoded)>,
}

impl LastDeflated {
    /// A reply, encoded. One with the same rows as the last is sent as that was: it tells of no later revision than today's.
    pub fn reply(&mut self, reply: RowsReply) -> Option<Encoded> {
        if let Some((last, encoded)) = &self.last {
            if has_same_rows(last, &reply) && last.known_to <= reply.known_to {
                return Some(encoded.clone());
            }
        }
        let encoded = Encoded::deflated(schema::encode(&reply).ok()?);
        if encoded.is_deflated {
            self.last = Some((reply, encoded.clone()));
        }
        Some(encoded)
    }
}

fn has_same_rows(one: &RowsReply, other: &RowsReply) -> bool {
    one.rows == other.rows
        && one.whole == other.whole
        && one.more == other.more
        && one.era == other.era
}

/// The reply that was deflated; `None` if it was not, or is larger than any may be.
pub fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut inflated = Vec::new();
    let most = MAX_ENCODED_BYTES as u64 + 1;
    let mut decoder = ZlibDecoder::new(bytes).take(most);
    decoder.read_to_end(&mut inflated).ok()?;
    (inflated.len() <= MAX_ENCODED_BYTES).then_some(inflated)
}
