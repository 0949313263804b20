//! Time as durations.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of a process, counted from its start, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant of a time since the start.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at)
    }

    /// Wall time since 1970.
    pub fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
