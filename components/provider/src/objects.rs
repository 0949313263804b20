//! Client of the object store, which holds bodies under their hash.

use http::{Method, StatusCode};
use sha2::{Digest, Sha256};

use crate::http::{get, send};

/// Key of a body in the object store: its SHA-256 in hexadecimal.
pub fn body_hash(body: &str) -> String {
    hex::encode(Sha256::digest(body.as_bytes()))
}

/// Calls to the object store.
pub trait ObjectStore: Send + Sync {
    /// Stores a body under its hash; storing it again has no effect. Returns `false` unless the store
    /// answers with status 200.
    fn put(&self, hash: &str, body: &str) -> bool;

    /// Body stored under a hash, or `None` if it can't be read or doesn't match the hash.
    fn get(&self, hash: &str) -> Option<String>;
}

/// HTTP client of the object store; docs/interfaces.md describes the protocol.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    url: String,
}

impl HttpObjectStore {
    /// Creates a client of the store at a base URL.
    pub fn new(url: &str) -> Self {
        HttpObjectStore {
            url: url.to_string(),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, hash: &str, body: &str) -> bool {
        let url = format!("{}/objects/{hash}", self.url);
        let answer = send(Method::PUT, &url, body.to_string());
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    }

    fn get(&self, hash: &str) -> Option<String> {
        let answer = get(&format!("{}/objects/{hash}", self.url))?;
        let body = std::str::from_utf8(&answer.body).ok()?;
        (answer.status == StatusCode::OK && body_hash(body) == hash).then(|| body.to_string())
    }
}
