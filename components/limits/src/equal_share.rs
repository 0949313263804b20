//! A gateway's equal part of an allowance that all gateways share without messages.

use std::time::Duration;

/// Time beyond a window, as a part of it, after which all others count a gateway that joined.
const NOTICE_PART: f64 = 0.2;

/// One gateway's equal part.
#[derive(Clone, Copy, Debug, Default)]
pub struct EqualShare {
    // The largest count so far: gateways that are no longer heard may go on using their parts.
    max_gateways: usize,
    counted_since: Option<Duration>,
}

impl EqualShare {
    /// Records how many gateways share the allowance, this one included.
    pub fn record_count(&mut self, now: Duration, gateways: usize) {
        self.max_gateways = self.max_gateways.max(gateways).max(1);
        self.counted_since.get_or_insert(now);
    }

    /// The part, from 0 to 1, for an allowance per `window`. It is 0 until longer than a window after the first count: before
    /// that, the process that this one replaced may have used the same part, and the others larger ones.
    pub fn part(&self, now: Duration, window: Duration) -> f64 {
        let wait = window.mul_f64(1.0 + NOTICE_PART);
        match self.counted_since {
            Some(since) if now >= since + wait => 1.0 / self.max_gateways as f64,
            _ => 0.0,
        }
    }

    /// Number of gateways that share the allowance, the most that were ever counted; 0 if not known yet.
    pub fn gateways(&self) -> usize {
        self.max_gateways
    }
}
