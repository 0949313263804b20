//! State of a gateway's own paths to the endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of endpoints that must be unreachable, with no answer of any endpoint since, before the fault is looked
/// for in the gateway's own network. Fewer may have ended at the same time.
const MIN_LOST: usize = 3;
/// A failed connect is forgotten after this time: the endpoint may be gone.
const FAILURE_LIFETIME: Duration = Duration::from_secs(10);
/// Interval between probes of a doubted path that requests need.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// An idle connection is reused without further evidence only for this time after its last answer. On a network path
/// that drops all packets the connection looks open until the kernel gives up on it, which takes seconds.
const MAX_UNPROVEN: Duration = Duration::from_secs(1);

/// A gateway's own paths to the endpoints, as its connects and answers show them.
///
/// A path is proven by an answer or a completed handshake, and doubted from a failed connect until the next proof.
#[derive(Debug, Default)]
pub struct Paths {
    failed: HashMap<SocketAddr, Failure>,
    // Last proof by data hall.
    proven: HashMap<String, Duration>,
    last_proof: Option<Duration>,
}

// A path whose last connect failed.
#[derive(Debug)]
struct Failure {
    // Data hall of the endpoint.
    hall: String,
    at: Duration,
    tried_at: Duration,
    // Last request that went another way.
    relayed_at: Option<Duration>,
}

impl Failure {
    fn is_recent(&self, now: Duration) -> bool {
        now < self.at + FAILURE_LIFETIME
    }

    fn is_needed(&self, now: Duration) -> bool {
        let relayed = self.relayed_at;
        relayed.is_some_and(|at| now < at + FAILURE_LIFETIME)
    }
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

    /// Records that a connect to an endpoint in a hall failed, or took longer than another way.
    pub fn record_failed(&mut self, now: Duration, hall: &str, endpoint: SocketAddr) {
        self.failed.retain(|_, failure| failure.is_recent(now));
        let failure = self.failed.entry(endpoint).or_insert_with(|| Failure {
            hall: hall.to_string(),
            at: now,
            tried_at: now,
            relayed_at: None,
        });
        failure.at = now;
        failure.tried_at = now;
    }

    /// Records that a request to an endpoint goes through another gateway.
    pub fn record_relayed(&mut self, now: Duration, endpoint: SocketAddr) {
        if let Some(failure) = self.failed.get_mut(&endpoint) {
            failure.relayed_at = Some(now);
        }
    }

    /// Whether the last connect to an endpoint failed.
    pub fn is_doubted(&self, now: Duration, endpoint: SocketAddr) -> bool {
        let failed = self.failed.get(&endpoint);
        failed.is_some_and(|failure| failure.is_recent(now))
    }

    /// Returns a doubted path whose probe is due, as its endpoint's hall and address. Only paths that requests need are
    /// probed, so that a request is never the first to find out that one works again.
    pub fn next_probe(&mut self, now: Duration) -> Option<(String, SocketAddr)> {
        let failed = self.failed.iter_mut();
        let due = failed.filter(|(_, failure)| {
            failure.is_needed(now) && now >= failure.tried_at + PROBE_INTERVAL
        });
        let (endpoint, failure) = due.min_by_key(|(_, failure)| failure.tried_at)?;
        failure.tried_at = now;
        Some((failure.hall.clone(), *endpoint))
    }

    /// Whether the paths to all endpoints seem to be lost: several failed, and no endpoint answered since.
    pub fn are_all_lost(&self, now: Duration) -> bool {
        let failed = self.failed.values();
        let recent = failed.filter(|failure| failure.is_recent(now));
        let unanswered =
            recent.filter(|failure| self.last_proof.is_none_or(|proof| proof < failure.at));
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
