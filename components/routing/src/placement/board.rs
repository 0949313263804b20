//! The board of all endpoints: what is known of them and of the requests there.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use directory::{Configuration, Endpoint, Engine};
use engine::Learner;
use notices::{Notices, Standing};
use topology::Topology;

use crate::placement::departure::Links;
use crate::placement::engines::Span;
use crate::placement::exclusion::standing;
use crate::placement::mix::Mix;
use crate::placement::pace::Pace;
use crate::placement::service::ServiceSlots;
use crate::placement::slot::Slot;
use crate::placement::slowdown::{Memory, Slowdown};
use crate::placement::unknown::Unknown;
use crate::placement::way::Ways;
use crate::placement::{
    beginnings, endpoint_hash, incarnation, PeerDispatch, Verdict, Versions, Work,
};

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Id of the endpoint.
    pub endpoint: String,
    /// The start of it that is meant, as [`incarnation`].
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Tokens it is expected to read.
    pub unread_tokens: u32,
    /// Hash of the prompt's shared beginning, 0 if it has none.
    pub shared_prompt: u64,
    /// Expected time to its first token, in milliseconds.
    pub expected_ms: f64,
    /// Expected time to its end.
    pub hold: Duration,
    /// Endpoints that were weighed.
    pub weighed: usize,
    /// Whether another gateway placed it, and counts it among what it sent.
    pub counted: bool,
    /// Version of the endpoint's software; `None` where another gateway placed the request and did not report it.
    pub version: Option<String>,
    /// Whether the endpoint is slow from its start, so that its answers say nothing of its version.
    pub is_cold: bool,
    /// Its data hall.
    pub hall: String,
    /// Expected time at the best endpoint of the own region, in milliseconds, for a request that leaves it; `None` if
    /// it stays or no endpoint there takes work.
    pub home_ms: Option<f64>,
    /// Bytes on the link between regions that are counted for it, 0 if it stays.
    pub bytes_across: u64,
    /// Whether it stays in its region for want of room on the link.
    pub kept_for_link: bool,
    /// How long work is taken to need there.
    pub slowdown: Slowdown,
}

/// A request under way, as the board counts it.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub(super) endpoint: String,
    incarnation: u64,
    number: Option<u64>,
    sent_at: Duration,
    unread_tokens: u32,
    answer_tokens: u32,
    first_at: Option<Duration>,
    // Nothing was to be read before it when it was sent.
    alone: bool,
    // How long work was taken to need there when it was sent, in parts of the mean.
    slowdown: f64,
    // What its events show of the engine.
    pub(super) span: Span,
}

/// Everything known of the endpoints of all services.
#[derive(Debug)]
pub struct Board {
    pub(super) ways: Ways,
    pub(super) links: Links,
    // Halls of the endpoints; a slot names its hall by its place here.
    pub(super) halls: Vec<String>,
    pub(super) services: BTreeMap<String, ServiceSlots>,
    // Services by id of the endpoint, and ids by hash.
    pub(super) service_of: HashMap<String, String>,
    hashes: HashMap<u64, String>,
    paces: BTreeMap<String, Pace>,
    // What word of how long work takes is worth, by service.
    pub(super) memories: BTreeMap<String, Memory>,
    pub(super) mixes: BTreeMap<String, Mix>,
    // By place of the region and weight of prompt: heavy ones are reported at once.
    pub(super) unknown: BTreeMap<(usize, bool), Unknown>,
    pub(super) engines: BTreeMap<String, Engine>,
    pub(super) learners: BTreeMap<String, Learner>,
    pub(super) notices: Notices,
}

impl Board {
    /// An empty board of a gateway in a data hall, where there is one region.
    pub fn new(hall: &str) -> Self {
        Self::in_topology(Topology::new(hall, "", &BTreeMap::new()))
    }

    /// An empty board of a gateway among data halls.
    pub fn in_topology(topology: Topology) -> Self {
        Board {
            ways: Ways::new(topology),
            links: Links::default(),
            halls: Vec::new(),
            services: BTreeMap::new(),
            service_of: HashMap::new(),
            hashes: HashMap::new(),
            paces: BTreeMap::new(),
            memories: BTreeMap::new(),
            mixes: BTreeMap::new(),
            unknown: BTreeMap::new(),
            engines: BTreeMap::new(),
            learners: BTreeMap::new(),
            notices: Notices::default(),
        }
    }

    /// Takes what a configuration says of engines.
    pub fn configure(&mut self, configuration: &Configuration) {
        let engines = configuration.services.iter();
        self.engines = engines
            .filter_map(|(name, s)| Some((name.clone(), s.engine.clone()?)))
            .collect();
    }

