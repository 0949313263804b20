//! The state that a gateway keeps of one endpoint.

use std::time::Duration;

use directory::Endpoint;

use crate::placement::cache::PromptCache;
use crate::placement::queue::PromptQueue;
use crate::placement::slowdown::{Slowdown, SlowdownHistory, SlowdownModel};
use crate::placement::speed::ReadingSpeed;
use crate::placement::timings::ServiceTimings;
use crate::placement::{incarnation, HealthSignal};

/// Time an endpoint is skipped after it did not respond once. It doubles with each further time in
/// a row.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// Upper limit of the time an endpoint is skipped.
const MAX_SUSPICION: Duration = Duration::from_secs(4);
/// Weight of one answer in the running share of faulty answers.
const FAULT_WEIGHT: f64 = 0.1;
/// Age from which a reading is ignored.
const MAX_READING_AGE: Duration = Duration::from_secs(1);

/// Maximum number of running and waiting requests per slot. A higher count is an error in the
/// report and is reduced to this.
const MAX_REQUESTS_PER_SLOT: u32 = 8;
/// Maximum time for a request to reach its endpoint. Requests sent less than this before a reported
/// count may not be included in it.
const MAX_TRANSIT: Duration = Duration::from_millis(10);

// A number of requests that an endpoint reported.
#[derive(Clone, Copy, Debug)]
struct Reading {
    requests: u32,
    at: Duration,
}

// A request that another gateway sent.
#[derive(Clone, Copy, Debug)]
struct PeerRequest {
    sent_at: Duration,
    ends_at: Duration,
    // Whether this gateway placed it.
    is_placed_here: bool,
}

/// One endpoint of the balancer.
#[derive(Debug)]
pub(crate) struct EndpointEntry {
    /// Newest record of the endpoint. It always describes the process that runs now.
    pub spec: Endpoint,
    // Hash of the id and start time, kept since it is needed for each endpoint and request once
    // endpoints have sent notices.
    incarnation: u64,
    /// Position key in the order in which engines are given light prompts.
    pub group_order: u64,
    /// Index of its region, 0 for the gateway's own one.
    pub region_index: usize,
    /// Index of its hall in the balancer's list.
    pub hall_index: usize,
    pub cache: PromptCache,
    pub queue: PromptQueue,
    pub speed: ReadingSpeed,
    /// Slowdowns that it reported, if any.
    pub slowdown_history: Option<SlowdownHistory>,
    // Work time up to the last reported slowdown, in milliseconds: the elapsed time divided by the
    // slowdown.
    work_ms: f64,
    /// Requests of this gateway that are in flight there.
    pub own_requests: u32,
    /// Exponential moving average of the share of faulty answers.
    pub fault_share: f64,
    pub suspected_until: Duration,
    consecutive_unresponsive: u32,
    reading: Option<Reading>,
    own_requests_at_reading: u32,
    // Requests of other gateways: at an engine all of them, elsewhere those sent since the reading.
    peer_requests: Vec<PeerRequest>,
    /// Whether it is an engine, which reads prompts.
    pub is_engine: bool,
    /// End of the slow time after its start.
    pub cold_until: Duration,
}

impl EndpointEntry {
    pub fn new(now: Duration, spec: Endpoint, cache_tokens: u64) -> Self {
        let cold_until = now + spec.cold;
        EndpointEntry {
            incarnation: incarnation(&spec.id, spec.born_ms),
            spec,
            group_order: 0,
            region_index: 0,
            hall_index: 0,
            cache: PromptCache::new(cache_tokens),
            queue: PromptQueue::default(),
            speed: ReadingSpeed::default(),
            slowdown_history: None,
            work_ms: 0.0,
            own_requests: 0,
            fault_share: 0.0,
            suspected_until: Duration::ZERO,
            consecutive_unresponsive: 0,
            reading: None,
            own_requests_at_reading: 0,
            peer_requests: Vec::new(),
            is_engine: false,
            cold_until,
        }
    }

    /// Hash of this run of the endpoint's process; see [`incarnation`].
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the prompt tokens it reads per millisecond at its long-term slowdown, from its
    /// service's rate and its own measurements.
    pub fn rate(&self, timings: ServiceTimings) -> f64 {
        self.speed().rate(timings)
    }

    /// Returns its measured speed relative to its service, or no measurement if it reports
    /// slowdowns itself. Measurements are disturbed by other prompts that the engine reads at the
    /// same time.
    pub fn speed(&self) -> ReadingSpeed {
        match self.slowdown_history {
            Some(_) => ReadingSpeed::default(),
            None => self.speed,
        }
    }

    /// Records that it read a prompt at `rate` tokens per millisecond.
    pub fn record_rate(&mut self, rate: f64) {
        self.speed.record(rate);
    }

    /// Records a slowdown that it reported.
    pub fn record_slowdown(&mut self, at: Duration, slowdown: Slowdown, model: &mut SlowdownModel) {
        self.work_ms = self.work_ms(at, model);
        self.slowdown_history = Some(model.record(self.slowdown_history, at, slowdown));
    }

    /// Returns the time a request takes there, relative to the mean of its service's endpoints.
    pub fn relative_duration(&self, timings: ServiceTimings, model: &SlowdownModel) -> f64 {
        self.speed().relative_duration(timings) * model.long_term_slowdown(self.slowdown_history)
    }

