//! Messages of other schema versions, and bytes that are no message at all.

use quickcheck::{Gen, QuickCheck};
use schema::messages::{ClaimRow, Kind, Packet, ResumeToken};
use schema::{decode, encode};

const SEED: u64 = 20261202;
const CASES: u64 = 20_000;
/// Header of a field whose number is one higher than the last, of type i32.
const NEXT_FIELD_I32: u8 = 0x15;
/// Two, in the compact protocol's zigzag coding.
const TWO: u8 = 0x04;
const STOP: u8 = 0;

fn packet() -> Packet {
    Packet {
        schema_version: 2,
        sender: "entry-1".into(),
        incarnation: 1_764_000_000_000,
        sequence: 5,
        kind: Kind::NEWS,
        probe: None,
        subject: None,
        members: None,
        endpoints: None,
        summaries: None,
        demands: None,
        config_version: Some(7),
        config_hash: Some("hash".into()),
    }
}

#[test]
fn can_read_a_packet_with_a_field_of_a_later_version() {
    let mut bytes = encode(&packet()).unwrap();
    assert_eq!(bytes.pop(), Some(STOP));
    bytes.extend([NEXT_FIELD_I32, TWO, STOP]);
    assert_eq!(decode::<Packet>(&bytes), Ok(packet()));
}

#[test]
fn can_read_a_kind_of_a_later_version() {
    let later = Packet {
        kind: Kind::from(99),
        ..packet()
    };
    assert_eq!(decode::<Packet>(&encode(&later).unwrap()), Ok(later));
}

#[test]
fn errors_on_bytes_that_are_no_message_without_a_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _ = decode::<Packet>(&bytes);
        let _ = decode::<ResumeToken>(&bytes);
        let _ = decode::<ClaimRow>(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(CASES)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn errors_on_every_altered_byte_or_reads_it_without_a_panic() {
    let bytes = encode(&packet()).unwrap();
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut altered = bytes.clone();
            altered[at] ^= 1 << bit;
            let _ = decode::<Packet>(&altered);
        }
    }
}
