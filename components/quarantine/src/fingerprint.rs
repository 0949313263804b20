//! What a request asks for, whoever sends it on and however often.

use std::fmt;

use xxhash_rust::xxh3::Xxh3Default;

/// What makes two requests the same: everything that an endpoint runs by, and nothing that is new for each try, such as
/// the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content<'a> {
    /// Method of the request.
    pub method: &'a str,
    /// Host it is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Team that asks; `None` on routes that need no key.
    pub team: Option<&'a str>,
    /// Whole body.
    pub body: &'a [u8],
}

/// Hash of a request's content, the same at every gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a content.
    pub fn of(content: &Content<'_>) -> Self {
        let mut hash = Xxh3Default::new();
        let team = content.team.map(str::as_bytes);
        let fields = [
            Some(content.method.as_bytes()),
            Some(content.host.as_bytes()),
            Some(content.target.as_bytes()),
            team,
            Some(content.body),
        ];
        for field in fields {
            // Lengths keep fields apart: the end of one is not the beginning of the next.
            let length = field.map_or(u64::MAX, |bytes| bytes.len() as u64);
            hash.update(&length.to_le_bytes());
            hash.update(field.unwrap_or_default());
        }
        Fingerprint(hash.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
