//! Merging what packets from other nodes carry.

use std::time::Duration;

use schema::messages::{MemberGossip, Packet, Summary};
use state::Version;

use super::{Cell, Output, MAX_CONFIG_VERSIONS, MAX_RELAYED_DEMANDS};
use crate::contacts::Contact;
use crate::endpoints::EndpointChange;

impl Cell {
    pub(super) fn record_config_version(&mut self, now: Duration, packet: &Packet) {
        let Some(number) = packet.config_version else {
            return;
        };
        if self.sender_config_versions.len() >= MAX_CONFIG_VERSIONS {
            self.sender_config_versions.clear();
        }
        let known = self
            .sender_config_versions
            .entry(packet.sender.clone())
            .or_insert((number, now));
        if known.0 != number {
            *known = (number, now);
        }
    }

    pub(super) fn receive_members(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let mut outputs = Vec::new();
        for gossip in packet.members.iter().flatten() {
            if gossip.name == self.identity.name {
                self.refute(gossip);
            } else if gossip.cell == self.identity.cell {
                outputs.extend(self.merge_member(now, gossip));
            } else {
                let contact = Contact {
                    name: gossip.name.clone(),
                    cell: gossip.cell.clone(),
                    address: gossip.address.clone(),
                };
                self.contacts.add_seen(now, contact);
            }
        }
        outputs
    }

    pub(super) fn merge_member(&mut self, now: Duration, gossip: &MemberGossip) -> Option<Output> {
        if !self.members.merge(now, gossip) {
            return None;
        }
        let size = self.size();
        self.dissemination.add(gossip.clone(), size);
        Some(Output::MemberChanged(gossip.name.clone(), gossip.state))
    }

    // Refutes gossip that has another state or address for this node, or a later incarnation, by
    // taking a higher incarnation.
    pub(super) fn refute(&mut self, gossip: &MemberGossip) {
        let is_accurate = gossip.state == self.state && gossip.address == self.identity.address;
        let is_newer = gossip.incarnation > self.identity.incarnation;
        let is_wrong = gossip.incarnation == self.identity.incarnation && !is_accurate;
        if !is_newer && !is_wrong {
            return;
        }
        self.identity.incarnation = gossip.incarnation + 1;
        self.sequencer.set_incarnation(self.identity.incarnation);
        let own = self.own_gossip();
        self.dissemination.add(own, self.size());
    }

    pub(super) fn receive_gossip(&mut self, now: Duration, packet: &Packet) -> Vec<Output> {
        let mut changes = Vec::new();
        for gossip in packet.endpoints.iter().flatten() {
            changes.extend(self.endpoints.receive(now, gossip));
        }
        let mut outputs = self.report_changes(now, changes);
        for summary in packet.summaries.iter().flatten() {
            outputs.extend(self.receive_summary(now, summary));
        }
        let demands = packet.demands.iter().flatten();
        outputs.extend(demands.clone().cloned().map(Output::DemandReceived));
        if self.is_from_other_cell(packet) {
            self.relayed_demands.extend(demands.cloned());
            self.relayed_demands.truncate(MAX_RELAYED_DEMANDS);
            self.summaries
                .queue_for_relay(packet.summaries.iter().flatten());
        }
        outputs.extend(self.receive_config_version(packet));
        outputs
    }

    // A packet from another cell names members of that cell.
    pub(super) fn is_from_other_cell(&self, packet: &Packet) -> bool {
        let mut members = packet.members.iter().flatten();
        members.any(|m| m.cell != self.identity.cell)
    }

    // An endpoint that another cell reports as leaving stays so until a newer summary leaves it
    // out.
    pub(super) fn receive_summary(&mut self, now: Duration, summary: &Summary) -> Vec<Output> {
        if summary.cell == self.identity.cell {
            return Vec::new();
        }
        let Some(no_longer_leaving) = self.summaries.receive(now, summary) else {
            return Vec::new();
        };
        let leaving = summary.leaving.iter().cloned();
        let mut outputs: Vec<Output> = leaving
            .map(|name| Output::EndpointLeaving(name, Duration::ZERO))
            .collect();
        outputs.extend(no_longer_leaving.into_iter().map(Output::EndpointReplaced));
        outputs.push(Output::SummaryReceived(summary.clone()));
        outputs
    }

    pub(super) fn receive_config_version(&self, packet: &Packet) -> Option<Output> {
        let version = Version {
            number: packet.config_version?,
            hash: packet.config_hash.clone()?,
        };
        Some(Output::ConfigVersionReceived(
            packet.sender.clone(),
            version,
        ))
    }

    // Leaves are sent to the cell at once, other changes with the next round of gossip.
    pub(super) fn report_changes(
        &mut self,
        now: Duration,
        changes: Vec<EndpointChange>,
    ) -> Vec<Output> {
        let has_leave = changes
            .iter()
            .any(|c| matches!(c, EndpointChange::Leaving(..)));
        let mut outputs: Vec<Output> = changes
            .into_iter()
            .map(|change| match change {
                EndpointChange::LoadUpdated(name, load, age) => {
                    Output::LoadUpdated(name, load, age)
                }
                EndpointChange::Leaving(name, time_left) => {
                    Output::EndpointLeaving(name, time_left)
                }
                EndpointChange::Replaced(name) => Output::EndpointReplaced(name),
                EndpointChange::Silent(name) => Output::EndpointSilent(name),
            })
            .collect();
        if has_leave {
            outputs.extend(self.send_to_cell(now));
        }
        outputs
    }
}
