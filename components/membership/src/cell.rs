//! One node's part in its cell: everything that is heard and told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{Kind, MemberNews, MemberState, Packet, Summary, TeamDemand};
use state::Version;
use xxhash_rust::xxh3::xxh3_64;

use crate::contacts::{Contact, Contacts};
use crate::endpoints::{Change, EndpointSpec, Endpoints, Load};
use crate::members::{Member, Members};
use crate::packets::{
    parts, Body, Sender, DEMANDS_PER_PACKET, MEMBERS_PER_PACKET, OWN_DEMANDS_PER_PACKET,
    SUMMARIES_PER_PACKET,
};
use crate::probe::{ProbeStep, Prober, HELPERS};
use crate::rumors::Rumors;
use crate::summaries::{KnownSummary, Summaries};

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
/// Demands of other cells that wait to be told on.
const MAX_RELAYED: usize = 400;
/// Senders whose version is remembered.
const MAX_VERSIONS: usize = 1024;
/// How long the hash of a configuration is told after it changed.
const TELL_HASH_FOR: Duration = Duration::from_secs(60);

/// Who this node is.
#[derive(Clone, Debug)]
pub struct CellTerms {
    /// Name of the node.
    pub name: String,
    /// Name of its cell.
    pub cell: String,
    /// Its address for packets.
    pub address: String,
    /// Grows with each start of the node.
    pub incarnation: i64,
}

/// What a cell asks its owner to do or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet.
    Send {
        /// Address of the receiver.
        to: String,
        /// The packet.
        packet: Box<Packet>,
    },
    /// Read the loads of these endpoints.
    ReadLoads(Vec<String>),
    /// A load was read, this long ago.
    Read(String, Load, Duration),
    /// An endpoint leaves after this time.
    Leaves(String, Duration),
    /// A new VM bears the endpoint's name.
    Replaced(String),
    /// An endpoint does not answer its readers.
    Silent(String),
    /// A peer has this configuration.
    ConfigHeard(String, Version),
    /// Another cell told of a pool.
    SummaryHeard(Summary),
    /// A demand of the own cell or of another cell was heard.
    DemandHeard(TeamDemand),
    /// A member died, left or came.
    MemberChanged(String, MemberState),
}

/// One node's view of its cell and of the other cells.
#[derive(Debug)]
pub struct Cell {
    terms: CellTerms,
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
    // Demands of other cells heard from them, to be told to the own cell once.
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
    pub fn new(terms: CellTerms) -> Self {
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
        let own = cell.own_news();
        cell.rumors.add(own, 1);
        cell
    }

    /// Takes the endpoints of the cell's data halls.
    pub fn set_endpoints(&mut self, endpoints: Vec<EndpointSpec>) {
        self.endpoints.configure(endpoints);
    }

