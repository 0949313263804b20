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
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

// Suspensions are the VM's, so all gateways of a process share them.
static RESUMED: Notify = Notify::const_new();

/// A wait that ended by its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// The clock of a process that counts suspensions, from its start, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    monotonic_start: Instant,
    suspended_ms: Option<&'static AtomicU64>,
    // Between this clock and the time of day that is believed, in microseconds.
    wall_offset_us: &'static AtomicI64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        // One for a process; all its threads read it.
        let wall_offset_us: &'static AtomicI64 = Box::leak(Box::default());
        let clock = Clock {
            start: since_boot(),
            monotonic_start: Instant::now(),
            suspended_ms: None,
            wall_offset_us,
        };
        clock.set_wall_offset(clock.read_wall_offset_us());
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
            let resumed = RESUMED.notified();
            let left = at.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = resumed => {}
            }
        }
    }

    /// Waits for something until a time since the start. What is ready by then counts, also if it is late.
    pub async fn timeout_at<T>(
        &self,
        at: Duration,
        awaited: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        tokio::select! {
            biased;
            output = awaited => Ok(output),
            () = self.sleep_until(at) => Err(Elapsed),
        }
    }

    /// Time of day since 1970 as it is believed: this clock and an offset, which a clock of the day that jumps doesn't change
    /// ([`crate::WallClockEstimate`]).
    pub fn wall_time(&self) -> Duration {
        let now_us = self.now().as_micros() as i64;
        let wall_offset_us = self.wall_offset_us.load(Ordering::Relaxed);
        Duration::from_micros(now_us.saturating_add(wall_offset_us).max(0) as u64)
    }

    /// What the VM's clock of the day shows now, as an offset from this clock in microseconds.
    pub fn read_wall_offset_us(&self) -> i64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_us = wall.unwrap_or_default().as_micros() as i64;
        wall_us - self.now().as_micros() as i64
    }

    /// Sets the offset that [`Clock::wall_time`] takes.
    pub fn set_wall_offset(&self, offset_us: i64) {
        self.wall_offset_us.store(offset_us, Ordering::Relaxed);
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
pub(crate) struct SuspensionDetector {
    clock: Clock,
    counted: Duration,
}

impl SuspensionDetector {
    pub fn new(clock: Clock) -> Self {
        SuspensionDetector {
            clock,
            counted: Duration::ZERO,
        }
    }

    /// For how long the VM was suspended since the last look; then waits look at the clock again.
    pub fn poll(&mut self) -> Option<Duration> {
        let monotonic = self.clock.monotonic_start.elapsed();
        let suspended = self.clock.now().saturating_sub(monotonic);
        let new = suspended.saturating_sub(self.counted);
        if new < MIN_SUSPENSION {
            return None;
        }
        self.counted = suspended;
        RESUMED.notify_waiters();
        Some(new)
    }
}
