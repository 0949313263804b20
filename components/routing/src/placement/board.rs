//! The board of all endpoints, and the choice among them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use directory::{Configuration, Endpoint};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::endpoint::Reading;
use crate::placement::mix::Mix;
use crate::placement::pace::{with_rate_sample, Pace};
use crate::placement::slot::Slot;
use crate::placement::unknown::Unknown;
use crate::placement::{beginnings, endpoint_hash, PeerDispatch, Verdict, Work};
use crate::rendezvous::weight;

/// Choices this close are told apart at random, in milliseconds.
const TIE_MS: f64 = 1.0;
/// Cost of leaving the zone: the way there and back, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;
/// Cost of one more request beside the others at an engine, in milliseconds.
const BESIDE_MS: f64 = 0.3;
/// Cost of an endpoint whose every answer is faulty, in milliseconds.
const FAULTY_MS: f64 = 1000.0;
/// Cost of an endpoint that has just started, in milliseconds.
const COLD_MS: f64 = 20.0;
/// Prompts that take longer to read hold up the tokens of everything that runs beside them, in
/// milliseconds.
const HEAVY_MS: f64 = 60.0;
/// Prompts read one after the other for longer than this make a pause that a caller notices, in
/// milliseconds.
const NOTICED_PAUSE_MS: f64 = 350.0;
/// Cost for each request that a noticed pause would hold up, in milliseconds, and the most of it.
const HELD_UP_MS: f64 = 60.0;
const MOST_HELD_UP_MS: f64 = 900.0;
/// Cost of a light prompt among heavy ones, in milliseconds.
const AMONG_HEAVY_MS: f64 = 200.0;
/// Cost of a heavy prompt among light ones, in milliseconds.
const AMONG_LIGHT_MS: f64 = 200.0;
/// Part of its slots that a group of engines may need before it gets more engines.
const GROUP_UTILIZATION: f64 = 0.6;
/// Endpoints weighed for each request of others that is not known yet, in parts of them all.
const SAMPLE_FACTOR: f64 = 6.0;
/// Least endpoints weighed.
const LEAST_SAMPLE: usize = 2;
/// Seed of the order in which engines take light prompts, the same at all gateways.
const GROUP_SEED: u64 = 0x6c69_6768;
/// Part of a shared prompt expected at its home when nobody is known to keep it.
const HOME_SHARE: f64 = 0.5;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Id of the endpoint.
    pub endpoint: String,
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
}

/// A request under way, as the board counts it.
#[derive(Clone, Debug)]
pub struct Ticket {
    endpoint: String,
    number: Option<u64>,
    sent_at: Duration,
    unread_tokens: u32,
    answer_tokens: u32,
    first_at: Option<Duration>,
    // Nothing was to be read before it when it was sent.
    alone: bool,
}

/// Everything known of the endpoints of all services.
#[derive(Debug)]
pub struct Board {
    zone: String,
    slots: HashMap<String, Slot>,
    services: BTreeMap<String, Vec<String>>,
    hashes: HashMap<u64, String>,
    paces: BTreeMap<String, Pace>,
    mixes: BTreeMap<String, Mix>,
    // By weight of prompt: heavy ones are told at once.
    unknown_light: Unknown,
    unknown_heavy: Unknown,
    cache_tokens: BTreeMap<String, u64>,
}

impl Board {
    /// An empty board of a gateway in a zone.
    pub fn new(zone: &str) -> Self {
        Board {
            zone: zone.to_string(),
            slots: HashMap::new(),
            services: BTreeMap::new(),
            hashes: HashMap::new(),
            paces: BTreeMap::new(),
            mixes: BTreeMap::new(),
            unknown_light: Unknown::default(),
            unknown_heavy: Unknown::default(),
            cache_tokens: BTreeMap::new(),
        }
    }

