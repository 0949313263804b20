//! Forward compatibility: messages of later schema versions are decoded. Malformed input never
//! panics.

use quickcheck::{Gen, QuickCheck};
use schema::messages::{ClaimRow, Kind, Packet, ResumeToken};
use schema::{decode, encode};

const SEED: u64 = 20261202;
const CASES: u64 = 20_000;
/// Compact protocol: header of an i32 field whose number is one above the previous field's.
const NEXT_FIELD_I32: u8 = 0x15;
/// Compact protocol: the integer 2 in zigzag encoding.
const ZIGZAG_TWO: u8 = 0x04;
/// Compact protocol: end of a struct.
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
fn an_unknown_field_of_a_later_version_is_skipped() {
    let mut bytes = encode(&packet()).unwrap();
    assert_eq!(bytes.pop(), Some(STOP));
    bytes.extend([NEXT_FIELD_I32, ZIGZAG_TWO, STOP]);
    assert_eq!(decode::<Packet>(&bytes), Ok(packet()));
}

#[test]
fn an_unknown_kind_of_a_later_version_is_kept() {
    let later = Packet {
        kind: Kind::from(99),
        ..packet()
    };
    assert_eq!(decode::<Packet>(&encode(&later).unwrap()), Ok(later));
}

#[test]
fn decoding_random_bytes_does_not_panic() {
    fn decodes_without_panic(bytes: Vec<u8>) -> bool {
        let _ = decode::<Packet>(&bytes);
        let _ = decode::<ResumeToken>(&bytes);
        let _ = decode::<ClaimRow>(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(CASES)
        .quickcheck(decodes_without_panic as fn(Vec<u8>) -> bool);
}

#[test]
fn decoding_a_packet_with_any_flipped_bit_does_not_panic() {
    let bytes = encode(&packet()).unwrap();
    for index in 0..bytes.len() {
        for bit in 0..8 {
            let mut altered = bytes.clone();
            altered[index] ^= 1 << bit;
            let _ = decode::<Packet>(&altered);
        }
    }
}
