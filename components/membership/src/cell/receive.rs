//! What a node takes from the packets of others.

use std::time::Duration;

use schema::messages::{MemberGossip, Packet, Summary};
use state::Version;

use super::{Cell, Output, MAX_RELAYED, MAX_VERSIONS};
use crate::contacts::Contact;
use crate::endpoints::Change;

impl Cell {
    pub(super) fn note_version(&mut self, now: Duration, packet: &Packet) {
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

    pub(super) fn take_members(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let mut outputs = Vec::new();
        for gossip in packet.members.iter().flatten() {
            if gossip.name == self.terms.name {
                self.refute(gossip);
            } else if gossip.cell == self.terms.cell {
                outputs.extend(self.merge(now, gossip));
            } else {
                let contact = Contact {
                    name: gossip.name.clone(),
                    cell: gossip.cell.clone(),
                    address: gossip.address.clone(),
                };
                self.contacts.receive(now, contact);
            }
        }
        outputs
    }

    pub(super) fn merge(&mut self, now: Duration, gossip: &MemberGossip) -> Option<Output> {
        if !self.members.merge(now, gossip) {
            return None;
        }
        let size = self.size();
        self.rumors.add(gossip.clone(), size);
        Some(Output::MemberChanged(gossip.name.clone(), gossip.state))
    }

    // Gossip that takes this node for something else than it is: a higher incarnation ends it.
    pub(super) fn refute(&mut self, gossip: &MemberGossip) {
        let as_it_is = gossip.state == self.state && gossip.address == self.terms.address;
        let newer = gossip.incarnation > self.terms.incarnation;
        let wrong = gossip.incarnation == self.terms.incarnation && !as_it_is;
        if !newer && !wrong {
            return;
        }
        self.terms.incarnation = gossip.incarnation + 1;
        self.sender.set_incarnation(self.terms.incarnation);
        let own = self.own_gossip();
        self.rumors.add(own, self.size());
    }

    pub(super) fn receive_gossip(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let mut changes = Vec::new();
        for gossip in packet.endpoints.iter().flatten() {
            changes.extend(self.endpoints.receive(now, gossip));
        }
        let mut outputs = self.changed(now, changes);
        for summary in packet.summaries.iter().flatten() {
            outputs.extend(self.take_summary(now, summary));
        }
        let demands = packet.demands.iter().flatten();
        outputs.extend(demands.clone().cloned().map(Output::DemandReceived));
        if self.is_of_other_cell(packet) {
            self.relayed_demands.extend(demands.cloned());
            self.relayed_demands.truncate(MAX_RELAYED);
            self.summaries.relay(packet.summaries.iter().flatten());
        }
        outputs.extend(self.take_config(packet));
        outputs
    }

    // Packets between cells name members of the sender's cell.
    pub(super) fn is_of_other_cell(&self, packet: &Packet) -> bool {
        let mut named = packet.members.iter().flatten();
        named.any(|m| m.cell != self.terms.cell)
    }

    // What another cell reports of its leaving endpoints holds until it reports otherwise.
    pub(super) fn take_summary(&mut self, now: Duration, summary: &Summary) -> Vec<Output> {
        if summary.cell == self.terms.cell {
            return Vec::new();
        }
        let Some(back) = self.summaries.receive(now, summary) else {
            return Vec::new();
        };
        let leaves = summary.leaving.iter().cloned();
        let mut outputs: Vec<Output> = leaves
            .map(|n| Output::EndpointLeaving(n, Duration::ZERO))
            .collect();
        outputs.extend(back.into_iter().map(Output::EndpointReplaced));
        outputs.push(Output::SummaryReceived(summary.clone()));
        outputs
    }

    pub(super) fn take_config(&self, packet: &Packet) -> Option<Output> {
        let version = Version {
            number: packet.config_version?,
            hash: packet.config_hash.clone()?,
        };
        Some(Output::ConfigVersionReceived(
            packet.sender.clone(),
            version,
        ))
    }

    // Leaves are reported to the cell at once, all other changes with the next gossip.
    pub(super) fn changed(&mut self, now: Duration, changes: Vec<Change>) -> Vec<Output> {
        let leaves = changes.iter().any(|c| matches!(c, Change::Leaves(..)));
        let mut outputs: Vec<Output> = changes
            .into_iter()
            .map(|change| match change {
                Change::Read(name, load, age) => Output::LoadUpdated(name, load, age),
                Change::Leaves(name, left) => Output::EndpointLeaving(name, left),
                Change::Replaced(name) => Output::EndpointReplaced(name),
                Change::Silent(name) => Output::EndpointSilent(name),
            })
            .collect();
        if leaves {
            outputs.extend(self.send_to_cell(now));
        }
        outputs
    }
}
