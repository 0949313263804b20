//! One node's part in its cell: everything that is heard and reported.

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
use crate::endpoints::{EndpointSpec, Endpoints, Load};
use crate::members::{Member, Members};
use crate::packets::Sender;
use crate::probe::Prober;
use crate::rumors::Rumors;
use crate::summaries::Summaries;

/// Nodes of a cell that speak for it to other cells.
const SPEAKERS: usize = 2;
/// Shortest and longest time between two tellings of loads; it grows with the cell, so that the
/// bytes a node takes in stay bounded.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(500);
const MAX_NEWS_INTERVAL: Duration = Duration::from_secs(2);
/// Members at which the interval reaches its greatest.
const NODES_AT_MAX: u32 = 30;
/// Time between two summaries of one speaker to other cells; with two speakers the others hear of
/// the cell twice as often.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(4);
/// Members named in a summary packet, so that other cells know whom to send to.
const INTRODUCED: usize = 3;
/// Time between two tries to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks for lost members.
const REJOIN_INTERVAL: Duration = Duration::from_secs(5);
/// Number of the probes that introduce a node.
const JOIN_PROBE: i64 = 0;
/// Contacts that a joining node pings at a time.
const JOIN_CONTACTS: usize = 3;
/// Demands of other cells that wait to be reported on.
const MAX_RELAYED: usize = 400;
/// Senders whose version is remembered.
const MAX_VERSIONS: usize = 1024;
/// How long the hash of a configuration is reported after it changed.
const TELL_HASH_FOR: Duration = Duration::from_secs(60);

/// Identity of this node in its cell.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the node.
    pub name: String,
    /// Name of its cell.
    pub cell: String,
    /// Address on which it receives packets.
    pub address: String,
    /// Incarnation; higher at each start of the node.
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
    /// Gossip added a member or changed its state or incarnation, or this node declared it dead or gone.
    MemberChanged(String, MemberState),
}

/// One node's view of its cell and of the other cells.
#[derive(Debug)]
pub struct Cell {
    terms: NodeIdentity,
    state: MemberState,
    sender: Sender,
    members: Members,
    rumors: Rumors,
    prober: Prober,
    contacts: Contacts,
    endpoints: Endpoints,
    summaries: Summaries,
    config: Version,
    config_since: Duration,
    demands: Vec<TeamDemand>,
    cell_demands: Vec<TeamDemand>,
    demand_turn: usize,
    // Demands of other cells heard from them, to be reported to the own cell once.
    relayed_demands: Vec<TeamDemand>,
    // Pings made for others: own probe number to (asker's address, asker's probe).
    relayed: BTreeMap<i64, (String, i64)>,
    next_relay: i64,
    round: i64,
    // Versions that senders were last heard with, and since when.
    versions: BTreeMap<String, (i64, Duration)>,
    next_news: Duration,
    next_summary: Duration,
    next_join: Duration,
}

impl Cell {
    /// A node that knows nobody yet.
    pub fn new(terms: NodeIdentity) -> Self {
        let sender = Sender::new(&terms.name, terms.incarnation);
        let round = terms.incarnation;
        let mut cell = Cell {
            terms,
            state: MemberState::ALIVE,
            sender,
            members: Members::default(),
            rumors: Rumors::default(),
            prober: Prober::default(),
            contacts: Contacts::default(),
            endpoints: Endpoints::default(),
            summaries: Summaries::default(),
            config: Version::default(),
            config_since: Duration::ZERO,
            demands: Vec::new(),
            cell_demands: Vec::new(),
            demand_turn: 0,
            relayed_demands: Vec::new(),
            relayed: BTreeMap::new(),
            next_relay: i64::MIN / 2,
            round,
            versions: BTreeMap::new(),
            next_news: Duration::ZERO,
            next_summary: Duration::ZERO,
            next_join: Duration::ZERO,
        };
        let own = cell.own_gossip();
        cell.rumors.add(own, 1);
        cell
    }

    /// Takes the endpoints of the cell's data halls.
    pub fn set_endpoints(&mut self, endpoints: Vec<EndpointSpec>) {
        self.endpoints.configure(endpoints);
    }

    /// Takes nodes from a list: seeds of the settings, or the platform's lagging list. A listed
    /// node is only tried; it counts as alive once it is heard.
    pub fn add_contacts(&mut self, contacts: Vec<Contact>) {
        for contact in contacts {
            if contact.name != self.terms.name && contact.address != self.terms.address {
                self.contacts.list(contact);
            }
        }
    }

    /// Takes the platform's whole list: dead members that it does not name are gone for good.
    pub fn apply_vm_list(&mut self, now: Duration, contacts: Vec<Contact>) -> Vec<Output> {
        let is_listed = |name: &str| contacts.iter().any(|c| c.name == name);
        let gone = self.members.confirm_gone(now, is_listed);
        self.add_contacts(contacts);
        let size = self.size();
        let mut outputs = Vec::new();
        for gossip in gone {
            outputs.push(Output::MemberChanged(gossip.name.clone(), gossip.state));
            self.rumors.add(gossip, size);
        }
        outputs
    }

    /// Takes the configuration in force here.
    pub fn set_config(&mut self, now: Duration, version: Version) {
        if version != self.config {
            self.config = version;
            self.config_since = now;
        }
    }

    /// Takes this node's demands, and those of its cell as a whole for the other cells.
    pub fn set_demands(&mut self, own: Vec<TeamDemand>, of_cell: Vec<TeamDemand>) {
        self.demands = own;
        self.cell_demands = of_cell;
    }

