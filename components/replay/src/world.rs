//! The event loop of a replay.

mod reclaim;
mod streams;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

use fleet::MoveRates;
use limits::{AdmissionDecision, Waiter};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Policy, Reading};
use schema::settings::{Endpoint, PriceClass, Priority};
use session::{Action, Cause, Event, Outcome, Reason};

use crate::engine::{Engine, TOKEN_INTERVAL};
use crate::node::Node;
use crate::report::Report;
use crate::request::Request;
use crate::trace::{EndpointLine, Line, NoticeLine, RequestLine};

/// Time between two readings that a node gets of all endpoints.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the other nodes know of a notice that one node read.
const NEWS_DELAY: Duration = Duration::from_millis(60);
/// Time after which the node that reads an endpoint knows of its notice.
const NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Work begun later than this after a notice counts as late.
const LATE_START: Duration = Duration::from_secs(3);
/// Pause before an accepted request looks again for an endpoint.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// A second attempt is made when the first token is this many targets late.
const HEDGE_TARGETS: u32 = 2;

/// How to replay.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Entry nodes.
    pub nodes: usize,
    /// Policy of routing.
    pub policy: Policy,
    /// Seed of all randomness.
    pub seed: u64,
    /// Whether streams are moved at a notice; otherwise they break with their VM and are retried.
    pub moves: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 8,
            policy: Policy::Scored,
            seed: 1,
            moves: true,
        }
    }
}

/// Replays a trace and reports what it showed.
pub fn replay(lines: &[Line], options: Options) -> Report {
    let mut world = World::new(lines, options);
    world.run();
    world.report()
}

#[derive(Clone, Debug)]
enum Happening {
    Arrival(Box<RequestLine>),
    Notice(NoticeLine),
    Learned {
        node: usize,
        endpoints: Vec<usize>,
        gone_at: Duration,
    },
    MoveStreams {
        node: usize,
        endpoint: usize,
        gone_at: Duration,
    },
    Gone(usize),
    Replaced(usize),
    StallEnds,
    Read(usize),
    First(usize),
    End(usize),
    Send {
        request: usize,
        attempt: u32,
        from: u64,
        cause: Cause,
    },
    Hedge {
        request: usize,
        attempt: u32,
    },
    Deadline(usize),
}

struct Timed {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One attempt at an endpoint.
struct Stream {
    request: usize,
    attempt: u32,
    engine: usize,
    from: u64,
    sent_at: Duration,
    first_at: Option<Duration>,
    // How long the import of KV cache takes, if this attempt starts from one.
    import: Option<Duration>,
    over: bool,
}

struct World {
    now: Duration,
    queue: BinaryHeap<Reverse<Timed>>,
    order: u64,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    by_name: BTreeMap<String, usize>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    streams: Vec<Stream>,
    // Target and import time of a request's next attempt.
    planned: BTreeMap<usize, (String, Option<Duration>)>,
    stalled: BTreeMap<String, Duration>,
    computed: HashSet<u64>,
    moves: bool,
    totals: Report,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rates() -> MoveRates {
    MoveRates {
        token_interval: TOKEN_INTERVAL,
        ..MoveRates::default()
    }
}

fn endpoint_of(line: &EndpointLine) -> Endpoint {
    Endpoint {
        name: line.name.clone(),
        pool: line.pool.clone(),
        address: "127.0.0.1:1".into(),
        hall: line.hall.clone(),
        price_class: match line.on_demand {
            true => PriceClass::ON_DEMAND,
            false => PriceClass::RECLAIMABLE,
        },
        price_milli: line.price_milli,
        slots: line.slots,
    }
}

impl World {
    fn new(lines: &[Line], options: Options) -> Self {
        let endpoint = |line: &Line| match line {
            Line::Endpoint(line) => Some(endpoint_of(line)),
            _ => None,
        };
        let endpoints: Vec<Endpoint> = lines.iter().filter_map(endpoint).collect();
        let mut world = World {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            by_name: endpoints
                .iter()
                .enumerate()
                .map(|(n, e)| (e.name.clone(), n))
                .collect(),
            nodes: (0..options.nodes)
                .map(|_| Node::new(&endpoints, options.policy))
                .collect(),
            engines: endpoints.into_iter().map(Engine::new).collect(),
            requests: Vec::new(),
            streams: Vec::new(),
            planned: BTreeMap::new(),
            stalled: BTreeMap::new(),
            computed: HashSet::new(),
            moves: options.moves,
            totals: Report::default(),
        };
        for line in lines {
            world.schedule(line);
        }
        for node in 0..options.nodes {
            let phase = READ_INTERVAL * node as u32 / options.nodes as u32;
            world.push(phase, Happening::Read(node));
        }
        world
    }

