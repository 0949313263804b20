//! What the system says of this process and its threads.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

/// Processor time of the calling thread.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
