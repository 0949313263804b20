//! Hash of a request's content, which is the same for every retry and at every gateway.

use std::fmt;

use xxhash_rust::xxh3::Xxh3Default;

/// The fields that identify a request's content: everything that determines what an endpoint runs, and nothing that
/// changes with each retry, such as the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Team of the caller; `None` on routes that need no API key.
    pub team: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// Hash of a request's content, the same at every gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a content.
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
            // The length prefix separates the fields, so that bytes moved from one field to the next change the hash.
            let length = field.map_or(u64::MAX, |bytes| bytes.len() as u64);
            hash.update(&length.to_le_bytes());
            hash.update(field.unwrap_or_default());
        }
        Fingerprint(hash.digest())
    }
}

/// Fingerprint of a part of prompts for a service.
pub fn prompt_part(service: &str, part: u64) -> Fingerprint {
    let mut hash = Xxh3Default::new();
    hash.update(service.as_bytes());
    hash.update(&part.to_le_bytes());
    Fingerprint(hash.digest())
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
