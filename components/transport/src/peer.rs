//! Datagrams between nodes: signed, bounded, and each taken once.

use std::cmp::Ordering;
use std::collections::hash_map::{Entry, HashMap};
use std::fmt;

use schema::messages::Packet;

use crate::auth::{sign, verify, Key, TAG_BYTES};

/// Largest datagram, so that none is fragmented on an ordinary network.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// How far behind the newest sequence a datagram may come and still be reported from a replay.
const WINDOW: i64 = 64;
/// Senders whose sequences are remembered.
const MAX_SENDERS: usize = 4096;

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PacketError {
    /// It is larger than [`MAX_DATAGRAM_BYTES`] or too short.
    Size,
    /// Its tag is wrong.
    Foreign,
    /// It cannot be decoded.
    Malformed,
    /// It was seen before or is too old.
    Replayed,
    /// It is of an older incarnation of its sender: a node that started again with a slow clock.
    OldIncarnation(Box<Packet>),
}

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "datagram dropped: {self:?}; check that all nodes have the same peer_key"
        )
    }
}

impl std::error::Error for PacketError {}

/// Encodes and signs a packet.
pub fn seal_packet(key: &Key, packet: &Packet) -> Result<Vec<u8>, PacketError> {
    let mut bytes = schema::encode(packet).map_err(|_| PacketError::Malformed)?;
    let tag = sign(key, &bytes);
    bytes.extend_from_slice(&tag);
    match bytes.len() <= MAX_DATAGRAM_BYTES {
        true => Ok(bytes),
        false => Err(PacketError::Size),
    }
}

/// Checks and decodes a datagram.
pub fn open_packet(
    key: &Key,
    guard: &mut ReplayGuard,
    bytes: &[u8],
) -> Result<Packet, PacketError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() <= TAG_BYTES {
        return Err(PacketError::Size);
    }
    let (value, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if !verify(key, value, tag) {
        return Err(PacketError::Foreign);
    }
    let packet: Packet = schema::decode(value).map_err(|_| PacketError::Malformed)?;
    match guard.admit(&packet) {
        Fresh::New => Ok(packet),
        Fresh::Seen => Err(PacketError::Replayed),
        Fresh::Old => Err(PacketError::OldIncarnation(Box::new(packet))),
    }
}

enum Fresh {
    New,
    Seen,
    Old,
}

#[derive(Debug)]
struct Seen {
    incarnation: i64,
    newest: i64,
    // Bit n says that `newest - n` was seen.
    window: u64,
}

/// Reports replayed datagrams by the sender's incarnation and sequence.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<String, Seen>,
}

impl ReplayGuard {
    fn admit(&mut self, packet: &Packet) -> Fresh {
        let fresh = Seen {
            incarnation: packet.incarnation,
            newest: packet.sequence,
            window: 1,
        };
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&packet.sender) {
            self.senders.clear();
        }
        let seen = self.senders.entry(packet.sender.clone());
        let seen = match seen {
            Entry::Vacant(vacant) => {
                vacant.insert(fresh);
                return Fresh::New;
            }
            Entry::Occupied(occupied) => occupied.into_mut(),
        };
        match packet.incarnation.cmp(&seen.incarnation) {
            Ordering::Less => Fresh::Old,
            Ordering::Greater => {
                *seen = fresh;
                Fresh::New
            }
            Ordering::Equal if seen.admit(packet.sequence) => Fresh::New,
            Ordering::Equal => Fresh::Seen,
        }
    }
}

impl Seen {
    fn admit(&mut self, sequence: i64) -> bool {
        let ahead = sequence - self.newest;
        if ahead > 0 {
            self.window = self
                .window
                .checked_shl(ahead.min(WINDOW) as u32)
                .unwrap_or(0)
                | 1;
            self.newest = sequence;
            return true;
        }
        let behind = -ahead;
        if behind >= WINDOW || self.window & (1 << behind) != 0 {
            return false;
        }
        self.window |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use schema::messages::Kind;

    fn packet(incarnation: i64, sequence: i64) -> Packet {
        Packet {
            schema_version: 1,
            sender: "a".into(),
            incarnation,
            sequence,
            kind: Kind::PING,
            probe: Some(3),
            subject: None,
            members: None,
            endpoints: None,
            summaries: None,
            demands: None,
            config_version: None,
            config_hash: None,
        }
    }

    #[test]
    fn can_take_each_datagram_once_in_any_order() {
        let key = Key::new("0123456789abcdef");
        let mut guard = ReplayGuard::default();
        for (sequence, taken) in [(5, true), (7, true), (6, true), (6, false), (5, false)] {
            let bytes = seal_packet(&key, &packet(1, sequence)).unwrap();
            assert_eq!(
                open_packet(&key, &mut guard, &bytes).is_ok(),
                taken,
                "{sequence}"
            );
        }
    }

    #[test]
    fn errors_on_an_older_incarnation() {
        let mut guard = ReplayGuard::default();
        assert!(matches!(guard.admit(&packet(2, 1)), Fresh::New));
        assert!(matches!(guard.admit(&packet(1, 9)), Fresh::Old));
    }

    #[test]
    fn errors_on_foreign_cut_and_altered_datagrams() {
        let key = Key::new("0123456789abcdef");
        let bytes = seal_packet(&Key::new("another key 1234"), &packet(1, 1)).unwrap();
        let mut guard = ReplayGuard::default();
        assert_eq!(
            open_packet(&key, &mut guard, &bytes),
            Err(PacketError::Foreign)
        );
        let good = seal_packet(&key, &packet(1, 1)).unwrap();
        for at in 0..good.len() {
            let mut altered = good.clone();
            altered[at] ^= 1;
            assert!(open_packet(&key, &mut guard, &altered).is_err());
            assert!(open_packet(&key, &mut guard, &good[..at]).is_err());
        }
    }

    #[test]
    fn errors_on_oversized_datagrams() {
        let key = Key::new("0123456789abcdef");
        let big = Packet {
            subject: Some("x".repeat(MAX_DATAGRAM_BYTES)),
            ..packet(1, 1)
        };
        assert_eq!(seal_packet(&key, &big), Err(PacketError::Size));
        let bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
        let opened = open_packet(&key, &mut ReplayGuard::default(), &bytes);
        assert_eq!(opened, Err(PacketError::Size));
    }
}
