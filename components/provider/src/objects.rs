//! The object store, which keeps bodies under their hash.

use sha2::{Digest, Sha256};

use crate::http::send;

/// Hash that a body is kept under: SHA-256 in hexadecimal.
pub fn body_hash(body: &str) -> String {
    hex::encode(Sha256::digest(body.as_bytes()))
}

/// What croftpond asks of the object store.
pub trait Objects: Send + Sync {
    /// Stores a body under its hash; storing it twice does nothing. `false` if no answer came.
    fn put(&self, hash: &str, body: &str) -> bool;

    /// The body of a hash, checked against it.
    fn get(&self, hash: &str) -> Option<String>;
}

/// The object store protocol of docs/interfaces.md.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    url: String,
}

impl HttpObjects {
    /// A client of the store at a base URL.
    pub fn new(url: &str) -> Self {
        HttpObjects {
            url: url.to_string(),
        }
    }
}

impl Objects for HttpObjects {
    fn put(&self, hash: &str, body: &str) -> bool {
        let request = minreq::put(format!("{}/objects/{hash}", self.url)).with_body(body);
        send(request).is_some_and(|r| r.status_code == 200)
    }

    fn get(&self, hash: &str) -> Option<String> {
        let response = send(minreq::get(format!("{}/objects/{hash}", self.url)))?;
        let body = response.as_str().ok()?;
        (response.status_code == 200 && body_hash(body) == hash).then(|| body.to_string())
    }
}
