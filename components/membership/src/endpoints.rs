//! The endpoints of a cell: their loads, the nodes that read them, and which endpoints are leaving.
//!
//! Leaving is final for an incarnation: once a notice has come from any source, no later report
//! about the same incarnation of the endpoint makes it usable again.

use std::collections::BTreeMap;
use std::time::Duration;

use schema::messages::EndpointGossip;
use xxhash_rust::xxh3::xxh3_64;

/// Nodes that read the load of each endpoint.
pub const READERS_PER_ENDPOINT: usize = 2;
/// Gossip rounds in which each node that knows of a leave repeats it.
const LEAVE_GOSSIP_ROUNDS: u32 = 4;
/// A second notice replaces the first only if its leave time is earlier by more than this.
const MIN_LEAVE_TIME_ADVANCE: Duration = Duration::from_millis(500);
/// Upper limit of a reported age in milliseconds; greater ages are reported as this.
const MAX_AGE_MS: i32 = 600_000;

/// An endpoint as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Requests that it can run at the same time.
    pub slots: u32,
}

/// The load of an endpoint, as read from it or reported by another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Incarnation of the endpoint.
    pub incarnation: i64,
    /// Time left until its VM is reclaimed, if it has a notice.
    pub leaving_in: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    spec: EndpointSpec,
    load: Option<(Load, Duration)>,
    // Number of readings by this node, answered or not.
    reading_count: i64,
    has_new_reading: bool,
    is_silent: bool,
    incarnation: i64,
    leaving_at: Option<Duration>,
    leave_rounds_left: u32,
}

/// A change that concerns routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// Newer load of the endpoint, and its age.
    LoadUpdated(String, Load, Duration),
    /// The endpoint leaves after this time.
    Leaving(String, Duration),
    /// A new VM runs under the endpoint's name.
    Replaced(String),
    /// The endpoint did not answer two or more readings by this node in a row.
    Silent(String),
}

/// Totals of one pool in one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolTotal {
    /// Endpoints that answer and are not leaving.
    pub endpoints: i32,
    /// Their free slots.
    pub free_slots: i32,
    /// Requests waiting at them.
    pub queued: i32,
    /// Names of the endpoints that are leaving.
    pub leaving: Vec<String>,
}

/// The endpoints of one cell.
#[derive(Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<String, KnownEndpoint>,
}

impl Endpoints {
    /// Sets the endpoints of a configuration; the known state of those that stay is kept.
    pub fn configure(&mut self, specs: Vec<EndpointSpec>) {
        let mut old = std::mem::take(&mut self.known);
        for spec in specs {
            let known = match old.remove(&spec.name) {
                Some(known) => KnownEndpoint {
                    spec: spec.clone(),
                    ..known
                },
                None => KnownEndpoint {
                    spec: spec.clone(),
                    load: None,
                    reading_count: 0,
                    has_new_reading: false,
                    is_silent: false,
                    incarnation: 0,
                    leaving_at: None,
                    leave_rounds_left: 0,
                },
            };
            self.known.insert(spec.name, known);
        }
    }

