//! Gateways through which a gateway reaches endpoints when its own path fails.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A relay that failed is tried after all others for this time.
const FAILURE_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of relays that are tried for one connection.
const MAX_TRIED: usize = 5;

/// The gateways that may relay connections, in the order in which this gateway prefers them.
#[derive(Debug, Default)]
pub struct Relays {
    candidates: Vec<SocketAddr>,
    failed: HashMap<SocketAddr, Duration>,
}

impl Relays {
    /// Replaces the candidates.
    pub fn set_candidates(&mut self, candidates: Vec<SocketAddr>) {
        self.failed.retain(|relay, _| candidates.contains(relay));
        self.candidates = candidates;
    }

    /// Whether a gateway is a candidate.
    pub fn is_candidate(&self, relay: SocketAddr) -> bool {
        self.candidates.contains(&relay)
    }

    /// Records that a relay opened no connection.
    pub fn record_failed(&mut self, now: Duration, relay: SocketAddr) {
        self.failed.insert(relay, now);
    }

    /// Records that a relay opened a connection.
    pub fn record_opened(&mut self, relay: SocketAddr) {
        self.failed.remove(&relay);
    }

    /// The relays to try for one connection, in order; those that failed lately come last, the longest ago first.
    pub fn order(&self, now: Duration) -> Vec<SocketAddr> {
        let mut order = self.candidates.clone();
        order.sort_by_key(|relay| {
            let failed = self.failed.get(relay).copied();
            failed.filter(|at| now < *at + FAILURE_LIFETIME)
        });
        order.truncate(MAX_TRIED);
        order
    }
}
