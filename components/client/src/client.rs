//! The client and what its calls share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use errors::Problem;

/// Tries of one call without any progress before it is given up.
pub(crate) const MAX_TRIES: u32 = 8;
/// Pause after a node that did not answer; it doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A client of some nodes, or of the balancer before them.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<String>,
    credential: String,
    next: AtomicUsize,
}

impl Client {
    /// A client that presents a team's credential at these addresses, IP:PORT, in turn.
    pub fn new(addresses: Vec<String>, credential: &str) -> Self {
        Client {
            addresses,
            credential: credential.to_string(),
            next: AtomicUsize::new(0),
        }
    }

    /// The URL of a path at the address whose turn it is.
    pub(crate) fn url(&self, path: &str) -> String {
        let turn = self.next.load(Ordering::Relaxed);
        let address = self.addresses.get(turn % self.addresses.len().max(1));
        format!("http://{}{path}", address.map_or("", String::as_str))
    }

    /// Goes on to the next address.
    pub(crate) fn turn(&self) {
        self.next.fetch_add(1, Ordering::Relaxed);
    }

    /// A request with the credential.
    pub(crate) fn with_credential(&self, request: minreq::Request) -> minreq::Request {
        request.with_header("Authorization", format!("Bearer {}", self.credential))
    }

    /// Waits before try number `tries`, as long as the answer asked for or a growing pause.
    pub(crate) fn pause(&self, tries: u32, answer: Option<&Problem>) {
        let asked = answer
            .and_then(|p| p.retry_after_ms)
            .map(Duration::from_millis);
        let own = (FIRST_PAUSE * (1 << tries.min(6))).min(MAX_PAUSE);
        let pause = asked.unwrap_or(own);
        // Jitter of half a pause keeps callers of a lost node from coming back at once.
        thread::sleep(pause + pause * rand::random_range(0..500) / 1000);
    }
}
