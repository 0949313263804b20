//! A retry budget of one service over all gateways.
//!
//! Each gateway uses only its part of the budget: a ratio of its own requests, and an equal part of
//! the fixed allowance. The parts add up to the whole budget without any messages.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of slices in a window.
const SLICES: u32 = 10;
/// Part of the allowance that is used, because the callers' counts differ a little from the gateways'.
const USED_PART: f64 = 0.7;

/// Retries that are allowed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to those.
    pub extra: f64,
    /// Sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// What a decision about a retry is based on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetState {
    /// Requests counted in the window.
    pub requests: u64,
    /// Retries counted in the window.
    pub retries: u64,
    /// Retries that this gateway may make in the window.
    pub allowed: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u64,
    retries: u64,
}

/// One gateway's part of the budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// A budget without any requests or retries counted.
    pub fn new(terms: RetryTerms) -> Self {
        RetryBudget {
            terms,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Duration) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry. Returns false if this gateway's part of the budget has none left. `gateways` is the number of
    /// gateways that share the fixed allowance.
    pub fn try_spend(&mut self, now: Duration, gateways: usize) -> bool {
        let state = self.state(now, gateways);
        if (state.retries + 1) as f64 > state.allowed {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// The current state, for logs.
    pub fn state(&mut self, now: Duration, gateways: usize) -> RetryBudgetState {
        self.current_slice(now);
        let requests: u64 = self.slices.iter().map(|s| s.requests).sum();
        let retries: u64 = self.slices.iter().map(|s| s.retries).sum();
        let own_extra = self.terms.extra / gateways.max(1) as f64;
        RetryBudgetState {
            requests,
            retries,
            allowed: USED_PART * (self.terms.ratio * requests as f64 + own_extra),
        }
    }

    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let slice_ms = (self.terms.window / SLICES).as_millis().max(1) as u64;
        let number = now.as_millis() as u64 / slice_ms;
        let oldest = (number + 1).saturating_sub(u64::from(SLICES));
        self.slices.retain(|slice| slice.number >= oldest);
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
