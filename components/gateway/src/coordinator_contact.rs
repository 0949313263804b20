//! Whether this gateway has lost its coordinators, shared between the threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A gateway that no coordinator ever decided for waits this long for one after its start: when all start at once,
/// each would read the table of all endpoints otherwise. A coordinator has it within some 2 s.
const START_TIME: Duration = Duration::from_secs(5);
/// A gateway counts as alone for this long after a request without any coordinator's decision, so that one
/// reply in between does not make it drop what it has just read.
const ALONE_FOR: Duration = Duration::from_secs(10);

/// Written by the traffic thread, read by the control thread. Times are microseconds on the monotonic clock, 0
/// for never.
#[derive(Debug, Default)]
pub struct CoordinatorContact {
    decided_us: AtomicU64,
    undecided_us: AtomicU64,
    // First of the requests without a decision since the last that had one.
    since_us: AtomicU64,
}

impl CoordinatorContact {
    /// A coordinator decided about a request.
    pub fn record_decision(&self, now: Duration) {
        self.decided_us.store(micros(now), Ordering::Relaxed);
        self.since_us.store(0, Ordering::Relaxed);
    }

    /// No coordinator decided about a request.
    pub fn record_no_decision(&self, now: Duration) {
        let never_decided = self.decided_us.load(Ordering::Relaxed) == 0;
        if never_decided && now < START_TIME {
            return;
        }
        self.undecided_us.store(micros(now), Ordering::Relaxed);
        let first = self.since_us.load(Ordering::Relaxed);
        if first == 0 {
            self.since_us.store(micros(now), Ordering::Relaxed);
        }
    }

    /// For how long no coordinator has decided about any request, as far as there were some.
    pub fn time_without_decision(&self, now: Duration) -> Duration {
        match self.since_us.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            at => now.saturating_sub(Duration::from_micros(at)),
        }
    }

    /// Whether requests were left without a decision lately.
    pub fn is_lost(&self, now: Duration) -> bool {
        match self.undecided_us.load(Ordering::Relaxed) {
            0 => false,
            at => now < Duration::from_micros(at) + ALONE_FOR,
        }
    }
}

fn micros(at: Duration) -> u64 {
    (at.as_micros() as u64).max(1)
}
