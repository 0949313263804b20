//! When a gateway forwards the counts of ended windows to the gateway that reports them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::reporter::WindowTiming;

/// Times after the end of a window at which its counts are forwarded, in milliseconds. The first is longer than the
/// interval of the reports between gateways (500 ms); the second makes up for a lost message well before windows are
/// settled (4,500 ms at a due time of 10 s).
const FORWARD_DELAYS_MS: [u64; 2] = [700, 2200];

/// How often the counts of each window were forwarded to the current holder of the reporting lease.
#[derive(Debug)]
pub struct Forwarding {
    timing: WindowTiming,
    epoch: i64,
    forward_counts: BTreeMap<i64, usize>,
}

impl Forwarding {
    /// A state in which nothing was forwarded.
    pub fn new(timing: WindowTiming) -> Self {
        Forwarding {
            timing,
            epoch: 0,
            forward_counts: BTreeMap::new(),
        }
    }

    /// Windows whose counts have to be forwarded now to the holder of the lease with this epoch. `wall` is the wall-clock
    /// time. With a new epoch, all windows that may still be reported are forwarded again.
    pub fn due(&mut self, wall: Duration, epoch: i64) -> Vec<i64> {
        if epoch != self.epoch {
            self.epoch = epoch;
            self.forward_counts.clear();
        }
        let window_ms = self.timing.window.as_millis().max(1) as u64;
        let window_at = |time: Duration| (time.as_millis() as u64 / window_ms) as i64;
        let first = window_at(wall.saturating_sub(self.timing.due + self.timing.window));
        self.forward_counts = self.forward_counts.split_off(&first);
        let mut due = Vec::new();
        for window in first..window_at(wall) {
            let forwarded = self.forward_counts.entry(window).or_default();
            let since_end_ms = wall.as_millis() as u64 - (window as u64 + 1) * window_ms;
            let reached = FORWARD_DELAYS_MS
                .iter()
                .filter(|ms| since_end_ms >= **ms)
                .count();
            if *forwarded < reached {
                *forwarded = reached;
                due.push(window);
            }
        }
        due
    }
}
