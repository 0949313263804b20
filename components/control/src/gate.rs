//! One budget for all calls of a node to the platform, with a pause that grows while it is down.

use std::time::Duration;

use limits::TokenBucket;
use rand::{Rng, RngExt};

/// First pause after a call without an answer; it doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of the control state; short enough that a configuration still comes into force in
/// time on the return.
pub const CONTROL_PAUSE: Duration = Duration::from_secs(8);
/// Longest pause of claims, whose callers wait.
pub const CLAIM_PAUSE: Duration = Duration::from_secs(1);
/// Calls without an answer in a row that count as an outage; single losses are no outage.
const OUTAGE_FROM: u32 = 3;

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// Make it.
    Yes,
    /// Not now: the rate is used up, or the platform is down.
    No,
}

/// The budget and what is known of the platform's health.
#[derive(Clone, Debug)]
pub struct PlatformGate {
    rate: TokenBucket,
    unanswered: u32,
    closed_until: Duration,
    pause: Duration,
    max_pause: Duration,
}

impl PlatformGate {
    /// A budget of so many calls a second, with at most this pause while the platform is down.
    pub fn new(now: Duration, calls_a_second: u64, max_pause: Duration) -> Self {
        PlatformGate {
            rate: TokenBucket::new(now, calls_a_second * 1000),
            unanswered: 0,
            closed_until: Duration::ZERO,
            pause: FIRST_PAUSE.min(max_pause),
            max_pause,
        }
    }

    /// Asks for one call. In an outage one call a pause is let through, to find its end.
    pub fn admit(&mut self, now: Duration, rng: &mut impl Rng) -> Admitted {
        if now < self.closed_until || self.rate.take(now, 1).is_err() {
            return Admitted::No;
        }
        if self.unanswered >= OUTAGE_FROM {
            self.close(now, rng);
        }
        Admitted::Yes
    }

    /// Notes how a call came back.
    pub fn note(&mut self, answered: bool) {
        if answered {
            self.unanswered = 0;
            self.closed_until = Duration::ZERO;
            self.pause = FIRST_PAUSE.min(self.max_pause);
        } else {
            self.unanswered = self.unanswered.saturating_add(1);
        }
    }

    // Jitter of half a pause keeps the nodes from coming back all at once.
    fn close(&mut self, now: Duration, rng: &mut impl Rng) {
        let half = self.pause / 2;
        let jitter = half * rng.random_range(0..=1000) / 1000;
        self.closed_until = now + half + jitter;
        self.pause = (self.pause * 2).min(self.max_pause);
    }
}
