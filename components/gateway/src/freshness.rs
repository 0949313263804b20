//! How old the last confirmation of the configuration is, shared between the threads.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Part of the longest allowed age up to which keys are accepted.
const USED_PART: f64 = 0.9;

/// Written by the control thread, read at each use by the traffic thread.
#[derive(Debug, Default)]
pub struct Freshness {
    // Microseconds on the monotonic clock, 0 for never.
    confirmed_us: AtomicU64,
    stopping: AtomicBool,
}

impl Freshness {
    /// The configuration in force was the newest at this time.
    pub fn confirm(&self, at: Duration) {
        let micros = at.as_micros() as u64;
        self.confirmed_us.fetch_max(micros, Ordering::Relaxed);
    }

    /// Age of the last confirmation, `None` if there was none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        match self.confirmed_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(now.saturating_sub(Duration::from_micros(micros))),
        }
    }

    /// Whether a key may be accepted now, if confirmations may be `longest` old.
    pub fn allows_keys(&self, now: Duration, longest: Duration) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| longest.is_zero() || age < longest.mul_f64(USED_PART))
    }

    /// The gateway was asked to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the gateway was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
