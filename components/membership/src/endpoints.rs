//! The endpoints of a cell: their loads, who reads them, and which of them leave.
//!
//! A leave is sticky: once heard from any source, nothing about the same incarnation of the
//! endpoint makes it usable again.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::EndpointGossip;
use xxhash_rust::xxh3::xxh3_64;

/// Nodes that read each endpoint.
pub const READERS: usize = 2;
/// Rounds in which gossip of a leave is reported by each node that has heard it.
const LEAVE_ROUNDS: u32 = 4;
/// A second notice counts when it is sooner than the first by more than this.
const SOONER: Duration = Duration::from_millis(500);
/// Age in milliseconds that stands for any greater one.
const MAX_AGE_MS: i32 = 600_000;

/// What a cell needs to know of an endpoint beforehand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Requests it runs at once.
    pub slots: u32,
}

/// A reading of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Incarnation of the endpoint.
    pub incarnation: i64,
    /// Time left before its VM goes, once it has a notice.
    pub leaving_in: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Known {
    spec: EndpointSpec,
    load: Option<(Load, Duration)>,
    // This node's own counter of readings, and the newest one heard.
    reading: i64,
    own: bool,
    silent: bool,
    incarnation: i64,
    leaving_at: Option<Duration>,
    leave_rounds: u32,
}

/// A change that the owner of routing must know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A load was read, this long ago.
    Read(String, Load, Duration),
    /// The endpoint leaves after this time.
    Leaves(String, Duration),
    /// A new VM bears the endpoint's name.
    Replaced(String),
    /// The endpoint does not answer its readers.
    Silent(String),
}

/// A pool of one cell in sum.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Endpoints that answer and stay.
    pub endpoints: i32,
    /// Their free slots.
    pub free_slots: i32,
    /// Requests waiting there.
    pub queued: i32,
    /// Endpoints that leave.
    pub leaving: Vec<String>,
}

/// The endpoints of one cell.
#[derive(Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<String, Known>,
}

impl Endpoints {
    /// Takes the endpoints of a configuration; what is known of those that stay is kept.
    pub fn configure(&mut self, specs: Vec<EndpointSpec>) {
        let mut old = std::mem::take(&mut self.known);
        for spec in specs {
            let known = match old.remove(&spec.name) {
                Some(known) => Known {
                    spec: spec.clone(),
                    ..known
                },
                None => Known {
                    spec: spec.clone(),
                    load: None,
                    reading: 0,
                    own: false,
                    silent: false,
                    incarnation: 0,
                    leaving_at: None,
                    leave_rounds: 0,
                },
            };
            self.known.insert(spec.name, known);
        }
    }

