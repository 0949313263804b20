//! Nodes of other cells that summaries can be sent to.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

/// Contacts kept for each cell.
const MAX_PER_CELL: usize = 12;
/// How long a contact that was heard is preferred to one that was only listed.
const FRESH_FOR: Duration = Duration::from_secs(60);

/// A node of any cell, from the platform's list or from what was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name.
    pub name: String,
    /// Its cell; empty when it is not known.
    pub cell: String,
    /// Its address.
    pub address: String,
}

#[derive(Debug)]
struct Known {
    contact: Contact,
    heard: Option<Duration>,
}

/// Known nodes of other cells.
#[derive(Debug, Default)]
pub struct Contacts {
    cells: BTreeMap<String, Vec<Known>>,
}

impl Contacts {
    /// Takes a contact from a list; what was heard of it is kept.
    pub fn list(&mut self, contact: Contact) {
        self.insert(contact, None);
    }

    /// Takes a contact that was heard just now.
    pub fn receive(&mut self, now: Duration, contact: Contact) {
        self.insert(contact, Some(now));
    }

    fn insert(&mut self, contact: Contact, heard: Option<Duration>) {
        let known = self.cells.entry(contact.cell.clone()).or_default();
        if let Some(same) = known.iter_mut().find(|k| k.contact.name == contact.name) {
            same.contact = contact;
            same.heard = heard.or(same.heard);
            return;
        }
        if known.len() >= MAX_PER_CELL {
            if heard.is_none() {
                return;
            }
            // The one heard longest ago makes room.
            known.sort_by_key(|k| k.heard);
            known.remove(0);
        }
        known.push(Known { contact, heard });
    }

    /// One contact of each cell: mostly one heard lately, sometimes any, so that a cell whose
    /// known nodes were all replaced is found again.
    pub fn one_each(&self, now: Duration, rng: &mut impl Rng) -> Vec<Contact> {
        self.cells
            .values()
            .filter_map(|known| pick(now, known, rng))
            .collect()
    }

    /// Some of the contacts that fit.
    pub fn pick(
        &self,
        count: usize,
        fits: impl Fn(&Contact) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<Contact> {
        let all = self.cells.values().flatten().map(|known| &known.contact);
        let mut fitting: Vec<&Contact> = all.filter(|c| fits(c)).collect();
        let mut picked = Vec::new();
        while picked.len() < count && !fitting.is_empty() {
            picked.push(
                fitting
                    .swap_remove(rng.random_range(0..fitting.len()))
                    .clone(),
            );
        }
        picked
    }

    /// Cells heard from lately.
    pub fn live_cells(&self, now: Duration) -> impl Iterator<Item = &str> {
        let live = move |known: &&Known| is_fresh(now, known);
        let cells = self.cells.iter();
        cells
            .filter(move |(_, k)| k.iter().any(|k| live(&k)))
            .map(|(cell, _)| cell.as_str())
    }
}

fn pick(now: Duration, known: &[Known], rng: &mut impl Rng) -> Option<Contact> {
    let fresh: Vec<&Known> = known.iter().filter(|k| is_fresh(now, k)).collect();
    let any: Vec<&Known> = known.iter().collect();
    let among = match fresh.is_empty() || rng.random_ratio(1, 8) {
        true => any,
        false => fresh,
    };
    let at = rng.random_range(0..among.len().max(1));
    among.get(at).map(|k| k.contact.clone())
}

fn is_fresh(now: Duration, known: &Known) -> bool {
    known
        .heard
        .is_some_and(|at| now.saturating_sub(at) < FRESH_FOR)
}
