//! Real control states, each with a thread and a socket on the loopback address.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use control::{Action, Core, CoreTerms, Event, TeamLimit};
use membership::{Contact, EndpointSpec, Load, NodeIdentity};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use state::Reply;
use transport::{open_packet, seal_packet, Key, ReplayGuard, MAX_DATAGRAM_BYTES};

use crate::process::{resident_bytes, thread_time};

const TICK: Duration = Duration::from_millis(50);
/// Time in which the cell comes together, not counted.
const WARM_UP: Duration = Duration::from_secs(5);
const TEAMS: usize = 5;
const HEADERS: u64 = 28;

/// Size of a run.
pub struct Loopback {
    /// Nodes.
    pub nodes: usize,
    /// Workers that the nodes read.
    pub workers: usize,
    /// Seconds counted.
    pub secs: u64,
}

/// Means of one node a second.
#[derive(Default)]
pub struct Means {
    sent: f64,
    sent_bytes: f64,
    taken_bytes: f64,
    cpu_milli: f64,
    memory_kb: f64,
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    taken_bytes: AtomicU64,
    cpu_us: AtomicU64,
}

/// Prints the head of the table.
pub fn print_head() {
    println!(
        "{:>6} {:>8} {:>10} {:>10} {:>10} {:>12} {:>10}",
        "nodes", "workers", "packets/s", "B/s out", "B/s in", "core in 1000", "KB a node"
    );
}

/// Prints one row.
pub fn print_row(terms: &Loopback, m: &Means) {
    println!(
        "{:>6} {:>8} {:>10.1} {:>10.0} {:>10.0} {:>12.2} {:>10.0}",
        terms.nodes, terms.workers, m.sent, m.sent_bytes, m.taken_bytes, m.cpu_milli, m.memory_kb
    );
}

/// Runs the nodes and returns their means.
pub fn run(terms: &Loopback) -> Means {
    let before = resident_bytes();
    let sockets: Vec<UdpSocket> = (0..terms.nodes)
        .filter_map(|_| UdpSocket::bind("127.0.0.1:0").ok())
        .collect();
    let addresses: Vec<String> = sockets
        .iter()
        .filter_map(|s| s.local_addr().ok())
        .map(|a| a.to_string())
        .collect();
    let counts = Arc::new(Counts::default());
    let until = Instant::now() + WARM_UP + Duration::from_secs(terms.secs);
    let threads: Vec<_> = sockets
        .into_iter()
        .enumerate()
        .map(|(n, socket)| {
            let (addresses, counts, workers) =
                (addresses.clone(), Arc::clone(&counts), terms.workers);
            thread::spawn(move || Member::new(n, socket, &addresses, workers).run(until, &counts))
        })
        .collect();
    thread::sleep(WARM_UP + Duration::from_secs(terms.secs / 2));
    let memory = resident_bytes().saturating_sub(before);
    threads.into_iter().for_each(|t| drop(t.join()));
    let each = |count: &AtomicU64| {
        count.load(Ordering::Relaxed) as f64 / terms.secs as f64 / terms.nodes as f64
    };
    Means {
        sent: each(&counts.sent),
        sent_bytes: each(&counts.sent_bytes),
        taken_bytes: each(&counts.taken_bytes),
        cpu_milli: each(&counts.cpu_us) / 1000.0,
        memory_kb: memory as f64 / 1024.0 / terms.nodes as f64,
    }
}

struct Member {
    core: Core,
    socket: UdpSocket,
    key: Key,
    guard: ReplayGuard,
    rng: ChaCha8Rng,
    started: Instant,
    sent: u64,
    sent_bytes: u64,
    taken_bytes: u64,
}

impl Member {
    fn new(n: usize, socket: UdpSocket, addresses: &[String], workers: usize) -> Self {
        let cell = NodeIdentity {
            name: format!("entry-{n}"),
            cell: "hall-1".into(),
            address: addresses[n].clone(),
            incarnation: 1_764_000_000_000 + n as i64,
        };
        let terms = CoreTerms {
            cell,
            region: "home".into(),
            platform_rate: 20,
            seeds: 3,
        };
        let mut member = Member {
            core: Core::new(Duration::ZERO, terms),
            socket,
            key: Key::new("0123456789abcdef"),
            guard: ReplayGuard::default(),
            rng: ChaCha8Rng::seed_from_u64(n as u64),
            started: Instant::now(),
            sent: 0,
            sent_bytes: 0,
            taken_bytes: 0,
        };
        member.prepare(addresses, workers);
        member
    }

    fn prepare(&mut self, addresses: &[String], workers: usize) {
        let spec = |w| EndpointSpec {
            name: format!("worker-{w}"),
            pool: "chat".into(),
            slots: 64,
        };
        let endpoints = (0..workers).map(spec).collect();
        let team = |t| TeamLimit {
            name: format!("team-{t}"),
            rate_milli: 1_000_000,
        };
        let teams = (0..TEAMS).map(team).collect();
        self.step(Event::Configured {
            endpoints,
            teams,
            cells: 1,
        });
        let contact = |(n, address): (usize, &String)| Contact {
            name: format!("entry-{n}"),
            cell: "hall-1".into(),
            address: address.clone(),
        };
        let contacts = addresses.iter().take(3).enumerate().map(contact).collect();
        self.step(Event::Seeds(contacts));
    }

    fn run(mut self, until: Instant, counts: &Counts) {
        let warm = Instant::now() + WARM_UP;
        let mut next = Instant::now();
        let mut at_warm = None;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while Instant::now() < until {
            if at_warm.is_none() && Instant::now() >= warm {
                at_warm = Some((thread_time(), self.sent, self.sent_bytes, self.taken_bytes));
            }
            let wait = next.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                next += TICK;
                let demand = (0..TEAMS).map(|t| (format!("team-{t}"), 2500)).collect();
                self.step(Event::Tick { demand });
                continue;
            }
            let _ = self.socket.set_read_timeout(Some(wait));
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.take(&buffer[..length]);
            }
        }
        if let Some((cpu, sent, sent_bytes, taken_bytes)) = at_warm {
            let add = |count: &AtomicU64, n: u64| {
                count.fetch_add(n, Ordering::Relaxed);
            };
            add(&counts.cpu_us, (thread_time() - cpu).as_micros() as u64);
            add(&counts.sent, self.sent - sent);
            add(&counts.sent_bytes, self.sent_bytes - sent_bytes);
            add(&counts.taken_bytes, self.taken_bytes - taken_bytes);
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        self.taken_bytes += bytes.len() as u64 + HEADERS;
        if let Ok(packet) = open_packet(&self.key, &mut self.guard, bytes) {
            self.step(Event::Packet(Box::new(packet)));
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.started.elapsed();
        for action in self.core.step(now, event, &mut self.rng) {
            match action {
                Action::Send { to, packet } => {
                    if let Ok(bytes) = seal_packet(&self.key, &packet) {
                        self.sent += 1;
                        self.sent_bytes += bytes.len() as u64 + HEADERS;
                        let _ = self.socket.send_to(&bytes, to);
                    }
                }
                // The endpoints' answers are stood in for; reading them is counted elsewhere.
                Action::ReadLoads(names) => self.read(names),
                Action::Table(id, _) => self.step(Event::Table(id, Reply::Row(None))),
                _ => {}
            }
        }
    }

    fn read(&mut self, names: Vec<String>) {
        for name in names {
            let load = Load {
                running: 40,
                queued: 2,
                incarnation: 1,
                leaving_in: None,
            };
            self.step(Event::Read(name, Some(load)));
        }
    }
}
