//! Transfer of store rows between gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use replica::{Change, Revision};
use schema::messages::{RowChange, RowsQuery, RowsReply, TopicName};
use schema::MAX_ENCODED_BYTES;
use slog::info;
use telemetry::Counter;
use tokio::net::TcpListener;
use topology::Distance;
use transport::{Connection, FullBody};

use crate::control::deflate::{inflate, EncodedReply};
use crate::control::Shared;
use crate::gossip::{received_revision, reported_era};
use crate::ports::{Orders, Store, Topic};
use crate::simple_http;

/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a query until all rows have arrived.
const PULL_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of the second attempt to get a page, for a link with more load than expected.
const RETRY_PULL_TIMEOUT: Duration = Duration::from_millis(1800);
/// Upper limit of the rows in one reply, in bytes. A gateway that needs more reads the store, whose link is
/// wider. At this size, a third of the gateways of a hall of 60 can read from one coordinator within half a
/// second over a link of 10 Mbit/s.
pub(crate) const MAX_REPLY_BYTES: usize = 32 << 10;
/// Content encoding of a deflated reply.
const DEFLATED: HeaderValue = HeaderValue::from_static("deflate");
/// Size limit of a query, in bytes.
const MAX_QUERY_BYTES: usize = 512;

/// Topics whose rows gateways exchange.
pub(crate) const SHARED_TOPICS: [Topic; 2] = [Topic::Configuration, Topic::Endpoints];

/// A topic's name in messages between gateways, if its rows are exchanged.
pub(crate) fn topic_name(topic: Topic) -> Option<TopicName> {
    match topic {
        Topic::Configuration => Some(TopicName::CONFIGURATION),
        Topic::Endpoints => Some(TopicName::ENDPOINTS),
        Topic::Gateways
        | Topic::Lease
        | Topic::Usage
        | Topic::Rollouts
        | Topic::RolloutStatus
        | Topic::Quarantine => None,
    }
}