    /// The endpoints that `node` reads among these active nodes, itself included.
    pub fn assigned<'a>(&'a self, node: &str, nodes: &[&str]) -> Vec<&'a str> {
        let reads = |name: &&str| {
            let key = xxh3_64(name.as_bytes());
            routing::rank(key, nodes.iter().copied(), READERS).contains(&node)
        };
        self.known
            .keys()
            .map(String::as_str)
            .filter(reads)
            .collect()
    }

    /// Takes a reading of this node's own; `None` if the endpoint did not answer.
    pub fn read(&mut self, now: Duration, name: &str, load: Option<Load>) -> Vec<Change> {
        let Some(known) = self.known.get_mut(name) else {
            return Vec::new();
        };
        known.reading += 1;
        known.own = true;
        let was_silent = std::mem::replace(&mut known.silent, load.is_none());
        match load {
            Some(load) => known.take(now, load, now),
            None if was_silent => vec![Change::Silent(name.to_string())],
            None => Vec::new(),
        }
    }

    /// Takes a reclaim notice of this node's own.
    pub fn notice(&mut self, now: Duration, name: &str, left: Duration) -> Vec<Change> {
        let Some(known) = self.known.get_mut(name) else {
            return Vec::new();
        };
        let incarnation = known.incarnation;
        known.leave(now, incarnation, left)
    }

    /// Takes what another node reports.
    pub fn receive(&mut self, now: Duration, gossip: &EndpointGossip) -> Vec<Change> {
        let Some(known) = self.known.get_mut(&gossip.name) else {
            return Vec::new();
        };
        let load = Load {
            running: gossip.running.max(0) as u32,
            queued: gossip.queued.max(0) as u32,
            incarnation: gossip.incarnation,
            leaving_in: gossip
                .leaving_in_ms
                .map(|ms| Duration::from_millis(ms.max(0) as u64)),
        };
        let age = Duration::from_millis(gossip.age_ms.clamp(0, MAX_AGE_MS) as u64);
        let at = now.saturating_sub(age);
        if gossip.silent {
            return load
                .leaving_in
                .map_or_else(Vec::new, |left| known.leave(now, gossip.incarnation, left));
        }
        known.take(now, load, at)
    }

    /// Gossip to report to the cell: this node's own readings and leaves heard lately.
    pub fn gossip(&mut self, now: Duration) -> Vec<EndpointGossip> {
        let mut gossip = Vec::new();
        for known in self.known.values_mut() {
            let leaving = known.leave_rounds > 0;
            if known.own || leaving {
                known.leave_rounds = known.leave_rounds.saturating_sub(1);
                gossip.push(known.gossip(now));
            }
            known.own = false;
        }
        gossip
    }

    /// Everything known, for a node that has just started.
    pub fn all_gossip(&self, now: Duration) -> Vec<EndpointGossip> {
        let reported = self
            .known
            .values()
            .filter(|k| k.load.is_some() || k.leaving_at.is_some());
        reported.map(|k| k.gossip(now)).collect()
    }

    /// For each pool, what the cell reports to other cells.
    pub fn totals(&self) -> BTreeMap<&str, Total> {
        let mut totals: BTreeMap<&str, Total> = BTreeMap::new();
        for known in self.known.values() {
            let total = totals.entry(&known.spec.pool).or_default();
            if known.leaving_at.is_some() {
                total.leaving.push(known.spec.name.clone());
                continue;
            }
            let Some((load, _)) = known.load.filter(|_| !known.silent) else {
                continue;
            };
            total.endpoints += 1;
            total.free_slots += known.spec.slots.saturating_sub(load.running) as i32;
            total.queued += load.queued as i32;
        }
        totals
    }
}

impl Known {
    fn take(&mut self, now: Duration, load: Load, at: Duration) -> Vec<Change> {
        let name = self.spec.name.clone();
        let mut changes = Vec::new();
        if load.incarnation < self.incarnation {
            return changes;
        }
        if load.incarnation > self.incarnation {
            // The first reading names the incarnation that a notice before it was about.
            let replaced = self.incarnation > 0 && self.leaving_at.take().is_some();
            self.incarnation = load.incarnation;
            self.load = None;
            if replaced {
                changes.push(Change::Replaced(name.clone()));
            }
        }
        if self.load.is_none_or(|(_, known_at)| at > known_at) {
            self.load = Some((load, at));
            changes.push(Change::Read(name, load, now.saturating_sub(at)));
        }
        if let Some(left) = load.leaving_in {
            changes.extend(self.leave(now, load.incarnation, left));
        }
        changes
    }

    fn leave(&mut self, now: Duration, incarnation: i64, left: Duration) -> Vec<Change> {
        let at = now + left;
        let known = self.leaving_at.is_some_and(|known| at + SOONER >= known);
        if incarnation < self.incarnation || known {
            return Vec::new();
        }
        self.incarnation = incarnation;
        self.leaving_at = Some(at);
        self.leave_rounds = LEAVE_ROUNDS;
        vec![Change::Leaves(self.spec.name.clone(), left)]
    }

    fn gossip(&self, now: Duration) -> EndpointGossip {
        let (load, at) = self.load.unwrap_or((
            Load {
                running: 0,
                queued: 0,
                incarnation: self.incarnation,
                leaving_in: None,
            },
            Duration::ZERO,
        ));
        let left = self.leaving_at.map(|at| at.saturating_sub(now));
        EndpointGossip {
            name: self.spec.name.clone(),
            incarnation: self.incarnation,
            reading: self.reading,
            running: load.running as i32,
            queued: load.queued as i32,
            age_ms: now.saturating_sub(at).as_millis().min(MAX_AGE_MS as u128) as i32,
            leaving_in_ms: left.map(|left| left.as_millis() as i32),
            silent: self.load.is_none() || self.silent,
        }
    }
}
