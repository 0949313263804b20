//! How long holds last and count as new.

use std::time::Duration;

/// Duration of a content's first hold. Long compared with the minutes in which callers retry, and short enough that a
/// fixed engine soon gets the content again.
const INITIAL_HOLD: Duration = Duration::from_secs(900);
/// Factor by which each further hold is longer.
const HOLD_GROWTH: u32 = 8;
/// Maximum duration of a hold.
const MAX_HOLD: Duration = Duration::from_secs(24 * 3600);
/// How long after its last change a hold counts as new, and is reported before the others.
pub(crate) const NEW_HOLD_PERIOD: Duration = Duration::from_secs(3);

/// Duration of a hold, given how often the same was held back, this time included.
pub(crate) fn hold_duration(hold_count: u32) -> Duration {
    let growth = HOLD_GROWTH.saturating_pow(hold_count.saturating_sub(1));
    INITIAL_HOLD.saturating_mul(growth).min(MAX_HOLD)
}
