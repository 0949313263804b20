//! Measures engines from the events of this gateway's streams.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{EngineStats, Learner, Sample};
use limits::SendRate;

use crate::placement::balancer::{ms, takes_work, Balancer, Ticket};

/// Events per sample. Prompts are counted when sent, not when read, so one prompt may be missing or
/// extra at each end of a sample. Over this many events, with some twenty other prompts at a busy
/// engine, the error is a tenth.
const SAMPLE_EVENTS: u32 = 32;
/// Minimum number of events of the last sample of a stream.
const MIN_SAMPLE_EVENTS: u32 = 12;

/// Events of a stream since the last sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventWindow {
    // State of the engine at the event that starts the sample.
    start: Option<EngineSnapshot>,
    last_at: Duration,
    // Events after the starting one.
    events: u32,
    /// Events of the whole stream so far.
    total: u32,
}

// State of an engine at one moment.
#[derive(Clone, Copy, Debug)]
struct EngineSnapshot {
    at: Duration,
    // Elapsed time divided by the slowdown, which equals the clock's while work takes as long as
    // the service's mean.
    work_ms: f64,
    running: u32,
    pushed_tokens: f64,
}

/// Load of a service's ready endpoints in one data hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallLoad {
    /// Requests expected at these endpoints.
    pub requests: u32,
    /// Number of ready endpoints.
    pub endpoints: u32,
    /// Total slots of these endpoints.
    pub slots: u32,
    /// Capacity lost to the rate limits that the endpoints announced, in thousandths of an
    /// endpoint.
    pub limited_milli: u32,
}

impl Balancer {
    /// Records an event of a stream.
    pub fn event(&mut self, now: Duration, ticket: &mut Ticket) {
        if !self.is_current(ticket) {
            return;
        }
        let window = &mut ticket.window;
        window.total += 1;
        if window.start.is_some() {
            window.events += 1;
            window.last_at = now;
            if window.events < SAMPLE_EVENTS {
                return;
            }
            self.take_sample(now, ticket);
        }
        ticket.window.start = self.snapshot(now, &ticket.endpoint);
        ticket.window.events = 0;
    }

    /// Records the end of a stream. Its last events become a sample if there are enough, and its
    /// timing limits tell how long a token may take: `gap` is the maximum pause between events,
    /// `whole` the maximum total time.
    pub fn stream_ended(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        gap: Option<Duration>,
        whole: Duration,
    ) {
        if !self.is_current(ticket) {
            return;
        }
        if ticket.window.events >= MIN_SAMPLE_EVENTS {
            self.take_sample(now, ticket);
        }
        let Some((per_event, learner)) = self.learner_of(&ticket.endpoint) else {
            return;
        };
        if ticket.window.total == 0 {
            return;
        }
        let by_whole = ms(whole) / (per_event * f64::from(ticket.window.total));
        let by_gap = gap.map_or(f64::MAX, |gap| ms(gap) / per_event);
        learner.add_allowed_pace(now, by_whole.min(by_gap));
    }

    /// Returns what was learnt of the engines of a service.
    pub fn learnt(&self, service: &str) -> EngineStats {
        let learner = self.learners.get(service);
        learner.map(|learner| *learner.stats()).unwrap_or_default()
    }

    /// Whether the endpoints of a service are engines.
    pub fn has_engines(&self, service: &str) -> bool {
        self.engines.contains_key(service)
    }

    /// Returns the load of a service's ready endpoints by data hall.
    pub fn occupancy(&mut self, now: Duration, service: &str) -> BTreeMap<String, HallLoad> {
        let mut halls: BTreeMap<String, HallLoad> = BTreeMap::new();
        let hold_ms = self.timings_of(service).hold_ms;
        let Some(endpoints) = self.services.get_mut(service) else {
            return halls;
        };
        let notices = &self.notices;
        let taking = endpoints.iter_mut();
        for entry in taking.filter(|entry| takes_work(now, entry, notices)) {
            if !halls.contains_key(&entry.spec.zone) {
                halls.insert(entry.spec.zone.clone(), HallLoad::default());
            }
            let requests = entry.load(now);
            if let Some(hall) = halls.get_mut(&entry.spec.zone) {
                hall.requests += requests;
                hall.endpoints += 1;
                hall.slots += entry.spec.slots;
                let limit = notices.limit(entry.incarnation());
                let limited = limit.map(|rate| limited_milli(rate, entry.spec.slots, hold_ms));
                hall.limited_milli += limited.unwrap_or_default();
            }
        }
        halls
    }

    fn take_sample(&mut self, now: Duration, ticket: &Ticket) {
        let window = ticket.window;
        let (Some(start), Some(end)) = (window.start, self.snapshot(now, &ticket.endpoint)) else {
            return;
        };
        // If the endpoint was removed and added again meanwhile, its token count started again from
        // zero.
        if end.pushed_tokens < start.pushed_tokens {
            return;
        }
        let Some((per_event, learner)) = self.learner_of(&ticket.endpoint) else {
            return;
        };
        let engine_steps = f64::from(window.events) * per_event;
        let passed_ms = ms(now.saturating_sub(start.at)).max(f64::MIN_POSITIVE);
        let work_share = (end.work_ms - start.work_ms) / passed_ms;
        let sample = Sample {
            step_ms: ms(window.last_at.saturating_sub(start.at)) * work_share / engine_steps,
            running: f64::from(start.running + end.running) / 2.0,
            read_tokens: (end.pushed_tokens - start.pushed_tokens) / engine_steps,
        };
        learner.add_sample(now, sample);
    }

    // Returns `None` for endpoints that are unknown or no engines; a gateway that does not follow
    // the list of endpoints knows none.
    fn snapshot(&mut self, now: Duration, endpoint: &str) -> Option<EngineSnapshot> {
        let service = self.index.service_of(endpoint)?;
        let model = self.slowdown_models.entry(service.to_string()).or_default();
        let endpoints = self.services.get_mut(service)?;
        let entry = endpoints
            .get_mut(endpoint)
            .filter(|entry| entry.is_engine)?;
        Some(EngineSnapshot {
            at: now,
            work_ms: entry.work_ms(now, model),
            running: entry.load(now).max(1),
            pushed_tokens: entry.queue.pushed_tokens(),
        })
    }

    // Returns the tokens per event and the learner of the endpoint's service.
    fn learner_of(&mut self, endpoint: &str) -> Option<(f64, &mut Learner)> {
        let service = self.entry_mut(endpoint)?.spec.service.clone();
        let per_event = self.engines.get(&service)?.tokens_per_event.max(1);
        Some((
            f64::from(per_event),
            self.learners.entry(service).or_default(),
        ))
    }
}

// Returns the share of an endpoint's capacity that a limit takes away, in thousandths. The full
// capacity is one request after the other in each slot.
fn limited_milli(limit: SendRate, slots: u32, hold_ms: f64) -> u32 {
    let capacity_per_s = f64::from(slots.max(1)) * 1000.0 / hold_ms.max(1.0);
    let remaining = (limit.per_s() / capacity_per_s).min(1.0);
    ((1.0 - remaining) * 1000.0) as u32
}
