//! Packets and what fits into one.

use schema::messages::{EndpointNews, Kind, Packet};
use schema::SCHEMA_VERSION;

/// News of endpoints in one packet; with all else a packet stays below the largest datagram.
pub const ENDPOINTS_PER_PACKET: usize = 16;
/// Members in one packet to a node that has just started.
pub const MEMBERS_PER_PACKET: usize = 16;
/// Demands in one packet.
pub const DEMANDS_PER_PACKET: usize = 5;

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

/// Cuts news into parts that fit into a packet; there is at least one part.
pub fn parts(news: Vec<EndpointNews>) -> Vec<Vec<EndpointNews>> {
    if news.is_empty() {
        return vec![news];
    }
    news.chunks(ENDPOINTS_PER_PACKET)
        .map(<[EndpointNews]>::to_vec)
        .collect()
}