    /// Takes an endpoint's newest record.
    pub fn insert(&mut self, now: Duration, endpoint: Endpoint) {
        let known = self.slot_mut(&endpoint.id);
        let mut speed = None;
        if let Some(slot) = known {
            if slot.spec.is_same_start(&endpoint) {
                slot.spec = endpoint;
                return;
            }
            // What ran there, what it kept and how it answered ended with the process. How fast it reads is its VM's.
            let is_same_vm = slot.spec.address.ip() == endpoint.address.ip();
            speed = is_same_vm.then_some(slot.speed);
            self.remove(&endpoint.id);
        }
        let (id, service) = (endpoint.id.clone(), endpoint.service.clone());
        let engine = self.engines.get(&service);
        let cache_tokens = engine.map_or(u64::MAX, |engine| engine.cache_tokens);
        let mut slot = Slot::new(now, endpoint, cache_tokens);
        slot.speed = speed.unwrap_or_default();
        slot.is_engine = engine.is_some();
        slot.hall = self.place_of_hall(&slot.spec.zone);
        slot.region = self.ways.topology().region_index_of(&slot.spec.zone);
        let hashes = [endpoint_hash(&id), slot.incarnation()];
        self.hashes.extend(hashes.map(|hash| (hash, id.clone())));
        self.services
            .entry(service.clone())
            .or_default()
            .insert(slot);
        self.service_of.insert(id, service);
    }

    /// Drops an endpoint that is gone.
    pub fn remove(&mut self, id: &str) {
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        self.hashes.retain(|_, known| known != id);
        if let Some(slots) = self.services.get_mut(&service) {
            slots.remove(id);
        }
    }

    /// Drops all endpoints; what was learnt of their services stays.
    pub fn remove_all(&mut self) {
        self.services.clear();
        self.service_of.clear();
        self.hashes.clear();
    }

