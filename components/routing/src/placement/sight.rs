//! What answers show of the endpoints that made them, told by whoever saw it to whoever places requests.

use std::time::Duration;

use crate::placement::balancer::Balancer;
use crate::placement::slowdown::{Memory, Slowdown, Told};

/// Requests by which an endpoint's own count has to differ from what was expected there, to be told to others.
const NOTABLE_REQUESTS: u32 = 2;

/// What one answer showed of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sight {
    /// [`incarnation`](crate::placement::incarnation) of the endpoint.
    pub endpoint: u64,
    /// When, on this gateway's clock.
    pub at: Duration,
    /// Requests that ran or waited there, if it said so.
    pub requests: Option<u32>,
    /// How long work took there, if it said so.
    pub slowdown: Option<Slowdown>,
}

impl Balancer {
    /// Takes what an answer showed. Says whether another gateway that places requests would choose otherwise by it.
    pub fn observe(&mut self, sight: Sight) -> bool {
        let Some(id) = self.id_of(sight.endpoint) else {
            return false;
        };
        let slot = self.slot_mut(&id);
        if slot.is_none_or(|slot| slot.incarnation() != sight.endpoint) {
            return false;
        }
        let slowdown = sight.slowdown;
        let is_slower =
            slowdown.is_some_and(|slowdown| self.hear_slowdown(&id, sight.at, slowdown));
        let requests = sight.requests;
        let is_busier = requests.is_some_and(|count| self.hear_requests(&id, sight.at, count));
        is_slower || is_busier
    }

    // Whether an endpoint has notably more or fewer requests than were expected there.
    fn hear_requests(&mut self, id: &str, at: Duration, requests: u32) -> bool {
        let Some(service) = self.service_of.get(id) else {
            return false;
        };
        let hold = Duration::from_secs_f64(self.pace(service).hold_ms / 1000.0);
        let Some(slot) = self.slot_mut(id) else {
            return false;
        };
        slot.hear_requests(at, requests, hold) >= NOTABLE_REQUESTS
    }

    /// How long work is taken to need at an endpoint, in parts of the mean of its service.
    pub(super) fn against_usual(&self, id: &str, now: Duration) -> f64 {
        let (memory, told) = self.told_by(id);
        memory.against_usual(now, told)
    }

    /// What an endpoint told, and what that is worth.
    pub(super) fn told_by(&self, id: &str) -> (Memory, Option<Told>) {
        let Some(service) = self.service_of.get(id) else {
            return (Memory::default(), None);
        };
        let slot = self.services.get(service).and_then(|slots| slots.get(id));
        (self.memory(service), slot.and_then(|slot| slot.told))
    }

    // Whether that differs notably from what was expected. Later word of an endpoint is not undone by earlier one.
    fn hear_slowdown(&mut self, id: &str, at: Duration, slowdown: Slowdown) -> bool {
        let Some(service) = self.service_of.get(id) else {
            return false;
        };
        let slots = self.services.get_mut(service);
        let slot = slots.and_then(|slots| slots.get_mut(id));
        let Some(slot) = slot.filter(|slot| slot.told.is_none_or(|told| told.at() < at)) else {
            return false;
        };
        let memory = self.memories.entry(service.clone()).or_default();
        let expected = memory.expected(at, slot.told);
        slot.hear_slowdown(at, slowdown, memory);
        slowdown.differs_from(expected)
    }

    /// What word of a service's endpoints is worth.
    pub(super) fn memory(&self, service: &str) -> Memory {
        self.memories.get(service).cloned().unwrap_or_default()
    }
}
