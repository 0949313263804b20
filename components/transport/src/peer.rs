//! Datagrams between nodes: authenticated, limited in size and protected against replay.

use std::cmp::Ordering;
use std::collections::hash_map::{Entry, HashMap};
use std::fmt;

use schema::messages::Packet;

use crate::auth::{sign, verify, Key, TAG_BYTES};

/// Largest datagram: fits the 1500-byte MTU of Ethernet, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Size of the replay window: a datagram this far behind the newest sequence number, or further, is
/// treated as replayed.
const REPLAY_WINDOW: i64 = 64;
/// Senders whose replay windows are kept; a new sender beyond this clears all of them.
const MAX_SENDERS: usize = 4096;

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PacketError {
    /// It is larger than [`MAX_DATAGRAM_BYTES`] or too short.
    Size,
    /// Its authentication tag is wrong, for example made with another key.
    Foreign,
    /// It cannot be decoded.
    Malformed,
    /// It was received before or is behind the replay window.
    Replayed,
    /// It is from an older incarnation of its sender, such as a node that restarted with a slow
    /// clock.
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

/// Encodes a packet and appends its authentication tag.
///
/// Fails with [`PacketError::Size`] if the datagram exceeds [`MAX_DATAGRAM_BYTES`].
pub fn seal_packet(key: &Key, packet: &Packet) -> Result<Vec<u8>, PacketError> {
    let mut bytes = schema::encode(packet).map_err(|_| PacketError::Malformed)?;
    let tag = sign(key, &bytes);
    bytes.extend_from_slice(&tag);
    match bytes.len() <= MAX_DATAGRAM_BYTES {
        true => Ok(bytes),
        false => Err(PacketError::Size),
    }
}

/// Authenticates and decodes a datagram and rejects replayed ones.
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
        Freshness::New => Ok(packet),
        Freshness::Replayed => Err(PacketError::Replayed),
        Freshness::OldIncarnation => Err(PacketError::OldIncarnation(Box::new(packet))),
    }
}

enum Freshness {
    New,
    Replayed,
    OldIncarnation,
}

#[derive(Debug)]
struct ReplayWindow {
    incarnation: i64,
    newest: i64,
    // Bit n is set if sequence `newest - n` was received.
    received: u64,
}

/// Detects replayed datagrams by their sender's incarnation and sequence number.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<String, ReplayWindow>,
}

impl ReplayGuard {
    fn admit(&mut self, packet: &Packet) -> Freshness {
        let new_window = ReplayWindow {
            incarnation: packet.incarnation,
            newest: packet.sequence,
            received: 1,
        };
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&packet.sender) {
            self.senders.clear();
        }
        let entry = self.senders.entry(packet.sender.clone());
        let window = match entry {
            Entry::Vacant(vacant) => {
                vacant.insert(new_window);
                return Freshness::New;
            }
            Entry::Occupied(occupied) => occupied.into_mut(),
        };
        match packet.incarnation.cmp(&window.incarnation) {
            Ordering::Less => Freshness::OldIncarnation,
            Ordering::Greater => {
                *window = new_window;
                Freshness::New
            }
            Ordering::Equal if window.admit(packet.sequence) => Freshness::New,
            Ordering::Equal => Freshness::Replayed,
        }
    }
}

impl ReplayWindow {
    fn admit(&mut self, sequence: i64) -> bool {
        let ahead = sequence - self.newest;
        if ahead > 0 {
            self.received = self
                .received
                .checked_shl(ahead.min(REPLAY_WINDOW) as u32)
                .unwrap_or(0)
                | 1;
            self.newest = sequence;
            return true;
        }
        let behind = -ahead;
        if behind >= REPLAY_WINDOW || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
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
    fn can_accept_each_datagram_once_in_any_order() {
        let key = Key::new("0123456789abcdef");
        let mut guard = ReplayGuard::default();
        for (sequence, is_accepted) in [(5, true), (7, true), (6, true), (6, false), (5, false)] {
            let bytes = seal_packet(&key, &packet(1, sequence)).unwrap();
            assert_eq!(
                open_packet(&key, &mut guard, &bytes).is_ok(),
                is_accepted,
                "{sequence}"
            );
        }
    }

    #[test]
    fn errors_on_an_older_incarnation() {
        let mut guard = ReplayGuard::default();
        assert!(matches!(guard.admit(&packet(2, 1)), Freshness::New));
        assert!(matches!(
            guard.admit(&packet(1, 9)),
            Freshness::OldIncarnation
        ));
    }

    #[test]
    fn errors_on_truncated_and_altered_datagrams_and_those_of_another_key() {
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