    fn schedule(&mut self, line: &Line) {
        match line {
            Line::Request(r) => self.push(ms(r.at), Happening::Arrival(Box::new(r.clone()))),
            Line::Notice(n) => self.push(ms(n.at), Happening::Notice(n.clone())),
            Line::Replaced { at, endpoint } => {
                if let Some(engine) = self.by_name.get(endpoint) {
                    self.push(ms(*at), Happening::Replaced(*engine));
                }
            }
            Line::Stall { at, pool, for_ms } => {
                self.stalled.insert(pool.clone(), ms(*at));
                self.push(ms(at + for_ms), Happening::StallEnds);
            }
            Line::Endpoint(_) | Line::Expect(_) => {}
        }
    }

    fn push(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Timed { at, order, what }));
    }

    fn run(&mut self) {
        while let Some(Reverse(Timed { at, what, .. })) = self.queue.pop() {
            self.now = at;
            let reads = matches!(what, Happening::Read(_));
            self.happen(what);
            if reads && self.is_over() {
                return;
            }
        }
    }

    fn is_over(&self) -> bool {
        let only_reads = |t: &Reverse<Timed>| matches!(t.0.what, Happening::Read(_));
        self.queue.iter().all(only_reads) && self.requests.iter().all(|r| r.outcome.is_some())
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrival(line) => self.arrive(*line),
            Happening::Notice(notice) => self.notice(&notice),
            Happening::Learned {
                node,
                endpoints,
                gone_at,
            } => {
                self.learn(node, &endpoints, gone_at);
            }
            Happening::MoveStreams {
                node,
                endpoint,
                gone_at,
            } => {
                self.move_streams(node, endpoint, gone_at);
            }
            Happening::Gone(engine) => self.go(engine),
            Happening::Replaced(engine) => self.replace(engine),
            Happening::StallEnds => self.end_stalls(),
            Happening::Read(node) => self.read(node),
            Happening::First(stream) => self.deliver(stream),
            Happening::End(stream) => self.end(stream),
            Happening::Send {
                request,
                attempt,
                from,
                cause,
            } => {
                self.send(request, attempt, from, cause);
            }
            Happening::Hedge { request, attempt } => self.hedge(request, attempt),
            Happening::Deadline(request) => {
                self.catch_up(request);
                self.step(request, Event::Tick);
                self.leave_gate(request);
            }
        }
    }

    fn arrive(&mut self, line: RequestLine) {
        let node = self.rng.random_range(0..self.nodes.len());
        let jitter = self.rng.random_range(0..=1000);
        let id = self.requests.len();
        self.requests.push(Request::new(line, node, jitter));
        let deadline = self.requests[id].deadline();
        self.push(deadline, Happening::Deadline(id));
        let waiter = self.waiter(id);
        let pool = self.requests[id].line.pool.clone();
        let (utilization, gate) = self.nodes[node].gate(self.now, &pool);
        match gate.admit(waiter, utilization) {
            AdmissionDecision::Run => self.start(id),
            AdmissionDecision::Wait => self.make_room(node, &pool),
            AdmissionDecision::Shed(_) => {
                self.requests[id].outcome = Some(Outcome::Refused(Reason::NoEndpoint));
            }
        }
    }

    fn waiter(&self, id: usize) -> Waiter {
        let request = &self.requests[id];
        Waiter {
            priority: Priority(request.line.class),
            deadline: request.deadline(),
            id: id as u64,
        }
    }

    fn start(&mut self, id: usize) {
        self.requests[id].accepted = true;
        let begun = self.requests[id].session.next_offset() > 0 || self.requests[id].attempts > 0;
        if !begun {
            self.step(id, Event::Start);
        }
    }

    // A batch stream makes room for a waiting request above it.
    fn make_room(&mut self, node: usize, pool: &str) {
        let of_node = self.requests.iter().enumerate().filter(|(_, r)| {
            r.node == node && r.line.pool == pool && r.outcome.is_none() && !r.live.is_empty()
        });
        let running: Vec<(Priority, u64, Duration)> = of_node
            .map(|(id, r)| (Priority(r.line.class), id as u64, r.arrived()))
            .collect();
        let (utilization, gate) = self.nodes[node].gate(self.now, pool);
        let Some(id) = gate.preemption_victim(&running, utilization) else {
            return;
        };
        let id = id as usize;
        if let Some((attempt, _)) = self.requests[id].live.first().copied() {
            self.catch_up(id);
            self.step(id, Event::Move { attempt });
        }
        self.release(node);
    }

    fn leave_gate(&mut self, id: usize) {
        let (node, pool) = (self.requests[id].node, self.requests[id].line.pool.clone());
        let (_, gate) = self.nodes[node].gate(self.now, &pool);
        gate.remove(id as u64);
    }

    fn release(&mut self, node: usize) {
        let pools: Vec<String> = self.nodes[node].gates.keys().cloned().collect();
        for pool in pools {
            loop {
                let (utilization, gate) = self.nodes[node].gate(self.now, &pool);
                let Some(waiter) = gate.admit_next(utilization) else {
                    break;
                };
                if self.requests[waiter.id as usize].outcome.is_none() {
                    self.start(waiter.id as usize);
                }
            }
        }
    }

    fn step(&mut self, id: usize, event: Event<u64>) {
        for action in self.requests[id].session.step(self.now, event) {
            match action {
                Action::Dispatch {
                    attempt,
                    from,
                    not_before,
                    cause,
                } => {
                    let send = Happening::Send {
                        request: id,
                        attempt,
                        from,
                        cause,
                    };
                    self.push(not_before, send);
                }
                Action::Emit { offset, part, .. } => self.emit(id, offset, part),
                Action::Cancel { attempt } => self.cancel(id, attempt),
                Action::Finish(outcome) => self.finish(id, outcome),
            }
        }
    }

    // The part carries the request and offset that the engine made it for.
    fn emit(&mut self, id: usize, offset: u64, part: u64) {
        let request = &mut self.requests[id];
        let right = part == part_of(id, offset) && offset == request.parts;
        request.wrong_parts += u64::from(!right);
        request.parts += 1;
        request.first_at.get_or_insert(self.now);
    }

    fn finish(&mut self, id: usize, outcome: Outcome) {
        self.requests[id].outcome = Some(outcome);
        if matches!(outcome, Outcome::Done { .. }) {
            let node = self.requests[id].node;
            self.nodes[node].retries.record_success();
            self.nodes[node].hedges.record_success();
        }
        let streams: Vec<usize> = self.requests[id].live.drain(..).map(|(_, s)| s).collect();
        streams.into_iter().for_each(|s| self.close(s));
    }

    fn cancel(&mut self, id: usize, attempt: u32) {
        let live = &mut self.requests[id].live;
        let Some(at) = live.iter().position(|(a, _)| *a == attempt) else {
            return;
        };
        let (_, stream) = live.remove(at);
        self.close(stream);
    }

    fn read(&mut self, node: usize) {
        for engine in self.engines.iter().filter(|e| !e.gone) {
            let reading = Reading {
                running: engine.running.len() as u32,
                queued: engine.queue.len() as u32,
                at: self.now,
            };
            self.nodes[node]
                .router
                .record_reading(&engine.spec.name, reading);
        }
        self.release(node);
        self.push(self.now + READ_INTERVAL, Happening::Read(node));
    }

    fn report(mut self) -> Report {
        let mut report = std::mem::take(&mut self.totals);
        for request in &self.requests {
            count(&mut report, request);
        }
        let cost = |e: &Engine| {
            let price = e.spec.price_milli as u64;
            e.paid(self.now).as_millis() as u64 * price / 3_600_000
        };
        report.cost_milli = self.engines.iter().map(cost).sum();
        report
    }
}

fn part_of(request: usize, offset: u64) -> u64 {
    (request as u64) << 32 | offset
}

fn count(report: &mut Report, request: &Request) {
    let class = &mut report.classes[request.line.class.clamp(0, 2) as usize];
    class.requests += 1;
    report.attempts += u64::from(request.attempts);
    report.wrong_parts += request.wrong_parts;
    report.run_twice += u64::from(!request.line.repeatable && request.started > 1);
    let late = request
        .first_at
        .is_none_or(|at| at > request.arrived() + request.target());
    match request.outcome {
        Some(Outcome::Done { total }) if total == request.parts => {
            class.past_target += u64::from(late);
            class.in_target += u64::from(!late);
        }
        Some(Outcome::Refused(_)) => {
            class.refused += 1;
            report.false_not_run += u64::from(request.started > 0);
        }
        Some(Outcome::Failed(_)) if !request.line.repeatable => report.unknown += 1,
        _ => report.lost += 1,
    }
}
