//! How long a caller's body waits for memory.

use std::time::Duration;

/// Longest wait: the release of a few quick answers takes less, and a caller that is refused can still go elsewhere.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Part of its route's target that a request may be held before it is refused: a refusal costs nothing up to an eighth.
const TARGET_DIVISOR: u32 = 8;
/// Bodies up to this size wait for as long as their rank allows.
const SMALL_BODY_BYTES: u64 = 64 << 10;
/// Ranks, 0 is the most urgent.
const RANK_COUNT: u8 = 10;

/// How long a body of so many bytes waits. Less urgent and larger ones wait for less, so they are refused first and leave
/// what becomes free to the others.
pub fn max_body_wait(rank: u8, bytes: u64, target: Duration) -> Duration {
    let by_rank = f64::from(RANK_COUNT - rank.min(RANK_COUNT - 1)) / f64::from(RANK_COUNT);
    let by_size = (SMALL_BODY_BYTES as f64 / bytes.max(SMALL_BODY_BYTES) as f64).sqrt();
    let max_wait = MAX_WAIT.min(target / TARGET_DIVISOR);
    max_wait.mul_f64(by_rank * by_size)
}
