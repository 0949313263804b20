//! Packets and the limits of what one packet carries.

use schema::messages::{EndpointGossip, Kind, Packet, Summary, TeamDemand};
use schema::SCHEMA_VERSION;

/// Upper limit of endpoints in one packet. With everything else it carries, such a packet stays
/// below the maximum datagram size.
pub const MAX_ENDPOINTS_PER_PACKET: usize = 16;
/// Upper limit of members in one packet of the snapshot for a joining node.
pub const MAX_MEMBERS_PER_SNAPSHOT_PACKET: usize = 16;
/// Upper limit of demands in a packet without endpoints and summaries.
pub const MAX_DEMANDS_PER_PACKET: usize = 20;
/// Upper limit of the node's own demands in a packet that also carries endpoints.
pub const MAX_OWN_DEMANDS_PER_PACKET: usize = 5;
/// Upper limit of summaries in a packet without endpoints and demands.
pub const MAX_SUMMARIES_PER_PACKET: usize = 8;

/// Gossip that is sent to all members of the cell in one packet each.
#[derive(Clone, Debug, Default)]
pub struct GossipPayload {
    /// Loads and leaves of endpoints.
    pub endpoints: Vec<EndpointGossip>,
    /// Summaries of other cells.
    pub summaries: Vec<Summary>,
    /// Demands of this node or of other cells.
    pub demands: Vec<TeamDemand>,
}

impl GossipPayload {
    /// Puts the payload into a packet; an empty list is left out.
    pub fn add_to(&self, mut packet: Packet) -> Packet {
        packet.endpoints = Some(self.endpoints.clone()).filter(|e| !e.is_empty());
        packet.summaries = Some(self.summaries.clone()).filter(|s| !s.is_empty());
        packet.demands = Some(self.demands.clone()).filter(|d| !d.is_empty());
        packet
    }
}

/// Creates the packets of one node and numbers them.
#[derive(Debug)]
pub struct PacketSequencer {
    name: String,
    incarnation: i64,
    sequence: i64,
}

impl PacketSequencer {
    /// Starts at sequence 1 for a node of this name and incarnation.
    pub fn new(name: &str, incarnation: i64) -> Self {
        PacketSequencer {
            name: name.to_string(),
            incarnation,
            sequence: 0,
        }
    }

    /// Sets a higher incarnation and restarts the sequence.
    pub fn set_incarnation(&mut self, incarnation: i64) {
        self.incarnation = incarnation;
        self.sequence = 0;
    }

    /// An empty packet with the next sequence number.
    pub fn next_packet(&mut self, kind: Kind) -> Packet {
        self.sequence += 1;
        Packet {
            schema_version: SCHEMA_VERSION,
            sender: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            kind,
            probe: None,
            subject: None,
            members: None,
            endpoints: None,
            summaries: None,
            demands: None,
            config_version: None,
            config_hash: None,
        }
    }
}

/// Splits endpoint gossip into chunks of one packet each. Empty gossip gives one empty chunk.
pub fn split_into_chunks(gossip: Vec<EndpointGossip>) -> Vec<Vec<EndpointGossip>> {
    if gossip.is_empty() {
        return vec![gossip];
    }
    gossip
        .chunks(MAX_ENDPOINTS_PER_PACKET)
        .map(<[EndpointGossip]>::to_vec)
        .collect()
}
