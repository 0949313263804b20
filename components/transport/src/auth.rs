//! Message authentication with truncated HMAC-SHA-256 tags, compared in constant time.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of an authentication tag: 128 bits, half of the HMAC output, are enough against forgery
/// and keep datagrams small.
pub const TAG_BYTES: usize = 16;

/// A secret HMAC key; its `Debug` output omits the value.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Uses the bytes of `secret` as the key; any length is allowed.
    pub fn new(secret: &str) -> Self {
        Key(secret.as_bytes().to_vec())
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Returns the authentication tag of `bytes` under `key`.
pub fn sign(key: &Key, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&mac(key, bytes).finalize().into_bytes()[..TAG_BYTES]);
    tag
}

/// Returns whether `tag` authenticates `bytes` under `key`; a tag of another length does not.
pub fn verify(key: &Key, bytes: &[u8], tag: &[u8]) -> bool {
    tag.len() == TAG_BYTES && mac(key, bytes).verify_truncated_left(tag).is_ok()
}

// HMAC accepts keys of any length, so the fallback is never reached.
fn mac(key: &Key, bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.0)
        .unwrap_or_else(|_| <Hmac<Sha256> as KeyInit>::new(&Default::default()));
    mac.update(bytes);
    mac
}
