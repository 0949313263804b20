//! Gossip to the own cell, and summaries and demands to other cells.

use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{Kind, MemberGossip, Summary, TeamDemand};

use super::{Cell, Output, MAX_INTRODUCED_MEMBERS, SPEAKERS_PER_CELL};
use crate::members::Member;
use crate::packets::{
    split_into_chunks, GossipPayload, MAX_DEMANDS_PER_PACKET, MAX_OWN_DEMANDS_PER_PACKET,
    MAX_SUMMARIES_PER_PACKET,
};

impl Cell {
    pub(super) fn send_to_cell(&mut self, now: Duration) -> Vec<Output> {
        let mut payloads: Vec<GossipPayload> =
            split_into_chunks(self.endpoints.take_round_gossip(now))
                .into_iter()
                .map(|endpoints| GossipPayload {
                    endpoints,
                    ..GossipPayload::default()
                })
                .collect();
        payloads[0].demands = self.next_demands();
        payloads.extend(self.relayed_payloads(now));
        let receivers: Vec<String> = self
            .members
            .reachable()
            .map(|m| m.gossip.address.clone())
            .collect();
        let mut outputs = Vec::new();
        for payload in &payloads {
            for to in &receivers {
                let packet = self.packet(now, Kind::NEWS);
                outputs.push(Self::send(to, payload.add_to(packet)));
            }
        }
        outputs
    }

    // Summaries and demands received from other cells, to be relayed to the own cell once.
    pub(super) fn relayed_payloads(&mut self, now: Duration) -> Vec<GossipPayload> {
        let summaries = self.summaries.drain_relay_queue(now);
        let demands = std::mem::take(&mut self.relayed_demands);
        let summaries = summaries
            .chunks(MAX_SUMMARIES_PER_PACKET)
            .map(|chunk| GossipPayload {
                summaries: chunk.to_vec(),
                ..GossipPayload::default()
            });
        let demands = demands
            .chunks(MAX_DEMANDS_PER_PACKET)
            .map(|chunk| GossipPayload {
                demands: chunk.to_vec(),
                ..GossipPayload::default()
            });
        summaries.chain(demands).collect()
    }

    pub(super) fn next_demands(&mut self) -> Vec<TeamDemand> {
        let count = self.own_demands.len().min(MAX_OWN_DEMANDS_PER_PACKET);
        let first = self.next_demand;
        self.next_demand = self.next_demand.wrapping_add(count);
        (0..count)
            .map(|i| self.own_demands[(first + i) % self.own_demands.len()].clone())
            .collect()
    }

    pub(super) fn send_to_other_cells(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
        if !self.has_duty(
            &format!("speaker {}", self.identity.cell),
            SPEAKERS_PER_CELL,
        ) {
            return Vec::new();
        }
        self.summary_round += 1;
        let mut contacts = self.contacts.pick_one_per_cell(now, rng);
        contacts.retain(|c| c.cell != self.identity.cell);
        let summaries = self.own_summaries();
        let members = self.introduced_members(rng);
        let mut outputs = Vec::new();
        for contact in &contacts {
            let mut packet = self.packet(now, Kind::NEWS);
            packet.members = Some(members.clone());
            packet.summaries = Some(summaries.clone());
            outputs.push(Self::send(&contact.address, packet));
            outputs.extend(self.send_demands(now, &contact.address, &members));
        }
        outputs
    }

    pub(super) fn send_demands(
        &mut self,
        now: Duration,
        to: &str,
        members: &[MemberGossip],
    ) -> Vec<Output> {
        let demands = self.cell_demands.clone();
        demands
            .chunks(MAX_DEMANDS_PER_PACKET)
            .map(|chunk| {
                let mut packet = self.packet(now, Kind::NEWS);
                packet.members = Some(members[..1].to_vec());
                packet.demands = Some(chunk.to_vec());
                Self::send(to, packet)
            })
            .collect()
    }

    // Random members other than this speaker, to which the receiving cell can send. The receiver of
    // a packet from another cell relays it to its whole cell; the speakers should not have that
    // work too.
    pub(super) fn introduced_members(&self, rng: &mut impl Rng) -> Vec<MemberGossip> {
        let mut others: Vec<&Member> = self.members.active().collect();
        let mut introduced_members = Vec::new();
        while introduced_members.len() < MAX_INTRODUCED_MEMBERS && !others.is_empty() {
            let member = others.swap_remove(rng.random_range(0..others.len()));
            introduced_members.push(member.gossip.clone());
        }
        if introduced_members.is_empty() {
            introduced_members.push(self.own_gossip());
        }
        introduced_members
    }

    pub(super) fn own_summaries(&self) -> Vec<Summary> {
        let totals = self.endpoints.totals().into_iter();
        totals
            .map(|(pool, total)| Summary {
                cell: self.identity.cell.clone(),
                pool: pool.to_string(),
                round: self.summary_round,
                endpoints: total.endpoints,
                free_slots: total.free_slots,
                queued: total.queued,
                leaving: total.leaving,
                speaker: self.identity.name.clone(),
            })
            .collect()
    }
}
