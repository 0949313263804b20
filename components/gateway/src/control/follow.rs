//! Keeps the configuration and the endpoints up to date, from the store or from other gateways.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use replica::{Change, Digest, Follower, PreferredSource, Revision, Step, Table};
use slog::{info, warn};
use telemetry::Counter;
use tokio::sync::Notify;

use crate::control::row_transfer::MAX_REPLY_BYTES;
use crate::control::Shared;
use crate::listing::read_all;
use crate::ports::{Orders, Row, Rows, Store, StoreError, Topic};
use crate::update::Update;

/// Pause after changes of endpoints, so that changes in quick succession arrive in one answer. It is well
/// within the time for which a leaving endpoint continues to serve.
const GATHER_PAUSE: Duration = Duration::from_millis(250);
/// Pause between checks of whether the endpoints are needed.
const NEED_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a pending store call is dropped once another gateway has reported a change.
const OVERTAKEN_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Factor by which deflate is assumed to shrink rows of many similar entries.
const ASSUMED_COMPRESSION_RATIO: usize = 3;
/// Gateways that keep long polls open at the store. There are two, as one may be cut off or fail unnoticed.
pub(crate) const STORE_READERS: usize = 2;

/// Local copy of one topic.
#[derive(Debug)]
pub(crate) struct FollowedTopic {
    pub table: Table,
    /// Schedules the reads of the topic.
    pub follower: Follower,
    /// Monotonic time of the store at which the rows were last confirmed to be current.
    pub confirmed: Duration,
    /// The gateway that reported newer changes, with its report.
    pub newer: Option<(SocketAddr, Digest)>,
    /// Ends the current wait.
    pub wake: Arc<Notify>,
    // Newest era for which a full list was required, so that it is required once for each era.
    list_required_for_era: Option<u64>,
    // Whether it was logged that the store does not answer.
    is_failure_logged: bool,
}

impl FollowedTopic {
    /// An empty copy.
    pub fn new(follower: Follower) -> Self {
        FollowedTopic {
            table: Table::default(),
            follower,
            confirmed: Duration::ZERO,
            newer: None,
            wake: Arc::new(Notify::new()),
            list_required_for_era: None,
            is_failure_logged: false,
        }
    }

    /// Whether the rows are of an earlier era of the store than the given one.
    pub fn is_older_than_era(&self, era: Option<u64>) -> bool {
        let known = self.table.known_to().map(|known_to| known_to.era);
        known.is_some_and(|known| Some(known) < era)
    }

    /// Whether the rows are of the era of a revision and include all changes up to it.
    fn is_current_at(&self, revision: Revision) -> bool {
        self.table.is_same_era(revision) && self.table.has_changes_up_to(revision)
    }

    /// State that is reported to other gateways, once the topic was read.
    pub fn reported(&self) -> Option<Digest> {
        Some(Digest {
            known_to: self.table.known_to()?,
            changed_at: self.table.changed_at(),
            confirmed: self.confirmed,
        })
    }
}

impl<S: Store + 'static, O: Orders + 'static> Shared<S, O> {
    /// Follows a topic until the process ends.
    pub async fn follow(self: Rc<Self>, topic: Topic) {
        let wake = Arc::clone(&self.state.borrow().followed[&topic].wake);
        loop {
            if topic == Topic::Endpoints && !self.needs_endpoints() {
                self.forget_endpoints();
                let _ = tokio::time::timeout(NEED_PAUSE, wake.notified()).await;
                continue;
            }
            match self.next_step(topic) {
                Step::Wait(time) => {
                    let _ = tokio::time::timeout(time, wake.notified()).await;
                }
                Step::PullFromPeer => self.pull(topic).await,
                Step::List => self.list(topic).await,
                Step::PollChanges { hold } => self.poll_changes(topic, hold).await,
            }
        }
    }

    async fn list(&self, topic: Topic) {
        let sent = self.clock.now();
        let read = read_all(&self.store, topic, None, self.jitter);
        let result = self.unless_overtaken(topic, read).await;
        if let Ok(list) = &result {
            self.record_list(topic, sent, list);
        }
        self.handle_result(topic, sent, result.map(|list| list.rows), true);
    }

    fn next_step(&self, topic: Topic) -> Step {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let reads_store = state.is_store_reader(now);
        let is_far = state.is_far_from_store();
        let readers_start = state.readers_start(now);
        let followed = state.followed_mut(topic);
        match is_far {
            true => {
                followed.follower.delegate_store_reads(now, self.jitter);
                followed.follower.set_readers_start(readers_start);
            }
            false => followed.follower.read_store_directly(),
        }
        let newest_era = self.store.era().newest;
        if followed.is_older_than_era(newest_era) && followed.list_required_for_era < newest_era {
            // The known revision may denote a different change in the new era.
            followed.list_required_for_era = newest_era;
            followed.table.require_list();
        }
        let can_poll_changes = followed.table.can_poll_changes();
        followed.follower.step(now, reads_store, can_poll_changes)
    }

