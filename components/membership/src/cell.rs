//! One node's view of its cell: takes in packets and readings, and returns what to send and to do.

mod probing;
mod receive;
mod send;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{Kind, MemberGossip, MemberState, Packet, Summary, TeamDemand};
use state::Version;
use xxhash_rust::xxh3::xxh3_64;

use crate::contacts::{Contact, Contacts};
use crate::dissemination::DisseminationQueue;
use crate::endpoints::{EndpointSpec, Endpoints, Load};
use crate::members::{Member, Members};
use crate::packets::PacketSequencer;
use crate::probe::Prober;
use crate::summaries::Summaries;

/// Nodes of a cell that send its summaries to other cells, called its speakers.
const SPEAKERS_PER_CELL: usize = 2;
/// Limits of the time between two rounds of gossip to the cell. The interval grows with the cell,
/// so that the number of bytes a node receives stays bounded.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_secs(2);
/// Cell size at which the interval reaches its maximum.
const NODES_AT_MAX_GOSSIP_INTERVAL: u32 = 30;
/// Time between two rounds of summaries from one speaker to other cells. With two speakers the
/// other cells receive summaries twice as often.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);
/// Upper limit of members named in a summary packet, to which other cells can send theirs.
const MAX_INTRODUCED_MEMBERS: usize = 3;
/// Time between two join attempts while no other member is known.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two searches for lost members and unknown contacts.
const REJOIN_INTERVAL: Duration = Duration::from_secs(5);
/// Probe number of all join pings; they are answered with a snapshot.
const JOIN_PROBE: i64 = 0;
/// Upper limit of contacts that a joining node pings in one attempt.
const MAX_JOIN_CONTACTS: usize = 3;
/// Upper limit of demands of other cells queued to be relayed to the own cell.
const MAX_RELAYED_DEMANDS: usize = 400;
/// Upper limit of senders whose configuration version is remembered.
const MAX_CONFIG_VERSIONS: usize = 1024;
/// How long packets carry the hash of the configuration after it changed.
const CONFIG_HASH_DURATION: Duration = Duration::from_secs(60);

/// Identity of this node in its cell.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the node.
    pub name: String,
    /// Name of its cell.
    pub cell: String,
    /// Address on which it receives packets.
    pub address: String,
    /// Incarnation; grows with each start of the node.
    pub incarnation: i64,
}

/// An action for the owner of the cell to take, or a change it has to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet.
    Send {
        /// Address of the receiver.
        to: String,
        /// The packet.
        packet: Box<Packet>,
    },
    /// Read the load of each of these endpoints.
    ReadLoads(Vec<String>),
    /// Newer load of an endpoint, and its age.
    LoadUpdated(String, Load, Duration),
    /// An endpoint leaves after this time; zero if another cell reported it as leaving.
    EndpointLeaving(String, Duration),
    /// An endpoint counts as leaving no longer: a new VM runs under its name, or its cell stopped
    /// listing it as leaving.
    EndpointReplaced(String),
    /// An endpoint did not answer two or more readings by this node in a row.
    EndpointSilent(String),
    /// A peer reported its configuration version.
    ConfigVersionReceived(String, Version),
    /// Newer summary of a pool of another cell.
    SummaryReceived(Summary),
    /// A demand reported by a member or by another cell.
    DemandReceived(TeamDemand),
    /// Gossip added a member or changed its state or incarnation, or this node declared it dead or
    /// gone.
    MemberChanged(String, MemberState),
}

/// One node's view of its cell and of the other cells.
#[derive(Debug)]
pub struct Cell {
    identity: NodeIdentity,
    state: MemberState,
    sequencer: PacketSequencer,
    members: Members,
    dissemination: DisseminationQueue,
    prober: Prober,
    contacts: Contacts,
    endpoints: Endpoints,
    summaries: Summaries,
    config: Version,
    config_changed_at: Duration,
    own_demands: Vec<TeamDemand>,
    cell_demands: Vec<TeamDemand>,
    next_demand: usize,
    // Demands received from other cells, to be relayed to the own cell once.
    relayed_demands: Vec<TeamDemand>,
    // Unanswered indirect probes: own probe number to (requester's address, requester's probe
    // number).
    relayed_pings: BTreeMap<i64, (String, i64)>,
    last_relayed_probe: i64,
    summary_round: i64,
    // Latest configuration version of each sender, and when it first reported it.
    sender_config_versions: BTreeMap<String, (i64, Duration)>,
    next_gossip_at: Duration,
    next_summary_at: Duration,
    next_join_at: Duration,
}

