//! Packets and what fits into one.

use schema::messages::{EndpointGossip, Kind, Packet, Summary, TeamDemand};
use schema::SCHEMA_VERSION;

/// Gossip of endpoints in one packet; with all else a packet stays below the largest datagram.
pub const ENDPOINTS_PER_PACKET: usize = 16;
/// Members in one packet to a node that has just started.
pub const MEMBERS_PER_PACKET: usize = 16;
/// Demands in one packet that carries nothing else.
pub const DEMANDS_PER_PACKET: usize = 20;
/// Demands of the node itself in a packet with gossip of endpoints.
pub const OWN_DEMANDS_PER_PACKET: usize = 5;
/// Summaries in one packet that carries nothing else.
pub const SUMMARIES_PER_PACKET: usize = 8;

/// What one packet of gossip carries to all members.
#[derive(Clone, Debug, Default)]
pub struct Body {
    /// Gossip of endpoints.
    pub endpoints: Vec<EndpointGossip>,
    /// Summaries of other cells.
    pub summaries: Vec<Summary>,
    /// Demands of this node, or of other cells.
    pub demands: Vec<TeamDemand>,
}

impl Body {
    /// The packet with this in it.
    pub fn put_into(&self, mut packet: Packet) -> Packet {
        packet.endpoints = Some(self.endpoints.clone()).filter(|e| !e.is_empty());
        packet.summaries = Some(self.summaries.clone()).filter(|s| !s.is_empty());
        packet.demands = Some(self.demands.clone()).filter(|d| !d.is_empty());
        packet
    }
}

/// Numbers the packets of one node.
#[derive(Debug)]
pub struct Sender {
    name: String,
    incarnation: i64,
    sequence: i64,
}

impl Sender {
    /// A sender of this name and incarnation.
    pub fn new(name: &str, incarnation: i64) -> Self {
        Sender {
            name: name.to_string(),
            incarnation,
            sequence: 0,
        }
    }

    /// Takes a higher incarnation.
    pub fn set_incarnation(&mut self, incarnation: i64) {
        self.incarnation = incarnation;
        self.sequence = 0;
    }

    /// An empty packet with the next sequence.
    pub fn packet(&mut self, kind: Kind) -> Packet {
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

/// Cuts gossip into parts that fit into a packet; there is at least one part.
pub fn parts(gossip: Vec<EndpointGossip>) -> Vec<Vec<EndpointGossip>> {
    if gossip.is_empty() {
        return vec![gossip];
    }
    gossip
        .chunks(ENDPOINTS_PER_PACKET)
        .map(<[EndpointGossip]>::to_vec)
        .collect()
}
