//! What a node reports to its own cell and the others.

use std::time::Duration;

use rand::{Rng, RngExt};
use schema::messages::{Kind, MemberGossip, Summary, TeamDemand};

use super::{Cell, Output, INTRODUCED, SPEAKERS};
use crate::members::Member;
use crate::packets::{
    parts, Body, DEMANDS_PER_PACKET, OWN_DEMANDS_PER_PACKET, SUMMARIES_PER_PACKET,
};

impl Cell {
    pub(super) fn send_to_cell(&mut self, now: Duration) -> Vec<Output> {
        let mut bodies: Vec<Body> = parts(self.endpoints.gossip(now))
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
            .map(|m| m.gossip.address.clone())
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

    // What other cells reported to this node, reported on to the own cell once.
    pub(super) fn relayed(&mut self, now: Duration) -> Vec<Body> {
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

    pub(super) fn next_demands(&mut self) -> Vec<TeamDemand> {
        let count = self.demands.len().min(OWN_DEMANDS_PER_PACKET);
        let turn = self.demand_turn;
        self.demand_turn = self.demand_turn.wrapping_add(count);
        (0..count)
            .map(|i| self.demands[(turn + i) % self.demands.len()].clone())
            .collect()
    }

    pub(super) fn send_to_other_cells(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Output> {
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
            .chunks(DEMANDS_PER_PACKET)
            .map(|part| {
                let mut packet = self.packet(now, Kind::NEWS);
                packet.members = Some(members[..1].to_vec());
                packet.demands = Some(part.to_vec());
                Self::send(to, packet)
            })
            .collect()
    }

    // Other members than this speaker, for the other cells to send to: what they report is reported on to
    // the whole cell, and that work should not fall to the speakers as well.
    pub(super) fn introduced(&self, rng: &mut impl Rng) -> Vec<MemberGossip> {
        let mut others: Vec<&Member> = self.members.active().collect();
        let mut introduced = Vec::new();
        while introduced.len() < INTRODUCED && !others.is_empty() {
            let member = others.swap_remove(rng.random_range(0..others.len()));
            introduced.push(member.gossip.clone());
        }
        if introduced.is_empty() {
            introduced.push(self.own_gossip());
        }
        introduced
    }

    pub(super) fn own_summaries(&self) -> Vec<Summary> {
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
