//! The choice of an endpoint for a request.

use std::time::Duration;

use notices::Notices;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::placement::board::{ms, Board, Placement};
use crate::placement::departure::{bytes_across, Departure, Places};
use crate::placement::exclusion::Exclusion;
use crate::placement::mix::Mix;
use crate::placement::pace::Pace;
use crate::placement::service::{ServiceSlots, Usable};
use crate::placement::slot::Slot;
use crate::placement::slowdown::Memory;
use crate::placement::unknown::Unknown;
use crate::placement::way::OWN_REGION;
use crate::placement::{beginnings, Versions, Work};

/// Choices this close are distinguished at random, in milliseconds.
const TIE_MS: f64 = 1.0;
/// Cost of one more request beside the others at an engine, in milliseconds.
const BESIDE_MS: f64 = 0.3;
/// With this power of the taken part of an engine's slots a request costs the next ones: nearly nothing at a half, and the
/// whole time until a slot is free where it takes the last one.
const TAKEN_SLOTS_POWER: i32 = 4;
/// Cost of an endpoint whose every answer is faulty, in milliseconds.
const FAULTY_MS: f64 = 1000.0;
/// Cost of an endpoint that was silent, while another region has endpoints too, in milliseconds: as much as one whose
/// every answer is faulty.
const SUSPECTED_MS: f64 = FAULTY_MS;
/// Cost of an endpoint that has just started, in milliseconds.
const COLD_MS: f64 = 20.0;
/// A send to an endpoint that names a limit costs this part of the time between two of them, and at most so much, in
/// milliseconds.
const SCARCE_PART: f64 = 0.25;
const MOST_SCARCE_MS: f64 = 500.0;
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
/// Endpoints weighed for each request of others that is not known yet, in parts of them all.
const SAMPLE_FACTOR: f64 = 6.0;
/// Least endpoints weighed.
const LEAST_SAMPLE: usize = 2;
/// Part of a shared prompt expected at its home when nobody is known to keep it.
const HOME_SHARE: f64 = 0.5;

// An endpoint that was weighed.
#[derive(Clone, Copy)]
struct Weighed {
    cost_ms: f64,
    unread: u32,
    position: usize,
}

impl Board {
    /// The endpoint for a request, or `None` if none takes work. Those in `exclude` and of other `versions` are
    /// passed over; those under suspicion are used only if there is no other. Each region's endpoints are weighed by
    /// themselves, as its own gateways do; a request leaves the own one only if it gains more than the way, and the
    /// link has room.
    pub fn choose(
        &mut self,
        now: Duration,
        work: &Work,
        exclude: &[String],
        versions: Versions,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let exclusion = Exclusion {
            tried: exclude,
            sent_here: true,
            ..Exclusion::default()
        };
        self.choose_from(OWN_REGION, now, work, exclusion, versions, rng)
    }