    /// Takes a reading that this node made.
    pub fn record_load(
        &mut self,
        now: Duration,
        endpoint: &str,
        load: Option<Load>,
    ) -> Vec<Output> {
        let changes = self.endpoints.read(now, endpoint, load);
        self.changed(now, changes)
    }

    /// Takes a reclaim notice that this node was given.
    pub fn record_reclaim_notice(
        &mut self,
        now: Duration,
        endpoint: &str,
        left: Duration,
    ) -> Vec<Output> {
        let changes = self.endpoints.notice(now, endpoint, left);
        self.changed(now, changes)
    }

    /// Reports to the cell that this node stops.
    pub fn leave(&mut self, now: Duration) -> Vec<Output> {
        self.state = MemberState::LEAVING;
        let own = self.own_gossip();
        self.rumors.add(own, self.size());
        self.send_to_cell(now)
    }

    /// Active members, this node included.
    pub fn size(&self) -> usize {
        self.members.active().count() + 1
    }

    /// All members known, dead ones included, this node not.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Versions that senders were last heard with, and since when.
    pub fn config_versions(&self) -> impl Iterator<Item = (&str, i64, Duration)> {
        self.versions
            .iter()
            .map(|(name, (number, since))| (name.as_str(), *number, *since))
    }

    /// Other cells heard from lately, directly or through members.
    pub fn other_cell_count(&self, now: Duration) -> usize {
        let direct = self.contacts.live_cells(now);
        let reported = self.summaries.iter().map(|k| k.summary.cell.as_str());
        let mut cells: BTreeSet<&str> = direct.chain(reported).collect();
        cells.remove(self.terms.cell.as_str());
        cells.remove("");
        cells.len()
    }

    /// Whether this node is one of the `count` that a duty falls to.
    pub fn has_duty(&self, duty: &str, count: usize) -> bool {
        if self.state != MemberState::ALIVE {
            return false;
        }
        let names = self.active_names();
        let key = xxh3_64(duty.as_bytes());
        routing::rank(key, names.into_iter(), count).contains(&self.terms.name.as_str())
    }

    /// Whether this node is one of the readers of an endpoint.
    pub fn is_reader_of(&self, endpoint: &str) -> bool {
        let names = self.active_names();
        self.endpoints
            .assigned(&self.terms.name, &names)
            .contains(&endpoint)
    }

    /// Address of a member.
    pub fn address_of(&self, name: &str) -> Option<&str> {
        self.members.get(name).map(|m| m.gossip.address.as_str())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        let mut outputs = self.expire(now);
        outputs.extend(self.join(now, rng));
        outputs.extend(self.probe(now, rng));
        if now >= self.next_news {
            // A little jitter keeps the nodes from telling all at once.
            let jitter = Duration::from_millis(rng.random_range(0..50));
            self.next_news = now + self.gossip_interval() + jitter;
            outputs.extend(self.send_to_cell(now));
            outputs.push(self.read_loads());
        }
        if now >= self.next_summary {
            let jitter = Duration::from_millis(rng.random_range(0..500));
            self.next_summary = now + SUMMARY_INTERVAL - jitter;
            outputs.extend(self.send_to_other_cells(now, rng));
        }
        outputs
    }

    /// Takes a packet that was checked and not seen before.
    pub fn receive(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        self.note_version(now, packet);
        let mut outputs = self.take_members(now, packet);
        outputs.extend(self.receive_gossip(now, packet));
        match packet.kind {
            Kind::PING => outputs.extend(self.answer(now, packet)),
            Kind::ACK => outputs.extend(self.take_ack(packet)),
            Kind::PING_REQUEST => outputs.extend(self.relay(packet)),
            _ => {}
        }
        outputs
    }

    fn own_gossip(&self) -> MemberGossip {
        MemberGossip {
            name: self.terms.name.clone(),
            cell: self.terms.cell.clone(),
            address: self.terms.address.clone(),
            incarnation: self.terms.incarnation,
            state: self.state,
        }
    }

    fn active_names(&self) -> Vec<&str> {
        let others = self.members.active().map(|m| m.gossip.name.as_str());
        others.chain([self.terms.name.as_str()]).collect()
    }

    fn gossip_interval(&self) -> Duration {
        let nodes = (self.size() as u32).min(NODES_AT_MAX);
        (MAX_NEWS_INTERVAL * nodes / NODES_AT_MAX).max(MIN_NEWS_INTERVAL)
    }

    fn packet(&mut self, now: Duration, kind: Kind) -> Packet {
        let mut packet = self.sender.packet(kind);
        let gossip = self.rumors.take();
        packet.members = (!gossip.is_empty()).then_some(gossip);
        packet.config_version = Some(self.config.number);
        if now < self.config_since + TELL_HASH_FOR {
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
            self.rumors.add(gossip, size);
        }
        outputs
    }

    /// Answers a packet whose sender has started again with a lower incarnation than it had: it is
    /// learns what it is known as, and takes a higher one.
    pub fn answer_stale_incarnation(&mut self, now: Duration, packet: &Packet) -> Option<Output> {
        let to = self.reply_address(packet)?;
        let known = self.members.get(&packet.sender)?.gossip.clone();
        let mut answer = self.packet(now, Kind::NEWS);
        answer.members = Some(vec![known]);
        Some(Self::send(&to, answer))
    }

    fn read_loads(&self) -> Output {
        let names = self.active_names();
        let assigned = self.endpoints.assigned(&self.terms.name, &names);
        Output::ReadLoads(assigned.into_iter().map(str::to_string).collect())
    }
}
