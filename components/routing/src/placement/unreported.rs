//! Estimates how many requests of other gateways have not been reported here yet.

use std::time::Duration;

/// Estimate of the requests that other gateways have sent but not reported yet. By Little's law it
/// is the sum of the ages of the requests reported in one second.
#[derive(Debug, Default)]
pub(crate) struct UnreportedRequests {
    second: u64,
    age_sum: f64,
    previous_age_sum: f64,
}

impl UnreportedRequests {
    /// Records that another gateway reported a request that was sent `age` ago.
    pub fn record(&mut self, now: Duration, age: Duration) {
        self.expected(now);
        self.age_sum += age.as_secs_f64();
    }

    /// Returns the expected number of unreported requests, from the last full second.
    pub fn expected(&mut self, now: Duration) -> f64 {
        let second = now.as_secs();
        if second > self.second {
            self.previous_age_sum = if second == self.second + 1 {
                self.age_sum
            } else {
                0.0
            };
            self.second = second;
            self.age_sum = 0.0;
        }
        self.previous_age_sum
    }
}
