//! Gateways through which a gateway reaches endpoints when its own path fails.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A relay that failed is tried after all others for this time.
const FAILURE_LIFETIME: Duration = Duration::from_secs(1);
/// A relay's open connections are used for this time after it was last a candidate: coordinators name theirs in turn.
const REUSE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of relays that are tried for one connection.
const MAX_TRIED: usize = 5;

/// The gateways that may relay connections, in the order in which this gateway prefers them.
#[derive(Debug, Default)]
pub struct Relays {
    candidates: Vec<SocketAddr>,
    // Former candidates, and when they were last in the list.
    former: HashMap<SocketAddr, Duration>,
    failed: HashMap<SocketAddr, Duration>,
}

impl Relays {
    /// Replaces the candidates. An empty list changes nothing: others send no messages to a gateway that stops, but it may
    /// still have requests to finish.
    pub fn set_candidates(&mut self, now: Duration, candidates: Vec<SocketAddr>) {
        if candidates.is_empty() {
            return;
        }
        let former = std::mem::replace(&mut self.candidates, candidates);
        self.former.retain(|_, at| now < *at + REUSE_TIME);
        self.former
            .extend(former.into_iter().map(|relay| (relay, now)));
        self.failed
            .retain(|_, failed_at| now < *failed_at + FAILURE_LIFETIME);
    }

    /// Whether open connections through a gateway may be used: it is a candidate or was one lately.
    pub fn can_reuse(&self, now: Duration, relay: SocketAddr) -> bool {
        let former = self.former.get(&relay);
        self.candidates.contains(&relay) || former.is_some_and(|at| now < *at + REUSE_TIME)
    }

    /// Records that a relay opened no connection.
    pub fn record_failed(&mut self, now: Duration, relay: SocketAddr) {
        self.failed.insert(relay, now);
    }

    /// Records that a relay opened a connection.
    pub fn record_opened(&mut self, relay: SocketAddr) {
        self.failed.remove(&relay);
    }

    /// Relays that may lend a connection: as many as are tried for one, from a different position at each `turn`.
    pub fn lenders(&self, turn: usize) -> Vec<SocketAddr> {
        let count = self.candidates.len();
        let from = turn.checked_rem(count).unwrap_or_default();
        let candidates = self.candidates.iter().cycle().skip(from);
        candidates.take(count.min(MAX_TRIED)).copied().collect()
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