    /// The record of an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        let slots = self.services.get(self.service_of.get(id)?)?;
        slots.get(id).map(|slot| &slot.spec)
    }

    /// How many endpoints it holds.
    pub fn endpoint_count(&self) -> usize {
        self.service_of.len()
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let slots = self.services.values().flat_map(ServiceSlots::iter);
        slots.map(|slot| &slot.spec)
    }

    pub(super) fn slot_mut(&mut self, id: &str) -> Option<&mut Slot> {
        let service = self.service_of.get(id)?;
        self.services.get_mut(service)?.get_mut(id)
    }

    // The slot of the process that a request went to, if that still runs as far as is known.
    fn slot_of(&mut self, ticket: &Ticket) -> Option<&mut Slot> {
        let slot = self.slot_mut(&ticket.endpoint)?;
        (slot.incarnation() == ticket.incarnation).then_some(slot)
    }

    pub(super) fn is_current(&mut self, ticket: &Ticket) -> bool {
        self.slot_of(ticket).is_some()
    }

    /// Whether an endpoint started again since a request was placed there.
    pub fn is_over(&self, placement: &Placement) -> bool {
        let known = self.endpoint(&placement.endpoint);
        known.is_some_and(|known| incarnation(&known.id, known.born_ms) != placement.incarnation)
    }

    /// Tokens that an engine of a service reads in a millisecond, once that is known.
    pub fn known_rate(&self, service: &str) -> Option<f64> {
        self.paces.get(service)?.known_rate()
    }

    pub(super) fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// Notes that a request goes to an endpoint.
    pub fn sent(&mut self, now: Duration, work: &Work, placement: &Placement) -> Ticket {
        let mut ticket = Ticket {
            endpoint: placement.endpoint.clone(),
            incarnation: placement.incarnation,
            number: None,
            sent_at: now,
            unread_tokens: placement.unread_tokens,
            answer_tokens: work.answer_tokens,
            first_at: None,
            alone: false,
            slowdown: self.against_usual(&placement.endpoint, now),
            span: Span::default(),
        };
        let Some(slot) = self.slot_of(&ticket) else {
            return ticket;
        };
        slot.own += 1;
        if work.prompt_tokens > 0 {
            self.note_mix(&work.service, placement.unread_tokens, placement.hold);
        }
        let Some(slot) = self.slot_mut(&placement.endpoint) else {
            return ticket;
        };
        if work.prompt_tokens > 0 {
            ticket.alone = slot.queue.is_empty();
            ticket.number = Some(slot.queue.push(now, placement.unread_tokens, true));
            for (hash, part) in beginnings(&work.parts).into_iter().zip(&work.parts) {
                slot.cache.keep(hash, part.tokens);
            }
        }
        ticket
    }

    /// Notes that a request placed here is sent by another gateway, which reports nothing of its end.
    pub fn sent_for_other(&mut self, now: Duration, work: &Work, placement: &Placement) {
        let Some(slot) = self.slot_mut(&placement.endpoint) else {
            return;
        };
        slot.other_sent(now, placement.hold);
        if work.prompt_tokens == 0 {
            return;
        }
        slot.queue.push(now, placement.unread_tokens, false);
        for (hash, part) in beginnings(&work.parts).into_iter().zip(&work.parts) {
            slot.cache.keep(hash, part.tokens);
        }
        self.note_mix(&work.service, placement.unread_tokens, placement.hold);
    }

    /// Id of the endpoint with this hash, of its id or of its present start.
    pub fn id_of(&self, hash: u64) -> Option<String> {
        self.hashes.get(&hash).cloned()
    }

    /// The first token of a request came.
    pub fn first_token(&mut self, now: Duration, ticket: &mut Ticket) {
        let Some(slot) = self.slot_of(ticket) else {
            return;
        };
        let Some(number) = ticket.number.take() else {
            return;
        };
        ticket.first_at = Some(now);
        slot.queue.read(now, number);
        if !ticket.alone {
            return;
        }
        let (service, hall) = (slot.spec.service.clone(), slot.spec.zone.clone());
        let way = self.ways.beyond_region_ms(&hall);
        let slowdown = self.slowdown_since(now, ticket);
        let took = (ms(now.saturating_sub(ticket.sent_at)) - way) / slowdown;
        let pace = self.paces.entry(service).or_default();
        let sample = pace.first_token(ticket.unread_tokens, took);
        if let (Some(sample), Some(slot)) = (sample, self.slot_mut(&ticket.endpoint)) {
            slot.read_at(sample);
        }
    }

    // How long work took at the endpoint of a request while that ran, in parts of the mean.
    fn slowdown_since(&self, now: Duration, ticket: &Ticket) -> f64 {
        (ticket.slowdown + self.against_usual(&ticket.endpoint, now)) / 2.0
    }

    /// A request ended.
    pub fn ended(&mut self, now: Duration, ticket: &Ticket, verdict: Verdict) {
        let Some(slot) = self.slot_of(ticket) else {
            return;
        };
        slot.own = slot.own.saturating_sub(1);
        if let Some(number) = ticket.number {
            slot.queue.drop_entry(now, number);
        }
        slot.judge(now, verdict);
        let (speed, told) = (slot.speed(), slot.told);
        let (service, hall) = (slot.spec.service.clone(), slot.spec.zone.clone());
        if verdict == Verdict::Sound {
            let way = self.ways.beyond_region_ms(&hall);
            let slowdown = self.slowdown_since(now, ticket);
            let on_the_whole = self.memory(&service).on_the_whole(told);
            let pace = self.paces.entry(service).or_default();
            let slowness = speed.slowness(*pace) * on_the_whole;
            pace.ended((ms(now.saturating_sub(ticket.sent_at)) - way).max(0.0) / slowdown);
            if let Some(first) = ticket.first_at.filter(|_| ticket.answer_tokens > 0) {
                pace.answered(
                    ticket.answer_tokens,
                    ms(now.saturating_sub(first)) / slowness,
                );
            }
        }
    }

    /// Another gateway reported what it sent.
    pub fn peer_sent(&mut self, now: Duration, dispatch: PeerDispatch) {
        let Some(id) = self.id_of(dispatch.endpoint) else {
            return;
        };
        let Some(slot) = self.slot_mut(&id) else {
            return;
        };
        let (is_engine, region) = (slot.is_engine, slot.region);
        let service = slot.spec.service.clone();
        slot.other_sent(dispatch.sent_at, dispatch.hold);
        if dispatch.unread_tokens > 0 {
            slot.queue.push(now, dispatch.unread_tokens, false);
        }
        if dispatch.shared_prompt != 0 {
            slot.cache.keep(dispatch.shared_prompt, 0);
        }
        if is_engine {
            self.note_mix(&service, dispatch.unread_tokens, dispatch.hold);
        }
        let age = now.saturating_sub(dispatch.sent_at);
        let heavy = self.pace(&service).reads_long(dispatch.unread_tokens);
        let unknown = self.unknown.entry((region, heavy)).or_default();
        unknown.note(now, age);
    }

    /// Ready endpoints of a service, none that said it leaves, whose version may run a request.
    pub fn ready_count(&self, now: Duration, service: &str, versions: Versions) -> usize {
        let slots = self
            .services
            .get(service)
            .into_iter()
            .flat_map(ServiceSlots::iter);
        let ready = slots.filter(|slot| takes_work(now, slot, &self.notices));
        ready
            .filter(|slot| versions.allows(&slot.spec.version))
            .count()
    }

    // Own requests and those of others alike, so that all gateways see the same mix.
    fn note_mix(&mut self, service: &str, unread_tokens: u32, hold: Duration) {
        let tokens = f64::from(unread_tokens);
        let heavy = self.pace(service).reads_long(unread_tokens);
        let mix = self.mixes.entry(service.to_string()).or_default();
        mix.note(tokens, ms(hold), heavy);
    }
}

/// Whether an endpoint takes new work of some gateway.
pub(super) fn takes_work(now: Duration, slot: &Slot, notices: &Notices) -> bool {
    slot.spec.is_ready() && standing(now, slot, notices) != Standing::Leaving
}

pub(super) fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
