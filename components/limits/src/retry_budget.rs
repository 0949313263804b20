//! A retry budget of one service over all gateways.
//!
//! In every window, the retries of all gateways stay within a ratio of the callers' requests plus a fixed allowance. Each
//! gateway keeps to its part without messages: the retries that its own requests earn, and a part of the fixed allowance.
//!
//! Most of the retries that a request earns are for the windows that begin after it, the others for those that contain
//! it. So in each window the parts of all gateways add up to a weighted mean of what the requests of this window and
//! those of the one before it allow, whatever the load does and however long each process has run.

use std::time::Duration;

/// Number of slices in a window.
const SLICES: u64 = 100;
/// Part of a request's retries that is earned for windows after it; the rest is earned for the window that contains it.
const EARNED_LATER: f64 = 0.75;
/// Longest time between the send of a request by its caller and its receipt here: callers give up on a request that is not
/// read within a second.
const MAX_RECEIPT_DELAY: Duration = Duration::from_secs(1);

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

/// What a decision about a retry is based on, for logs: the window with the least room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetState {
    /// Requests that count for the window.
    pub requests: u64,
    /// Retries in the window so far.
    pub retries: u64,
    /// Retries that this gateway may make in the window.
    pub allowed: f64,
}

impl RetryBudgetState {
    /// Retries that are left.
    fn room(&self) -> f64 {
        self.allowed - self.retries as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    requests: u32,
    retries: u32,
}

/// One gateway's part of the budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    // Ring of the slices of two windows; the slice with number `n` is at `n` modulo the length.
    slices: Vec<Slice>,
    // Number of the newest slice.
    newest: u64,
    // Retries that may still arrive. They count in every window that contains the present.
    in_flight: u32,
}

impl RetryBudget {
    /// A budget without any requests or retries counted.
    pub fn new(terms: RetryTerms) -> Self {
        RetryBudget {
            terms,
            slices: vec![Slice::default(); 2 * SLICES as usize + 2],
            newest: 0,
            in_flight: 0,
        }
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Duration) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry. Returns false if this gateway's part of the budget has none left in any of the windows that contain
    /// this moment. `fixed_part` is its part of the fixed allowance, from 0 to 1. A retry that was taken has to be settled or
    /// canceled.
    pub fn try_spend(&mut self, now: Duration, fixed_part: f64) -> bool {
        if self.state(now, fixed_part).room() < 1.0 {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records that a retry arrived, or can no longer arrive. It counts until a window after this moment.
    pub fn settle(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.current_slice(now).retries += 1;
    }

    /// Returns a retry that was not sent.
    pub fn cancel(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The window with the least room among those that contain this moment.
    pub fn state(&mut self, now: Duration, fixed_part: f64) -> RetryBudgetState {
        self.current_slice(now);
        let own_extra = self.terms.extra * fixed_part;
        let totals = self.totals();
        let windows = (0..=SLICES).map(|age| self.window(&totals, age as usize, own_extra));
        let least = windows.min_by(|a, b| a.room().total_cmp(&b.room()));
        least.unwrap_or(RetryBudgetState {
            requests: 0,
            retries: 0,
            allowed: 0.0,
        })
    }

    // The window that began `age` slices before the current one. Where in its slice it began is not known, so all retries of
    // that slice count and none of its requests.
    fn window(&self, totals: &[Slice], age: usize, own_extra: f64) -> RetryBudgetState {
        let delay = self.slices_in(MAX_RECEIPT_DELAY);
        let newest_within = totals[age.saturating_sub(delay)];
        let oldest_before = (age + SLICES as usize - 1).saturating_sub(delay).max(age);
        let before = totals[oldest_before + 1].requests - totals[age + 1].requests;
        let within = newest_within.requests;
        let earned = EARNED_LATER * f64::from(before) + (1.0 - EARNED_LATER) * f64::from(within);
        RetryBudgetState {
            requests: u64::from(before + within),
            retries: u64::from(totals[age + 1].retries + self.in_flight),
            allowed: self.terms.ratio * earned + own_extra,
        }
    }

    // Sums over the newest slices, by their number: none, the current one, the two newest, and so on.
    fn totals(&self) -> Vec<Slice> {
        let mut sum = Slice::default();
        let length = self.slices.len() as u64;
        let newest_first = (0..length).map(|age| (self.newest + length - age) % length);
        let sums = newest_first.map(|index| {
            let slice = self.slices[index as usize];
            sum.requests += slice.requests;
            sum.retries += slice.retries;
            sum
        });
        std::iter::once(Slice::default()).chain(sums).collect()
    }

    fn slice_length(&self) -> Duration {
        (self.terms.window / SLICES as u32).max(Duration::from_millis(1))
    }

    fn slices_in(&self, time: Duration) -> usize {
        time.as_nanos().div_ceil(self.slice_length().as_nanos()) as usize
    }

    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let length = self.slices.len() as u64;
        let number = (now.as_nanos() / self.slice_length().as_nanos()) as u64;
        let passed = number.saturating_sub(self.newest).min(length);
        for step in 1..=passed {
            self.slices[((self.newest + step) % length) as usize] = Slice::default();
        }
        // After a long pause, `passed` covers the whole ring.
        self.newest = self.newest.max(number);
        let index = (self.newest % length) as usize;
        &mut self.slices[index]
    }
}
