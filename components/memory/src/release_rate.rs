//! Estimate of the rate at which memory is released.

use std::time::Duration;

/// Time constant of the exponential moving average.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Minimum retry time: a refused caller must not retry while the shortage that refused it lasts.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Maximum retry time, used when almost nothing is released.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Moving average of bytes released per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    at: Duration,
    released: u64,
    per_second: f64,
}

impl ReleaseRate {
    /// Adds a sample: the total of bytes released since the start.
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

    /// Estimated time until so many bytes are released, at least `MIN_WAIT` and at most `MAX_WAIT`.
    pub fn time_until_free(&self, bytes: u64) -> Duration {
        let seconds = bytes as f64 / self.per_second.max(1.0);
        let max_seconds = MAX_WAIT.as_secs_f64();
        Duration::from_secs_f64(seconds.min(max_seconds)).max(MIN_WAIT)
    }
}
