//! Nodes of several cells that exchange packets in virtual time, with loss, delay, duplication and
//! partitions.

use std::collections::BTreeMap;
use std::time::Duration;

use fakes::Wire;
use membership::{Cell, Contact, EndpointSpec, Load, NodeIdentity, Output};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use schema::messages::Packet;
use state::Version;

pub const STEP: Duration = Duration::from_millis(50);

pub struct Peer {
    pub cell: Cell,
    pub cell_name: String,
    pub alive: bool,
    pub leaving: BTreeMap<String, Duration>,
    pub version: Version,
    pub received_version: i64,
    pub due_reads: Vec<String>,
}

pub struct TestNetwork {
    pub peers: Vec<Peer>,
    pub rng: ChaCha8Rng,
    pub wire: Wire<Box<Packet>>,
    /// Load that each endpoint answers with; an endpoint that is not listed does not answer.
    pub loads: BTreeMap<String, Load>,
    pub now: Duration,
}

pub fn address(n: usize) -> String {
    format!("10.0.0.{n}:7000")
}

impl TestNetwork {
    pub fn new(seed: u64) -> Self {
        TestNetwork {
            peers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            wire: Wire::default(),
            loads: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    /// Adds a node that knows the first three nodes as contacts, in a cell with these endpoints.
    pub fn add(&mut self, cell_name: &str, endpoints: &[&str]) -> usize {
        let n = self.peers.len();
        let cell = self.start(n, cell_name, endpoints);
        self.peers.push(Peer {
            cell,
            cell_name: cell_name.into(),
            alive: true,
            leaving: BTreeMap::new(),
            version: Version::default(),
            received_version: 0,
            due_reads: Vec::new(),
        });
        n
    }

    fn start(&mut self, n: usize, cell_name: &str, endpoints: &[&str]) -> Cell {
        let incarnation = 1 + self.now.as_millis() as i64;
        let mut cell = Cell::new(NodeIdentity {
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
        cell.add_contacts(seeds.collect());
        cell
    }

    pub fn apply_outputs(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send(n, &to, packet),
                Output::EndpointLeaving(name, time_left) => {
                    self.peers[n]
                        .leaving
                        .entry(name)
                        .or_insert(self.now + time_left);
                }
                Output::EndpointReplaced(name) => drop(self.peers[n].leaving.remove(&name)),
                Output::ReadLoads(names) => self.peers[n].due_reads = names,
                Output::ConfigVersionReceived(_, version) => {
                    let peer = &mut self.peers[n];
                    peer.received_version = peer.received_version.max(version.number);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, packet: Box<Packet>) {
        let Some(to) = (0..self.peers.len()).find(|n| address(*n) == to) else {
            return;
        };
        self.wire.send(self.now, from, to, packet, &mut self.rng);
    }

    /// Separates the nodes with numbers below `below` from the rest.
    pub fn partition(&mut self, below: usize) {
        self.wire.groups = (0..below).map(|n| (n, 1)).collect();
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for (_, to, packet) in self.wire.due(now) {
            if self.peers[to].alive {
                let outputs = self.peers[to].cell.receive(now, &packet);
                self.apply_outputs(to, outputs);
            }
        }
        for n in 0..self.peers.len() {
            if !self.peers[n].alive {
                continue;
            }
            let outputs = self.peers[n].cell.tick(now, &mut self.rng);
            self.apply_outputs(n, outputs);
            for name in std::mem::take(&mut self.peers[n].due_reads) {
                let load = self.loads.get(&name).copied();
                let outputs = self.peers[n].cell.record_load(now, &name, load);
                self.apply_outputs(n, outputs);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Whether every live node counts as many active members as its cell has live nodes.
    pub fn has_converged(&self) -> bool {
        let live_count = |cell: &str| {
            self.peers
                .iter()
                .filter(|p| p.alive && p.cell_name == cell)
                .count()
        };
        let live_peers = self.peers.iter().filter(|p| p.alive);
        live_peers
            .into_iter()
            .all(|p| p.cell.size() == live_count(&p.cell_name))
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
