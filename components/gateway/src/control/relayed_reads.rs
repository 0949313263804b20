//! Reads the endpoints' changes from the store through another gateway, while the store does not answer this one.
//!
//! Coordinators decide for gateways that may reach the store. If it answers none of the coordinators, none of them
//! learns that an endpoint leaves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use replica::{Digest, FirstChanges, Revision};
use schema::messages::{RowsQuery, RowsReply};
use slog::info;
use telemetry::Counter;

use crate::control::follow::change_of as stored_change;
use crate::control::row_transfer::{change_of, query_rows, reported_of, rows_query, topic_name};
use crate::control::Shared;
use crate::gossip::{received_revision, reported_era};
use crate::ports::{Orders, Store, Topic};

/// Pause between checks, and between reads.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Time in which the store has to answer a call for another gateway.
const STORE_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper limit of the changes in one reply, in bytes before compression. The next read goes on after them.
const MAX_RELAYED_BYTES: usize = 256 << 10;
/// Time in which a gateway has to reply, after which the next one is asked.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Keeps the endpoints of a coordinator up to date through other gateways until the process ends.
    pub async fn run_relayed_reads(self: Rc<Self>) {
        let mut turn = 0;
        loop {
            tokio::time::sleep(CHECK_PAUSE).await;
            let Some((relay, after)) = self.due_relayed_read(turn) else {
                continue;
            };
            turn += 1;
            let replied = self.read_through(relay, after).await;
            info!(self.log, "store read through another gateway"; "relay" => %relay, "after" => after.number,
                "known_to" => replied.map(|known_to| known_to.number));
        }
    }

    // The gateway to ask, and the revision after which changes are not known.
    fn due_relayed_read(&self, turn: usize) -> Option<(SocketAddr, Revision)> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let followed = state.followed.get(&Topic::Endpoints)?;
        let can_apply_changes = followed.table.can_poll_changes();
        let is_due = can_apply_changes && followed.follower.should_read_through_peer(now);
        if !is_due || !state.should_report_to_all_halls(now) {
            return None;
        }
        let relays = state.peers.store_relays(now);
        let relay = relays.get(turn % relays.len().max(1))?;
        Some((*relay, followed.table.known_to()?))
    }

    // Returns the revision up to which the changes were read.
    async fn read_through(&self, relay: SocketAddr, after: Revision) -> Option<Revision> {
        self.metrics.count(Counter::RelayedReads);
        let query = RowsQuery {
            from_store: Some(true),
            ..rows_query(topic_name(Topic::Endpoints)?, after, None, None)
        };
        let replied = tokio::time::timeout(RELAY_TIMEOUT, query_rows(relay, &query)).await;
        let (reply, _) = replied.ok().flatten()?;
        // A gateway of an earlier build replies with the rows that it knows, which may be as old.
        let read_at = Duration::from_micros(reply.read_us?.max(0) as u64);
        let known_to = received_revision(reply.known_to, reply.era);
        let rows = reply.rows.into_iter();
        let changes = rows.map(|row| change_of(row, known_to.era)).collect();
        let changed = self.apply_changes(Topic::Endpoints, changes, known_to, read_at, false);
        let read = Digest {
            changed_at: known_to,
            known_to,
            confirmed: read_at,
        };
        if reply.more != Some(true) {
            self.confirm_digest(Topic::Endpoints, read);
        }
        if changed {
            self.urgent.notify_one();
        }
        Some(known_to)
    }

    /// Reads the changes that a query asks for from the store; `None` if it does not answer.
    pub async fn read_for_other(&self, topic: Topic, query: &RowsQuery) -> Option<RowsReply> {
        let after = received_revision(query.after, query.after_era);
        let call = self
            .store
            .changes(topic, after, Duration::ZERO, STORE_TIMEOUT);
        let answered = tokio::time::timeout(STORE_TIMEOUT, call).await;
        self.metrics.count(Counter::TableCalls);
        let rows = answered.ok()?.ok()?;
        self.count_bytes(topic, rows.bytes);
        let changes = rows.rows.into_iter().map(stored_change).collect();
        let first = FirstChanges::take(changes, MAX_RELAYED_BYTES);
        let known_to = first.complete_to.unwrap_or(rows.revision);
        Some(RowsReply {
            rows: first.changes.into_iter().map(reported_of).collect(),
            whole: false,
            known_to: known_to.number as i64,
            more: first.complete_to.map(|_| true),
            era: reported_era(known_to.era),
            read_us: Some(rows.stamp.as_micros() as i64),
        })
    }
}
