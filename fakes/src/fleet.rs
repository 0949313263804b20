//! A fleet of control states in virtual time, joined by a wire, a table and an object store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control::{Action, CallId, Core, CoreTerms, Event, TeamLimit};
use membership::{Contact, EndpointSpec, Load, NodeIdentity};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use schema::messages::{HeadRow, Packet};
use state::{head_key, Row, Version};

use crate::table::{FakeTable, Faults};
use crate::wire::Wire;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(50);
/// Time that a fetch of a body takes, in steps.
const FETCH_STEPS: u32 = 2;

/// Limit of each team, in thousandths of a request a second.
const LIMIT_MILLI: u64 = 100_000;
/// Bytes of tag, UDP and IP header of a datagram.
const OVERHEAD_BYTES: u64 = 16 + 8 + 20;

/// Size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetTerms {
    /// Seed of all randomness.
    pub seed: u64,
    /// Nodes of each cell; cells are named `c0`, `c1` and so on.
    pub cells: Vec<usize>,
    /// Endpoints of each cell.
    pub endpoints: usize,
    /// Teams.
    pub teams: usize,
}

/// One node.
pub struct Peer {
    /// Its control state.
    pub core: Core,
    /// Number of its cell.
    pub cell: usize,
    /// Whether it runs; a stopped or paused one takes nothing in.
    pub up: bool,
    /// Versions in the order in which they came into force.
    pub applied: Vec<(Duration, i64)>,
    /// Endpoints that are to get no new work.
    pub leaving: BTreeMap<String, Duration>,
    /// Epochs gained, with the time.
    pub gained: Vec<(Duration, i64)>,
    /// Parts of the teams' limits, in thousandths.
    pub parts: BTreeMap<String, u64>,
    /// Requests a second it is asked for, of each team, in thousandths.
    pub demand: u64,
    /// What it sent and took in, while [`CoreFleet::measured`] is set.
    pub traffic: Traffic,
    incarnation: i64,
}

/// Datagrams and their bytes on the network, headers and tag included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub taken: u64,
    /// Bytes taken in.
    pub taken_bytes: u64,
    /// Bytes of the largest datagram sent.
    pub largest: u64,
}

/// The fleet and what stands around it.
pub struct CoreFleet {
    /// Nodes.
    pub peers: Vec<Peer>,
    /// The platform's table.
    pub table: FakeTable,
    /// Bodies in the object store.
    pub store: BTreeMap<String, String>,
    /// Messages under way.
    pub wire: Wire<Box<Packet>>,
    /// Loads of the endpoints.
    pub loads: BTreeMap<String, Load>,
    /// Virtual time.
    pub now: Duration,
    /// Nodes that the platform does not list any more.
    pub struck_off: BTreeSet<usize>,
    /// Whether to encode every datagram and count its bytes.
    pub measured: bool,
    /// Calls of the cloud API so far.
    pub cloud_calls: u64,
    terms: FleetTerms,
    fetches: Vec<(Duration, usize, String, Option<usize>)>,
}

/// A load without a notice.
pub fn load(running: u32, incarnation: i64) -> Load {
    Load {
        running,
        queued: 0,
        incarnation,
        leaving_in: None,
    }
}

fn address(n: usize) -> String {
    format!("10.0.{}.{}:7000", n / 250, n % 250)
}

fn contact(n: usize, cell: usize) -> Contact {
    Contact {
        name: format!("n{n}"),
        cell: format!("c{cell}"),
        address: address(n),
    }
}

fn number_of(address: &str) -> Option<usize> {
    let ip = address.strip_prefix("10.0.")?.strip_suffix(":7000")?;
    let (high, low) = ip.split_once('.')?;
    Some(high.parse::<usize>().ok()? * 250 + low.parse::<usize>().ok()?)
}

impl CoreFleet {
    /// Starts all nodes at once.
    pub fn start(terms: FleetTerms, faults: Faults) -> Self {
        let mut fleet = CoreFleet {
            peers: Vec::new(),
            table: FakeTable::new(terms.seed, faults),
            store: BTreeMap::new(),
            wire: Wire::default(),
            loads: BTreeMap::new(),
            now: Duration::ZERO,
            struck_off: BTreeSet::new(),
            measured: false,
            cloud_calls: 0,
            fetches: Vec::new(),
            terms,
        };
        for cell in 0..fleet.terms.cells.len() {
            for e in 0..fleet.terms.endpoints {
                fleet.loads.insert(endpoint(cell, e), load(1, 1));
            }
            for _ in 0..fleet.terms.cells[cell] {
                fleet.add(cell);
            }
        }
        fleet
    }