    // Drops the call if another gateway reports a change meanwhile, so that a store that does not answer does
    // not delay the change.
    async fn unless_overtaken<T>(
        &self,
        topic: Topic,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let wake = Arc::clone(&self.state.borrow().followed[&topic].wake);
        tokio::pin!(call);
        while !self.state.borrow().followed[&topic].follower.can_pull() {
            tokio::select! {
                result = &mut call => return result,
                () = wake.notified() => {}
            }
        }
        let answered = tokio::time::timeout(OVERTAKEN_CALL_TIMEOUT, call).await;
        answered.unwrap_or(Err(self.overtaken()))
    }

    // Across the link between regions a call may just be slower than that of the region's other reader.
    // Counting it as failed would make a third gateway a reader, which would load the link further.
    fn overtaken(&self) -> StoreError {
        match self.state.borrow().is_far_from_store() {
            true => StoreError::Overtaken,
            false => StoreError::Unanswered,
        }
    }

    async fn poll_changes(&self, topic: Topic, hold: Duration) {
        let (after, response_timeout) = {
            let state = self.state.borrow();
            let followed = &state.followed[&topic];
            let after = followed.table.known_to().unwrap_or_default();
            (after, followed.follower.response_timeout())
        };
        let sent = self.clock.now();
        let call = self.store.changes(topic, after, hold, response_timeout);
        let result = self.unless_overtaken(topic, call).await;
        let changed = self.handle_result(topic, sent, result, false);
        if changed && topic == Topic::Endpoints {
            tokio::time::sleep(GATHER_PAUSE).await;
        }
    }

    // Returns whether anything changed.
    fn handle_result(
        &self,
        topic: Topic,
        sent: Duration,
        result: Result<Rows, StoreError>,
        whole: bool,
    ) -> bool {
        self.metrics.count(Counter::TableCalls);
        match result {
            Ok(rows) => self.apply_rows(topic, sent, rows, whole),
            Err(error) => {
                self.record_failure(topic, &error);
                false
            }
        }
    }

    fn apply_rows(&self, topic: Topic, sent: Duration, rows: Rows, whole: bool) -> bool {
        let received = self.clock.now();
        self.count_bytes(topic, rows.bytes);
        let (made_at, was_failing) = {
            let mut state = self.state.borrow_mut();
            let made_at = state.store_clock.earliest(sent, received, rows.stamp);
            state.record_store_call(received.saturating_sub(sent));
            let followed = state.followed_mut(topic);
            followed.follower.store_answered(rows.revision);
            if !whole {
                followed.follower.history_available();
            }
            (made_at, std::mem::take(&mut followed.is_failure_logged))
        };
        self.store_answers.notify_waiters();
        if was_failing {
            info!(self.log, "store answers again"; "topic" => ?topic);
        }
        let changes = rows.rows.into_iter().map(change_of).collect();
        let changed = self.apply_changes(topic, changes, rows.revision, rows.stamp, whole);
        // Changes must be in force before they are confirmed. The answer may be of another era than the known
        // rows.
        let is_current = self.state.borrow().followed[&topic].is_current_at(rows.revision);
        if is_current {
            self.confirm(topic, rows.stamp, made_at);
        }
        if changed {
            self.urgent.notify_one();
        }
        changed
    }

    /// Applies rows of the store or of another gateway that were current at the store's monotonic time `stamp`.
    /// Returns whether anything changed.
    pub fn apply_changes(
        &self,
        topic: Topic,
        changes: Vec<Change>,
        known_to: Revision,
        stamp: Duration,
        whole: bool,
    ) -> bool {
        let (gossip, is_first, is_restored) = {
            let mut state = self.state.borrow_mut();
            let followed = state.followed_mut(topic);
            let is_first = followed.table.known_to().is_none();
            let is_restored = whole && followed.is_older_than_era(Some(known_to.era));
            if is_restored {
                // The restore may have reset the monotonic time of the store.
                followed.confirmed = Duration::ZERO;
            }
            let gossip = match whole {
                true => followed.table.apply_list(changes, known_to),
                false => followed.table.apply_changes(changes, known_to),
            };
            let known_to = followed.table.known_to().unwrap_or_default();
            followed.follower.caught_up(known_to);
            if let Some(bytes) = largest_value(&gossip) {
                followed
                    .follower
                    .set_preferred_source(preferred_source(bytes));
            }
            (gossip, is_first, is_restored)
        };
        for change in &gossip {
            match topic {
                Topic::Configuration if is_restored => {
                    self.apply_restored_operator_row(change, stamp);
                }
                Topic::Configuration => self.apply_operator_row(change, stamp, is_first),
                Topic::Endpoints if is_restored => self.apply_restored_endpoint(change),
                Topic::Endpoints => self.apply_endpoint(change),
                Topic::Gateways
                | Topic::Lease
                | Topic::Usage
                | Topic::Rollouts
                | Topic::RolloutStatus
                | Topic::Quarantine => {}
            }
        }
        if is_first && topic == Topic::Endpoints {
            let _ = self.updates.send(Update::EndpointsKnown);
        }
        !gossip.is_empty()
    }

