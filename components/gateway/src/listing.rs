//! Reading a whole topic from the store, page by page.
//!
//! A page that does not come was too large for the link, or the link too slow: it is asked for again smaller, later
//! and with more patience, and the pages that came are kept. Asked for again as it was, a full link would carry the
//! same bytes over and over.

use std::time::Duration;

use replica::Revision;

use crate::ports::{Page, PageQuery, Row, Rows, Store, StoreError, Topic};

/// Rows of the first page: the most that the platform's store gives at once.
const INITIAL_PAGE_ROWS: usize = 500;
/// Rows of the smallest page: 10 KB of endpoints, which a link of 10 Mbit/s carries in 8 ms.
const MIN_PAGE_ROWS: usize = 25;
/// Longest time without anything of an answer, at first: a round trip over 60 ms and a store that is slow for 1 s.
pub const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same after repeats. A call that is lost while the store says nothing ends within it.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a page is asked for again; it doubles with each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Repeats of one page after which the list is given up: it is begun again as the follower of the topic says.
const MAX_PAGE_RETRIES: u32 = 3;
/// A gateway that the store turns away, and that hears others, follows the endpoints without the store's list of
/// gateways after this time.
const REFUSED_LIST_WAIT: Duration = Duration::from_secs(2);
/// The same for one whose list does not come: twice the time of a page with its repeats. What is slow would be slower
/// if every gateway asked for the endpoints too.
const SLOW_LIST_WAIT: Duration = Duration::from_secs(6);

/// Whether a gateway without the store's list of gateways may decide for itself, `now` after its start. Without others
/// it has nothing to read either.
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
    // Of the first page: changes after it are asked for again.
    revision: Option<Revision>,
    stamp: Duration,
    bytes: usize,
    limit: usize,
    response_timeout: Duration,
    // Of the page that is due, and of all.
    page_retries: u32,
    retries: u32,
}

impl Listing {
    /// Nothing read yet of a topic, or of its part for one data hall.
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

    /// The page that is due.
    pub fn query(&self) -> PageQuery<'_> {
        PageQuery {
            topic: self.topic,
            hall: self.hall.as_deref(),
            after: self.rows.last().map(|row| row.key.as_str()),
            limit: self.limit,
            response_timeout: self.response_timeout,
        }
    }

    /// Takes a page and returns whether it was the last one. A page of another era of the store is dropped and restarts
    /// the list.
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

    /// The page did not come. Returns the pause before it is asked for again, `None` once that is to be given up.
    /// `jitter` of 0 to 1 differs from gateway to gateway, so that they do not ask all at once.
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

    /// Pages that were asked for again.
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

/// A list that was read, and how many of its pages were asked for again.
#[derive(Debug)]
pub struct ReadList {
    /// The rows.
    pub rows: Rows,
    /// Pages that were asked for again.
    pub retries: u32,
}

/// Reads a whole topic, or its part for one data hall; for `jitter` see [`Listing::record_failure`].
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
            // Slow, or turned away in the middle; what came is kept.
            Err(error @ (StoreError::Unanswered | StoreError::Refused)) => {
                let can_retry = error == StoreError::Unanswered || listing.revision.is_some();
                let backoff = listing.record_failure(jitter).filter(|_| can_retry);
                tokio::time::sleep(backoff.ok_or(error)?).await;
            }
            Err(error) => return Err(error),
        }
    }
}