    /// The same for a request of a gateway in the region at this place.
    pub fn choose_from(
        &mut self,
        home_region: usize,
        now: Duration,
        work: &Work,
        exclusion: Exclusion,
        versions: Versions,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        self.links.begin();
        let mut weighing = Weighing {
            now,
            work,
            pace: self.pace(&work.service),
            memory: self.memory(&work.service),
            mix: self.mixes.get(&work.service).copied().unwrap_or_default(),
            hashes: beginnings(&work.parts),
            hall_costs: self.hall_costs(home_region, work.body_bytes),
            has_choice: false,
            notices: &self.notices,
        };
        let slots = self.services.get_mut(&work.service)?;
        let usable = slots.usable(now, exclusion, versions, &self.notices);
        let regions = slots.by_region(usable, home_region);
        weighing.has_choice = regions.len() > 1;
        let (mut home, mut away) = (None, None::<(usize, Weighed)>);
        let mut count = 0;
        for (region, positions) in regions {
            let best = away.map_or(home, |(_, best)| Some(best));
            if region != home_region && !weighing.may_gain(slots, &positions, best) {
                continue;
            }
            let unknown = self.unknown.entry((region, weighing.is_heavy()));
            let unknown = unknown.or_default();
            let weighed = weighing.weigh(slots, positions, unknown, rng);
            count += weighed.len();
            let cheapest = cheapest(&weighed, rng).copied();
            match cheapest {
                cheapest if region == home_region => home = cheapest,
                Some(found) if best.is_none_or(|best| found.cost_ms < best.cost_ms) => {
                    away = Some((region, found));
                }
                _ => {}
            }
        }
        let home_ms = home.map(|home| home.cost_ms);
        let mut departure = Departure::Stays;
        if let Some((region, found)) = away {
            let places = Places {
                home_ms,
                away_ms: found.cost_ms,
                bytes: bytes_across(work),
            };
            // What crosses the own region's link, for whomever it was decided.
            let beyond = if region == OWN_REGION {
                home_region
            } else {
                region
            };
            let name = self.ways.topology().region_by_index(beyond);
            departure = self.links.decide(now, name, places);
        }
        let leaves = departure == Departure::Leaves;
        let chosen = match leaves {
            true => away.map(|(_, found)| found)?,
            false => home?,
        };
        let slot = slots.at(chosen.position);
        let hold = weighing.pace.hold_of(work, chosen.unread);
        Some(Placement {
            endpoint: slot.spec.id.clone(),
            incarnation: slot.incarnation(),
            address: slot.spec.address,
            unread_tokens: chosen.unread,
            shared_prompt: shared_hash(&weighing.hashes),
            expected_ms: chosen.cost_ms,
            hold: hold.mul_f64(slot.slowness(weighing.pace, &weighing.memory)),
            weighed: count,
            counted: false,
            version: Some(slot.spec.version.clone()),
            is_cold: now < slot.cold_until,
            hall: slot.spec.zone.clone(),
            home_ms: home_ms.filter(|_| leaves),
            bytes_across: if leaves { bytes_across(work) } else { 0 },
            kept_for_link: departure == Departure::Declined,
            slowdown: weighing.memory.expected(now, slot.told),
        })
    }
}

// The one of least cost; those that are as good as it are distinguished at random.
fn cheapest<'a>(weighed: &'a [Weighed], rng: &mut impl Rng) -> Option<&'a Weighed> {
    let least = weighed.iter().map(|w| w.cost_ms).fold(f64::MAX, f64::min);
    let near = weighed.iter().filter(|w| w.cost_ms <= least + TIE_MS);
    let near: Vec<&Weighed> = near.collect();
    match near.len() {
        0 => None,
        count => Some(near[rng.random_range(0..count)]),
    }
}

// What endpoints are weighed by for one request.
struct Weighing<'a> {
    now: Duration,
    work: &'a Work,
    pace: Pace,
    memory: Memory,
    mix: Mix,
    hashes: Vec<u64>,
    // What a request must gain in each hall, by the place of the hall on the board.
    hall_costs: Vec<f64>,
    // Whether there are endpoints in several regions.
    has_choice: bool,
    notices: &'a Notices,
}