    /// Takes the engines' memory sizes of a configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let engines = configuration.services.iter();
        self.cache_tokens = engines
            .filter_map(|(name, s)| Some((name.clone(), s.engine.as_ref()?.cache_tokens)))
            .collect();
    }

    /// Takes an endpoint's newest record.
    pub fn insert(&mut self, now: Duration, endpoint: Endpoint) {
        if let Some(slot) = self.slots.get_mut(&endpoint.id) {
            slot.spec = endpoint;
            return;
        }
        let id = endpoint.id.clone();
        let cache_tokens = self.cache_tokens.get(&endpoint.service);
        let of_service = self.services.entry(endpoint.service.clone()).or_default();
        of_service.push(id.clone());
        self.hashes.insert(endpoint_hash(&id), id.clone());
        let mut slot = Slot::new(now, endpoint, cache_tokens.copied().unwrap_or(u64::MAX));
        slot.is_engine = cache_tokens.is_some();
        self.slots.insert(id, slot);
    }

    /// Drops an endpoint that is gone.
    pub fn remove(&mut self, id: &str) {
        let Some(slot) = self.slots.remove(id) else {
            return;
        };
        self.hashes.remove(&endpoint_hash(id));
        if let Some(of_service) = self.services.get_mut(&slot.spec.service) {
            of_service.retain(|other| other != id);
        }
    }

    /// The record of an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.slots.get(id).map(|slot| &slot.spec)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.values().map(|slot| &slot.spec)
    }

    /// Tokens that an engine of a service reads in a millisecond, once that is known.
    pub fn known_rate(&self, service: &str) -> Option<f64> {
        self.paces.get(service)?.known_rate()
    }

    fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// The endpoint for a request, or `None` if none takes work. Those in `exclude` are passed
    /// over; those under suspicion are used only if there is no other.
    pub fn choose(
        &mut self,
        now: Duration,
        work: &Work,
        exclude: &[String],
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let ids = self.services.get(&work.service)?;
        let takes_work = |id: &&String| {
            let ready = self.slots.get(*id).is_some_and(|s| s.spec.is_ready());
            ready && !exclude.contains(id)
        };
        let ready: Vec<String> = ids.iter().filter(takes_work).cloned().collect();
        let trusted = |id: &&String| now >= self.slots[*id].suspected_until;
        let mut usable: Vec<String> = ready.iter().filter(trusted).cloned().collect();
        if usable.is_empty() {
            usable = ready;
        }
        let hashes = beginnings(&work.parts);
        let shared_prompt = shared_hash(&hashes);
        let heavy = self.reads_long(&work.service, work.prompt_tokens);
        let group = self.group(now, work, &usable, heavy);
        let home = self.home(shared_prompt, &group);
        let unknown = match heavy {
            true => self.unknown_heavy.count(now),
            false => self.unknown_light.count(now),
        };
        let candidates = candidates(unknown, usable, &group, home.as_ref(), rng);
        let mut weighed = Vec::with_capacity(candidates.len());
        for id in candidates {
            let is_home = home.as_ref() == Some(&id);
            let unread = self.unread(&id, work, &hashes, is_home);
            let mut cost = self.cost_ms(now, &id, work, unread);
            if !group.contains(&id) {
                cost += if heavy {
                    AMONG_LIGHT_MS
                } else {
                    AMONG_HEAVY_MS
                };
            }
            weighed.push((cost, unread, id));
        }
        let least = weighed.iter().map(|w| w.0).fold(f64::MAX, f64::min);
        let near: Vec<_> = weighed.iter().filter(|w| w.0 <= least + TIE_MS).collect();
        let (cost, unread, id) = match near.len() {
            0 => return None,
            count => near[rng.random_range(0..count)],
        };
        Some(Placement {
            endpoint: id.clone(),
            address: self.slots[id].spec.address,
            unread_tokens: *unread,
            shared_prompt,
            expected_ms: *cost,
            hold: self.hold_of(work, *unread),
            weighed: weighed.len(),
            counted: false,
        })
    }

    /// Notes that a request goes to an endpoint.
    pub fn sent(&mut self, now: Duration, work: &Work, placement: &Placement) -> Ticket {
        let mut ticket = Ticket {
            endpoint: placement.endpoint.clone(),
            number: None,
            sent_at: now,
            unread_tokens: placement.unread_tokens,
            answer_tokens: work.answer_tokens,
            first_at: None,
            alone: false,
        };
        let Some(slot) = self.slots.get_mut(&placement.endpoint) else {
            return ticket;
        };
        slot.own += 1;
        if work.prompt_tokens > 0 {
            self.note_mix(&work.service, placement.unread_tokens, placement.hold);
        }
        let Some(slot) = self.slots.get_mut(&placement.endpoint) else {
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

    /// Notes that a request placed here is sent by another gateway, which tells nothing of its end.
    pub fn sent_for_other(&mut self, now: Duration, work: &Work, placement: &Placement) {
        let Some(slot) = self.slots.get_mut(&placement.endpoint) else {
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

    /// Id of the endpoint with this hash.
    pub fn id_of(&self, hash: u64) -> Option<String> {
        self.hashes.get(&hash).cloned()
    }

    /// The first token of a request came.
    pub fn first_token(&mut self, now: Duration, ticket: &mut Ticket) {
        let Some(slot) = self.slots.get_mut(&ticket.endpoint) else {
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
        let took = ms(now.saturating_sub(ticket.sent_at));
        let pace = self.paces.entry(slot.spec.service.clone()).or_default();
        if let Some(sample) = pace.first_token(ticket.unread_tokens, took) {
            slot.rate = with_rate_sample(rate_of(slot, *pace), sample);
        }
    }

    /// A request ended.
    pub fn ended(&mut self, now: Duration, ticket: &Ticket, verdict: Verdict) {
        let Some(slot) = self.slots.get_mut(&ticket.endpoint) else {
            return;
        };
        slot.own = slot.own.saturating_sub(1);
        if let Some(number) = ticket.number {
            slot.queue.drop_entry(now, number);
        }
        slot.judge(now, verdict);
        if verdict == Verdict::Sound {
            let pace = self.paces.entry(slot.spec.service.clone()).or_default();
            pace.ended(ms(now.saturating_sub(ticket.sent_at)));
            if let Some(first) = ticket.first_at.filter(|_| ticket.answer_tokens > 0) {
                pace.answered(ticket.answer_tokens, ms(now.saturating_sub(first)));
            }
        }
    }

    /// An answer told its endpoint's load.
    pub fn read_load(&mut self, id: &str, reading: Reading) {
        if let Some(slot) = self.slots.get_mut(id) {
            slot.take_reading(reading);
        }
    }

    /// Another gateway told what it sent.
    pub fn peer_sent(&mut self, now: Duration, dispatch: PeerDispatch) {
        let Some(id) = self.hashes.get(&dispatch.endpoint) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        let is_engine = slot.is_engine;
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
        match self.reads_long(&service, dispatch.unread_tokens) {
            true => self.unknown_heavy.note(now, age),
            false => self.unknown_light.note(now, age),
        }
    }

    /// Requests expected at the ready endpoints of a service, and the slots of these.
    pub fn occupancy(&mut self, now: Duration, service: &str) -> (u32, u32) {
        let mut sum = (0, 0);
        for id in self.services.get(service).into_iter().flatten() {
            let slot = self.slots.get_mut(id);
            if let Some(slot) = slot.filter(|s| s.spec.is_ready()) {
                sum.0 += slot.load(now);
                sum.1 += slot.spec.slots;
            }
        }
        sum
    }

    fn hold_of(&self, work: &Work, unread: u32) -> Duration {
        let pace = self.pace(&work.service);
        let hold_ms = match work.answer_tokens {
            0 => pace.hold_ms,
            tokens => f64::from(unread) / pace.rate + f64::from(tokens) * pace.token_ms,
        };
        Duration::from_secs_f64(hold_ms / 1000.0)
    }

    fn reads_long(&self, service: &str, tokens: u32) -> bool {
        f64::from(tokens) / self.pace(service).rate > HEAVY_MS
    }

    // The engines meant for prompts of this weight, in an order that all gateways agree on.
    fn group(&mut self, now: Duration, work: &Work, usable: &[String], heavy: bool) -> Vec<String> {
        let mix = self.mixes.get(&work.service).copied().unwrap_or_default();
        if work.prompt_tokens == 0 || usable.len() < 2 || mix.tokens <= 0.0 {
            return usable.to_vec();
        }
        let mut running = 0.0;
        let mut slots = 0.0;
        for id in usable {
            if let Some(slot) = self.slots.get_mut(id) {
                running += f64::from(slot.load(now));
                slots += f64::from(slot.spec.slots);
            }
        }
        let needed = running / (slots / usable.len() as f64 * GROUP_UTILIZATION);
        let count = mix.light_engines(usable.len(), needed);
        let mut ordered = usable.to_vec();
        ordered.sort_by_key(|id| weight(GROUP_SEED, id));
        let heavies = ordered.split_off(count);
        if heavy {
            heavies
        } else {
            ordered
        }
    }

    // Own requests and those of others alike, so that all gateways see the same mix.
    fn note_mix(&mut self, service: &str, unread_tokens: u32, hold: Duration) {
        let tokens = f64::from(unread_tokens);
        let heavy = self.reads_long(service, unread_tokens);
        let mix = self.mixes.entry(service.to_string()).or_default();
        mix.note(tokens, ms(hold), heavy);
    }

    // Where all gateways expect a shared prompt that nobody is known to keep.
    fn home(&self, shared_prompt: u64, usable: &[String]) -> Option<String> {
        if shared_prompt == 0 {
            return None;
        }
        let best = usable.iter().max_by_key(|id| weight(shared_prompt, id));
        best.cloned()
    }

    fn unread(&self, id: &str, work: &Work, hashes: &[u64], is_home: bool) -> u32 {
        if work.prompt_tokens == 0 {
            return 0;
        }
        let cache = &self.slots[id].cache;
        let kept = hashes.iter().rposition(|hash| cache.keeps(*hash));
        let count = kept.map_or(0, |last| last + 1);
        let tokens = |count: usize| work.parts[..count].iter().map(|p| p.tokens).sum::<u32>();
        let mut known = tokens(count);
        if is_home && count + 1 < work.parts.len() {
            let shared = f64::from(tokens(work.parts.len() - 1));
            known = known.max((shared * HOME_SHARE) as u32);
        }
        work.prompt_tokens.saturating_sub(known)
    }

    fn cost_ms(&mut self, now: Duration, id: &str, work: &Work, unread: u32) -> f64 {
        let pace = self.pace(&work.service);
        let in_zone = self.zone == self.slots[id].spec.zone;
        let Some(slot) = self.slots.get_mut(id) else {
            return f64::MAX;
        };
        let rate = rate_of(slot, pace);
        let load = f64::from(slot.load(now));
        let slots = f64::from(slot.spec.slots.max(1));
        let excess = (load + 1.0 - slots).max(0.0);
        let mut cost = excess * pace.hold_ms / slots;
        if work.prompt_tokens > 0 {
            let ahead = ms(slot.queue.wait(now, rate));
            let reading = f64::from(unread) / rate;
            cost += ahead + reading + ms(slot.queue.overdue(now, rate)) + load * BESIDE_MS;
            if ahead < NOTICED_PAUSE_MS && ahead + reading > NOTICED_PAUSE_MS {
                cost += (load * HELD_UP_MS).min(MOST_HELD_UP_MS);
            }
        } else {
            cost += load / slots * pace.hold_ms;
        }
        cost += slot.fault_share * FAULTY_MS;
        cost += if in_zone { 0.0 } else { OTHER_ZONE_MS };
        cost += if now < slot.cold_until { COLD_MS } else { 0.0 };
        cost
    }
}

// All endpoints, or some of them at random where many requests of others are not known yet: if all
// gateways took the best one they know of, they would all take the same.
fn candidates(
    unknown: f64,
    usable: Vec<String>,
    group: &[String],
    home: Option<&String>,
    rng: &mut impl Rng,
) -> Vec<String> {
    let wanted = SAMPLE_FACTOR * group.len() as f64 / unknown.max(1.0);
    let wanted = (wanted.ceil() as usize).max(LEAST_SAMPLE);
    if wanted >= group.len() {
        return usable;
    }
    let mut candidates: Vec<String> = group.sample(rng, wanted).cloned().collect();
    let outside: Vec<&String> = usable.iter().filter(|id| !group.contains(id)).collect();
    candidates.extend(outside.choose(rng).map(|id| (*id).clone()));
    candidates.extend(home.filter(|id| !candidates.contains(id)).cloned());
    candidates
}

// An endpoint's own rate once it was measured, else that of its service.
fn rate_of(slot: &Slot, pace: Pace) -> f64 {
    match slot.rate > 0.0 {
        true => slot.rate,
        false => pace.rate,
    }
}

// The last part belongs to the request itself.
fn shared_hash(hashes: &[u64]) -> u64 {
    match hashes.len() {
        0 | 1 => 0,
        count => hashes[count - 2],
    }
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
