//! A budget for repeated requests of one service over all gateways.
//!
//! Each gateway uses its part only: a share of its own requests, and its part of the fixed extra.
//! So the parts add up to the whole without a message.

use std::collections::VecDeque;
use std::time::Duration;

/// Slices that a window is counted in.
const SLICES: u32 = 10;
/// Part of the allowance that is used: counts of the callers and of the gateways differ a little.
const USED_PART: f64 = 0.7;

/// What is allowed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those.
    pub extra: f64,
    /// Window that both are counted in.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// The budget of one service at one gateway.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// A budget in which nothing was counted yet.
    pub fn new(terms: RetryTerms) -> Self {
        RetryBudget {
            terms,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat, if this gateway's part of the budget has one left.
    pub fn try_spend(&mut self, now: Duration, gateways: usize) -> bool {
        self.slice(now);
        let requests: u64 = self.slices.iter().map(|s| s.requests).sum();
        let repeats: u64 = self.slices.iter().map(|s| s.repeats).sum();
        let own_extra = self.terms.extra / gateways.max(1) as f64;
        let allowed = USED_PART * (self.terms.ratio * requests as f64 + own_extra);
        if (repeats + 1) as f64 > allowed {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    fn slice(&mut self, now: Duration) -> &mut Slice {
        let length = (self.terms.window / SLICES).as_millis().max(1) as u64;
        let number = now.as_millis() as u64 / length;
        let first = (number + 1).saturating_sub(u64::from(SLICES));
        self.slices.retain(|slice| slice.number >= first);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
