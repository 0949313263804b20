//! What may be concluded about the software version that began a stream.

use std::time::Duration;

use origins::{Origin, StreamKey, StreamRecords, VersionHistory, MAX_RECORDS};

const LIFETIME: Duration = Duration::from_secs(30);
const MAX_TABLE_AGE: Duration = Duration::from_secs(2);
/// Time after which a version may begin streams beside another one.
const SETTLED_AFTER: Duration = Duration::from_millis(2500);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn version(name: &str) -> Origin {
    Origin::Version(name.into())
}

/// A history of a table that has held one endpoint of `v1` since 0 s.
fn history() -> VersionHistory {
    let mut history = VersionHistory::default();
    history.set_max_table_age(MAX_TABLE_AGE);
    history.endpoint_added(s(0.0), "s", "v1");
    history.table_completed(s(0.0));
    history
}

fn only_version(history: &mut VersionHistory, now: Duration) -> Option<String> {
    history.table_confirmed(now);
    let only = history.only_version(now, "s", LIFETIME);
    only.map(str::to_string)
}

#[test]
fn a_record_is_found_by_its_team_until_it_expires() {
    let mut records = StreamRecords::default();
    let key = StreamKey::new(Some("t"), "1");
    records.record(s(0.0), key, version("v1"), LIFETIME);
    assert_eq!(records.origin(s(29.0), key), Some(&version("v1")));
    assert_eq!(records.origin(s(30.0), key), None);
    for other in [StreamKey::new(Some("u"), "1"), StreamKey::new(None, "1")] {
        assert_eq!(records.origin(s(1.0), other), None);
    }
}

// Guards against streams that continue at one of two versions that were reported.
#[test]
fn a_stream_with_two_reported_versions_has_no_known_version() {
    let mut records = StreamRecords::default();
    let key = StreamKey::new(Some("t"), "1");
    records.record(s(0.0), key, version("v1"), LIFETIME);
    records.record(s(1.0), key, version("v2"), LIFETIME);
    assert_eq!(records.origin(s(2.0), key), Some(&Origin::Ambiguous));
    records.record(s(3.0), key, version("v2"), LIFETIME);
    assert_eq!(records.origin(s(4.0), key), Some(&Origin::Ambiguous));
}

#[test]
fn a_full_table_drops_the_oldest_records_and_counts_them() {
    let mut records = StreamRecords::default();
    for number in 0..MAX_RECORDS as u64 + 2 {
        records.record(s(0.0), StreamKey(number), version("v1"), LIFETIME);
    }
    assert_eq!((records.len(), records.dropped()), (MAX_RECORDS, 2));
    assert_eq!(records.origin(s(1.0), StreamKey(1)), None);
    records.record(s(31.0), StreamKey(0), version("v1"), LIFETIME);
    assert_eq!(records.len(), 1);
}

// Guards against a process that takes the versions it sees at its start for all that have streams.
#[test]
fn a_version_is_the_only_one_after_the_table_was_kept_for_the_lifetime_of_a_stream() {
    let mut history = history();
    assert_eq!(only_version(&mut history, s(29.0)), None);
    assert_eq!(only_version(&mut history, s(30.0)).as_deref(), Some("v1"));
    history.table_forgotten();
    assert_eq!(only_version(&mut history, s(40.0)), None);
}

#[test]
fn a_version_is_not_the_only_one_while_the_table_may_be_old() {
    let mut history = history();
    history.table_confirmed(s(40.0));
    assert!(history.only_version(s(41.0), "s", LIFETIME).is_some());
    assert!(history.only_version(s(42.0), "s", LIFETIME).is_none());
}

#[test]
fn a_removed_version_may_have_streams_for_their_lifetime() {
    let mut history = history();
    history.endpoint_added(s(40.0), "s", "v2");
    assert_eq!(only_version(&mut history, s(41.0)), None);
    history.endpoint_removed(s(50.0), "s", "v1");
    assert_eq!(only_version(&mut history, s(79.0)), None);
    assert_eq!(only_version(&mut history, s(80.0)).as_deref(), Some("v2"));
}

// Guards against a stream that begins at a new version and is continued by a gateway that has not heard of that version.
#[test]
fn streams_begin_at_a_second_version_only_after_every_confirmed_table_has_it() {
    let mut history = history();
    let unsettled = |history: &VersionHistory, now| history.unsettled_versions(now, "s", LIFETIME);
    history.endpoint_added(s(40.0), "s", "v2");
    assert_eq!(unsettled(&history, s(42.4)), ["v2"]);
    assert!(unsettled(&history, s(40.0) + SETTLED_AFTER).is_empty());
    // A third version is taken for the only one by nobody.
    history.endpoint_added(s(50.0), "s", "v3");
    assert!(unsettled(&history, s(50.0)).is_empty());
}

#[test]
fn a_version_whose_streams_have_ended_does_not_make_a_new_one_settled() {
    let mut history = history();
    history.endpoint_added(s(40.0), "s", "v2");
    history.endpoint_removed(s(50.0), "s", "v1");
    history.endpoint_added(s(90.0), "s", "v3");
    assert_eq!(history.unsettled_versions(s(90.5), "s", LIFETIME), ["v3"]);
}

#[test]
fn of_the_versions_at_the_start_of_a_process_the_one_with_most_endpoints_begins_streams() {
    let mut history = history();
    history.endpoint_added(s(0.0), "s", "v2");
    history.endpoint_added(s(0.0), "s", "v2");
    assert_eq!(history.unsettled_versions(s(0.1), "s", LIFETIME), ["v1"]);
}
