//! Compression of rows that gateways forward to each other.

use gateway::{inflate, DeflatedReplyCache, EncodedReply};
use schema::messages::{RowChange, RowsReply};

fn reply(rows: usize, known_to: i64) -> RowsReply {
    let row = |number: usize| RowChange {
        key: format!("row-{number}"),
        value: Some(b"{\"path\":\"/a/\",\"timeout\":800}".to_vec()),
        revision: 7,
    };
    RowsReply::new(
        (0..rows).map(row).collect(),
        true,
        known_to,
        None,
        None,
        None,
    )
}

fn read(encoded: &EncodedReply) -> RowsReply {
    match encoded.is_deflated {
        true => schema::decode(&inflate(&encoded.bytes).unwrap()).unwrap(),
        false => schema::decode(&encoded.bytes).unwrap(),
    }
}

#[test]
fn rows_with_the_same_fields_shrink_below_a_third() {
    let uncompressed = schema::encode(&reply(1_000, 9)).unwrap().len();
    let sent = DeflatedReplyCache::default()
        .reply(reply(1_000, 9))
        .unwrap();
    assert!(sent.is_deflated && sent.bytes.len() * 3 < uncompressed);
    assert_eq!(read(&sent), reply(1_000, 9));
}

#[test]
fn a_short_reply_is_sent_uncompressed() {
    let sent = DeflatedReplyCache::default().reply(reply(3, 9)).unwrap();
    assert!(!sent.is_deflated);
    assert_eq!(read(&sent), reply(3, 9));
}

#[test]
fn a_reply_with_the_same_rows_reuses_the_compressed_bytes_and_one_with_other_rows_does_not() {
    let mut last = DeflatedReplyCache::default();
    let first = last.reply(reply(1_000, 9)).unwrap();
    assert_eq!(last.reply(reply(1_000, 12)).unwrap(), first);
    let other = last.reply(reply(1_001, 12)).unwrap();
    assert_eq!(read(&other), reply(1_001, 12));
}

#[test]
fn a_reply_with_a_lower_known_to_does_not_reuse_a_higher_one() {
    let mut last = DeflatedReplyCache::default();
    last.reply(reply(1_000, 12));
    let sent = last.reply(reply(1_000, 9)).unwrap();
    assert_eq!(read(&sent).known_to, 9);
}

#[test]
fn inflate_rejects_bytes_that_are_not_deflated() {
    assert_eq!(inflate(b"nothing of the kind"), None);
}
