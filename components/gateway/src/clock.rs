//! Time as durations.
//!
//! Whatever bounds a promise to others is read from a clock that goes on while the VM is suspended: the age of a
//! confirmation, the lease, parts of limits, deadlines, how long a peer is silent. The runtime's timers stand meanwhile, so
//! waits end early once the VM woke, and look at that clock again.

use std::future::Future;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};
use tokio::sync::Notify;

/// A shorter stand of the steady clock is no suspension: the two clocks are read one after the other.
const SHORTEST_SUSPENSION: Duration = Duration::from_millis(50);

// Suspensions are the VM's, so all gateways of a process share them.
static WOKE: Notify = Notify::const_new();

/// A wait that ended by its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Late;

/// The clock of a process that counts suspensions, from its start, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    steady_start: Instant,
    suspended_ms: Option<&'static AtomicU64>,
    // Between this clock and the time of day that is believed, in microseconds.
    day_us: &'static AtomicI64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        // One for a process; all its threads read it.
        let day_us: &'static AtomicI64 = Box::leak(Box::default());
        let clock = Clock {
            start: since_boot(),
            steady_start: Instant::now(),
            suspended_ms: None,
            day_us,
        };
        clock.believe_day(clock.day_reading_us());
        clock
    }

    /// A clock that goes ahead of the runtime's by `suspended_ms`, as after suspensions.
    pub fn start_suspendable(suspended_ms: &'static AtomicU64) -> Self {
        Clock {
            suspended_ms: Some(suspended_ms),
            ..Clock::start()
        }
    }

    /// Time since the start, suspensions included.
    pub fn now(&self) -> Duration {
        let suspended = self.suspended_ms.map_or(0, |ms| ms.load(Ordering::Relaxed));
        since_boot().saturating_sub(self.start) + Duration::from_millis(suspended)
    }

    /// Waits until a time since the start has come.
    pub async fn sleep_until(&self, at: Duration) {
        loop {
            let woke = WOKE.notified();
            let left = at.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = woke => {}
            }
        }
    }

    /// Waits for something until a time since the start. What is ready by then counts, also if it is late.
    pub async fn timeout_at<T>(
        &self,
        at: Duration,
        awaited: impl Future<Output = T>,
    ) -> Result<T, Late> {
        tokio::select! {
            biased;
            output = awaited => Ok(output),
            () = self.sleep_until(at) => Err(Late),
        }
    }

    /// Time of day since 1970 as it is believed: this clock and an offset, which a clock of the day that jumps doesn't change
    /// ([`crate::Day`]).
    pub fn wall(&self) -> Duration {
        let now_us = self.now().as_micros() as i64;
        let day_us = self.day_us.load(Ordering::Relaxed);
        Duration::from_micros(now_us.saturating_add(day_us).max(0) as u64)
    }

    /// What the VM's clock of the day shows now, as an offset from this clock in microseconds.
    pub fn day_reading_us(&self) -> i64 {
        let day = SystemTime::now().duration_since(UNIX_EPOCH);
        let day_us = day.unwrap_or_default().as_micros() as i64;
        day_us - self.now().as_micros() as i64
    }

    /// Sets the offset that [`Clock::wall`] takes.
    pub fn believe_day(&self, offset_us: i64) {
        self.day_us.store(offset_us, Ordering::Relaxed);
    }
}

// The clock that goes on while the VM is suspended. Where there is none, the steady one stands in for it.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let read = read.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    read.map(Duration::from).unwrap_or_default()
}

/// Notices suspensions.
#[derive(Debug)]
pub(crate) struct Suspensions {
    clock: Clock,
    counted: Duration,
}

impl Suspensions {
    pub fn new(clock: Clock) -> Self {
        Suspensions {
            clock,
            counted: Duration::ZERO,
        }
    }

    /// For how long the VM was suspended since the last look; then waits look at the clock again.
    pub fn look(&mut self) -> Option<Duration> {
        let steady = self.clock.steady_start.elapsed();
        let suspended = self.clock.now().saturating_sub(steady);
        let new = suspended.saturating_sub(self.counted);
        if new < SHORTEST_SUSPENSION {
            return None;
        }
        self.counted = suspended;
        WOKE.notify_waiters();
        Some(new)
    }
}
