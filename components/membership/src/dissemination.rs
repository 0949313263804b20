//! Dissemination of member gossip, piggybacked on a limited number of packets.

use std::collections::BTreeMap;

use schema::messages::MemberGossip;

/// Number of packets that carry a piece of gossip, per doubling of the cell size.
const SENDS_PER_DOUBLING: u32 = 4;
/// Upper limit of members whose gossip is piggybacked on one packet.
const MAX_PIGGYBACKED_MEMBERS: usize = 6;

/// Member gossip that is still being sent, with the number of sends left, by member name.
#[derive(Debug, Default)]
pub struct DisseminationQueue {
    gossip: BTreeMap<String, (u32, MemberGossip)>,
}

impl DisseminationQueue {
    /// Queues gossip for a cell of this size; it replaces queued gossip about the same member.
    pub fn add(&mut self, gossip: MemberGossip, cell_size: usize) {
        let sends = SENDS_PER_DOUBLING * (usize::BITS - cell_size.leading_zeros());
        self.gossip.insert(gossip.name.clone(), (sends, gossip));
    }

    /// The gossip for the next packet: the pieces with the most sends left.
    pub fn take_for_packet(&mut self) -> Vec<MemberGossip> {
        let mut waiting: Vec<(u32, String)> = self
            .gossip
            .iter()
            .map(|(name, (sends, _))| (*sends, name.clone()))
            .collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        waiting.truncate(MAX_PIGGYBACKED_MEMBERS);
        let taken = waiting.iter().filter_map(|(_, name)| self.take_one(name));
        taken.collect()
    }

    fn take_one(&mut self, name: &str) -> Option<MemberGossip> {
        let (sends, gossip) = self.gossip.get_mut(name)?;
        *sends -= 1;
        let (remaining, gossip) = (*sends, gossip.clone());
        if remaining == 0 {
            self.gossip.remove(name);
        }
        Some(gossip)
    }
}
