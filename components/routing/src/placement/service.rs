//! Endpoints of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use notices::Notices;

use crate::placement::chunks::Chunks;
use crate::placement::entry::EndpointEntry;
use crate::placement::exclusion::Exclusion;
use crate::placement::mix::PromptMix;
use crate::placement::{Versions, Work};
use crate::rendezvous::weight;

/// Share of its slots that a group of engines may use before it gets more engines.
const MAX_GROUP_UTILIZATION: f64 = 0.6;
/// Seed of the order in which engines are given light prompts, the same at all gateways.
const GROUP_SEED: u64 = 0x6c69_6768;

/// Endpoints in the order in which they are given light prompts. All gateways use the same order.
#[derive(Debug, Default)]
pub(crate) struct ServiceEndpoints {
    entries: Chunks<EndpointEntry>,
}

/// That endpoints of a service fail if they turn too many requests away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fragility {
    /// Requests that an endpoint can turn away in a second.
    pub max_refusals: u32,
    /// Number of gateways that place requests.
    pub deciders: usize,
}

impl Fragility {
    // Whether an endpoint has a free slot, as far as known, and the gateways that place requests, none of which knows what
    // the others place now, can't together exceed what it runs and turns away. How many it lets wait is not known.
    fn has_room(self, now: Duration, entry: &EndpointEntry) -> bool {
        let slots = entry.spec.slots;
        let part = (slots + self.max_refusals) as usize / self.deciders;
        let max_placed_here = part.max(1) as u32;
        entry.expected_requests(now) < slots && entry.requests_placed_here(now) < max_placed_here
    }
}

/// Endpoints of a service that can take a request, as positions in the service's order.
#[derive(Debug)]
pub(crate) struct UsableEndpoints {
    /// Positions of all of them.
    pub positions: Vec<usize>,
    /// Range of `positions` that is meant for prompts of this weight.
    pub group: std::ops::Range<usize>,
}

impl UsableEndpoints {
    /// Returns the positions of the group.
    pub fn group(&self) -> &[usize] {
        &self.positions[self.group.clone()]
    }

    /// Returns the positions outside the group.
    pub fn outside(&self) -> &[usize] {
        match self.group.start {
            0 => &self.positions[self.group.end..],
            start => &self.positions[..start],
        }
    }

    /// Whether a position is in the group.
    pub fn is_in_group(&self, position: usize) -> bool {
        self.group().binary_search(&position).is_ok()
    }
}

impl ServiceEndpoints {
    // Returns the position of an endpoint, or the position at which to insert it.
    fn find(&self, id: &str) -> Result<usize, usize> {
        let wanted = (weight(GROUP_SEED, id), id);
        self.entries
            .search(|entry| (entry.group_order, entry.spec.id.as_str()).cmp(&wanted))
    }

    /// Returns the entry of an endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        Some(self.at(self.find(id).ok()?))
    }

    /// Returns the entry of an endpoint for changes.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointEntry> {
        let position = self.find(id).ok()?;
        Some(self.at_mut(position))
    }

    /// Returns the entry at a position.
    pub fn at(&self, position: usize) -> &EndpointEntry {
        self.entries.at(position)
    }

    /// Returns the entry at a position for changes.
    pub fn at_mut(&mut self, position: usize) -> &mut EndpointEntry {
        self.entries.at_mut(position)
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.iter().map(|(_, entry)| entry)
    }

    /// Iterates over all entries for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointEntry> {
        self.entries.iter_mut()
    }

    /// Adds an endpoint; one that is already present stays unchanged.
    pub fn insert(&mut self, mut entry: EndpointEntry) {
        entry.group_order = weight(GROUP_SEED, &entry.spec.id);
        if let Err(position) = self.find(&entry.spec.id) {
            self.entries.insert(position, entry);
        }
    }

    /// Removes an endpoint and returns its entry.
    pub fn remove(&mut self, id: &str) -> Option<EndpointEntry> {
        let position = self.find(id).ok()?;
        Some(self.entries.remove(position))
    }

    /// Returns the positions of the endpoints that can take a request. Suspected ones are included
    /// only if their region has no other. A fragile endpoint takes a request only if it is expected
    /// to have room.
    pub fn usable(
        &self,
        now: Duration,
        exclusion: Exclusion,
        versions: Versions,
        notices: &Notices,
        fragility: Option<Fragility>,
    ) -> Vec<usize> {
        let is_permitted = |entry: &EndpointEntry| {
            let spec = &entry.spec;
            let has_room = fragility.is_none_or(|fragility| fragility.has_room(now, entry));
            spec.is_ready()
                && has_room
                && versions.allows(&spec.version)
                && exclusion.allows(now, entry, notices)
        };
        let all = self.entries.iter();
        let mut ready: Vec<usize> = all
            .filter(|(_, s)| is_permitted(s))
            .map(|(i, _)| i)
            .collect();
        let region = |position: &usize| self.at(*position).region_index;
        let is_trusted = |position: &usize| !self.at(*position).is_suspected(now);
        let trusted = ready.iter().filter(|position| is_trusted(position));
        let trusted: BTreeSet<usize> = trusted.map(region).collect();
        ready.retain(|position| is_trusted(position) || !trusted.contains(&region(position)));
        if let Versions::Few(_, max_count) = versions {
            ready.truncate(max_count);
        }
        ready
    }

    /// Groups positions by region index, the home region first.
    pub fn by_region(&self, positions: Vec<usize>, home: usize) -> Vec<(usize, Vec<usize>)> {
        let mut regions: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for position in positions {
            let region = self.at(position).region_index;
            regions.entry(region).or_default().push(position);
        }
        let mut list: Vec<_> = regions.into_iter().collect();
        list.sort_by_key(|(region, _)| *region != home);
        list
    }

    /// Splits endpoints into those meant for light prompts and those meant for heavy ones.
    pub fn split_by_weight(
        &mut self,
        now: Duration,
        positions: Vec<usize>,
        work: &Work,
        mix: PromptMix,
        heavy: bool,
    ) -> UsableEndpoints {
        let count = positions.len();
        let group = match work.prompt_tokens == 0 || count < 2 || mix.tokens <= 0.0 {
            true => 0..count,
            false => {
                let light = mix.light_engines(count, self.engines_needed(now, &positions));
                if heavy {
                    light..count
                } else {
                    0..light
                }
            }
        };
        UsableEndpoints { positions, group }
    }

    // Returns how many engines would hold everything that runs now.
    fn engines_needed(&mut self, now: Duration, positions: &[usize]) -> f64 {
        let mut running = 0.0;
        let mut slots = 0.0;
        for position in positions {
            let entry = self.at_mut(*position);
            running += f64::from(entry.load(now));
            slots += f64::from(entry.spec.slots);
        }
        running / (slots / positions.len() as f64 * MAX_GROUP_UTILIZATION)
    }

    /// Returns the home endpoint of a shared prompt, where all gateways expect it to be cached when
    /// no endpoint is known to cache it.
    pub fn home(&self, shared_prompt: u64, positions: &[usize]) -> Option<usize> {
        if shared_prompt == 0 {
            return None;
        }
        let weight_at = |position: &usize| weight(shared_prompt, &self.at(*position).spec.id);
        positions.iter().copied().max_by_key(weight_at)
    }
}
