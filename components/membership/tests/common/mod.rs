//! Several cells joined by a queue in virtual time with loss, delay, doubling, cuts and pauses.

use std::collections::BTreeMap;
use std::time::Duration;

use membership::{Cell, CellTerms, Contact, EndpointSpec, Load, Output};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::messages::Packet;
use state::Version;

pub const SEED: u64 = 20261202;
pub const STEP: Duration = Duration::from_millis(50);

/// Checks a property over seeded cases: the verdict is the same every time.
pub fn check(cases: u64, property: fn(u64) -> bool) {
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(cases)
        .quickcheck(property);
}

pub struct Peer {
    pub cell: Cell,
    pub cell_name: String,
    pub alive: bool,
    pub leaving: BTreeMap<String, Duration>,
    pub version: Version,
    pub heard_version: i64,
    pub reads: Vec<String>,
}

pub struct Net {
    pub peers: Vec<Peer>,
    pub rng: ChaCha8Rng,
    pub loss: f64,
    /// Nodes below this number are parted from the rest.
    pub cut: Option<usize>,
    /// What endpoints would answer to a reading.
    pub loads: BTreeMap<String, Load>,
    pub now: Duration,
    pub sent: u64,
    queue: Vec<(Duration, usize, usize, Box<Packet>)>,
}

pub fn address(n: usize) -> String {
    format!("10.0.0.{n}:7000")
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Net {
            peers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            cut: None,
            loads: BTreeMap::new(),
            now: Duration::ZERO,
            sent: 0,
            queue: Vec::new(),
        }
    }

    /// Adds a node that knows the first nodes as contacts, and reads these endpoints.
    pub fn add(&mut self, cell_name: &str, endpoints: &[&str]) -> usize {
        let n = self.peers.len();
        let cell = self.start(n, cell_name, endpoints);
        self.peers.push(Peer {
            cell,
            cell_name: cell_name.into(),
            alive: true,
            leaving: BTreeMap::new(),
            version: Version::default(),
            heard_version: 0,
            reads: Vec::new(),
        });
        n
    }

    fn start(&mut self, n: usize, cell_name: &str, endpoints: &[&str]) -> Cell {
        let incarnation = 1 + self.now.as_millis() as i64;
        let mut cell = Cell::new(CellTerms {
            name: format!("n{n}"),
            cell: cell_name.into(),
            address: address(n),
            incarnation,
        });
        let spec = |name: &&str| EndpointSpec {
            name: name.to_string(),
            pool: "chat".into(),
            slots: 8,
        };
        cell.set_endpoints(endpoints.iter().map(spec).collect());
        let seeds = (0..self.peers.len().min(3)).map(|m| Contact {
            name: format!("n{m}"),
            cell: self.peers[m].cell_name.clone(),
            address: address(m),
        });
        cell.set_contacts(seeds.collect());
        cell
    }

    pub fn outputs(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send(n, &to, packet),
                Output::Leaves(name, left) => {
                    self.peers[n].leaving.entry(name).or_insert(self.now + left);
                }
                Output::Replaced(name) => drop(self.peers[n].leaving.remove(&name)),
                Output::ReadLoads(names) => self.peers[n].reads = names,
                Output::ConfigHeard(_, version) => {
                    let peer = &mut self.peers[n];
                    peer.heard_version = peer.heard_version.max(version.number);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, packet: Box<Packet>) {
        let Some(to) = (0..self.peers.len()).find(|n| address(*n) == to) else {
            return;
        };
        self.sent += 1;
        let parted = self.cut.is_some_and(|c| (from < c) != (to < c));
        if parted || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.loss > 0.0 && self.rng.random_ratio(1, 20) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(1..40));
            self.queue
                .push((self.now + delay, from, to, packet.clone()));
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.queue = later;
        for (_, _, to, packet) in due {
            if self.peers[to].alive {
                let outputs = self.peers[to].cell.take(now, &packet);
                self.outputs(to, outputs);
            }
        }
        for n in 0..self.peers.len() {
            if !self.peers[n].alive {
                continue;
            }
            let outputs = self.peers[n].cell.tick(now, &mut self.rng);
            self.outputs(n, outputs);
            for name in std::mem::take(&mut self.peers[n].reads) {
                let load = self.loads.get(&name).copied();
                let outputs = self.peers[n].cell.read(now, &name, load);
                self.outputs(n, outputs);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Whether every living node knows exactly the living nodes of its cell.
    pub fn agrees(&self) -> bool {
        let alive = |cell: &str| {
            self.peers
                .iter()
                .filter(|p| p.alive && p.cell_name == cell)
                .count()
        };
        let living = self.peers.iter().filter(|p| p.alive);
        living
            .into_iter()
            .all(|p| p.cell.size() == alive(&p.cell_name))
    }
}

pub fn load(running: u32, incarnation: i64) -> Load {
    Load {
        running,
        queued: 0,
        incarnation,
        leaving_in: None,
    }
}
