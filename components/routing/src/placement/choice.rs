//! The choice of an endpoint for a request.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::placement::board::{ms, Board, Placement};
use crate::placement::pace::Pace;
use crate::placement::service::Usable;
use crate::placement::slot::Slot;
use crate::placement::{beginnings, Versions, Work};

/// Choices this close are distinguished at random, in milliseconds.
const TIE_MS: f64 = 1.0;
/// Cost of leaving the data hall: the way there and back, in milliseconds.
const OTHER_HALL_MS: f64 = 2.0;
/// Cost of one more request beside the others at an engine, in milliseconds.
const BESIDE_MS: f64 = 0.3;
/// Cost of an endpoint whose every answer is faulty, in milliseconds.
const FAULTY_MS: f64 = 1000.0;
/// Cost of an endpoint that has just started, in milliseconds.
const COLD_MS: f64 = 20.0;
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
struct Weighed {
    cost_ms: f64,
    unread: u32,
    position: usize,
}

impl Board {
    /// The endpoint for a request, or `None` if none takes work. Those in `exclude` and of other `versions` are
    /// passed over; those under suspicion are used only if there is no other.
    pub fn choose(
        &mut self,
        now: Duration,
        work: &Work,
        exclude: &[String],
        versions: Versions,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let weighing = Weighing {
            now,
            work,
            pace: self.pace(&work.service),
            hashes: beginnings(&work.parts),
            hall: self.hall.clone(),
        };
        let heavy = weighing.pace.reads_long(work.prompt_tokens);
        let unknown = self.unknown(heavy).count(now);
        let mix = self.mixes.get(&work.service).copied().unwrap_or_default();
        let slots = self.services.get_mut(&work.service)?;
        let usable = slots.usable(now, exclude, versions);
        let usable = slots.grouped(now, usable, work, mix, heavy);
        let shared_prompt = shared_hash(&weighing.hashes);
        let home = slots.home(shared_prompt, usable.group());
        let mut weighed = Vec::new();
        for position in candidates(unknown, &usable, home, rng) {
            let slot = slots.at_mut(position);
            let unread = weighing.unread(slot, home == Some(position));
            let mut cost_ms = weighing.cost_ms(slot, unread);
            if !usable.is_in_group(position) {
                cost_ms += match heavy {
                    true => AMONG_LIGHT_MS,
                    false => AMONG_HEAVY_MS,
                };
            }
            weighed.push(Weighed {
                cost_ms,
                unread,
                position,
            });
        }
        let chosen = cheapest(&weighed, rng)?;
        let spec = &slots.at(chosen.position).spec;
        Some(Placement {
            endpoint: spec.id.clone(),
            address: spec.address,
            unread_tokens: chosen.unread,
            shared_prompt,
            expected_ms: chosen.cost_ms,
            hold: weighing.pace.hold_of(work, chosen.unread),
            weighed: weighed.len(),
            counted: false,
            version: Some(spec.version.clone()),
            is_cold: now < slots.at(chosen.position).cold_until,
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
    hashes: Vec<u64>,
    // Own data hall.
    hall: String,
}

impl Weighing<'_> {
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
        let rate = slot.rate_or(pace);
        let load = f64::from(slot.load(now));
        let slots = f64::from(slot.spec.slots.max(1));
        let excess = (load + 1.0 - slots).max(0.0);
        let mut cost = excess * pace.hold_ms / slots;
        if self.work.prompt_tokens > 0 {
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
        cost += match self.hall == slot.spec.zone {
            true => 0.0,
            false => OTHER_HALL_MS,
        };
        cost += if now < slot.cold_until { COLD_MS } else { 0.0 };
        cost
    }
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
