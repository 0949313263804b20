//! A token bucket whose rate can change while it runs.

use std::time::Duration;

/// Units of a bucket are thousandths, so that a node's small share of a limit is not rounded away.
const MILLI: u64 = 1000;

/// A bucket that fills at a rate and holds so many seconds' worth, but at least one whole unit.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_milli: u64,
    burst_secs: u64,
    level_milli: u64,
    filled_at: Duration,
}

impl TokenBucket {
    /// A full bucket that holds one second's worth. `rate_milli` is in thousandths of a unit a
    /// second.
    pub fn new(now: Duration, rate_milli: u64) -> Self {
        Self::with_burst(now, rate_milli, 1)
    }

    /// A full bucket that holds so many seconds' worth.
    pub fn with_burst(now: Duration, rate_milli: u64, burst_secs: u64) -> Self {
        TokenBucket {
            rate_milli,
            burst_secs,
            level_milli: (rate_milli * burst_secs).max(MILLI),
            filled_at: now,
        }
    }

    /// Changes the rate; what is in the bucket stays, up to the new size.
    pub fn set_rate(&mut self, now: Duration, rate_milli: u64) {
        self.fill(now);
        self.rate_milli = rate_milli;
        self.level_milli = self.level_milli.min(self.size());
    }

    /// Takes whole units, or says how long until they are there.
    pub fn take(&mut self, now: Duration, units: u64) -> Result<(), Duration> {
        self.fill(now);
        let wanted = (units * MILLI).min(self.size());
        if self.level_milli >= wanted {
            self.level_milli -= wanted;
            return Ok(());
        }
        let lacking = wanted - self.level_milli;
        Err(match self.rate_milli {
            0 => Duration::from_secs(60),
            rate => Duration::from_micros(lacking * 1_000_000 / rate + 1),
        })
    }

    /// Gives whole units back.
    pub fn give_back(&mut self, now: Duration, units: u64) {
        self.fill(now);
        self.level_milli = (self.level_milli + units * MILLI).min(self.size());
    }

    fn size(&self) -> u64 {
        (self.rate_milli * self.burst_secs).max(MILLI)
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at);
        let gained = passed.as_micros() as u64 * self.rate_milli / 1_000_000;
        if gained == 0 {
            return;
        }
        self.level_milli = (self.level_milli + gained).min(self.size());
        // Time that did not yet make a whole thousandth is kept for the next filling.
        self.filled_at += Duration::from_micros(gained * 1_000_000 / self.rate_milli);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_fill_at_its_rate_and_no_faster() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 2_000);
        let taken = (0..10_000)
            .filter(|ms| bucket.take(Duration::from_millis(*ms), 1).is_ok())
            .count();
        assert_eq!(taken, 2 + 19);
    }

    #[test]
    fn says_when_to_come_back() {
        let mut bucket = TokenBucket::new(Duration::ZERO, 500);
        assert!(bucket.take(Duration::ZERO, 1).is_ok());
        let wait = bucket.take(Duration::ZERO, 1).unwrap_err();
        assert!(bucket.take(wait - Duration::from_millis(1), 1).is_err());
        assert!(bucket.take(wait, 1).is_ok());
    }
}