impl Cell {
    /// A node that knows no other node yet.
    pub fn new(identity: NodeIdentity) -> Self {
        let sequencer = PacketSequencer::new(&identity.name, identity.incarnation);
        let summary_round = identity.incarnation;
        let mut cell = Cell {
            identity,
            state: MemberState::ALIVE,
            sequencer,
            members: Members::default(),
            dissemination: DisseminationQueue::default(),
            prober: Prober::default(),
            contacts: Contacts::default(),
            endpoints: Endpoints::default(),
            summaries: Summaries::default(),
            config: Version::default(),
            config_changed_at: Duration::ZERO,
            own_demands: Vec::new(),
            cell_demands: Vec::new(),
            next_demand: 0,
            relayed_demands: Vec::new(),
            relayed_pings: BTreeMap::new(),
            last_relayed_probe: i64::MIN / 2,
            summary_round,
            sender_config_versions: BTreeMap::new(),
            next_gossip_at: Duration::ZERO,
            next_summary_at: Duration::ZERO,
            next_join_at: Duration::ZERO,
        };
        let own = cell.own_gossip();
        cell.dissemination.add(own, 1);
        cell
    }

    /// Sets the endpoints of the cell's data halls.
    pub fn set_endpoints(&mut self, endpoints: Vec<EndpointSpec>) {
        self.endpoints.configure(endpoints);
    }

    /// Adds nodes from the seeds in the settings or from the platform's VM list, which lags behind.
    /// A listed node is only a contact to ping; gossip makes it a member.
    pub fn add_contacts(&mut self, contacts: Vec<Contact>) {
        for contact in contacts {
            if contact.name != self.identity.name && contact.address != self.identity.address {
                self.contacts.add_listed(contact);
            }
        }
    }

    /// Applies the platform's complete VM list: marks dead members as gone if it does not name
    /// them, and adds the listed nodes as contacts.
    pub fn apply_vm_list(&mut self, now: Duration, contacts: Vec<Contact>) -> Vec<Output> {
        let is_listed = |name: &str| contacts.iter().any(|c| c.name == name);
        let gone = self.members.confirm_gone(now, is_listed);
        self.add_contacts(contacts);
        let size = self.size();
        let mut outputs = Vec::new();
        for gossip in gone {
            outputs.push(Output::MemberChanged(gossip.name.clone(), gossip.state));
            self.dissemination.add(gossip, size);
        }
        outputs
    }

    /// Sets the version of the configuration in force on this node.
    pub fn set_config(&mut self, now: Duration, version: Version) {
        if version != self.config {
            self.config = version;
            self.config_changed_at = now;
        }
    }

    /// Sets this node's demands, sent to the cell, and those of the whole cell, sent to other
    /// cells.
    pub fn set_demands(&mut self, own_demands: Vec<TeamDemand>, cell_demands: Vec<TeamDemand>) {
        self.own_demands = own_demands;
        self.cell_demands = cell_demands;
    }

    /// Records a reading by this node; `None` if the endpoint did not answer.
    pub fn record_load(
        &mut self,
        now: Duration,
        endpoint: &str,
        load: Option<Load>,
    ) -> Vec<Output> {
        let changes = self.endpoints.record_load(now, endpoint, load);
        self.report_changes(now, changes)
    }

    /// Records a reclaim notice given to this node: the endpoint's VM is reclaimed after
    /// `time_left`.
    pub fn record_reclaim_notice(
        &mut self,
        now: Duration,
        endpoint: &str,
        time_left: Duration,
    ) -> Vec<Output> {
        let changes = self
            .endpoints
            .record_reclaim_notice(now, endpoint, time_left);
        self.report_changes(now, changes)
    }

    /// Announces to the cell that this node stops.
    pub fn leave(&mut self, now: Duration) -> Vec<Output> {
        self.state = MemberState::LEAVING;
        let own = self.own_gossip();
        self.dissemination.add(own, self.size());
        self.send_to_cell(now)
    }

    /// Number of active members, this node included.
    pub fn size(&self) -> usize {
        self.members.active().count() + 1
    }

    /// All known members, dead ones included, this node excluded.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Latest configuration version of each sender, and when it first reported it.
    pub fn config_versions(&self) -> impl Iterator<Item = (&str, i64, Duration)> {
        self.sender_config_versions
            .iter()
            .map(|(name, (number, since))| (name.as_str(), *number, *since))
    }

    /// Number of other cells with a recently seen contact or a known summary.
    pub fn other_cell_count(&self, now: Duration) -> usize {
        let contact_cells = self.contacts.recently_seen_cells(now);
        let summary_cells = self.summaries.iter().map(|k| k.summary.cell.as_str());
        let mut cells: BTreeSet<&str> = contact_cells.chain(summary_cells).collect();
        cells.remove(self.identity.cell.as_str());
        cells.remove("");
        cells.len()
    }

