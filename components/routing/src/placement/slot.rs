//! What a gateway knows of one endpoint.

use std::time::Duration;

use directory::Endpoint;

use crate::endpoint::Reading;
use crate::placement::cache::PromptCache;
use crate::placement::pace::Pace;
use crate::placement::queue::PromptQueue;
use crate::placement::speed::Speed;
use crate::placement::{incarnation, Verdict};

/// First time an endpoint is passed over after it was silent; it doubles with each time in a row.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// Longest time an endpoint is passed over.
const LONGEST_SUSPICION: Duration = Duration::from_secs(4);
/// Faulty answers weigh this much in the running share of them.
const FAULT_WEIGHT: f64 = 0.1;
/// A reading older than this says nothing any more.
const READING_AGE: Duration = Duration::from_secs(1);

/// One endpoint on the board.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Its newest record, always of this start.
    pub spec: Endpoint,
    // Looked at for each endpoint and request once one has said something; a hash of its id and birth.
    incarnation: u64,
    /// Its place in the order in which engines take light prompts.
    pub order: u64,
    /// Place of its region among all, 0 for the own one.
    pub region: usize,
    /// Place of its hall on the board.
    pub hall: usize,
    pub cache: PromptCache,
    pub queue: PromptQueue,
    pub speed: Speed,
    /// Requests of this gateway that run there.
    pub own: u32,
    /// Running share of faulty answers.
    pub fault_share: f64,
    pub suspected_until: Duration,
    silent_in_row: u32,
    reading: Option<Reading>,
    own_at_reading: u32,
    // When the requests of others that were sent since the reading are expected to end.
    others: Vec<Duration>,
    /// Whether it reads prompts.
    pub is_engine: bool,
    /// When it stops being slow after its start.
    pub cold_until: Duration,
}

impl Slot {
    pub fn new(now: Duration, spec: Endpoint, cache_tokens: u64) -> Self {
        let cold_until = now + spec.cold;
        Slot {
            incarnation: incarnation(&spec.id, spec.born_ms),
            spec,
            order: 0,
            region: 0,
            hall: 0,
            cache: PromptCache::new(cache_tokens),
            queue: PromptQueue::default(),
            speed: Speed::default(),
            own: 0,
            fault_share: 0.0,
            suspected_until: Duration::ZERO,
            silent_in_row: 0,
            reading: None,
            own_at_reading: 0,
            others: Vec::new(),
            is_engine: false,
            cold_until,
        }
    }

    /// The start that this is, as gateways name it.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Tokens of prompts that it reads in a millisecond, from its service's rate and what was measured of its own.
    pub fn rate(&self, pace: Pace) -> f64 {
        self.speed.rate(pace)
    }

    /// It read a prompt at so many tokens a millisecond.
    pub fn read_at(&mut self, rate: f64) {
        self.speed.note(rate);
    }

    /// Whether it is passed over while there is another.
    pub fn is_suspected(&self, now: Duration) -> bool {
        now < self.suspected_until
    }

    /// Requests expected there now.
    pub fn load(&mut self, now: Duration) -> u32 {
        self.others.retain(|end| *end > now);
        let others = self.others.len() as u32;
        if self.is_engine {
            return self.own + others;
        }
        let fresh = self.reading.filter(|r| now < r.at + READING_AGE);
        let read = fresh.map_or(0, |r| r.running + r.queued);
        let known = (read + self.own).saturating_sub(self.own_at_reading.min(read));
        known.max(self.own) + others
    }

    /// Takes the load that an answer reported. An engine reports it once, at the first token; what is known
    /// of each request and its expected end says more.
    pub fn take_reading(&mut self, reading: Reading) {
        if self.is_engine {
            return;
        }
        self.reading = Some(reading);
        self.own_at_reading = self.own;
        self.others.clear();
    }

    /// Another gateway sent a request that is expected to run for `hold`.
    pub fn other_sent(&mut self, sent_at: Duration, hold: Duration) {
        self.others.push(sent_at + hold);
    }

    /// Draws conclusions from the end of a request.
    pub fn judge(&mut self, now: Duration, verdict: Verdict) {
        match verdict {
            Verdict::Neutral => {}
            Verdict::Sound => {
                self.silent_in_row = 0;
                self.suspected_until = Duration::ZERO;
                self.fault_share *= 1.0 - FAULT_WEIGHT;
            }
            Verdict::Faulty => {
                self.silent_in_row = 0;
                self.fault_share += (1.0 - self.fault_share) * FAULT_WEIGHT;
            }
            Verdict::Silent => {
                let pause = FIRST_SUSPICION * (1 << self.silent_in_row.min(5));
                self.silent_in_row += 1;
                self.suspected_until = now + pause.min(LONGEST_SUSPICION);
            }
        }
    }
}
