//! What a gateway knows of one endpoint.

use std::time::Duration;

use directory::Endpoint;

use crate::placement::cache::PromptCache;
use crate::placement::pace::Pace;
use crate::placement::queue::PromptQueue;
use crate::placement::slowdown::{Memory, Slowdown, Told};
use crate::placement::speed::Speed;
use crate::placement::{incarnation, HealthSignal};

/// First time an endpoint is passed over after it was silent; it doubles with each time in a row.
const FIRST_SUSPICION: Duration = Duration::from_millis(250);
/// Longest time an endpoint is passed over.
const LONGEST_SUSPICION: Duration = Duration::from_secs(4);
/// Faulty answers weigh this much in the running share of them.
const FAULT_WEIGHT: f64 = 0.1;
/// A reading older than this says nothing any more.
const READING_AGE: Duration = Duration::from_secs(1);

/// Requests that an endpoint has at most, running and waiting, for each slot. A count beyond is a fault of the figure.
const MOST_IN_SLOTS: u32 = 8;
/// Requests that were sent so shortly before an endpoint said how many it has may not have reached it by then.
const ON_THE_WAY: Duration = Duration::from_millis(10);

// How many requests an endpoint said it had.
#[derive(Clone, Copy, Debug)]
struct Reading {
    requests: u32,
    at: Duration,
}

// A request of another gateway.
#[derive(Clone, Copy, Debug)]
struct Expected {
    sent_at: Duration,
    ends_at: Duration,
}

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
    /// What it told of how long work takes there.
    pub told: Option<Told>,
    // Time up to then, in milliseconds, as long as it was for its work.
    work_ms: f64,
    /// Requests of this gateway that run there.
    pub own: u32,
    /// Running share of faulty answers.
    pub fault_share: f64,
    pub suspected_until: Duration,
    silent_in_row: u32,
    reading: Option<Reading>,
    own_at_reading: u32,
    // Requests of others, at an engine all, elsewhere those sent since the reading.
    others: Vec<Expected>,
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
            told: None,
            work_ms: 0.0,
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

    /// Tokens of prompts that it reads in a millisecond when work takes as long as on the whole, from its service's rate and
    /// what was measured of its own.
    pub fn rate(&self, pace: Pace) -> f64 {
        self.speed().rate(pace)
    }

    /// How fast it reads beside the others, as far as it doesn't tell that itself: what was measured of its own is off by
    /// whatever was read beside.
    pub fn speed(&self) -> Speed {
        match self.told {
            Some(_) => Speed::default(),
            None => self.speed,
        }
    }

    /// It read a prompt at so many tokens a millisecond.
    pub fn read_at(&mut self, rate: f64) {
        self.speed.note(rate);
    }

    /// It told how long work takes there.
    pub fn hear_slowdown(&mut self, at: Duration, slowdown: Slowdown, memory: &mut Memory) {
        self.work_ms = self.work_ms(at, memory);
        self.told = Some(memory.hear(self.told, at, slowdown));
    }

    /// Time that a request takes there, in parts of what it takes at the service's endpoints on the whole.
    pub fn slowness(&self, pace: Pace, memory: &Memory) -> f64 {
        self.speed().slowness(pace) * memory.on_the_whole(self.told)
    }

    /// Time that passed for its work, in milliseconds: less than the clock's while work takes longer than usual.
    pub fn work_ms(&self, now: Duration, memory: &Memory) -> f64 {
        let since = self.told.map_or(Duration::ZERO, |told| told.at());
        let passed_ms = now.saturating_sub(since).as_secs_f64() * 1000.0;
        self.work_ms + passed_ms / memory.against_usual(now, self.told)
    }

    /// Whether it is passed over while there is another.
    pub fn is_suspected(&self, now: Duration) -> bool {
        now < self.suspected_until
    }

    /// Requests expected there now.
    pub fn load(&mut self, now: Duration) -> u32 {
        self.others.retain(|other| other.ends_at > now);
        let others = self.others.len() as u32;
        if self.is_engine {
            return self.own + others;
        }
        let fresh = self.reading.filter(|r| now < r.at + READING_AGE);
        let read = fresh.map_or(0, |r| r.requests);
        let known = (read + self.own).saturating_sub(self.own_at_reading.min(read));
        known.max(self.own) + others
    }

    /// It said how many requests it had. Returns how far that is from what was expected. `hold` is the time of a request at
    /// the service.
    pub fn hear_requests(&mut self, at: Duration, requests: u32, hold: Duration) -> u32 {
        let requests = requests.min(self.spec.slots.saturating_mul(MOST_IN_SLOTS));
        let expected = self.expect_by_count(at, requests, hold);
        expected.abs_diff(requests)
    }

    fn expect_by_count(&mut self, at: Duration, requests: u32, hold: Duration) -> u32 {
        if self.is_engine {
            return self.correct(at, requests, hold);
        }
        let expected = self.load(at);
        if self.reading.is_none_or(|known| known.at <= at) {
            self.reading = Some(Reading { requests, at });
            self.own_at_reading = self.own;
            self.others.retain(|other| other.sent_at >= at);
        }
        expected
    }

    // What is known of each request at an engine and of its expected end says more than one count, but guesses of how
    // long answers are go far off: those that are due soonest are taken to have ended, or as many to run on.
    fn correct(&mut self, at: Duration, requests: u32, hold: Duration) -> u32 {
        let arrived = |other: &Expected| other.sent_at + ON_THE_WAY <= at;
        self.others.retain(|other| other.ends_at > at);
        let others = self.others.iter().filter(|other| arrived(other)).count() as u32;
        let expected = self.own + others;
        let ended = expected.saturating_sub(requests).min(others);
        self.others.sort_unstable_by_key(|other| other.ends_at);
        let mut left = ended;
        self.others.retain(|other| {
            let has_ended = left > 0 && arrived(other);
            left -= u32::from(has_ended);
            !has_ended
        });
        let runs_on = Expected {
            sent_at: at.saturating_sub(ON_THE_WAY),
            ends_at: at + hold / 2,
        };
        let more = requests.saturating_sub(expected) as usize;
        self.others.extend(std::iter::repeat_n(runs_on, more));
        expected
    }

    /// Another gateway sent a request that is expected to run for `hold`.
    pub fn other_sent(&mut self, sent_at: Duration, hold: Duration) {
        self.others.push(Expected {
            sent_at,
            ends_at: sent_at + hold,
        });
    }

    /// Draws conclusions from the end of a request.
    pub fn judge(&mut self, now: Duration, signal: HealthSignal) {
        match signal {
            HealthSignal::Inconclusive => {}
            HealthSignal::Healthy => {
                self.silent_in_row = 0;
                self.suspected_until = Duration::ZERO;
                self.fault_share *= 1.0 - FAULT_WEIGHT;
            }
            HealthSignal::Faulty => {
                self.silent_in_row = 0;
                self.fault_share += (1.0 - self.fault_share) * FAULT_WEIGHT;
            }
            HealthSignal::Unresponsive => {
                let pause = FIRST_SUSPICION * (1 << self.silent_in_row.min(5));
                self.silent_in_row += 1;
                self.suspected_until = now + pause.min(LONGEST_SUSPICION);
            }
        }
    }
}
