//! Joining a cell, probing its members, and answering both.

use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{Kind, MemberGossip, Packet};

use super::{Cell, Output, JOIN_CONTACTS, JOIN_INTERVAL, JOIN_PROBE, REJOIN_INTERVAL};
use crate::contacts::Contact;
use crate::packets::{parts, MEMBERS_PER_PACKET};
use crate::probe::{ProbeStep, HELPERS};

impl Cell {
    // A node that knows no member pings contacts until one answers; one that does looks now and
    // then for nodes of its cell that it does not know: members it lost, since they may live on
    // behind a cut, and contacts, since a cell that starts at once starts in several parts.
    pub(super) fn join(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
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
        if let Some(gossip) = lost {
            outputs.push(self.join_ping(now, &gossip.address, Some(&gossip)));
        }
        for contact in strangers {
            outputs.push(self.join_ping(now, &contact.address, None));
        }
        outputs
    }

    // Contacts that are, or may be, of this cell and are no members as far as is known.
    pub(super) fn strangers(&self, count: usize, rng: &mut impl Rng) -> Vec<Contact> {
        let known: Vec<&str> = self
            .members
            .active()
            .map(|m| m.gossip.address.as_str())
            .collect();
        let stranger = |c: &Contact| {
            let of_cell = c.cell.is_empty() || c.cell == self.terms.cell;
            of_cell && !known.contains(&c.address.as_str())
        };
        self.contacts.pick(count, stranger, rng)
    }

    // A ping that introduces this node, and reports to the other what it is taken for.
    pub(super) fn join_ping(
        &mut self,
        now: Duration,
        to: &str,
        about: Option<&MemberGossip>,
    ) -> Output {
        let mut packet = self.packet(now, Kind::PING);
        packet.probe = Some(JOIN_PROBE);
        packet.members = Some(
            [self.own_gossip()]
                .into_iter()
                .chain(about.cloned())
                .collect(),
        );
        Self::send(to, packet)
    }

    pub(super) fn probe(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        let names: Vec<String> = self
            .members
            .active()
            .map(|m| m.gossip.name.clone())
            .collect();
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

    pub(super) fn ping(&mut self, now: Duration, probe: i64, member: &str) -> Option<Output> {
        let to = self.address_of(member)?.to_string();
        let mut packet = self.packet(now, Kind::PING);
        packet.probe = Some(probe);
        // Gossip spreads by chance and can miss a node. Each member is pinged in turn, so whoever
        // knows a node without being known to it is heard of before long.
        let own = self.own_gossip();
        packet.members.get_or_insert_default().push(own);
        Some(Self::send(&to, packet))
    }

    pub(super) fn ask_helpers(
        &mut self,
        now: Duration,
        probe: i64,
        member: &str,
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let others = self.members.active().filter(|m| m.gossip.name != member);
        let mut helpers: Vec<String> = others.map(|m| m.gossip.address.clone()).collect();
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

    pub(super) fn suspect(&mut self, now: Duration, member: &str) {
        let size = self.size();
        if let Some(gossip) = self.members.suspect(now, member) {
            self.rumors.add(gossip, size);
        }
    }

    pub(super) fn answer(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let Some(to) = self.reply_address(packet) else {
            return Vec::new();
        };
        let mut ack = self.packet(now, Kind::ACK);
        ack.probe = packet.probe;
        let known = self.members.get(&packet.sender).filter(|m| !m.is_active());
        if let Some(known) = known {
            ack.members
                .get_or_insert_default()
                .push(known.gossip.clone());
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

    pub(super) fn reply_address(&self, packet: &Packet) -> Option<String> {
        let reported = packet
            .members
            .iter()
            .flatten()
            .find(|m| m.name == packet.sender);
        let reported = reported.map(|m| m.address.clone());
        reported.or_else(|| self.address_of(&packet.sender).map(str::to_string))
    }

    // All that a node that has just started needs to know.
    pub(super) fn welcome(&mut self, now: Duration, to: &str) -> Vec<Output> {
        let mut members: Vec<MemberGossip> =
            self.members.active().map(|m| m.gossip.clone()).collect();
        members.push(self.own_gossip());
        let mut outputs = Vec::new();
        for members in members.chunks(MEMBERS_PER_PACKET) {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.members = Some(members.to_vec());
            packet.config_hash = Some(self.config.hash.clone());
            outputs.push(Self::send(to, packet));
        }
        for part in parts(self.endpoints.all_gossip(now)) {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.endpoints = Some(part);
            outputs.push(Self::send(to, packet));
        }
        outputs
    }

    pub(super) fn take_ack(&mut self, packet: &Packet) -> Option<Output> {
        let probe = packet.probe?;
        if let Some((asker, asked)) = self.relayed.remove(&probe) {
            let mut ack = self.sender.packet(Kind::ACK);
            ack.probe = Some(asked);
            return Some(Self::send(&asker, ack));
        }
        self.prober.answered(probe);
        None
    }

    pub(super) fn relay(&mut self, packet: &Packet) -> Option<Output> {
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
}
