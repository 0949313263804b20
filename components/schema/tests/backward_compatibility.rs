//! What released builds wrote is read by today's, field by field, and no field's number, type or name is used again.
//!
//! `golden/COMMIT/` holds one message of each kind with every field set, as the code of that commit wrote it; nobody edits it.

use std::fs;
use std::path::{Path, PathBuf};

use schema::messages::{
    Decision, GatewayRow, Gossip, LeaseRow, QuarantineRow, RolloutRow, RowsQuery, RowsReply,
    UsageRow,
};
use schema::{decode, encode};
use thrift::protocol::TSerializable;

/// Released builds that may run beside today's.
const RELEASES: [&str; 7] = [
    "bd65777", "07b763e", "34be26a", "c0f3eb4", "52ca913", "703a9ca", "ca39d27",
];
/// Fields of the newest of them, a line each: struct, number, whether it is required, type, name.
const FIELDS: &str = include_str!("golden/ca39d27/fields.txt");
const SCHEMA: &str = include_str!("../thrift/messages.thrift");

fn folder(release: &str) -> PathBuf {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    tests.join("golden").join(release)
}

// Reads bytes and writes them again. Nothing is lost only if every field was known.
fn again<T: TSerializable>(bytes: &[u8]) -> Vec<u8> {
    let read: T = decode(bytes).unwrap();
    encode(&read).unwrap()
}

fn again_as(kind: &str, bytes: &[u8]) -> Vec<u8> {
    match kind {
        "gossip" => again::<Gossip>(bytes),
        "decision-query"
        | "decision-reply"
        | "decision-give-back"
        | "decision-send-query"
        | "decision-send-reply" => again::<Decision>(bytes),
        "rows-query" => again::<RowsQuery>(bytes),
        "rows-reply" => again::<RowsReply>(bytes),
        "gateway-row" => again::<GatewayRow>(bytes),
        "usage-row" => again::<UsageRow>(bytes),
        "lease-row" => again::<LeaseRow>(bytes),
        "rollout-row" => again::<RolloutRow>(bytes),
        "quarantine-row" => again::<QuarantineRow>(bytes),
        kind => panic!("no message is called {kind}"),
    }
}

#[test]
fn every_field_that_a_release_wrote_is_read() {
    for release in RELEASES {
        let files = fs::read_dir(folder(release)).unwrap();
        let files = files.map(|file| file.unwrap().path());
        let messages: Vec<PathBuf> = files.filter(|path| path.extension().is_none()).collect();
        assert!(messages.len() >= 10, "{release}");
        for path in messages {
            let kind = path.file_name().unwrap().to_str().unwrap();
            let bytes = fs::read(&path).unwrap();
            assert_eq!(again_as(kind, &bytes), bytes, "{release} {kind}");
        }
    }
}

// Struct, number, whether it is required, type, name.
fn fields_of(schema: &str) -> Vec<String> {
    let mut fields = Vec::new();
    let mut within = "";
    for line in schema.lines().map(str::trim) {
        if let Some(rest) = line.strip_prefix("struct ") {
            within = rest.trim_end_matches(" {");
        }
        let Some((number, rest)) = line.split_once(": ") else {
            continue;
        };
        if number.parse::<u16>().is_ok() {
            fields.push(format!("{within} {number} {}", rest.trim_end_matches(',')));
        }
    }
    fields
}

#[test]
fn no_field_of_the_newest_release_changed_its_number_type_or_name() {
    let today = fields_of(SCHEMA);
    assert!(FIELDS.lines().count() > 100);
    for field in FIELDS.lines() {
        assert!(today.iter().any(|known| known == field), "{field}");
    }
}

#[test]
fn fields_that_came_since_the_newest_release_are_optional() {
    let released: Vec<&str> = FIELDS.lines().collect();
    let is_of_released = |field: &str| {
        let name = field.split(' ').next().unwrap();
        released
            .iter()
            .any(|known| known.split(' ').next() == Some(name))
    };
    for field in fields_of(SCHEMA) {
        let is_new = !released.contains(&field.as_str());
        if is_new && is_of_released(&field) {
            assert!(field.split(' ').nth(2) == Some("optional"), "{field}");
        }
    }
}
