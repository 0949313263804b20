//! Keys and tags: HMAC-SHA-256 with tags compared in constant time.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of a tag; half a SHA-256 is ample against guessing and saves bytes in each datagram.
pub const TAG_BYTES: usize = 16;

/// A secret key; its value is never shown.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// A key from the settings.
    pub fn new(secret: &str) -> Self {
        Key(secret.as_bytes().to_vec())
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The tag of `bytes` under `key`.
pub fn sign(key: &Key, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&mac(key, bytes).finalize().into_bytes()[..TAG_BYTES]);
    tag
}

/// Whether `tag` is the tag of `bytes` under `key`.
pub fn verify(key: &Key, bytes: &[u8], tag: &[u8]) -> bool {
    tag.len() == TAG_BYTES && mac(key, bytes).verify_truncated_left(tag).is_ok()
}

// HMAC takes keys of any length.
fn mac(key: &Key, bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.0)
        .unwrap_or_else(|_| <Hmac<Sha256> as KeyInit>::new(&Default::default()));
    mac.update(bytes);
    mac
}
