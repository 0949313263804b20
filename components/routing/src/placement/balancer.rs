//! State of all endpoints and of the requests in flight there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use directory::{Configuration, Endpoint, Engine};
use engine::Learner;
use notices::{Availability, Notices};
use topology::Topology;

use crate::placement::engines::EventWindow;
use crate::placement::entry::EndpointEntry;
use crate::placement::exclusion::standing;
use crate::placement::index::EndpointIndex;
use crate::placement::mix::PromptMix;
use crate::placement::network_cost::NetworkCosts;
use crate::placement::region_link::RegionLinks;
use crate::placement::service::ServiceEndpoints;
use crate::placement::slowdown::{Slowdown, SlowdownModel};
use crate::placement::timings::ServiceTimings;
use crate::placement::unreported::UnreportedRequests;
use crate::placement::{incarnation, prefix_hashes, HealthSignal, PeerDispatch, Versions, Work};

/// Endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Run of the endpoint's process, as [`incarnation`].
    pub incarnation: u64,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Prompt tokens that the endpoint is expected to read.
    pub unread_tokens: u32,
    /// Hash of the prompt's shared prefix, 0 if it has none.
    pub shared_prompt: u64,
    /// Cost of the endpoint in milliseconds: the expected time to the first token plus costs for
    /// faults, limits and effects on other requests.
    pub expected_ms: f64,
    /// Expected time from sending the request to its end.
    pub hold: Duration,
    /// Number of endpoints that were compared.
    pub weighed: usize,
    /// Whether another gateway placed the request and already counts it as sent.
    pub is_placed_by_peer: bool,
    /// Version of the endpoint's software; `None` if another gateway placed the request and did not
    /// report it.
    pub version: Option<String>,
    /// Whether the endpoint is still slow after its start, so that its answers must not be used to
    /// judge its version.
    pub is_cold: bool,
    /// Data hall of the endpoint.
    pub hall: String,
    /// Until when the records it was chosen from are recent enough to send the request; `None` if
    /// their age is not known, or if no gateway that was asked has newer ones.
    pub usable_until: Option<Duration>,
    /// Cost of the best endpoint of the own region in milliseconds, for a request that leaves it;
    /// `None` if the request stays or no endpoint there takes work.
    pub home_ms: Option<f64>,
    /// Bytes counted on the link between regions, 0 if the request stays in its region.
    pub link_bytes: u64,
    /// Whether the request stays in its region because the link has no room.
    pub is_link_limited: bool,
    /// Expected slowdown of the endpoint.
    pub slowdown: Slowdown,
}

/// A request in flight, as the balancer counts it.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub(super) endpoint: String,
    incarnation: u64,
    queue_number: Option<u64>,
    sent_at: Duration,
    unread_tokens: u32,
    answer_tokens: u32,
    first_token_at: Option<Duration>,
    // Whether no prompt was queued before it when it was sent.
    is_alone: bool,
    // Expected slowdown when it was sent, relative to the service's mean.
    slowdown: f64,
    // Events of its stream since the last engine sample.
    pub(super) window: EventWindow,
}

/// Keeps the state of the endpoints of all services and chooses among them.
#[derive(Debug)]
pub struct Balancer {
    pub(super) network_costs: NetworkCosts,
    pub(super) region_links: RegionLinks,
    // Halls of the endpoints. An entry refers to its hall by the index here.
    pub(super) halls: Vec<String>,
    pub(super) services: BTreeMap<String, ServiceEndpoints>,
    pub(super) index: EndpointIndex,
    timings: BTreeMap<String, ServiceTimings>,
    // Slowdown statistics by service.
    pub(super) slowdown_models: BTreeMap<String, SlowdownModel>,
    pub(super) mixes: BTreeMap<String, PromptMix>,
    // By region index and whether the prompt is heavy. They differ because heavy prompts are
    // reported at once.
    pub(super) unreported: BTreeMap<(usize, bool), UnreportedRequests>,
    pub(super) engines: BTreeMap<String, Engine>,
    pub(super) learners: BTreeMap<String, Learner>,
    pub(super) notices: Notices,
    // Number of gateways that place requests, this one included.
    pub(super) deciders: usize,
}

