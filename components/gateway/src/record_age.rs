//! Age of the endpoint records from which requests are placed.

use std::time::Duration;

/// When the endpoint records known here were last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordAge {
    confirmed_at: Option<Duration>,
}

impl RecordAge {
    /// Records that they were current at this time.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Until when they are younger than `max_age`; `None` if they were never known to be current.
    pub fn usable_until(&self, max_age: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| at + max_age)
    }

    /// Time since they were last known to be current; `None` if they never were.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether they are too old to decide from: an endpoint may have begun to leave longer ago than `max_age`.
    pub fn is_outdated(&self, now: Duration, max_age: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= max_age)
    }
}