    /// Returns the elapsed time divided by the slowdown, in milliseconds. It grows more slowly than
    /// the clock while work takes longer than the mean.
    pub fn work_ms(&self, now: Duration, model: &SlowdownModel) -> f64 {
        let since = self
            .slowdown_history
            .map_or(Duration::ZERO, |history| history.at());
        let passed_ms = now.saturating_sub(since).as_secs_f64() * 1000.0;
        self.work_ms + passed_ms / model.relative_slowdown(now, self.slowdown_history)
    }

    /// Whether it is skipped while another endpoint is usable.
    pub fn is_suspected(&self, now: Duration) -> bool {
        now < self.suspected_until
    }

    /// Returns the number of requests expected there now, and forgets those that are expected to have ended.
    pub fn load(&mut self, now: Duration) -> u32 {
        self.peer_requests.retain(|other| other.ends_at > now);
        self.expected_requests(now)
    }

    /// Returns the number of requests expected there now.
    pub fn expected_requests(&self, now: Duration) -> u32 {
        let running = self
            .peer_requests
            .iter()
            .filter(|other| other.ends_at > now);
        let others = running.count() as u32;
        if self.is_engine {
            return self.own_requests + others;
        }
        let recent = self.reading.filter(|r| now < r.at + MAX_READING_AGE);
        let read = recent.map_or(0, |r| r.requests);
        let known =
            (read + self.own_requests).saturating_sub(self.own_requests_at_reading.min(read));
        known.max(self.own_requests) + others
    }

    /// Records the number of requests that it reported and returns the difference from the expected
    /// number. `hold` is the mean time of a request at the service.
    pub fn record_request_count(&mut self, at: Duration, requests: u32, hold: Duration) -> u32 {
        let requests = requests.min(self.spec.slots.saturating_mul(MAX_REQUESTS_PER_SLOT));
        let expected = self.apply_request_count(at, requests, hold);
        expected.abs_diff(requests)
    }

    fn apply_request_count(&mut self, at: Duration, requests: u32, hold: Duration) -> u32 {
        if self.is_engine {
            return self.reconcile_peer_requests(at, requests, hold);
        }
        let expected = self.load(at);
        if self.reading.is_none_or(|known| known.at <= at) {
            self.reading = Some(Reading { requests, at });
            self.own_requests_at_reading = self.own_requests;
            self.peer_requests.retain(|other| other.sent_at >= at);
        }
        expected
    }

    // Adjusts the expected requests at an engine to a reported count and returns the number
    // expected before. The individual requests carry more information than one count, but their
    // expected ends rest on rough estimates of the answer lengths. So the peer requests that are
    // due first are assumed to have ended, or additional requests are assumed to run.
    fn reconcile_peer_requests(&mut self, at: Duration, requests: u32, hold: Duration) -> u32 {
        let has_arrived = |other: &PeerRequest| other.sent_at + MAX_TRANSIT <= at;
        self.peer_requests.retain(|other| other.ends_at > at);
        let others = self
            .peer_requests
            .iter()
            .filter(|other| has_arrived(other))
            .count() as u32;
        let expected = self.own_requests + others;
        let ended = expected.saturating_sub(requests).min(others);
        self.peer_requests
            .sort_unstable_by_key(|other| other.ends_at);
        let mut remaining = ended;
        self.peer_requests.retain(|other| {
            let has_ended = remaining > 0 && has_arrived(other);
            remaining -= u32::from(has_ended);
            !has_ended
        });
        let continued = PeerRequest {
            sent_at: at.saturating_sub(MAX_TRANSIT),
            ends_at: at + hold / 2,
            is_placed_here: false,
        };
        let missing = requests.saturating_sub(expected) as usize;
        self.peer_requests
            .extend(std::iter::repeat_n(continued, missing));
        expected
    }

    /// Records a request of another gateway that is expected to run for `hold`.
    pub fn record_peer_request(&mut self, sent_at: Duration, hold: Duration) {
        self.peer_requests.push(PeerRequest {
            sent_at,
            ends_at: sent_at + hold,
            is_placed_here: false,
        });
    }

    /// Records a request that this gateway places for another one and that is expected to run for `hold`.
    pub fn record_placed_for_peer(&mut self, now: Duration, hold: Duration) {
        self.peer_requests.push(PeerRequest {
            sent_at: now,
            ends_at: now + hold,
            is_placed_here: true,
        });
    }

    /// Returns the number of requests that this gateway placed and that are expected to run now.
    pub fn requests_placed_here(&self, now: Duration) -> u32 {
        let others = self.peer_requests.iter();
        let placed = others.filter(|other| other.is_placed_here && other.ends_at > now);
        self.own_requests + placed.count() as u32
    }

    /// Updates suspicion and the share of faulty answers after a request ended.
    pub fn record_end(&mut self, now: Duration, signal: HealthSignal) {
        match signal {
            HealthSignal::Inconclusive => {}
            HealthSignal::Healthy => {
                self.consecutive_unresponsive = 0;
                self.suspected_until = Duration::ZERO;
                self.fault_share *= 1.0 - FAULT_WEIGHT;
            }
            HealthSignal::Faulty => {
                self.consecutive_unresponsive = 0;
                self.fault_share += (1.0 - self.fault_share) * FAULT_WEIGHT;
            }
            HealthSignal::Unresponsive => {
                let backoff = FIRST_SUSPICION * (1 << self.consecutive_unresponsive.min(5));
                self.consecutive_unresponsive += 1;
                self.suspected_until = now + backoff.min(MAX_SUSPICION);
            }
        }
    }
}
