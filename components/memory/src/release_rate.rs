//! How fast memory becomes free.

use std::time::Duration;

/// Time over which the rate is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Least time to come back: a refused caller is not to come back into the same moment.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Longest time to come back, where next to nothing becomes free.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Bytes a second that were given back lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    at: Duration,
    released: u64,
    per_second: f64,
}

impl ReleaseRate {
    /// Takes the sum of what was given back since the start.
    pub fn sample(&mut self, now: Duration, released: u64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let rate = released.saturating_sub(self.released) as f64 / passed;
        let kept = (-passed / AVERAGING_TIME.as_secs_f64()).exp();
        self.per_second = self.per_second * kept + rate * (1.0 - kept);
        self.at = now;
        self.released = released;
    }

    /// When so many bytes are likely to be free.
    pub fn time_until_free(&self, bytes: u64) -> Duration {
        let seconds = bytes as f64 / self.per_second.max(1.0);
        let longest = MAX_WAIT.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(MIN_WAIT)
    }
}
