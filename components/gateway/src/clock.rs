//! Clocks of a gateway. Times are durations since the start of the process.
//!
//! Every bound that other processes rely on is measured with a clock that continues while the VM is suspended:
//! the age of a confirmation, the lease, parts of limits, deadlines, and the time since a peer was last
//! received. The runtime's timers stop during a suspension. Waits are therefore woken when the VM resumes, and
//! check that clock again.

use std::future::Future;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};
use tokio::sync::Notify;

/// Shorter differences between the clocks are no suspension: the two clocks are read one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

// A suspension affects the whole VM, so all gateways of a process share this.
static RESUMED: Notify = Notify::const_new();

/// A wait that reached its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Time since the process start, including suspensions, and an estimate of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    monotonic_start: Instant,
    suspended_ms: Option<&'static AtomicU64>,
    // Offset from this clock to the estimated wall clock, in microseconds.
    wall_offset_us: &'static AtomicI64,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        // One per process, read by all its threads.
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

    /// Creates a clock that is `suspended_ms` ahead of the runtime's clock, as after suspensions.
    pub fn start_suspendable(suspended_ms: &'static AtomicU64) -> Self {
        Clock {
            suspended_ms: Some(suspended_ms),
            ..Clock::start()
        }
    }

    /// Time since the start, including suspensions.
    pub fn now(&self) -> Duration {
        let suspended = self.suspended_ms.map_or(0, |ms| ms.load(Ordering::Relaxed));
        since_boot().saturating_sub(self.start) + Duration::from_millis(suspended)
    }

    /// Waits until a time since the start.
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

    /// Waits for a future until a time since the start. A future that is ready when the deadline is checked
    /// counts, even if it is late.
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

    /// Estimated wall-clock time since 1970: this clock plus an offset that a jump of the VM's wall clock does
    /// not change ([`crate::WallClockEstimate`]).
    pub fn wall_time(&self) -> Duration {
        let now_us = self.now().as_micros() as i64;
        let wall_offset_us = self.wall_offset_us.load(Ordering::Relaxed);
        Duration::from_micros(now_us.saturating_add(wall_offset_us).max(0) as u64)
    }

    /// Reading of the VM's wall clock, as an offset from this clock in microseconds.
    pub fn read_wall_offset_us(&self) -> i64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_us = wall.unwrap_or_default().as_micros() as i64;
        wall_us - self.now().as_micros() as i64
    }

    /// Sets the offset for [`Clock::wall_time`], in microseconds.
    pub fn set_wall_offset(&self, offset_us: i64) {
        self.wall_offset_us.store(offset_us, Ordering::Relaxed);
    }
}

// Clock that continues while the VM is suspended, or the monotonic clock where that is not available.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let read = read.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    read.map(Duration::from).unwrap_or_default()
}

/// Detects suspensions of the VM.
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

    /// Returns how long the VM was suspended since the last call, if it was, and then wakes all waits to check
    /// the clock again.
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
