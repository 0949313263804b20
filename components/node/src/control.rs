//! The control thread: owns the control state, carries out its actions and publishes what traffic
//! threads read.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use control::{Action, Core, CoreTerms, Event, TeamLimit};
use flume::{Receiver, RecvTimeoutError, Sender};
use membership::{Contact, EndpointSpec, NodeIdentity};
use provider::{body_hash, ReclaimNotice};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{CacheEvent, CacheUpdate, Reading};
use schema::messages::{Packet, Summary};
use schema::settings::{Configuration, PoolKind};
use slog::{error, info, warn};
use state::Version;
use telemetry::Counter;
use transport::{seal_packet, CacheEventBody, Key};

use crate::jobs::{Job, Jobs, Target};
use crate::moves::Waves;
use crate::orders::Orders;
use crate::shared::{unix_millis, Shared};
use crate::snapshot::Snapshot;

const TICK: Duration = Duration::from_millis(50);
/// Time over which the demand of teams is measured.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two updates of what `status` shows.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// What the control thread is reported.
#[derive(Debug)]
pub enum ControlEvent {
    /// Something for the control state.
    Core(Event),
    /// The cloud answered with notices, or did not answer.
    Notices(Option<Vec<ReclaimNotice>>),
    /// The cloud answered with its list, or did not answer.
    Listed(Option<Vec<Contact>>),
    /// An engine reported changes of its cache.
    Cache {
        /// Endpoint.
        endpoint: String,
        /// The changes, in their order.
        changes: Vec<CacheEventBody>,
    },
    /// An order was carried out, or failed.
    Ordered {
        /// Endpoint.
        endpoint: String,
        /// Epoch of the order.
        epoch: i64,
        /// Whether the endpoint took it.
        done: bool,
    },
    /// The node stops as planned.
    BeginStop,
    /// End the thread.
    End,
}

/// The control state and all that its actions need.
pub struct Control {
    shared: Arc<Shared>,
    core: Core,
    rng: ChaCha8Rng,
    socket: UdpSocket,
    key: Key,
    jobs: Jobs,
    orders: Orders,
    waves: Waves,
    demand_at: Duration,
    status_at: Duration,
    last_notice: u64,
}

/// Of the node's platform calls, those that the control state may make: one in four, since claims
/// come with the traffic.
pub fn control_rate(platform_rate: u64) -> u64 {
    (platform_rate / 4).max(1)
}

impl Control {
    /// The control state of a node that listens for datagrams at `socket`.
    pub fn new(shared: &Arc<Shared>, socket: UdpSocket, events: Sender<ControlEvent>) -> Self {
        let settings = &shared.settings;
        let address = socket.local_addr().map(|a| a.to_string());
        let terms = CoreTerms {
            cell: NodeIdentity {
                name: settings.name.clone(),
                cell: settings.cell.clone(),
                address: address.unwrap_or_else(|_| settings.peer_listen.clone()),
                incarnation: unix_millis(),
            },
            region: settings.region.clone(),
            platform_rate: control_rate(settings.platform_rate as u64),
            seeds: settings.seeds.len(),
        };
        Control {
            core: Core::new(shared.now(), terms),
            rng: ChaCha8Rng::seed_from_u64(rand::random()),
            key: Key::new(&settings.peer_key),
            jobs: Jobs::start(shared, events),
            orders: Orders::default(),
            waves: Waves::default(),
            demand_at: Duration::ZERO,
            status_at: Duration::ZERO,
            last_notice: 0,
            shared: Arc::clone(shared),
            socket,
        }
    }

