//! Conversion between the store's monotonic clock and this gateway's monotonic clock.

use std::time::Duration;

/// Allowed drift between the two clocks: one part in this many.
const DRIFT_DIVISOR: u32 = 2_000;

/// Bounds the moment, on the gateway's monotonic clock, at which the store made an answer.
///
/// The store stamps each answer with its own monotonic time. Regardless of delays, an answer is made
/// after its call was sent. So `sent - stamp` is a lower bound of the offset between the clocks, and
/// the greatest of these bounds, from the fastest call, applies to all answers.
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    // Greatest lower bound of the gateway's time minus the store's time, in microseconds, and when it was set.
    offset: Option<(i128, Duration)>,
}

impl StoreClock {
    /// Updates the offset from an answer stamped `stamp` to a call sent at `sent`. Returns the earliest
    /// moment at which the store can have made the answer, between `sent` and `received`.
    pub fn earliest(&mut self, sent: Duration, received: Duration, stamp: Duration) -> Duration {
        let bound = sent.as_micros() as i128 - stamp.as_micros() as i128;
        let known = self.offset.map(|(offset, at)| offset - drift(at, received));
        // A stamp that jumps back was made by another store, to which the old bound does not apply.
        let upper = received.as_micros() as i128 - stamp.as_micros() as i128;
        let best = match known {
            Some(known) if known > bound && known <= upper => known,
            _ => bound,
        };
        self.offset = Some((best, received));
        let micros = (stamp.as_micros() as i128 + best).max(0);
        Duration::from_micros(micros as u64).clamp(sent, received)
    }

    /// Upper bound of the store's time at `now`, or `None` without any answer.
    pub fn time_at(&self, now: Duration) -> Option<Duration> {
        let (offset, at) = self.offset?;
        let micros = now.as_micros() as i128 - offset + drift(at, now);
        Some(Duration::from_micros(u64::try_from(micros).ok()?))
    }

    /// The earliest moment at which the store's time can have been `stamp`, or `None` if there is no answer
    /// of the store that made the stamp.
    pub fn moment(&self, stamp: Duration, now: Duration) -> Option<Duration> {
        let (offset, at) = self.offset?;
        let micros = stamp.as_micros() as i128 + offset - drift(at, now);
        let moment = Duration::from_micros(u64::try_from(micros).ok()?);
        // A moment later than `now` means that another store made the stamp.
        (moment <= now).then_some(moment)
    }
}

fn drift(since: Duration, now: Duration) -> i128 {
    i128::from((now.saturating_sub(since) / DRIFT_DIVISOR).as_micros() as u64)
}
