//! How many requests of other gateways are not known here yet.

use std::time::Duration;

/// Requests that others have sent and not reported yet, from the age of what they report: by Little's law
/// the sum of the ages reported in a second.
#[derive(Debug, Default)]
pub(crate) struct Unknown {
    second: u64,
    sum: f64,
    last: f64,
}

impl Unknown {
    /// Another gateway reported a request of this age.
    pub fn note(&mut self, now: Duration, age: Duration) {
        self.count(now);
        self.sum += age.as_secs_f64();
    }

    /// Requests expected not to be known now.
    pub fn count(&mut self, now: Duration) -> f64 {
        let second = now.as_secs();
        if second > self.second {
            self.last = if second == self.second + 1 {
                self.sum
            } else {
                0.0
            };
            self.second = second;
            self.sum = 0.0;
        }
        self.last
    }
}