/// The topic that a message names.
pub(crate) fn topic_by_name(name: TopicName) -> Option<Topic> {
    let mut topics = SHARED_TOPICS.into_iter();
    topics.find(|topic| topic_name(*topic) == Some(name))
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Pulls the changes of a topic from the gateway that reported them.
    pub async fn pull(&self, topic: Topic) {
        let (newer, after, by_pages) = {
            let state = self.state.borrow();
            let followed = &state.followed[&topic];
            let after = followed.table.known_to().unwrap_or_default();
            // Near the store, its link is wider than a gateway's, so large reads go to the store unless it
            // refuses this gateway.
            let by_pages = state.is_far_from_store() || !followed.follower.reaches_store();
            (followed.newer, after, by_pages)
        };
        let Some((from, reported)) = newer else {
            self.record_pull_failure(topic, None);
            return;
        };
        let pulled = match topic_name(topic) {
            Some(name) if by_pages => pull_pages(from, name, after).await,
            Some(name) => pull_in_one_reply(from, name, after).await,
            None => None,
        };
        if let Some(pulled) = pulled {
            self.record_pull(topic, from, &pulled);
            let era = pulled.known_to.era;
            let rows = pulled.rows.into_iter();
            let changes = rows.map(|row| change_of(row, era)).collect();
            let stamp = reported.confirmed;
            let changed = self.apply_changes(topic, changes, pulled.known_to, stamp, pulled.whole);
            // If this gateway is far from the store or refused by it, coordinators learn of a change from a
            // reader and pass it on to their halls.
            if changed && by_pages && topic == Topic::Configuration {
                self.urgent.notify_one();
            }
        }
        self.confirm_digest(topic, reported);
        let has_reported_changes = {
            let state = self.state.borrow();
            state.followed[&topic]
                .table
                .has_changes_up_to(reported.changed_at)
        };
        if !has_reported_changes {
            self.record_pull_failure(topic, Some(from));
        }
    }

    fn record_pull_failure(&self, topic: Topic, from: Option<SocketAddr>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.followed_mut(topic).follower.pull_failed(now);
        let from = from.map(|from| from.to_string()).unwrap_or_default();
        info!(self.log, "rows not passed on"; "topic" => ?topic, "from" => from);
    }

    fn record_pull(&self, topic: Topic, from: SocketAddr, pulled: &PulledRows) {
        let is_far = {
            let state = self.state.borrow();
            let hall = state.peers.hall_at(from);
            hall.is_some_and(|hall| state.topology.distance(hall) == Distance::OtherRegion)
        };
        let counter = match is_far {
            true => Counter::RowsBytesOtherRegion,
            false => Counter::RowsBytesOwnRegion,
        };
        self.metrics.add(counter, pulled.bytes as u64);
        if pulled.whole {
            info!(self.log, "topic taken from another gateway"; "topic" => ?topic, "from" => %from,
                "rows" => pulled.rows.len(), "bytes" => pulled.bytes, "other_region" => is_far);
        }
    }

    /// Serves the rows known here to other gateways.
    pub async fn serve_rows(self: Rc<Self>, listener: TcpListener) {
        simple_http::serve(listener, move |request| {
            let shared = Rc::clone(&self);
            async move { shared.answer_query(request).await }
        })
        .await;
    }

    async fn answer_query(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let collected = Limited::new(request.into_body(), MAX_QUERY_BYTES)
            .collect()
            .await;
        let bytes = collected.map(|body| body.to_bytes()).unwrap_or_default();
        let Ok(query) = schema::decode::<RowsQuery>(&bytes) else {
            return simple_http::answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let sent = match (topic_by_name(query.topic), query.from_store) {
            (Some(topic), Some(true)) => {
                let reply = self.read_for_other(topic, &query).await;
                reply.and_then(|reply| EncodedReply::deflated(&reply))
            }
            (Some(topic), _) => self.encoded_reply(topic, &query),
            (None, _) => None,
        };
        let Some(sent) = sent else {
            return simple_http::answer(StatusCode::NOT_FOUND, Bytes::new());
        };
        let mut answer = simple_http::answer(StatusCode::OK, sent.bytes);
        if sent.is_deflated {
            answer.headers_mut().insert(CONTENT_ENCODING, DEFLATED);
        }
        answer
    }

    fn encoded_reply(&self, topic: Topic, query: &RowsQuery) -> Option<EncodedReply> {
        let reply = self.reply_to(topic, query)?;
        let sent = match query.takes_deflated {
            Some(true) => self.reply_cache.borrow_mut().reply(reply)?,
            _ => EncodedReply::plain(schema::encode(&reply).ok()?),
        };
        let is_paged = query.most_bytes.is_some();
        (is_paged || sent.bytes.len() <= MAX_REPLY_BYTES).then_some(sent)
    }

    fn reply_to(&self, topic: Topic, query: &RowsQuery) -> Option<RowsReply> {
        let state = self.state.borrow();
        let table = &state.followed.get(&topic)?.table;
        let known_to = table.known_to()?;
        let max_bytes = query
            .most_bytes
            .map_or(usize::MAX, |max_bytes| max_bytes.max(0) as usize);
        let after = received_revision(query.after, query.after_era);
        let page = table.page(after, query.after_key.as_deref(), max_bytes);
        Some(RowsReply {
            rows: page.rows.into_iter().map(reported_of).collect(),
            whole: page.whole,
            known_to: known_to.number as i64,
            more: page.more.then_some(true),
            era: reported_era(known_to.era),
            read_us: None,
        })
    }
}

/// Rows received from another gateway.
struct PulledRows {
    rows: Vec<RowChange>,
    whole: bool,
    known_to: Revision,
    bytes: usize,
}

async fn pull_in_one_reply(
    from: SocketAddr,
    topic: TopicName,
    after: Revision,
) -> Option<PulledRows> {
    let query = rows_query(topic, after, None, None);
    let replied = tokio::time::timeout(PULL_TIMEOUT, query_rows(from, &query)).await;
    let (reply, bytes) = replied.ok().flatten()?;
    Some(PulledRows {
        known_to: received_revision(reply.known_to, reply.era),
        rows: reply.rows,
        whole: reply.whole,
        bytes,
    })
}

/// A query for the changes of a topic after a revision.
pub(super) fn rows_query(
    topic: TopicName,
    after: Revision,
    after_key: Option<String>,
    most_bytes: Option<i32>,
) -> RowsQuery {
    RowsQuery {
        topic,
        after: after.number as i64,
        after_key,
        most_bytes,
        takes_deflated: Some(true),
        after_era: reported_era(after.era),
        from_store: None,
    }
}

// Pages are consecutive, not a snapshot. Changes made meanwhile have a higher revision and arrive with the next
// pull.
async fn pull_pages(from: SocketAddr, topic: TopicName, after: Revision) -> Option<PulledRows> {
    let mut pulled: Option<PulledRows> = None;
    loop {
        let so_far = pulled.as_ref();
        let last = so_far.and_then(|pulled| pulled.rows.last());
        let last_key = last.map(|row| row.key.clone());
        let query = rows_query(topic, after, last_key, Some(MAX_REPLY_BYTES as i32));
        let (reply, bytes) = query_rows_with_retry(from, &query).await?;
        let known_to = received_revision(reply.known_to, reply.era);
        let is_consistent = |pulled: &PulledRows| {
            pulled.whole == reply.whole && pulled.known_to.era == known_to.era
        };
        if !so_far.is_none_or(is_consistent) {
            return None;
        }
        let rows_so_far = pulled.get_or_insert_with(|| PulledRows {
            rows: Vec::new(),
            whole: reply.whole,
            known_to,
            bytes: 0,
        });
        rows_so_far.bytes += bytes;
        rows_so_far.rows.extend(reply.rows);
        if reply.more != Some(true) {
            return pulled;
        }
    }
}

// Requests a page a second time if it does not arrive; the earlier pages are kept.
async fn query_rows_with_retry(from: SocketAddr, query: &RowsQuery) -> Option<(RowsReply, usize)> {
    for time in [PULL_TIMEOUT, RETRY_PULL_TIMEOUT] {
        let replied = tokio::time::timeout(time, query_rows(from, query)).await;
        if let Some(replied) = replied.ok().flatten() {
            return Some(replied);
        }
    }
    None
}

/// Sends a query to another gateway. Returns its reply, and how many bytes that took.
pub(super) async fn query_rows(
    address: SocketAddr,
    query: &RowsQuery,
) -> Option<(RowsReply, usize)> {
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.ok()?;
    let mut request = Request::new(FullBody::new(schema::encode(query).ok()?.into()));
    *request.method_mut() = Method::POST;
    let host = address.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let answer = connection.send(request).await.ok()?;
    if answer.head.status != StatusCode::OK {
        return None;
    }
    let is_deflated = answer.head.headers.get(CONTENT_ENCODING) == Some(&DEFLATED);
    let limited = Limited::new(answer.body, MAX_ENCODED_BYTES);
    let bytes = limited.collect().await.ok()?.to_bytes();
    let reply = match is_deflated {
        true => schema::decode(&inflate(&bytes)?),
        false => schema::decode(&bytes),
    };
    Some((reply.ok()?, bytes.len()))
}

/// Decodes a row.
pub(super) fn change_of(reported: RowChange, era: u64) -> Change {
    Change {
        key: reported.key,
        value: reported.value,
        revision: Revision::new(era, reported.revision.max(0) as u64),
    }
}

/// Encodes a row.
pub(super) fn reported_of(change: Change) -> RowChange {
    RowChange {
        key: change.key,
        value: change.value,
        revision: change.revision.number as i64,
    }
}
