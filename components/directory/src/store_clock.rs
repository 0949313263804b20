//! The store's steady clock seen from this gateway's monotonic clock.

use std::time::Duration;

/// Drift allowed between the two clocks, one part in this many.
const DRIFT_DIVISOR: u32 = 2_000;

/// Bounds the moment, on the monotonic clock, at which the store made an answer.
///
/// The store stamps each answer with its own steady time. Whatever the delays, an answer was made
/// after its call was sent. So `sent - stamp` bounds the offset between the clocks from below, and
/// the greatest of these bounds, from the fastest call, holds for all answers.
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    // The greatest lower bound of monotonic minus store time in microseconds, and when it was set.
    offset: Option<(i128, Duration)>,
}

impl StoreClock {
    /// Takes an answer stamped `stamp` to a call sent at `sent`, and returns the earliest moment
    /// at which the store can have made it.
    pub fn earliest(&mut self, sent: Duration, received: Duration, stamp: Duration) -> Duration {
        let bound = sent.as_micros() as i128 - stamp.as_micros() as i128;
        let known = self.offset.map(|(offset, at)| offset - drift(at, received));
        // A stamp that jumps back belongs to another store: the old bound says nothing of it.
        let upper = received.as_micros() as i128 - stamp.as_micros() as i128;
        let best = match known {
            Some(known) if known > bound && known <= upper => known,
            _ => bound,
        };
        self.offset = Some((best, received));
        let micros = (stamp.as_micros() as i128 + best).max(0);
        Duration::from_micros(micros as u64).clamp(sent, received)
    }

    /// The latest time of the store at a moment, or `None` if no answer has bounded it.
    pub fn time_at(&self, now: Duration) -> Option<Duration> {
        let (offset, at) = self.offset?;
        let micros = now.as_micros() as i128 - offset + drift(at, now);
        Some(Duration::from_micros(u64::try_from(micros).ok()?))
    }

    /// The earliest moment at which the store's time can have been `stamp`, or `None` if no answer
    /// of this store has bounded it.
    pub fn moment(&self, stamp: Duration, now: Duration) -> Option<Duration> {
        let (offset, at) = self.offset?;
        let micros = stamp.as_micros() as i128 + offset - drift(at, now);
        let moment = Duration::from_micros(u64::try_from(micros).ok()?);
        // A later one than now was stamped by another store.
        (moment <= now).then_some(moment)
    }
}

fn drift(since: Duration, now: Duration) -> i128 {
    i128::from((now.saturating_sub(since) / DRIFT_DIVISOR).as_micros() as u64)
}
