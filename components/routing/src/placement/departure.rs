//! Whether a request leaves its region.

use std::collections::BTreeMap;
use std::time::Duration;

use limits::LinkBudget;

use crate::placement::Work;

/// Bytes of a request's and its answer's heads.
const HEADS_BYTES: u64 = 800;
/// Bytes of an answer for each of its tokens: events of some tokens each, with their names around them.
const BYTES_PER_TOKEN: u64 = 12;
/// Bytes of an answer whose tokens are not known.
const PLAIN_ANSWER_BYTES: u64 = 1000;

/// Bytes that a request and its answer are expected to take on the link.
pub fn link_bytes(work: &Work) -> u64 {
    let answer = match work.answer_tokens {
        0 => PLAIN_ANSWER_BYTES,
        tokens => u64::from(tokens) * BYTES_PER_TOKEN,
    };
    HEADS_BYTES + u64::from(work.body_bytes) + answer
}

/// What is known of a request's places.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Places {
    /// Cost of the best one in the own region, in milliseconds.
    pub home_ms: Option<f64>,
    /// Cost of the best one elsewhere, the way included.
    pub away_ms: f64,
    /// Bytes on the link.
    pub bytes: u64,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    /// It stays: what it would gain is not worth the way.
    Stays,
    /// It stays though it would gain elsewhere, since others need the link more; or nothing takes it.
    Declined,
    /// It leaves.
    Leaves,
}

/// This gateway's parts of the links to other regions; a region without one is not bounded.
#[derive(Debug, Default)]
pub(crate) struct Links {
    parts: BTreeMap<String, LinkBudget>,
    // Region that alone could take the last request, if the link there had no room.
    blocked: Option<String>,
}

impl Links {
    /// Sets the bytes a second for each other region.
    pub fn set_parts(&mut self, now: Duration, parts: &BTreeMap<String, f64>) {
        self.parts.retain(|region, _| parts.contains_key(region));
        for (region, rate) in parts {
            let part = self.parts.entry(region.clone());
            let part = part.or_insert_with(|| LinkBudget::new(now, *rate));
            part.set_rate(now, *rate);
        }
    }

    /// Decides and counts a request that leaves.
    pub fn decide(&mut self, now: Duration, region: &str, places: Places) -> Departure {
        let gain_ms = match places.home_ms {
            Some(home_ms) => home_ms - places.away_ms,
            None => f64::INFINITY,
        };
        if gain_ms <= 0.0 {
            return Departure::Stays;
        }
        let Some(part) = self.parts.get_mut(region) else {
            return Departure::Leaves;
        };
        let allowed = match places.home_ms {
            Some(_) => gain_ms >= part.least_gain_ms(now, places.bytes),
            None => part.has_room(now, places.bytes),
        };
        if !allowed {
            if places.home_ms.is_none() {
                self.blocked = Some(region.to_string());
            }
            return Departure::Declined;
        }
        part.take(now, places.bytes);
        Departure::Leaves
    }

    /// Time until the request decided last may leave; `None` if the link did not hold it back.
    pub fn wait(&mut self, now: Duration, bytes: u64) -> Option<Duration> {
        let part = self.parts.get_mut(self.blocked.as_ref()?)?;
        Some(part.wait(now, bytes))
    }

    /// A request is decided of which nothing is known yet.
    pub fn begin(&mut self) {
        self.blocked = None;
    }
}
