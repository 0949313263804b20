//! The endpoints of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use notices::Notices;

use crate::placement::exclusion::Exclusion;
use crate::placement::mix::Mix;
use crate::placement::slot::Slot;
use crate::placement::{Versions, Work};
use crate::rendezvous::weight;

/// Part of its slots that a group of engines may need before it gets more engines.
const GROUP_UTILIZATION: f64 = 0.6;
/// Seed of the order in which engines take light prompts, the same at all gateways.
const GROUP_SEED: u64 = 0x6c69_6768;

/// Slots in the order in which engines take light prompts, which all gateways agree on.
#[derive(Debug, Default)]
pub(crate) struct ServiceSlots {
    slots: Vec<Slot>,
}

/// Endpoints of a service that take a request, by position, in the order of the service.
#[derive(Debug)]
pub(crate) struct Usable {
    /// Their positions.
    pub positions: Vec<usize>,
    /// Part of `positions` that is meant for prompts of this weight.
    pub group: std::ops::Range<usize>,
}

impl Usable {
    /// Positions of the group.
    pub fn group(&self) -> &[usize] {
        &self.positions[self.group.clone()]
    }

    /// Positions outside the group.
    pub fn outside(&self) -> &[usize] {
        match self.group.start {
            0 => &self.positions[self.group.end..],
            start => &self.positions[..start],
        }
    }

    /// Whether a position is one of the group.
    pub fn is_in_group(&self, position: usize) -> bool {
        self.group().binary_search(&position).is_ok()
    }
}

impl ServiceSlots {
    // Its position, or where it would stand.
    fn find(&self, id: &str) -> Result<usize, usize> {
        let wanted = (weight(GROUP_SEED, id), id);
        let place = |slot: &Slot| (slot.order, slot.spec.id.as_str()).cmp(&wanted);
        self.slots.binary_search_by(place)
    }

    /// The slot of an endpoint.
    pub fn get(&self, id: &str) -> Option<&Slot> {
        Some(&self.slots[self.find(id).ok()?])
    }

    /// The slot of an endpoint.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Slot> {
        let position = self.find(id).ok()?;
        Some(&mut self.slots[position])
    }

    /// The slot at a position.
    pub fn at(&self, position: usize) -> &Slot {
        &self.slots[position]
    }

    /// The slot at a position.
    pub fn at_mut(&mut self, position: usize) -> &mut Slot {
        &mut self.slots[position]
    }

    /// All slots.
    pub fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    /// All slots.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Slot> {
        self.slots.iter_mut()
    }

    /// Adds an endpoint that is not among them.
    pub fn insert(&mut self, mut slot: Slot) {
        slot.order = weight(GROUP_SEED, &slot.spec.id);
        if let Err(position) = self.find(&slot.spec.id) {
            self.slots.insert(position, slot);
        }
    }

    /// Drops an endpoint.
    pub fn remove(&mut self, id: &str) {
        if let Ok(position) = self.find(id) {
            self.slots.remove(position);
        }
    }

    /// The endpoints that take a request: those under suspicion only if there is no other in their region.
    pub fn usable(
        &self,
        now: Duration,
        exclusion: Exclusion,
        versions: Versions,
        notices: &Notices,
    ) -> Vec<usize> {
        let takes_work = |slot: &Slot| {
            let spec = &slot.spec;
            spec.is_ready()
                && versions.allows(&spec.version)
                && exclusion.allows(now, slot, notices)
        };
        let all = self.slots.iter().enumerate();
        let mut ready: Vec<usize> = all.filter(|(_, s)| takes_work(s)).map(|(i, _)| i).collect();
        let region = |position: &usize| self.slots[*position].region;
        let is_trusted = |position: &usize| !self.slots[*position].is_suspected(now);
        let trusted = ready.iter().filter(|position| is_trusted(position));
        let trusted: BTreeSet<usize> = trusted.map(region).collect();
        ready.retain(|position| is_trusted(position) || !trusted.contains(&region(position)));
        if let Versions::Few(_, most) = versions {
            ready.truncate(most);
        }
        ready
    }

    /// Endpoints by place of their region, the home first.
    pub fn by_region(&self, positions: Vec<usize>, home: usize) -> Vec<(usize, Vec<usize>)> {
        let mut regions: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for position in positions {
            let region = self.slots[position].region;
            regions.entry(region).or_default().push(position);
        }
        let mut list: Vec<_> = regions.into_iter().collect();
        list.sort_by_key(|(region, _)| *region != home);
        list
    }

    /// Splits endpoints into those meant for light prompts and those meant for heavy ones.
    pub fn grouped(
        &mut self,
        now: Duration,
        positions: Vec<usize>,
        work: &Work,
        mix: Mix,
        heavy: bool,
    ) -> Usable {
        let count = positions.len();
        let group = match work.prompt_tokens == 0 || count < 2 || mix.tokens <= 0.0 {
            true => 0..count,
            false => {
                let light = mix.light_engines(count, self.needed(now, &positions));
                if heavy {
                    light..count
                } else {
                    0..light
                }
            }
        };
        Usable { positions, group }
    }

    // Engines that would hold everything that runs now.
    fn needed(&mut self, now: Duration, positions: &[usize]) -> f64 {
        let mut running = 0.0;
        let mut slots = 0.0;
        for position in positions {
            let slot = &mut self.slots[*position];
            running += f64::from(slot.load(now));
            slots += f64::from(slot.spec.slots);
        }
        running / (slots / positions.len() as f64 * GROUP_UTILIZATION)
    }

    /// Where all gateways expect a shared prompt that nobody is known to keep.
    pub fn home(&self, shared_prompt: u64, positions: &[usize]) -> Option<usize> {
        if shared_prompt == 0 {
            return None;
        }
        let weight_at = |position: &usize| weight(shared_prompt, &self.slots[*position].spec.id);
        positions.iter().copied().max_by_key(weight_at)
    }
}
