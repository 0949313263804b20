//! Listing a topic of the store page by page over a slow link.

use std::time::Duration;

use gateway::listing::{can_decide_without_list, Listing, INITIAL_RESPONSE_TIMEOUT};
use gateway::ports::{Page, Row, Rows, Topic};
use replica::Revision;

fn page(keys: &[&str], number: u64, more: bool) -> Page {
    page_in_era(0, keys, number, more)
}

fn page_in_era(era: u64, keys: &[&str], number: u64, more: bool) -> Page {
    let revision = Revision::new(era, number);
    let rows = keys.iter().map(|key| Row {
        key: key.to_string(),
        value: Some(b"v".to_vec()),
        revision,
    });
    Page {
        rows: Rows {
            rows: rows.collect(),
            revision,
            stamp: Duration::from_secs(number),
            bytes: 100,
        },
        more,
    }
}

#[test]
fn pages_continue_after_the_last_key_and_the_list_has_the_revision_of_the_first_page() {
    let mut listing = Listing::new(Topic::Endpoints, None);
    assert_eq!(listing.query().after, None);
    assert!(!listing.add_page(page(&["a", "b"], 3, true)));
    assert_eq!(listing.query().after, Some("b"));
    assert!(listing.add_page(page(&["c"], 4, false)));
    let rows = listing.into_rows();
    assert_eq!(
        (rows.rows.len(), rows.revision.number, rows.bytes),
        (3, 3, 200)
    );
    assert_eq!(rows.stamp, Duration::from_secs(3));
}

#[test]
fn a_missed_page_is_retried_with_a_lower_limit_a_longer_pause_and_no_shorter_timeout() {
    let mut listing = Listing::new(Topic::Endpoints, Some("h1"));
    listing.add_page(page(&["a", "b"], 3, true));
    let (mut limit, mut timeout, mut pause) = (
        listing.query().limit,
        INITIAL_RESPONSE_TIMEOUT,
        Duration::ZERO,
    );
    while let Some(next) = listing.record_failure(0.5) {
        let query = listing.query();
        assert!(query.limit < limit && query.response_timeout >= timeout && next > pause);
        assert_eq!(query.after, Some("b"), "received pages are kept");
        (limit, timeout, pause) = (query.limit, query.response_timeout, next);
    }
    assert!(timeout >= INITIAL_RESPONSE_TIMEOUT * 2);
    assert_eq!(listing.retries(), 3, "retries are limited");
}

#[test]
fn retries_of_different_gateways_are_spread_over_time() {
    let pause = |spread| Listing::new(Topic::Endpoints, None).record_failure(spread);
    assert_ne!(pause(0.1), pause(0.9));
}

#[test]
fn an_empty_page_is_the_last_one() {
    let mut listing = Listing::new(Topic::Gateways, Some("h1"));
    assert!(listing.add_page(page(&[], 3, true)));
}

#[test]
fn a_gateway_whose_list_is_slow_decides_later_than_one_whose_list_is_refused() {
    let first = |refused| {
        let mut seconds = 0..60;
        seconds.find(|s| can_decide_without_list(Duration::from_secs(*s), refused, true))
    };
    let (refused, slow) = (first(true).unwrap(), first(false).unwrap());
    assert!(refused >= 1 && slow >= refused * 2, "{refused} s, {slow} s");
}

#[test]
fn a_gateway_without_list_and_peers_does_not_decide() {
    for refused in [true, false] {
        assert!(!can_decide_without_list(
            Duration::from_secs(60),
            refused,
            false
        ));
    }
}

#[test]
fn a_list_restarts_if_the_store_is_restored_between_pages() {
    let mut listing = Listing::new(Topic::Endpoints, None);
    assert!(!listing.add_page(page(&["a", "b"], 30, true)));
    assert!(!listing.add_page(page_in_era(1, &["c"], 20, false)));
    assert_eq!(listing.query().after, None);
    assert!(listing.add_page(page_in_era(1, &["a", "c"], 20, false)));
    let rows = listing.into_rows();
    assert_eq!(rows.revision, Revision::new(1, 20));
    assert_eq!(rows.rows.len(), 2);
}