    /// Randomness of the test.
    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.table.rng
    }

    /// Number of a random node.
    pub fn any_node(&mut self) -> usize {
        self.table.rng.random_range(0..self.peers.len())
    }

    /// Adds a node to a cell.
    pub fn add(&mut self, cell: usize) -> usize {
        let n = self.peers.len();
        let incarnation = 1 + self.now.as_millis() as i64;
        let core = self.core(n, cell, incarnation);
        self.peers.push(Peer {
            core,
            cell,
            up: true,
            applied: Vec::new(),
            leaving: BTreeMap::new(),
            gained: Vec::new(),
            parts: BTreeMap::new(),
            demand: 0,
            traffic: Traffic::default(),
            incarnation,
        });
        self.configure(n);
        n
    }

    /// Replaces a node's VM: it starts again and has kept nothing.
    pub fn restart(&mut self, n: usize) {
        let incarnation = self.peers[n].incarnation + 1 + self.now.as_millis() as i64;
        self.peers[n].core = self.core(n, self.peers[n].cell, incarnation);
        self.peers[n].incarnation = incarnation;
        self.peers[n].up = true;
        // A replaced VM's promises begin anew, all but the one about versions.
        self.peers[n].leaving.clear();
        self.configure(n);
    }

    fn core(&self, n: usize, cell: usize, incarnation: i64) -> Core {
        let terms = CoreTerms {
            cell: NodeIdentity {
                name: format!("n{n}"),
                cell: format!("c{cell}"),
                address: address(n),
                incarnation,
            },
            region: "home".into(),
            platform_rate: 20,
            seeds: 2,
        };
        Core::new(self.now, terms)
    }

    fn configure(&mut self, n: usize) {
        let cell = self.peers[n].cell;
        let spec = |e| EndpointSpec {
            name: endpoint(cell, e),
            pool: "chat".into(),
            slots: 16,
        };
        let endpoints = (0..self.terms.endpoints).map(spec).collect();
        let team = |t| TeamLimit {
            name: format!("t{t}"),
            rate_milli: LIMIT_MILLI,
        };
        let teams = (0..self.terms.teams).map(team).collect();
        let cells = self.terms.cells.len();
        self.event(
            n,
            Event::Configured {
                endpoints,
                teams,
                cells,
            },
        );
        let seeds = self.seeds();
        self.event(n, Event::Seeds(seeds));
    }

    // The first two nodes of each cell stand in everyone's settings.
    fn seeds(&self) -> Vec<Contact> {
        let mut first = 0;
        let mut seeds = Vec::new();
        for (cell, nodes) in self.terms.cells.iter().enumerate() {
            seeds.extend((first..first + nodes.min(&2)).map(|m| contact(m, cell)));
            first += nodes;
        }
        seeds
    }

    /// Accepts a configuration: its row and its body are there for everyone.
    pub fn publish(&mut self, number: i64) {
        let hash = format!("hash-{number}");
        self.store.insert(hash.clone(), format!("body-{number}"));
        let head = HeadRow {
            version: number,
            hash,
            put: "p".into(),
            author: "a".into(),
            note: "n".into(),
        };
        let version = self.table.rows.get(&head_key()).map_or(0, |r| r.version) + 1;
        let value = schema::encode(&head).unwrap_or_default();
        self.table.rows.insert(head_key(), Row { version, value });
    }

    /// Gives a node the reclaim notice of an endpoint.
    pub fn notice(&mut self, n: usize, endpoint: &str, left: Duration) {
        self.event(n, Event::Notice(endpoint.to_string(), left));
    }

    /// Feeds one event to a node and carries out what it asks for.
    pub fn event(&mut self, n: usize, event: Event) {
        let actions = self.peers[n]
            .core
            .step(self.now, event, &mut self.table.rng);
        for action in actions {
            self.act(n, action);
        }
    }

    fn act(&mut self, n: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, packet } => {
                if let Some(to) = number_of(&to).filter(|to| *to < self.peers.len()) {
                    self.count(n, to, &packet);
                    self.wire.send(now, n, to, packet, &mut self.table.rng);
                }
            }
            Action::ReadLoads(names) => self.read_loads(n, names),
            Action::ReadNotices => {
                self.cloud_calls += 1;
                self.peers[n]
                    .core
                    .gate()
                    .note(self.table.faults.lost < 1000);
            }
            Action::ListVms => self.list(n),
            Action::Table(id, call) => self.table.call(now, n, call_number(id), call),
            Action::FetchFromPeer { address, hash } => {
                let from = number_of(&address);
                self.fetches.push((now + STEP * FETCH_STEPS, n, hash, from));
            }
            Action::FetchFromStore { hash } => {
                self.fetches.push((now + STEP * FETCH_STEPS, n, hash, None));
            }
            Action::Apply { version, .. } => self.peers[n].applied.push((now, version.number)),
            Action::Leave(name, left) => {
                self.peers[n].leaving.entry(name).or_insert(now + left);
            }
            Action::Return(name) => drop(self.peers[n].leaving.remove(&name)),
            Action::SetPart(team, part) => drop(self.peers[n].parts.insert(team, part)),
            Action::LeaseGained(epoch) => self.peers[n].gained.push((now, epoch)),
            Action::UseLoad(..) | Action::UseSummary(_) | Action::Suspect(_) => {}
            Action::LeaseLost => {}
        }
    }

    fn count(&mut self, from: usize, to: usize, packet: &Packet) {
        if !self.measured {
            return;
        }
        let bytes = schema::encode(packet).map_or(0, |b| b.len() as u64) + OVERHEAD_BYTES;
        let sender = &mut self.peers[from].traffic;
        sender.sent += 1;
        sender.sent_bytes += bytes;
        sender.largest = sender.largest.max(bytes);
        let receiver = &mut self.peers[to].traffic;
        receiver.taken += 1;
        receiver.taken_bytes += bytes;
    }

    fn read_loads(&mut self, n: usize, names: Vec<String>) {
        for name in names {
            let load = self.loads.get(&name).copied();
            self.event(n, Event::Read(name, load));
        }
    }

    // The list lags: it names every node that ever ran and was not struck off.
    fn list(&mut self, n: usize) {
        self.cloud_calls += 1;
        let up = self.table.faults.lost < 1000;
        self.peers[n].core.gate().note(up);
        if !up {
            return;
        }
        let peers = self.peers.iter().enumerate();
        let listed = peers.filter(|(m, _)| !self.struck_off.contains(m));
        let listed = listed.map(|(m, p)| contact(m, p.cell)).collect();
        self.event(n, Event::Listed(listed));
    }

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now += STEP;
        for (_, to, packet) in self.wire.due(self.now) {
            if self.peers[to].up {
                self.event(to, Event::Packet(packet));
            }
        }
        for (n, call, reply) in self.table.advance(self.now) {
            if self.peers[n].up {
                self.event(n, Event::Table(call_id(call), reply));
            }
        }
        self.fetch();
        for n in 0..self.peers.len() {
            if self.peers[n].up {
                let demand = self.demand_of(n);
                self.event(n, Event::Tick { demand });
            }
        }
    }

    fn demand_of(&self, n: usize) -> Vec<(String, u64)> {
        let rate = self.peers[n].demand;
        (0..self.terms.teams)
            .map(|t| (format!("t{t}"), rate))
            .collect()
    }

    fn fetch(&mut self) {
        let fetches = std::mem::take(&mut self.fetches);
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = fetches.into_iter().partition(|(at, ..)| *at <= now);
        self.fetches = later;
        for (_, n, hash, from) in due {
            if !self.peers[n].up {
                continue;
            }
            let body = self.body(n, &hash, from);
            self.event(n, Event::Fetched { hash, body });
        }
    }

    fn body(&mut self, n: usize, hash: &str, from: Option<usize>) -> Option<String> {
        let group = |n: usize| self.wire.groups.get(&n).copied().unwrap_or(0);
        let reached = match from {
            Some(peer) => {
                let has = self.peers[peer].core.status(self.now).version;
                let same = |(v, _): (Version, Duration)| v.hash == hash;
                group(peer) == group(n) && self.peers[peer].up && has.is_some_and(same)
            }
            None => self.table.faults.lost < 1000,
        };
        self.store.get(hash).filter(|_| reached).cloned()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Whether every running node has this version in force.
    pub fn all_have(&self, number: i64) -> bool {
        let has = |p: &Peer| p.applied.last().is_some_and(|(_, v)| *v == number);
        self.peers.iter().filter(|p| p.up).all(has)
    }
}

fn endpoint(cell: usize, number: usize) -> String {
    format!("w{cell}-{number}")
}

const HEAD_CALL: u32 = 0;

fn call_number(id: CallId) -> u32 {
    match id {
        CallId::Head => HEAD_CALL,
        CallId::Lease(call) => call,
    }
}

fn call_id(number: u32) -> CallId {
    match number {
        HEAD_CALL => CallId::Head,
        call => CallId::Lease(call),
    }
}