    /// Runs until [`ControlEvent::End`].
    pub fn run(&mut self, events: &Receiver<ControlEvent>) {
        self.bootstrap();
        self.list_seeds();
        let mut next_tick = self.shared.now();
        loop {
            let wait = next_tick.saturating_sub(self.shared.now());
            match events.recv_timeout(wait) {
                Ok(ControlEvent::End) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.shared.now() >= next_tick {
                next_tick = self.shared.now() + TICK;
                self.tick();
            }
        }
    }

    fn bootstrap(&mut self) {
        let file = self.shared.settings.bootstrap.clone();
        if file.is_empty() {
            return;
        }
        let body = match std::fs::read_to_string(&file) {
            Ok(body) => body,
            Err(e) => return error!(self.shared.log, "bootstrap not read"; "error" => %e),
        };
        let version = Version {
            number: 0,
            hash: body_hash(&body),
        };
        self.core.bootstrap(self.shared.now(), version.hash.clone());
        self.apply(version, body);
    }

    fn list_seeds(&mut self) {
        let seeds = self.shared.settings.seeds.iter();
        let contact = |address: &String| Contact {
            name: address.clone(),
            cell: String::new(),
            address: address.clone(),
        };
        let contacts = seeds.map(contact).collect();
        self.step(Event::Seeds(contacts));
    }

    fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Core(event) => self.step(event),
            ControlEvent::Notices(notices) => self.take_notices(notices),
            ControlEvent::Listed(contacts) => {
                self.core.gate().note(contacts.is_some());
                if let Some(contacts) = contacts {
                    self.step(Event::Listed(contacts));
                }
            }
            ControlEvent::Ordered {
                endpoint,
                epoch,
                done,
            } => {
                self.orders.ended(self.shared.now(), &endpoint, epoch, done);
            }
            ControlEvent::Cache { endpoint, changes } => self.take_cache(&endpoint, changes),
            ControlEvent::BeginStop => self.begin_stop(),
            ControlEvent::End => {}
        }
    }

    fn take_notices(&mut self, notices: Option<Vec<ReclaimNotice>>) {
        self.core.gate().note(notices.is_some());
        for notice in notices.into_iter().flatten() {
            if notice.sequence <= self.last_notice {
                continue;
            }
            self.last_notice = notice.sequence;
            let left = Duration::from_millis(notice.leaving_in_ms);
            if notice.vm == self.shared.settings.name {
                warn!(self.shared.log, "this VM is reclaimed"; "left_ms" => notice.leaving_in_ms);
                self.shared.set_stopping();
                self.begin_stop();
            } else {
                self.step(Event::Notice(notice.vm, left));
            }
        }
    }

    fn take_cache(&self, endpoint: &str, changes: Vec<CacheEventBody>) {
        let mut traffic = self.shared.traffic();
        for change in changes {
            let sequence = change.sequence;
            let update = match change {
                c if c.cleared => CacheUpdate::Cleared,
                c if c.evicted.is_empty() => CacheUpdate::Stored(c.stored),
                c => CacheUpdate::Evicted(c.evicted),
            };
            let event = CacheEvent { sequence, update };
            traffic.router.apply_cache_event(endpoint, &event);
        }
    }

    fn begin_stop(&mut self) {
        self.step(Event::Stop);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let demand = self.demand(now);
        self.step(Event::Tick { demand });
        let mut traffic = self.shared.traffic();
        traffic.release_waiters(now);
        self.waves.plan_due(now, &traffic);
        drop(traffic);
        if self.core.is_current() && !self.shared.is_ready() {
            self.shared.set_ready();
        }
        self.send_orders(now);
        if now >= self.status_at {
            self.status_at = now + STATUS_INTERVAL;
            self.shared
                .set_control_status(crate::status::control_status(&self.core, now));
        }
    }

    fn demand(&mut self, now: Duration) -> Vec<(String, u64)> {
        let passed = now.saturating_sub(self.demand_at);
        if passed < DEMAND_INTERVAL {
            return Vec::new();
        }
        self.demand_at = now;
        let asked = self.shared.traffic().take_demand();
        let rate = |count: u64| count * 1_000_000 / passed.as_millis().max(1) as u64;
        asked
            .into_iter()
            .map(|(team, count)| (team, rate(count)))
            .collect()
    }

    fn step(&mut self, event: Event) {
        let now = self.shared.now();
        let actions = self.core.step(now, event, &mut self.rng);
        let mut leaving = BTreeMap::new();
        for action in actions {
            match action {
                Action::Leave(name, left) => drop(leaving.insert(name, left)),
                action => self.act(now, action),
            }
        }
        if !leaving.is_empty() {
            self.leave(now, &leaving);
        }
    }

    fn act(&mut self, now: Duration, action: Action) {
        match action {
            Action::Send { to, packet } => self.send(&to, &packet),
            Action::ReadLoads(names) => self.read_loads(names),
            Action::ReadNotices => self.jobs.give(Job::Notices(self.last_notice)),
            Action::ListVms => self.jobs.give(Job::ListVms),
            Action::Table(id, call) => self.jobs.give(Job::Table(id, call)),
            Action::FetchFromPeer { address, hash } => {
                self.jobs.give(Job::FetchFromPeer { address, hash });
            }
            Action::FetchFromStore { hash } => self.jobs.give(Job::FetchFromStore { hash }),
            Action::Apply { version, body } => self.apply(version, body),
            Action::UseLoad(name, load, age) => {
                let at = now.saturating_sub(age);
                let reading = Reading {
                    running: load.running,
                    queued: load.queued,
                    at,
                };
                self.shared.traffic().router.record_reading(&name, reading);
            }
            Action::UseSummary(summary) => self.use_summary(now, &summary),
            Action::Leave(..) => {}
            Action::Return(name) => {
                info!(self.shared.log, "endpoint replaced"; "endpoint" => &name);
                self.shared.traffic().router.replaced(&name);
                self.orders.forget(&name);
            }
            Action::Suspect(name) => self.shared.traffic().router.failed(now, &name),
            Action::SetPart(team, part) => self.set_part(now, &team, part),
            Action::LeaseGained(epoch) => {
                info!(self.shared.log, "lease gained"; "epoch" => epoch);
            }
            Action::LeaseLost => info!(self.shared.log, "lease lost"),
        }
    }

    fn send(&self, to: &str, packet: &Packet) {
        let Ok(bytes) = seal_packet(&self.key, packet) else {
            return self.shared.metrics.count(Counter::PacketsDropped);
        };
        if self.socket.send_to(&bytes, to).is_ok() {
            self.shared.metrics.count(Counter::PacketsSent);
            self.shared
                .metrics
                .add(Counter::BytesSent, bytes.len() as u64);
        }
    }

    fn read_loads(&self, names: Vec<String>) {
        let snapshot = self.shared.snapshot.load();
        let pools = &snapshot.configuration.pools;
        let is_model = |pool: &str| {
            pools
                .iter()
                .any(|p| p.name == pool && p.kind == PoolKind::MODEL)
        };
        let traffic = self.shared.traffic();
        let states = names.iter().filter_map(|name| traffic.router.state(name));
        let targets: Vec<Target> = states
            .map(|state| Target {
                endpoint: state.spec.name.clone(),
                address: state.spec.address.clone(),
                has_cache: is_model(&state.spec.pool),
            })
            .collect();
        drop(traffic);
        targets
            .into_iter()
            .for_each(|target| self.jobs.read(target));
    }

    // The mean of another cell stands for each of its endpoints.
    fn use_summary(&self, now: Duration, summary: &Summary) {
        if summary.endpoints <= 0 {
            return;
        }
        let mut traffic = self.shared.traffic();
        let of_cell: Vec<(String, u32)> = traffic
            .router
            .states()
            .iter()
            .filter(|s| s.spec.pool == summary.pool && s.spec.hall == summary.cell)
            .map(|s| (s.spec.name.clone(), s.spec.slots.max(0) as u32))
            .collect();
        let free = (summary.free_slots / summary.endpoints).max(0) as u32;
        let queued = (summary.queued / summary.endpoints).max(0) as u32;
        for (name, slots) in of_cell {
            let running = slots.saturating_sub(free);
            traffic.router.record_reading(
                &name,
                Reading {
                    running,
                    queued,
                    at: now,
                },
            );
        }
    }

    fn set_part(&self, now: Duration, team: &str, part: u64) {
        let snapshot = self.shared.snapshot.load();
        let team = snapshot.configuration.teams.iter().find(|t| t.name == team);
        if let Some(team) = team {
            self.shared.traffic().set_part(now, team, part);
        }
    }

    fn leave(&mut self, now: Duration, leaving: &BTreeMap<String, Duration>) {
        let names: Vec<&String> = leaving.keys().collect();
        info!(self.shared.log, "endpoints leave"; "endpoints" => ?names);
        let mut traffic = self.shared.traffic();
        for (name, left) in leaving {
            traffic.router.leave(name, now + *left);
            self.waves.add(now, &traffic, name, *left);
        }
        self.waves.plan_due(now, &traffic);
    }

    fn apply(&mut self, version: Version, body: String) {
        let configuration = match settings::read_configuration("configuration", &body) {
            Ok(configuration) => configuration,
            // It was checked before it was accepted: this node is older than whoever did.
            Err(faults) => {
                return error!(self.shared.log, "configuration not usable; upgrade this node";
                    "version" => version.number, "faults" => %faults);
            }
        };
        let now = self.shared.now();
        self.shared.traffic().configure(now, &configuration);
        info!(self.shared.log, "configuration in force"; "version" => version.number);
        self.shared.metrics.count(Counter::ConfigurationsApplied);
        let event = self.configured(&configuration);
        self.shared.snapshot.store(Arc::new(Snapshot {
            version,
            body,
            configuration,
        }));
        self.step(event);
    }

    fn configured(&self, configuration: &Configuration) -> Event {
        let halls = &self.shared.settings.cell_halls;
        let of_cell = configuration
            .endpoints
            .iter()
            .filter(|e| halls.contains(&e.hall));
        let spec = |e: &schema::settings::Endpoint| EndpointSpec {
            name: e.name.clone(),
            pool: e.pool.clone(),
            slots: e.slots.max(0) as u32,
        };
        let limit = |t: &schema::settings::Team| TeamLimit {
            name: t.name.clone(),
            rate_milli: t.rate.max(0) as u64 * 1000,
        };
        Event::Configured {
            endpoints: of_cell.map(spec).collect(),
            teams: configuration.teams.iter().map(limit).collect(),
            cells: 1 + configuration
                .halls
                .iter()
                .filter(|h| !halls.contains(&h.name))
                .count(),
        }
    }

    fn send_orders(&mut self, now: Duration) {
        let Some((epoch, until)) = self.core.order_window(now) else {
            return;
        };
        let snapshot = self.shared.snapshot.load();
        let region = &self.shared.settings.region;
        for order in self.orders.due(now, epoch, &snapshot.configuration, region) {
            self.jobs.give(Job::Order { order, until });
        }
    }
}
