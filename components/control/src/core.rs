//! The control state and how events change it.

use std::time::Duration;

use membership::{Cell, NodeIdentity, Output};
use rand::{Rng, RngExt};
use schema::messages::MemberState;
use state::{
    ConfigAction, ConfigEvent, ConfigFollower, Lease, LeaseAction, LeaseEvent, LeaseTerms, Reply,
    Version,
};

use crate::event::{Action, CallId, Event};
use crate::gate::{Admitted, PlatformGate, CONTROL_PAUSE};
use crate::shares::Shares;

/// Nodes of a cell that read the table's head row, the notices and the VM list.
const POLLERS: usize = 2;
/// Nodes of a cell that try for the region's lease.
const CANDIDATES: usize = 1;
/// Time between two askings for reclaim notices.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two askings for the VM list; it lags anyway.
const LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Time between two updates of demands and parts.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a renewal of the lease holds.
const LEASE_FOR: Duration = Duration::from_secs(15);
/// Longest time an order takes.
const ORDER_MARGIN: Duration = Duration::from_secs(3);
const LEASE_INTERVAL: Duration = Duration::from_secs(4);

/// Who this node is and what it may use.
#[derive(Clone, Debug)]
pub struct CoreTerms {
    /// Its place in its cell.
    pub cell: NodeIdentity,
    /// Region whose fleet work the lease is for.
    pub region: String,
    /// Platform calls a second it may make.
    pub platform_rate: u64,
    /// Nodes named in its settings.
    pub seeds: usize,
}

/// What `status` shows.
#[derive(Clone, Debug)]
pub struct CoreStatus {
    /// Members as `(name, state, address)`.
    pub members: Vec<(String, MemberState, String)>,
    /// Other cells heard from lately.
    pub other_cells: usize,
    /// Version in force and since when.
    pub version: Option<(Version, Duration)>,
    /// Versions that other nodes were last heard with, and since when.
    pub peer_versions: Vec<(String, i64, Duration)>,
    /// Holder and epoch of the region's lease, as last read.
    pub lease: Option<(String, i64)>,
}

/// All control state of one node.
#[derive(Debug)]
pub struct Core {
    cell: Cell,
    follower: ConfigFollower,
    lease: Lease,
    shares: Shares,
    gate: PlatformGate,
    notices_at: Duration,
    list_at: Duration,
    shares_at: Duration,
    seeds: u64,
    stopping: bool,
}

impl Core {
    /// A node that knows nothing yet.
    pub fn new(now: Duration, terms: CoreTerms) -> Self {
        let lease = LeaseTerms {
            key: format!("lease/{}", terms.region),
            node: terms.cell.name.clone(),
            duration: LEASE_FOR,
            margin: ORDER_MARGIN,
            interval: LEASE_INTERVAL,
        };
        let name = &terms.cell.name;
        Core {
            shares: Shares::new(name, &terms.cell.cell, terms.cell.incarnation),
            gate: PlatformGate::new(now, terms.platform_rate, CONTROL_PAUSE),
            follower: ConfigFollower::default(),
            lease: Lease::new(lease),
            cell: Cell::new(terms.cell),
            notices_at: Duration::ZERO,
            list_at: Duration::ZERO,
            shares_at: Duration::ZERO,
            seeds: terms.seeds as u64,
            stopping: false,
        }
    }

    /// Puts a bootstrap file in force on a node that has nothing yet.
    pub fn bootstrap(&mut self, now: Duration, hash: String) {
        self.follower.bootstrap(now, hash);
    }

    /// Whether the node may serve: it has the newest configuration it could learn of.
    pub fn is_current(&self) -> bool {
        self.follower.is_current()
    }

    /// The epoch to put on orders and until when they may be sent, or `None` if none may be.
    pub fn order_window(&self, now: Duration) -> Option<(i64, Duration)> {
        self.lease.order_window(now)
    }

    /// The budget of platform calls.
    pub fn gate(&mut self) -> &mut PlatformGate {
        &mut self.gate
    }

    /// The node's part in its cell.
    pub fn cell(&self) -> &Cell {
        &self.cell
    }

