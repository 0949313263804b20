//! Joining a cell, probing its members, and answering join pings and probes.

use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{Kind, MemberGossip, Packet};

use super::{Cell, Output, JOIN_INTERVAL, JOIN_PROBE, MAX_JOIN_CONTACTS, REJOIN_INTERVAL};
use crate::contacts::Contact;
use crate::packets::{split_into_chunks, MAX_MEMBERS_PER_SNAPSHOT_PACKET};
use crate::probe::{ProbeStep, MAX_INDIRECT_PROBES};

impl Cell {
    // A node that knows no active member pings contacts until one answers. Otherwise it pings, from
    // time to time, nodes of its cell that are not active members: lost members, since they may
    // still run on the other side of a network partition, and unknown contacts, since nodes of a
    // cell that start at the same time can form several separate groups.
    pub(super) fn join(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        if now < self.next_join_at {
            return Vec::new();
        }
        let is_alone = self.members.active().next().is_none();
        self.next_join_at = now
            + if is_alone {
                JOIN_INTERVAL
            } else {
                REJOIN_INTERVAL
            };
        let lost = self.members.random_lost(rng);
        let unknown_contacts =
            self.unknown_contacts(if is_alone { MAX_JOIN_CONTACTS } else { 1 }, rng);
        let mut outputs = Vec::new();
        if let Some(gossip) = lost {
            outputs.push(self.join_ping(now, &gossip.address, Some(&gossip)));
        }
        for contact in unknown_contacts {
            outputs.push(self.join_ping(now, &contact.address, None));
        }
        outputs
    }

    // Contacts that are or may be of this cell and are not known as active members.
    pub(super) fn unknown_contacts(&self, count: usize, rng: &mut impl Rng) -> Vec<Contact> {
        let member_addresses: Vec<&str> = self
            .members
            .active()
            .map(|m| m.gossip.address.as_str())
            .collect();
        let is_unknown = |c: &Contact| {
            let may_be_of_cell = c.cell.is_empty() || c.cell == self.identity.cell;
            may_be_of_cell && !member_addresses.contains(&c.address.as_str())
        };
        self.contacts.pick_matching(count, is_unknown, rng)
    }

    // A ping that introduces this node. With `about`, it also tells the receiver what is known
    // about it, so that a receiver declared dead can refute that.
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
                ProbeStep::ProbeIndirectly { probe, member } => {
                    outputs.extend(self.ping(now, probe, &member));
                    outputs.extend(self.request_indirect_probes(now, probe, &member, rng));
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
        // Gossip is spread at random and can miss a node. Since each member is pinged in turn, a
        // node that does not know this one learns of it from a ping.
        let own = self.own_gossip();
        packet.members.get_or_insert_default().push(own);
        Some(Self::send(&to, packet))
    }

    pub(super) fn request_indirect_probes(
        &mut self,
        now: Duration,
        probe: i64,
        member: &str,
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let others = self.members.active().filter(|m| m.gossip.name != member);
        let mut helpers: Vec<String> = others.map(|m| m.gossip.address.clone()).collect();
        let mut outputs = Vec::new();
        for _ in 0..MAX_INDIRECT_PROBES.min(helpers.len()) {
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
            self.dissemination.add(gossip, size);
        }
    }

    pub(super) fn answer_ping(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let Some(to) = self.sender_address(packet) else {
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
            outputs.extend(self.send_snapshot(now, &to));
        }
        outputs
    }

    pub(super) fn sender_address(&self, packet: &Packet) -> Option<String> {
        let reported = packet
            .members
            .iter()
            .flatten()
            .find(|m| m.name == packet.sender);
        let reported = reported.map(|m| m.address.clone());
        reported.or_else(|| self.address_of(&packet.sender).map(str::to_string))
    }

    // Sends a joining node the active members, the configuration version and all endpoints.
    pub(super) fn send_snapshot(&mut self, now: Duration, to: &str) -> Vec<Output> {
        let mut members: Vec<MemberGossip> =
            self.members.active().map(|m| m.gossip.clone()).collect();
        members.push(self.own_gossip());
        let mut outputs = Vec::new();
        for members in members.chunks(MAX_MEMBERS_PER_SNAPSHOT_PACKET) {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.members = Some(members.to_vec());
            packet.config_hash = Some(self.config.hash.clone());
            outputs.push(Self::send(to, packet));
        }
        for chunk in split_into_chunks(self.endpoints.snapshot_gossip(now)) {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.endpoints = Some(chunk);
            outputs.push(Self::send(to, packet));
        }
        outputs
    }

    pub(super) fn receive_ack(&mut self, packet: &Packet) -> Option<Output> {
        let probe = packet.probe?;
        if let Some((requester, requester_probe)) = self.relayed_pings.remove(&probe) {
            let mut ack = self.sequencer.next_packet(Kind::ACK);
            ack.probe = Some(requester_probe);
            return Some(Self::send(&requester, ack));
        }
        self.prober.acknowledge(probe);
        None
    }

    pub(super) fn relay_ping(&mut self, packet: &Packet) -> Option<Output> {
        let requester = self.sender_address(packet)?;
        let to = self.address_of(packet.subject.as_deref()?)?.to_string();
        self.last_relayed_probe += 1;
        self.relayed_pings
            .insert(self.last_relayed_probe, (requester, packet.probe?));
        // Drops the oldest pings, which will not be answered any more.
        while self.relayed_pings.len() > 64 {
            self.relayed_pings.pop_first();
        }
        let mut ping = self.sequencer.next_packet(Kind::PING);
        ping.probe = Some(self.last_relayed_probe);
        Some(Self::send(&to, ping))
    }
}
