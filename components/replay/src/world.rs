//! The event loop of a replay.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::Duration;

use fleet::{plan_moves, wait_before_moves, Move, MoveRates, Stream as Moving, Target};
use limits::{Verdict, Waiter};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Ask, Policy, Reading};
use schema::settings::{Endpoint, PriceClass, Priority};
use session::{Action, Cause, Event, Failure, Outcome, Reason};

use crate::engine::{Engine, PREFILL_US, SERVICE_TIME, TOKEN_INTERVAL};
use crate::node::Node;
use crate::report::Report;
use crate::request::{Request, BLOCK_TOKENS};
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
        match gate.enter(waiter, utilization) {
            Verdict::Run => self.start(id),
            Verdict::Wait => self.make_room(node, &pool),
            Verdict::Shed(_) => {
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
        let Some(id) = gate.to_yield(&running, utilization) else {
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
        let waiter = self.waiter(id);
        let (node, pool) = (self.requests[id].node, self.requests[id].line.pool.clone());
        let (_, gate) = self.nodes[node].gate(self.now, &pool);
        gate.leave(&waiter);
    }

    fn release(&mut self, node: usize) {
        let pools: Vec<String> = self.nodes[node].gates.keys().cloned().collect();
        for pool in pools {
            loop {
                let (utilization, gate) = self.nodes[node].gate(self.now, &pool);
                let Some(waiter) = gate.release(utilization) else {
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
            self.nodes[node].retries.earn();
            self.nodes[node].hedges.earn();
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

    // The endpoint's slot is free again.
    fn close(&mut self, stream: usize) {
        if std::mem::replace(&mut self.streams[stream].over, true) {
            return;
        }
        let (engine, id) = (self.streams[stream].engine, self.streams[stream].request);
        let held = self.now - self.streams[stream].sent_at;
        self.engines[engine].remove(stream);
        let node = self.requests[id].node;
        let name = self.engines[engine].spec.name.clone();
        self.nodes[node].router.ended(&name, held);
        self.begin(engine);
        self.release(node);
    }

    fn send(&mut self, id: usize, attempt: u32, from: u64, cause: Cause) {
        if self.requests[id].outcome.is_some() {
            return;
        }
        let node = self.requests[id].node;
        if cause == Cause::Retry && !self.nodes[node].retries.spend() {
            return self.step(id, Event::NoEndpoint { attempt });
        }
        let Some((name, import)) = self.choose(id) else {
            if cause == Cause::First {
                return self.step(id, Event::NoEndpoint { attempt });
            }
            let cause = Cause::Move;
            let again = Happening::Send {
                request: id,
                attempt,
                from,
                cause,
            };
            return self.push(self.now + LOOK_AGAIN, again);
        };
        self.dispatch(id, attempt, from, &name, import);
        if cause == Cause::First && self.requests[id].line.class < 2 {
            let at = self.now + self.requests[id].target() * HEDGE_TARGETS;
            self.push(
                at,
                Happening::Hedge {
                    request: id,
                    attempt,
                },
            );
        }
    }

    fn choose(&mut self, id: usize) -> Option<(String, Option<Duration>)> {
        let request = &self.requests[id];
        let node = &mut self.nodes[request.node];
        let ask = |exclude| Ask {
            pool: &request.line.pool,
            prompt: &request.prompt,
            priority: Priority(request.line.class),
            target: request.target(),
            latency_weight: request.line.weight,
            exclude,
        };
        if let Some((name, import)) = self.planned.remove(&id) {
            if node
                .router
                .state(&name)
                .is_some_and(|s| s.is_usable(self.now))
            {
                node.router.sent(&name, &ask(&[]));
                return Some((name, import));
            }
        }
        let chosen = node
            .router
            .choose(self.now, &ask(&request.excluded), &mut self.rng);
        let chosen = chosen.or_else(|| node.router.choose(self.now, &ask(&[]), &mut self.rng))?;
        let name = chosen.chosen.endpoint;
        node.router.sent(&name, &ask(&[]));
        Some((name, None))
    }

    fn dispatch(
        &mut self,
        id: usize,
        attempt: u32,
        from: u64,
        name: &str,
        import: Option<Duration>,
    ) {
        let engine = self.by_name[name];
        let stream = self.streams.len();
        self.streams.push(Stream {
            request: id,
            attempt,
            engine,
            from,
            sent_at: self.now,
            first_at: None,
            import,
            over: false,
        });
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.live.push((attempt, stream));
        if self.engines[engine].gone {
            // The connection is refused: it did not start.
            return self.fail(stream, Failure::NotStarted);
        }
        let late = |at: Duration| self.now > at + LATE_START;
        self.totals.late_starts += u64::from(self.engines[engine].noticed_at.is_some_and(late));
        self.engines[engine].enqueue(self.requests[id].line.class, stream);
        self.begin(engine);
    }

    // Starts what can be started at an endpoint.
    fn begin(&mut self, engine: usize) {
        while let Some(stream) = self.engines[engine].next() {
            let id = self.streams[stream].request;
            self.requests[id].started += 1;
            let first = self.now + self.time_to_first(stream, engine);
            self.streams[stream].first_at = Some(first);
            self.push(first, Happening::First(stream));
            if !self.requests[id].is_service() {
                let left = u64::from(self.requests[id].line.tokens) - self.streams[stream].from;
                let end = first + TOKEN_INTERVAL * left.saturating_sub(1) as u32;
                self.push(end, Happening::End(stream));
            }
        }
    }

    fn time_to_first(&mut self, stream: usize, engine: usize) -> Duration {
        let Stream {
            request,
            from,
            import,
            ..
        } = self.streams[stream];
        if self.requests[request].is_service() {
            return SERVICE_TIME;
        }
        let blocks = self.requests[request].blocks_with(from);
        let cached = self.engines[engine].prefill(&blocks);
        if let Some(import) = import {
            return import + TOKEN_INTERVAL;
        }
        let context = u64::from(self.requests[request].line.prompt_tokens) + from;
        let missing = context - cached as u64 * u64::from(BLOCK_TOKENS);
        let known = blocks[cached..]
            .iter()
            .filter(|b| !self.computed.insert(**b))
            .count();
        self.totals.prefilled += missing;
        self.totals.recomputed += known as u64 * u64::from(BLOCK_TOKENS);
        Duration::from_micros(missing * PREFILL_US) + TOKEN_INTERVAL
    }

    // Hands the caller all parts that the stream has made by now.
    fn deliver(&mut self, stream: usize) {
        let Stream {
            request: id,
            attempt,
            engine,
            from,
            over,
            ..
        } = self.streams[stream];
        if over || self.is_stalled(engine) {
            return;
        }
        let Some(first) = self.streams[stream].first_at.filter(|at| *at <= self.now) else {
            return;
        };
        let made = 1 + (self.now - first).as_millis() as u64 / TOKEN_INTERVAL.as_millis() as u64;
        let total = u64::from(self.requests[id].line.tokens);
        for offset in self.requests[id].parts.max(from)..(from + made).min(total) {
            let part = part_of(id, offset);
            self.step(
                id,
                Event::Part {
                    attempt,
                    offset,
                    part,
                },
            );
        }
        if self.requests[id].is_service() {
            self.end(stream);
        }
    }

    fn is_stalled(&self, engine: usize) -> bool {
        let since = self.stalled.get(&self.engines[engine].spec.pool);
        since.is_some_and(|at| self.now >= *at)
    }

    fn end(&mut self, stream: usize) {
        let Stream {
            request: id,
            attempt,
            engine,
            over,
            ..
        } = self.streams[stream];
        if over {
            return;
        }
        if !self.requests[id].is_service() {
            self.deliver(stream);
        }
        let total = u64::from(self.requests[id].line.tokens);
        let blocks = self.requests[id].blocks_with(total);
        self.engines[engine].prefill(&blocks);
        self.computed.extend(blocks);
        self.step(id, Event::End { attempt, total });
    }

    fn end_stalls(&mut self) {
        self.stalled.clear();
        let live: Vec<usize> = (0..self.streams.len())
            .filter(|s| !self.streams[*s].over)
            .collect();
        live.into_iter().for_each(|s| self.deliver(s));
    }

    fn catch_up(&mut self, id: usize) {
        let live: Vec<usize> = self.requests[id].live.iter().map(|(_, s)| *s).collect();
        live.into_iter().for_each(|s| self.deliver(s));
    }

    fn hedge(&mut self, id: usize, attempt: u32) {
        let request = &self.requests[id];
        let waits = request.outcome.is_none() && request.first_at.is_none();
        let same = request.live.iter().any(|(a, _)| *a == attempt);
        if waits && same && self.nodes[request.node].hedges.spend() {
            self.step(id, Event::Hedge);
        }
    }

    fn fail(&mut self, stream: usize, failure: Failure) {
        let Stream {
            request: id,
            attempt,
            engine,
            ..
        } = self.streams[stream];
        let name = self.engines[engine].spec.name.clone();
        self.requests[id].live.retain(|(_, s)| *s != stream);
        self.close(stream);
        let node = self.requests[id].node;
        self.nodes[node].router.failed(self.now, &name);
        self.requests[id].excluded.push(name);
        self.step(id, Event::Failed { attempt, failure });
    }

    fn notice(&mut self, notice: &NoticeLine) {
        let hit = |e: &Engine| {
            let hall = notice.hall.as_ref() == Some(&e.spec.hall);
            let reclaimable = e.spec.price_class == PriceClass::RECLAIMABLE;
            (hall && reclaimable) || notice.endpoint.as_ref() == Some(&e.spec.name)
        };
        let hit: Vec<usize> = (0..self.engines.len())
            .filter(|n| hit(&self.engines[*n]))
            .collect();
        let gone_at = self.now + ms(notice.left_ms);
        for engine in &hit {
            self.engines[*engine].noticed_at.get_or_insert(self.now);
            self.push(gone_at, Happening::Gone(*engine));
        }
        for node in 0..self.nodes.len() {
            let news = if node == 0 {
                Duration::ZERO
            } else {
                NEWS_DELAY
            };
            let at = self.now + NOTICE_DELAY + news;
            self.push(
                at,
                Happening::Learned {
                    node,
                    endpoints: hit.clone(),
                    gone_at,
                },
            );
        }
    }

    fn learn(&mut self, node: usize, endpoints: &[usize], gone_at: Duration) {
        for endpoint in endpoints {
            let name = self.engines[*endpoint].spec.name.clone();
            self.nodes[node].router.leave(&name, gone_at);
        }
        if !self.moves {
            return;
        }
        for endpoint in endpoints {
            let streams = self.moving(node, *endpoint);
            let left = gone_at.saturating_sub(self.now);
            let wait = wait_before_moves(&streams, left, rates());
            let happening = Happening::MoveStreams {
                node,
                endpoint: *endpoint,
                gone_at,
            };
            self.push(self.now + wait, happening);
        }
    }

    fn move_streams(&mut self, node: usize, endpoint: usize, gone_at: Duration) {
        let left = gone_at.saturating_sub(self.now);
        let name = self.engines[endpoint].spec.name.clone();
        let pool = self.engines[endpoint].spec.pool.clone();
        let streams = self.moving(node, endpoint);
        let targets = self.targets(node, &pool);
        let left = BTreeMap::from([(name, left)]);
        for (id, planned) in plan_moves(self.now, &streams, &left, &targets, rates()) {
            self.relocate(id as usize, planned);
        }
    }

    fn moving(&mut self, node: usize, engine: usize) -> Vec<Moving> {
        let endpoint = self.engines[engine].spec.name.clone();
        let mut moving = Vec::new();
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            let live = request.live.first().copied();
            let Some((_, stream)) = live.filter(|_| request.node == node && !request.is_service())
            else {
                continue;
            };
            if self.streams[stream].engine != engine {
                continue;
            }
            self.catch_up(id);
            let request = &self.requests[id];
            moving.push(Moving {
                id: id as u64,
                endpoint: endpoint.clone(),
                priority: Priority(request.line.class),
                deadline: request.deadline(),
                context_tokens: u64::from(request.line.prompt_tokens) + request.parts,
                left_tokens: u64::from(request.line.tokens) - request.parts,
                repeatable: request.line.repeatable,
            });
        }
        moving
    }

    fn targets(&self, node: usize, pool: &str) -> Vec<Target> {
        let states = self.nodes[node].router.states();
        let gone: Vec<&str> = states
            .iter()
            .filter(|s| s.leaving_at.is_some())
            .map(|s| s.spec.hall.as_str())
            .collect();
        let usable = states
            .iter()
            .filter(|s| s.spec.pool == pool && s.is_usable(self.now));
        usable
            .map(|s| Target {
                endpoint: s.spec.name.clone(),
                free_slots: (s.spec.slots as u32).saturating_sub(s.load()),
                same_wave: s.is_reclaimable() && gone.contains(&s.spec.hall.as_str()),
            })
            .collect()
    }

    fn relocate(&mut self, id: usize, planned: Move) {
        let Some((attempt, stream)) = self.requests[id].live.first().copied() else {
            return;
        };
        let waits = self.streams[stream].first_at.is_none();
        let context = u64::from(self.requests[id].line.prompt_tokens) + self.requests[id].parts;
        let bytes = context * rates().kv_bytes_per_token;
        let import = ms(bytes * 1000 / rates().link_bytes_per_sec);
        match planned {
            Move::Finish => return,
            // What has not begun has no KV cache.
            Move::Import { target } => {
                let import = (!waits).then_some(import);
                self.planned.insert(id, (target, import));
            }
            Move::Recompute { target } => drop(self.planned.insert(id, (target, None))),
            Move::Requeue => {}
        }
        self.totals.moves += 1;
        self.step(id, Event::Move { attempt });
    }

    fn go(&mut self, engine: usize) {
        if self.engines[engine].gone {
            return;
        }
        self.engines[engine].go(self.now);
        let hit = |s: &&usize| !self.streams[**s].over && self.streams[**s].engine == engine;
        let all: Vec<usize> = (0..self.streams.len()).collect();
        let broken: Vec<usize> = all.iter().filter(hit).copied().collect();
        for stream in broken {
            self.deliver(stream);
            if !self.streams[stream].over {
                self.fail(stream, Failure::Unknown);
            }
        }
    }

    fn replace(&mut self, engine: usize) {
        self.engines[engine].replace(self.now);
        let name = self.engines[engine].spec.name.clone();
        for node in &mut self.nodes {
            node.router.replaced(&name);
            node.router.answered(&name);
        }
    }

    fn read(&mut self, node: usize) {
        for engine in self.engines.iter().filter(|e| !e.gone) {
            let reading = Reading {
                running: engine.running.len() as u32,
                queued: engine.queue.len() as u32,
                at: self.now,
            };
            self.nodes[node].router.read(&engine.spec.name, reading);
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