    /// What `status` shows.
    pub fn status(&self, now: Duration) -> CoreStatus {
        let members = self.cell.members().map(|m| {
            (
                m.gossip.name.clone(),
                m.gossip.state,
                m.gossip.address.clone(),
            )
        });
        CoreStatus {
            members: members.collect(),
            other_cells: self.cell.other_cell_count(now),
            version: self.follower.applied().map(|(v, at)| (v.clone(), at)),
            peer_versions: self
                .cell
                .config_versions()
                .map(|(n, v, at)| (n.to_string(), v, at))
                .collect(),
            lease: self
                .lease
                .holder()
                .map(|(name, epoch)| (name.to_string(), epoch)),
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn step(&mut self, now: Duration, event: Event, rng: &mut impl Rng) -> Vec<Action> {
        match event {
            Event::Tick { demand } => self.tick(now, &demand, rng),
            Event::Packet(packet) => {
                let outputs = self.cell.receive(now, &packet);
                self.outputs(now, outputs, rng)
            }
            Event::OldPacket(packet) => {
                let outputs = self
                    .cell
                    .answer_stale_incarnation(now, &packet)
                    .into_iter()
                    .collect();
                self.outputs(now, outputs, rng)
            }
            Event::Read(endpoint, load) => {
                let outputs = self.cell.record_load(now, &endpoint, load);
                self.outputs(now, outputs, rng)
            }
            Event::Notice(endpoint, left) => {
                let outputs = self.cell.record_reclaim_notice(now, &endpoint, left);
                self.outputs(now, outputs, rng)
            }
            Event::Seeds(contacts) => {
                self.cell.add_contacts(contacts);
                Vec::new()
            }
            Event::Listed(contacts) => {
                let outputs = self.cell.apply_vm_list(now, contacts);
                self.outputs(now, outputs, rng)
            }
            Event::Table(id, reply) => self.table(now, id, reply, rng),
            Event::Fetched { hash, body } => {
                self.follow(now, ConfigEvent::Fetched { hash, body }, rng)
            }
            Event::Configured {
                endpoints,
                teams,
                cells,
            } => {
                self.cell.set_endpoints(endpoints);
                // Before the others are heard, what the settings name counts.
                let (known_nodes, known_cells) = self.sizes(now);
                let sizes = (
                    known_nodes.max(self.seeds + 1),
                    known_cells.max(cells as u64),
                );
                self.shares.configure(now, &teams, sizes);
                Vec::new()
            }
            Event::Published(version) => self.follow(now, ConfigEvent::Published(version), rng),
            Event::Stop => self.stop(now, rng),
        }
    }

    fn sizes(&self, now: Duration) -> (u64, u64) {
        (
            self.cell.size() as u64,
            self.cell.other_cell_count(now) as u64 + 1,
        )
    }

    fn tick(&mut self, now: Duration, demand: &[(String, u64)], rng: &mut impl Rng) -> Vec<Action> {
        demand
            .iter()
            .for_each(|(team, rate)| self.shares.demand(team, *rate));
        let mut actions = self.share(now);
        let outputs = self.cell.tick(now, rng);
        actions.extend(self.outputs(now, outputs, rng));
        let is_poller = self.cell.has_duty("head", POLLERS);
        actions.extend(self.follow(now, ConfigEvent::Tick { is_poller }, rng));
        actions.extend(self.tick_lease(now, rng));
        actions.extend(self.poll_cloud(now, rng));
        actions
    }

    fn share(&mut self, now: Duration) -> Vec<Action> {
        if now < self.shares_at {
            return Vec::new();
        }
        self.shares_at = now + SHARE_INTERVAL;
        let (own, of_cell) = self.shares.demands(now);
        self.cell.set_demands(own, of_cell);
        let sizes = self.sizes(now);
        let changed = self.shares.changed(now, sizes);
        changed
            .into_iter()
            .map(|(team, part)| Action::SetPart(team, part))
            .collect()
    }

    fn tick_lease(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        if self.stopping {
            return Vec::new();
        }
        let is_candidate = self.cell.has_duty("fleet", CANDIDATES);
        let involved = is_candidate || self.lease.order_window(now).is_some();
        if !involved {
            return Vec::new();
        }
        let write_id = format!("{:016x}", rng.random::<u64>());
        let actions = self.lease.step(
            now,
            LeaseEvent::Tick {
                write_id,
                is_candidate,
            },
        );
        self.lease_actions(now, actions, rng)
    }

    fn poll_cloud(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let alone = self.cell.size() == 1;
        let notices = now >= self.notices_at && self.cell.has_duty("notices", POLLERS);
        if notices && self.gate.admit(now, rng) == Admitted::Yes {
            self.notices_at = now + NOTICE_INTERVAL;
            actions.push(Action::ReadNotices);
        }
        let lists = now >= self.list_at && (alone || self.cell.has_duty("list", POLLERS));
        if lists && self.gate.admit(now, rng) == Admitted::Yes {
            self.list_at = now
                + if alone {
                    NOTICE_INTERVAL
                } else {
                    LIST_INTERVAL
                };
            actions.push(Action::ListVms);
        }
        actions
    }

    fn table(
        &mut self,
        now: Duration,
        id: CallId,
        reply: Reply,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.gate
            .note(!matches!(reply, Reply::Unanswered | Reply::Refused));
        match id {
            CallId::Head => self.follow(now, ConfigEvent::Replied(reply), rng),
            CallId::Lease(call) => {
                let actions = self.lease.step(
                    now,
                    LeaseEvent::Replied {
                        call,
                        era: None,
                        reply,
                    },
                );
                self.lease_actions(now, actions, rng)
            }
        }
    }

    fn stop(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.stopping = true;
        let write_id = format!("{:016x}", rng.random::<u64>());
        let actions = self.lease.step(now, LeaseEvent::Release { write_id });
        let mut actions = self.lease_actions(now, actions, rng);
        let outputs = self.cell.leave(now);
        actions.extend(self.outputs(now, outputs, rng));
        actions
    }

    fn follow(&mut self, now: Duration, event: ConfigEvent, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in self.follower.step(now, event) {
            match action {
                ConfigAction::Call(call) => match self.gate.admit(now, rng) {
                    Admitted::Yes => actions.push(Action::Table(CallId::Head, call)),
                    Admitted::No => {
                        let refused = ConfigEvent::Replied(Reply::Refused);
                        actions.extend(self.follow(now, refused, rng));
                    }
                },
                ConfigAction::FetchFromPeer { peer, hash } => {
                    actions.extend(self.fetch_from_peer(now, &peer, hash, rng));
                }
                ConfigAction::FetchFromStore { hash } => {
                    actions.push(Action::FetchFromStore { hash });
                }
                ConfigAction::Apply { version, body } => {
                    self.cell.set_config(now, version.clone());
                    actions.push(Action::Apply { version, body });
                }
            }
        }
        actions
    }

    fn fetch_from_peer(
        &mut self,
        now: Duration,
        peer: &str,
        hash: String,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        match self.cell.address_of(peer) {
            Some(address) => vec![Action::FetchFromPeer {
                address: address.to_string(),
                hash,
            }],
            None => self.follow(now, ConfigEvent::Fetched { hash, body: None }, rng),
        }
    }

    fn lease_actions(
        &mut self,
        now: Duration,
        lease: Vec<LeaseAction>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for action in lease {
            match action {
                LeaseAction::Call { call, table } => match self.gate.admit(now, rng) {
                    Admitted::Yes => actions.push(Action::Table(CallId::Lease(call), table)),
                    Admitted::No => {
                        let reply = Reply::Refused;
                        let more = self.lease.step(
                            now,
                            LeaseEvent::Replied {
                                call,
                                era: None,
                                reply,
                            },
                        );
                        actions.extend(self.lease_actions(now, more, rng));
                    }
                },
                LeaseAction::Gained(epoch) => actions.push(Action::LeaseGained(epoch)),
                LeaseAction::Lost => actions.push(Action::LeaseLost),
            }
        }
        actions
    }

    fn outputs(&mut self, now: Duration, outputs: Vec<Output>, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, packet } => actions.push(Action::Send { to, packet }),
                Output::ReadLoads(names) => actions.push(Action::ReadLoads(names)),
                Output::LoadUpdated(name, load, age) => {
                    actions.push(Action::UseLoad(name, load, age))
                }
                Output::EndpointLeaving(name, left) => actions.push(Action::Leave(name, left)),
                Output::EndpointReplaced(name) => actions.push(Action::Return(name)),
                Output::EndpointSilent(name) => actions.push(Action::Suspect(name)),
                Output::SummaryReceived(summary) => actions.push(Action::UseSummary(summary)),
                Output::ConfigVersionReceived(peer, version) => {
                    let heard = ConfigEvent::PeerReported { peer, version };
                    actions.extend(self.follow(now, heard, rng));
                }
                Output::DemandReceived(demand) => {
                    let of_member = self.cell.address_of(&demand.source).is_some();
                    self.shares.receive(now, &demand, of_member);
                }
                Output::MemberChanged(name, MemberState::LEAVING | MemberState::GONE) => {
                    self.shares.drop_member(now, &name, self.cell.size() as u64);
                }
                Output::MemberChanged(..) => {}
            }
        }
        actions
    }
}
