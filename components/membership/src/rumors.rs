//! Gossip of members that rides on other packets until enough of them carried it.

use std::collections::BTreeMap;

use schema::messages::MemberGossip;

/// Times a piece of gossip is sent, for each doubling of the cell.
const SENDS_PER_DOUBLING: u32 = 4;
/// Gossip of members in one packet.
const MAX_PER_PACKET: usize = 6;

/// Gossip that is being spread.
#[derive(Debug, Default)]
pub struct Rumors {
    gossip: BTreeMap<String, (u32, MemberGossip)>,
}

impl Rumors {
    /// Spreads gossip through a cell of this size; newer gossip of a member replaces older.
    pub fn add(&mut self, gossip: MemberGossip, cell_size: usize) {
        let sends = SENDS_PER_DOUBLING * (usize::BITS - cell_size.leading_zeros());
        self.gossip.insert(gossip.name.clone(), (sends, gossip));
    }

    /// The gossip for the next packet: that which was sent least.
    pub fn take(&mut self) -> Vec<MemberGossip> {
        let mut waiting: Vec<(u32, String)> = self
            .gossip
            .iter()
            .map(|(name, (sends, _))| (*sends, name.clone()))
            .collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        waiting.truncate(MAX_PER_PACKET);
        let taken = waiting.iter().filter_map(|(_, name)| self.send(name));
        taken.collect()
    }

    fn send(&mut self, name: &str) -> Option<MemberGossip> {
        let (sends, gossip) = self.gossip.get_mut(name)?;
        *sends -= 1;
        let (left, gossip) = (*sends, gossip.clone());
        if left == 0 {
            self.gossip.remove(name);
        }
        Some(gossip)
    }
}