    /// Whether this node is one of the `count` active nodes that a duty is assigned to by
    /// rendezvous hashing.
    pub fn has_duty(&self, duty: &str, count: usize) -> bool {
        if self.state != MemberState::ALIVE {
            return false;
        }
        let names = self.active_names();
        let key = xxh3_64(duty.as_bytes());
        routing::rank(key, names.into_iter(), count).contains(&self.identity.name.as_str())
    }

    /// Whether this node is one of the nodes that read the load of an endpoint.
    pub fn is_reader_of(&self, endpoint: &str) -> bool {
        let names = self.active_names();
        self.endpoints
            .assigned_to(&self.identity.name, &names)
            .contains(&endpoint)
    }

    /// Address of a member.
    pub fn address_of(&self, name: &str) -> Option<&str> {
        self.members.get(name).map(|m| m.gossip.address.as_str())
    }

    /// Runs what is due: expiry of members, joining, probing, gossip, load readings and summaries.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        let mut outputs = self.expire(now);
        outputs.extend(self.join(now, rng));
        outputs.extend(self.probe(now, rng));
        if now >= self.next_gossip_at {
            // Jitter keeps the nodes from sending gossip all at once.
            let jitter = Duration::from_millis(rng.random_range(0..50));
            self.next_gossip_at = now + self.gossip_interval() + jitter;
            outputs.extend(self.send_to_cell(now));
            outputs.push(self.read_loads());
        }
        if now >= self.next_summary_at {
            let jitter = Duration::from_millis(rng.random_range(0..500));
            self.next_summary_at = now + SUMMARY_INTERVAL - jitter;
            outputs.extend(self.send_to_other_cells(now, rng));
        }
        outputs
    }

    /// Processes a packet that was verified and is not a replay.
    pub fn receive(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        self.record_config_version(now, packet);
        let mut outputs = self.receive_members(now, packet);
        outputs.extend(self.receive_gossip(now, packet));
        match packet.kind {
            Kind::PING => outputs.extend(self.answer_ping(now, packet)),
            Kind::ACK => outputs.extend(self.receive_ack(packet)),
            Kind::PING_REQUEST => outputs.extend(self.relay_ping(packet)),
            _ => {}
        }
        outputs
    }

    fn own_gossip(&self) -> MemberGossip {
        MemberGossip {
            name: self.identity.name.clone(),
            cell: self.identity.cell.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            state: self.state,
        }
    }

    fn active_names(&self) -> Vec<&str> {
        let others = self.members.active().map(|m| m.gossip.name.as_str());
        others.chain([self.identity.name.as_str()]).collect()
    }

    fn gossip_interval(&self) -> Duration {
        let nodes = (self.size() as u32).min(NODES_AT_MAX_GOSSIP_INTERVAL);
        (MAX_GOSSIP_INTERVAL * nodes / NODES_AT_MAX_GOSSIP_INTERVAL).max(MIN_GOSSIP_INTERVAL)
    }

    fn packet(&mut self, now: Duration, kind: Kind) -> Packet {
        let mut packet = self.sequencer.next_packet(kind);
        let gossip = self.dissemination.take_for_packet();
        packet.members = (!gossip.is_empty()).then_some(gossip);
        packet.config_version = Some(self.config.number);
        if now < self.config_changed_at + CONFIG_HASH_DURATION {
            packet.config_hash = Some(self.config.hash.clone());
        }
        packet
    }

    fn send(to: &str, packet: Packet) -> Output {
        Output::Send {
            to: to.to_string(),
            packet: Box::new(packet),
        }
    }

    fn expire(&mut self, now: Duration) -> Vec<Output> {
        let size = self.size();
        let mut outputs = Vec::new();
        for gossip in self.members.expire(now) {
            outputs.push(Output::MemberChanged(gossip.name.clone(), gossip.state));
            self.dissemination.add(gossip, size);
        }
        outputs
    }

    /// Answers a packet whose sender restarted with a lower incarnation than it had before. The
    /// answer holds the gossip known about the sender, from which it takes a higher incarnation.
    /// `None` if the sender is no known member.
    pub fn answer_stale_incarnation(&mut self, now: Duration, packet: &Packet) -> Option<Output> {
        let to = self.sender_address(packet)?;
        let known = self.members.get(&packet.sender)?.gossip.clone();
        let mut answer = self.packet(now, Kind::NEWS);
        answer.members = Some(vec![known]);
        Some(Self::send(&to, answer))
    }

    fn read_loads(&self) -> Output {
        let names = self.active_names();
        let assigned = self.endpoints.assigned_to(&self.identity.name, &names);
        Output::ReadLoads(assigned.into_iter().map(str::to_string).collect())
    }
}
