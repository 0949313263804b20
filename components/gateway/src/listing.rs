//! Reads a complete topic from the store, page by page.
//!
//! A page that fails was too large for the link, or the link is too slow. It is requested again smaller, after
//! a backoff and with a longer timeout, and the pages received are kept. A repeat of the same request would
//! fill a congested link with the same bytes again and again.

use std::time::Duration;

use replica::Revision;

use crate::ports::{Page, PageQuery, Row, Rows, Store, StoreError, Topic};

/// Rows of the first page: the maximum that the platform's store returns at once.
const INITIAL_PAGE_ROWS: usize = 500;
/// Rows of the smallest page: 10 KB of endpoints, which takes 8 ms on a link of 10 Mbit/s.
const MIN_PAGE_ROWS: usize = 25;
/// Initial time limit without receiving any part of an answer: a round trip of 60 ms and a store that is slow
/// for 1 s.
pub const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum of that limit after retries. A call that is lost while the store does not answer ends within it.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff before a page is requested again; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of retries of one page. After that the list fails, and the topic's follower starts it again.
const MAX_PAGE_RETRIES: u32 = 3;
/// Time after which a gateway that the store refuses, and that receives messages of others, follows the
/// endpoints without the store's list of gateways.
const REFUSED_LIST_WAIT: Duration = Duration::from_secs(2);
/// The same if the list does not arrive: twice the time of a page with its retries. A slow store would become
/// slower if every gateway requested the endpoints too.
const SLOW_LIST_WAIT: Duration = Duration::from_secs(6);

/// Whether a gateway without the store's list of gateways may decide for itself, `now` after its start. A
/// gateway that receives no others has nothing to read either.
pub fn can_decide_without_list(now: Duration, refused: bool, hears_any: bool) -> bool {
    let time = match refused {
        true => REFUSED_LIST_WAIT,
        false => SLOW_LIST_WAIT,
    };
    hears_any && now >= time
}

/// A list that is being read.
#[derive(Clone, Debug)]
pub struct Listing {
    topic: Topic,
    hall: Option<String>,
    rows: Vec<Row>,
    // Revision of the first page: changes after it are requested later.
    revision: Option<Revision>,
    stamp: Duration,
    bytes: usize,
    limit: usize,
    response_timeout: Duration,
    // Retries of the current page, and of all pages.
    page_retries: u32,
    retries: u32,
}

impl Listing {
    /// Starts a list of a topic, or of its part for one data hall.
    pub fn new(topic: Topic, hall: Option<&str>) -> Self {
        Listing {
            topic,
            hall: hall.map(str::to_string),
            rows: Vec::new(),
            revision: None,
            stamp: Duration::ZERO,
            bytes: 0,
            limit: INITIAL_PAGE_ROWS,
            response_timeout: INITIAL_RESPONSE_TIMEOUT,
            page_retries: 0,
            retries: 0,
        }
    }

    /// The query for the next page.
    pub fn query(&self) -> PageQuery<'_> {
        PageQuery {
            topic: self.topic,
            hall: self.hall.as_deref(),
            after: self.rows.last().map(|row| row.key.as_str()),
            limit: self.limit,
            response_timeout: self.response_timeout,
        }
    }

    /// Adds a page and returns whether it was the last one. A page of another era of the store is dropped and
    /// restarts the list.
    pub fn add_page(&mut self, page: Page) -> bool {
        let era = page.rows.revision.era;
        if self.revision.is_some_and(|first| first.era != era) {
            self.revision = None;
            self.rows.clear();
            return false;
        }
        let is_last = !page.more || page.rows.rows.is_empty();
        if self.revision.is_none() {
            self.revision = Some(page.rows.revision);
            self.stamp = page.rows.stamp;
        }
        self.page_retries = 0;
        self.bytes += page.rows.bytes;
        self.rows.extend(page.rows.rows);
        is_last
    }

    /// Records that the page failed. Returns the backoff before it is requested again, or `None` after too
    /// many retries. `jitter` of 0 to 1 differs between gateways, so that they do not all retry at once.
    pub fn record_failure(&mut self, jitter: f64) -> Option<Duration> {
        if self.page_retries >= MAX_PAGE_RETRIES {
            return None;
        }
        let backoff = INITIAL_BACKOFF * (1 << self.page_retries);
        self.page_retries += 1;
        self.retries += 1;
        self.limit = (self.limit / 2).max(MIN_PAGE_ROWS);
        self.response_timeout = (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
        Some(backoff.mul_f64(0.5 + jitter))
    }

    /// Number of retries of all pages.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    /// The rows read.
    pub fn into_rows(self) -> Rows {
        Rows {
            rows: self.rows,
            revision: self.revision.unwrap_or_default(),
            stamp: self.stamp,
            bytes: self.bytes,
        }
    }
}

/// A complete list, and the number of retries.
#[derive(Debug)]
pub struct ReadList {
    pub rows: Rows,
    /// Number of retries of all pages.
    pub retries: u32,
}

/// Reads a complete topic, or its part for one data hall; for `jitter` see [`Listing::record_failure`].
pub async fn read_all<S: Store>(
    store: &S,
    topic: Topic,
    hall: Option<&str>,
    jitter: f64,
) -> Result<ReadList, StoreError> {
    let mut listing = Listing::new(topic, hall);
    loop {
        match store.page(listing.query()).await {
            Ok(page) => {
                if listing.add_page(page) {
                    let retries = listing.retries();
                    let rows = listing.into_rows();
                    return Ok(ReadList { rows, retries });
                }
            }
            // Slow, or refused after the first page; the pages received are kept.
            Err(error @ (StoreError::Unanswered | StoreError::Refused)) => {
                let can_retry = error == StoreError::Unanswered || listing.revision.is_some();
                let backoff = listing.record_failure(jitter).filter(|_| can_retry);
                tokio::time::sleep(backoff.ok_or(error)?).await;
            }
            Err(error) => return Err(error),
        }
    }
}