impl Balancer {
    /// Creates an empty balancer for a gateway in a data hall, with a single region.
    pub fn new(hall: &str) -> Self {
        Self::with_topology(Topology::new(hall, "", &BTreeMap::new()))
    }

    /// Creates an empty balancer for a gateway in a topology of halls and regions.
    pub fn with_topology(topology: Topology) -> Self {
        Balancer {
            network_costs: NetworkCosts::new(topology),
            region_links: RegionLinks::default(),
            halls: Vec::new(),
            services: BTreeMap::new(),
            index: EndpointIndex::default(),
            timings: BTreeMap::new(),
            slowdown_models: BTreeMap::new(),
            mixes: BTreeMap::new(),
            unreported: BTreeMap::new(),
            engines: BTreeMap::new(),
            learners: BTreeMap::new(),
            notices: Notices::default(),
            deciders: 1,
        }
    }

    /// Applies the engine settings of a configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let engines = configuration.services.iter();
        self.engines = engines
            .filter_map(|(name, s)| Some((name.clone(), s.engine.clone()?)))
            .collect();
    }

    /// Sets the number of gateways that place requests, this one included.
    pub fn set_deciders(&mut self, deciders: usize) {
        self.deciders = deciders.max(1);
    }

    /// Adds an endpoint or updates its record.
    pub fn insert(&mut self, now: Duration, endpoint: Endpoint) {
        let known = self.entry_mut(&endpoint.id);
        let mut speed = None;
        if let Some(entry) = known {
            if entry.spec.is_same_start(&endpoint) {
                let (address, id) = (endpoint.address, endpoint.id.clone());
                let before = std::mem::replace(&mut entry.spec, endpoint).address;
                self.index.readdress(&id, before, address);
                return;
            }
            // Requests, cache and health belong to the old process and are dropped. The reading
            // speed belongs to the VM and is kept if the VM is the same.
            let is_same_vm = entry.spec.address.ip() == endpoint.address.ip();
            speed = is_same_vm.then_some(entry.speed);
            self.remove(&endpoint.id);
        }
        let service = endpoint.service.clone();
        let engine = self.engines.get(&service);
        let cache_tokens = engine.map_or(u64::MAX, |engine| engine.cache_tokens);
        let mut entry = EndpointEntry::new(now, endpoint, cache_tokens);
        entry.speed = speed.unwrap_or_default();
        entry.is_engine = engine.is_some();
        entry.hall_index = self.hall_index(&entry.spec.zone);
        entry.region_index = self
            .network_costs
            .topology()
            .region_index_of(&entry.spec.zone);
        self.index.insert(&entry);
        self.services.entry(service).or_default().insert(entry);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        let service = self.index.service_of(id);
        let endpoints = service.and_then(|service| self.services.get_mut(service));
        if let Some(entry) = endpoints.and_then(|endpoints| endpoints.remove(id)) {
            self.index.remove(&entry);
        }
    }

    /// Removes all endpoints but keeps the statistics of their services.
    pub fn remove_all(&mut self) {
        self.services.clear();
        self.index = EndpointIndex::default();
    }

    /// Returns the record of an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        let endpoints = self.services.get(self.index.service_of(id)?)?;
        endpoints.get(id).map(|entry| &entry.spec)
    }

    /// Returns the record of an endpoint at an address.
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<&Endpoint> {
        self.endpoint(self.index.id_at(address)?)
    }

    /// Returns the number of endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.index.len()
    }

    /// Iterates over the records of all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.services.values().flat_map(ServiceEndpoints::iter);
        endpoints.map(|entry| &entry.spec)
    }

    pub(super) fn entry_mut(&mut self, id: &str) -> Option<&mut EndpointEntry> {
        let service = self.index.service_of(id)?;
        self.services.get_mut(service)?.get_mut(id)
    }

    // Returns the entry of the endpoint a request went to, if the same process still runs there.
    fn entry_of(&mut self, ticket: &Ticket) -> Option<&mut EndpointEntry> {
        let entry = self.entry_mut(&ticket.endpoint)?;
        (entry.incarnation() == ticket.incarnation).then_some(entry)
    }

    pub(super) fn is_current(&mut self, ticket: &Ticket) -> bool {
        self.entry_of(ticket).is_some()
    }

    /// Whether the endpoint's process was restarted since a request was placed there.
    pub fn has_restarted_since(&self, placement: &Placement) -> bool {
        let known = self.endpoint(&placement.endpoint);
        known.is_some_and(|known| incarnation(&known.id, known.born_ms) != placement.incarnation)
    }

    /// Returns the prompt tokens per millisecond that an engine of the service reads, once enough
    /// samples were seen.
    pub fn known_rate(&self, service: &str) -> Option<f64> {
        self.timings.get(service)?.known_rate()
    }

    pub(super) fn timings_of(&self, service: &str) -> ServiceTimings {
        self.timings.get(service).copied().unwrap_or_default()
    }

    /// Records that this gateway sends a request to an endpoint.
    pub fn sent(&mut self, now: Duration, work: &Work, placement: &Placement) -> Ticket {
        let mut ticket = Ticket {
            endpoint: placement.endpoint.clone(),
            incarnation: placement.incarnation,
            queue_number: None,
            sent_at: now,
            unread_tokens: placement.unread_tokens,
            answer_tokens: work.answer_tokens,
            first_token_at: None,
            is_alone: false,
            slowdown: self.relative_slowdown(&placement.endpoint, now),
            window: EventWindow::default(),
        };
        let Some(entry) = self.entry_of(&ticket) else {
            return ticket;
        };
        entry.own_requests += 1;
        if work.prompt_tokens > 0 {
            self.record_in_mix(&work.service, placement.unread_tokens, placement.hold);
        }
        let Some(entry) = self.entry_mut(&placement.endpoint) else {
            return ticket;
        };
        if work.prompt_tokens > 0 {
            ticket.is_alone = entry.queue.is_empty();
            ticket.queue_number = Some(entry.queue.push(now, placement.unread_tokens, true));
            for (hash, part) in prefix_hashes(&work.parts).into_iter().zip(&work.parts) {
                entry.cache.insert(hash, part.tokens);
            }
        }
        ticket
    }

    /// Records a request that was placed here and is sent by another gateway, which does not report
    /// its end.
    pub fn placed_for_peer(&mut self, now: Duration, work: &Work, placement: &Placement) {
        let Some(entry) = self.entry_mut(&placement.endpoint) else {
            return;
        };
        entry.record_placed_for_peer(now, placement.hold);
        if work.prompt_tokens == 0 {
            return;
        }
        entry.queue.push(now, placement.unread_tokens, false);
        for (hash, part) in prefix_hashes(&work.parts).into_iter().zip(&work.parts) {
            entry.cache.insert(hash, part.tokens);
        }
        self.record_in_mix(&work.service, placement.unread_tokens, placement.hold);
    }

    /// Returns the id of the endpoint with this hash, either of its id or of its current
    /// incarnation.
    pub fn id_of(&self, hash: u64) -> Option<String> {
        self.index.id_of(hash).map(str::to_string)
    }

    /// Records that the first token of a request arrived.
    pub fn first_token(&mut self, now: Duration, ticket: &mut Ticket) {
        let Some(entry) = self.entry_of(ticket) else {
            return;
        };
        let Some(number) = ticket.queue_number.take() else {
            return;
        };
        ticket.first_token_at = Some(now);
        entry.queue.mark_read(now, number);
        if !ticket.is_alone {
            return;
        }
        let (service, hall) = (entry.spec.service.clone(), entry.spec.zone.clone());
        let round_trip_ms = self.network_costs.region_round_trip_ms(&hall);
        let slowdown = self.slowdown_since(now, ticket);
        let took = (ms(now.saturating_sub(ticket.sent_at)) - round_trip_ms) / slowdown;
        let timings = self.timings.entry(service).or_default();
        let sample = timings.first_token(ticket.unread_tokens, took);
        if let (Some(sample), Some(entry)) = (sample, self.entry_mut(&ticket.endpoint)) {
            entry.record_rate(sample);
        }
    }

    // Returns the mean slowdown over a request, relative to the service's mean, from its values
    // when the request was sent and now.
    fn slowdown_since(&self, now: Duration, ticket: &Ticket) -> f64 {
        (ticket.slowdown + self.relative_slowdown(&ticket.endpoint, now)) / 2.0
    }

    /// Records that a request ended.
    pub fn ended(&mut self, now: Duration, ticket: &Ticket, signal: HealthSignal) {
        let Some(entry) = self.entry_of(ticket) else {
            return;
        };
        entry.own_requests = entry.own_requests.saturating_sub(1);
        if let Some(number) = ticket.queue_number {
            entry.queue.remove(now, number);
        }
        entry.record_end(now, signal);
        let (speed, history) = (entry.speed(), entry.slowdown_history);
        let (service, hall) = (entry.spec.service.clone(), entry.spec.zone.clone());
        if signal == HealthSignal::Healthy {
            let round_trip_ms = self.network_costs.region_round_trip_ms(&hall);
            let slowdown = self.slowdown_since(now, ticket);
            let long_term_slowdown = self.slowdown_model(&service).long_term_slowdown(history);
            let timings = self.timings.entry(service).or_default();
            let relative_duration = speed.relative_duration(*timings) * long_term_slowdown;
            timings.ended(
                (ms(now.saturating_sub(ticket.sent_at)) - round_trip_ms).max(0.0) / slowdown,
            );
            if let Some(first) = ticket.first_token_at.filter(|_| ticket.answer_tokens > 0) {
                timings.answered(
                    ticket.answer_tokens,
                    ms(now.saturating_sub(first)) / relative_duration,
                );
            }
        }
    }

    /// Records a request that another gateway reported as sent.
    pub fn peer_sent(&mut self, now: Duration, dispatch: PeerDispatch) {
        let Some(id) = self.id_of(dispatch.endpoint) else {
            return;
        };
        let Some(entry) = self.entry_mut(&id) else {
            return;
        };
        let (is_engine, region) = (entry.is_engine, entry.region_index);
        let service = entry.spec.service.clone();
        entry.record_peer_request(dispatch.sent_at, dispatch.hold);
        if dispatch.unread_tokens > 0 {
            entry.queue.push(now, dispatch.unread_tokens, false);
        }
        if dispatch.shared_prompt != 0 {
            entry.cache.insert(dispatch.shared_prompt, 0);
        }
        if is_engine {
            self.record_in_mix(&service, dispatch.unread_tokens, dispatch.hold);
        }
        let age = now.saturating_sub(dispatch.sent_at);
        let is_heavy = self.timings_of(&service).is_heavy(dispatch.unread_tokens);
        let unreported = self.unreported.entry((region, is_heavy)).or_default();
        unreported.record(now, age);
    }

    /// Returns the number of ready endpoints of a service that are not leaving and whose version
    /// may run a request.
    pub fn ready_count(&self, now: Duration, service: &str, versions: Versions) -> usize {
        let endpoints = self
            .services
            .get(service)
            .into_iter()
            .flat_map(ServiceEndpoints::iter);
        let ready = endpoints.filter(|entry| takes_work(now, entry, &self.notices));
        ready
            .filter(|entry| versions.allows(&entry.spec.version))
            .count()
    }

    // Counts requests of this gateway and of others alike, so that all gateways see the same mix.
    fn record_in_mix(&mut self, service: &str, unread_tokens: u32, hold: Duration) {
        let tokens = f64::from(unread_tokens);
        let is_heavy = self.timings_of(service).is_heavy(unread_tokens);
        let mix = self.mixes.entry(service.to_string()).or_default();
        mix.record(tokens, ms(hold), is_heavy);
    }
}

/// Whether an endpoint takes new requests of at least some gateways: it is ready and not leaving.
pub(super) fn takes_work(now: Duration, entry: &EndpointEntry, notices: &Notices) -> bool {
    entry.spec.is_ready() && standing(now, entry, notices) != Availability::Leaving
}

pub(super) fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
