//! Compression of row replies between gateways. A configuration repeats the same field names in each route and
//! team and shrinks to a third or less, so that not every gateway of a hall has to read it from the store.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use schema::messages::RowsReply;
use schema::MAX_ENCODED_BYTES;

/// Smaller replies fit into a few packets without compression.
const MIN_DEFLATE_BYTES: usize = 4 << 10;

/// An encoded reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedReply {
    pub bytes: Bytes,
    /// Whether the bytes are deflated.
    pub is_deflated: bool,
}

impl EncodedReply {
    /// A reply without compression.
    pub fn plain(bytes: Vec<u8>) -> Self {
        EncodedReply {
            bytes: bytes.into(),
            is_deflated: false,
        }
    }

    /// A reply that is deflated if it is long enough to be worth the CPU time, and if that makes it shorter. `None` if it cannot be
    /// encoded.
    pub fn deflated(reply: &RowsReply) -> Option<Self> {
        let bytes = schema::encode(reply).ok()?;
        if bytes.len() < MIN_DEFLATE_BYTES {
            return Some(EncodedReply::plain(bytes));
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(&bytes).and_then(|()| encoder.finish());
        Some(match written {
            Ok(deflated) if deflated.len() < bytes.len() => EncodedReply {
                bytes: deflated.into(),
                is_deflated: true,
            },
            _ => EncodedReply::plain(bytes),
        })
    }
}

/// Cache of the reply that was deflated last: all gateways of a hall request the same change at almost the same
/// time, and deflating it takes a small VM some ms.
#[derive(Debug, Default)]
pub struct DeflatedReplyCache {
    last: Option<(RowsReply, EncodedReply)>,
}

impl DeflatedReplyCache {
    /// Encodes a reply. If it has the same rows as the cached one and no lower revision, the cached one is
    /// returned: it claims no later revision than the current one. `None` if the reply cannot be encoded.
    pub fn reply(&mut self, reply: RowsReply) -> Option<EncodedReply> {
        if let Some((last, encoded)) = &self.last {
            if has_same_rows(last, &reply) && last.known_to <= reply.known_to {
                return Some(encoded.clone());
            }
        }
        let encoded = EncodedReply::deflated(&reply)?;
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

/// Decompresses a reply; `None` if it is malformed or larger than `MAX_ENCODED_BYTES`.
pub fn inflate(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut inflated = Vec::new();
    let max_bytes = MAX_ENCODED_BYTES as u64 + 1;
    let mut decoder = ZlibDecoder::new(bytes).take(max_bytes);
    decoder.read_to_end(&mut inflated).ok()?;
    (inflated.len() <= MAX_ENCODED_BYTES).then_some(inflated)
}
