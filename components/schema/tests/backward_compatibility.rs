//! Backward compatibility of the schema: messages of released builds are decoded with every field,
//! and no number, type or name of a field is changed or reused.
//!
//! `golden/COMMIT/` has one message of each kind with every field set, as encoded by the code of
//! that commit. These golden files must not be edited.

use std::fs;
use std::path::{Path, PathBuf};

use schema::messages::{
    Decision, GatewayRow, Gossip, LeaseRow, QuarantineRow, RolloutRow, RowsQuery, RowsReply,
    UsageRow,
};
use schema::{decode, encode};
use thrift::protocol::TSerializable;

/// Commits of released builds that may run side by side with the current one.
const RELEASES: [&str; 13] = [
    "bd65777", "07b763e", "34be26a", "c0f3eb4", "52ca913", "703a9ca", "ca39d27", "a0b0a22",
    "9dfe8a2", "0d61ba9", "ec2abfd", "42f7a0c", "9999d28",
];
/// Fields of the newest release, one per line: struct, number, requiredness, type, name.
const RELEASED_FIELDS: &str = include_str!("golden/9999d28/fields.txt");
const CURRENT_SCHEMA: &str = include_str!("../thrift/messages.thrift");

fn golden_dir(release: &str) -> PathBuf {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    tests.join("golden").join(release)
}

// Decodes and encodes again. The bytes are equal only if the schema knows every field, as unknown
// fields are skipped.
fn reencode<T: TSerializable>(bytes: &[u8]) -> Vec<u8> {
    let decoded: T = decode(bytes).unwrap();
    encode(&decoded).unwrap()
}

fn reencode_as(kind: &str, bytes: &[u8]) -> Vec<u8> {
    match kind {
        "gossip" => reencode::<Gossip>(bytes),
        "decision-query"
        | "decision-reply"
        | "decision-give-back"
        | "decision-send-query"
        | "decision-send-reply"
        | "decision-stream-report"
        | "decision-stream-query"
        | "decision-stream-reply" => reencode::<Decision>(bytes),
        "rows-query" => reencode::<RowsQuery>(bytes),
        "rows-reply" => reencode::<RowsReply>(bytes),
        "gateway-row" => reencode::<GatewayRow>(bytes),
        "usage-row" => reencode::<UsageRow>(bytes),
        "lease-row" => reencode::<LeaseRow>(bytes),
        "rollout-row" => reencode::<RolloutRow>(bytes),
        "quarantine-row" => reencode::<QuarantineRow>(bytes),
        kind => panic!("unknown kind of message in the golden files: {kind}"),
    }
}

#[test]
fn every_field_encoded_by_a_release_is_decoded() {
    for release in RELEASES {
        let files = fs::read_dir(golden_dir(release)).unwrap();
        let files = files.map(|file| file.unwrap().path());
        let messages: Vec<PathBuf> = files.filter(|path| path.extension().is_none()).collect();
        assert!(messages.len() >= 10, "{release}");
        for path in messages {
            let kind = path.file_name().unwrap().to_str().unwrap();
            let bytes = fs::read(&path).unwrap();
            assert_eq!(reencode_as(kind, &bytes), bytes, "{release} {kind}");
        }
    }
}

// Parses the fields of all structs into the format of `RELEASED_FIELDS`.
fn parse_fields(schema: &str) -> Vec<String> {
    let mut fields = Vec::new();
    let mut struct_name = "";
    for line in schema.lines().map(str::trim) {
        if let Some(rest) = line.strip_prefix("struct ") {
            struct_name = rest.trim_end_matches(" {");
        }
        let Some((number, rest)) = line.split_once(": ") else {
            continue;
        };
        if number.parse::<u16>().is_ok() {
            fields.push(format!(
                "{struct_name} {number} {}",
                rest.trim_end_matches(',')
            ));
        }
    }
    fields
}

#[test]
fn no_field_of_the_newest_release_changed_its_number_type_or_name() {
    let current = parse_fields(CURRENT_SCHEMA);
    assert!(RELEASED_FIELDS.lines().count() > 100);
    for field in RELEASED_FIELDS.lines() {
        assert!(current.iter().any(|known| known == field), "{field}");
    }
}

#[test]
fn fields_added_to_a_released_struct_since_the_newest_release_are_optional() {
    let released: Vec<&str> = RELEASED_FIELDS.lines().collect();
    let is_in_released_struct = |field: &str| {
        let name = field.split(' ').next().unwrap();
        released
            .iter()
            .any(|known| known.split(' ').next() == Some(name))
    };
    for field in parse_fields(CURRENT_SCHEMA) {
        let is_new = !released.contains(&field.as_str());
        if is_new && is_in_released_struct(&field) {
            assert!(field.split(' ').nth(2) == Some("optional"), "{field}");
        }
    }
}
