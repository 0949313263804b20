//! State of a gateway's own paths to the endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of endpoints that must be unreachable, with no answer of any endpoint since, before the fault is looked
/// for in the gateway's own network. Fewer may have ended at the same time.
const MIN_LOST: usize = 3;
/// A failed connect is forgotten after this time: the endpoint may be gone.
const FAILURE_LIFETIME: Duration = Duration::from_secs(10);
/// An idle connection is reused without further evidence only for this time after its last answer. On a network path
/// that drops all packets the connection looks open until the kernel gives up on it, which takes seconds.
const MAX_UNPROVEN: Duration = Duration::from_secs(1);

/// A gateway's own paths to the endpoints, as its connects and answers show them.
///
/// A path is proven by an answer or a completed handshake, and doubted from a failed connect until the next proof.
#[derive(Debug, Default)]
pub struct Paths {
    failed: HashMap<SocketAddr, Duration>,
    // Last proof by data hall.
    proven: HashMap<String, Duration>,
    last_proof: Option<Duration>,
}

impl Paths {
    /// Records a completed handshake with an endpoint in a hall.
    pub fn record_connected(&mut self, now: Duration, hall: &str, endpoint: SocketAddr) {
        self.failed.remove(&endpoint);
        self.record_received(now, hall);
    }

    /// Records that bytes of an endpoint in a hall arrived over the gateway's own path.
    pub fn record_received(&mut self, now: Duration, hall: &str) {
        self.last_proof = Some(now);
        match self.proven.get_mut(hall) {
            Some(at) => *at = now,
            None => {
                self.proven.insert(hall.to_string(), now);
            }
        }
    }

    /// Records that an endpoint did not complete or acknowledge anything in time.
    pub fn record_failed(&mut self, now: Duration, endpoint: SocketAddr) {
        self.failed.retain(|_, at| now < *at + FAILURE_LIFETIME);
        self.failed.insert(endpoint, now);
    }

    /// Whether the last connect to an endpoint failed.
    pub fn is_doubted(&self, now: Duration, endpoint: SocketAddr) -> bool {
        let failed = self.failed.get(&endpoint);
        failed.is_some_and(|at| now < *at + FAILURE_LIFETIME)
    }

    /// Whether the paths to all endpoints seem to be lost: several failed, and no endpoint answered since.
    pub fn are_all_lost(&self, now: Duration) -> bool {
        let failed = self.failed.values();
        let recent = failed.filter(|at| now < **at + FAILURE_LIFETIME);
        let unanswered = recent.filter(|at| self.last_proof.is_none_or(|proof| proof < **at));
        unanswered.count() >= MIN_LOST
    }

    /// Whether a request may be written on a connection to an endpoint in a hall that was idle for this time.
    pub fn can_reuse(
        &self,
        now: Duration,
        hall: &str,
        endpoint: SocketAddr,
        idle_time: Duration,
    ) -> bool {
        if idle_time < MAX_UNPROVEN {
            return true;
        }
        let proven = self.proven.get(hall);
        let is_hall_proven = proven.is_some_and(|at| now < *at + MAX_UNPROVEN);
        is_hall_proven && !self.is_doubted(now, endpoint)
    }
}
