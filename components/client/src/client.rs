//! The client: node addresses, credential and retry pauses.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use errors::Problem;

/// Maximum number of consecutive attempts of a call without progress.
pub(crate) const MAX_ATTEMPTS: u32 = 8;
/// Base of the exponential retry pause; it doubles with each failed attempt.
const BASE_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A client of several nodes, or of a load balancer in front of them.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<String>,
    credential: String,
    next: AtomicUsize,
}

impl Client {
    /// Creates a client that sends a team's credential. `addresses` are `IP:PORT`; after a failed
    /// attempt the client switches to the next one, in a ring.
    pub fn new(addresses: Vec<String>, credential: &str) -> Self {
        Client {
            addresses,
            credential: credential.to_string(),
            next: AtomicUsize::new(0),
        }
    }

    /// URL of a path at the current address.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address())
    }

    /// The current address; empty if there are none.
    pub(crate) fn address(&self) -> &str {
        let index = self.next.load(Ordering::Relaxed);
        let address = self.addresses.get(index % self.addresses.len().max(1));
        address.map_or("", String::as_str)
    }

    /// Switches to the next address.
    pub(crate) fn switch_address(&self) {
        self.next.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the credential to a request.
    pub(crate) fn with_credential(&self, request: minreq::Request) -> minreq::Request {
        request.with_header("Authorization", self.authorization())
    }

    /// Value of the `Authorization` header.
    pub(crate) fn authorization(&self) -> String {
        format!("Bearer {}", self.credential)
    }

    /// Blocks before the next attempt, after `attempts` failed ones: for `retry_after_ms` of the answer if it
    /// has one, otherwise for an exponentially growing pause; plus jitter.
    pub(crate) fn pause(&self, attempts: u32, answer: Option<&Problem>) {
        let requested = answer
            .and_then(|p| p.retry_after_ms)
            .map(Duration::from_millis);
        let backoff = (BASE_PAUSE * (1 << attempts.min(6))).min(MAX_PAUSE);
        let pause = requested.unwrap_or(backoff);
        // Jitter of up to half a pause keeps callers of a failed node from retrying at the same time.
        thread::sleep(pause + pause * rand::random_range(0..500) / 1000);
    }
}
