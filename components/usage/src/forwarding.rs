//! When the counts of ended windows are passed on to whoever reports them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::reporter::WindowTiming;

/// Times after the end of a window at which its counts are passed on, in milliseconds. The first is past the
/// pause between reports of gateways (500 ms); the second makes a lost message good well before windows are
/// settled (4,500 ms at a due time of 10 s).
const PASSED_ON_AT_MS: [u64; 2] = [700, 2200];

/// Which windows were passed on, and to the holder of which epoch.
#[derive(Debug)]
pub struct Forwarding {
    timing: WindowTiming,
    epoch: i64,
    times: BTreeMap<i64, usize>,
}

impl Forwarding {
    /// Nothing was passed on yet.
    pub fn new(timing: WindowTiming) -> Self {
        Forwarding {
            timing,
            epoch: 0,
            times: BTreeMap::new(),
        }
    }

    /// Windows whose counts are to be passed on now to the holder under this epoch. A new holder gets
    /// everything that may still be reported.
    pub fn due(&mut self, wall: Duration, epoch: i64) -> Vec<i64> {
        if epoch != self.epoch {
            self.epoch = epoch;
            self.times.clear();
        }
        let length = self.timing.window.as_millis().max(1) as u64;
        let at = |time: Duration| (time.as_millis() as u64 / length) as i64;
        let first = at(wall.saturating_sub(self.timing.due + self.timing.window));
        self.times = self.times.split_off(&first);
        let mut due = Vec::new();
        for window in first..at(wall) {
            let times = self.times.entry(window).or_default();
            let since_end = wall.as_millis() as u64 - (window as u64 + 1) * length;
            let past = PASSED_ON_AT_MS
                .iter()
                .filter(|ms| since_end >= **ms)
                .count();
            if *times < past {
                *times = past;
                due.push(window);
            }
        }
        due
    }
}
