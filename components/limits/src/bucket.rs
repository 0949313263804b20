//! A token bucket whose rate can change while it is in use.

use std::time::Duration;

/// Buckets count in thousandths of a unit, so that a node's small part of a limit is not rounded to zero.
const MILLI: u64 = 1000;

/// A token bucket that holds `burst_secs` seconds' worth of its rate, but at least one whole unit.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_milli: u64,
    burst_secs: u64,
    level_milli: u64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket that holds one second's worth. `rate_milli` is in thousandths of a unit per
    /// second.
    pub fn new(now: Duration, rate_milli: u64) -> Self {
        Self::with_burst(now, rate_milli, 1)
    }

    /// A full bucket that holds `burst_secs` seconds' worth.
    pub fn with_burst(now: Duration, rate_milli: u64, burst_secs: u64) -> Self {
        TokenBucket {
            rate_milli,
            burst_secs,
            level_milli: (rate_milli * burst_secs).max(MILLI),
            refilled_at: now,
        }
    }

    /// Changes the rate. The units in the bucket stay, up to the new capacity.
    pub fn set_rate(&mut self, now: Duration, rate_milli: u64) {
        self.refill(now);
        self.rate_milli = rate_milli;
        self.level_milli = self.level_milli.min(self.capacity_milli());
    }

    /// Takes whole units, or returns the time until the bucket has enough (60 s if its rate is zero).
    /// A request for more than the capacity takes a full bucket.
    pub fn take(&mut self, now: Duration, units: u64) -> Result<(), Duration> {
        self.refill(now);
        let required_milli = (units * MILLI).min(self.capacity_milli());
        if self.level_milli >= required_milli {
            self.level_milli -= required_milli;
            return Ok(());
        }
        let missing_milli = required_milli - self.level_milli;
        Err(match self.rate_milli {
            0 => Duration::from_secs(60),
            rate => Duration::from_micros(missing_milli * 1_000_000 / rate + 1),
        })
    }

    /// Returns whole units to the bucket, up to its capacity.
    pub fn give_back(&mut self, now: Duration, units: u64) {
        self.refill(now);
        self.level_milli = (self.level_milli + units * MILLI).min(self.capacity_milli());
    }

    fn capacity_milli(&self) -> u64 {
        (self.rate_milli * self.burst_secs).max(MILLI)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let gained_milli = elapsed.as_micros() as u64 * self.rate_milli / 1_000_000;
        if gained_milli == 0 {
            return;
        }
        self.level_milli = (self.level_milli + gained_milli).min(self.capacity_milli());
        // Time too short for a whole thousandth counts towards the next refill.
        self.refilled_at += Duration::from_micros(gained_milli * 1_000_000 / self.rate_milli);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refills_at_its_rate_and_no_faster() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 2_000);
        let taken = (0..10_000)
            .filter(|ms| bucket.take(Duration::from_millis(*ms), 1).is_ok())
            .count();
        assert_eq!(taken, 2 + 19);
    }

    #[test]
    fn a_refusal_gives_the_time_until_the_units_are_there() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 500);
        assert!(bucket.take(Duration::ZERO, 1).is_ok());
        let wait = bucket.take(Duration::ZERO, 1).unwrap_err();
        assert!(bucket.take(wait - Duration::from_millis(1), 1).is_err());
        assert!(bucket.take(wait, 1).is_ok());
    }
}