impl Weighing<'_> {
    fn is_heavy(&self) -> bool {
        self.pace.reads_long(self.work.prompt_tokens)
    }

    // Whether some of these endpoints could be better than the best one found, were nothing to wait for there.
    fn may_gain(&self, slots: &ServiceSlots, positions: &[usize], best: Option<Weighed>) -> bool {
        let Some(best) = best else {
            return true;
        };
        let costs = positions
            .iter()
            .map(|at| self.hall_costs[slots.at(*at).hall]);
        costs.fold(f64::INFINITY, f64::min) < best.cost_ms
    }

    // What endpoints of one region, or some of them, would cost.
    fn weigh(
        &self,
        slots: &mut ServiceSlots,
        positions: Vec<usize>,
        unknown: &mut Unknown,
        rng: &mut impl Rng,
    ) -> Vec<Weighed> {
        let heavy = self.is_heavy();
        let usable = slots.grouped(self.now, positions, self.work, self.mix, heavy);
        let home = slots.home(shared_hash(&self.hashes), usable.group());
        let candidates = candidates(unknown.count(self.now), &usable, home, rng);
        let weighed = candidates.into_iter().map(|position| {
            let slot = slots.at_mut(position);
            let unread = self.unread(slot, home == Some(position));
            let mut cost_ms = self.cost_ms(slot, unread);
            cost_ms += self.hall_costs[slot.hall];
            if self.has_choice && slot.is_suspected(self.now) {
                cost_ms += SUSPECTED_MS;
            }
            if !usable.is_in_group(position) {
                cost_ms += match heavy {
                    true => AMONG_LIGHT_MS,
                    false => AMONG_HEAVY_MS,
                };
            }
            Weighed {
                cost_ms,
                unread,
                position,
            }
        });
        weighed.collect()
    }

    // Tokens that an endpoint would have to read.
    fn unread(&self, slot: &Slot, is_home: bool) -> u32 {
        let work = self.work;
        if work.prompt_tokens == 0 {
            return 0;
        }
        let kept = self.hashes.iter().rposition(|h| slot.cache.keeps(*h));
        let count = kept.map_or(0, |last| last + 1);
        let tokens = |count: usize| work.parts[..count].iter().map(|p| p.tokens).sum::<u32>();
        let mut known = tokens(count);
        if is_home && count + 1 < work.parts.len() {
            let shared = f64::from(tokens(work.parts.len() - 1));
            known = known.max((shared * HOME_SHARE) as u32);
        }
        work.prompt_tokens.saturating_sub(known)
    }

    // Expected time to the first token there, and what the request would cost others.
    fn cost_ms(&self, slot: &mut Slot, unread: u32) -> f64 {
        let (now, pace) = (self.now, self.pace);
        let slowdown = self.memory.against_usual(now, slot.told);
        let rate = slot.rate(pace) / slowdown;
        let load = f64::from(slot.load(now));
        let slots = f64::from(slot.spec.slots.max(1));
        let excess = (load + 1.0 - slots).max(0.0);
        let hold_ms = pace.hold_ms * slowdown;
        let mut cost = excess * hold_ms / slots;
        if slot.is_engine {
            cost += taken_slot_ms((load + 1.0) / slots, hold_ms / slots);
        }
        if self.work.prompt_tokens > 0 {
            let ahead = ms(slot.queue.wait(now, rate));
            let reading = f64::from(unread) / rate;
            cost += ahead + reading + ms(slot.queue.overdue(now, rate)) + load * BESIDE_MS;
            if ahead < NOTICED_PAUSE_MS && ahead + reading > NOTICED_PAUSE_MS {
                cost += (load * HELD_UP_MS).min(MOST_HELD_UP_MS);
            }
        } else {
            let slower_ms = hold_ms - pace.hold_ms;
            cost += load / slots * hold_ms + slower_ms.max(0.0);
        }
        cost += slot.fault_share * FAULTY_MS;
        cost += self.scarcity_ms(slot);
        cost += if now < slot.cold_until { COLD_MS } else { 0.0 };
        cost
    }

    // What a send to an endpoint that names a limit costs the request that would have it otherwise.
    fn scarcity_ms(&self, slot: &Slot) -> f64 {
        let limit = match self.notices.is_empty() {
            true => None,
            false => self.notices.limit(slot.incarnation()),
        };
        limit.map_or(0.0, |rate| {
            (SCARCE_PART * 1000.0 / rate.per_s()).min(MOST_SCARCE_MS)
        })
    }
}

// What a request costs those that come after it, by the slots that are taken with it: where most are, the next ones wait
// for one or push less urgent requests out, whose prompts are read again. `free_ms` is the time until a slot is free when
// all are taken.
fn taken_slot_ms(part: f64, free_ms: f64) -> f64 {
    free_ms * part.min(1.0).powi(TAKEN_SLOTS_POWER)
}

// All endpoints, or some of them at random where many requests of others are not known yet: if all
// gateways took the best one they know of, they would all take the same.
fn candidates(
    unknown: f64,
    usable: &Usable,
    home: Option<usize>,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let group = usable.group();
    let wanted = SAMPLE_FACTOR * group.len() as f64 / unknown.max(1.0);
    let wanted = (wanted.ceil() as usize).max(LEAST_SAMPLE);
    if wanted >= group.len() {
        return usable.positions.clone();
    }
    let mut candidates: Vec<usize> = group.sample(rng, wanted).copied().collect();
    candidates.extend(usable.outside().choose(rng));
    candidates.extend(home.filter(|position| !candidates.contains(position)));
    candidates
}

// The last part belongs to the request itself.
fn shared_hash(hashes: &[u64]) -> u64 {
    match hashes.len() {
        0 | 1 => 0,
        count => hashes[count - 2],
    }
}