    /// Takes nodes from a list: seeds of the settings, or the platform's lagging list. A listed
    /// node is only tried; it counts as alive once it is heard.
    pub fn set_contacts(&mut self, contacts: Vec<Contact>) {
        for contact in contacts {
            if contact.name != self.terms.name && contact.address != self.terms.address {
                self.contacts.list(contact);
            }
        }
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
    pub fn read(&mut self, now: Duration, endpoint: &str, load: Option<Load>) -> Vec<Output> {
        let changes = self.endpoints.read(now, endpoint, load);
        self.changed(now, changes)
    }

    /// Takes a reclaim notice that this node was given.
    pub fn notice(&mut self, now: Duration, endpoint: &str, left: Duration) -> Vec<Output> {
        let changes = self.endpoints.notice(now, endpoint, left);
        self.changed(now, changes)
    }

    /// Tells the cell that this node stops.
    pub fn leave(&mut self, now: Duration) -> Vec<Output> {
        self.state = MemberState::LEAVING;
        let own = self.own_news();
        self.rumors.add(own, self.size());
        self.tell_cell(now)
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
    pub fn versions(&self) -> impl Iterator<Item = (&str, i64, Duration)> {
        self.versions
            .iter()
            .map(|(name, (number, since))| (name.as_str(), *number, *since))
    }

    /// What other cells told.
    pub fn summaries(&self) -> impl Iterator<Item = &KnownSummary> {
        self.summaries.iter()
    }

    /// Other cells heard from lately, directly or through members.
    pub fn other_cells(&self, now: Duration) -> usize {
        let direct = self.contacts.live_cells(now);
        let told = self.summaries.iter().map(|k| k.summary.cell.as_str());
        let mut cells: BTreeSet<&str> = direct.chain(told).collect();
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
    pub fn reads(&self, endpoint: &str) -> bool {
        let names = self.active_names();
        self.endpoints
            .assigned(&self.terms.name, &names)
            .contains(&endpoint)
    }

    /// Entries of state held, for the page on capacity: members, contacts, endpoints, summaries.
    pub fn entries(&self) -> [usize; 4] {
        [
            self.members.iter().count(),
            self.contacts.len(),
            self.endpoints.len(),
            self.summaries.len(),
        ]
    }

    /// Address of a member.
    pub fn address_of(&self, name: &str) -> Option<&str> {
        self.members.get(name).map(|m| m.news.address.as_str())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        let mut outputs = self.expire(now);
        outputs.extend(self.join(now, rng));
        outputs.extend(self.probe(now, rng));
        if now >= self.next_news {
            // A little jitter keeps the nodes from telling all at once.
            let jitter = Duration::from_millis(rng.random_range(0..50));
            self.next_news = now + self.news_interval() + jitter;
            outputs.extend(self.tell_cell(now));
            outputs.push(self.read_loads());
        }
        if now >= self.next_summary {
            let jitter = Duration::from_millis(rng.random_range(0..500));
            self.next_summary = now + SUMMARY_INTERVAL - jitter;
            outputs.extend(self.tell_other_cells(now, rng));
        }
        outputs
    }

    /// Takes a packet that was checked and not seen before.
    pub fn take(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        self.note_version(now, packet);
        let mut outputs = self.take_members(now, packet);
        outputs.extend(self.take_news(now, packet));
        match packet.kind {
            Kind::PING => outputs.extend(self.answer(now, packet)),
            Kind::ACK => outputs.extend(self.take_ack(packet)),
            Kind::PING_REQUEST => outputs.extend(self.relay(packet)),
            _ => {}
        }
        outputs
    }

    fn note_version(&mut self, now: Duration, packet: &Packet) {
        let Some(number) = packet.config_version else {
            return;
        };
        if self.versions.len() >= MAX_VERSIONS {
            self.versions.clear();
        }
        let known = self
            .versions
            .entry(packet.sender.clone())
            .or_insert((number, now));
        if known.0 != number {
            *known = (number, now);
        }
    }

    fn own_news(&self) -> MemberNews {
        MemberNews {
            name: self.terms.name.clone(),
            cell: self.terms.cell.clone(),
            address: self.terms.address.clone(),
            incarnation: self.terms.incarnation,
            state: self.state,
        }
    }

    fn active_names(&self) -> Vec<&str> {
        let others = self.members.active().map(|m| m.news.name.as_str());
        others.chain([self.terms.name.as_str()]).collect()
    }

    fn news_interval(&self) -> Duration {
        let nodes = (self.size() as u32).min(NODES_AT_MAX);
        (MAX_NEWS_INTERVAL * nodes / NODES_AT_MAX).max(MIN_NEWS_INTERVAL)
    }

    fn packet(&mut self, now: Duration, kind: Kind) -> Packet {
        let mut packet = self.sender.packet(kind);
        let news = self.rumors.take();
        packet.members = (!news.is_empty()).then_some(news);
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
        for news in self.members.expire(now) {
            outputs.push(Output::MemberChanged(news.name.clone(), news.state));
            self.rumors.add(news, size);
        }
        outputs
    }

    // A node that knows no member pings contacts until one answers; one that does looks now and
    // then for nodes of its cell that it does not know: members it lost, since they may live on
    // behind a cut, and contacts, since a cell that starts at once starts in several parts.
    fn join(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        if now < self.next_join {
            return Vec::new();
        }
        let alone = self.members.active().next().is_none();
        self.next_join = now
            + if alone {
                JOIN_INTERVAL
            } else {
                REJOIN_INTERVAL
            };
        let lost = self.members.pick_lost(rng);
        let strangers = self.strangers(if alone { JOIN_CONTACTS } else { 1 }, rng);
        let mut outputs = Vec::new();
        if let Some(news) = lost {
            outputs.push(self.join_ping(now, &news.address, Some(&news)));
        }
        for contact in strangers {
            outputs.push(self.join_ping(now, &contact.address, None));
        }
        outputs
    }

    // Contacts that are, or may be, of this cell and are no members as far as is known.
    fn strangers(&self, count: usize, rng: &mut impl Rng) -> Vec<Contact> {
        let known: Vec<&str> = self
            .members
            .active()
            .map(|m| m.news.address.as_str())
            .collect();
        let stranger = |c: &Contact| {
            let of_cell = c.cell.is_empty() || c.cell == self.terms.cell;
            of_cell && !known.contains(&c.address.as_str())
        };
        self.contacts.pick(count, stranger, rng)
    }

    // A ping that introduces this node, and tells the other what it is taken for.
    fn join_ping(&mut self, now: Duration, to: &str, about: Option<&MemberNews>) -> Output {
        let mut packet = self.packet(now, Kind::PING);
        packet.probe = Some(JOIN_PROBE);
        packet.members = Some(
            [self.own_news()]
                .into_iter()
                .chain(about.cloned())
                .collect(),
        );
        Self::send(to, packet)
    }

    /// Answers a packet whose sender has started again with a lower incarnation than it had: it is
    /// told what it is known as, and takes a higher one.
    pub fn correct(&mut self, now: Duration, packet: &Packet) -> Option<Output> {
        let to = self.reply_address(packet)?;
        let known = self.members.get(&packet.sender)?.news.clone();
        let mut answer = self.packet(now, Kind::NEWS);
        answer.members = Some(vec![known]);
        Some(Self::send(&to, answer))
    }

    fn probe(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        let names: Vec<String> = self.members.active().map(|m| m.news.name.clone()).collect();
        let steps = self.prober.tick(now, names.iter().map(String::as_str), rng);
        let mut outputs = Vec::new();
        for step in steps {
            match step {
                ProbeStep::Ping { probe, member } => outputs.extend(self.ping(now, probe, &member)),
                ProbeStep::AskHelpers { probe, member } => {
                    outputs.extend(self.ping(now, probe, &member));
                    outputs.extend(self.ask_helpers(now, probe, &member, rng));
                }
                ProbeStep::Unanswered(member) => self.suspect(now, &member),
            }
        }
        outputs
    }

    fn ping(&mut self, now: Duration, probe: i64, member: &str) -> Option<Output> {
        let to = self.address_of(member)?.to_string();
        let mut packet = self.packet(now, Kind::PING);
        packet.probe = Some(probe);
        // News spreads by chance and can miss a node. Each member is pinged in turn, so whoever
        // knows a node without being known to it is heard of before long.
        let own = self.own_news();
        packet.members.get_or_insert_default().push(own);
        Some(Self::send(&to, packet))
    }

    fn ask_helpers(
        &mut self,
        now: Duration,
        probe: i64,
        member: &str,
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let others = self.members.active().filter(|m| m.news.name != member);
        let mut helpers: Vec<String> = others.map(|m| m.news.address.clone()).collect();
        let mut outputs = Vec::new();
        for _ in 0..HELPERS.min(helpers.len()) {
            let helper = helpers.swap_remove(rng.random_range(0..helpers.len()));
            let mut packet = self.packet(now, Kind::PING_REQUEST);
            packet.probe = Some(probe);
            packet.subject = Some(member.to_string());
            outputs.push(Self::send(&helper, packet));
        }
        outputs
    }

    fn suspect(&mut self, now: Duration, member: &str) {
        let size = self.size();
        if let Some(news) = self.members.suspect(now, member) {
            self.rumors.add(news, size);
        }
    }

    fn take_members(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let mut outputs = Vec::new();
        for news in packet.members.iter().flatten() {
            if news.name == self.terms.name {
                self.refute(news);
            } else if news.cell == self.terms.cell {
                outputs.extend(self.merge(now, news));
            } else {
                let contact = Contact {
                    name: news.name.clone(),
                    cell: news.cell.clone(),
                    address: news.address.clone(),
                };
                self.contacts.hear(now, contact);
            }
        }
        outputs
    }

    fn merge(&mut self, now: Duration, news: &MemberNews) -> Option<Output> {
        if !self.members.merge(now, news) {
            return None;
        }
        let size = self.size();
        self.rumors.add(news.clone(), size);
        Some(Output::MemberChanged(news.name.clone(), news.state))
    }

    // News that takes this node for something else than it is: a higher incarnation ends it.
    fn refute(&mut self, news: &MemberNews) {
        let as_it_is = news.state == self.state && news.address == self.terms.address;
        let newer = news.incarnation > self.terms.incarnation;
        let wrong = news.incarnation == self.terms.incarnation && !as_it_is;
        if !newer && !wrong {
            return;
        }
        self.terms.incarnation = news.incarnation + 1;
        self.sender.set_incarnation(self.terms.incarnation);
        let own = self.own_news();
        self.rumors.add(own, self.size());
    }

    fn take_news(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let mut changes = Vec::new();
        for news in packet.endpoints.iter().flatten() {
            changes.extend(self.endpoints.hear(now, news));
        }
        let mut outputs = self.changed(now, changes);
        for summary in packet.summaries.iter().flatten() {
            outputs.extend(self.take_summary(now, summary));
        }
        let demands = packet.demands.iter().flatten();
        outputs.extend(demands.clone().cloned().map(Output::DemandHeard));
        if self.is_of_other_cell(packet) {
            self.relayed_demands.extend(demands.cloned());
            self.relayed_demands.truncate(MAX_RELAYED);
            self.summaries.relay(packet.summaries.iter().flatten());
        }
        outputs.extend(self.take_config(packet));
        outputs
    }

    // Packets between cells name members of the sender's cell.
    fn is_of_other_cell(&self, packet: &Packet) -> bool {
        let mut named = packet.members.iter().flatten();
        named.any(|m| m.cell != self.terms.cell)
    }

    // What another cell tells of its leaving endpoints holds until it tells otherwise.
    fn take_summary(&mut self, now: Duration, summary: &Summary) -> Vec<Output> {
        if summary.cell == self.terms.cell {
            return Vec::new();
        }
        let Some(back) = self.summaries.hear(now, summary) else {
            return Vec::new();
        };
        let leaves = summary.leaving.iter().cloned();
        let mut outputs: Vec<Output> = leaves.map(|n| Output::Leaves(n, Duration::ZERO)).collect();
        outputs.extend(back.into_iter().map(Output::Replaced));
        outputs.push(Output::SummaryHeard(summary.clone()));
        outputs
    }

    fn take_config(&self, packet: &Packet) -> Option<Output> {
        let version = Version {
            number: packet.config_version?,
            hash: packet.config_hash.clone()?,
        };
        Some(Output::ConfigHeard(packet.sender.clone(), version))
    }

    // Leaves are told to the cell at once, all other changes with the next news.
    fn changed(&mut self, now: Duration, changes: Vec<Change>) -> Vec<Output> {
        let leaves = changes.iter().any(|c| matches!(c, Change::Leaves(..)));
        let mut outputs: Vec<Output> = changes
            .into_iter()
            .map(|change| match change {
                Change::Read(name, load, age) => Output::Read(name, load, age),
                Change::Leaves(name, left) => Output::Leaves(name, left),
                Change::Replaced(name) => Output::Replaced(name),
                Change::Silent(name) => Output::Silent(name),
            })
            .collect();
        if leaves {
            outputs.extend(self.tell_cell(now));
        }
        outputs
    }

    fn answer(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let Some(to) = self.reply_address(packet) else {
            return Vec::new();
        };
        let mut ack = self.packet(now, Kind::ACK);
        ack.probe = packet.probe;
        let known = self.members.get(&packet.sender).filter(|m| !m.is_active());
        if let Some(known) = known {
            ack.members.get_or_insert_default().push(known.news.clone());
        }
        if packet.config_version < Some(self.config.number) {
            ack.config_hash = Some(self.config.hash.clone());
        }
        let mut outputs = vec![Self::send(&to, ack)];
        if packet.probe == Some(JOIN_PROBE) {
            outputs.extend(self.welcome(now, &to));
        }
        outputs
    }

    fn reply_address(&self, packet: &Packet) -> Option<String> {
        let told = packet
            .members
            .iter()
            .flatten()
            .find(|m| m.name == packet.sender);
        let told = told.map(|m| m.address.clone());
        told.or_else(|| self.address_of(&packet.sender).map(str::to_string))
    }

    // All that a node that has just started needs to know.
    fn welcome(&mut self, now: Duration, to: &str) -> Vec<Output> {
        let mut members: Vec<MemberNews> = self.members.active().map(|m| m.news.clone()).collect();
        members.push(self.own_news());
        let mut outputs = Vec::new();
        for members in members.chunks(MEMBERS_PER_PACKET) {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.members = Some(members.to_vec());
            packet.config_hash = Some(self.config.hash.clone());
            outputs.push(Self::send(to, packet));
        }
        for part in parts(self.endpoints.all_news(now)) {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.endpoints = Some(part);
            outputs.push(Self::send(to, packet));
        }
        outputs
    }

    fn take_ack(&mut self, packet: &Packet) -> Option<Output> {
        let probe = packet.probe?;
        if let Some((asker, asked)) = self.relayed.remove(&probe) {
            let mut ack = self.sender.packet(Kind::ACK);
            ack.probe = Some(asked);
            return Some(Self::send(&asker, ack));
        }
        self.prober.answered(probe);
        None
    }

    fn relay(&mut self, packet: &Packet) -> Option<Output> {
        let asker = self.reply_address(packet)?;
        let to = self.address_of(packet.subject.as_deref()?)?.to_string();
        self.next_relay += 1;
        self.relayed.insert(self.next_relay, (asker, packet.probe?));
        // Those that were never answered are of no use any more.
        while self.relayed.len() > 64 {
            self.relayed.pop_first();
        }
        let mut ping = self.sender.packet(Kind::PING);
        ping.probe = Some(self.next_relay);
        Some(Self::send(&to, ping))
    }

    fn read_loads(&self) -> Output {
        let names = self.active_names();
        let assigned = self.endpoints.assigned(&self.terms.name, &names);
        Output::ReadLoads(assigned.into_iter().map(str::to_string).collect())
    }

    fn tell_cell(&mut self, now: Duration) -> Vec<Output> {
        let mut bodies: Vec<Body> = parts(self.endpoints.news(now))
            .into_iter()
            .map(|endpoints| Body {
                endpoints,
                ..Body::default()
            })
            .collect();
        bodies[0].demands = self.next_demands();
        bodies.extend(self.relayed(now));
        let receivers: Vec<String> = self
            .members
            .reachable()
            .map(|m| m.news.address.clone())
            .collect();
        let mut outputs = Vec::new();
        for body in &bodies {
            for to in &receivers {
                let packet = self.packet(now, Kind::NEWS);
                outputs.push(Self::send(to, body.put_into(packet)));
            }
        }
        outputs
    }

    // What other cells told this node, told on to the own cell once.
    fn relayed(&mut self, now: Duration) -> Vec<Body> {
        let summaries = self.summaries.take_relayed(now);
        let demands = std::mem::take(&mut self.relayed_demands);
        let summaries = summaries.chunks(SUMMARIES_PER_PACKET).map(|part| Body {
            summaries: part.to_vec(),
            ..Body::default()
        });
        let demands = demands.chunks(DEMANDS_PER_PACKET).map(|part| Body {
            demands: part.to_vec(),
            ..Body::default()
        });
        summaries.chain(demands).collect()
    }

    fn next_demands(&mut self) -> Vec<TeamDemand> {
        let count = self.demands.len().min(OWN_DEMANDS_PER_PACKET);
        let turn = self.demand_turn;
        self.demand_turn = self.demand_turn.wrapping_add(count);
        (0..count)
            .map(|i| self.demands[(turn + i) % self.demands.len()].clone())
            .collect()
    }

    fn tell_other_cells(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        if !self.has_duty(&format!("speaker {}", self.terms.cell), SPEAKERS) {
            return Vec::new();
        }
        self.round += 1;
        let mut contacts = self.contacts.one_each(now, rng);
        contacts.retain(|c| c.cell != self.terms.cell);
        let summaries = self.own_summaries();
        let members = self.introduced(rng);
        let mut outputs = Vec::new();
        for contact in &contacts {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.members = Some(members.clone());
            packet.summaries = Some(summaries.clone());
            outputs.push(Self::send(&contact.address, packet));
            outputs.extend(self.tell_demands(now, &contact.address, &members));
        }
        outputs
    }

    fn tell_demands(&mut self, now: Duration, to: &str, members: &[MemberNews]) -> Vec<Output> {
        let demands = self.cell_demands.clone();
        demands
            .chunks(DEMANDS_PER_PACKET)
            .map(|part| {
                let mut packet = self.packet(now, Kind::NEWS);
                packet.members = Some(members[..1].to_vec());
                packet.demands = Some(part.to_vec());
                Self::send(to, packet)
            })
            .collect()
    }

    // Other members than this speaker, for the other cells to send to: what they tell is told on to
    // the whole cell, and that work should not fall to the speakers as well.
    fn introduced(&self, rng: &mut impl Rng) -> Vec<MemberNews> {
        let mut others: Vec<&Member> = self.members.active().collect();
        let mut introduced = Vec::new();
        while introduced.len() < INTRODUCED && !others.is_empty() {
            let member = others.swap_remove(rng.random_range(0..others.len()));
            introduced.push(member.news.clone());
        }
        if introduced.is_empty() {
            introduced.push(self.own_news());
        }
        introduced
    }

    fn own_summaries(&self) -> Vec<Summary> {
        let totals = self.endpoints.totals().into_iter();
        totals
            .map(|(pool, total)| Summary {
                cell: self.terms.cell.clone(),
                pool: pool.to_string(),
                round: self.round,
                endpoints: total.endpoints,
                free_slots: total.free_slots,
                queued: total.queued,
                leaving: total.leaving,
                speaker: self.terms.name.clone(),
            })
            .collect()
    }
}
