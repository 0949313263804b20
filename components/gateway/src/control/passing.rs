//! Passing rows of the store on between gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use replica::Change;
use schema::messages::{RowChange, RowsQuery, RowsReply, TopicName};
use schema::MAX_ENCODED_BYTES;
use slog::info;
use tokio::net::TcpListener;
use transport::{Connection, FullBody};

use crate::control::Shared;
use crate::plain;
use crate::ports::{Orders, Store, Topic};

/// Longest time that a new connection may take.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Longest time until the rows have come.
const PULL_TIME: Duration = Duration::from_millis(900);
/// Rows that are passed on at once, in bytes; whoever needs more asks the store, whose link is wider. A third of the
/// gateways of a hall of 60 take that much from one coordinator within half a second on a link of 10 Mbit/s.
pub(crate) const MOST_PASSED_ON: usize = 32 << 10;
/// Largest query, in bytes.
const MAX_QUERY: usize = 256;

/// Topics that gateways pass on.
pub(crate) const PASSED_ON: [Topic; 2] = [Topic::Configuration, Topic::Endpoints];

/// A topic's name between gateways, if it is passed on.
pub(crate) fn name_of(topic: Topic) -> Option<TopicName> {
    match topic {
        Topic::Configuration => Some(TopicName::CONFIGURATION),
        Topic::Endpoints => Some(TopicName::ENDPOINTS),
        Topic::Gateways | Topic::Lease | Topic::Usage | Topic::Rollouts | Topic::RolloutStatus => {
            None
        }
    }
}

/// The topic that another gateway names.
pub(crate) fn topic_of(name: TopicName) -> Option<Topic> {
    let mut passed_on = PASSED_ON.into_iter();
    passed_on.find(|topic| name_of(*topic) == Some(name))
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Takes the changes of a topic from the gateway that reported them.
    pub async fn pull(&self, topic: Topic) {
        let (newer, after) = {
            let known = self.known.borrow();
            let followed = &known.followed[&topic];
            (followed.newer, followed.table.known_to().unwrap_or(0))
        };
        let pulled = match (newer, name_of(topic)) {
            (Some((address, _)), Some(name)) => {
                let query = RowsQuery {
                    topic: name,
                    after: after as i64,
                };
                let asked = ask(address, &query);
                tokio::time::timeout(PULL_TIME, asked).await.ok().flatten()
            }
            _ => None,
        };
        if let (Some(reply), Some((_, reported))) = (pulled, newer) {
            let changes = reply.rows.into_iter().map(change_of).collect();
            self.take_changes(
                topic,
                changes,
                reply.known_to.max(0) as u64,
                reported.confirmed,
                reply.whole,
            );
        }
        let Some((from, reported)) = newer else {
            return;
        };
        self.confirm_digest(topic, reported);
        let mut known = self.known.borrow_mut();
        let followed = known.followed_mut(topic);
        if !followed.table.covers(reported.changed_at) {
            info!(self.log, "rows not passed on"; "topic" => ?topic, "from" => %from);
            followed.follower.pull_failed();
        }
    }

    /// Serves the rows known here to other gateways.
    pub async fn pass_on(self: Rc<Self>, listener: TcpListener) {
        plain::serve(listener, move |request| {
            let shared = Rc::clone(&self);
            async move { shared.answer_query(request).await }
        })
        .await;
    }

    async fn answer_query(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let collected = Limited::new(request.into_body(), MAX_QUERY).collect().await;
        let bytes = collected.map(|body| body.to_bytes()).unwrap_or_default();
        let Ok(query) = schema::decode::<RowsQuery>(&bytes) else {
            return plain::answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let reply = topic_of(query.topic).and_then(|topic| self.reply_to(topic, query.after));
        let encoded = reply.and_then(|reply| schema::encode(&reply).ok());
        let encoded = encoded.filter(|bytes| bytes.len() <= MOST_PASSED_ON);
        match encoded {
            Some(bytes) => plain::answer(StatusCode::OK, bytes.into()),
            None => plain::answer(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn reply_to(&self, topic: Topic, after: i64) -> Option<RowsReply> {
        let known = self.known.borrow();
        let table = &known.followed.get(&topic)?.table;
        let known_to = table.known_to()? as i64;
        let changes = table.since(after.max(0) as u64);
        let whole = changes.is_none();
        let rows = changes.unwrap_or_else(|| table.all());
        Some(RowsReply {
            rows: rows.into_iter().map(reported_of).collect(),
            whole,
            known_to,
        })
    }
}

async fn ask(address: SocketAddr, query: &RowsQuery) -> Option<RowsReply> {
    let mut connection = Connection::open(address, CONNECT_TIME).await.ok()?;
    let mut request = Request::new(FullBody::new(schema::encode(query).ok()?.into()));
    *request.method_mut() = Method::POST;
    let host = address.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let answer = connection.send(request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let limited = Limited::new(answer.into_body(), MAX_ENCODED_BYTES);
    let bytes = limited.collect().await.ok()?.to_bytes();
    schema::decode(&bytes).ok()
}

fn change_of(reported: RowChange) -> Change {
    Change {
        key: reported.key,
        value: reported.value,
        revision: reported.revision.max(0) as u64,
    }
}

fn reported_of(change: Change) -> RowChange {
    RowChange {
        key: change.key,
        value: change.value,
        revision: change.revision as i64,
    }
}
