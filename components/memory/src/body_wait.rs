//! How long a caller's request body may wait for memory.

use std::time::Duration;

/// Upper limit of the wait. A few fast answers release memory sooner, and a refused caller can still try elsewhere.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Divisor of the route's latency target that limits the wait: a refusal within an eighth of the target has no cost.
const TARGET_DIVISOR: u32 = 8;
/// Body size up to which the wait does not depend on the size.
const SMALL_BODY_BYTES: u64 = 64 << 10;
/// Number of priority ranks; 0 is the most urgent.
const RANK_COUNT: u8 = 10;

/// Maximum time that a body of `bytes` waits for memory. Less urgent and larger bodies wait for less time, so they are
/// refused first and leave released memory to the others.
pub fn max_body_wait(rank: u8, bytes: u64, target: Duration) -> Duration {
    let by_rank = f64::from(RANK_COUNT - rank.min(RANK_COUNT - 1)) / f64::from(RANK_COUNT);
    let by_size = (SMALL_BODY_BYTES as f64 / bytes.max(SMALL_BODY_BYTES) as f64).sqrt();
    let max_wait = MAX_WAIT.min(target / TARGET_DIVISOR);
    max_wait.mul_f64(by_rank * by_size)
}