    /// The endpoints that `node` reads; `nodes` are all active nodes, itself included.
    pub fn assigned_to<'a>(&'a self, node: &str, nodes: &[&str]) -> Vec<&'a str> {
        let is_reader = |name: &&str| {
            let key = xxh3_64(name.as_bytes());
            routing::rank(key, nodes.iter().copied(), READERS_PER_ENDPOINT).contains(&node)
        };
        self.known
            .keys()
            .map(String::as_str)
            .filter(is_reader)
            .collect()
    }

    /// Records a reading by this node; `None` if the endpoint did not answer.
    pub fn record_load(
        &mut self,
        now: Duration,
        name: &str,
        load: Option<Load>,
    ) -> Vec<EndpointChange> {
        let Some(known) = self.known.get_mut(name) else {
            return Vec::new();
        };
        known.reading_count += 1;
        known.has_new_reading = true;
        let was_silent = std::mem::replace(&mut known.is_silent, load.is_none());
        match load {
            Some(load) => known.apply_load(now, load, now),
            None if was_silent => vec![EndpointChange::Silent(name.to_string())],
            None => Vec::new(),
        }
    }

    /// Records a reclaim notice that was given to this node.
    pub fn record_reclaim_notice(
        &mut self,
        now: Duration,
        name: &str,
        time_left: Duration,
    ) -> Vec<EndpointChange> {
        let Some(known) = self.known.get_mut(name) else {
            return Vec::new();
        };
        let incarnation = known.incarnation;
        known.mark_leaving(now, incarnation, time_left)
    }

    /// Merges gossip from another node.
    pub fn receive(&mut self, now: Duration, gossip: &EndpointGossip) -> Vec<EndpointChange> {
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
        let read_at = now.saturating_sub(age);
        if gossip.silent {
            return load.leaving_in.map_or_else(Vec::new, |time_left| {
                known.mark_leaving(now, gossip.incarnation, time_left)
            });
        }
        known.apply_load(now, load, read_at)
    }

    /// Gossip for the next round: endpoints that this node read since the last round, and recent
    /// leaves.
    pub fn take_round_gossip(&mut self, now: Duration) -> Vec<EndpointGossip> {
        let mut gossip = Vec::new();
        for known in self.known.values_mut() {
            let has_recent_leave = known.leave_rounds_left > 0;
            if known.has_new_reading || has_recent_leave {
                known.leave_rounds_left = known.leave_rounds_left.saturating_sub(1);
                gossip.push(known.to_gossip(now));
            }
            known.has_new_reading = false;
        }
        gossip
    }

    /// Gossip of every endpoint with a known load or leave, for a joining node.
    pub fn snapshot_gossip(&self, now: Duration) -> Vec<EndpointGossip> {
        let known = self
            .known
            .values()
            .filter(|k| k.load.is_some() || k.leaving_at.is_some());
        known.map(|k| k.to_gossip(now)).collect()
    }

    /// Totals per pool, as reported to other cells.
    pub fn totals(&self) -> BTreeMap<&str, PoolTotal> {
        let mut totals: BTreeMap<&str, PoolTotal> = BTreeMap::new();
        for known in self.known.values() {
            let total = totals.entry(&known.spec.pool).or_default();
            if known.leaving_at.is_some() {
                total.leaving.push(known.spec.name.clone());
                continue;
            }
            let Some((load, _)) = known.load.filter(|_| !known.is_silent) else {
                continue;
            };
            total.endpoints += 1;
            total.free_slots += known.spec.slots.saturating_sub(load.running) as i32;
            total.queued += load.queued as i32;
        }
        totals
    }
}

impl KnownEndpoint {
    fn apply_load(&mut self, now: Duration, load: Load, read_at: Duration) -> Vec<EndpointChange> {
        let name = self.spec.name.clone();
        let mut changes = Vec::new();
        if load.incarnation < self.incarnation {
            return changes;
        }
        if load.incarnation > self.incarnation {
            // Incarnation 0 means that none is known yet: a notice that came before the first
            // reading is about the incarnation that this reading names, so the leave is kept.
            let replaced = self.incarnation > 0 && self.leaving_at.take().is_some();
            self.incarnation = load.incarnation;
            self.load = None;
            if replaced {
                changes.push(EndpointChange::Replaced(name.clone()));
            }
        }
        if self.load.is_none_or(|(_, known_at)| read_at > known_at) {
            self.load = Some((load, read_at));
            changes.push(EndpointChange::LoadUpdated(
                name,
                load,
                now.saturating_sub(read_at),
            ));
        }
        if let Some(time_left) = load.leaving_in {
            changes.extend(self.mark_leaving(now, load.incarnation, time_left));
        }
        changes
    }

    fn mark_leaving(
        &mut self,
        now: Duration,
        incarnation: i64,
        time_left: Duration,
    ) -> Vec<EndpointChange> {
        let leaving_at = now + time_left;
        let is_known = self
            .leaving_at
            .is_some_and(|known_at| leaving_at + MIN_LEAVE_TIME_ADVANCE >= known_at);
        if incarnation < self.incarnation || is_known {
            return Vec::new();
        }
        self.incarnation = incarnation;
        self.leaving_at = Some(leaving_at);
        self.leave_rounds_left = LEAVE_GOSSIP_ROUNDS;
        vec![EndpointChange::Leaving(self.spec.name.clone(), time_left)]
    }

    fn to_gossip(&self, now: Duration) -> EndpointGossip {
        let (load, read_at) = self.load.unwrap_or((
            Load {
                running: 0,
                queued: 0,
                incarnation: self.incarnation,
                leaving_in: None,
            },
            Duration::ZERO,
        ));
        let time_left = self.leaving_at.map(|at| at.saturating_sub(now));
        EndpointGossip {
            name: self.spec.name.clone(),
            incarnation: self.incarnation,
            reading: self.reading_count,
            running: load.running as i32,
            queued: load.queued as i32,
            age_ms: now
                .saturating_sub(read_at)
                .as_millis()
                .min(MAX_AGE_MS as u128) as i32,
            leaving_in_ms: time_left.map(|time_left| time_left.as_millis() as i32),
            silent: self.load.is_none() || self.is_silent,
        }
    }
}
