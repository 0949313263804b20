//! Known nodes of any cell: receivers of summaries in other cells, and of join pings in the own
//! cell.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

/// Upper limit of contacts kept per cell.
const MAX_CONTACTS_PER_CELL: usize = 12;
/// Time since the last gossip about a contact up to which it is preferred to one that was only
/// listed.
const MAX_RECENT_AGE: Duration = Duration::from_secs(60);

/// A node of any cell, known from the settings, the platform's VM list or gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name.
    pub name: String,
    /// Its cell; empty if unknown.
    pub cell: String,
    /// Address on which it receives packets.
    pub address: String,
}

#[derive(Debug)]
struct KnownContact {
    contact: Contact,
    last_seen: Option<Duration>,
}

/// Known nodes by cell name; nodes of unknown cell are under the empty name.
#[derive(Debug, Default)]
pub struct Contacts {
    cells: BTreeMap<String, Vec<KnownContact>>,
}

impl Contacts {
    /// Adds or updates a contact from a list; the time it was last seen is kept.
    pub fn add_listed(&mut self, contact: Contact) {
        self.insert(contact, None);
    }

    /// Adds or updates a contact from gossip received now.
    pub fn add_seen(&mut self, now: Duration, contact: Contact) {
        self.insert(contact, Some(now));
    }

    fn insert(&mut self, contact: Contact, last_seen: Option<Duration>) {
        let known = self.cells.entry(contact.cell.clone()).or_default();
        if let Some(existing) = known.iter_mut().find(|k| k.contact.name == contact.name) {
            existing.contact = contact;
            existing.last_seen = last_seen.or(existing.last_seen);
            return;
        }
        if known.len() >= MAX_CONTACTS_PER_CELL {
            if last_seen.is_none() {
                return;
            }
            // Evicts a contact that was only listed, else the one seen longest ago.
            known.sort_by_key(|k| k.last_seen);
            known.remove(0);
        }
        known.push(KnownContact { contact, last_seen });
    }

    /// One random contact of each cell: usually a recently seen one, sometimes any, so that a cell
    /// whose recently seen nodes were all replaced is found again.
    pub fn pick_one_per_cell(&self, now: Duration, rng: &mut impl Rng) -> Vec<Contact> {
        self.cells
            .values()
            .filter_map(|known| pick_in_cell(now, known, rng))
            .collect()
    }

    /// Up to `count` random contacts that match.
    pub fn pick_matching(
        &self,
        count: usize,
        is_match: impl Fn(&Contact) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<Contact> {
        let all = self.cells.values().flatten().map(|known| &known.contact);
        let mut matching: Vec<&Contact> = all.filter(|c| is_match(c)).collect();
        let mut picked = Vec::new();
        while picked.len() < count && !matching.is_empty() {
            picked.push(
                matching
                    .swap_remove(rng.random_range(0..matching.len()))
                    .clone(),
            );
        }
        picked
    }

    /// Cells with a recently seen contact.
    pub fn recently_seen_cells(&self, now: Duration) -> impl Iterator<Item = &str> {
        let is_recent = move |known: &&KnownContact| is_recently_seen(now, known);
        let cells = self.cells.iter();
        cells
            .filter(move |(_, k)| k.iter().any(|k| is_recent(&k)))
            .map(|(cell, _)| cell.as_str())
    }
}

fn pick_in_cell(now: Duration, known: &[KnownContact], rng: &mut impl Rng) -> Option<Contact> {
    let recent: Vec<&KnownContact> = known.iter().filter(|k| is_recently_seen(now, k)).collect();
    let all_known: Vec<&KnownContact> = known.iter().collect();
    let candidates = match recent.is_empty() || rng.random_ratio(1, 8) {
        true => all_known,
        false => recent,
    };
    let index = rng.random_range(0..candidates.len().max(1));
    candidates.get(index).map(|k| k.contact.clone())
}

fn is_recently_seen(now: Duration, known: &KnownContact) -> bool {
    known
        .last_seen
        .is_some_and(|seen_at| now.saturating_sub(seen_at) < MAX_RECENT_AGE)
}
