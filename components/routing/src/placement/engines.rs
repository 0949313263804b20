//! What the streams of this gateway show of the engines that make them.

use std::collections::BTreeMap;
use std::time::Duration;

use engine::{EngineStats, Learner, Sample};
use limits::SendRate;

use crate::placement::board::{ms, takes_work, Board, Ticket};

/// Events of one sample. Prompts are noted when they are sent, not when they are read, which is off by one at each
/// end: over so many events, some twenty prompts beside at a busy engine, that is a tenth.
const SAMPLE_EVENTS: u32 = 32;
/// Least events of the last sample of a stream.
const LEAST_EVENTS: u32 = 12;

/// The events of a stream since the last sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Span {
    // At the event from which it is counted.
    start: Option<Look>,
    last_at: Duration,
    // Events after that one.
    events: u32,
    /// Events of the whole stream.
    total: u32,
}

// An engine at one moment.
#[derive(Clone, Copy, Debug)]
struct Look {
    at: Duration,
    // The engine's own time, which is the clock's unless work takes longer than usual.
    work_ms: f64,
    running: u32,
    pushed_tokens: f64,
}

/// What runs in one data hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallLoad {
    /// Requests expected at the ready endpoints.
    pub requests: u32,
    /// Ready endpoints.
    pub endpoints: u32,
    /// Slots of these.
    pub slots: u32,
    /// What the limits that they name take away of them, in thousandths of an endpoint.
    pub limited_milli: u32,
}

impl Board {
    /// An event of a stream came from its engine.
    pub fn event(&mut self, now: Duration, ticket: &mut Ticket) {
        if !self.is_current(ticket) {
            return;
        }
        let span = &mut ticket.span;
        span.total += 1;
        if span.start.is_some() {
            span.events += 1;
            span.last_at = now;
            if span.events < SAMPLE_EVENTS {
                return;
            }
            self.take_sample(now, ticket);
        }
        ticket.span.start = self.look(now, &ticket.endpoint);
        ticket.span.events = 0;
    }

    /// A stream ended: its last events are a sample if there are enough of them, and it says how long a token may
    /// take that is to be within its bounds. `gap` is the longest pause of its events, `whole` the time for all.
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
        if ticket.span.events >= LEAST_EVENTS {
            self.take_sample(now, ticket);
        }
        let Some((per_event, learner)) = self.learner_of(&ticket.endpoint) else {
            return;
        };
        if ticket.span.total == 0 {
            return;
        }
        let by_whole = ms(whole) / (per_event * f64::from(ticket.span.total));
        let by_gap = gap.map_or(f64::MAX, |gap| ms(gap) / per_event);
        learner.add_allowed_pace(now, by_whole.min(by_gap));
    }

    /// What was seen of the engines of a service.
    pub fn learnt(&self, service: &str) -> EngineStats {
        let learner = self.learners.get(service);
        learner.map(|learner| *learner.stats()).unwrap_or_default()
    }

    /// Whether the endpoints of a service are engines.
    pub fn has_engines(&self, service: &str) -> bool {
        self.engines.contains_key(service)
    }

    /// What runs at the ready endpoints of a service, by data hall.
    pub fn occupancy(&mut self, now: Duration, service: &str) -> BTreeMap<String, HallLoad> {
        let mut halls: BTreeMap<String, HallLoad> = BTreeMap::new();
        let hold_ms = self.pace(service).hold_ms;
        let Some(slots) = self.services.get_mut(service) else {
            return halls;
        };
        let notices = &self.notices;
        let taking = slots.iter_mut();
        for slot in taking.filter(|slot| takes_work(now, slot, notices)) {
            if !halls.contains_key(&slot.spec.zone) {
                halls.insert(slot.spec.zone.clone(), HallLoad::default());
            }
            let requests = slot.load(now);
            if let Some(hall) = halls.get_mut(&slot.spec.zone) {
                hall.requests += requests;
                hall.endpoints += 1;
                hall.slots += slot.spec.slots;
                let limit = notices.limit(slot.incarnation());
                let taken = limit.map(|rate| taken_milli(rate, slot.spec.slots, hold_ms));
                hall.limited_milli += taken.unwrap_or_default();
            }
        }
        halls
    }

    fn take_sample(&mut self, now: Duration, ticket: &Ticket) {
        let span = ticket.span;
        let (Some(start), Some(end)) = (span.start, self.look(now, &ticket.endpoint)) else {
            return;
        };
        // An endpoint that was dropped and listed anew meanwhile counts from the beginning.
        if end.pushed_tokens < start.pushed_tokens {
            return;
        }
        let Some((per_event, learner)) = self.learner_of(&ticket.endpoint) else {
            return;
        };
        let steps = f64::from(span.events) * per_event;
        let passed_ms = ms(now.saturating_sub(start.at)).max(f64::MIN_POSITIVE);
        let work_part = (end.work_ms - start.work_ms) / passed_ms;
        let sample = Sample {
            step_ms: ms(span.last_at.saturating_sub(start.at)) * work_part / steps,
            running: f64::from(start.running + end.running) / 2.0,
            read_tokens: (end.pushed_tokens - start.pushed_tokens) / steps,
        };
        learner.add_sample(now, sample);
    }

    // Only engines that prompts were sent to from here are looked at; a gateway that follows no endpoints sees none.
    fn look(&mut self, now: Duration, endpoint: &str) -> Option<Look> {
        let service = self.service_of.get(endpoint)?;
        let memory = self.memories.entry(service.clone()).or_default();
        let slots = self.services.get_mut(service)?;
        let slot = slots.get_mut(endpoint).filter(|slot| slot.is_engine)?;
        Some(Look {
            at: now,
            work_ms: slot.work_ms(now, memory),
            running: slot.load(now).max(1),
            pushed_tokens: slot.queue.pushed_tokens(),
        })
    }

    // Tokens of an event, and who learns of the engines of this endpoint's service.
    fn learner_of(&mut self, endpoint: &str) -> Option<(f64, &mut Learner)> {
        let service = self.slot_mut(endpoint)?.spec.service.clone();
        let per_event = self.engines.get(&service)?.tokens_per_event.max(1);
        Some((
            f64::from(per_event),
            self.learners.entry(service).or_default(),
        ))
    }
}

// What a limit takes away of an endpoint that would otherwise run one request after the other in each of its slots.
fn taken_milli(limit: SendRate, slots: u32, hold_ms: f64) -> u32 {
    let bears_per_s = f64::from(slots.max(1)) * 1000.0 / hold_ms.max(1.0);
    let left = (limit.per_s() / bears_per_s).min(1.0);
    ((1.0 - left) * 1000.0) as u32
}
