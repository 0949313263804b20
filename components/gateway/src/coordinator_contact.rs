//! Whether this gateway has lost contact with its coordinators, shared between the threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time after the start during which a gateway without any decision so far still waits for a coordinator. Without it, all
/// gateways that start at once would read the table of all endpoints; a coordinator has it within about 2 s.
const START_GRACE: Duration = Duration::from_secs(5);
/// Contact counts as lost for this long after a request without a coordinator's decision, so that a single reply in between
/// doesn't make the gateway drop the endpoints that it has just read.
const LOST_TIME: Duration = Duration::from_secs(10);

/// Times of requests with and without a coordinator's decision. Written by the traffic thread, read by the control thread.
/// Times are microseconds on the monotonic clock; 0 means never.
#[derive(Debug, Default)]
pub struct CoordinatorContact {
    decided_us: AtomicU64,
    undecided_us: AtomicU64,
    // First request without a decision since the last one with a decision.
    since_us: AtomicU64,
}

impl CoordinatorContact {
    /// Records that a coordinator decided about a request.
    pub fn record_decision(&self, now: Duration) {
        self.decided_us.store(micros(now), Ordering::Relaxed);
        self.since_us.store(0, Ordering::Relaxed);
    }

    /// Records that no coordinator decided about a request.
    pub fn record_no_decision(&self, now: Duration) {
        let never_decided = self.decided_us.load(Ordering::Relaxed) == 0;
        if never_decided && now < START_GRACE {
            return;
        }
        self.undecided_us.store(micros(now), Ordering::Relaxed);
        let first = self.since_us.load(Ordering::Relaxed);
        if first == 0 {
            self.since_us.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Time since the first request without a decision after the last decision; zero if there is none.
    pub fn time_without_decision(&self, now: Duration) -> Duration {
        match self.since_us.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            at => now.saturating_sub(Duration::from_micros(at)),
        }
    }

    /// Whether a request was left without a decision recently.
    pub fn is_lost(&self, now: Duration) -> bool {
        match self.undecided_us.load(Ordering::Relaxed) {
            0 => false,
            at => now < Duration::from_micros(at) + LOST_TIME,
        }
    }
}

fn micros(at: Duration) -> u64 {
    (at.as_micros() as u64).max(1)
}
