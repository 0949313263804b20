//! Decides whether a request crosses the link to another region.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::LinkBudget;

use crate::placement::Work;

/// Bytes of the headers of a request and of its answer.
const HEADER_BYTES: u64 = 800;
/// Bytes of an answer per token. An event of the stream carries several tokens with the JSON field
/// names around them.
const ANSWER_BYTES_PER_TOKEN: u64 = 12;
/// Bytes of an answer whose number of tokens is unknown.
const DEFAULT_ANSWER_BYTES: u64 = 1000;

/// Returns the bytes that a request and its answer are expected to take on the link between
/// regions.
pub fn link_bytes(work: &Work) -> u64 {
    let answer = match work.answer_tokens {
        0 => DEFAULT_ANSWER_BYTES,
        tokens => u64::from(tokens) * ANSWER_BYTES_PER_TOKEN,
    };
    HEADER_BYTES + u64::from(work.body_bytes) + answer
}

/// Costs of a request's best endpoints in and outside its region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RegionCosts {
    /// Cost of the best endpoint in the request's own region, in milliseconds; `None` if none there
    /// takes work.
    pub local_ms: Option<f64>,
    /// Cost of the best endpoint in another region, network cost included, in milliseconds.
    pub remote_ms: f64,
    /// Expected bytes on the link.
    pub bytes: u64,
}

/// Whether a request crosses the link to another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkDecision {
    /// It stays in its region, since the gain is less than the network cost.
    Local,
    /// It would gain elsewhere, but the link has no room for a gain of this size. It stays in its
    /// region, or goes nowhere if no endpoint there takes it.
    Declined,
    /// It goes to the other region.
    Remote,
}

/// This gateway's share of each link to another region. A link without a budget is not limited.
#[derive(Debug, Default)]
pub(crate) struct RegionLinks {
    budgets: BTreeMap<String, LinkBudget>,
    // Region that alone could have taken the last request, set if the link there had no room.
    blocked_region: Option<String>,
}

impl RegionLinks {
    /// Sets the rates in bytes per second by region.
    pub fn set_rates(&mut self, now: Duration, rates: &BTreeMap<String, f64>) {
        self.budgets.retain(|region, _| rates.contains_key(region));
        for (region, rate) in rates {
            let budget = self.budgets.entry(region.clone());
            let budget = budget.or_insert_with(|| LinkBudget::new(now, *rate));
            budget.set_rate(now, *rate);
        }
    }

    /// Decides whether a request goes to `region`, and takes its bytes from the link's budget if
    /// so.
    pub fn decide(&mut self, now: Duration, region: &str, costs: RegionCosts) -> LinkDecision {
        let gain_ms = match costs.local_ms {
            Some(local_ms) => local_ms - costs.remote_ms,
            None => f64::INFINITY,
        };
        if gain_ms <= 0.0 {
            return LinkDecision::Local;
        }
        let Some(budget) = self.budgets.get_mut(region) else {
            return LinkDecision::Remote;
        };
        let is_allowed = match costs.local_ms {
            Some(_) => gain_ms >= budget.min_gain_ms(now, costs.bytes),
            None => budget.has_room(now, costs.bytes),
        };
        if !is_allowed {
            if costs.local_ms.is_none() {
                self.blocked_region = Some(region.to_string());
            }
            return LinkDecision::Declined;
        }
        budget.take(now, costs.bytes);
        LinkDecision::Remote
    }

    /// Returns the time until the link has room for the request decided last; `None` if the link
    /// did not hold it back.
    pub fn wait(&mut self, now: Duration, bytes: u64) -> Option<Duration> {
        let budget = self.budgets.get_mut(self.blocked_region.as_ref()?)?;
        Some(budget.time_until_room(now, bytes))
    }

    /// Resets the state of the previous request before a new decision.
    pub fn reset(&mut self) {
        self.blocked_region = None;
    }
}