    // Records that the rows known here were current at the store's time `stamp`, which is `at` on this
    // gateway's clock.
    fn confirm(&self, topic: Topic, stamp: Duration, at: Duration) {
        let mut state = self.state.borrow_mut();
        let followed = state.followed_mut(topic);
        followed.confirmed = followed.confirmed.max(stamp);
        followed.follower.confirmed(at);
        let in_force = state.configuration.is_some() && state.is_configuration_current;
        if topic == Topic::Endpoints {
            self.update(Update::EndpointsConfirmed(at));
        }
        if topic == Topic::Configuration && in_force {
            // Sent after the configuration that it confirms. Until the traffic thread has applied that one, it
            // uses the previous configuration, whose keys must not count as confirmed.
            self.update(Update::Confirmed(at));
        }
    }

    /// Handles another gateway's report of its copy of a topic. `is_far` is set if that gateway is in another
    /// region.
    pub fn receive_digest(&self, topic: Topic, reported: Digest, from: SocketAddr, is_far: bool) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let followed = state.followed_mut(topic);
        if !followed.table.has_changes_up_to(reported.changed_at) {
            if is_far && !followed.follower.can_pull_from_other_region(now) {
                return;
            }
            followed.follower.allow_pull_retry(now);
            followed.newer = Some((from, reported));
            followed.follower.newer_reported(reported.changed_at);
            followed.wake.notify_one();
            return;
        }
        drop(state);
        self.confirm_digest(topic, reported);
    }

    /// Confirms the rows known here by another gateway's report, unless a change is missing here.
    pub fn confirm_digest(&self, topic: Topic, reported: Digest) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let moment = state.store_clock.moment(reported.confirmed, now);
        let followed = state.followed_mut(topic);
        if !followed.table.is_confirmed_by(&reported) {
            return;
        }
        followed.table.advance(reported.known_to);
        let is_newer = reported.confirmed > followed.confirmed;
        drop(state);
        if let Some(at) = moment.filter(|_| is_newer) {
            self.confirm(topic, reported.confirmed, at);
        }
    }

    fn record_failure(&self, topic: Topic, error: &StoreError) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let followed = state.followed_mut(topic);
        if *error == StoreError::Overtaken {
            return;
        }
        // The store answered, so this gateway continues to read it for others, starting with a full list.
        if *error == StoreError::HistoryGone {
            info!(self.log, "history of the store is gone"; "topic" => ?topic,
                "known_to" => followed.table.known_to().map(|known_to| known_to.number),
                "era" => self.store.era().newest);
            followed.table.require_list();
            followed.follower.history_gone(now);
            return;
        }
        self.metrics.count(Counter::PlatformUnanswered);
        followed.follower.store_failed(now);
        if !std::mem::replace(&mut followed.is_failure_logged, true) {
            warn!(self.log, "store does not answer"; "topic" => ?topic, "cause" => %error);
        }
    }
}

fn largest_value(changes: &[Change]) -> Option<usize> {
    let values = changes.iter().filter_map(|change| change.value.as_ref());
    values.map(Vec::len).max()
}

// Large rows would fill the links between gateways. The next change is assumed to be as large as the last one,
// and to compress like rows that repeat the same field names. If it does not, the peer refuses to send it and
// it is read from the store.
fn preferred_source(bytes: usize) -> PreferredSource {
    match bytes <= MAX_REPLY_BYTES * ASSUMED_COMPRESSION_RATIO {
        true => PreferredSource::Peer,
        false => PreferredSource::Store,
    }
}

/// The change that a row of the store stands for.
pub(crate) fn change_of(row: Row) -> Change {
    Change {
        key: row.key,
        value: row.value,
        revision: row.revision,
    }
}
